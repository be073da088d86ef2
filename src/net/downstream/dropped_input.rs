//! Messages that are dropped because no memory is available for them. They are only counted while they arrive: each
//! query is rejected in its turn, and the gateway still notices at once when the client disconnects.

use crate::net::pg;

/// Number of dropped bytes from which a client counts as flooding. It is then read at a limited rate, so that it does
/// not use up the processor.
const FLOOD_SIZE: usize = 16 * pg::MAX_MESSAGE_SIZE;

/// The next dropped message, in the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DroppedMessage {
    /// A complete query.
    Query,
    /// An incomplete message, with the number of bytes `missing` from its header or, once the header is complete, from
    /// its body.
    Incomplete { missing: usize },
    /// A Terminate message: the client ends the connection.
    Terminate,
    /// A message that violates the protocol, or one that is neither a simple query nor Terminate and therefore not
    /// supported here.
    Violation,
}

/// A message that ends the connection, so that later input is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastMessage {
    Terminate,
    Violation,
}

/// The dropped messages that have not been processed yet.
#[derive(Debug, Default)]
pub(super) struct DroppedInput {
    /// Number of complete queries.
    queries: usize,
    /// The bytes received so far of the header of the message behind the queries.
    header: Vec<u8>,
    /// Number of bytes of that message's body that have not arrived.
    missing_body: usize,
    /// The message behind the queries that ends the connection, if it has arrived. All input behind it is ignored.
    last: Option<LastMessage>,
    /// Number of bytes that were dropped since the last time that no dropped message was waiting.
    dropped: usize,
}

impl DroppedInput {
    /// Returns whether there is any unprocessed message, complete or not.
    pub(super) fn is_active(&self) -> bool {
        self.queries > 0 || !self.header.is_empty() || self.last.is_some()
    }

    /// Returns whether the client counts as flooding.
    pub(super) fn is_flood(&self) -> bool {
        self.dropped >= FLOOD_SIZE
    }

    /// Returns the number of complete queries.
    pub(super) fn queries(&self) -> usize {
        self.queries
    }

    /// Parses the next received bytes, counts the messages in them and drops them.
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

    /// Returns the next dropped message. A query is removed; other messages are returned again by the next call.
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

    /// Handles a complete header: begins the body of a query, or records the message that ends the connection.
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
