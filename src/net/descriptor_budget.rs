//! How the descriptors of the process are divided between clients, database hosts and everything else.

use thiserror::Error;

/// Descriptors of every process beside those of clients and database hosts: standard streams, the runtime, the
/// listeners, discovery, console connections, and client connections that are being turned away.
pub const RESERVED_DESCRIPTORS: usize = 64;
/// One in three of the other descriptors is for database hosts. Clients need more: they hold connections while their
/// requests wait, and hosts are sent no more at a time than the router allows.
const UPSTREAM_DIVISOR: usize = 3;
/// The platform lets clients hold a third of all descriptors. From half of that, a sixth, quiet clients are closed to
/// make room for others.
const USUAL_CLIENTS_DIVISOR: usize = 6;

/// The limit leaves no descriptor for database hosts.
#[derive(Debug, Error)]
#[error("{limit} descriptors are too few")]
pub struct TooFewDescriptors {
    /// Descriptors that the process may hold.
    limit: usize,
}

/// How the descriptors of the process are divided.
pub struct DescriptorBudget {
    /// Connections to database hosts, at most.
    pub upstream_connections: usize,
    /// Client connections, at most.
    pub client_connections: usize,
    /// Client connections above which quiet ones are closed early.
    pub usual_client_connections: usize,
}

impl DescriptorBudget {
    /// Divides `limit` descriptors.
    ///
    /// # Errors
    ///
    /// None is left for database hosts.
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
