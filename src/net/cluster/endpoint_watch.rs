//! The shell of the fleet's watch: the core of `irisrouter_endpoint_watch` fed with beats, the time and what this gateway owns
//! and has, and asked by discovery what to do next.

use crate::net::cluster::leases::{LeaseService, LeasedTask};
use crate::net::cluster::membership::MembershipService;
use crate::net::discovery::ListPosition;
use crate::net::log::log;
use crate::net::metrics::{increment, Metrics};
use crate::net::upstream::Upstream;
use irisrouter_endpoint_watch::{
    codec, EndpointWatcher as Core, Own, PollDecision, Settings, MOST_OUT,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// A gateway that rests looks again after so long at most: it may have become the watcher meanwhile.
const LOOK: Duration = Duration::from_millis(200);

/// The fleet's watch of the list, as one gateway sees it.
pub struct EndpointWatchService {
    core: RefCell<Core>,
    membership: Rc<MembershipService>,
    leases: Rc<LeaseService>,
    upstream: Rc<Upstream>,
    metrics: Rc<Metrics>,
    start: Instant,
    /// A beat came, or the own list is another.
    changed: Notify,
    /// What this gateway does: for the log.
    rests: Cell<Option<bool>>,
    /// The beat is to leave now.
    news: Notify,
}

impl EndpointWatchService {
    /// A gateway that has heard nobody.
    pub fn new(
        (membership, leases, upstream): (Rc<MembershipService>, Rc<LeaseService>, Rc<Upstream>),
        lease_ms: u64,
        metrics: Rc<Metrics>,
    ) -> Self {
        log!("list watch: on, one gateway watches the list for all");
        Self {
            core: RefCell::new(Core::new(Settings::paced(lease_ms))),
            membership,
            leases,
            upstream,
            metrics,
            start: Instant::now(),
            changed: Notify::new(),
            rests: Cell::new(None),
            news: Notify::new(),
        }
    }

    fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn own(&self, revision: Option<u64>, whole: bool) -> Own {
        let me = self.membership.local_node().number;
        let place = self
            .membership
            .not_down()
            .iter()
            .filter(|&&n| n < me)
            .count() as u64;
        Own {
            token: self.leases.fencing_token(LeasedTask::EndpointWatch),
            revision,
            whole,
            place,
        }
    }

    /// Takes a beat of gateway `from`.
    pub fn receive(&self, datagram: &[u8], from: u32) {
        match codec::decode(datagram) {
            Ok(beat) => {
                if self
                    .core
                    .borrow_mut()
                    .heard(self.now(), beat.epoch, beat.revision)
                {
                    self.upstream
                        .apply_watch_heartbeat(beat.revision, &beat.out);
                    self.changed.notify_one();
                }
            }
            Err(why) => {
                increment(&self.metrics.gossip.ignored);
                log!("list watch: a datagram from gateway {from} is not used: {why}");
            }
        }
    }

    /// The datagram that all others are to hear now, where there is one.
    pub fn heartbeat(&self) -> Option<Vec<u8>> {
        let own = self.own(Some(self.upstream.revision()), false);
        let out = || self.upstream.out_of_service(MOST_OUT);
        self.core
            .borrow_mut()
            .beat(self.now(), own, out)
            .map(|beat| codec::encode(&beat))
    }

    /// How long [`EndpointWatchService::heartbeat`] has none.
    pub fn due(&self) -> Duration {
        let (now, owned) = (
            self.now(),
            self.leases
                .fencing_token(LeasedTask::EndpointWatch)
                .is_some(),
        );
        Duration::from_millis(
            self.core
                .borrow()
                .next_beat(now, owned)
                .saturating_sub(now)
                .min(60_000),
        )
    }

    /// Waits until there is news to tell.
    pub async fn send_requested(&self) {
        self.news.notified().await;
    }

    /// The own call was answered, or failed.
    pub fn call_ended(&self, well: bool) {
        self.core.borrow_mut().well(well);
        self.news.notify_one();
    }

    /// Waits until this gateway is to call, and says whether that is to watch.
    pub async fn wait_for_turn(&self, seen: &ListPosition) -> bool {
        loop {
            let turn = self
                .core
                .borrow_mut()
                .turn(self.now(), self.own(seen.revision, seen.whole));
            let rest = match turn {
                PollDecision::Watch => return self.does(false, true),
                PollDecision::Fetch => {
                    increment(&self.metrics.endpoint_watch.fetches);
                    return false;
                }
                PollDecision::Rest(ms) => Duration::from_millis(ms).min(LOOK),
            };
            self.does(true, false);
            let _ = timeout(rest, self.changed.notified()).await;
        }
    }

    /// Waits until another gateway is heard to watch, so that a watch of this one's own is of no use.
    pub async fn superseded(&self, seen: &ListPosition) {
        loop {
            self.changed.notified().await;
            if self
                .core
                .borrow()
                .relieved(self.now(), self.own(seen.revision, seen.whole))
            {
                return;
            }
        }
    }

    /// Whether this gateway goes on calling now, and whether that is to watch; none where it is to rest first.
    pub fn next_turn(&self, seen: &ListPosition) -> Option<bool> {
        let turn = self
            .core
            .borrow_mut()
            .turn(self.now(), self.own(seen.revision, seen.whole));
        match turn {
            PollDecision::Watch => Some(self.does(false, true)),
            PollDecision::Fetch => {
                increment(&self.metrics.endpoint_watch.fetches);
                Some(false)
            }
            PollDecision::Rest(_) => None,
        }
    }

    /// One log line where a gateway begins to rest, or to watch.
    fn does(&self, rests: bool, watches: bool) -> bool {
        if self.rests.replace(Some(rests)) != Some(rests) {
            match (rests, self.leases.fencing_token(LeasedTask::EndpointWatch)) {
                (true, _) => log!("list watch: another gateway watches the list for this one"),
                (false, Some(epoch)) => {
                    log!("list watch: this gateway watches the list for all, epoch {epoch}")
                }
                (false, None) => {
                    log!("list watch: nobody is heard to watch the list, this gateway watches for itself")
                }
            }
        }
        watches
    }
}
