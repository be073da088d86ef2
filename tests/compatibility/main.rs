//! Compatibility tests: the formats that the program exchanges with other versions of itself, with operators and with
//! its platform must not change when its implementation does. The tests run the real program as a process; the fixtures
//! are texts that a program of the present version wrote or reads.

#![allow(clippy::unwrap_used)]

mod closed_peer_socket;
mod configuration;
mod console;
mod handover;
#[allow(dead_code)]
#[path = "../gateway/harness/mod.rs"]
mod harness;
mod operators;
mod program;
