//! One database host: its entry in the endpoint list, and the state that this gateway keeps for it.

use crate::net::endpoint_list::{EndpointEntry, EndpointPhase};
use crate::net::upstream::load_report::NANOSECONDS_PER_MILLISECOND;
use crate::net::upstream::reachability::HostReachability;
use irisrouter::routing::{Endpoint, EndpointState, GroupId, MemberId, Timestamp, ZoneId};
use irisrouter_cluster_types::HostId;
use irisrouter_gossip::message;
use irisrouter_host_index::IndexedState;
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// Increments a count when created and decrements it when dropped.
pub(super) struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    pub(super) fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        CountGuard(Rc::clone(count))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A database host.
pub(super) struct Host {
    /// Id that all gateways of the fleet use for the host.
    pub(super) fleet_id: HostId,
    /// Newest entry of the host in the endpoint list.
    pub(super) entry: EndpointEntry,
    /// Whether new requests and health checks may be sent to the host.
    pub(super) accepts_requests: bool,
    /// Counter that is incremented when the host's process or address changes, or the host is terminated. A connection
    /// to an earlier incarnation is not reused.
    pub(super) incarnation: u64,
    /// Time at which the endpoint list first reported the host as removed or no longer contained it; `None` while the
    /// host is listed.
    pub(super) removed_at: Option<Instant>,
    /// Whether a drain command, or an announced list that is newer than this gateway's, takes the host out of service,
    /// whatever this gateway's list says.
    pub(super) drained: bool,
    /// Number of requests and health checks in flight at the host.
    pub(super) in_flight: Rc<Cell<usize>>,
    /// Recent results of the host; recorded only if reachability reports are enabled.
    pub(super) reachability: HostReachability,
}

impl Host {
    /// Creates a host for an entry of the list. It accepts no requests until [`Host::apply_entry`] has been called.
    pub(super) fn new(entry: &EndpointEntry) -> Self {
        Host {
            fleet_id: message::host_id(&entry.id),
            entry: entry.clone(),
            accepts_requests: false,
            incarnation: 0,
            removed_at: None,
            drained: false,
            in_flight: Rc::default(),
            reachability: HostReachability::default(),
        }
    }

    /// Returns the group of the host.
    pub(super) fn group(&self) -> GroupId {
        GroupId(self.entry.cell)
    }

    /// Returns the part of the host's state that the host index depends on.
    pub(super) fn indexed_state(&self) -> IndexedState<GroupId> {
        IndexedState {
            fleet_id: self.fleet_id,
            group: self.group(),
            accepts_requests: self.accepts_requests,
            removed: self.removed_at.is_some(),
        }
    }

    /// Returns whether the host is in service according to the endpoint list.
    pub(super) fn in_service(&self) -> bool {
        self.removed_at.is_none() && self.entry.phase == EndpointPhase::InService
    }

    /// Applies a new entry of the endpoint list.
    pub(super) fn apply_entry(&mut self, entry: &EndpointEntry, only_listed_drains_bind: bool) {
        self.accepts_requests = match entry.phase {
            EndpointPhase::InService => !self.drained,
            EndpointPhase::Terminating => false,
            // A host that was drained before it was terminated still accepts no requests.
            EndpointPhase::Terminated => self.accepts_requests && only_listed_drains_bind,
        };
        let previous = &self.entry;
        let replaced =
            previous.host_port != entry.host_port || previous.up_since_ms != entry.up_since_ms;
        let is_new_incarnation = replaced || entry.phase == EndpointPhase::Terminated;
        self.incarnation += u64::from(is_new_incarnation);
        self.entry = entry.clone();
    }

    /// Records that the host was removed: the list says so, or no longer contains the host.
    pub(super) fn mark_removed(&mut self, only_listed_drains_bind: bool) {
        self.accepts_requests &= only_listed_drains_bind;
        self.removed_at = self.removed_at.or_else(|| Some(Instant::now()));
    }

    /// Returns whether a connection to this incarnation of the host may be used for further requests.
    pub(super) fn accepts_requests_at(&self, incarnation: u64) -> bool {
        self.accepts_requests && self.incarnation == incarnation
    }

    /// Returns the host's entry in the form that the router takes.
    pub(super) fn endpoint(&self, member: MemberId, zone: ZoneId) -> Endpoint {
        let entry = &self.entry;
        let started = (entry.up_since_ms * NANOSECONDS_PER_MILLISECOND as f64) as i64;
        let started = Timestamp::from_nanos(started);
        Endpoint {
            member,
            group: self.group(),
            zone,
            state: match entry.phase {
                EndpointPhase::InService if self.drained => EndpointState::Draining,
                EndpointPhase::InService => EndpointState::Ready,
                EndpointPhase::Terminating => EndpointState::Draining,
                EndpointPhase::Terminated => EndpointState::Removed,
            },
            primary: entry.access.as_deref() == Some("writer"),
            size: entry.size,
            started: (entry.up_since_ms > 0.0).then_some(started),
        }
    }
}
