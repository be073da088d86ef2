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
enum FinalMessage {
    Terminate,
    Violation,
}

/// The dropped messages that have not been processed yet.
#[derive(Debug, Default)]
pub(super) struct DroppedInput {
    /// Number of complete queries.
    queries: usize,
    /// The bytes received so far of the header of the message behind the queries.
    partial_header: Vec<u8>,
    /// Number of bytes of that message's body that have not arrived.
    missing_body_bytes: usize,
    /// The message behind the queries that ends the connection, if it has arrived. All input behind it is ignored.
    final_message: Option<FinalMessage>,
    /// Number of bytes that were dropped since the last time that no dropped message was waiting.
    dropped_bytes: usize,
}

impl DroppedInput {
    /// Returns whether there is any unprocessed message, complete or not.
    pub(super) fn is_active(&self) -> bool {
        self.queries > 0 || !self.partial_header.is_empty() || self.final_message.is_some()
    }

    /// Returns whether the client counts as flooding.
    pub(super) fn is_flooding(&self) -> bool {
        self.dropped_bytes >= FLOOD_SIZE
    }

    /// Returns the number of complete queries.
    pub(super) fn queries(&self) -> usize {
        self.queries
    }

    /// Parses the next received bytes, counts the messages in them and drops them.
    pub(super) fn drop_bytes(&mut self, bytes: &[u8]) {
        self.dropped_bytes += bytes.len();
        let mut remaining = bytes;
        while !remaining.is_empty() && self.final_message.is_none() {
            let consumed = if self.missing_body_bytes > 0 {
                self.drop_body(remaining)
            } else {
                self.append_header(remaining)
            };
            remaining = &remaining[consumed..];
        }
    }

    /// Returns the next dropped message. A query is removed; other messages are returned again by the next call.
    pub(super) fn next(&mut self) -> Option<DroppedMessage> {
        if self.queries > 0 {
            self.queries -= 1;
            self.reset_if_done();
            return Some(DroppedMessage::Query);
        }
        match self.final_message {
            Some(FinalMessage::Terminate) => Some(DroppedMessage::Terminate),
            Some(FinalMessage::Violation) => Some(DroppedMessage::Violation),
            None if self.missing_body_bytes > 0 => Some(DroppedMessage::Incomplete {
                missing: self.missing_body_bytes,
            }),
            None if !self.partial_header.is_empty() => Some(DroppedMessage::Incomplete {
                missing: pg::HEADER_SIZE - self.partial_header.len(),
            }),
            None => None,
        }
    }

    fn drop_body(&mut self, bytes: &[u8]) -> usize {
        let consumed = self.missing_body_bytes.min(bytes.len());
        self.missing_body_bytes -= consumed;
        if self.missing_body_bytes == 0 {
            self.finish_query();
        }
        consumed
    }

    fn append_header(&mut self, bytes: &[u8]) -> usize {
        let consumed = (pg::HEADER_SIZE - self.partial_header.len()).min(bytes.len());
        self.partial_header.extend_from_slice(&bytes[..consumed]);
        if self.partial_header.len() == pg::HEADER_SIZE {
            self.begin_message();
        }
        consumed
    }

    /// Handles a complete header: begins the body of a query, or records the message that ends the connection.
    fn begin_message(&mut self) {
        let size = pg::message_size(&self.partial_header).unwrap_or_default();
        match (pg::frame(&self.partial_header), self.partial_header[0]) {
            (Err(_), _) => self.final_message = Some(FinalMessage::Violation),
            (Ok(_), pg::tag::TERMINATE) => self.final_message = Some(FinalMessage::Terminate),
            (Ok(_), pg::tag::QUERY) if size > pg::HEADER_SIZE => {
                self.missing_body_bytes = size - pg::HEADER_SIZE;
            }
            (Ok(_), pg::tag::QUERY) => self.finish_query(),
            (Ok(_), _) => self.final_message = Some(FinalMessage::Violation),
        }
    }

    fn finish_query(&mut self) {
        self.partial_header.clear();
        self.queries += 1;
    }

    fn reset_if_done(&mut self) {
        if !self.is_active() {
            self.dropped_bytes = 0;
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/dropped_input.rs"]
mod tests;
