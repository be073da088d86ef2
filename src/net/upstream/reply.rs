//! Reads a host's reply, message by message.

use crate::net::buffers::Buffer;
use crate::net::pg::{self, Reply};
use crate::net::upstream::connection::Connection;
use bytes::Buf;
use std::io::ErrorKind;
use tokio::io::AsyncReadExt;
use tokio::task::yield_now;

/// Minimum free capacity of a buffer before a read, in bytes: enough for a typical reply without a row.
const MIN_READ_BYTES: usize = 1024;

/// Number of reads after which a reply that is still incomplete lets other tasks run.
const MAX_READS_PER_TURN: usize = 8;

/// How a row with a long value is handled.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum LongRowHandling {
    /// The row is streamed to the client while it arrives.
    Stream,
    /// The row is read as a whole, like any other message.
    ReadWhole,
}

/// The part of a reply that has been received.
pub(super) enum Received {
    /// The whole reply.
    Complete(CompleteReply),
    /// The messages before a row with a long value, and the bytes that have been read after them.
    LongRow(LongRow),
}

/// A reply that has been read to its end.
pub(super) struct CompleteReply {
    /// Content of the messages of the reply.
    pub(super) reply: Reply,
    /// Messages of the row, as the host sent them.
    pub(super) row: Buffer,
}

/// The beginning of a row with a long value.
pub(super) struct LongRow {
    /// Content of the messages before the row.
    pub(super) reply: Reply,
    /// Messages that precede the row and are passed on to the client with it, such as its description.
    pub(super) head: Buffer,
    /// Bytes that have been read, starting at the beginning of the row.
    pub(super) unread: Buffer,
    /// Size of the row's message, in bytes.
    pub(super) length: usize,
}

/// The reason why a reply could not be received.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReplyError {
    /// The connection was closed, failed, or delivered nothing for too long.
    #[error("connection to the host lost")]
    ConnectionLost,
    /// The client has left, so that the rest of a long value can't be delivered.
    #[error("client left before the end of its answer")]
    ClientGone,
    /// There was not enough buffer memory.
    #[error("not enough buffer memory for the reply")]
    OutOfMemory,
    /// A long value arrived in reply to a query whose replies are not streamed.
    #[error("unexpected long value in the reply")]
    UnexpectedLongValue,
    /// A streamed row was not followed by the end of a successful reply.
    #[error("reply failed after its row had been streamed")]
    ErrorAfterRow,
    /// The bytes that arrived violate the protocol.
    #[error("{0}")]
    Malformed(&'static str),
}

impl From<pg::Malformed> for ReplyError {
    fn from(malformed: pg::Malformed) -> Self {
        ReplyError::Malformed(malformed.0)
    }
}

/// Reads a reply from a connection.
pub(super) struct ReplyReader {
    reply: Reply,
    /// Bytes that have been read but not parsed, because they do not form a complete message yet.
    unread: Buffer,
    /// Messages of the row that have been parsed.
    row: Buffer,
}

/// The result of parsing the bytes that have been read so far.
enum ParseProgress {
    /// More bytes must be read.
    Incomplete,
    /// The reply is complete.
    Complete,
    /// The unread bytes begin with a long row, whose message has this size in bytes.
    LongRow(usize),
}

impl ReplyReader {
    /// Creates a reader for a new reply, with two empty buffers.
    pub(super) fn new(unread: Buffer, row: Buffer) -> Self {
        ReplyReader::resume(Reply::default(), unread, row)
    }

    /// Creates a reader for the rest of a reply whose first messages have been parsed; `unread` holds the bytes that
    /// follow them.
    pub(super) fn resume(reply: Reply, unread: Buffer, row: Buffer) -> Self {
        ReplyReader { reply, unread, row }
    }

    /// Reads messages up to ReadyForQuery, or up to a long row if those are streamed. If the connection ends after an
    /// error, or after a row and its CommandComplete, the reply counts as complete.
    pub(super) async fn read(
        mut self,
        connection: &mut Connection,
        long_row_handling: LongRowHandling,
    ) -> Result<Received, ReplyError> {
        let mut reads = 0_usize;
        loop {
            match self.parse_messages(long_row_handling)? {
                ParseProgress::Incomplete => {}
                ParseProgress::Complete => return Ok(self.complete()),
                ParseProgress::LongRow(length) => return Ok(self.long_row(length)),
            }
            let more = self
                .unread
                .len()
                .clamp(MIN_READ_BYTES, pg::MAX_MESSAGE_SIZE);
            if !self.unread.try_reserve(more) {
                return Err(ReplyError::OutOfMemory);
            }
            match connection.stream.read_buf(&mut *self.unread).await {
                Ok(n) if n > 0 => {}
                // An interrupted read says nothing about the host, so it is repeated.
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // After an error, or a row and its CommandComplete, no other message of the reply is needed.
                _ if self.reply.error.is_some() || self.reply.served() => {
                    return Ok(self.complete())
                }
                _ => return Err(ReplyError::ConnectionLost),
            }
            reads += 1;
            if reads.is_multiple_of(MAX_READS_PER_TURN) {
                yield_now().await;
            }
        }
    }

    /// Parses the complete messages that have been read.
    fn parse_messages(
        &mut self,
        long_row_handling: LongRowHandling,
    ) -> Result<ParseProgress, ReplyError> {
        let stream_long_rows = long_row_handling == LongRowHandling::Stream;
        while !(stream_long_rows && pg::may_begin_long_row(&self.unread)) {
            if let Some(length) = pg::long_row(&self.unread)?.filter(|_| stream_long_rows) {
                return Ok(ParseProgress::LongRow(length));
            }
            let Some(frame) = pg::frame(&self.unread)? else {
                break;
            };
            let end = frame.body.end;
            let in_row = self
                .reply
                .read_message(frame.tag, &self.unread[frame.body])?;
            if in_row && !self.row.append(&self.unread[..end]) {
                return Err(ReplyError::OutOfMemory);
            }
            self.unread.advance(end);
            if self.reply.ready {
                // Bytes after the reply belong to no request; a connection with such bytes is not reused.
                self.reply.ready = self.unread.is_empty();
                return Ok(ParseProgress::Complete);
            }
        }
        Ok(ParseProgress::Incomplete)
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
