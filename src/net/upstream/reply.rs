//! Reading a host's reply, message by message, and why reading it can fail.

use crate::net::buffers::Buffer;
use crate::net::pg::{self, Reply};
use crate::net::upstream::connection::Connection;
use bytes::Buf;
use std::io::ErrorKind;
use tokio::io::AsyncReadExt;

/// The least that a buffer has room for before more is read, in bytes: enough for a typical reply without a row.
const MIN_READ: usize = 1024;

/// What is done with a row whose value is long.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum LongRows {
    /// It is passed on while it arrives.
    PassOn,
    /// It is read as a whole, as other messages are.
    AsMessages,
}

/// What has been received of a reply.
pub(super) enum Received {
    /// All of it.
    Complete(CompleteReply),
    /// All that stands before a row whose value is long.
    LongRow(LongRow),
}

/// A reply that has been read to its end.
pub(super) struct CompleteReply {
    /// What its messages say.
    pub(super) reply: Reply,
    /// The messages of the row, as the host sent them.
    pub(super) row: Buffer,
}

/// The beginning of a row whose value is long.
pub(super) struct LongRow {
    /// What the messages before it say.
    pub(super) reply: Reply,
    /// The messages that belong to the row and stand before its value.
    pub(super) head: Buffer,
    /// What has been read of the row so far.
    pub(super) unread: Buffer,
    /// The size of its message, in bytes.
    pub(super) length: usize,
}

/// Why a reply was not received.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReplyError {
    /// The connection ended, failed or was silent for too long.
    #[error("the connection was lost")]
    ConnectionLost,
    /// Its client takes no more of a long value.
    #[error("the client is gone")]
    ClientGone,
    /// Not enough memory for large messages.
    #[error("no room for its answer")]
    NoRoom,
    /// A long value arrived where none is passed on.
    #[error("an unexpected long value")]
    UnexpectedLongValue,
    /// An error arrived behind a row that had been passed on.
    #[error("an error after its row")]
    ErrorAfterRow,
    /// What arrived is not in the protocol.
    #[error("{0}")]
    Malformed(&'static str),
}

impl From<pg::Malformed> for ReplyError {
    fn from(malformed: pg::Malformed) -> Self {
        ReplyError::Malformed(malformed.0)
    }
}

/// A reply while it is read.
pub(super) struct ReplyReader {
    reply: Reply,
    /// What has been read and does not make a whole message yet.
    unread: Buffer,
    /// The messages of the row.
    row: Buffer,
}

/// How far the bytes that have been read go.
enum Progress {
    /// More has to be read.
    Incomplete,
    /// The reply is complete.
    Complete,
    /// A long row begins, whose message has this size in bytes.
    LongRow(usize),
}

impl ReplyReader {
    /// A reply of which nothing has been read, with two empty buffers for it.
    pub(super) fn new(unread: Buffer, row: Buffer) -> Self {
        ReplyReader::resume(Reply::default(), unread, row)
    }

    /// A reply of which some messages have been taken, and `unread` behind them.
    pub(super) fn resume(reply: Reply, unread: Buffer, row: Buffer) -> Self {
        ReplyReader { reply, unread, row }
    }

    /// Reads messages up to ReadyForQuery, up to the end of the connection after an error, or up to a long row where those
    /// are passed on.
    pub(super) async fn read(
        mut self,
        connection: &mut Connection,
        long_rows: LongRows,
    ) -> Result<Received, ReplyError> {
        loop {
            match self.take_messages(long_rows)? {
                Progress::Incomplete => {}
                Progress::Complete => return Ok(self.complete()),
                Progress::LongRow(length) => return Ok(self.long_row(length)),
            }
            let more = self.unread.len().clamp(MIN_READ, pg::MAX_MESSAGE_SIZE);
            if !self.unread.try_reserve(more) {
                return Err(ReplyError::NoRoom);
            }
            match connection.stream.read_buf(&mut *self.unread).await {
                Ok(n) if n > 0 => {}
                // A read that was interrupted says nothing of the host.
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // After an error or a whole row nothing else is needed.
                _ if self.reply.error.is_some() || self.reply.served() => {
                    return Ok(self.complete())
                }
                _ => return Err(ReplyError::ConnectionLost),
            }
        }
    }

    /// Takes the whole messages that have been read.
    fn take_messages(&mut self, long_rows: LongRows) -> Result<Progress, ReplyError> {
        let pass_on = long_rows == LongRows::PassOn;
        while !(pass_on && pg::may_begin_long_row(&self.unread)) {
            if let Some(length) = pg::long_row(&self.unread)?.filter(|_| pass_on) {
                return Ok(Progress::LongRow(length));
            }
            let Some(frame) = pg::frame(&self.unread)? else {
                break;
            };
            let end = frame.body.end;
            let in_row = self
                .reply
                .read_message(frame.tag, &self.unread[frame.body])?;
            if in_row && !self.row.append(&self.unread[..end]) {
                return Err(ReplyError::NoRoom);
            }
            self.unread.advance(end);
            if self.reply.ready {
                // Bytes beyond the reply belong to no request: such a connection is not used again.
                self.reply.ready = self.unread.is_empty();
                return Ok(Progress::Complete);
            }
        }
        Ok(Progress::Incomplete)
    }

    fn complete(self) -> Received {
        Received::Complete(CompleteReply {
            reply: self.reply,
            row: self.row,
        })
    }

    fn long_row(self, length: usize) -> Received {
        Received::LongRow(LongRow {
            reply: self.reply,
            head: self.row,
            unread: self.unread,
            length,
        })
    }
}
