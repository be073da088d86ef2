//! The shell of the fleet's watch: the core of `irisrouter_listwatch` fed with beats, the time and what this gateway owns
//! and has, and asked by discovery what to do next.

use super::backend::Backend;
use super::counters::{count, Counters};
use super::discovery::Seen;
use super::duties::{Duty, Owners};
use super::log::log;
use super::membership::Members;
use irisrouter_listwatch::{codec, ListWatch as Core, Own, Settings, Turn, MOST_OUT};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// A gateway that rests looks again after so long at most: it may have become the watcher meanwhile.
const LOOK: Duration = Duration::from_millis(200);

/// The fleet's watch of the list, as one gateway sees it.
pub struct ListWatch {
    core: RefCell<Core>,
    members: Rc<Members>,
    owners: Rc<Owners>,
    backend: Rc<Backend>,
    counters: Rc<Counters>,
    start: Instant,
    /// A beat came, or the own list is another.
    changed: Notify,
    /// What this gateway does: for the log.
    rests: Cell<Option<bool>>,
    /// The beat is to leave now.
    news: Notify,
}

impl ListWatch {
    /// A gateway that has heard nobody.
    pub fn new(
        (members, owners, backend): (Rc<Members>, Rc<Owners>, Rc<Backend>),
        lease_ms: u64,
        counters: Rc<Counters>,
    ) -> Self {
        log!("list watch: on, one gateway watches the list for all");
        Self {
            core: RefCell::new(Core::new(Settings::paced(lease_ms))),
            members,
            owners,
            backend,
            counters,
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
        let me = self.members.me().number;
        let place = self.members.not_down().iter().filter(|&&n| n < me).count() as u64;
        Own {
            token: self.owners.token(Duty::ListWatch),
            revision,
            whole,
            place,
        }
    }

    /// Takes a beat of gateway `from`.
    pub fn hear(&self, datagram: &[u8], from: u32) {
        match codec::decode(datagram) {
            Ok(beat) => {
                if self
                    .core
                    .borrow_mut()
                    .heard(self.now(), beat.epoch, beat.revision)
                {
                    self.backend.news(beat.revision, &beat.out);
                    self.changed.notify_one();
                }
            }
            Err(why) => {
                count(&self.counters.unheard);
                log!("list watch: a datagram from gateway {from} is not used: {why}");
            }
        }
    }

    /// The datagram that all others are to hear now, where there is one.
    pub fn tick(&self) -> Option<Vec<u8>> {
        let own = self.own(Some(self.backend.revision()), false);
        let out = || self.backend.out_of_service(MOST_OUT);
        self.core
            .borrow_mut()
            .beat(self.now(), own, out)
            .map(|beat| codec::encode(&beat))
    }

    /// How long [`ListWatch::tick`] has none.
    pub fn due(&self) -> Duration {
        let (now, owned) = (self.now(), self.owners.token(Duty::ListWatch).is_some());
        Duration::from_millis(
            self.core
                .borrow()
                .next_beat(now, owned)
                .saturating_sub(now)
                .min(60_000),
        )
    }

    /// Waits until there is news to tell.
    pub async fn woken(&self) {
        self.news.notified().await;
    }

    /// The own call was answered, or failed.
    pub fn well(&self, well: bool) {
        self.core.borrow_mut().well(well);
        self.news.notify_one();
    }

    /// Waits until this gateway is to call, and says whether that is to watch.
    pub async fn turn(&self, seen: &Seen) -> bool {
        loop {
            let turn = self
                .core
                .borrow_mut()
                .turn(self.now(), self.own(seen.revision, seen.whole));
            let rest = match turn {
                Turn::Watch => return self.does(false, true),
                Turn::Fetch => {
                    count(&self.counters.list_fetches);
                    return false;
                }
                Turn::Rest(ms) => Duration::from_millis(ms).min(LOOK),
            };
            self.does(true, false);
            let _ = timeout(rest, self.changed.notified()).await;
        }
    }

    /// Waits until another gateway is heard to watch, so that a watch of this one's own is of no use.
    pub async fn relieved(&self, seen: &Seen) {
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
    pub fn next(&self, seen: &Seen) -> Option<bool> {
        let turn = self
            .core
            .borrow_mut()
            .turn(self.now(), self.own(seen.revision, seen.whole));
        match turn {
            Turn::Watch => Some(self.does(false, true)),
            Turn::Fetch => {
                count(&self.counters.list_fetches);
                Some(false)
            }
            Turn::Rest(_) => None,
        }
    }

    /// One log line where a gateway begins to rest, or to watch.
    fn does(&self, rests: bool, watches: bool) -> bool {
        if self.rests.replace(Some(rests)) != Some(rests) {
            match (rests, self.owners.token(Duty::ListWatch)) {
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
