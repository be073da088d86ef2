//! For which groups queued requests are selected for, and when.

use super::identifiers::GroupId;
use super::time::{TimeDelta, Timestamp};
use std::collections::BTreeSet;

/// The groups whose queued requests wait to be selected for again.
#[derive(Clone, Debug, Default)]
pub(super) struct SelectionSchedule {
    /// The groups in which something has changed since the last batch.
    changed: BTreeSet<GroupId>,
    /// The groups with queued requests.
    queued: BTreeSet<GroupId>,
    /// When the groups with queued requests are all due.
    all_due_at: Timestamp,
}

impl SelectionSchedule {
    /// Something has changed in a group: it is due with the present batch.
    pub(super) fn group_changed(&mut self, id: GroupId) {
        self.changed.insert(id);
    }

    /// The timer has fired: all groups with queued requests are due.
    pub(super) fn timer_fired(&mut self, now: Timestamp) {
        self.all_due_at = now;
    }

    /// Sets whether a group has queued requests.
    pub(super) fn set_queued(&mut self, id: GroupId, queued: bool) {
        if queued {
            self.queued.insert(id);
        } else {
            self.queued.remove(&id);
        }
    }

    /// Some group has queued requests.
    pub(super) fn has_queued(&self) -> bool {
        !self.queued.is_empty()
    }

    /// Takes the groups that are due: those in which something has changed and, once a tick, all
    /// with queued requests, as what these wait for may come with time.
    pub(super) fn take_due(&mut self, now: Timestamp, tick: TimeDelta) -> BTreeSet<GroupId> {
        let mut due = std::mem::take(&mut self.changed);
        if now >= self.all_due_at {
            self.all_due_at = now + tick;
            due.extend(&self.queued);
        }
        due
    }
}
