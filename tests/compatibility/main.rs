//! What must not change while the program's inside does: the words that it exchanges with other versions of itself, with
//! operators and with its platform. The real program as a process; fixtures are what a program of today wrote or reads.

#![allow(clippy::unwrap_used)]

mod configuration;
mod console;
mod handover;
#[allow(dead_code)]
#[path = "../gateway/harness/mod.rs"]
mod harness;
mod operators;
mod program;
