//! Indexes to the database hosts of a fleet, and to the idle connections to them.
//!
//! What concerns one host, one group or one connection takes no walk over all of them, however many there are. Nothing here
//! knows a socket or a clock.

mod host_index;
mod idle_connections;

pub use host_index::{GroupMember, HostIndex, IndexedState};
pub use idle_connections::IdleConnections;
