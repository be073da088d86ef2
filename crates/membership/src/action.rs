//! What the core asks its owner to do.

use crate::node::Node;
use crate::view::LivenessChange;

/// One thing that the owner of the core is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send this datagram (at most 256 bytes) to the gateway with this number.
    Send {
        /// The recipient's number in the fleet's list.
        to: u32,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// The liveness of a member changed in the view: log it, count it.
    Changed(LivenessChange),
    /// This process learnt that it was held down, and continues in this incarnation.
    Refuted(u16),
    /// A later generation of this gateway was known to the fleet; this process continues as this node.
    Renewed(Node),
}
