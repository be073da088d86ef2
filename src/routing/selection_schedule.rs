//! The groups for which queued requests are selected for in a batch.

use super::identifiers::GroupId;
use std::collections::BTreeSet;

/// The groups whose queued requests wait to be selected for again.
#[derive(Clone, Debug, Default)]
pub(super) struct SelectionSchedule {
    /// The groups in which something has changed since the last batch.
    changed: BTreeSet<GroupId>,
    /// The groups with queued requests.
    queued: BTreeSet<GroupId>,
}

impl SelectionSchedule {
    /// Something has changed in a group: it is due with the present batch.
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

    /// Some group has queued requests.
    pub(super) fn has_queued(&self) -> bool {
        !self.queued.is_empty()
    }

    /// Takes the groups that are due: those in which something has changed, and those with queued
    /// requests, as what these wait for may come with time, and as all share the budgets.
    pub(super) fn take_due(&mut self) -> BTreeSet<GroupId> {
        let mut due = std::mem::take(&mut self.changed);
        due.extend(&self.queued);
        due
    }
}
