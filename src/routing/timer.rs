//! The router's timer: when its caller is asked to wake it up.

use super::action::Action;
use super::router::Router;
use super::time::{TimeDelta, Timestamp};

/// While requests are queued, the timer is set this many ticks ahead.
const TICKS_WHILE_QUEUED: i64 = 2;

/// The one timer that is set at a time.
#[derive(Debug, Default)]
pub(super) struct TimerSchedule {
    fires_at: Timestamp,
}

impl TimerSchedule {
    /// Time after which a timer must be set, if one is wanted and none is set that fires by then.
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
    /// Sets a timer: soon while requests are queued, else for the next review. Only one is set at a
    /// time, and none for an idle router: with hundreds of gateways, timers that always run would
    /// outnumber the requests.
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
