//! Executes one query: converts its statement into a typed request, and the request's outcome into the answer.

use crate::net::buffers::Buffer;
use crate::net::downstream::cancel::{CancelRegistration, CancellableQuery};
use crate::net::downstream::connection::{ClientConnection, ConnectionEnd};
use crate::net::downstream::messages::MessageBody;
use crate::net::duration;
use crate::net::metrics::increment;
use crate::net::pg::{self, code};
use crate::net::request::{retry_after_milliseconds, Answer, ClientRequest, OpenId};
use crate::net::upstream::Statement;
use irisrouter::routing::{
    Freshness, GroupId, Idempotency, RequestClass, SessionId, TimeDelta, Timestamp,
};
use irisrouter_write_intents::{key_hash, KeyHash};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::oneshot;

/// How far a client's required position may be ahead of this process's clock. A request for a position that does
/// not exist yet would wait for it, and calculations with a position far in the future could overflow.
const MAX_POSITION_LEAD: TimeDelta = TimeDelta::from_secs(1);

/// Why a statement cannot be converted into a request. The text is the message of the client's error response.
#[derive(Debug, Error)]
pub(super) enum StatementError {
    /// The statement or the comment at its end cannot be parsed.
    #[error("{0}")]
    Malformed(&'static str),
    #[error("an unknown class")]
    UnknownClass,
    #[error("an unknown cluster")]
    UnknownGroup,
    #[error("no k in the comment of a keyed class")]
    MissingIdempotencyKey,
    #[error("after is a position that is not there yet")]
    PositionInFuture,
    #[error("the id of a request that is open")]
    DuplicateRequestId,
}

/// A query as parsed from its message.
pub(super) enum Query {
    /// A query that is answered without a database host.
    Immediate(ImmediateAnswer),
    /// A valid request.
    Request(QueuedRequest),
}

/// Why a query is answered without a database host.
pub(super) enum ImmediateAnswer {
    /// The query has no statement.
    Empty,
    /// The statement cannot be converted into a request.
    Invalid(StatementError),
    /// No memory is available for the query at present.
    NoMemory,
    /// The gateway is shutting down, and its deadline for answers has passed.
    ShuttingDown,
    /// The message violates the protocol.
    Violation(&'static str),
}

/// A valid request, and the time that it has waited for its turn.
pub(super) struct QueuedRequest {
    request: Box<ClientRequest>,
    /// Time since the last byte of its message arrived.
    queue_time: Duration,
}

impl QueuedRequest {
    /// Subtracts a further wait from the time that is left for the request.
    pub(super) fn subtract_wait(&mut self, wait: Duration) {
        self.request.timeout = self.request.timeout.saturating_sub(wait);
        self.queue_time += wait;
    }
}

/// Why a query cannot be converted into a request.
enum QueryError {
    Statement(StatementError),
    NoMemory,
}

impl From<StatementError> for QueryError {
    fn from(error: StatementError) -> Self {
        QueryError::Statement(error)
    }
}

/// The result of waiting for a request's answer, if the client did not disconnect meanwhile.
enum QueryOutcome {
    /// The request's final answer.
    Answered(Answer),
    /// The client has cancelled the query.
    Cancelled,
}

impl ClientConnection {
    /// Parses the message at the beginning of the input. The request's timeout is counted from the arrival of its last
    /// byte, regardless of how long earlier requests took.
    pub(super) fn parse_query(&mut self, body: &MessageBody) -> Query {
        let MessageBody::InInput(range) = body else {
            return Query::Immediate(ImmediateAnswer::NoMemory);
        };
        let reserved_id = self.reserved_ids.take(self.input.position());
        let text = match pg::query(&self.input.unprocessed()[range.clone()]) {
            Ok(text) => text,
            Err(malformed) => {
                return Query::Immediate(ImmediateAnswer::Violation(malformed.0));
            }
        };
        if pg::is_empty(text) {
            return Query::Immediate(ImmediateAnswer::Empty);
        }
        // Many requests may be waiting at this point: rejecting them one by one through the router would take longer
        // than the time before the process is killed.
        if self.listener.request_context.answers_are_overdue() {
            return Query::Immediate(ImmediateAnswer::ShuttingDown);
        }
        let arrived_at = self.input.arrival_of(range.end);
        let queue_time = arrived_at.map_or(Duration::ZERO, |arrived_at| arrived_at.elapsed());
        match self.parse_request(text, queue_time, reserved_id) {
            Ok(request) => Query::Request(QueuedRequest {
                request: Box::new(request),
                queue_time,
            }),
            Err(QueryError::Statement(error)) => Query::Immediate(ImmediateAnswer::Invalid(error)),
            Err(QueryError::NoMemory) => Query::Immediate(ImmediateAnswer::NoMemory),
        }
    }

    /// Adds the answer, including ReadyForQuery, to the answers of the current turn.
    pub(super) async fn put_immediate_answer(
        &mut self,
        answer: ImmediateAnswer,
    ) -> Result<(), ConnectionEnd> {
        match answer {
            ImmediateAnswer::Violation(message) => {
                return Err(self.end_with_violation(message).await)
            }
            ImmediateAnswer::Empty => self.put_empty_query_response(),
            ImmediateAnswer::Invalid(error) => {
                increment(&self.metrics().requests.malformed);
                let out = self.answers_mut();
                pg::put_error(out, "ERROR", code::SYNTAX_ERROR, &error.to_string(), None);
            }
            ImmediateAnswer::NoMemory => {
                increment(&self.metrics().requests.no_memory);
                self.put_capacity_rejection();
            }
            ImmediateAnswer::ShuttingDown => {
                increment(&self.metrics().requests.expired);
                self.put_capacity_rejection();
            }
        }
        pg::put_ready(self.answers_mut());
        Ok(())
    }

    /// Serves a request and writes its complete answer, including ReadyForQuery. If the answer was forwarded while it
    /// arrived, only its last part is left to write.
    pub(super) async fn serve_request(
        &mut self,
        queued: QueuedRequest,
    ) -> Result<(), ConnectionEnd> {
        let QueuedRequest {
            request,
            queue_time,
        } = queued;
        // The router rejects this request because no time is left for an attempt.
        if request.timeout.is_zero() && !queue_time.is_zero() {
            increment(&self.metrics().requests.expired);
        }
        let outcome = self.wait_for_answer(*request).await?;
        let is_rejected = matches!(outcome, QueryOutcome::Answered(Answer::Rejected { .. }));
        let mut out = self.outcome_messages(outcome).await?;
        pg::put_ready(&mut out);
        self.write(&out).await?;
        // Requests that are rejected at once can arrive as fast as queries that the gateway answers by itself.
        if is_rejected {
            self.listener.turns.next_turn().await;
        }
        Ok(())
    }

    /// Rejects a query because memory, connections or time have run out, owing to other clients or to a shutdown.
    pub(super) fn put_capacity_rejection(&mut self) {
        let retry_after_ms = self.reconnect_delay_ms();
        put_rejection(retry_after_ms, self.answers_mut());
    }

    /// Answers an empty query, which clients send to check a connection: with an error if clients are being
    /// disconnected.
    fn put_empty_query_response(&mut self) {
        if self.listener.serving_state.mode().disconnects_clients() {
            let message = "clients are sent away";
            let out = self.answers_mut();
            pg::put_error(out, "ERROR", code::CANNOT_CONNECT_NOW, message, None);
        } else {
            // The message has no body.
            pg::put(self.answers_mut(), pg::tag::EMPTY_QUERY_RESPONSE, |_| {});
        }
    }

    /// Returns the answer without ReadyForQuery, or the part of it that has not been forwarded.
    async fn outcome_messages(&mut self, outcome: QueryOutcome) -> Result<Buffer, ConnectionEnd> {
        match outcome {
            QueryOutcome::Cancelled => {
                let message = "canceling statement due to user request";
                Ok(self.error_message(code::QUERY_CANCELED, message))
            }
            QueryOutcome::Answered(Answer::Served(row)) => self.reserve_ready_for_query(row).await,
            QueryOutcome::Answered(Answer::Streamed(streamed)) => {
                self.forward_streamed(streamed).await
            }
            QueryOutcome::Answered(Answer::Rejected { retry_after }) => {
                let mut out = self.listener.pool.acquire();
                put_rejection(retry_after_milliseconds(retry_after), &mut out);
                Ok(out)
            }
            QueryOutcome::Answered(Answer::Failed) => {
                let message = "no answer could be had, and it may have run";
                Ok(self.error_message(code::INTERNAL_ERROR, message))
            }
            QueryOutcome::Answered(Answer::DuplicateId) => {
                let message = StatementError::DuplicateRequestId.to_string();
                Ok(self.error_message(code::SYNTAX_ERROR, &message))
            }
        }
    }

    fn error_message(&self, code: &str, message: &str) -> Buffer {
        let mut out = self.listener.pool.acquire();
        pg::put_error(&mut out, "ERROR", code, message, None);
        out
    }

    /// Starts the request's task and waits for its answer. If the query is cancelled or the client disconnects, the
    /// receiver of the answer is dropped, so that the request starts no further attempt.
    async fn wait_for_answer(
        &mut self,
        request: ClientRequest,
    ) -> Result<QueryOutcome, ConnectionEnd> {
        let (sender, answer) = oneshot::channel();
        tokio::task::spawn_local(Rc::clone(&self.listener.request_context).serve(request, sender));
        let registration = self.cancel_registration.take();
        let mut query = registration
            .as_ref()
            .map(CancelRegistration::cancellable_query);
        let outcome = async {
            tokio::select! {
                biased;
                // If the request's task ends without sending an answer, the client gets a failure.
                answer = answer => QueryOutcome::Answered(answer.unwrap_or(Answer::Failed)),
                () = wait_for_cancellation(&mut query) => QueryOutcome::Cancelled,
            }
        };
        let result = self.wait_while_connected(outcome).await;
        drop(query);
        self.cancel_registration = registration;
        result
    }

    /// Validates a statement and converts it into a request, with `queue_time` subtracted from its timeout.
    /// `reserved_id` is its id if that was reserved while the request waited for its turn.
    fn parse_request(
        &self,
        text: &[u8],
        queue_time: Duration,
        reserved_id: Option<OpenId>,
    ) -> Result<ClientRequest, QueryError> {
        let context = &self.listener.request_context;
        let statement =
            pg::statement(text).map_err(|malformed| StatementError::Malformed(malformed.0))?;
        let class_handle = self
            .listener
            .classes
            .find(statement.class)
            .ok_or(StatementError::UnknownClass)?;
        let class = &class_handle.class;
        let group = GroupId(statement.group);
        if !context.upstream.may_have_group(group) {
            return Err(StatementError::UnknownGroup.into());
        }
        let idempotency_key = idempotency_key(&statement, class)?;
        let minimum_position = self.required_position(&statement, class)?;
        // A client with an unlimited timeout could otherwise keep its request open for ever.
        let timeout =
            Duration::from_secs_f64(statement.timeout_ms / 1e3).min(duration(class.deadline));
        let text_copy = self.listener.pool.copy(text).ok_or(QueryError::NoMemory)?;
        let id = reserved_id
            .or_else(|| context.open_ids.reserve(statement.id))
            .ok_or(StatementError::DuplicateRequestId)?;
        Ok(ClientRequest {
            id,
            session: session_id(&statement, class),
            class: class_handle,
            group,
            presence: Rc::clone(&self.presence),
            timeout: timeout.saturating_sub(queue_time),
            minimum_position,
            retry: statement.retry,
            idempotency_key,
            statement: Statement {
                text: text_copy,
                timeout_range: statement.timeout_range,
            },
        })
    }

    /// Returns the position that the answer has to include, in nanoseconds of Unix time, if the class guarantees that
    /// clients read their own writes and the statement names a position.
    fn required_position(
        &self,
        statement: &pg::Statement<'_>,
        class: &RequestClass,
    ) -> Result<Option<Timestamp>, StatementError> {
        let position = statement
            .after_ms
            .filter(|_| class.freshness == Freshness::Session)
            .map(|milliseconds| Timestamp::from_nanos((milliseconds * 1e6) as i64));
        let clock = &self.listener.request_context.clock;
        if position.is_some_and(|p| p > clock.now().saturating_add(MAX_POSITION_LEAD)) {
            return Err(StatementError::PositionInFuture);
        }
        Ok(position)
    }
}

/// Returns the session that the statement's session key identifies, if requests of the class belong to sessions.
fn session_id(statement: &pg::Statement<'_>, class: &RequestClass) -> Option<SessionId> {
    let has_sessions = matches!(class.freshness, Freshness::Session | Freshness::Write);
    statement
        .session_key
        .filter(|_| has_sessions)
        .map(SessionId::of)
}

/// Returns the hash of the group and the statement's idempotency key. Only keyed classes use the key, and they require
/// it.
fn idempotency_key(
    statement: &pg::Statement<'_>,
    class: &RequestClass,
) -> Result<Option<KeyHash>, StatementError> {
    if !matches!(class.idempotency, Idempotency::Keyed { .. }) {
        return Ok(None);
    }
    let key = statement
        .idempotency
        .ok_or(StatementError::MissingIdempotencyKey)?;
    Ok(Some(key_hash(statement.group, key.as_bytes())))
}

/// Appends the error for a request that was rejected without being executed. `retry_after_ms` is the retry advice.
fn put_rejection(retry_after_ms: Option<u128>, out: &mut Buffer) {
    let detail = retry_after_ms.map(|milliseconds| milliseconds.to_string());
    let message = "turned away, trying again is harmless";
    pg::put_error(
        out,
        "ERROR",
        code::TOO_MANY_CONNECTIONS,
        message,
        detail.as_deref(),
    );
}

/// Returns once the query is cancelled. Never returns if the client has no cancel key.
async fn wait_for_cancellation(query: &mut Option<CancellableQuery<'_>>) {
    match query {
        Some(query) => query.cancelled().await,
        None => std::future::pending().await,
    }
}
