//! The order in which members become due for periodic health checks, kept so that a request takes no
//! walk over all members to find the next ones.

use super::identifiers::{GroupId, MemberId};
use super::time::{TimeDelta, Timestamp};
use std::collections::BTreeSet;

/// A member, ordered by when it was last checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CheckedMember {
    sent_at: Timestamp,
    id: MemberId,
}

/// A group, ordered by its last shared result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SharedGroup {
    obtained_at: Timestamp,
    id: GroupId,
}

/// Members in the order of their last periodic health check.
#[derive(Clone, Debug, Default)]
pub(super) struct HealthCheckQueue {
    /// The members of the groups that are not in `shared`.
    members: BTreeSet<CheckedMember>,
    /// The members that may be suspected: a request is in flight there, or they could not be
    /// reached.
    doubtful: BTreeSet<MemberId>,
    /// The groups that had recent shared results when they were last looked at. Their members need
    /// no periodic checks.
    shared: BTreeSet<SharedGroup>,
}

impl HealthCheckQueue {
    /// Adds a member whose last check was sent then.
    pub(super) fn insert(&mut self, id: MemberId, sent_at: Timestamp) {
        self.members.insert(CheckedMember { sent_at, id });
    }

    /// Removes a member whose last check was sent then.
    pub(super) fn remove(&mut self, id: MemberId, sent_at: Timestamp) {
        self.members.remove(&CheckedMember { sent_at, id });
    }

    /// Forgets a member whose last check was sent then.
    pub(super) fn forget(&mut self, id: MemberId, sent_at: Timestamp) {
        self.remove(id, sent_at);
        self.doubtful.remove(&id);
    }

    /// A check of the member is sent now, after one that was sent at `earlier`.
    pub(super) fn check_sent(&mut self, id: MemberId, earlier: Timestamp, now: Timestamp) {
        let queued = CheckedMember {
            sent_at: earlier,
            id,
        };
        if self.members.remove(&queued) {
            self.insert(id, now);
        }
    }

    /// Notes whether a member may be suspected.
    pub(super) fn set_doubtful(&mut self, id: MemberId, doubtful: bool) {
        if doubtful {
            self.doubtful.insert(id);
        } else {
            self.doubtful.remove(&id);
        }
    }

    /// The members that may be suspected.
    pub(super) fn doubtful(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.doubtful.iter().copied()
    }

    /// A shared result of the group was obtained then, after one that was obtained at `earlier`.
    /// Returns whether the group needs no periodic checks from now on, and did before.
    pub(super) fn shared_result(
        &mut self,
        id: GroupId,
        earlier: Timestamp,
        obtained_at: Timestamp,
    ) -> bool {
        let was_shared = self.shared.remove(&SharedGroup {
            obtained_at: earlier,
            id,
        });
        self.shared.insert(SharedGroup { obtained_at, id });
        !was_shared
    }

    /// Whether the members of a group whose last shared result was obtained then are left out.
    pub(super) fn is_shared(&self, id: GroupId, obtained_at: Timestamp) -> bool {
        self.shared.contains(&SharedGroup { obtained_at, id })
    }

    /// Takes the next group whose last shared result was obtained before `recent`.
    pub(super) fn take_outdated_group(&mut self, recent: Timestamp) -> Option<GroupId> {
        self.shared
            .first()
            .filter(|group| group.obtained_at <= recent)?;
        self.shared.pop_first().map(|group| group.id)
    }

    /// The members whose last check was sent at least `interval` ago, the longest ago first.
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
