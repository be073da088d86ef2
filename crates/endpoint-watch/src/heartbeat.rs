//! What the watcher announces to all other gateways.

use crate::Revision;
use irisrouter_cluster_types::{Epoch, HostId};

/// Hosts that a heartbeat can name, so that it fits into one datagram.
pub const MAX_HOSTS_OUT_OF_SERVICE: usize = 59;

/// What the watcher announces to all other gateways.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The epoch of the watcher's lease; not 0.
    pub epoch: Epoch,
    /// The revision of the watcher's list.
    pub revision: Revision,
    /// The hosts that this list has out of service.
    pub hosts_out_of_service: Vec<HostId>,
}
