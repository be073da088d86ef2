//! The message that the watcher sends to all other gateways.

use crate::Revision;
use irisrouter_cluster_types::{Epoch, HostId};

/// Maximum number of hosts in a heartbeat, so that it fits into one datagram.
pub const MAX_HOSTS_OUT_OF_SERVICE: usize = 59;

/// The message with which the watcher announces the state of its endpoint list to all other gateways.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Epoch of the watcher's lease; never 0.
    pub epoch: Epoch,
    /// Revision of the watcher's endpoint list.
    pub revision: Revision,
    /// Hosts that this list marks as out of service.
    pub hosts_out_of_service: Vec<HostId>,
}
