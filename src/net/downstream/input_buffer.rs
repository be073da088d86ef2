//! Input that a client has sent and the gateway has not processed yet. Its size is limited by dropping messages, each
//! of which is rejected in its turn, and never by closing the connection: every request that was received gets an
//! answer.

use crate::net::buffers::{Buffer, Pool};
use crate::net::downstream::dropped_input::{DroppedInput, DroppedMessage};
use crate::net::downstream::read_times::ReadTimes;
use crate::net::pg;
use bytes::{Buf, BytesMut};
use std::rc::Rc;
use tokio::time::Instant;

/// Number of unprocessed bytes from which messages are dropped instead of read ahead: enough for several messages
/// of maximum size.
const MAX_INPUT_AHEAD: usize = 4 * pg::MAX_MESSAGE_SIZE;
/// Minimum space reserved for one read, in bytes.
const MIN_READ_SPACE: usize = 1024;

/// The purpose of a read, which decides how much memory it may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadPurpose {
    /// The read is for the message that is processed next.
    NextMessage,
    /// The read is for messages behind a request that has no answer yet, so it must leave memory for the answers.
    ReadAhead,
}

/// A client's unprocessed input.
pub(super) struct InputBuffer {
    pool: Rc<Pool>,
    /// `None` while there is no input, so that an idle connection holds no buffer.
    buffer: Option<Buffer>,
    read_times: ReadTimes,
    /// Number of bytes that have been processed since the start of the connection.
    position: u64,
    /// Dropped messages, which follow those in the buffer. While there are any, nothing is added to the buffer.
    dropped: DroppedInput,
}

impl InputBuffer {
    /// Creates an empty input buffer.
    pub(super) fn new(pool: Rc<Pool>) -> Self {
        InputBuffer {
            pool,
            buffer: None,
            read_times: ReadTimes::default(),
            position: 0,
            dropped: DroppedInput::default(),
        }
    }

    /// Returns the unprocessed bytes in the buffer.
    pub(super) fn unprocessed(&self) -> &[u8] {
        self.buffer.as_deref().map_or(&[], |buffer| buffer)
    }

    /// Returns the number of bytes that have been processed, which is the position of the unprocessed bytes.
    pub(super) fn position(&self) -> u64 {
        self.position
    }

    /// Returns the number of unprocessed bytes in the buffer.
    pub(super) fn len(&self) -> usize {
        self.unprocessed().len()
    }

    /// Returns whether all input has been processed, dropped messages included.
    pub(super) fn is_empty(&self) -> bool {
        self.unprocessed().is_empty() && !self.dropped.is_active()
    }

    /// Returns whether dropped messages are waiting to be processed, so that arriving input is dropped too.
    pub(super) fn is_dropping(&self) -> bool {
        self.dropped.is_active()
    }

    /// Returns whether so much input has been dropped that the client counts as flooding.
    pub(super) fn is_flooding(&self) -> bool {
        self.dropped.is_flooding()
    }

    /// Returns the number of complete queries that were dropped and not rejected yet.
    pub(super) fn dropped_queries(&self) -> usize {
        self.dropped.queries()
    }

    /// Returns the number of complete queries that have not been processed, dropped ones included.
    pub(super) fn unanswered_queries(&self) -> usize {
        pg::complete_queries(self.unprocessed()).count() + self.dropped.queries()
    }

    /// Returns the ids of the first unprocessed requests in the buffer, at most `max_ids` of them.
    pub(super) fn first_request_ids(&self, max_ids: usize) -> Vec<&str> {
        pg::complete_queries(self.unprocessed())
            .filter_map(|body| pg::statement(pg::query(body).ok()?).ok())
            .map(|statement| statement.id)
            .take(max_ids)
            .collect()
    }

    /// Drops the incomplete message at the end of the buffer. All further input is dropped too, until the dropped
    /// messages have been processed.
    pub(super) fn start_dropping(&mut self) {
        let Some(buffer) = &mut self.buffer else {
            return;
        };
        let complete_size = pg::complete_messages_size(buffer);
        self.dropped.drop_bytes(&buffer[complete_size..]);
        self.read_times.remove_last(buffer.len() - complete_size);
        buffer.truncate(complete_size);
        self.release_if_empty();
    }

    /// Counts and drops bytes that were read but not added to the buffer.
    pub(super) fn drop_bytes(&mut self, bytes: &[u8]) {
        self.dropped.drop_bytes(bytes);
    }

    /// Returns the next dropped message. The messages in the buffer precede it and must be processed first.
    pub(super) fn next_dropped(&mut self) -> Option<DroppedMessage> {
        self.dropped.next()
    }

    /// Returns the number of bytes that are missing from the first message, or from its header while that is
    /// incomplete.
    pub(super) fn missing_bytes(&self) -> usize {
        let size = pg::message_size(self.unprocessed()).unwrap_or(pg::HEADER_SIZE);
        size.saturating_sub(self.len()).max(1)
    }

    /// Returns the buffer with space for a read, or `None` if the memory limits do not allow it.
    pub(super) fn space_for(&mut self, purpose: ReadPurpose) -> Option<&mut BytesMut> {
        if purpose == ReadPurpose::ReadAhead && self.len() >= MAX_INPUT_AHEAD {
            return None;
        }
        let additional = self.len().clamp(MIN_READ_SPACE, pg::MAX_MESSAGE_SIZE);
        let pool = &self.pool;
        let buffer = self.buffer.get_or_insert_with(|| pool.acquire());
        let is_reserved = match purpose {
            ReadPurpose::NextMessage => buffer.try_reserve(additional),
            ReadPurpose::ReadAhead => buffer.try_reserve_read_ahead(additional),
        };
        is_reserved.then_some(&mut **buffer)
    }

    /// Records that a read added `length` bytes to the buffer.
    pub(super) fn record_read(&mut self, length: usize, arrived_at: Instant) {
        self.read_times.record(length, arrived_at);
    }

    /// Removes `length` processed bytes from the beginning of the buffer.
    pub(super) fn consume(&mut self, length: usize) {
        if let Some(buffer) = &mut self.buffer {
            buffer.advance(length);
        }
        self.read_times.consume(length);
        self.position += length as u64;
        self.release_if_empty();
    }

    /// Returns the buffer to its pool if it is empty.
    pub(super) fn release_if_empty(&mut self) {
        if self.unprocessed().is_empty() {
            self.buffer = None;
        }
    }

    /// Returns when the last of the next `length` bytes arrived, or `None` if they have not all arrived.
    pub(super) fn arrival_of(&self, length: usize) -> Option<Instant> {
        self.read_times.arrival_of(length)
    }
}
