//! The attempts of one request, each of which runs in its own task.

use crate::net::metrics::increment;
use crate::net::request::context::RequestContext;
use crate::net::request::open_ids::OpenId;
use crate::net::request::presence::ClientPresence;
use crate::net::request::write_intent::WriteIntent;
use crate::net::upstream::{
    AttemptResult, OutgoingStatement, SendDeadline, Statement, StreamedAnswer,
};
use crate::net::{duration, time_delta};
use irisrouter::routing::{MemberId, Outcome, RequestId, TimeDelta};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::{self, AbortHandle, JoinError, JoinSet};
use tokio::time::Instant;

/// An attempt that was started.
pub(super) struct StartedAttempt {
    /// Member that the attempt is sent to.
    pub(super) member: MemberId,
    started_at: Instant,
    task: AbortHandle,
}

impl StartedAttempt {
    /// Returns the time since the attempt was started.
    pub(super) fn elapsed(&self) -> TimeDelta {
        time_delta(self.started_at.elapsed())
    }
}

/// A long answer that has begun to arrive.
pub(super) struct StartedStream {
    /// Number of the attempt that the answer belongs to.
    pub(super) attempt: usize,
    /// The beginning of the answer, and the channel for the rest.
    pub(super) answer: StreamedAnswer,
}

/// An attempt that has ended.
pub(super) struct EndedAttempt {
    /// Number of the attempt.
    pub(super) attempt: usize,
    /// Result of the attempt.
    pub(super) result: AttemptResult,
}

/// Result of joining the task of an attempt.
pub(super) type JoinedAttempt = Result<(task::Id, AttemptResult), JoinError>;

/// All attempts of one request, numbered from 0 in the order in which they were started.
pub(super) struct Attempts {
    /// Attempts that have been started, indexed by their number.
    pub(super) started: Vec<StartedAttempt>,
    /// Tasks of the attempts that have not ended.
    pub(super) running: JoinSet<AttemptResult>,
    /// Long answers that have begun to arrive.
    pub(super) streams: UnboundedReceiver<StartedStream>,
    stream_sender: UnboundedSender<StartedStream>,
    request: Rc<RequestAttributes>,
    /// Set once the request has been answered or its client has left. An attempt that was started earlier, but whose
    /// connection is ready only afterwards, is then not sent.
    request_finished: Rc<Cell<bool>>,
}

/// What all attempts of a request have in common.
pub(super) struct RequestAttributes {
    /// Id of the request at the router.
    pub(super) id: RequestId,
    /// Id that the client gave the request.
    pub(super) open_id: Rc<OpenId>,
    /// Whether an attempt may be sent only while the id of the request is claimed among the processes of the gateway.
    pub(super) must_not_run_twice: bool,
    /// Statement that is sent.
    pub(super) statement: Statement,
    /// Whether the client is known to be still connected.
    pub(super) presence: Rc<ClientPresence>,
    /// Write intent that is recorded before an attempt is sent.
    pub(super) write_intent: Option<Rc<WriteIntent>>,
    /// The state that all requests share.
    pub(super) context: Rc<RequestContext>,
}

impl Attempts {
    /// Creates the attempts of a request for which none has been started yet.
    pub(super) fn new(request: RequestAttributes) -> Self {
        let (stream_sender, streams) = unbounded_channel();
        Attempts {
            started: Vec::new(),
            running: JoinSet::new(),
            streams,
            stream_sender,
            request: Rc::new(request),
            request_finished: Rc::new(Cell::new(false)),
        }
    }

    /// Sets whether the request is finished. While it is, no attempt is sent.
    pub(super) fn set_request_finished(&self, finished: bool) {
        self.request_finished.set(finished);
    }

    /// Starts an attempt, which ends `timeout` from now at the latest.
    pub(super) fn start(&mut self, member: MemberId, timeout: TimeDelta) {
        let attempt = AttemptTask {
            request: Rc::clone(&self.request),
            request_finished: Rc::clone(&self.request_finished),
            stream_sender: self.stream_sender.clone(),
            attempt_number: self.started.len(),
            member,
            timeout,
        };
        let task = self.running.spawn_local(attempt.run());
        self.started.push(StartedAttempt {
            member,
            started_at: Instant::now(),
            task,
        });
    }

    /// Aborts the task of an attempt.
    pub(super) fn cancel(&self, attempt: u32) {
        if let Some(attempt) = self.started.get(attempt as usize) {
            attempt.task.abort();
        }
    }

    /// Returns the attempt that a joined task ran, with its result. A task that was aborted, or that panicked, counts
    /// as cancelled.
    pub(super) fn ended_attempt(&self, joined: JoinedAttempt) -> Option<EndedAttempt> {
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

/// The parameters that the task of an attempt runs with.
struct AttemptTask {
    request: Rc<RequestAttributes>,
    request_finished: Rc<Cell<bool>>,
    stream_sender: UnboundedSender<StartedStream>,
    attempt_number: usize,
    member: MemberId,
    /// Time from the start of the attempt to its latest end.
    timeout: TimeDelta,
}

impl AttemptTask {
    /// Records the write intent where there is one, then sends the statement and waits for the result.
    async fn run(self) -> AttemptResult {
        // The router needs a result for each attempt that it started, so one that is not sent returns a result too.
        if self.request_finished.get() {
            return Outcome::NotSent.into();
        }
        let task_started_at = Instant::now();
        if let Some(write_intent) = &self.request.write_intent {
            // The write is sent only after other gateways have recorded its intent. A gateway without that record would
            // send a retry of the write even after the resend window.
            if !write_intent.record().await {
                return Outcome::NotSent.into();
            }
        }
        // The time that recording the write intent took counts towards the timeout.
        let timeout = self.timeout - time_delta(task_started_at.elapsed());
        let outgoing = OutgoingStatement {
            member: self.member,
            statement: &self.request.statement,
            deadline: Instant::now() + duration(timeout),
        };
        let on_stream = |answer| {
            let stream = StartedStream {
                attempt: self.attempt_number,
                answer,
            };
            // Sending fails if the task of the request has ended. The answer is dropped then, which ends the stream.
            let _ = self.stream_sender.send(stream);
        };
        let upstream = &self.request.context.upstream;
        upstream
            .attempt(outgoing, || self.send_deadline(), on_stream)
            .await
    }

    /// Returns the time by which the statement has to be written, or `None` if it must not be sent any more. Called
    /// when the connection is ready.
    fn send_deadline(&self) -> Option<SendDeadline> {
        if self.request_finished.get() {
            return None;
        }
        let RequestAttributes {
            presence, context, ..
        } = &*self.request;
        if !presence.allows_attempts(Instant::now()) {
            increment(&context.metrics.connections.presence_unknown);
            return None;
        }
        let now = context.clock.now();
        let attempt = self.attempt_number as u32;
        let permit = context.router.permit_send(now, self.request.id, attempt)?;
        let marked = self.request.open_id.mark_sent(Instant::now());
        if marked.is_err() && self.request.must_not_run_twice {
            return None;
        }
        let time_left = permit.send_by.map(|send_by| duration(send_by - now));
        Some(SendDeadline(time_left.map(|left| Instant::now() + left)))
    }
}
