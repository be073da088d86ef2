//! A model of what the gateway serves: database hosts, sets of a primary and its replicas, clients, the list of hosts,
//! and what goes wrong with them. No I/O, no clock, and a seeded generator: whoever runs it hands in the time. The
//! testbed runs it in virtual time round the decision module, and in real time behind sockets.
//!
//! It owns the true state of hosts and data, and the audit of the invariants that a gateway must keep. Of gateways it
//! knows only their numbers.

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

/// A point in time on the runner's clock, or a length of time, in nanoseconds.
pub type Ns = i64;

/// A millisecond.
pub const MS: Ns = 1_000_000;
/// A second.
pub const SECOND: Ns = 1_000_000_000;

/// Milliseconds, rounded to the nanosecond.
pub fn ms(value: f64) -> Ns {
    (value * MS as f64).round() as Ns
}

/// Seconds, rounded to the nanosecond.
pub fn seconds(value: f64) -> Ns {
    (value * SECOND as f64).round() as Ns
}

/// A database host, by its place in the fleet; never given out twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HostId(pub u32);

/// A set of one primary and its replicas, by its place in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SetId(pub u32);

/// A gateway, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GatewayId(pub u32);
