//! State of a group: its members and the requests that are queued for them.

use super::health_check::GroupHealthChecks;
use super::identifiers::{MemberId, RequestId};
use super::member::Member;
use std::collections::{BTreeMap, VecDeque};

/// A group: one primary and its replicas.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    /// Members in the order in which they were first listed.
    pub(super) members: Vec<MemberId>,
    /// Queued requests by class, oldest first. Entries of requests that are no longer queued are
    /// skipped.
    pub(super) queues: Vec<VecDeque<RequestId>>,
    /// Maximum number of members that were in service at once by the endpoint list. While a release
    /// replaces the members only a few are in service, and each of them must still get only its
    /// part of the requests of the full group.
    pub(super) full_size: usize,
    /// Health checks that the queued requests need.
    pub(super) health_checks: GroupHealthChecks,
}

impl Group {
    /// Updates the full size after a change to the endpoint list.
    pub(super) fn endpoints_changed(&mut self, members: &BTreeMap<MemberId, Box<Member>>) {
        let in_service = |id: &&MemberId| {
            members
                .get(id)
                .is_some_and(|member| !member.service.removed && !member.service.draining)
        };
        let size = self.members.iter().filter(in_service).count();
        self.full_size = self.full_size.max(size);
    }

    /// Returns the distance on the unit circle from a member's point forward to `position`, which
    /// is from 0 to 1. The members' points are evenly spaced. If each member takes the positions
    /// just after its own point, the members take different requests.
    pub(super) fn distance_from(&self, member: MemberId, position: f64) -> f64 {
        let index = self.members.iter().position(|&other| other == member);
        let point = index.unwrap_or(0) as f64 / self.full_size.max(1) as f64;
        (position - point).rem_euclid(1.0)
    }

    /// Returns whether any queue has an entry.
    pub(super) fn has_queued_requests(&self) -> bool {
        self.queues.iter().any(|queue| !queue.is_empty())
    }
}
