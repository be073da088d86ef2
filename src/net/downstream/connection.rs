//! One client connection, from startup to close. `messages` processes the messages in between.

use crate::net::buffers::Buffer;
use crate::net::downstream::cancel::CancelRegistration;
use crate::net::downstream::client_input::ReadProgress;
use crate::net::downstream::connection_limit::{ConnectionPermit, WaitKind};
use crate::net::downstream::input_buffer::InputBuffer;
use crate::net::downstream::listener::ClientListener;
use crate::net::downstream::read_times::ReadingPause;
use crate::net::downstream::reserved_ids::ReservedIds;
use crate::net::downstream::turns::Turn;
use crate::net::log::log;
use crate::net::metrics::{increment, Metrics};
use crate::net::pg::{self, Startup};
use crate::net::request::ClientPresence;
use std::io;
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
/// Maximum number of requests for encryption on one connection: PostgreSQL has two kinds of encryption.
const MAX_ENCRYPTION_REQUESTS: usize = 2;
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
    /// The last interruption of reading. `None` once all input that arrived during it has been read.
    pub(super) reading_pause: Option<ReadingPause>,
    /// Whether reading has been suspended on this connection before.
    pub(super) has_been_suspended: bool,
    /// Whether the client is known to be still connected.
    pub(super) presence: Rc<ClientPresence>,
    /// The work of the current turn.
    pub(super) turn: Turn,
    /// Answers of the current turn that have not been written yet. `None` if there are none, so that an idle connection
    /// holds no buffer.
    pub(super) answers: Option<Buffer>,
    /// Time from which the current message is timed: when the client connected, when the previous message was processed
    /// or, after an idle wait, when the first bytes of the message arrived.
    pub(super) message_started_at: Instant,
    pub(super) connected_at: Instant,
    /// When bytes last arrived from the client.
    pub(super) last_input_at: Instant,
    /// Whether messages of the extended query protocol are ignored until the next Sync, as the protocol requires after
    /// an error.
    pub(super) skipping_until_sync: bool,
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
        reading_pause: None,
        has_been_suspended: false,
        presence: Rc::default(),
        turn: Turn::default(),
        answers: None,
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

    /// Reads and answers the client's startup messages, up to and including the first ReadyForQuery.
    pub(super) async fn perform_startup(&mut self) -> Result<(), ConnectionEnd> {
        for _ in 0..=MAX_ENCRYPTION_REQUESTS {
            let purpose = self.next_startup_message().await?;
            if self.handle_startup(purpose).await? == StartupProgress::Complete {
                return Ok(());
            }
        }
        Err(self
            .end_with_violation("too many requests for encryption")
            .await)
    }

    /// Returns the purpose of the next startup message once it has arrived completely.
    async fn next_startup_message(&mut self) -> Result<Startup, ConnectionEnd> {
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
                    return Ok(message.purpose);
                }
            }
        }
    }

    async fn handle_startup(&mut self, purpose: Startup) -> Result<StartupProgress, ConnectionEnd> {
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
                let mut out = self.listener.pool.acquire();
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
        pg::put_startup_response(self.answers_mut(), None);
        for _ in 0..queries {
            self.put_capacity_rejection();
            pg::put_ready(self.answers_mut());
        }
        self.input.consume(self.input.len());
        self.flush_answers().await
    }

    /// Closes the connection in a way that lets the last answer arrive.
    async fn close(&mut self, reason: ConnectionEnd) {
        match reason {
            ConnectionEnd::Disconnected => {}
            ConnectionEnd::Closed | ConnectionEnd::ErrorSent => {
                self.report_unanswered(reason);
                if self.flush_answers().await.is_ok() {
                    self.linger().await;
                }
            }
        }
    }

    /// Returns the client's address for the log.
    pub(super) fn client_name(&self) -> String {
        let client = self.stream.peer_addr();
        client.map_or_else(|error| error.to_string(), |address| address.to_string())
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
        let client = self.client_name();
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
        let mut evictable_wait = permit.allow_eviction(WaitKind::Closing, Instant::now());
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
                listener.turns.next_turn().await;
            }
        };
        tokio::select! {
            _ = timeout(LINGER_TIMEOUT, discarding) => {}
            () = evictable_wait.evicted() => {}
        }
    }
}
