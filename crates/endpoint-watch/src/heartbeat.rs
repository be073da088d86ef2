//! What the watcher announces to all other gateways.

/// Hosts that a heartbeat can name, so that it fits into one datagram.
pub const MAX_HOSTS_OUT_OF_SERVICE: usize = 59;

/// What the watcher announces to all other gateways.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The epoch of the watcher's lease; not 0.
    pub epoch: u64,
    /// The revision of the watcher's list.
    pub revision: u64,
    /// The numbers of the hosts that this list has out of service.
    pub hosts_out_of_service: Vec<u32>,
}
