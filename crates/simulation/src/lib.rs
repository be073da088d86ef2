//! A model of the environment of the gateways: database hosts, replica sets, clients, the endpoint list, and faults.
//! The model does no I/O and reads no clock: the caller passes in the current time, and all random numbers are drawn
//! from seeded generators. The testbed runs it in virtual time around the decision module, and in real time behind
//! sockets.
//!
//! The model holds the true state of hosts and data, and audits the invariants that the gateways must keep. It knows
//! the gateways only by their IDs.

pub mod clients;
pub mod cpu;
pub mod datagrams;
pub mod endpoint_list;
pub mod event_queue;
pub mod faults;
pub mod fleet;
pub mod host;
pub mod invariants;
pub mod load_window;
pub mod replication_log;
pub mod rng;
pub mod spec;

/// A point in time on the clock of the run, or a duration, in nanoseconds.
pub type Ns = i64;

/// One millisecond.
pub const MS: Ns = 1_000_000;
/// One second.
pub const SECOND: Ns = 1_000_000_000;

/// Converts milliseconds to nanoseconds, rounded to the nearest.
pub fn ms(value: f64) -> Ns {
    (value * MS as f64).round() as Ns
}

/// Converts seconds to nanoseconds, rounded to the nearest.
pub fn seconds(value: f64) -> Ns {
    (value * SECOND as f64).round() as Ns
}

/// Identifies a database host: its index in the fleet. An ID is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HostId(pub u32);

/// Identifies a replica set (one primary and its replicas): its index in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SetId(pub u32);

/// Identifies a gateway: its number, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GatewayId(pub u32);
