//! How far commands are: their replication to the fleet, and their completion.

use crate::command::DrainCommand;
use irisrouter_cluster_types::Epoch;

/// How far a new command has been replicated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicationProgress {
    /// Gateways that follow the command, the one at which it was issued included.
    pub followers: usize,
    /// Whether these are a majority of the fleet's list.
    pub majority: bool,
}

/// The finding of a coordinator that no gateway has requests in flight at a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completion {
    /// The epoch of the coordinator's lease.
    pub epoch: Epoch,
    /// Gateways that membership held to be down, and that therefore did not report: they may still send to the host.
    pub unacknowledged: u32,
}

/// How far a command is, as this gateway knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Another gateway coordinates it.
    Elsewhere,
    /// This gateway coordinates it.
    Draining {
        /// Requests in flight at the host, as gateways reported them.
        requests_in_flight: u32,
        /// Gateways that have yet to report.
        unacknowledged: usize,
    },
    /// No gateway had requests in flight.
    Completed(Completion),
}

/// A command that holds, and how far it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommandStatus {
    /// The command.
    pub command: DrainCommand,
    /// How far it is, as this gateway knows.
    pub progress: Progress,
}
