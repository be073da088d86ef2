//! The attempts of one request: each runs in a task of its own.

use crate::net::request::context::RequestContext;
use crate::net::request::write_intent::WriteIntent;
use crate::net::upstream::{AttemptResult, OutgoingStatement, Statement, StreamedAnswer};
use crate::net::{duration, time_delta};
use irisrouter::routing::{MemberId, Outcome, TimeDelta};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::{self, AbortHandle, JoinError, JoinSet};
use tokio::time::Instant;

/// An attempt that was started.
pub(super) struct StartedAttempt {
    /// The member that it goes to.
    pub(super) member: MemberId,
    started_at: Instant,
    /// Its outcome proves that it never ran.
    never_ran: bool,
    task: AbortHandle,
}

impl StartedAttempt {
    /// Time since it was started.
    pub(super) fn elapsed(&self) -> TimeDelta {
        time_delta(self.started_at.elapsed())
    }

    /// Keeps whether its outcome proves that it never ran.
    pub(super) fn record_outcome(&mut self, outcome: Outcome) {
        self.never_ran = outcome.never_ran();
    }
}

/// A long answer that has begun to arrive.
pub(super) struct StartedStream {
    /// The number of its attempt.
    pub(super) attempt: usize,
    /// Its beginning, and the way to the rest.
    pub(super) answer: StreamedAnswer,
}

/// An attempt that has ended.
pub(super) struct EndedAttempt {
    /// Its number.
    pub(super) attempt: usize,
    /// How it ended.
    pub(super) result: AttemptResult,
}

/// What a joined attempt task returns.
pub(super) type JoinedAttempt = Result<(task::Id, AttemptResult), JoinError>;

/// All attempts of one request, numbered from 0 in the order in which they were started.
pub(super) struct Attempts {
    /// Those started so far, by their number.
    pub(super) started: Vec<StartedAttempt>,
    /// Those that have not ended.
    pub(super) running: JoinSet<AttemptResult>,
    /// Long answers that have begun to arrive.
    pub(super) streams: UnboundedReceiver<StartedStream>,
    stream_sender: UnboundedSender<StartedStream>,
    statement: Rc<Statement>,
    /// How long after the first attempt that may have run another one may be sent; `None` for no limit.
    resend_window: Option<Duration>,
    /// Set once the request has its answer: an attempt that is started before that, but whose connection is ready only
    /// afterwards, is not sent any more.
    request_over: Rc<Cell<bool>>,
    write_intent: Option<Rc<WriteIntent>>,
    context: Rc<RequestContext>,
}

impl Attempts {
    /// A request of which no attempt has been started.
    pub(super) fn new(
        context: Rc<RequestContext>,
        statement: Statement,
        resend_window: Option<Duration>,
        write_intent: Option<Rc<WriteIntent>>,
    ) -> Self {
        let (stream_sender, streams) = unbounded_channel();
        Attempts {
            started: Vec::new(),
            running: JoinSet::new(),
            streams,
            stream_sender,
            statement: Rc::new(statement),
            resend_window,
            request_over: Rc::new(Cell::new(false)),
            write_intent,
            context,
        }
    }

    /// Sets whether the request is over: nothing is sent for it from then on.
    pub(super) fn set_request_over(&self, over: bool) {
        self.request_over.set(over);
    }

    /// Starts an attempt, which ends after `timeout` at the latest.
    pub(super) fn start(&mut self, member: MemberId, timeout: TimeDelta) {
        let attempt = AttemptTask {
            context: Rc::clone(&self.context),
            statement: Rc::clone(&self.statement),
            request_over: Rc::clone(&self.request_over),
            stream_sender: self.stream_sender.clone(),
            write_intent: self.write_intent.clone(),
            number: self.started.len(),
            member,
            timeout,
            send_by: self.resend_deadline(),
        };
        let task = self.running.spawn_local(attempt.run());
        self.started.push(StartedAttempt {
            member,
            started_at: Instant::now(),
            never_ran: false,
            task,
        });
    }

    /// Until when another attempt may be sent. The router decides within the resend window, but the connection of the
    /// attempt may be ready only after the window's end.
    fn resend_deadline(&self) -> Option<Instant> {
        let may_have_run = self.started.iter().filter(|attempt| !attempt.never_ran);
        let first = may_have_run.map(|attempt| attempt.started_at).min();
        let window = self.resend_window.zip(first);
        window.map(|(window, first)| first + window)
    }

    /// Stops waiting for an attempt.
    pub(super) fn cancel(&self, attempt: u32) {
        if let Some(attempt) = self.started.get(attempt as usize) {
            attempt.task.abort();
        }
    }

    /// The attempt that a joined task ran. A task that was aborted ends as cancelled.
    pub(super) fn ended(&self, joined: JoinedAttempt) -> Option<EndedAttempt> {
        let (task, result) = match joined {
            Ok((task, result)) => (task, result),
            Err(error) => (error.id(), Outcome::Cancelled.into()),
        };
        let attempt = self
            .started
            .iter()
            .position(|started| started.task.id() == task)?;
        Some(EndedAttempt { attempt, result })
    }
}

/// One attempt, as its task runs it.
struct AttemptTask {
    context: Rc<RequestContext>,
    statement: Rc<Statement>,
    request_over: Rc<Cell<bool>>,
    stream_sender: UnboundedSender<StartedStream>,
    write_intent: Option<Rc<WriteIntent>>,
    number: usize,
    member: MemberId,
    /// The attempt ends after this time at the latest.
    timeout: TimeDelta,
    /// It is not sent after this time.
    send_by: Option<Instant>,
}

impl AttemptTask {
    /// Runs the attempt.
    async fn run(self) -> AttemptResult {
        // The router gets the end of each attempt that it started, also of those that were not sent.
        if self.request_over.get() {
            return Outcome::NotSent.into();
        }
        let asked_at = Instant::now();
        if let Some(write_intent) = &self.write_intent {
            // A gateway that knows nothing of a write would send it again after its resend window: so it is not sent
            // before other gateways have recorded it.
            if !write_intent.record().await {
                return Outcome::NotSent.into();
            }
        }
        // The timeout includes the time that it took to record the write intent.
        let timeout = self.timeout - time_delta(asked_at.elapsed());
        let outgoing = OutgoingStatement {
            member: self.member,
            statement: &self.statement,
            deadline: Instant::now() + duration(timeout),
        };
        let pass_on = |answer| {
            let stream = StartedStream {
                attempt: self.number,
                answer,
            };
            // A request that is over takes no stream, which ends the stream.
            let _ = self.stream_sender.send(stream);
        };
        let upstream = &self.context.upstream;
        upstream
            .attempt(outgoing, || self.may_be_sent(), pass_on)
            .await
    }

    /// Whether it may still be sent, once its connection is ready.
    fn may_be_sent(&self) -> bool {
        let in_time = |send_by| Instant::now() < send_by;
        !self.request_over.get() && self.send_by.is_none_or(in_time)
    }
}
