//! The shell of writes in hand: the core of `irisrouter_inhand` fed with datagrams and the time, and asked by the tasks of
//! requests. What is to be sent leaves with the peer task, which is woken for it.

use super::counters::{count, Counters};
use super::duration;
use super::log::log;
use super::membership::Members;
use super::peers::{Outbox, Sent};
use irisrouter::api::{Class, Outcome as Attempt, Repeat};
use irisrouter_inhand::{Action, InHand, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;

/// With less of its window left a write is not sent again: what decides on it needs a moment.
const SOONEST: Duration = Duration::from_millis(5);

/// What is known of a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Before {
    /// It was never sent.
    Unsent,
    /// It may have run from then on, in Unix milliseconds.
    MayHaveRun(u64),
    /// Too few of those that would know have answered.
    Unproven,
}

/// The writes in hand of one gateway, and those that it keeps for others.
pub struct Hand {
    core: RefCell<InHand>,
    members: Rc<Members>,
    start: Instant,
    counters: Rc<Counters>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Outcome>>>,
    out: Outbox,
    wake: Notify,
    /// Clients mark their repeats; where they do not, any write may be one.
    marked: bool,
}

impl Hand {
    /// A gateway that keeps nothing yet.
    pub fn new(
        members: Rc<Members>,
        each: Vec<SocketAddr>,
        marked: bool,
        counters: Rc<Counters>,
    ) -> Self {
        log!("writes in hand: on, keyed writes are noted with other gateways before they leave");
        Self {
            core: RefCell::new(InHand::new(members.me().number, 0)),
            members,
            start: Instant::now(),
            counters,
            waiting: RefCell::default(),
            out: Outbox::new(each),
            wake: Notify::new(),
            marked,
        }
    }

    fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// This process hears others from now on.
    pub fn opened(&self) {
        self.core.borrow_mut().opened(self.now());
    }

    /// Unix time in milliseconds: all machines of the platform read one clock.
    pub fn unix_ms() -> u64 {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(unix.as_millis()).unwrap_or(u64::MAX)
    }

    /// Whether a write may be one that another gateway has sent.
    pub fn doubtful(&self, retry: bool) -> bool {
        retry || !self.marked
    }

    /// Notes a write with its keepers before it leaves; no where too few of them say that they have it.
    pub async fn note(&self, key: u64, at: u64) -> bool {
        let gateways = self.members.not_down();
        let noted = self
            .ended(|core, now| core.note(now, key, at, &gateways))
            .await
            == Some(Outcome::Noted);
        count(if noted {
            &self.counters.writes_noted
        } else {
            &self.counters.writes_not_noted
        });
        noted
    }

    /// Asks the keepers of a write whether it may have run.
    pub async fn ask(&self, key: u64) -> Before {
        let gateways = self.members.not_down();
        let found = match self.ended(|core, now| core.ask(now, key, &gateways)).await {
            Some(Outcome::Known(at)) => Before::MayHaveRun(at),
            Some(Outcome::Unknown) => Before::Unsent,
            _ => Before::Unproven,
        };
        count(match found {
            Before::MayHaveRun(_) => &self.counters.writes_known,
            Before::Unsent => &self.counters.writes_unsent,
            Before::Unproven => &self.counters.writes_unproven,
        });
        found
    }

    /// A write that was noted never ran.
    pub fn forget(&self, key: u64) {
        let gateways = self.members.not_down();
        self.with(|core, _| core.forget(key, &gateways));
    }

    /// Takes a datagram from gateway `from`; returns what is to be sent.
    pub fn hear(&self, datagram: &[u8], from: u32) -> Vec<Sent> {
        self.with(|core, now| {
            if let Err(why) = core.receive(now, from, datagram) {
                count(&self.counters.unheard);
                log!("writes in hand: a datagram from gateway {from} is not used: {why}");
            }
        });
        self.out.take()
    }

    /// Does what is due; returns what is to be sent.
    pub fn tick(&self) -> Vec<Sent> {
        self.with(|core, now| core.advance(now));
        self.out.take()
    }

    /// When [`Hand::tick`] has work next.
    pub fn due(&self) -> Instant {
        let (due, now) = (self.core.borrow().next_due(), self.now());
        self.start + Duration::from_millis(due.max(now).min(now + 60_000))
    }

    /// Waits until there is something to be sent.
    pub async fn woken(&self) {
        self.wake.notified().await;
    }

    /// Begins a note or a question, and waits for its outcome.
    async fn ended(&self, begin: impl FnOnce(&mut InHand, u64) -> u64) -> Option<Outcome> {
        let (tell, told) = oneshot::channel();
        {
            let (mut core, now) = (self.core.borrow_mut(), self.now());
            let ticket = begin(&mut core, now);
            self.waiting.borrow_mut().insert(ticket, tell);
            self.carry_out(&mut core);
        }
        told.await.ok()
    }

    fn with(&self, act: impl FnOnce(&mut InHand, u64)) {
        let (mut core, now) = (self.core.borrow_mut(), self.now());
        act(&mut core, now);
        self.carry_out(&mut core);
    }

    fn carry_out(&self, core: &mut InHand) {
        for action in core.drain() {
            match action {
                Action::Send { to, bytes } => self.out.push(to, bytes),
                Action::Ended { ticket, outcome } => {
                    if let Some(tell) = self.waiting.borrow_mut().remove(&ticket) {
                        // A request that is over needs no outcome.
                        let _ = tell.send(outcome);
                    }
                }
            }
        }
        if !self.out.is_empty() {
            self.wake.notify_one();
        }
    }
}

/// A write that another gateway may have sent, and that can't be sent again.
pub struct MayHaveRun;

/// A keyed write that is noted with other gateways.
pub struct Noted {
    hand: Rc<Hand>,
    key: u64,
    /// From when on an earlier try of another gateway may have run, in Unix milliseconds.
    earlier: Option<u64>,
    /// This gateway has tried to note it.
    tried: Cell<bool>,
    /// It has been noted.
    done: Cell<bool>,
    /// An attempt of this gateway's may have run.
    may_have_run: Cell<bool>,
}

impl Noted {
    /// Nothing has been noted yet.
    pub fn new(hand: &Rc<Hand>, key: u64) -> Self {
        let no = || Cell::new(false);
        Noted {
            hand: Rc::clone(hand),
            key,
            earlier: None,
            tried: no(),
            done: no(),
            may_have_run: no(),
        }
    }

    /// Until when it may be sent again, after an earlier try; none where that time is over. The window counts from that
    /// try, and what leaves at its end still needs a connection.
    pub fn until(&mut self, at: u64, class: &Class, connect: Duration) -> Option<Instant> {
        self.earlier = Some(at);
        let Repeat::Keyed { window, .. } = class.repeat else {
            return None;
        };
        let passed = Duration::from_millis(Hand::unix_ms().saturating_sub(at));
        let left = duration(window).checked_sub(passed)?.checked_sub(connect)?;
        (left > SOONEST).then(|| Instant::now() + left)
    }

    /// Another gateway may have sent it.
    pub const fn sent_elsewhere(&self) -> bool {
        self.earlier.is_some()
    }

    /// Notes it before an attempt leaves, once.
    pub async fn note(&self) -> bool {
        if !self.done.get() {
            self.tried.set(true);
            let noted = self
                .hand
                .note(self.key, self.earlier.unwrap_or_else(Hand::unix_ms))
                .await;
            self.done.set(self.done.get() || noted);
        }
        self.done.get()
    }

    /// An attempt ended.
    pub fn ended(&self, outcome: Attempt) {
        let never = matches!(
            outcome,
            Attempt::Full | Attempt::ConnectFailed | Attempt::Moot | Attempt::Miss
        );
        self.may_have_run.set(self.may_have_run.get() || !never);
    }

    /// All attempts have ended: what never ran need not be known to anybody.
    pub fn over(&self) {
        if self.tried.get() && !self.may_have_run.get() {
            self.hand.forget(self.key);
        }
    }
}
