//! Queue of members in the order in which their periodic health checks become due. It finds the
//! next ones without a scan of all members for each request.

use super::identifiers::{GroupId, MemberId};
use super::time::{TimeDelta, Timestamp};
use std::collections::BTreeSet;

/// Queue entry of a member, ordered by when its last check was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CheckedMember {
    sent_at: Timestamp,
    id: MemberId,
}

/// A group with shared health checks, ordered by when its last shared result was obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SharedGroup {
    obtained_at: Timestamp,
    id: GroupId,
}

/// Queue of the members that need periodic health checks.
#[derive(Clone, Debug, Default)]
pub(super) struct HealthCheckQueue {
    /// Members of the groups that are not in `shared_groups`.
    members: BTreeSet<CheckedMember>,
    /// Members that may be suspected: a request is in flight there, or they could not be reached.
    possibly_suspected: BTreeSet<MemberId>,
    /// Groups that had recent shared results when this was last checked. Their members need no
    /// periodic checks.
    shared_groups: BTreeSet<SharedGroup>,
}

impl HealthCheckQueue {
    /// Adds a member whose last check was sent at `sent_at`.
    pub(super) fn insert(&mut self, id: MemberId, sent_at: Timestamp) {
        self.members.insert(CheckedMember { sent_at, id });
    }

    /// Removes a member whose last check was sent at `sent_at` from the order of checks.
    pub(super) fn remove(&mut self, id: MemberId, sent_at: Timestamp) {
        self.members.remove(&CheckedMember { sent_at, id });
    }

    /// Drops everything about a member whose last check was sent at `sent_at`.
    pub(super) fn forget(&mut self, id: MemberId, sent_at: Timestamp) {
        self.remove(id, sent_at);
        self.possibly_suspected.remove(&id);
    }

    /// Records that a check of the member is sent now, where the previous one was sent at
    /// `earlier`.
    pub(super) fn check_sent(&mut self, id: MemberId, earlier: Timestamp, now: Timestamp) {
        let queued = CheckedMember {
            sent_at: earlier,
            id,
        };
        if self.members.remove(&queued) {
            self.insert(id, now);
        }
    }

    /// Sets whether a member may be suspected.
    pub(super) fn set_possibly_suspected(&mut self, id: MemberId, possibly_suspected: bool) {
        if possibly_suspected {
            self.possibly_suspected.insert(id);
        } else {
            self.possibly_suspected.remove(&id);
        }
    }

    /// Returns the members that may be suspected.
    pub(super) fn possibly_suspected(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.possibly_suspected.iter().copied()
    }

    /// Records that a shared result of the group was obtained at `obtained_at`, where the previous
    /// one was obtained at `earlier`. Returns whether the group's members needed periodic checks
    /// until now and need none any more.
    pub(super) fn record_shared_result(
        &mut self,
        id: GroupId,
        earlier: Timestamp,
        obtained_at: Timestamp,
    ) -> bool {
        let was_shared = self.shared_groups.remove(&SharedGroup {
            obtained_at: earlier,
            id,
        });
        self.shared_groups.insert(SharedGroup { obtained_at, id });
        !was_shared
    }

    /// Returns whether the members of a group need no periodic checks, given when its last shared
    /// result was obtained.
    pub(super) fn is_shared(&self, id: GroupId, obtained_at: Timestamp) -> bool {
        self.shared_groups
            .contains(&SharedGroup { obtained_at, id })
    }

    /// Takes the next group whose last shared result was obtained at `newest_outdated` or
    /// earlier.
    pub(super) fn take_outdated_group(&mut self, newest_outdated: Timestamp) -> Option<GroupId> {
        self.shared_groups
            .first()
            .filter(|group| group.obtained_at <= newest_outdated)?;
        self.shared_groups.pop_first().map(|group| group.id)
    }

    /// Returns the members whose last check was sent at least `interval` ago, least recent first.
    pub(super) fn checked_before(
        &self,
        now: Timestamp,
        interval: TimeDelta,
    ) -> impl Iterator<Item = MemberId> + '_ {
        let members = self.members.iter();
        members
            .take_while(move |member| now - member.sent_at >= interval)
            .map(|member| member.id)
    }
}
