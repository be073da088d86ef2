//! One database host: its entry in the endpoint list, and what this gateway keeps about it.

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

/// Adds one to a count until it is dropped.
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
    /// The id by which all gateways of the fleet know it.
    pub(super) fleet_id: HostId,
    /// Its newest entry in the endpoint list.
    pub(super) entry: EndpointEntry,
    /// Whether new requests and health checks may be sent to it.
    pub(super) accepts_requests: bool,
    /// Changes when its process or its address does: a connection to an earlier incarnation is not used again.
    pub(super) incarnation: u64,
    /// Since when the list does not contain it any more.
    pub(super) removed_at: Option<Instant>,
    /// A drain command, or a later list than this gateway's, has it out of service, whatever this gateway's list says.
    pub(super) drained: bool,
    /// Requests and health checks in flight there.
    pub(super) in_flight: Rc<Cell<usize>>,
    /// Recent results, where reachability reports are enabled.
    pub(super) reachability: HostReachability,
}

impl Host {
    /// A host that the list has just named; [`Host::apply_entry`] decides whether it accepts requests.
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

    /// Its group.
    pub(super) fn group(&self) -> GroupId {
        GroupId(self.entry.cell)
    }

    /// What the index to the hosts depends on.
    pub(super) fn indexed_state(&self) -> IndexedState<GroupId> {
        IndexedState {
            fleet_id: self.fleet_id,
            group: self.group(),
            accepts_requests: self.accepts_requests,
            removed: self.removed_at.is_some(),
        }
    }

    /// Whether the list has it in service.
    pub(super) fn in_service(&self) -> bool {
        self.removed_at.is_none() && self.entry.phase == EndpointPhase::InService
    }

    /// Takes a new entry of the list.
    pub(super) fn apply_entry(&mut self, entry: &EndpointEntry, only_listed_drains_bind: bool) {
        self.accepts_requests = match entry.phase {
            EndpointPhase::InService => !self.drained,
            EndpointPhase::Terminating => false,
            // One that was draining before it was terminated stays closed.
            EndpointPhase::Terminated => self.accepts_requests && only_listed_drains_bind,
        };
        let last = &self.entry;
        let moved = last.host_port != entry.host_port || last.up_since_ms != entry.up_since_ms;
        let restarted = moved || entry.phase == EndpointPhase::Terminated;
        self.incarnation += u64::from(restarted);
        self.entry = entry.clone();
    }

    /// The list says that it was removed, or does not contain it any more.
    pub(super) fn mark_removed(&mut self, only_listed_drains_bind: bool) {
        self.accepts_requests &= only_listed_drains_bind;
        self.removed_at = self.removed_at.or_else(|| Some(Instant::now()));
    }

    /// Whether a connection to this incarnation of the host may be used for further requests.
    pub(super) fn accepts_requests_at(&self, incarnation: u64) -> bool {
        self.accepts_requests && self.incarnation == incarnation
    }

    /// Its entry as the router takes it.
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
