//! Progress of commands: their replication to the fleet, and their completion.

use crate::command::DrainCommand;
use irisrouter_cluster_types::Epoch;

/// Progress of the replication of a new command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicationProgress {
    /// Number of gateways that follow the command, including the one at which it was issued.
    pub followers: usize,
    /// Whether the followers are a majority of the fleet's list.
    pub majority: bool,
}

/// Completion of a command: its coordinator determined that no gateway has requests in flight at the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completion {
    /// Epoch of the coordinator's lease.
    pub epoch: Epoch,
    /// Number of gateways that did not report because they were down according to membership. They may still send
    /// requests to the host.
    pub unacknowledged: u32,
}

/// Progress of a command as known to this gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// This gateway does not coordinate the command and has received no completion of it.
    NotCoordinator,
    /// This gateway coordinates the command, which is not complete yet.
    Draining {
        /// Sum of the requests in flight at the host that gateways reported.
        requests_in_flight: u32,
        /// Number of gateways that have not reported yet.
        unacknowledged: usize,
    },
    /// A coordinator determined that no gateway has requests in flight at the host.
    Completed(Completion),
}

/// Current command for a host, and its progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommandStatus {
    /// Current command for its host.
    pub command: DrainCommand,
    /// Progress of the command as known to this gateway.
    pub progress: Progress,
}
