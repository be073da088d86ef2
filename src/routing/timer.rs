//! The router's timer, by which it asks its caller for another batch at a later time.

use super::action::Action;
use super::router::Router;
use super::time::{TimeDelta, Timestamp};

/// Ticks until the timer fires while requests are queued.
const TICKS_WHILE_QUEUED: i64 = 2;

/// State of the router's timer. The router has at most one timer set at a time.
#[derive(Debug, Default)]
pub(super) struct TimerSchedule {
    fires_at: Timestamp,
}

impl TimerSchedule {
    /// Returns the time after which a new timer must fire, or `None` if no timer is wanted or one
    /// is already set that fires no later.
    fn arm(&mut self, now: Timestamp, wanted_at: Option<Timestamp>) -> Option<TimeDelta> {
        let wanted_at = wanted_at?;
        if self.fires_at > now && self.fires_at <= wanted_at {
            return None;
        }
        self.fires_at = wanted_at;
        Some(wanted_at - now)
    }
}

impl Router {
    /// Sets the timer: to fire within a few ticks while requests are queued, otherwise at the next
    /// review. Only one timer is set at a time, and an idle router sets none, because with hundreds
    /// of gateways, timers that always run would outnumber the requests.
    pub(super) fn set_timer(&mut self) {
        let now = self.fleet.now;
        let soon = now + self.fleet.settings.tick * TICKS_WHILE_QUEUED;
        let queued = self.fleet.selection.has_queued();
        let wanted_at = if queued {
            Some(soon)
        } else {
            let next_review_at = self.requests.next_review_at();
            next_review_at.map(|time| time.max(soon))
        };
        if let Some(after) = self.timer.arm(now, wanted_at) {
            self.actions.push(Action::SetTimer { after });
        }
    }
}
