//! One attempt of a request: a statement is sent to a host, and the outcome says whether it ran, never ran or may have
//! run.

use crate::net::buffers::Buffer;
use crate::net::pg::{self, code, Reply};
use crate::net::upstream::exchange::Query;
use crate::net::upstream::load_report::replication_status;
use crate::net::upstream::reachability::ExchangeKind;
use crate::net::upstream::registry::Upstream;
use crate::net::upstream::response_stream::StreamedAnswer;
use irisrouter::routing::{MemberId, Outcome, ReplicationStatus};
use std::ops::Range;
use tokio::time::Instant;

/// Size of a query message without its statement, in bytes: type, length and terminator, rounded up.
const QUERY_OVERHEAD_BYTES: usize = 16;

/// The statement of a request. It is sent unchanged, except that its timeout is replaced by the remaining time.
pub struct Statement {
    /// Text of the statement.
    pub text: Buffer,
    /// Range of the text that holds the timeout in milliseconds.
    pub timeout_range: Range<usize>,
}

/// A statement that is to be sent to a host.
pub struct OutgoingStatement<'a> {
    /// Host that the statement is sent to.
    pub member: MemberId,
    /// Statement to send.
    pub statement: &'a Statement,
    /// Time by which the reply must have arrived; a long reply must have begun by then.
    pub deadline: Instant,
}

/// Time by which the last byte of a statement has to be written; `None` if only the deadline of its reply limits it.
#[derive(Clone, Copy, Debug)]
pub struct SendDeadline(pub Option<Instant>);

/// The result of an attempt.
pub struct AttemptResult {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Replication status of the host, where the reply contains it.
    pub status: Option<ReplicationStatus>,
    /// Messages of the row, as the host sent them. Present only with [`Outcome::Ok`], and only if the row was not
    /// streamed to the client.
    pub row: Option<Buffer>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult {
            outcome,
            status: None,
            row: None,
        }
    }
}

impl Upstream {
    /// Sends a statement to a host and waits for its reply until the deadline. `send_deadline` is called once a
    /// connection is ready; if it returns `None`, nothing is sent. When a long reply begins, it is given to `on_stream`;
    /// the deadline doesn't apply to the rest of that reply.
    pub async fn attempt(
        &self,
        outgoing: OutgoingStatement<'_>,
        send_deadline: impl Fn() -> Option<SendDeadline>,
        on_stream: impl FnOnce(StreamedAnswer),
    ) -> AttemptResult {
        let member = outgoing.member;
        let result = self
            .send_statement(outgoing, send_deadline, on_stream)
            .await;
        self.metrics.record_attempt(result.outcome);
        self.record_result(member, result.outcome, ExchangeKind::Request);
        result
    }

    async fn send_statement(
        &self,
        outgoing: OutgoingStatement<'_>,
        send_deadline: impl Fn() -> Option<SendDeadline>,
        on_stream: impl FnOnce(StreamedAnswer),
    ) -> AttemptResult {
        let OutgoingStatement {
            member,
            statement,
            deadline,
        } = outgoing;
        let connection = match self.connection(member, deadline).await {
            Ok(connection) => connection,
            Err(outcome) => return outcome.into(),
        };
        // While the connection was set up, the host may have gone out of service, or a rule may have come to forbid the
        // attempt. This is checked before the first byte is written, because from then on the statement counts as sent.
        let in_flight = self.begin_request(member, connection.incarnation);
        let Some((_in_flight, SendDeadline(send_deadline))) = in_flight.zip(send_deadline()) else {
            self.check_in(member, connection);
            return Outcome::NotSent.into();
        };
        let Some(message) = self.query_message(statement, deadline) else {
            self.check_in(member, connection);
            return Outcome::NotSent.into();
        };
        let query = Query {
            member,
            connection,
            message,
            write_deadline: send_deadline.map_or(deadline, |limit| limit.min(deadline)),
            deadline,
        };
        let query_reply = match self.exchange(query, Some(on_stream)).await {
            Ok(query_reply) => query_reply,
            Err(outcome) => return outcome.into(),
        };
        let outcome = reply_outcome(&query_reply.reply);
        AttemptResult {
            outcome,
            status: replication_status(&query_reply.reply, self.clock.now()),
            row: query_reply.row.filter(|_| outcome == Outcome::Ok),
        }
    }

    /// Builds the query message of a statement, with the remaining time in milliseconds. Returns `None` if there is not
    /// enough buffer memory.
    fn query_message(&self, statement: &Statement, deadline: Instant) -> Option<Buffer> {
        let mut message = self.buffers.acquire();
        let remaining = deadline.saturating_duration_since(Instant::now());
        let milliseconds = remaining.as_millis().max(1).to_string();
        if !message.try_reserve(statement.text.len() + milliseconds.len() + QUERY_OVERHEAD_BYTES) {
            return None;
        }
        let timeout_range = &statement.timeout_range;
        pg::put(&mut message, pg::tag::QUERY, |body| {
            body.extend_from_slice(&statement.text[..timeout_range.start]);
            body.extend_from_slice(milliseconds.as_bytes());
            body.extend_from_slice(&statement.text[timeout_range.end..]);
            body.extend_from_slice(&[0]);
        });
        Some(message)
    }
}

/// Returns the outcome of an attempt whose reply was received.
fn reply_outcome(reply: &Reply) -> Outcome {
    match reply.error.as_deref() {
        None if reply.served() => Outcome::Ok,
        Some(code::READ_ONLY | code::SNAPSHOT_TOO_OLD) => Outcome::Unsuitable,
        Some(code::TOO_MANY_CONNECTIONS) => Outcome::Full,
        _ => Outcome::Error,
    }
}
