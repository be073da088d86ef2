//! Actions that the coordinator requests from its caller.

use crate::command::DrainCommand;
use crate::progress::{Completion, ReplicationProgress};
use irisrouter_cluster_types::{GatewayId, HostId};

/// Action for the caller to carry out. Actions are carried out in the order in which they are returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send this datagram to a gateway.
    Send {
        /// Recipient of the datagram.
        to: GatewayId,
        /// Encoded datagram of at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// The caller must follow this command from now on: the caller logs the command, and takes the host out of
    /// service or returns the host to service.
    Follow(DrainCommand),
    /// Answer the operator who issued a command at this gateway: its replication has ended.
    Replicated {
        /// Host that the command is for.
        host: HostId,
        /// Number of gateways that follow the command, and whether they are a majority.
        progress: ReplicationProgress,
    },
    /// Log that a command is complete.
    Completed {
        /// Command that is complete.
        command: DrainCommand,
        /// Epoch of the coordinator, and the number of gateways that did not report.
        completion: Completion,
        /// Gateway that determined the completion.
        origin: CompletionOrigin,
    },
}

/// Gateway that determined that a command is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionOrigin {
    /// This gateway, as the coordinator.
    ThisGateway,
    /// Another gateway, from which this gateway received a completion message.
    OtherGateway,
}
