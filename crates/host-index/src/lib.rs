//! Indexes of the database hosts of a fleet, and of the idle connections to them.
//!
//! Operations on one host, one group or one connection do not iterate over all hosts, groups or connections. The
//! package does no I/O and reads no clock.

mod host_index;
mod idle_connections;

pub use host_index::{GroupMember, HostIndex, IndexedState};
pub use idle_connections::IdleConnections;
