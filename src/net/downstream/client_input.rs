//! Reading from a client: the wait for its next bytes, which several events may end, and the wait for something else
//! during which the client may disconnect.

use crate::net::downstream::connection::{ClientConnection, ConnectionEnd};
use crate::net::downstream::connection_limit::{EvictableWait, QuietKind};
use crate::net::metrics::increment;
use crate::net::serving_state::ServingMode;
use crate::net::{pg, read_now};
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// How long a client may be silent before its first message is complete, or in the middle of a message. Clients that send
/// nothing, or half of something, would otherwise hold their connections for ever.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a whole message may take to arrive, beside the time that its size allows for.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// The slowest accepted rate of input, in bytes per second: each received byte extends the time of its message.
const MIN_INPUT_RATE: f64 = 16_384.0;
/// Where clients are sent away, a connection that has been idle for so long ends. Connections in use end behind an answer
/// before that, so that few requests arrive just when their connection ends.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_millis(250);
/// How much a client may send ahead of its answer, in bytes: more than the largest message. What is left unread in the
/// socket hides the client's disconnection, and the request of one that sends much and disconnects would go on.
const MAX_INPUT_AHEAD: usize = pg::MAX_MESSAGE_SIZE + 1;
/// Smallest space, in bytes, that is made for one read.
const MIN_READ_SPACE: usize = 1024;
/// How many bytes are read in the moment in which a connection is to end: enough to see that something has arrived.
const LAST_READ_BYTES: usize = 4096;

/// What a wait for the client's next bytes ends with.
enum InputEvent {
    /// The socket is readable.
    Readable,
    /// Clients are sent away, and this one has been idle.
    Draining,
    /// The connection is needed for another client.
    Evicted,
    /// The message took too long.
    TimedOut,
}

/// How much of the next message has arrived when a wait begins.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Received {
    Nothing,
    PartOfMessage,
}

/// A wait for the client's next bytes.
#[derive(Clone, Copy)]
struct InputWait {
    kind: QuietKind,
    received: Received,
}

impl InputWait {
    /// The connection is between two messages.
    fn is_idle(self) -> bool {
        self.received == Received::Nothing && self.kind == QuietKind::Idle
    }
}

impl ClientConnection {
    /// Waits for more of the client's messages and reads it. Between two messages the connection may end.
    pub(super) async fn read_more(&mut self, kind: QuietKind) -> Result<(), ConnectionEnd> {
        let received = if self.input.as_ref().is_none_or(|input| input.is_empty()) {
            // The buffer goes back to its pool while the client is silent.
            self.input = None;
            Received::Nothing
        } else {
            Received::PartOfMessage
        };
        let wait = InputWait { kind, received };
        let idle = wait.is_idle();
        match self.next_input_event(wait).await? {
            InputEvent::Readable => {
                self.record_input(idle);
                self.read_available()
            }
            // Closing now would lose bytes that have arrived in this very moment.
            InputEvent::Draining | InputEvent::Evicted if idle && self.read_before_close()? => {
                self.record_input(idle);
                Ok(())
            }
            InputEvent::Draining => Err(ConnectionEnd::Closed),
            InputEvent::Evicted => {
                increment(
                    &self
                        .listener
                        .request_context
                        .metrics
                        .connections
                        .downstream_evicted,
                );
                if idle {
                    return Err(ConnectionEnd::Closed);
                }
                Err(self.end_with_too_many_connections().await)
            }
            InputEvent::TimedOut => Err(self
                .end_with_violation("a message that does not become whole")
                .await),
        }
    }

    /// Waits until there is something to read, or until the connection is to end.
    async fn next_input_event(&self, wait: InputWait) -> Result<InputEvent, ConnectionEnd> {
        let idle = wait.is_idle();
        let nothing_received = wait.received == Received::Nothing;
        let deadline = self.input_deadline();
        let drained = drained(
            self.listener.serving_state.subscribe(),
            self.message_started + DRAIN_IDLE_TIMEOUT,
        );
        let kind = if self.permit.over_limit {
            QuietKind::Leaving
        } else {
            wait.kind
        };
        // Half a message keeps its connection for as long as it may take; a message that has not begun does not.
        let mut evictable =
            (nothing_received || kind != QuietKind::Idle).then(|| self.permit.wait_quietly(kind));
        tokio::select! {
            biased;
            readable = self.stream.readable() => {
                readable?;
                Ok(InputEvent::Readable)
            }
            () = drained, if nothing_received => Ok(InputEvent::Draining),
            () = evicted(&mut evictable) => Ok(InputEvent::Evicted),
            () = sleep_until(deadline), if !idle => Ok(InputEvent::TimedOut),
        }
    }

    /// When an incomplete message times out, if nothing more of it arrives.
    fn input_deadline(&self) -> Instant {
        let received = self.input.as_ref().map_or(0, |input| input.len());
        let time_for_size = Duration::from_secs_f64(received as f64 / MIN_INPUT_RATE);
        let whole_by = self.message_started + MESSAGE_TIMEOUT + time_for_size;
        whole_by.min(self.last_input + SILENCE_TIMEOUT)
    }

    /// Notes that bytes have arrived; of a connection that was idle they are the first of a message.
    fn record_input(&mut self, was_idle: bool) {
        self.last_input = Instant::now();
        if was_idle {
            self.message_started = self.last_input;
        }
    }

    /// Reads what there is, if anything, without a wait: the runtime may report a socket as readable when it is not, and
    /// a read that waits then has no time limit.
    fn read_available(&mut self) -> Result<(), ConnectionEnd> {
        let pool = &self.listener.pool;
        let input = self.input.get_or_insert_with(|| pool.acquire());
        if !input.try_reserve(input.len().clamp(MIN_READ_SPACE, pg::MAX_MESSAGE_SIZE)) {
            return Err(ConnectionEnd::OutOfMemory);
        }
        match self.stream.try_read_buf(&mut **input) {
            Ok(0) => Err(ConnectionEnd::Disconnected),
            Ok(_) => Ok(()),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(e) => Err(e.into()),
        }
    }

    /// Reads what the operating system holds at this moment of a connection that is about to end, and says whether there
    /// was anything.
    pub(super) fn read_before_close(&mut self) -> Result<bool, ConnectionEnd> {
        let mut bytes = [0; LAST_READ_BYTES];
        match read_now(&self.stream, &mut bytes) {
            Ok(0) => Err(ConnectionEnd::Disconnected),
            Ok(n) => {
                let pool = &self.listener.pool;
                let input = self.input.get_or_insert_with(|| pool.acquire());
                if !input.append(&bytes[..n]) {
                    return Err(ConnectionEnd::OutOfMemory);
                }
                Ok(true)
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(e) => Err(e.into()),
        }
    }

    /// Waits for something else, and meanwhile for the client to disconnect. What the client sends ahead is kept, up to a
    /// limit.
    pub(super) async fn wait_while_connected<T>(
        &mut self,
        wait: impl Future<Output = T>,
    ) -> Result<T, ConnectionEnd> {
        let mut wait = std::pin::pin!(wait);
        loop {
            tokio::select! {
                biased;
                value = &mut wait => return Ok(value),
                readable = self.stream.readable() => {
                    readable?;
                    self.read_available()?;
                    if self.input.as_ref().is_some_and(|input| input.len() > MAX_INPUT_AHEAD) {
                        return Err(ConnectionEnd::TooMuchInput);
                    }
                }
            }
        }
    }
}

/// Returns once clients are sent away and this one has been idle until `idle_until`.
async fn drained(mut mode: watch::Receiver<ServingMode>, idle_until: Instant) {
    loop {
        if mode
            .wait_for(|mode| mode.disconnects_clients())
            .await
            .is_err()
        {
            return;
        }
        tokio::select! {
            _ = mode.wait_for(|mode| !mode.disconnects_clients()) => {}
            () = sleep_until(idle_until) => return,
        }
    }
}

/// Returns once the connection is evicted; never, while it may not be.
async fn evicted(wait: &mut Option<EvictableWait<'_>>) {
    match wait {
        Some(wait) => wait.evicted().await,
        None => std::future::pending().await,
    }
}
