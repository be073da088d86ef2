//! What the core asks its owner to do.

use crate::serial_number::Incarnation;
use crate::view::LivenessChange;
use irisrouter_cluster_types::{GatewayId, GatewayProcess};

/// One thing that the owner of the core is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send this datagram (at most 256 bytes) to a gateway.
    Send {
        /// The recipient.
        to: GatewayId,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// The liveness of a member changed in the view: log it, count it.
    Changed(LivenessChange),
    /// This process learnt that it was held down, and continues in this incarnation.
    Refuted(Incarnation),
    /// A later generation of this gateway was known to the fleet; this process continues as this one.
    Renewed(GatewayProcess),
}
