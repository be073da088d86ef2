//! The lifecycle of one request: arrival, attempts, final answer. Downstreams of any protocol describe their requests
//! as a [`ClientRequest`], and all requests go through the same decisions and rules.

use crate::net::metrics::increment;
use crate::net::request::answer::{Answer, PendingAnswer};
use crate::net::request::attempts::{
    Attempts, EndedAttempt, JoinedAttempt, RequestAttributes, StartedStream,
};
use crate::net::request::classes::ClassHandle;
use crate::net::request::context::{ClientRequest, RequestContext, ShutdownDeadlines};
use crate::net::request::earlier_attempts::CheckedRequest;
use crate::net::request::id_claim::{may_run_twice, UnclaimedRequest};
use crate::net::request::open_ids::OpenId;
use crate::net::request::shutdown_notice::{
    decision_timeout, subscribe_to_shutdown, ANSWER_MARGIN,
};
use crate::net::request::write_intent::{ResendError, WriteIntent};
use crate::net::router_task::{RegisteredRequest, RequestCommand};
use crate::net::time_delta;
use irisrouter::routing::{
    Event, MemberId, Outcome, ReplicationStatus, RequestId, SessionId, StreamEnd, TimeDelta,
};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

/// Time from the router's deadline to the client's. It leaves time for timers, which fire up to a millisecond late, for
/// the router's decision and for writing the answer.
const DECISION_MARGIN: Duration = Duration::from_millis(5);
/// Minimum time that the router has for its decision, even if the request's deadline has passed, so that the router can
/// reject such a request as not run.
const MIN_DECISION_TIME: Duration = Duration::from_millis(20);

impl RequestContext {
    /// Serves a request: sends exactly one answer, unless the client drops the receiver of the answer, which means that
    /// it has left.
    pub async fn serve(self: Rc<Self>, request: ClientRequest, answer: oneshot::Sender<Answer>) {
        increment(&self.metrics.requests.received);
        if let Some(site_failover) = &self.site_failover {
            site_failover.request_arrived(request.class.slot);
        }
        let mut answer = PendingAnswer::new(answer, Rc::clone(&self.metrics));
        let deadline = self.answer_deadline(request.timeout);
        if let Err(unclaimed) = self.claim_id(&request, &mut answer, deadline).await {
            self.end_unclaimed(unclaimed, answer);
            return;
        }
        match self.check_earlier_attempts(&request, deadline).await {
            Ok(checked) => Lifecycle::begin(self, request, checked, answer).run().await,
            Err(ResendError::WindowExpired | ResendError::Unproven) => {
                answer.send(Answer::Failed);
            }
        }
    }

    /// Answers a request that is not routed because its id is not claimed.
    fn end_unclaimed(&self, unclaimed: UnclaimedRequest, mut answer: PendingAnswer) {
        match unclaimed {
            UnclaimedRequest::Duplicate => {
                answer.send(Answer::DuplicateId);
            }
            UnclaimedRequest::Expired => {
                let retry_after = TimeDelta::ZERO;
                answer.send(Answer::Rejected { retry_after });
            }
            UnclaimedRequest::ClientGone => increment(&self.metrics.requests.client_gone),
        }
    }

    /// Returns the time by which a client with this timeout needs its answer. It is not later than the shutdown's
    /// deadline for answers.
    fn answer_deadline(&self, timeout: Duration) -> Instant {
        let until_shutdown = self.shutdown.borrow().map(|deadlines| {
            deadlines
                .answer_by
                .saturating_duration_since(Instant::now())
        });
        Instant::now() + until_shutdown.map_or(timeout, |left| left.min(timeout))
    }
}

/// A request that has been posted to the router.
struct Lifecycle {
    context: Rc<RequestContext>,
    /// Id of the request at the router.
    id: RequestId,
    /// Commands of the router for this request.
    commands: mpsc::UnboundedReceiver<RequestCommand>,
    answer: PendingAnswer,
    attempts: Attempts,
    /// Number of the attempt whose long answer is being streamed to the client.
    streaming_attempt: Option<usize>,
    write_intent: Option<Rc<WriteIntent>>,
    /// Time at which the request fails if the router has not decided.
    decision_deadline: Instant,
    /// Receives the shutdown deadlines once the gateway shuts down, because answers may then be due earlier. `None` if
    /// the shutdown had already begun when the request arrived, because its deadline then takes the shutdown into
    /// account.
    shutdown: Option<watch::Receiver<Option<ShutdownDeadlines>>>,
    /// Whether the client left before its answer.
    is_abandoned: bool,
    session: Option<SessionId>,
    // The id and the class are held until the last attempt has ended.
    open_id: Rc<OpenId>,
    class: Rc<ClassHandle>,
}

/// An event in the lifecycle of a request.
enum LifecycleEvent {
    /// A long answer has begun to arrive.
    StreamStarted(StartedStream),
    /// An attempt has ended.
    AttemptEnded(JoinedAttempt),
    /// The client has left.
    ClientGone,
    /// The router has sent a command.
    Command(RequestCommand),
    /// The router has not decided in time.
    DecisionTimedOut,
}

/// The end of an attempt, as it is posted to the router.
struct AttemptEnd {
    attempt: usize,
    member: MemberId,
    outcome: Outcome,
    /// Time from the start of the attempt to its end.
    elapsed: TimeDelta,
    status: Option<ReplicationStatus>,
}

impl Lifecycle {
    /// Registers the request and posts it to the router.
    fn begin(
        context: Rc<RequestContext>,
        request: ClientRequest,
        checked: CheckedRequest,
        answer: PendingAnswer,
    ) -> Self {
        let arrived_at = context.clock.now();
        let now = Instant::now();
        let until_deadline = checked.deadline.saturating_duration_since(now);
        let decision_time = until_deadline.saturating_sub(DECISION_MARGIN);
        let required_position = request
            .minimum_position
            .max(context.session_writes_elsewhere(&request, arrived_at));
        let RegisteredRequest { id, commands } = context.router.register();
        context.router.post(Event::Request {
            id,
            class: request.class.slot,
            tenant: None,
            session: request.session,
            deadline: arrived_at + time_delta(decision_time),
            work: None,
            group: request.group,
            last_write_age: required_position.map(|position| arrived_at - position),
            retry: request.retry,
        });
        let write_intent = checked.write_intent.map(Rc::new);
        let open_id = Rc::new(request.id);
        Lifecycle {
            id,
            commands,
            answer,
            attempts: Attempts::new(RequestAttributes {
                id,
                open_id: Rc::clone(&open_id),
                must_not_run_twice: !may_run_twice(&request.class.class),
                statement: request.statement,
                presence: request.presence,
                write_intent: write_intent.clone(),
                context: Rc::clone(&context),
            }),
            streaming_attempt: None,
            write_intent,
            decision_deadline: (checked.deadline - ANSWER_MARGIN).max(now + MIN_DECISION_TIME),
            shutdown: subscribe_to_shutdown(&context),
            context,
            is_abandoned: false,
            open_id,
            session: request.session,
            class: request.class,
        }
    }

    /// Runs until the answer has been sent or the client has left, and the last attempt has ended.
    async fn run(mut self) {
        while self.answer.is_pending() || !self.attempts.running.is_empty() {
            self.attempts
                .set_request_finished(!self.answer.is_pending());
            match self.next_event().await {
                LifecycleEvent::StreamStarted(stream) => self.on_stream_started(stream),
                LifecycleEvent::AttemptEnded(joined) => {
                    if let Some(ended) = self.attempts.ended_attempt(joined) {
                        self.on_attempt_ended(ended);
                    }
                }
                LifecycleEvent::ClientGone => self.on_client_gone(),
                LifecycleEvent::Command(command) => self.on_command(command),
                LifecycleEvent::DecisionTimedOut => self.on_decision_timed_out(),
            }
        }
        if let Some(write_intent) = &self.write_intent {
            write_intent.all_attempts_ended();
        }
        self.end_undelivered_attempts();
        self.context.router.unregister(self.id);
        if self.is_abandoned && !self.attempts.started.is_empty() {
            let ids = &self.context.open_ids;
            ids.keep_abandoned(self.open_id, Instant::now());
        }
    }

    /// Waits for the next event. Of the events that are ready at the same time, the one listed first is returned.
    async fn next_event(&mut self) -> LifecycleEvent {
        let pending = self.answer.is_pending();
        tokio::select! {
            biased;
            // First, because once a stream has begun no further attempt is needed and no deadline applies.
            Some(stream) = self.attempts.streams.recv() => LifecycleEvent::StreamStarted(stream),
            Some(joined) = self.attempts.running.join_next_with_id() => LifecycleEvent::AttemptEnded(joined),
            // Before the router's commands, so that no attempt is started for a client that has left.
            () = self.answer.client_gone() => LifecycleEvent::ClientGone,
            Some(command) = self.commands.recv() => LifecycleEvent::Command(command),
            // Last resort, so that the client gets an answer even if the router does not decide in time.
            () = decision_timeout(&mut self.shutdown, self.decision_deadline), if pending => {
                LifecycleEvent::DecisionTimedOut
            }
        }
    }

    /// Answers the request with the stream. If the request has already been answered, the stream is dropped, which ends
    /// it.
    fn on_stream_started(&mut self, stream: StartedStream) {
        let StartedStream { attempt, answer } = stream;
        self.context
            .share_session_write(&self.class.class, self.session, None);
        if !self.answer.send(Answer::Streamed(answer)) {
            return;
        }
        self.streaming_attempt = Some(attempt);
        let started = &self.attempts.started[attempt];
        self.post_attempt_ended(AttemptEnd {
            attempt,
            member: started.member,
            outcome: Outcome::Ok,
            elapsed: started.elapsed(),
            status: None,
        });
    }

    fn on_attempt_ended(&mut self, ended: EndedAttempt) {
        let EndedAttempt { attempt, result } = ended;
        if let Some(write_intent) = &self.write_intent {
            write_intent.attempt_ended(result.outcome);
        }
        if !result.outcome.never_ran() {
            let class = &self.class.class;
            self.context
                .share_session_write(class, self.session, result.status);
        }
        if self.streaming_attempt == Some(attempt) {
            // The end of this attempt was posted to the router when its stream began.
            if result.outcome != Outcome::Ok {
                increment(&self.context.metrics.requests.truncated);
            }
            // What the host said behind the row: its role, and the position of a write.
            self.context.router.post(Event::StreamEnded(StreamEnd {
                member: self.attempts.started[attempt].member,
                class: self.class.slot,
                session: self.session,
                status: result.status,
            }));
            return;
        }
        if result.outcome == Outcome::Cancelled {
            // `Upstream::attempt` counts an attempt when it returns, which it does not do for an aborted attempt.
            self.context.metrics.record_attempt(Outcome::Cancelled);
        }
        if let Some(row) = result.row {
            self.answer.send(Answer::Served(row));
        }
        let started = &self.attempts.started[attempt];
        self.post_attempt_ended(AttemptEnd {
            attempt,
            member: started.member,
            outcome: result.outcome,
            elapsed: started.elapsed(),
            status: result.status,
        });
    }

    fn on_client_gone(&mut self) {
        self.answer.abandon();
        self.is_abandoned = true;
        increment(&self.context.metrics.requests.client_gone);
        self.context.router.post(Event::ClientGone { id: self.id });
    }

    fn on_command(&mut self, command: RequestCommand) {
        match command {
            RequestCommand::StartAttempt { member, timeout } => {
                self.attempts.start(member, timeout);
            }
            RequestCommand::CancelAttempt { attempt } => self.attempts.cancel(attempt),
            RequestCommand::Reject { retry_after } => self.reject(retry_after),
            RequestCommand::Fail => {
                self.answer.send(Answer::Failed);
            }
        }
    }

    /// Rejects the request as not run. If another gateway may have sent the write, the request fails instead, because
    /// it may have run there.
    fn reject(&mut self, retry_after: TimeDelta) {
        let write_intent = self.write_intent.as_ref();
        let may_have_run =
            write_intent.is_some_and(|intent| intent.maybe_sent_by_another_gateway());
        self.answer.send(if may_have_run {
            Answer::Failed
        } else {
            Answer::Rejected { retry_after }
        });
    }

    fn on_decision_timed_out(&mut self) {
        increment(&self.context.metrics.requests.undecided);
        self.answer.send(Answer::Failed);
        self.context.router.post(Event::ClientGone { id: self.id });
    }

    /// Posts an end for each attempt whose start command was not executed, because the router needs the end of every
    /// attempt that it started.
    fn end_undelivered_attempts(&mut self) {
        self.commands.close();
        while let Ok(command) = self.commands.try_recv() {
            if let RequestCommand::StartAttempt { member, .. } = command {
                self.post_attempt_ended(AttemptEnd {
                    attempt: self.attempts.started.len(),
                    member,
                    outcome: Outcome::NotSent,
                    elapsed: TimeDelta::ZERO,
                    status: None,
                });
            }
        }
    }

    /// Posts the end of an attempt to the router, and whether the request is finished.
    fn post_attempt_ended(&self, end: AttemptEnd) {
        self.context.router.post(Event::AttemptEnded {
            id: self.id,
            attempt: end.attempt as u32,
            member: end.member,
            outcome: end.outcome,
            elapsed: end.elapsed,
            finished: !self.answer.is_pending(),
            status: end.status,
            report: None,
        });
    }
}
