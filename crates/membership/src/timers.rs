//! The times at which the periodic work of a member is due.

use crate::settings::Settings;
use irisrouter_cluster_types::{Milliseconds, Timestamp};

/// When each kind of periodic work is due next.
#[derive(Debug, Clone)]
pub(crate) struct Timers {
    /// The ping of the next protocol period.
    pub ping: Timestamp,
    /// The next gossip, if there is something to pass on.
    pub gossip: Timestamp,
    /// The next join to a member that is unknown or down.
    pub rejoin: Timestamp,
    /// The pause after the next rejoin; it doubles up to `rejoin_interval`.
    rejoin_pause: Milliseconds,
}

impl Timers {
    /// The timers of a member that starts at `now` and pings for the first time at `first_ping`.
    pub(crate) fn new(now: Timestamp, first_ping: Timestamp, settings: &Settings) -> Self {
        Self {
            ping: first_ping,
            gossip: now,
            rejoin: now + settings.gossip_interval,
            rejoin_pause: settings.gossip_interval,
        }
    }

    /// Schedules the ping after the one that is due at `now`.
    pub(crate) fn schedule_next_ping(&mut self, now: Timestamp, settings: &Settings) {
        self.ping = now + settings.protocol_period;
    }

    /// Schedules the gossip after the one that is due at `now`.
    pub(crate) fn schedule_next_gossip(&mut self, now: Timestamp, settings: &Settings) {
        self.gossip = now + settings.gossip_interval;
    }

    /// Schedules the rejoin after the one that is due at `now`, with exponential backoff.
    pub(crate) fn schedule_next_rejoin(&mut self, now: Timestamp, settings: &Settings) {
        self.rejoin = now + self.rejoin_pause;
        self.rejoin_pause = (self.rejoin_pause * 2).min(settings.rejoin_interval);
    }

    /// Ends the backoff: further rejoins follow at the full interval.
    pub(crate) fn end_rejoin_backoff(&mut self, settings: &Settings) {
        self.rejoin_pause = settings.rejoin_interval;
    }
}
