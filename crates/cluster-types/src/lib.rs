//! Identifiers and time types shared by the cluster packages: membership, leases, write intents, drains, the endpoint
//! watch and site failover.
//!
//! Each is a newtype, so that a gateway cannot be mistaken for a host, nor an instant for a duration. The package does
//! no I/O and reads no clock. Each package's codec defines how it encodes these values in datagrams.

#![forbid(unsafe_code)]

mod identifiers;
mod time;

pub use identifiers::{Epoch, GatewayId, GatewayProcess, Generation, HostId, TaskId};
pub use time::{Milliseconds, Timestamp, UnixMilliseconds};
