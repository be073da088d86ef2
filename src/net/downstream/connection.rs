//! One client connection, from its start to its end: the messages in the order in which they arrive, each answered
//! before the next is read.

use crate::net::buffers::Buffer;
use crate::net::downstream::cancel::CancelRegistration;
use crate::net::downstream::client_input::ReadProgress;
use crate::net::downstream::connection_limit::{ConnectionPermit, QuietKind};
use crate::net::downstream::dropped_input::DroppedMessage;
use crate::net::downstream::input_buffer::InputBuffer;
use crate::net::downstream::listener::ClientListener;
use crate::net::downstream::query::Query;
use crate::net::log::log;
use crate::net::metrics::{increment, Metrics};
use crate::net::pg::{self, code, Startup};
use std::convert::Infallible;
use std::io;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// How long the gateway still reads from a client after it has closed its own side: far longer than a round trip, so
/// that the last answer has arrived.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// How many bytes it reads then at most: several of the largest messages, but no endless stream.
const LINGER_BYTES: usize = 1 << 20;

/// Most request ids in a log line.
const MAX_LOGGED_IDS: usize = 5;
/// The answer to a request for encryption: there is none, and the client goes on without.
const ENCRYPTION_REFUSED: &[u8] = b"N";

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// The client has disconnected, or the network has failed: nothing more can be sent.
    Disconnected,
    /// A value breaks off that is passed on while it arrives: only the connection's end tells the client so.
    Truncated,
    /// The gateway closes it while no answer is due.
    Closed,
    /// The gateway closes it and has sent an error that says why.
    ErrorSent,
}

impl From<io::Error> for ConnectionEnd {
    fn from(_: io::Error) -> Self {
        ConnectionEnd::Disconnected
    }
}

/// A message of the client.
struct Message {
    /// Its type; see [`pg::tag`].
    tag: u8,
    body: MessageBody,
}

/// Where the body of a message is.
pub(super) enum MessageBody {
    /// At this place of the input, which begins with the message.
    InInput(Range<usize>),
    /// Nowhere: there was no memory for it.
    Discarded,
}

/// What follows an untyped message at the start of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StartupProgress {
    /// The client sends another one.
    AwaitingNext,
    /// The client may send queries.
    Complete,
}

/// A client's connection and its unprocessed input. When it is dropped, the socket is closed before the permit is
/// released: the fields are dropped in this order.
pub(super) struct ClientConnection {
    pub(super) stream: TcpStream,
    pub(super) permit: ConnectionPermit,
    /// What has been read and not been processed yet.
    pub(super) input: InputBuffer,
    /// Since when input has not been read, until all of it is read again.
    pub(super) reading_paused_since: Option<Instant>,
    /// When the client connected, or when the message began that is incomplete.
    pub(super) message_started: Instant,
    /// When bytes of that message last arrived.
    pub(super) last_input: Instant,
    /// After an error in the extended query protocol all messages are ignored up to the next Sync.
    skipping_until_sync: bool,
    /// The client's cancel key, once its start is complete.
    pub(super) cancel_registration: Option<CancelRegistration>,
    pub(super) listener: Rc<ClientListener>,
}

/// Serves a client from its first byte to the end of its connection.
pub(super) async fn serve_connection(
    listener: Rc<ClientListener>,
    stream: TcpStream,
    permit: ConnectionPermit,
) {
    let now = Instant::now();
    let mut connection = ClientConnection {
        stream,
        permit,
        input: InputBuffer::new(Rc::clone(&listener.pool)),
        reading_paused_since: None,
        message_started: now,
        last_input: now,
        skipping_until_sync: false,
        cancel_registration: None,
        listener,
    };
    if connection.permit.over_limit {
        increment(&connection.metrics().connections.downstream_rejected);
    }
    let Err(end) = connection.serve_messages().await;
    connection.close(end).await;
}

impl ClientConnection {
    /// The counters of the process.
    pub(super) fn metrics(&self) -> &Metrics {
        &self.listener.request_context.metrics
    }

    /// Serves the client until its connection is to end, and returns why.
    async fn serve_messages(&mut self) -> Result<Infallible, ConnectionEnd> {
        self.stream.set_nodelay(true)?;
        self.start_up().await?;
        loop {
            let message = self.next_message().await?;
            let query = self.parse_if_query(&message);
            self.consume_message(&message);
            let mut out = self.listener.pool.acquire();
            self.handle_message(message.tag, query, &mut out).await?;
            self.write(&out).await?;
            if self.ends_behind_answer()? {
                return Err(ConnectionEnd::Closed);
            }
        }
    }

    /// Where clients are sent away, a connection ends right behind an answer, since the client learns of it with the
    /// answer; but not if its next request has arrived already.
    fn ends_behind_answer(&mut self) -> Result<bool, ConnectionEnd> {
        if !self.listener.serving_state.mode().disconnects_clients() || !self.input.is_empty() {
            return Ok(false);
        }
        let reading_is_over = self.listener.request_context.reading_is_over();
        Ok(reading_is_over || !self.read_before_close()?)
    }

    /// Reads the client's startup messages and answers them, up to the first ReadyForQuery.
    async fn start_up(&mut self) -> Result<(), ConnectionEnd> {
        loop {
            match pg::startup(self.input.unread()) {
                Err(malformed) => return Err(self.end_with_violation(malformed.0).await),
                Ok(None) => {
                    if self.read_more(QuietKind::Starting).await? == ReadProgress::NoRoom {
                        return Err(self.end_with_too_many_connections().await);
                    }
                }
                Ok(Some(message)) => {
                    self.input.consume(message.length);
                    if self.handle_startup(message.purpose).await? == StartupProgress::Complete {
                        return Ok(());
                    }
                }
            }
        }
    }

    async fn handle_startup(&mut self, purpose: Startup) -> Result<StartupProgress, ConnectionEnd> {
        let mut out = self.listener.pool.acquire();
        match purpose {
            Startup::Encryption => {
                self.stream.write_all(ENCRYPTION_REFUSED).await?;
                Ok(StartupProgress::AwaitingNext)
            }
            // There is no answer, whether or not the key is that of a connection.
            Startup::Cancel(key) => {
                self.listener.cancels.cancel(&key);
                Err(ConnectionEnd::Closed)
            }
            Startup::Begin if self.permit.over_limit => {
                self.reject_first_queries().await?;
                Err(self.end_with_too_many_connections().await)
            }
            Startup::Begin => {
                self.cancel_registration = self.listener.cancels.register();
                let key = self
                    .cancel_registration
                    .as_ref()
                    .map(CancelRegistration::key);
                pg::put_startup_response(&mut out, key);
                self.write(&out).await?;
                Ok(StartupProgress::Complete)
            }
        }
    }

    /// Rejects the queries that a client has sent right behind its startup on a connection that is one too many. A single
    /// one needs no answer of its own: the error that ends the connection is its answer.
    async fn reject_first_queries(&mut self) -> Result<(), ConnectionEnd> {
        let queries = self.input.unanswered_queries();
        if queries < 2 {
            return Ok(());
        }
        let mut out = self.listener.pool.acquire();
        pg::put_startup_response(&mut out, None);
        for _ in 0..queries {
            self.put_capacity_rejection(&mut out);
            pg::put_ready(&mut out);
        }
        self.input.consume(self.input.len());
        self.write(&out).await
    }

    /// Returns the next message once it is whole, or once it has been read and dropped for want of memory.
    async fn next_message(&mut self) -> Result<Message, ConnectionEnd> {
        self.message_started = Instant::now();
        loop {
            match pg::frame(self.input.unread()) {
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
                if let Some(message) = self.take_dropped(dropped).await? {
                    return Ok(message);
                }
            } else if self.read_more(QuietKind::Idle).await? == ReadProgress::NoRoom {
                self.input.start_dropping();
            }
        }
    }

    /// Takes a message that was dropped; `None` where it has not arrived whole, but more of it has.
    async fn take_dropped(
        &mut self,
        dropped: DroppedMessage,
    ) -> Result<Option<Message>, ConnectionEnd> {
        match dropped {
            DroppedMessage::Query => Ok(Some(Message {
                tag: pg::tag::QUERY,
                body: MessageBody::Discarded,
            })),
            DroppedMessage::Incomplete { missing } => {
                self.read_to_drop(missing).await?;
                Ok(None)
            }
            DroppedMessage::Terminate => Err(ConnectionEnd::Closed),
            DroppedMessage::Violation => {
                let message = "a message that is not supported is sent ahead of an answer";
                Err(self.end_with_violation(message).await)
            }
        }
    }

    /// A query that is made of a message while that is still in the input; `None` for messages of other types.
    fn parse_if_query(&self, message: &Message) -> Option<Query> {
        (message.tag == pg::tag::QUERY).then(|| self.parse_query(&message.body))
    }

    fn consume_message(&mut self, message: &Message) {
        if let MessageBody::InInput(body) = &message.body {
            self.input.consume(body.end);
        }
    }

    /// Handles one message and puts its answer into `out`. Only simple queries are supported: a message of the extended
    /// query protocol is answered with an error.
    async fn handle_message(
        &mut self,
        tag: u8,
        query: Option<Query>,
        out: &mut Buffer,
    ) -> Result<(), ConnectionEnd> {
        use pg::tag::{
            BIND, CLOSE, DESCRIBE, EXECUTE, FLUSH, FUNCTION_CALL, PARSE, SYNC, TERMINATE,
        };
        if let Some(query) = query {
            return self.execute_query(query, out).await;
        }
        match tag {
            TERMINATE => return Err(ConnectionEnd::Closed),
            SYNC => {
                self.skipping_until_sync = false;
                pg::put_ready(out);
            }
            PARSE | BIND | DESCRIBE | EXECUTE | CLOSE | FLUSH if self.skipping_until_sync => {}
            PARSE | BIND | DESCRIBE | EXECUTE | CLOSE | FLUSH => {
                self.put_unsupported(out);
                self.skipping_until_sync = true;
            }
            FUNCTION_CALL => {
                self.put_unsupported(out);
                pg::put_ready(out);
            }
            // The gateway never starts a copy, so that the messages of one are unexpected too.
            _ => return Err(self.end_with_violation("an unknown message").await),
        }
        Ok(())
    }

    fn put_unsupported(&self, out: &mut Buffer) {
        increment(&self.metrics().requests.malformed);
        let message = "only simple queries are spoken here";
        pg::put_error(out, "ERROR", code::FEATURE_NOT_SUPPORTED, message, None);
    }

    /// Ends the connection, so that what was sent last arrives.
    async fn close(&mut self, reason: ConnectionEnd) {
        match reason {
            ConnectionEnd::Disconnected => {}
            ConnectionEnd::Truncated => self.report_unanswered(reason),
            ConnectionEnd::Closed | ConnectionEnd::ErrorSent => {
                self.report_unanswered(reason);
                self.linger().await;
            }
        }
    }

    /// Counts and logs the whole queries that have been read and get no answer, as the gateway ends the connection before
    /// their turn. That is so behind a breach of the protocol, a Terminate or a value that breaks off; it is a fault anywhere
    /// else.
    fn report_unanswered(&self, reason: ConnectionEnd) {
        let unanswered = self.input.unanswered_queries();
        if unanswered == 0 {
            return;
        }
        let requests = &self.metrics().requests;
        requests
            .unanswered
            .set(requests.unanswered.get() + unanswered as u64);
        let client = self.stream.peer_addr();
        let client = client.map_or_else(|error| error.to_string(), |address| address.to_string());
        let ids = self.input.first_request_ids(MAX_LOGGED_IDS).join(" ");
        log!("client {client}: the gateway ends the connection ({reason:?}), {unanswered} queries unanswered: {ids}");
    }

    /// Closes the gateway's side and reads on for a while, discarding what arrives: its sender learns that the
    /// connection ended before the request was read. Closing a socket with unread bytes would reset the connection, and
    /// the client could lose the last answer.
    async fn linger(&mut self) {
        let ClientConnection {
            stream,
            permit,
            listener,
            ..
        } = self;
        let mut wait = permit.wait_quietly(QuietKind::Leaving);
        let discarding = async {
            stream.shutdown().await?;
            let mut buffer = listener.pool.acquire();
            let mut remaining = LINGER_BYTES;
            loop {
                buffer.clear();
                match stream.read_buf(&mut *buffer).await? {
                    0 => return Ok::<_, io::Error>(()),
                    n => {
                        remaining = remaining
                            .checked_sub(n)
                            .ok_or(io::ErrorKind::FileTooLarge)?;
                    }
                }
            }
        };
        tokio::select! {
            _ = timeout(LINGER_TIMEOUT, discarding) => {}
            () = wait.evicted() => {}
        }
    }
}
