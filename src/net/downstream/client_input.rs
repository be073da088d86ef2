//! Reading from a client: the wait for its next bytes, which several events may end, and the wait for something else
//! during which the client may disconnect.
//!
//! While a request waits for its answer, what comes behind it is read ahead as far as memory allows. Beyond that messages
//! are dropped and rejected in their turn, so that the client's end is seen behind them. The connection goes on: answers
//! are due on it.

use crate::net::buffers::BUFFER_SIZE;
use crate::net::downstream::connection::{ClientConnection, ConnectionEnd};
use crate::net::downstream::connection_limit::{EvictableWait, QuietKind};
use crate::net::downstream::input_buffer::ReadPurpose;
use crate::net::metrics::increment;
use crate::net::read_now;
use crate::net::serving_state::ServingMode;
use bytes::BufMut;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};

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
/// Between two reads of a client that floods. With [`MAX_DROPPING_READS`] that is 64 MB a second: the end of a client that
/// sends much and leaves is seen in time.
const FLOOD_READ_INTERVAL: Duration = Duration::from_millis(1);
/// How often input that is dropped is read at a time, a buffer's size each.
const MAX_DROPPING_READS: usize = 8;
/// How often input is read at a time that came during a long write.
const MAX_RESUMING_READS: usize = 256;
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

/// What a read without a wait has come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadProgress {
    /// Bytes were read.
    Read,
    /// Nothing has arrived.
    Nothing,
    /// There is no memory for the rest of the message.
    NoRoom,
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
    pub(super) async fn read_more(
        &mut self,
        kind: QuietKind,
    ) -> Result<ReadProgress, ConnectionEnd> {
        // The buffer goes back to its pool while the client is silent.
        self.input.release_if_empty();
        let received = if self.input.is_empty() {
            Received::Nothing
        } else {
            Received::PartOfMessage
        };
        let wait = InputWait { kind, received };
        if !self.wait_for_input(wait).await? {
            // What came in the moment of the connection's end has been read already.
            return Ok(ReadProgress::Read);
        }
        let was_idle = wait.is_idle();
        let progress = self.read_available(ReadPurpose::NextMessage)?;
        if was_idle && progress == ReadProgress::Read {
            self.message_started = self.last_input;
        }
        Ok(progress)
    }

    /// Waits until the socket is readable, and returns true; false, where input was read in the moment in which the
    /// connection was to end.
    async fn wait_for_input(&mut self, wait: InputWait) -> Result<bool, ConnectionEnd> {
        match self.next_input_event(wait).await? {
            InputEvent::Readable => Ok(true),
            // Closing now would lose bytes that have arrived in this very moment.
            InputEvent::Draining | InputEvent::Evicted
                if wait.is_idle() && self.read_before_close()? =>
            {
                self.message_started = self.last_input;
                Ok(false)
            }
            InputEvent::Draining => Err(ConnectionEnd::Closed),
            InputEvent::Evicted => {
                increment(&self.metrics().connections.downstream_evicted);
                if wait.is_idle() {
                    return Err(ConnectionEnd::Closed);
                }
                Err(self.end_with_too_many_connections().await)
            }
            InputEvent::TimedOut => Err(self
                .end_with_violation("a message that does not become whole")
                .await),
        }
    }

    /// Waits for more of a message that is dropped, of which so many bytes are missing.
    pub(super) async fn read_to_drop(&mut self, missing: usize) -> Result<(), ConnectionEnd> {
        let wait = InputWait {
            kind: QuietKind::Idle,
            received: Received::PartOfMessage,
        };
        if self.wait_for_input(wait).await? {
            self.read_and_drop(missing)?;
        }
        Ok(())
    }

    /// Reads what there is, `most` bytes and [`MAX_DROPPING_READS`] buffers at most, and drops it.
    fn read_and_drop(&mut self, most: usize) -> Result<ReadProgress, ConnectionEnd> {
        let mut scratch = self.listener.pool.acquire();
        let mut remaining = most;
        for _ in 0..MAX_DROPPING_READS {
            scratch.clear();
            let mut limited = (&mut *scratch).limit(remaining.min(BUFFER_SIZE));
            let result = self.stream.try_read_buf(&mut limited);
            let Some(length) = self.read_length(result)? else {
                return Ok(ReadProgress::Nothing);
            };
            self.input.drop_bytes(&scratch);
            self.last_input = Instant::now();
            remaining -= length;
            if remaining == 0 {
                break;
            }
        }
        Ok(ReadProgress::Read)
    }

    /// The number of bytes that a read has brought; `None` where nothing has arrived.
    fn read_length(&mut self, result: io::Result<usize>) -> Result<Option<usize>, ConnectionEnd> {
        match result {
            Ok(0) => Err(ConnectionEnd::Disconnected),
            Ok(length) => Ok(Some(length)),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(None),
            Err(error) if is_nothing_to_read(&error) => {
                self.reading_paused_since = None;
                Ok(None)
            }
            Err(error) => Err(error.into()),
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
        let time_for_size = Duration::from_secs_f64(self.input.len() as f64 / MIN_INPUT_RATE);
        let whole_by = self.message_started + MESSAGE_TIMEOUT + time_for_size;
        whole_by.min(self.last_input + SILENCE_TIMEOUT)
    }

    /// Reads what there is, if anything, without a wait: the runtime may report a socket as readable when it is not, and
    /// a read that waits then has no time limit.
    fn read_available(&mut self, purpose: ReadPurpose) -> Result<ReadProgress, ConnectionEnd> {
        // A client that never stops sending must not keep its connection open until the process is killed: at last only
        // the rest of a message that has begun is read.
        let most = if self.listener.request_context.reading_is_over() {
            self.input.missing_bytes()
        } else {
            usize::MAX
        };
        if self.input.is_dropping() {
            return self.read_and_drop(most);
        }
        let Some(space) = self.input.space_for(purpose) else {
            return match purpose {
                ReadPurpose::NextMessage => Ok(ReadProgress::NoRoom),
                ReadPurpose::ReadAhead => {
                    self.input.start_dropping();
                    self.read_and_drop(most)
                }
            };
        };
        let result = self.stream.try_read_buf(&mut space.limit(most));
        let Some(length) = self.read_length(result)? else {
            return Ok(ReadProgress::Nothing);
        };
        let now = Instant::now();
        // What is found at the end of a pause may have come at its beginning.
        let arrived_at = self.reading_paused_since.unwrap_or(now);
        self.input.record_read(length, arrived_at);
        self.last_input = now;
        Ok(ReadProgress::Read)
    }

    /// Reads what the operating system holds at this moment of a connection that is about to end, and says whether there
    /// was anything. Only for a connection without input, which always has room for so little.
    pub(super) fn read_before_close(&mut self) -> Result<bool, ConnectionEnd> {
        let mut bytes = [0; LAST_READ_BYTES];
        match read_now(&self.stream, &mut bytes) {
            Ok(0) => Err(ConnectionEnd::Disconnected),
            Ok(length) => {
                let space = self.input.space_for(ReadPurpose::NextMessage);
                let space = space.ok_or(ConnectionEnd::Disconnected)?;
                space.extend_from_slice(&bytes[..length]);
                self.last_input = Instant::now();
                self.input.record_read(length, self.last_input);
                Ok(true)
            }
            Err(error) if is_nothing_to_read(&error) => Ok(false),
            Err(error) => Err(error.into()),
        }
    }

    /// Reads what has come since `since`, when a long write began, as if it had come then: a request among it may be given
    /// less time than it has, and never more.
    pub(super) fn read_behind_long_write(&mut self, since: Instant) -> Result<(), ConnectionEnd> {
        increment(&self.metrics().connections.input_paused);
        self.reading_paused_since = Some(since);
        let mut reads = 0;
        while self.reading_paused_since.is_some() && reads < MAX_RESUMING_READS {
            self.read_available(ReadPurpose::ReadAhead)?;
            reads += 1;
        }
        Ok(())
    }

    /// Waits for something else, and meanwhile for the client to disconnect. What the client sends ahead is kept as far as
    /// there is room for it, and dropped beyond that.
    pub(super) async fn wait_while_connected<T>(
        &mut self,
        wait: impl Future<Output = T>,
    ) -> Result<T, ConnectionEnd> {
        let mut wait = std::pin::pin!(wait);
        loop {
            tokio::select! {
                biased;
                value = &mut wait => return Ok(value),
                readable = self.next_readable() => {
                    readable?;
                    self.read_available(ReadPurpose::ReadAhead)?;
                }
            }
        }
    }

    /// Waits until the socket is readable; for a client that floods also until it may be read again.
    async fn next_readable(&self) -> io::Result<()> {
        if self.input.is_flood() {
            sleep(FLOOD_READ_INTERVAL).await;
        }
        self.stream.readable().await
    }
}

/// Whether a read failed only because nothing has arrived.
fn is_nothing_to_read(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
    )
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
