//! One client connection, from startup to close. Messages are processed in the order in which they arrive, and each is
//! answered before the next one is processed.

use crate::net::buffers::Buffer;
use crate::net::downstream::cancel::CancelRegistration;
use crate::net::downstream::client_input::ReadProgress;
use crate::net::downstream::connection_limit::{ConnectionPermit, WaitKind};
use crate::net::downstream::dropped_input::DroppedMessage;
use crate::net::downstream::input_buffer::InputBuffer;
use crate::net::downstream::listener::ClientListener;
use crate::net::downstream::query::Query;
use crate::net::downstream::reserved_ids::ReservedIds;
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

/// How long the gateway keeps reading from a client after closing its own side of the connection: far longer than a
/// round trip, so that the last answer arrives.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes that are read and discarded while lingering: enough for several messages of maximum size,
/// but not for an endless stream.
const MAX_LINGER_BYTES: usize = 1 << 20;

/// Maximum number of request ids in one log line.
const MAX_LOGGED_IDS: usize = 5;
/// The answer to a request for encryption: it is refused, and the client continues without encryption.
const ENCRYPTION_REFUSED: &[u8] = b"N";

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// The client has disconnected or the network has failed, so that nothing more can be sent.
    Disconnected,
    /// The gateway closes the connection while no answer is due.
    Closed,
    /// The gateway closes the connection after sending an error that states the reason.
    ErrorSent,
}

impl From<io::Error> for ConnectionEnd {
    fn from(_: io::Error) -> Self {
        ConnectionEnd::Disconnected
    }
}

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

/// What the client may send after a startup message, which has no type byte.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StartupProgress {
    /// The client sends another startup message.
    AwaitingNext,
    /// The client may send queries.
    Complete,
}

/// A client's connection and its unprocessed input. The fields are dropped in the order of their declaration, so that
/// the socket is closed before the permit is released.
pub(super) struct ClientConnection {
    pub(super) stream: TcpStream,
    pub(super) permit: ConnectionPermit,
    /// Input that was read and has not been processed.
    pub(super) input: InputBuffer,
    /// Ids of the requests in the input that wait for their turn.
    pub(super) reserved_ids: ReservedIds,
    /// Start of a long write during which no input was read. `None` once all input that arrived during the write has
    /// been read.
    pub(super) reading_paused_since: Option<Instant>,
    /// Time from which the current message is timed: when the client connected, when the previous message was processed
    /// or, after an idle wait, when the first bytes of the message arrived.
    pub(super) message_started_at: Instant,
    pub(super) connected_at: Instant,
    /// When bytes last arrived from the client.
    pub(super) last_input_at: Instant,
    /// Whether messages of the extended query protocol are ignored until the next Sync, as the protocol requires after
    /// an error.
    skipping_until_sync: bool,
    /// Registration of the client's cancel key. `None` before startup is complete, while a query is waiting for its
    /// answer, and if no key could be generated.
    pub(super) cancel_registration: Option<CancelRegistration>,
    pub(super) listener: Rc<ClientListener>,
}

/// Serves a client from its first byte until the connection is closed.
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
        reserved_ids: ReservedIds::default(),
        reading_paused_since: None,
        message_started_at: now,
        connected_at: now,
        last_input_at: now,
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
    /// Returns the counters of the process.
    pub(super) fn metrics(&self) -> &Metrics {
        &self.listener.request_context.metrics
    }

    /// Serves the client until the connection has to be closed, and returns the reason.
    async fn serve_messages(&mut self) -> Result<Infallible, ConnectionEnd> {
        self.stream.set_nodelay(true)?;
        self.perform_startup().await?;
        loop {
            let message = self.next_message().await?;
            let query = self.parse_if_query(&message);
            self.consume_message(&message);
            let mut out = self.listener.pool.acquire();
            self.handle_message(message.tag, query, &mut out).await?;
            self.write(&out).await?;
            if self.should_close_after_answer()? {
                return Err(ConnectionEnd::Closed);
            }
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

    /// Reads and answers the client's startup messages, up to and including the first ReadyForQuery.
    async fn perform_startup(&mut self) -> Result<(), ConnectionEnd> {
        loop {
            match pg::startup(self.input.unprocessed()) {
                Err(malformed) => return Err(self.end_with_violation(malformed.0).await),
                Ok(None) => {
                    if self.read_more(WaitKind::Starting).await? == ReadProgress::NoMemory {
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
            // A cancel request gets no answer, whether or not its key belongs to a connection.
            Startup::Cancel(key) => {
                self.listener.cancels.cancel(&key);
                Err(ConnectionEnd::Closed)
            }
            Startup::Begin if self.permit.over_limit => {
                self.reject_early_queries().await?;
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

    /// Rejects the queries that a client sent together with its startup message on a connection over the limit. A
    /// single query needs no answer of its own: the error that ends the connection answers it.
    async fn reject_early_queries(&mut self) -> Result<(), ConnectionEnd> {
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

    /// Returns the next message once it has arrived completely, or once it has been dropped because no memory was
    /// available for it.
    async fn next_message(&mut self) -> Result<Message, ConnectionEnd> {
        self.message_started_at = Instant::now();
        loop {
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
            } else if self.read_more(WaitKind::Idle).await? == ReadProgress::NoMemory {
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
            self.input.consume(body.end);
        }
    }

    /// Handles one message and appends its answer to `out`. Only simple queries are supported: the first message of an
    /// extended query is answered with an error, and the others are ignored until Sync.
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
            // The gateway never starts a COPY, so that COPY messages are unexpected too.
            _ => return Err(self.end_with_violation("an unknown message").await),
        }
        Ok(())
    }

    fn put_unsupported(&self, out: &mut Buffer) {
        increment(&self.metrics().requests.malformed);
        let message = "only simple queries are spoken here";
        pg::put_error(out, "ERROR", code::FEATURE_NOT_SUPPORTED, message, None);
    }

    /// Closes the connection in a way that lets the last answer arrive.
    async fn close(&mut self, reason: ConnectionEnd) {
        match reason {
            ConnectionEnd::Disconnected => {}
            ConnectionEnd::Closed | ConnectionEnd::ErrorSent => {
                self.report_unanswered(reason);
                self.linger().await;
            }
        }
    }

    /// Counts and logs the complete queries that were read but get no answer because the gateway closes the connection
    /// before their turn. This is expected after a protocol violation or a Terminate message; in any other case it is a
    /// fault.
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

    /// Closes the gateway's side of the connection, then reads and discards input for a limited time: the client learns
    /// that the connection ended before its later requests were processed. Closing a socket with unread bytes would
    /// reset the connection, and the client could lose the last answer.
    async fn linger(&mut self) {
        let ClientConnection {
            stream,
            permit,
            listener,
            ..
        } = self;
        let mut evictable_wait = permit.allow_eviction(WaitKind::Closing);
        let discarding = async {
            stream.shutdown().await?;
            let mut buffer = listener.pool.acquire();
            let mut remaining = MAX_LINGER_BYTES;
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
            () = evictable_wait.evicted() => {}
        }
    }
}
