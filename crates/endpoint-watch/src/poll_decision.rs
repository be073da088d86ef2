//! What a gateway does next about its own endpoint list, and what that depends on.

use crate::Revision;
use irisrouter_cluster_types::{Epoch, Milliseconds};

/// What a gateway does next about its own endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollDecision {
    /// Call, and let the service hold the call until there is a change: this gateway holds the lease of the watch, or
    /// receives no heartbeats of another watcher.
    Watch,
    /// Call once for the list that the service has now.
    Fetch,
    /// Do not call for this time, unless a heartbeat arrives.
    Wait(Milliseconds),
}

/// What a gateway knows of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalState {
    /// The fencing token of the watch, where this gateway holds its lease.
    pub fencing_token: Option<Epoch>,
    /// The revision of its list; none before the first.
    pub revision: Option<Revision>,
    /// It needs the whole list at once, as after a change of the service's address.
    pub needs_full_list: bool,
    /// The number of gateways alive that fetch before this one.
    pub rank: u64,
}
