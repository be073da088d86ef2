//! What is known of a member's role and of how far it has applied the primary's log.

use super::endpoint::{LoadReport, ReplicationStatus, Role};
use super::identifiers::Nanos;

/// The primary role as the endpoint list gives it, in place of a time: that list is late, so any
/// observation outweighs it.
const PRIMARY_BY_ENDPOINT_LIST: Nanos = 1;

/// Role and replication position of a member.
#[derive(Clone, Debug, Default)]
pub(super) struct Replication {
    /// The member has applied all commits up to this time. It never regresses.
    pub(super) position: Nanos,
    /// How far the position was behind when last measured.
    pub(super) lag: Nanos,
    /// When the lag was measured.
    pub(super) lag_measured_at: Nanos,
    /// Latest time at which the member was known to be primary; 0 for never.
    pub(super) last_primary_at: Nanos,
    /// Latest time at which the member was known not to be primary; 0 for never.
    pub(super) last_replica_at: Nanos,
}

impl Replication {
    /// The member has been seen as primary, and not as a replica since.
    pub(super) fn is_primary(&self) -> bool {
        self.last_primary_at > self.last_replica_at
    }

    /// The last measured lag, or none if that measurement is older than `lifetime`.
    pub(super) fn recent_lag(&self, now: Nanos, lifetime: Nanos) -> Nanos {
        if now - self.lag_measured_at < lifetime {
            self.lag
        } else {
            0
        }
    }

    /// Sets the lag as measured now.
    pub(super) fn measure_lag(&mut self, lag: Nanos, now: Nanos) {
        self.lag = lag;
        self.lag_measured_at = now;
    }

    /// A new process has started: it is a replica, whatever the last one was.
    pub(super) fn process_started(&mut self, started: Option<Nanos>) {
        self.last_replica_at = self.last_replica_at.max(started.unwrap_or(0));
    }

    /// The endpoint list takes the member for the primary. The list is late on roles, so this is
    /// only a hint, and only for a member that has shown no role itself.
    pub(super) fn listed_as_primary(&mut self) {
        if self.last_primary_at == 0 && self.last_replica_at == 0 {
            self.last_primary_at = PRIMARY_BY_ENDPOINT_LIST;
        }
    }

    /// Takes the status that came with an answer. A commit that the primary has answered is a
    /// position it has reached.
    pub(super) fn apply_status(&mut self, status: ReplicationStatus, now: Nanos) {
        match status.role {
            Role::Primary => self.last_primary_at = self.last_primary_at.max(now),
            Role::Replica => self.last_replica_at = self.last_replica_at.max(now),
        }
        if let Some(position) = status.position {
            self.position = self.position.max(position);
            self.measure_lag(now - position, now);
        }
    }

    /// Takes the role and the position of a report that was obtained at `obtained_at`. Returns
    /// whether the position is new.
    ///
    /// A primary's position is the time of its report, and positions never regress: that orders
    /// reports among themselves and against answers, however late they arrive.
    pub(super) fn apply_report(&mut self, report: LoadReport, obtained_at: Nanos) -> bool {
        let Some(position) = report.position else {
            return false;
        };
        match report.primary {
            Some(true) => self.last_primary_at = self.last_primary_at.max(position),
            Some(false) if position >= self.last_primary_at => {
                self.last_replica_at = self.last_replica_at.max(position + 1);
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
