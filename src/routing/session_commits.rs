//! Positions of the last commits of sessions, in bounded memory.

use super::endpoint::ReplicationStatus;
use super::identifiers::SessionId;
use super::time::{TimeDelta, Timestamp};
use std::collections::HashMap;

/// Margin that is added to a time, because commit times are rounded up and positions down to the
/// millisecond.
pub(super) const COMMIT_ROUNDING_MARGIN: TimeDelta = TimeDelta::from_millis(1);
/// Maximum number of sessions whose commits are known one by one.
const MAX_SESSIONS: usize = 65_536;

/// Returns the position of a write that may have run and whose attempt has ended now with this
/// status. Where the status has none, it is the latest possible one.
pub fn latest_commit_position(status: Option<ReplicationStatus>, now: Timestamp) -> Timestamp {
    let position = status.and_then(|status| status.position);
    position.unwrap_or(now + COMMIT_ROUNDING_MARGIN)
}

/// The position of the last commit of each session. The oldest commits are forgotten one by one when there are too many
/// sessions; a session without a known commit then counts as one that committed last among the forgotten ones, so that
/// no read is answered from data that is too old.
#[derive(Clone, Debug)]
pub(super) struct SessionCommits {
    by_session: HashMap<SessionId, Timestamp>,
    /// Latest position among the forgotten commits.
    forgotten_up_to: Timestamp,
}

impl Default for SessionCommits {
    fn default() -> Self {
        SessionCommits {
            by_session: HashMap::new(),
            forgotten_up_to: Timestamp::MIN,
        }
    }
}

impl SessionCommits {
    /// Returns the position that a member must have reached to see the last commit of a session.
    pub(super) fn position(&self, session: SessionId) -> Timestamp {
        let known = self.by_session.get(&session).copied();
        known.unwrap_or(self.forgotten_up_to)
    }

    /// Records the position of a commit of a session.
    pub(super) fn record(&mut self, session: SessionId, position: Timestamp) {
        let commit = self.by_session.entry(session).or_insert(position);
        *commit = (*commit).max(position);
        if self.by_session.len() > MAX_SESSIONS {
            self.forget_older_half();
        }
    }

    fn forget_older_half(&mut self) {
        let mut positions: Vec<Timestamp> = self.by_session.values().copied().collect();
        let middle = positions.len() / 2;
        let (_, &mut cutoff, _) = positions.select_nth_unstable(middle);
        self.by_session.retain(|_, position| *position > cutoff);
        self.forgotten_up_to = self.forgotten_up_to.max(cutoff);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/session_commits.rs"]
mod tests;
