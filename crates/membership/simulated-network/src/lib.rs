//! A simulated network of gateways for tests and measurements of `irisrouter-membership`. It runs in virtual time, and
//! a run is determined by its seed. The testbed runs the same checks with real processes on loopback, which this crate
//! does not replace.
//!
//! The simulated faults are the random loss of datagrams, random delays, cut links in one or both directions,
//! partitions, stalled processes (the socket of each buffers up to [`SOCKET_CAPACITY`] datagrams, like a kernel's
//! receive buffer), crashes, and restarts as a new generation.

#![forbid(unsafe_code)]

mod decision_digest;
mod member_process;
mod network;
mod record;

pub use decision_digest::DecisionDigest;
pub use member_process::SOCKET_CAPACITY;
pub use network::{NetworkFaults, SimulatedNetwork};
pub use record::{
    NetworkRecord, ObservedChange, Refutation, RejectedDatagram, Renewal, SentTraffic,
};
