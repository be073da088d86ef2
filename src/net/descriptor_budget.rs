//! Divides the descriptors of the process between clients, database hosts and everything else.

use thiserror::Error;

/// Descriptors that each process needs besides those for clients and database hosts: standard streams, the runtime, the
/// listeners, discovery, console connections, and client connections that are being rejected.
pub const RESERVED_DESCRIPTORS: usize = 64;
/// A third of the remaining descriptors is for database hosts. Clients need more, because they hold their connections
/// while requests are queued, and the router limits the requests in flight at the hosts.
const UPSTREAM_DIVISOR: usize = 3;
/// The platform lets clients hold a third of all descriptors. Above half of that, a sixth, quiet client connections are
/// closed early so that other clients can connect.
const USUAL_CLIENTS_DIVISOR: usize = 6;

/// The descriptor limit leaves no descriptor for database hosts.
#[derive(Debug, Error)]
#[error("{limit} descriptors are too few")]
pub struct TooFewDescriptors {
    /// Maximum number of descriptors that the process may hold.
    limit: usize,
}

/// The division of the process's descriptors.
pub struct DescriptorBudget {
    /// Maximum number of connections to database hosts.
    pub upstream_connections: usize,
    /// Maximum number of client connections.
    pub client_connections: usize,
    /// Number of client connections above which quiet ones are closed early.
    pub usual_client_connections: usize,
}

impl DescriptorBudget {
    /// Divides `limit` descriptors.
    ///
    /// # Errors
    ///
    /// Returns an error if no descriptor is left for database hosts.
    pub fn new(limit: usize) -> Result<Self, TooFewDescriptors> {
        let available = limit.saturating_sub(RESERVED_DESCRIPTORS);
        let upstream_connections = available / UPSTREAM_DIVISOR;
        if upstream_connections == 0 {
            return Err(TooFewDescriptors { limit });
        }
        Ok(Self {
            upstream_connections,
            client_connections: available - upstream_connections,
            usual_client_connections: limit / USUAL_CLIENTS_DIVISOR,
        })
    }
}
