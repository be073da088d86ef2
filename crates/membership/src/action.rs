//! The actions that the core requests from its owner.

use crate::serial_number::Incarnation;
use crate::view::LivenessChange;
use irisrouter_cluster_types::{GatewayId, GatewayProcess};

/// An action for the owner of the core to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send this datagram (at most 256 bytes) to a gateway.
    Send {
        /// The recipient.
        to: GatewayId,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// Log and count this change of a member's liveness in the view.
    Changed(LivenessChange),
    /// Log and count that this process refuted a report about itself; it continues in this incarnation.
    Refuted(Incarnation),
    /// Log that the fleet knew a later generation of this gateway; this process continues as the given one.
    Renewed(GatewayProcess),
}
