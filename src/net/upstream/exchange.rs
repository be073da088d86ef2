//! One exchange on a connection: a query is written, and its reply is read or passed on.

use crate::net::buffers::Buffer;
use crate::net::log::log;
use crate::net::pg::Reply;
use crate::net::upstream::connection::Connection;
use crate::net::upstream::registry::Upstream;
use crate::net::upstream::reply::{LongRows, Received, ReplyError, ReplyReader};
use crate::net::upstream::response_stream::StreamedAnswer;
use crate::net::write_all;
use irisrouter::routing::{MemberId, Outcome};
use tokio::time::{timeout_at, Instant};

/// A query that is ready to be written.
pub(super) struct Query {
    /// The host that it goes to.
    pub(super) member: MemberId,
    /// A connection to that host, on which nothing else is in flight.
    pub(super) connection: Connection,
    /// The message.
    pub(super) message: Buffer,
    /// When its reply has to be there, or a long one has to have begun.
    pub(super) deadline: Instant,
}

/// A host's reply to a query.
pub(super) struct QueryReply {
    /// What its messages say.
    pub(super) reply: Reply,
    /// The messages of the row; `None` where they were passed on.
    pub(super) row: Option<Buffer>,
}

impl Upstream {
    /// Writes a query and reads its reply, or passes it on where it is long and `pass_on` takes such. The connection is
    /// used again only after a whole reply.
    ///
    /// # Errors
    ///
    /// The outcome of the attempt. Until the last byte of the query is written, it can't have run.
    pub(super) async fn exchange(
        &self,
        query: Query,
        pass_on: Option<impl FnOnce(StreamedAnswer)>,
    ) -> Result<QueryReply, Outcome> {
        let Query {
            member,
            mut connection,
            message: mut buffer,
            deadline,
        } = query;
        let writing = write_all(&mut connection.stream, &buffer);
        if !matches!(timeout_at(deadline, writing).await, Ok(Ok(()))) {
            return Err(Outcome::ConnectFailed);
        }
        buffer.clear();
        let long_rows = match pass_on {
            Some(_) => LongRows::PassOn,
            None => LongRows::AsMessages,
        };
        let reader = ReplyReader::new(buffer, self.buffers.acquire());
        let reading = reader.read(&mut connection, long_rows);
        let received = timeout_at(deadline, reading)
            .await
            .map_err(|_| Outcome::TimedOut)?;
        let result = self.finish_reply(&mut connection, received, pass_on).await;
        let reply = result.map_err(|error| self.failed_reply(member, &error))?;
        if reply.reply.ready {
            self.check_in(member, connection);
        }
        Ok(reply)
    }

    /// A complete reply as it is; a long one when it has been passed on.
    async fn finish_reply(
        &self,
        connection: &mut Connection,
        received: Result<Received, ReplyError>,
        pass_on: Option<impl FnOnce(StreamedAnswer)>,
    ) -> Result<QueryReply, ReplyError> {
        match (received?, pass_on) {
            (Received::Complete(complete), _) => Ok(QueryReply {
                reply: complete.reply,
                row: Some(complete.row),
            }),
            (Received::LongRow(row), Some(pass_on)) => {
                let reply = self.pass_on(connection, row, pass_on).await?;
                Ok(QueryReply { reply, row: None })
            }
            (Received::LongRow(_), None) => Err(ReplyError::UnexpectedLongValue),
        }
    }

    /// The outcome of an attempt whose query was written and whose reply was not received.
    fn failed_reply(&self, member: MemberId, error: &ReplyError) -> Outcome {
        match error {
            ReplyError::ConnectionLost => Outcome::Reset,
            ReplyError::ClientGone => Outcome::Cancelled,
            ReplyError::NoRoom
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
