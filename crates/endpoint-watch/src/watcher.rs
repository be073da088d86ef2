//! One gateway's part in the shared watch: the heartbeats that it sends and receives, and when it polls the service.

use crate::heartbeat::Heartbeat;
use crate::poll_decision::{LocalState, PollDecision};
use crate::settings::Settings;
use crate::Revision;
use irisrouter_cluster_types::{Epoch, HostId, Timestamp};

/// The list that a heartbeat announces. It is ordered by epoch first, because the list of a later watcher is
/// authoritative even if its revision is older.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AnnouncedList {
    epoch: Epoch,
    revision: Revision,
}

/// The latest accepted heartbeats, which announce the same list, and the fetch that they caused.
struct ReceivedHeartbeat {
    list: AnnouncedList,
    /// Time at which the last heartbeat with this list arrived.
    last_received_at: Timestamp,
    /// Time at which the first heartbeat with this list arrived.
    first_received_at: Timestamp,
    /// Time at which this gateway last fetched its list because of these heartbeats.
    fetched_at: Option<Timestamp>,
}

/// The last heartbeat that this gateway sent.
struct SentHeartbeat {
    revision: Revision,
    sent_at: Timestamp,
}

/// The state of the shared watch in one gateway.
pub struct EndpointWatcher {
    settings: Settings,
    received: Option<ReceivedHeartbeat>,
    sent: Option<SentHeartbeat>,
    /// Whether this gateway's last call to the service was answered.
    last_call_answered: bool,
}

impl EndpointWatcher {
    /// Creates the state of a gateway that has neither sent nor received a heartbeat.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            received: None,
            sent: None,
            last_call_answered: false,
        }
    }

    /// Records a heartbeat of another gateway, and returns whether it was accepted. A heartbeat is ignored if its epoch
    /// is older than the latest accepted one, or if the epoch is the same and its revision is older. Otherwise a
    /// delayed datagram would bring back the state of an older list.
    pub fn receive_heartbeat(&mut self, now: Timestamp, epoch: Epoch, revision: Revision) -> bool {
        let list = AnnouncedList { epoch, revision };
        if let Some(latest) = &mut self.received {
            if list < latest.list {
                return false;
            }
            if list == latest.list {
                latest.last_received_at = now;
                return true;
            }
        }
        self.received = Some(ReceivedHeartbeat {
            list,
            last_received_at: now,
            first_received_at: now,
            fetched_at: None,
        });
        true
    }

    /// Records whether the service answered this gateway's last call. A watcher that can't reach the service sends no
    /// heartbeats, because they would keep all other gateways from watching the service themselves.
    pub fn record_call(&mut self, answered: bool) {
        self.last_call_answered = answered;
    }

    /// Returns the heartbeat that this gateway is to send now, or `None` if none is due. A gateway sends heartbeats
    /// while it holds the lease of the watch and the service answers its calls: at once for a new revision, and then at
    /// each interval.
    pub fn due_heartbeat(
        &mut self,
        now: Timestamp,
        local: LocalState,
        hosts_out_of_service: impl FnOnce() -> Vec<HostId>,
    ) -> Option<Heartbeat> {
        if !self.last_call_answered {
            return None;
        }
        let epoch = local.fencing_token?;
        let revision = local.revision?;
        let interval = self.settings.heartbeat_interval;
        let already_announced = self
            .sent
            .as_ref()
            .is_some_and(|sent| sent.revision == revision && now < sent.sent_at + interval);
        if already_announced {
            return None;
        }
        self.sent = Some(SentHeartbeat {
            revision,
            sent_at: now,
        });
        Some(Heartbeat {
            epoch,
            revision,
            hosts_out_of_service: hosts_out_of_service(),
        })
    }

    /// Returns the time at which the caller is to call [`EndpointWatcher::due_heartbeat`] next, or [`Timestamp::MAX`]
    /// if this gateway does not hold the lease of the watch (`holds_lease`).
    #[must_use]
    pub fn next_heartbeat_at(&self, now: Timestamp, holds_lease: bool) -> Timestamp {
        if !holds_lease {
            return Timestamp::MAX;
        }
        let interval = self.settings.heartbeat_interval;
        match &self.sent {
            Some(sent) if self.last_call_answered => sent.sent_at + interval,
            _ => now + interval,
        }
    }

    /// Returns whether another gateway watches the service and has a list that is not older than this gateway's, so
    /// that this gateway need not watch.
    #[must_use]
    pub fn is_superseded(&self, now: Timestamp, local: LocalState) -> bool {
        if local.fencing_token.is_some() || local.needs_full_list {
            return false;
        }
        let (Some(latest), Some(revision)) = (&self.received, local.revision) else {
            return false;
        };
        now < latest.last_received_at + self.settings.silence_timeout
            && latest.list.revision >= revision
    }

    /// Decides the next step for this gateway's own list. The caller must carry out a returned [`PollDecision::Fetch`],
    /// because a fetch for an announced revision is recorded here as made.
    pub fn decide_poll(&mut self, now: Timestamp, local: LocalState) -> PollDecision {
        let Some(revision) = local.revision.filter(|_| !local.needs_full_list) else {
            return PollDecision::Fetch;
        };
        let superseded = self.is_superseded(now, local);
        let Some(latest) = self.received.as_mut().filter(|_| superseded) else {
            return PollDecision::Watch;
        };
        let settings = self.settings;
        if latest.list.revision == revision {
            let silent_at = latest.last_received_at + settings.silence_timeout;
            return PollDecision::Wait(silent_at.saturating_duration_since(now));
        }
        // Without the interval, this gateway would call the service in a busy loop until it returns the announced
        // revision.
        let fetch_at = match latest.fetched_at {
            Some(fetched_at) => fetched_at + settings.refetch_interval,
            None => latest.first_received_at + settings.fetch_stagger * local.rank,
        };
        if now < fetch_at {
            return PollDecision::Wait(fetch_at.saturating_duration_since(now));
        }
        latest.fetched_at = Some(now);
        PollDecision::Fetch
    }
}
