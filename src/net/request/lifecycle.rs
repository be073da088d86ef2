//! The life of one request: arrival, attempts, final answer. Any front that words its requests as a [`Call`]
//! goes through the same decisions and rules.

use crate::net::buffers::Buffer;
use crate::net::cluster::site_failover::SiteFailoverService;
use crate::net::cluster::write_intents::{
    EarlierAttempt, MayHaveRun, WriteIntent, WriteIntentService,
};
use crate::net::metrics::{increment, Metrics};
use crate::net::request::classes::Held;
use crate::net::router_task::{RequestCommand, RouterHandle};
use crate::net::upstream::{Attempted, Statement, Streamed, Upstream};
use crate::net::{duration, nanoseconds, Clock};
use irisrouter::routing::*;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep_until, timeout_at, Instant};

/// The module's deadline lies so much before the client's: timers are late by up to a millisecond, and its
/// decision has to be made and written.
const MARGIN: Duration = Duration::from_millis(5);
/// And the guard against no decision so much. Danger: with both at one moment, the guard answers first, and
/// fails what the module would have refused.
const LAST_MARGIN: Duration = Duration::from_millis(1);

/// A request's id, which no other may bear until this is dropped.
pub struct OpenId(Rc<Core>, Box<str>);

impl Drop for OpenId {
    fn drop(&mut self) {
        self.0.ids.borrow_mut().remove(&self.1);
    }
}

/// A request, as a front hands it over.
pub struct Call {
    /// Its id.
    pub id: OpenId,
    /// Its class, which is its own until it is over.
    pub class: Rc<Held>,
    /// Its group.
    pub group: GroupId,
    /// Its session.
    pub session: Option<SessionId>,
    /// How long its client waits from now on.
    pub wait: Duration,
    /// The position that it has to see.
    pub after: Option<Nanos>,
    /// The client says that it repeats.
    pub retry: bool,
    /// The number of its idempotency key and set, in a keyed class.
    pub key: Option<u64>,
    /// What is passed on.
    pub statement: Statement,
}

/// The final answer.
pub enum Answer {
    /// A row, as a database host made it for this request.
    Served(Buffer),
    /// A row that is long, and comes while it is passed on.
    Streamed(Streamed),
    /// Trying again is harmless, after this pause.
    Refused {
        /// 0 for no advice.
        pause: Nanos,
    },
    /// Nothing is promised.
    Failed,
}

/// An attempt that was ordered: where, when, and how to stop waiting for it.
struct Started {
    member: MemberId,
    at: Instant,
    /// Its outcome proves that.
    never_ran: bool,
    handle: AbortHandle,
}

fn never_ran(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Unsuitable
    )
}

/// What the requests share.
pub struct Core {
    /// The way to the module.
    pub router: Rc<RouterHandle>,
    /// The database hosts.
    pub upstream: Rc<Upstream>,
    /// The clock.
    pub clock: Clock,
    /// The counters.
    pub metrics: Rc<Metrics>,
    /// When the last answer has to be given, where the gateway is about to end.
    pub answer_by: Cell<Option<Instant>>,
    /// Writes in hand, where the operators turned that on.
    pub write_intents: Option<Rc<WriteIntentService>>,
    /// Plans for lost sites, likewise.
    pub site_failover: Option<Rc<SiteFailoverService>>,
    /// Ids of the requests that are not over.
    pub ids: RefCell<HashSet<Box<str>>>,
}

impl Core {
    /// Takes an id, unless an open request bears it. Danger: to a database host a second one of that id is the
    /// first, sent again, and its answer another client's.
    pub fn take_id(self: &Rc<Self>, id: &str) -> Option<OpenId> {
        let new = self.ids.borrow_mut().insert(id.into());
        new.then(|| OpenId(Rc::clone(self), id.into()))
    }

    /// Takes a request and gives it exactly one answer. A client that leaves drops the receiver.
    pub async fn serve(self: Rc<Self>, call: Call, answer: oneshot::Sender<Answer>) {
        increment(&self.metrics.requests.received);
        if let Some(site_failover) = &self.site_failover {
            site_failover.request_arrived(call.class.slot);
        }
        let ending = self
            .answer_by
            .get()
            .map(|end| end.saturating_duration_since(Instant::now()));
        let mut end = Instant::now() + ending.map_or(call.wait, |left| left.min(call.wait));
        let noted = match self.noted(&call, &mut end).await {
            Ok(noted) => noted.map(Rc::new),
            Err(MayHaveRun) => return self.answer(answer, Answer::Failed),
        };
        let (arrived, now) = (self.clock.now(), Instant::now());
        let wait = end.saturating_duration_since(now).saturating_sub(MARGIN);
        let last = (end - LAST_MARGIN).max(now);
        let (id, mut orders) = self.router.register();
        self.router.post(Event::Request {
            id,
            class: call.class.slot,
            tenant: None,
            session: call.session,
            deadline: arrived + nanoseconds(wait),
            work: None,
            group: call.group,
            last_write_age: call.after.map(|position| arrived - position),
            retry: call.retry,
        });
        let statement = Rc::new(call.statement);
        let window = match call.class.class.idempotency {
            Idempotency::Keyed { window, .. } => Some(duration(window)),
            Idempotency::Idempotent | Idempotency::NotIdempotent => None,
        };
        // Until the last attempt has ended.
        let _taken = (call.id, call.class);
        let mut owed = Some(answer);
        let mut running: JoinSet<Attempted> = JoinSet::new();
        // By their number.
        let mut attempts: Vec<Started> = Vec::new();
        let (begin, mut begun) = mpsc::unbounded_channel();
        let mut streaming = None;
        // Whatever is ordered, and however late a connection comes up: nothing leaves any more for a request that is over.
        let over = Rc::new(Cell::new(false));
        while owed.is_some() || !running.is_empty() {
            over.set(owed.is_none());
            tokio::select! {
                biased;
                // The request is over but for its bytes: no further attempt, no second copy, no deadline. One that
                // comes too late ends, as nobody takes it.
                Some((number, streamed)) = begun.recv() => {
                    let Some(answer) = owed.take() else { continue };
                    self.answer(answer, Answer::Streamed(streamed));
                    streaming = Some(number);
                    let started: &Started = &attempts[number];
                    self.router.post(Event::AttemptEnded {
                        id,
                        attempt: number as u32,
                        member: started.member,
                        outcome: Outcome::Ok,
                        elapsed: nanoseconds(started.at.elapsed()),
                        finished: true,
                        status: None,
                        report: None,
                    });
                }
                Some(ended) = running.join_next_with_id() => {
                    let (task, attempted) = match ended {
                        Ok((task, attempted)) => (task, attempted),
                        Err(e) => (e.id(), Outcome::Cancelled.into()),
                    };
                    let Some(number) = attempts.iter().position(|a| a.handle.id() == task) else { continue };
                    if let Some(noted) = &noted {
                        noted.attempt_ended(attempted.outcome);
                    }
                    if streaming == Some(number) {
                        if attempted.outcome != Outcome::Ok {
                            increment(&self.metrics.requests.truncated);
                        }
                        continue;
                    }
                    let started = &mut attempts[number];
                    started.never_ran = never_ran(attempted.outcome);
                    if attempted.outcome == Outcome::Cancelled {
                        self.metrics.attempt(Outcome::Cancelled);
                    }
                    if let Some(row) = attempted.row {
                        if let Some(answer) = owed.take() {
                            self.answer(answer, Answer::Served(row));
                        }
                    }
                    self.router.post(Event::AttemptEnded {
                        id,
                        attempt: number as u32,
                        member: started.member,
                        outcome: attempted.outcome,
                        elapsed: nanoseconds(started.at.elapsed()),
                        finished: owed.is_none(),
                        status: attempted.note,
                        report: None,
                    });
                }
                // Before what is ordered: nothing new for a client that has gone.
                () = left(&mut owed) => {
                    owed = None;
                    increment(&self.metrics.requests.client_gone);
                    self.router.post(Event::ClientGone { id });
                }
                Some(order) = orders.recv() => match order {
                    RequestCommand::StartAttempt { member, timeout: limit } => {
                        let (core, statement) = (Rc::clone(&self), Rc::clone(&statement));
                        let (over, begin, number) = (Rc::clone(&over), begin.clone(), attempts.len());
                        let noted = noted.clone();
                        let first = attempts.iter().filter(|a| !a.never_ran).map(|a| a.at).min();
                        // Danger: what was decided within the window of repeats may find its connection beyond it.
                        let repeat_by = window.zip(first).map(|(window, first)| first + window);
                        let handle = running.spawn_local(async move {
                            // The module hears of its attempt all the same.
                            if over.get() {
                                return Outcome::NotSent.into();
                            }
                            let asked = Instant::now();
                            if let Some(noted) = noted {
                                // Danger guarded against: a write that left unnoted would be sent again beyond its
                                // window by a gateway that knows nothing of it.
                                if !noted.record().await {
                                    return Outcome::NotSent.into();
                                }
                            }
                            let limit = limit - nanoseconds(asked.elapsed());
                            let begin = |streamed| drop(begin.send((number, streamed)));
                            let wanted = || !over.get() && repeat_by.is_none_or(|by| Instant::now() < by);
                            core.upstream.attempt(member, &statement, limit, wanted, begin).await
                        });
                        attempts.push(Started { member, at: Instant::now(), never_ran: false, handle });
                    }
                    RequestCommand::CancelAttempt { attempt } => {
                        attempts.iter().skip(attempt as usize).take(1).for_each(|a| a.handle.abort());
                    }
                    RequestCommand::Reject { retry_after: pause } => {
                        // What another gateway sent may have run, whatever became of it here.
                        let earlier = noted.as_ref().is_some_and(|n| n.sent_by_another_gateway());
                        let refused = if earlier { Answer::Failed } else { Answer::Refused { pause } };
                        if let Some(answer) = owed.take() {
                            self.answer(answer, refused);
                        }
                    }
                    RequestCommand::Fail => owed.take().into_iter().for_each(|a| self.answer(a, Answer::Failed)),
                },
                // The module has not decided in time. Danger: a request without an answer is lost.
                () = sleep_until(last), if owed.is_some() => {
                    owed.take().into_iter().for_each(|a| self.answer(a, Answer::Failed));
                    self.router.post(Event::ClientGone { id });
                }
            }
        }
        if let Some(noted) = &noted {
            noted.all_attempts_ended();
        }
        // Sends that were ordered before the module heard of the end: each attempt has its outcome.
        orders.close();
        while let Ok(order) = orders.try_recv() {
            if let RequestCommand::StartAttempt { member, .. } = order {
                let attempt = attempts.len() as u32;
                let (outcome, finished) = (Outcome::NotSent, true);
                self.router.post(Event::AttemptEnded {
                    id,
                    attempt,
                    member,
                    outcome,
                    elapsed: 0,
                    finished,
                    status: None,
                    report: None,
                });
            }
        }
        self.router.unregister(id);
    }

    /// What is noted of a keyed write, where writes in hand are on; its end comes earlier where another gateway may have
    /// sent it.
    async fn noted(
        &self,
        call: &Call,
        end: &mut Instant,
    ) -> Result<Option<WriteIntent>, MayHaveRun> {
        let Some((write_intents, key)) = self.write_intents.as_ref().zip(call.key) else {
            return Ok(None);
        };
        let mut noted = WriteIntent::new(write_intents, key);
        if !write_intents.may_be_retry(call.retry) {
            return Ok(Some(noted));
        }
        // Never beyond the client's own time. What is not proven by then may have run.
        let ask = timeout_at(
            *end - LAST_MARGIN.min(call.wait),
            write_intents.look_up(key),
        )
        .await;
        let until = match ask.unwrap_or(EarlierAttempt::Unproven) {
            EarlierAttempt::NeverSent => Some(*end),
            EarlierAttempt::MayHaveRun(at) => {
                noted.resend_deadline(at, &call.class.class, self.upstream.connect_timeout())
            }
            // Where clients mark nothing, a fleet that has just started would turn every write away.
            EarlierAttempt::Unproven if !call.retry => Some(*end),
            EarlierAttempt::Unproven => None,
        };
        *end = until.ok_or(MayHaveRun)?.min(*end);
        Ok(Some(noted))
    }

    fn answer(&self, to: oneshot::Sender<Answer>, answer: Answer) {
        increment(match answer {
            Answer::Served(_) | Answer::Streamed(_) => &self.metrics.requests.served,
            Answer::Refused { .. } => &self.metrics.requests.rejected,
            Answer::Failed => &self.metrics.requests.failed,
        });
        // A client that has just left needs none.
        let _ = to.send(answer);
    }
}

/// The client has left; never, once nothing is owed.
async fn left(owed: &mut Option<oneshot::Sender<Answer>>) {
    match owed {
        Some(answer) => answer.closed().await,
        None => std::future::pending().await,
    }
}

/// The pause of a refusal in whole milliseconds, rounded up.
pub fn pause_ms(pause: Nanos) -> Option<u128> {
    (pause > 0).then(|| duration(pause).as_nanos().div_ceil(1_000_000))
}
