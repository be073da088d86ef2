//! The shell of writes in hand: the core of `irisrouter_write_intents` fed with datagrams and the time, and asked by the tasks of
//! requests. What is to be sent leaves with the peer task, which is woken for it.

use crate::net::cluster::membership::MembershipService;
use crate::net::cluster::peer_socket::{Outbox, OutgoingDatagram};
use crate::net::log::log;
use crate::net::metrics::{increment, Metrics};
use crate::net::{duration, unix_milliseconds};
use irisrouter::routing::{Idempotency, Outcome as Attempt, RequestClass};
use irisrouter_write_intents::{Action, IntentStore, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;

/// With less of its window left a write is not sent again: what decides on it needs a moment.
const SOONEST: Duration = Duration::from_millis(5);

/// What is known of a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierAttempt {
    /// It was never sent.
    NeverSent,
    /// It may have run from then on, in Unix milliseconds.
    MayHaveRun(u64),
    /// Too few of those that would know have answered.
    Unproven,
}

/// The writes in hand of one gateway, and those that it keeps for others.
pub struct WriteIntentService {
    core: RefCell<IntentStore>,
    membership: Rc<MembershipService>,
    start: Instant,
    metrics: Rc<Metrics>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Outcome>>>,
    out: Outbox,
    wake: Notify,
    /// Clients mark their repeats; where they do not, any write may be one.
    marked: bool,
}

impl WriteIntentService {
    /// A gateway that keeps nothing yet.
    pub fn new(
        membership: Rc<MembershipService>,
        each: Vec<SocketAddr>,
        marked: bool,
        metrics: Rc<Metrics>,
    ) -> Self {
        log!("writes in hand: on, keyed writes are noted with other gateways before they leave");
        Self {
            core: RefCell::new(IntentStore::new(membership.local_node().number, 0)),
            membership,
            start: Instant::now(),
            metrics,
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
    pub fn on_socket_opened(&self) {
        self.core.borrow_mut().opened(self.now());
    }

    /// Whether a write may be one that another gateway has sent.
    pub fn may_be_retry(&self, retry: bool) -> bool {
        retry || !self.marked
    }

    /// Notes a write with its keepers before it leaves; no where too few of them say that they have it.
    pub async fn record(&self, key: u64, at: u64) -> bool {
        let gateways = self.membership.not_down();
        let noted = self
            .ended(|core, now| core.note(now, key, at, &gateways))
            .await
            == Some(Outcome::Noted);
        increment(if noted {
            &self.metrics.write_intents.recorded
        } else {
            &self.metrics.write_intents.not_recorded
        });
        noted
    }

    /// Asks the keepers of a write whether it may have run.
    pub async fn look_up(&self, key: u64) -> EarlierAttempt {
        let gateways = self.membership.not_down();
        let found = match self.ended(|core, now| core.ask(now, key, &gateways)).await {
            Some(Outcome::Known(at)) => EarlierAttempt::MayHaveRun(at),
            Some(Outcome::Unknown) => EarlierAttempt::NeverSent,
            _ => EarlierAttempt::Unproven,
        };
        increment(match found {
            EarlierAttempt::MayHaveRun(_) => &self.metrics.write_intents.found,
            EarlierAttempt::NeverSent => &self.metrics.write_intents.never_sent,
            EarlierAttempt::Unproven => &self.metrics.write_intents.unproven,
        });
        found
    }

    /// A write that was noted never ran.
    pub fn withdraw(&self, key: u64) {
        let gateways = self.membership.not_down();
        self.with(|core, _| core.forget(key, &gateways));
    }

    /// Takes a datagram from gateway `from`; returns what is to be sent.
    pub fn receive(&self, datagram: &[u8], from: u32) -> Vec<OutgoingDatagram> {
        self.with(|core, now| {
            if let Err(why) = core.receive(now, from, datagram) {
                increment(&self.metrics.gossip.ignored);
                log!("writes in hand: a datagram from gateway {from} is not used: {why}");
            }
        });
        self.out.take()
    }

    /// Does what is due; returns what is to be sent.
    pub fn advance(&self) -> Vec<OutgoingDatagram> {
        self.with(|core, now| core.advance(now));
        self.out.take()
    }

    /// When [`WriteIntentService::advance`] has work next.
    pub fn due(&self) -> Instant {
        let (due, now) = (self.core.borrow().next_due(), self.now());
        self.start + Duration::from_millis(due.max(now).min(now + 60_000))
    }

    /// Waits until there is something to be sent.
    pub async fn send_requested(&self) {
        self.wake.notified().await;
    }

    /// Begins a note or a question, and waits for its outcome.
    async fn ended(&self, begin: impl FnOnce(&mut IntentStore, u64) -> u64) -> Option<Outcome> {
        let (tell, told) = oneshot::channel();
        {
            let (mut core, now) = (self.core.borrow_mut(), self.now());
            let ticket = begin(&mut core, now);
            self.waiting.borrow_mut().insert(ticket, tell);
            self.carry_out(&mut core);
        }
        told.await.ok()
    }

    fn with(&self, act: impl FnOnce(&mut IntentStore, u64)) {
        let (mut core, now) = (self.core.borrow_mut(), self.now());
        act(&mut core, now);
        self.carry_out(&mut core);
    }

    fn carry_out(&self, core: &mut IntentStore) {
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
pub struct WriteIntent {
    write_intents: Rc<WriteIntentService>,
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

impl WriteIntent {
    /// Nothing has been noted yet.
    pub fn new(write_intents: &Rc<WriteIntentService>, key: u64) -> Self {
        let no = || Cell::new(false);
        WriteIntent {
            write_intents: Rc::clone(write_intents),
            key,
            earlier: None,
            tried: no(),
            done: no(),
            may_have_run: no(),
        }
    }

    /// Until when it may be sent again, after an earlier try; none where that time is over. The window counts from that
    /// try, and what leaves at its end still needs a connection.
    pub fn resend_deadline(
        &mut self,
        at: u64,
        class: &RequestClass,
        connect: Duration,
    ) -> Option<Instant> {
        self.earlier = Some(at);
        let Idempotency::Keyed { window, .. } = class.idempotency else {
            return None;
        };
        let passed = Duration::from_millis(unix_milliseconds().saturating_sub(at));
        let left = duration(window).checked_sub(passed)?.checked_sub(connect)?;
        (left > SOONEST).then(|| Instant::now() + left)
    }

    /// Another gateway may have sent it.
    pub const fn sent_by_another_gateway(&self) -> bool {
        self.earlier.is_some()
    }

    /// Notes it before an attempt leaves, once.
    pub async fn record(&self) -> bool {
        if !self.done.get() {
            self.tried.set(true);
            let noted = self
                .write_intents
                .record(self.key, self.earlier.unwrap_or_else(unix_milliseconds))
                .await;
            self.done.set(self.done.get() || noted);
        }
        self.done.get()
    }

    /// An attempt ended.
    pub fn attempt_ended(&self, outcome: Attempt) {
        let never = matches!(
            outcome,
            Attempt::Full | Attempt::ConnectFailed | Attempt::NotSent | Attempt::Unsuitable
        );
        self.may_have_run.set(self.may_have_run.get() || !never);
    }

    /// All attempts have ended: what never ran need not be known to anybody.
    pub fn all_attempts_ended(&self) {
        if self.tried.get() && !self.may_have_run.get() {
            self.write_intents.withdraw(self.key);
        }
    }
}
