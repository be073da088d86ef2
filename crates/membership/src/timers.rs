//! The times at which the periodic work of a member is due.

use crate::settings::Settings;
use irisrouter_cluster_types::{Milliseconds, Timestamp};

/// When each kind of periodic work is due next.
#[derive(Debug, Clone)]
pub(crate) struct Timers {
    /// When the next scheduled ping starts.
    pub ping: Timestamp,
    /// When the next gossip is sent, unless the dissemination queue is empty.
    pub gossip: Timestamp,
    /// When the next join is sent to a member that is unknown or down.
    pub rejoin: Timestamp,
    /// Interval between the next rejoin and the one after it; doubles with each rejoin, up to `rejoin_interval`.
    rejoin_pause: Milliseconds,
}

impl Timers {
    /// Creates the timers of a member that starts at `now` and sends its first ping at `first_ping`.
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

    /// Ends the backoff; after the next rejoin, further ones follow at the full `rejoin_interval`.
    pub(crate) fn end_rejoin_backoff(&mut self, settings: &Settings) {
        self.rejoin_pause = settings.rejoin_interval;
    }
}
