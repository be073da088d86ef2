//! Tests of the program as a process: its exchanges with clients, database hosts, discovery, operators and peers.

#![allow(clippy::unwrap_used)]

mod cancellation;
mod configuration;
mod console;
mod discovery;
mod drains;
mod harness;
mod hot_restart;
mod hot_restart_soak;
mod ids_across_processes;
mod late_connections;
mod limits;
mod peers;
mod pipelining;
mod protocol;
mod retries;
mod session_writes;
mod shutdown;
mod streaming;
