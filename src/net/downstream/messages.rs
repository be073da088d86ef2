//! Processes a client's messages in the order in which they arrive. Answers that need no database host are collected and
//! written together at the end of a turn; a request is answered before the next message is processed.

use crate::net::buffers::Buffer;
use crate::net::downstream::client_input::ReadProgress;
use crate::net::downstream::connection::{ClientConnection, ConnectionEnd};
use crate::net::downstream::connection_limit::WaitKind;
use crate::net::downstream::dropped_input::DroppedMessage;
use crate::net::downstream::query::Query;
use crate::net::downstream::turns::Turn;
use crate::net::metrics::{increment, record_max};
use crate::net::pg::{self, code};
use std::convert::Infallible;
use std::ops::Range;
use std::rc::Rc;
use tokio::time::Instant;

/// A message from the client.
struct Message {
    /// The type byte of the message; see [`pg::tag`].
    tag: u8,
    body: MessageBody,
}

/// Location of a message's body.
pub(super) enum MessageBody {
    /// The body is at this range of the unprocessed input, which begins with the message.
    InInput(Range<usize>),
    /// The body was discarded because no memory was available for it.
    Discarded,
}

impl ClientConnection {
    /// Serves the client until the connection has to be closed, and returns the reason.
    pub(super) async fn serve_messages(&mut self) -> Result<Infallible, ConnectionEnd> {
        self.stream.set_nodelay(true)?;
        self.perform_startup().await?;
        self.turn = Turn::default();
        loop {
            let message = self.next_message().await?;
            self.turn.record_message(Instant::now());
            let query = self.parse_if_query(&message);
            self.consume_message(&message);
            self.handle_message(message.tag, query).await?;
        }
    }

    /// Returns whether to close the connection now that an answer has been written. While clients are being
    /// disconnected, a connection is closed right after an answer because the client then notices the close together
    /// with the answer; the connection stays open if the next request has already arrived, unless reading has ended.
    fn should_close_after_answer(&mut self) -> Result<bool, ConnectionEnd> {
        if !self.listener.serving_state.mode().disconnects_clients() || !self.input.is_empty() {
            return Ok(false);
        }
        Ok(self.reading_has_ended() || !self.read_before_close()?)
    }

    /// Ends the current turn if it contains any message: writes the answers, closes the connection if it has to be
    /// closed after them, and otherwise waits for the next turn.
    async fn end_turn(&mut self) -> Result<(), ConnectionEnd> {
        let now = Instant::now();
        let turn = std::mem::take(&mut self.turn);
        if turn.is_over(now) {
            increment(&self.metrics().connections.turns_used_up);
        }
        record_max(
            &self.metrics().event_loop.longest_turn_us,
            turn.duration(now),
        );
        self.flush_answers().await?;
        if turn.has_messages() && self.should_close_after_answer()? {
            return Err(ConnectionEnd::Closed);
        }
        if turn.has_messages() || turn.is_over(now) {
            self.listener.turns.next_turn().await;
        }
        Ok(())
    }

    /// Returns the next message once it has arrived completely, or once it has been dropped because no memory was
    /// available for it.
    async fn next_message(&mut self) -> Result<Message, ConnectionEnd> {
        self.message_started_at = Instant::now();
        loop {
            if self.turn.is_over(Instant::now()) {
                self.end_turn().await?;
            }
            match pg::frame(self.input.unprocessed()) {
                Err(malformed) => return Err(self.end_with_violation(malformed.0).await),
                Ok(Some(frame)) => {
                    return Ok(Message {
                        tag: frame.tag,
                        body: MessageBody::InInput(frame.body),
                    })
                }
                Ok(None) => {}
            }
            if let Some(dropped) = self.input.next_dropped() {
                if let Some(message) = self.handle_dropped(dropped).await? {
                    return Ok(message);
                }
                continue;
            }
            if self.turn.has_messages() {
                self.end_turn().await?;
            }
            if self.read_more(WaitKind::Idle).await? == ReadProgress::NoMemory {
                self.input.start_dropping();
            }
        }
    }

    /// Handles the next dropped message. Returns `None` after reading more of a message that is incomplete.
    async fn handle_dropped(
        &mut self,
        dropped: DroppedMessage,
    ) -> Result<Option<Message>, ConnectionEnd> {
        match dropped {
            DroppedMessage::Query => Ok(Some(Message {
                tag: pg::tag::QUERY,
                body: MessageBody::Discarded,
            })),
            DroppedMessage::Incomplete { missing } => {
                self.flush_answers().await?;
                self.receive_and_drop(missing).await?;
                Ok(None)
            }
            DroppedMessage::Terminate => Err(ConnectionEnd::Closed),
            DroppedMessage::Violation => {
                let message = "a message that is not supported is sent ahead of an answer";
                Err(self.end_with_violation(message).await)
            }
        }
    }

    /// Parses the message if it is a query, while its body is still in the input. Returns `None` for messages of other
    /// types.
    fn parse_if_query(&mut self, message: &Message) -> Option<Query> {
        (message.tag == pg::tag::QUERY).then(|| self.parse_query(&message.body))
    }

    fn consume_message(&mut self, message: &Message) {
        if let MessageBody::InInput(body) = &message.body {
            self.reserved_ids.message_consumed(self.input.position());
            self.input.consume(body.end);
        }
    }

    /// Handles one message. Only simple queries are supported: the first message of an extended query is answered with
    /// an error, and the others are ignored until Sync.
    async fn handle_message(&mut self, tag: u8, query: Option<Query>) -> Result<(), ConnectionEnd> {
        use pg::tag::{
            BIND, CLOSE, DESCRIBE, EXECUTE, FLUSH, FUNCTION_CALL, PARSE, SYNC, TERMINATE,
        };
        if let Some(query) = query {
            return self.handle_query(query).await;
        }
        match tag {
            TERMINATE => return Err(ConnectionEnd::Closed),
            SYNC => {
                self.skipping_until_sync = false;
                pg::put_ready(self.answers_mut());
            }
            PARSE | BIND | DESCRIBE | EXECUTE | CLOSE | FLUSH if self.skipping_until_sync => {}
            PARSE | BIND | DESCRIBE | EXECUTE | CLOSE | FLUSH => {
                self.put_unsupported();
                self.skipping_until_sync = true;
            }
            FUNCTION_CALL => {
                self.put_unsupported();
                pg::put_ready(self.answers_mut());
            }
            // The gateway never starts a COPY, so that COPY messages are unexpected too.
            _ => return Err(self.end_with_violation("an unknown message").await),
        }
        Ok(())
    }

    async fn handle_query(&mut self, query: Query) -> Result<(), ConnectionEnd> {
        match query {
            Query::Immediate(answer) => self.put_immediate_answer(answer).await,
            Query::Request(mut request) => {
                let parsed_at = Instant::now();
                self.flush_answers().await?;
                self.catch_up_on_input().await?;
                request.subtract_wait(parsed_at.elapsed());
                self.serve_request(request).await?;
                self.turn = Turn::default();
                if self.should_close_after_answer()? {
                    return Err(ConnectionEnd::Closed);
                }
                Ok(())
            }
        }
    }

    fn put_unsupported(&mut self) {
        increment(&self.metrics().requests.malformed);
        let message = "only simple queries are spoken here";
        let out = self.answers_mut();
        pg::put_error(out, "ERROR", code::FEATURE_NOT_SUPPORTED, message, None);
    }

    /// Returns the buffer for the answers of the current turn.
    pub(super) fn answers_mut(&mut self) -> &mut Buffer {
        let pool = &self.listener.pool;
        self.answers
            .get_or_insert_with(|| Rc::clone(pool).acquire())
    }

    /// Writes the answers of the current turn that have not been written yet.
    pub(super) async fn flush_answers(&mut self) -> Result<(), ConnectionEnd> {
        match self.answers.take() {
            Some(answers) => self.write(&answers).await,
            None => Ok(()),
        }
    }
}
