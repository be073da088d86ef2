//! Identifiers and units of time that the packages of the cluster share: membership, leases, write intents, drains, the
//! endpoint watch and site failover.
//!
//! Each is a newtype, so that a gateway cannot be mistaken for a host, nor an instant for a duration. The package does no
//! I/O and reads no clock. How these values are laid out in datagrams is up to each package's codec.

#![forbid(unsafe_code)]

mod identifiers;
mod time;

pub use identifiers::{Epoch, GatewayId, GatewayProcess, Generation, HostId, TaskId};
pub use time::{Milliseconds, Timestamp, UnixMilliseconds};
