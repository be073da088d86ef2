//! One client connection, from its start to its end: the messages in the order in which they arrive, each answered
//! before the next is read.

use crate::net::buffers::Buffer;
use crate::net::downstream::cancel::CancelRegistration;
use crate::net::downstream::connection_limit::{ConnectionPermit, QuietKind};
use crate::net::downstream::listener::ClientListener;
use crate::net::metrics::increment;
use crate::net::pg::{self, code, Startup};
use bytes::Buf;
use std::convert::Infallible;
use std::io;
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

/// The answer to a request for encryption: there is none, and the client goes on without.
const ENCRYPTION_REFUSED: &[u8] = b"N";

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// The client has disconnected, or the network has failed: nothing more can be sent.
    Disconnected,
    /// The gateway closes it while no answer is due.
    Closed,
    /// The gateway closes it and has sent an error that says why.
    ErrorSent,
    /// What the client sends does not fit into the memory for messages.
    OutOfMemory,
    /// The client sends too much ahead of its answer.
    TooMuchInput,
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
    body: Buffer,
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
    /// What has been read and not been processed yet. None while there is nothing, so that an idle connection holds no
    /// buffer.
    pub(super) input: Option<Buffer>,
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
        input: None,
        message_started: now,
        last_input: now,
        skipping_until_sync: false,
        cancel_registration: None,
        listener,
    };
    if connection.permit.over_limit {
        increment(
            &connection
                .listener
                .request_context
                .metrics
                .connections
                .downstream_rejected,
        );
    }
    let Err(end) = connection.serve_messages().await;
    connection.close(end).await;
}

impl ClientConnection {
    /// Serves the client until its connection is to end, and returns why.
    async fn serve_messages(&mut self) -> Result<Infallible, ConnectionEnd> {
        self.stream.set_nodelay(true)?;
        self.start_up().await?;
        loop {
            let message = self.next_message().await?;
            let mut out = self.listener.pool.acquire();
            self.handle_message(&message, &mut out).await?;
            self.write(&out).await?;
            if self.ends_behind_answer()? {
                return Err(ConnectionEnd::Closed);
            }
        }
    }

    /// Where clients are sent away, a connection ends right behind an answer, since the client learns of it with the
    /// answer; but not if its next request has arrived already.
    fn ends_behind_answer(&mut self) -> Result<bool, ConnectionEnd> {
        let no_input = self.input.as_ref().is_none_or(|input| input.is_empty());
        Ok(self.listener.serving_state.mode().disconnects_clients()
            && no_input
            && !self.read_before_close()?)
    }

    /// Reads the client's startup messages and answers them, up to the first ReadyForQuery.
    async fn start_up(&mut self) -> Result<(), ConnectionEnd> {
        loop {
            let parsed = self
                .input
                .as_ref()
                .map_or(Ok(None), |input| pg::startup(input));
            match parsed {
                Err(malformed) => return Err(self.end_with_violation(malformed.0).await),
                Ok(None) => self.read_more(QuietKind::Starting).await?,
                Ok(Some(message)) => {
                    self.consume_input(message.length);
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

    /// Returns the next whole message.
    async fn next_message(&mut self) -> Result<Message, ConnectionEnd> {
        self.message_started = Instant::now();
        loop {
            let parsed = self
                .input
                .as_ref()
                .map_or(Ok(None), |input| pg::frame(input));
            match parsed {
                Err(malformed) => return Err(self.end_with_violation(malformed.0).await),
                Ok(Some(frame)) => return self.take_message(&frame),
                Ok(None) => self.read_more(QuietKind::Idle).await?,
            }
        }
    }

    /// Moves a whole message from the input into a buffer of its own.
    fn take_message(&mut self, frame: &pg::Frame) -> Result<Message, ConnectionEnd> {
        let mut body = self.listener.pool.acquire();
        let fits = self
            .input
            .as_ref()
            .is_some_and(|input| body.append(&input[frame.body.clone()]));
        self.consume_input(frame.body.end);
        if !fits {
            return Err(ConnectionEnd::OutOfMemory);
        }
        Ok(Message {
            tag: frame.tag,
            body,
        })
    }

    fn consume_input(&mut self, length: usize) {
        if let Some(input) = &mut self.input {
            input.advance(length);
        }
    }

    /// Handles one message and puts its answer into `out`. Only simple queries are supported: a message of the extended
    /// query protocol is answered with an error.
    async fn handle_message(
        &mut self,
        message: &Message,
        out: &mut Buffer,
    ) -> Result<(), ConnectionEnd> {
        use pg::tag::{
            BIND, CLOSE, DESCRIBE, EXECUTE, FLUSH, FUNCTION_CALL, PARSE, QUERY, SYNC, TERMINATE,
        };
        match message.tag {
            QUERY => self.execute_query(&message.body, out).await?,
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
        increment(&self.listener.request_context.metrics.requests.malformed);
        let message = "only simple queries are spoken here";
        pg::put_error(out, "ERROR", code::FEATURE_NOT_SUPPORTED, message, None);
    }

    /// Sends the error that is due, if any, and ends the connection.
    async fn close(&mut self, reason: ConnectionEnd) {
        let end = match reason {
            ConnectionEnd::OutOfMemory => {
                self.end_with_violation("no room for so large a message")
                    .await
            }
            ConnectionEnd::TooMuchInput => {
                self.end_with_violation("too much is sent ahead of an answer")
                    .await
            }
            ConnectionEnd::Disconnected | ConnectionEnd::Closed | ConnectionEnd::ErrorSent => {
                reason
            }
        };
        match end {
            ConnectionEnd::Disconnected
            | ConnectionEnd::OutOfMemory
            | ConnectionEnd::TooMuchInput => {}
            ConnectionEnd::Closed | ConnectionEnd::ErrorSent => self.linger().await,
        }
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
