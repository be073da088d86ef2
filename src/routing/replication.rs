//! State of a member's role, and of how far it has applied the primary's log.

use super::endpoint::{LoadReport, ReplicationStatus, Role};
use super::time::{TimeDelta, Timestamp};

/// Value of `last_primary_at` for a member that only the endpoint list names as the primary. It is
/// earlier than any observation, because the list is late and any observation outweighs it.
const PRIMARY_BY_ENDPOINT_LIST: Timestamp = Timestamp::from_nanos(1);

/// Role and replication position of a member.
#[derive(Clone, Debug, Default)]
pub(super) struct Replication {
    /// The member has applied all commits up to this time. It never goes back.
    pub(super) position: Timestamp,
    /// Lag of the position behind the primary when last measured.
    pub(super) lag: TimeDelta,
    /// When the lag was measured.
    pub(super) lag_measured_at: Timestamp,
    /// Latest time at which the member was known to be primary, or zero for never.
    pub(super) last_primary_at: Timestamp,
    /// Latest time at which the member was known not to be primary, or zero for never.
    pub(super) last_replica_at: Timestamp,
}

impl Replication {
    /// Returns whether the member was observed as primary, and not as a replica since.
    pub(super) fn is_primary(&self) -> bool {
        self.last_primary_at > self.last_replica_at
    }

    /// Returns the last measured lag, or zero if the measurement is older than `lifetime`.
    pub(super) fn recent_lag(&self, now: Timestamp, lifetime: TimeDelta) -> TimeDelta {
        if now - self.lag_measured_at < lifetime {
            self.lag
        } else {
            TimeDelta::ZERO
        }
    }

    /// Sets the lag as measured now.
    pub(super) fn measure_lag(&mut self, lag: TimeDelta, now: Timestamp) {
        self.lag = lag;
        self.lag_measured_at = now;
    }

    /// Records that a new process of the member has started. It is a replica, whatever the role of
    /// the old one was.
    pub(super) fn process_started(&mut self, started: Option<Timestamp>) {
        self.last_replica_at = self.last_replica_at.max(started.unwrap_or(Timestamp::ZERO));
    }

    /// Records that the endpoint list names the member as the primary. Because the list is late on
    /// roles, this is only a hint, and is used only if no role of the member has been observed.
    pub(super) fn listed_as_primary(&mut self) {
        if self.last_primary_at == Timestamp::ZERO && self.last_replica_at == Timestamp::ZERO {
            self.last_primary_at = PRIMARY_BY_ENDPOINT_LIST;
        }
    }

    /// Applies the status that an answer contains. In the primary's answer to a write, the position
    /// is the time of the commit, which the member has therefore reached.
    pub(super) fn apply_status(&mut self, status: ReplicationStatus, now: Timestamp) {
        match status.role {
            Role::Primary => self.last_primary_at = self.last_primary_at.max(now),
            Role::Replica => self.last_replica_at = self.last_replica_at.max(now),
        }
        if let Some(position) = status.position {
            self.position = self.position.max(position);
            self.measure_lag(now - position, now);
        }
    }

    /// Applies the role and the position of a report that was obtained at `obtained_at`. Returns
    /// whether the position is at least the last known one.
    ///
    /// A primary's position is the time of its report, and positions never go back. Reports can
    /// therefore be ordered by position, relative to each other and to answers, however late they
    /// arrive.
    pub(super) fn apply_report(&mut self, report: LoadReport, obtained_at: Timestamp) -> bool {
        let Some(position) = report.position else {
            return false;
        };
        match report.primary {
            Some(true) => self.last_primary_at = self.last_primary_at.max(position),
            Some(false) if position >= self.last_primary_at => {
                self.last_replica_at = self.last_replica_at.max(position + TimeDelta::NANOSECOND);
            }
            _ => {}
        }
        let is_new = position >= self.position;
        if is_new {
            self.position = position;
            self.measure_lag(obtained_at - position, obtained_at);
        }
        is_new
    }
}
