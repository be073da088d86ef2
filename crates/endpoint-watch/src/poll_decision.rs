//! The decision whether a gateway polls the discovery service, and the local state that the decision depends on.

use crate::Revision;
use irisrouter_cluster_types::{Epoch, Milliseconds};

/// The next step by which a gateway keeps its own endpoint list up to date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollDecision {
    /// Start a long poll, which the service answers when the list changes. This gateway holds the lease of the watch,
    /// or has no recent heartbeat from a watcher whose list is at least as new as its own.
    Watch,
    /// Fetch the current list once, without a long poll.
    Fetch,
    /// Make no call for this duration, unless a heartbeat arrives.
    Wait(Milliseconds),
}

/// State of this gateway that the watch depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalState {
    /// Fencing token of the watch's lease; `None` if this gateway does not hold the lease.
    pub fencing_token: Option<Epoch>,
    /// Revision of this gateway's endpoint list; `None` before the first list was received.
    pub revision: Option<Revision>,
    /// Whether this gateway needs the full list at once, for example after a change of the service's address.
    pub needs_full_list: bool,
    /// Number of live gateways that fetch the list before this one.
    pub rank: u64,
}
