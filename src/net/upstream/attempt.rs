//! One attempt of a request: a statement is sent to a host, and the outcome says what is proven of it.

use crate::net::buffers::Buffer;
use crate::net::pg::{self, code, Reply};
use crate::net::upstream::exchange::Query;
use crate::net::upstream::load_report::replication_status;
use crate::net::upstream::reachability::SentKind;
use crate::net::upstream::registry::Upstream;
use crate::net::upstream::response_stream::StreamedAnswer;
use irisrouter::routing::{MemberId, Outcome, ReplicationStatus};
use std::ops::Range;
use tokio::time::Instant;

/// The bytes of a query message besides its statement: type, length and terminator, rounded up.
const QUERY_OVERHEAD: usize = 16;

/// A request's statement. It is sent byte for byte but for the time that is left for it.
pub struct Statement {
    /// Its text.
    pub text: Buffer,
    /// Where the text holds the milliseconds that its sender will wait.
    pub timeout_range: Range<usize>,
}

/// A statement that is to be sent to a host.
pub struct OutgoingStatement<'a> {
    /// The host.
    pub member: MemberId,
    /// The statement.
    pub statement: &'a Statement,
    /// When its reply has to be there, or a long one has to have begun.
    pub deadline: Instant,
}

/// How an attempt ended.
pub struct AttemptResult {
    /// Its outcome.
    pub outcome: Outcome,
    /// What the reply says of its host.
    pub status: Option<ReplicationStatus>,
    /// The messages of the row, as the host sent them; only with [`Outcome::Ok`], and not where they were passed on.
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
    /// Sends a statement to a host and waits for its reply until the deadline. Nothing is sent where `may_be_sent` denies
    /// it once a connection is ready. A long reply is given to `pass_on` once it has begun, and from then on takes as long
    /// as the host and the client do.
    pub async fn attempt(
        &self,
        outgoing: OutgoingStatement<'_>,
        may_be_sent: impl Fn() -> bool,
        pass_on: impl FnOnce(StreamedAnswer),
    ) -> AttemptResult {
        let member = outgoing.member;
        let result = self.send_statement(outgoing, may_be_sent, pass_on).await;
        self.metrics.record_attempt(result.outcome);
        self.record_result(member, result.outcome, SentKind::Request);
        result
    }

    async fn send_statement(
        &self,
        outgoing: OutgoingStatement<'_>,
        may_be_sent: impl Fn() -> bool,
        pass_on: impl FnOnce(StreamedAnswer),
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
        // While the connection came up, the list may have changed or the client may have left. This is the last moment to
        // find out: from the first byte on it counts as sent.
        let Some(_in_flight) = self.begin_request(member).filter(|_| may_be_sent()) else {
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
            deadline,
        };
        let answer = match self.exchange(query, Some(pass_on)).await {
            Ok(answer) => answer,
            Err(outcome) => return outcome.into(),
        };
        let outcome = reply_outcome(&answer.reply);
        AttemptResult {
            outcome,
            status: replication_status(&answer.reply, self.clock.now()),
            row: answer.row.filter(|_| outcome == Outcome::Ok),
        }
    }

    /// The query message of a statement, with the milliseconds that are left for it; `None` where there is no room for it.
    fn query_message(&self, statement: &Statement, deadline: Instant) -> Option<Buffer> {
        let mut message = self.buffers.acquire();
        let left = deadline.saturating_duration_since(Instant::now());
        let milliseconds = left.as_millis().max(1).to_string();
        if !message.try_reserve(statement.text.len() + milliseconds.len() + QUERY_OVERHEAD) {
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

/// The outcome of an attempt whose reply was received.
fn reply_outcome(reply: &Reply) -> Outcome {
    match reply.error.as_deref() {
        None if reply.served() => Outcome::Ok,
        Some(code::READ_ONLY | code::SNAPSHOT_TOO_OLD) => Outcome::Unsuitable,
        Some(code::TOO_MANY_CONNECTIONS) => Outcome::Full,
        _ => Outcome::Error,
    }
}
