//! A simulated network of members for tests and measurements of `irisrouter-membership`: seeded, in virtual time, with
//! the faults that a fleet meets. The testbed checks the same with real processes on loopback; this does not replace it.
//!
//! Faults: a share of datagrams lost, delays drawn from a range, cuts in one or both directions, partitions, a stalled
//! process (its socket keeps up to [`SOCKET_CAPACITY`] datagrams, as a kernel's buffer would), a crash, and a restart as
//! a new generation.

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
