//! Schedule of the groups for whose queued requests selection runs in a batch.

use super::identifiers::GroupId;
use std::collections::BTreeSet;

/// The groups for whose queued requests selection is to run again.
#[derive(Clone, Debug, Default)]
pub(super) struct SelectionSchedule {
    /// Groups whose state has changed since the last batch.
    changed: BTreeSet<GroupId>,
    /// Groups with queued requests.
    queued: BTreeSet<GroupId>,
}

impl SelectionSchedule {
    /// Records that the state of a group has changed, which makes it due in the current batch.
    pub(super) fn group_changed(&mut self, id: GroupId) {
        self.changed.insert(id);
    }

    /// Sets whether a group has queued requests.
    pub(super) fn set_queued(&mut self, id: GroupId, queued: bool) {
        if queued {
            self.queued.insert(id);
        } else {
            self.queued.remove(&id);
        }
    }

    /// Returns whether any group has queued requests.
    pub(super) fn has_queued(&self) -> bool {
        !self.queued.is_empty()
    }

    /// Takes the groups that are due: those whose state has changed, and all groups with queued
    /// requests. The latter are always due because a queued request may become possible to send as
    /// time passes, and because all groups share the budgets.
    pub(super) fn take_due(&mut self) -> BTreeSet<GroupId> {
        let mut due = std::mem::take(&mut self.changed);
        due.extend(&self.queued);
        due
    }
}
