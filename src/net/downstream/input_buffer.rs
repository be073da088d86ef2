//! What a client has sent and the gateway has not processed yet. Its size is limited by dropping messages, each of which is
//! rejected in its turn, and never by ending the connection: every request that has been taken gets an answer.

use crate::net::buffers::{Buffer, Pool};
use crate::net::downstream::dropped_input::{DroppedInput, DroppedMessage};
use crate::net::downstream::read_times::ReadTimes;
use crate::net::pg;
use bytes::{Buf, BytesMut};
use std::rc::Rc;
use tokio::time::Instant;

/// How much a client may send ahead of its answer before its messages are dropped, in bytes: several of the largest ones.
const MAX_INPUT_AHEAD: usize = 4 * pg::MAX_MESSAGE_SIZE;
/// Smallest space, in bytes, that is made for one read.
const MIN_READ_SPACE: usize = 1024;

/// What a read is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadPurpose {
    /// The message that is processed next.
    NextMessage,
    /// What comes behind a request that has no answer yet: it must leave memory for the answers.
    ReadAhead,
}

/// A client's unprocessed input.
pub(super) struct InputBuffer {
    pool: Rc<Pool>,
    /// None while there is nothing, so that an idle connection holds no buffer.
    buffer: Option<Buffer>,
    read_times: ReadTimes,
    /// Messages behind those in the buffer. While there are some, the buffer takes no more.
    dropped: DroppedInput,
}

impl InputBuffer {
    /// No input.
    pub(super) fn new(pool: Rc<Pool>) -> Self {
        InputBuffer {
            pool,
            buffer: None,
            read_times: ReadTimes::default(),
            dropped: DroppedInput::default(),
        }
    }

    /// The unprocessed bytes.
    pub(super) fn unread(&self) -> &[u8] {
        self.buffer.as_deref().map_or(&[], |buffer| buffer)
    }

    /// The number of unprocessed bytes.
    pub(super) fn len(&self) -> usize {
        self.unread().len()
    }

    /// Whether all input has been processed.
    pub(super) fn is_empty(&self) -> bool {
        self.unread().is_empty() && !self.dropped.is_active()
    }

    /// Whether messages are dropped, as there is no room for them.
    pub(super) fn is_dropping(&self) -> bool {
        self.dropped.is_active()
    }

    /// Whether so much has been dropped that the client floods.
    pub(super) fn is_flood(&self) -> bool {
        self.dropped.is_flood()
    }

    /// The number of whole queries that have had no answer.
    pub(super) fn unanswered_queries(&self) -> usize {
        pg::whole_queries(self.unread()).count() + self.dropped.queries()
    }

    /// The ids of the first requests among them, `most` at most.
    pub(super) fn first_request_ids(&self, most: usize) -> Vec<&str> {
        pg::whole_queries(self.unread())
            .filter_map(|body| pg::statement(pg::query(body).ok()?).ok())
            .map(|statement| statement.id)
            .take(most)
            .collect()
    }

    /// Drops the message that has not arrived whole, and with it all that comes until what was dropped has been taken.
    pub(super) fn start_dropping(&mut self) {
        let Some(buffer) = &mut self.buffer else {
            return;
        };
        let whole = pg::whole_messages_size(buffer);
        self.dropped.drop_bytes(&buffer[whole..]);
        self.read_times.forget_last(buffer.len() - whole);
        buffer.truncate(whole);
        self.release_if_empty();
    }

    /// Drops bytes that have been read.
    pub(super) fn drop_bytes(&mut self, bytes: &[u8]) {
        self.dropped.drop_bytes(bytes);
    }

    /// What follows among the dropped messages, once the buffer is empty.
    pub(super) fn next_dropped(&mut self) -> Option<DroppedMessage> {
        self.dropped.next()
    }

    /// How many bytes are missing to the first message, or to its header while that is incomplete.
    pub(super) fn missing_bytes(&self) -> usize {
        let size = pg::message_size(self.unread()).unwrap_or(pg::HEADER_SIZE);
        size.saturating_sub(self.len()).max(1)
    }

    /// The buffer, with room for a read; `None` where the limits on memory leave none.
    pub(super) fn space_for(&mut self, purpose: ReadPurpose) -> Option<&mut BytesMut> {
        if purpose == ReadPurpose::ReadAhead && self.len() >= MAX_INPUT_AHEAD {
            return None;
        }
        let additional = self.len().clamp(MIN_READ_SPACE, pg::MAX_MESSAGE_SIZE);
        let pool = &self.pool;
        let buffer = self.buffer.get_or_insert_with(|| pool.acquire());
        let has_room = match purpose {
            ReadPurpose::NextMessage => buffer.try_reserve(additional),
            ReadPurpose::ReadAhead => buffer.try_reserve_ahead(additional),
        };
        has_room.then_some(&mut **buffer)
    }

    /// Records that a read has put `length` bytes into the buffer.
    pub(super) fn record_read(&mut self, length: usize, arrived_at: Instant) {
        self.read_times.record(length, arrived_at);
    }

    /// Drops bytes that have been processed.
    pub(super) fn consume(&mut self, length: usize) {
        if let Some(buffer) = &mut self.buffer {
            buffer.advance(length);
        }
        self.read_times.consume(length);
        self.release_if_empty();
    }

    /// Returns the buffer to its pool where there is nothing in it.
    pub(super) fn release_if_empty(&mut self) {
        if self.unread().is_empty() {
            self.buffer = None;
        }
    }

    /// When the last of the next `length` bytes arrived; `None` where they have not.
    pub(super) fn arrival_of(&self, length: usize) -> Option<Instant> {
        self.read_times.arrival_of(length)
    }
}
