//! One exchange on a connection: a query is written, and its reply is read or streamed to the client.

use crate::net::buffers::Buffer;
use crate::net::log::log;
use crate::net::pg::Reply;
use crate::net::upstream::connection::Connection;
use crate::net::upstream::registry::Upstream;
use crate::net::upstream::reply::{LongRowHandling, Received, ReplyError, ReplyReader};
use crate::net::upstream::response_stream::StreamedAnswer;
use crate::net::write_all;
use irisrouter::routing::{MemberId, Outcome};
use tokio::time::{timeout_at, Instant};

/// A query that is ready to be written.
pub(super) struct Query {
    /// Host that the query is sent to.
    pub(super) member: MemberId,
    /// Connection to that host, with nothing else in flight.
    pub(super) connection: Connection,
    /// The query message.
    pub(super) message: Buffer,
    /// Time by which the query must have been written.
    pub(super) write_deadline: Instant,
    /// Time by which the reply must have arrived; a long reply must have begun by then.
    pub(super) deadline: Instant,
}

/// A host's reply to a query.
pub(super) struct QueryReply {
    /// Content of the messages of the reply.
    pub(super) reply: Reply,
    /// Messages of the row; `None` if they were streamed to the client.
    pub(super) row: Option<Buffer>,
}

/// Returns whether the next query on the connection gets its own reply: the host has sent an answer to this one, and
/// nothing can follow. A row that comes after ReadyForQuery alone would be taken for the next query's.
fn is_reusable_after(reply: &Reply) -> bool {
    reply.ready && (reply.served() || reply.error.is_some())
}

impl Upstream {
    /// Writes a query and reads its reply. A long reply is streamed to `on_stream`; without `on_stream`, it is read
    /// as a whole. The connection is reused only after a complete reply with an answer.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the attempt. If it failed before the last byte of the query was written, the query can't
    /// have run, and the outcome is [`Outcome::ConnectFailed`].
    pub(super) async fn exchange(
        &self,
        query: Query,
        on_stream: Option<impl FnOnce(StreamedAnswer)>,
    ) -> Result<QueryReply, Outcome> {
        let Query {
            member,
            mut connection,
            message: mut buffer,
            write_deadline,
            deadline,
        } = query;
        let writing = write_all(&mut connection.stream, &buffer);
        if !matches!(timeout_at(write_deadline, writing).await, Ok(Ok(()))) {
            return Err(Outcome::ConnectFailed);
        }
        buffer.clear();
        let long_row_handling = match on_stream {
            Some(_) => LongRowHandling::Stream,
            None => LongRowHandling::ReadWhole,
        };
        let reader = ReplyReader::new(buffer, self.buffers.acquire());
        let reading = reader.read(&mut connection, long_row_handling);
        let received = timeout_at(deadline, reading)
            .await
            .map_err(|_| Outcome::TimedOut)?;
        let result = self
            .finish_reply(&mut connection, received, on_stream)
            .await;
        let reply = result.map_err(|error| self.outcome_without_reply(member, &error))?;
        if is_reusable_after(&reply.reply) {
            self.check_in(member, connection);
        }
        Ok(reply)
    }

    /// Returns a complete reply at once. Streams a long one to the client first.
    async fn finish_reply(
        &self,
        connection: &mut Connection,
        received: Result<Received, ReplyError>,
        on_stream: Option<impl FnOnce(StreamedAnswer)>,
    ) -> Result<QueryReply, ReplyError> {
        match (received?, on_stream) {
            (Received::Complete(complete), _) => Ok(QueryReply {
                reply: complete.reply,
                row: Some(complete.row),
            }),
            (Received::LongRow(row), Some(on_stream)) => {
                let reply = self.stream_row(connection, row, on_stream).await?;
                Ok(QueryReply { reply, row: None })
            }
            (Received::LongRow(_), None) => Err(ReplyError::UnexpectedLongValue),
        }
    }

    /// Returns the outcome of an attempt whose query was written but whose reply was not received, and logs a protocol
    /// error or lack of memory.
    fn outcome_without_reply(&self, member: MemberId, error: &ReplyError) -> Outcome {
        match error {
            ReplyError::ConnectionLost => Outcome::Reset,
            ReplyError::ClientGone => Outcome::Cancelled,
            ReplyError::OutOfMemory
            | ReplyError::UnexpectedLongValue
            | ReplyError::ErrorAfterRow
            | ReplyError::Malformed(_) => {
                let registry = self.registry.borrow();
                let host = registry.hosts.get(member);
                let name = host.map_or("a removed host", |host| &host.entry.id);
                log!("{name}: {error}");
                Outcome::Error
            }
        }
    }
}
