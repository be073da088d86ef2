//! The fleet's watch, as one gateway takes part in it: heartbeats sent and received, and what follows from them.

use crate::heartbeat::Heartbeat;
use crate::poll_decision::{LocalState, PollDecision};
use crate::settings::Settings;
use crate::Revision;
use irisrouter_cluster_types::{Epoch, HostId, Timestamp};

/// Which list a heartbeat announces. Ordered by epoch first: the list of a later watcher counts, even if it is older.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AnnouncedList {
    epoch: Epoch,
    revision: Revision,
}

/// The heartbeat that counts, with what was done about it.
struct ReceivedHeartbeat {
    list: AnnouncedList,
    /// When the last heartbeat of this revision arrived.
    last_received_at: Timestamp,
    /// When the first heartbeat of this revision arrived.
    first_received_at: Timestamp,
    /// When this gateway last fetched the list because of this revision.
    fetched_at: Option<Timestamp>,
}

/// The heartbeat that this gateway sent last.
struct SentHeartbeat {
    revision: Revision,
    sent_at: Timestamp,
}

/// The fleet's watch, as one gateway sees it.
pub struct EndpointWatcher {
    settings: Settings,
    received: Option<ReceivedHeartbeat>,
    sent: Option<SentHeartbeat>,
    /// Whether this gateway's last call to the service was answered.
    healthy: bool,
}

impl EndpointWatcher {
    /// A gateway that has received no heartbeat.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            received: None,
            sent: None,
            healthy: false,
        }
    }

    /// Takes a heartbeat of another gateway, and returns whether it counts. It does not where its epoch is older than the
    /// latest one received, nor where its revision is older under the same epoch: a datagram that was delayed would bring
    /// an older list back.
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

    /// Records whether this gateway's last call to the service was answered. A watcher that can't reach the service sends
    /// no heartbeats, as these would stop all others from watching for themselves.
    pub fn record_call(&mut self, answered: bool) {
        self.healthy = answered;
    }

    /// The heartbeat that this gateway is to send now: at once with a new revision, and then at each interval, while it
    /// holds the lease of the watch and its calls are answered.
    pub fn due_heartbeat(
        &mut self,
        now: Timestamp,
        local: LocalState,
        hosts_out_of_service: impl FnOnce() -> Vec<HostId>,
    ) -> Option<Heartbeat> {
        if !self.healthy {
            return None;
        }
        let epoch = local.fencing_token?;
        let revision = local.revision?;
        let interval = self.settings.heartbeat_interval;
        let announced = self
            .sent
            .as_ref()
            .is_some_and(|sent| sent.revision == revision && now < sent.sent_at + interval);
        if announced {
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

    /// When [`EndpointWatcher::due_heartbeat`] may return one next; `holds_lease` says whether this gateway holds the lease
    /// of the watch.
    #[must_use]
    pub fn next_heartbeat_at(&self, now: Timestamp, holds_lease: bool) -> Timestamp {
        if !holds_lease {
            return Timestamp::MAX;
        }
        let interval = self.settings.heartbeat_interval;
        match &self.sent {
            Some(sent) if self.healthy => sent.sent_at + interval,
            _ => now + interval,
        }
    }

    /// Whether another gateway watches a list that is not older than this gateway's, so that this one need not watch.
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

    /// What this gateway is to do next about its own list. After [`PollDecision::Fetch`] the caller is taken to have
    /// fetched.
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
        // A service that does not have the announced revision yet must not be called without end.
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
