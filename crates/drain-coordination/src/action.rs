//! What the caller of the coordinator is to do.

use crate::command::DrainCommand;
use crate::progress::{Completion, ReplicationProgress};
use irisrouter_cluster_types::{GatewayId, HostId};

/// What the caller is to do, in the order in which it gets them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send this datagram to a gateway.
    Send {
        /// The gateway.
        to: GatewayId,
        /// The datagram, of at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Follow this command from now on: log it, and take the host out of service or return it.
    Follow(DrainCommand),
    /// Answer the operator who issued a command at this gateway.
    Replicated {
        /// The host of the command.
        host: HostId,
        /// How many gateways follow the command.
        progress: ReplicationProgress,
    },
    /// Log that a command is complete.
    Completed {
        /// The command.
        command: DrainCommand,
        /// The coordinator's finding.
        completion: Completion,
        /// Which gateway found it.
        origin: CompletionOrigin,
    },
}

/// Which gateway found a command to be complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionOrigin {
    /// This gateway, as the coordinator.
    ThisGateway,
    /// Another gateway, whose message this one received.
    OtherGateway,
}
