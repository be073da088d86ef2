//! Messages of a client that there is no room for. They are dropped while they arrive, and only counted: each query gets a
//! rejection when its turn comes, and the client's end behind them is seen at once.

use crate::net::pg;

/// A client of whose input more than this is dropped, in bytes, floods: it is read at a limited rate, so that it does not use
/// up the processor.
const FLOOD_SIZE: usize = 16 * pg::MAX_MESSAGE_SIZE;

/// What follows in the order of the dropped messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DroppedMessage {
    /// A query.
    Query,
    /// A message that has not arrived whole: so many bytes are missing to the next thing that is known of it.
    Incomplete { missing: usize },
    /// The client ends the connection.
    Terminate,
    /// A message that breaks the protocol, or one of the extended query protocol, which is not supported.
    Violation,
}

/// The message that ends the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastMessage {
    Terminate,
    Violation,
}

/// The dropped messages that have had no answer yet.
#[derive(Debug, Default)]
pub(super) struct DroppedInput {
    /// Whole queries.
    queries: usize,
    /// The beginning of the message behind them, as far as its header.
    header: Vec<u8>,
    /// Bytes of that message's body that have not arrived.
    missing_body: usize,
    /// What stands behind the queries and ends the connection; nothing behind it counts.
    last: Option<LastMessage>,
    /// Bytes that were dropped since there last was nothing.
    dropped: usize,
}

impl DroppedInput {
    /// Whether there is anything that has had no answer, or is not whole.
    pub(super) fn is_active(&self) -> bool {
        self.queries > 0 || !self.header.is_empty() || self.last.is_some()
    }

    /// Whether the client floods.
    pub(super) fn is_flood(&self) -> bool {
        self.dropped >= FLOOD_SIZE
    }

    /// The whole queries among the messages.
    pub(super) fn queries(&self) -> usize {
        self.queries
    }

    /// Drops the next bytes.
    pub(super) fn drop_bytes(&mut self, bytes: &[u8]) {
        self.dropped += bytes.len();
        let mut rest = bytes;
        while !rest.is_empty() && self.last.is_none() {
            let taken = if self.missing_body > 0 {
                self.drop_body(rest)
            } else {
                self.take_header(rest)
            };
            rest = &rest[taken..];
        }
    }

    /// What follows; a query is taken by it.
    pub(super) fn next(&mut self) -> Option<DroppedMessage> {
        if self.queries > 0 {
            self.queries -= 1;
            self.reset_if_done();
            return Some(DroppedMessage::Query);
        }
        match self.last {
            Some(LastMessage::Terminate) => Some(DroppedMessage::Terminate),
            Some(LastMessage::Violation) => Some(DroppedMessage::Violation),
            None if self.missing_body > 0 => Some(DroppedMessage::Incomplete {
                missing: self.missing_body,
            }),
            None if !self.header.is_empty() => Some(DroppedMessage::Incomplete {
                missing: pg::HEADER_SIZE - self.header.len(),
            }),
            None => None,
        }
    }

    fn drop_body(&mut self, bytes: &[u8]) -> usize {
        let taken = self.missing_body.min(bytes.len());
        self.missing_body -= taken;
        if self.missing_body == 0 {
            self.finish_query();
        }
        taken
    }

    fn take_header(&mut self, bytes: &[u8]) -> usize {
        let taken = (pg::HEADER_SIZE - self.header.len()).min(bytes.len());
        self.header.extend_from_slice(&bytes[..taken]);
        if self.header.len() == pg::HEADER_SIZE {
            self.begin_message();
        }
        taken
    }

    /// The header of a message is complete.
    fn begin_message(&mut self) {
        let size = pg::message_size(&self.header).unwrap_or_default();
        match (pg::frame(&self.header), self.header[0]) {
            (Err(_), _) => self.last = Some(LastMessage::Violation),
            (Ok(_), pg::tag::TERMINATE) => self.last = Some(LastMessage::Terminate),
            (Ok(_), pg::tag::QUERY) if size > pg::HEADER_SIZE => {
                self.missing_body = size - pg::HEADER_SIZE;
            }
            (Ok(_), pg::tag::QUERY) => self.finish_query(),
            (Ok(_), _) => self.last = Some(LastMessage::Violation),
        }
    }

    fn finish_query(&mut self) {
        self.header.clear();
        self.queries += 1;
    }

    fn reset_if_done(&mut self) {
        if !self.is_active() {
            self.dropped = 0;
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/dropped_input.rs"]
mod tests;
