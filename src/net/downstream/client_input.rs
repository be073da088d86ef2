//! Reads a client's input in two situations: while the gateway waits for the client's next message, until input arrives
//! or a drain, an eviction or a time-out ends the wait; and while the client waits for an answer, to notice when the
//! client disconnects.
//!
//! While a request waits for its answer, the messages behind it are read ahead as far as memory allows. Further
//! messages are dropped, and each is rejected in its turn, so that the gateway still notices when the client
//! disconnects. The connection stays open because answers are due on it.

use crate::net::buffers::BUFFER_SIZE;
use crate::net::downstream::connection::{ClientConnection, ConnectionEnd};
use crate::net::downstream::connection_limit::{EvictableWait, WaitKind};
use crate::net::downstream::input_buffer::ReadPurpose;
use crate::net::downstream::read_times::ReadingPause;
use crate::net::log::log;
use crate::net::metrics::increment;
use crate::net::serving_state::ServingMode;
use crate::net::{is_nothing_to_read, read_now};
use bytes::BufMut;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::io::Interest;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};

/// How long a client may send nothing during startup or in the middle of a message. Clients that send nothing, or only
/// part of a message, would otherwise hold their connections for ever.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a message may take to arrive, in addition to the time that [`MIN_INPUT_RATE`] allows for the bytes received
/// so far.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum accepted rate of input, in bytes per second: each received byte extends the deadline of its message.
const MIN_INPUT_RATE: f64 = 16_384.0;
/// How long a connection may be idle while clients are being disconnected. Connections in use are closed after an
/// answer before this time, so that few requests arrive at the moment when their connection is closed.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_millis(250);
/// How long requests are read from a connection once clients are being disconnected. Without a limit, a client that
/// always has a request outstanding would never be disconnected.
const DRAIN_READ_PERIOD: Duration = Duration::from_secs(1);
/// Interval between two checks whether a client has disconnected while nothing is read from it. Short compared with the
/// 0.1 s after which no attempt may start for it.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Pause between two reads from a client that floods. With [`MAX_DROPPING_READS`] buffers per read this allows 64 MB
/// per second, fast enough to notice in time that a client has sent a lot and disconnected.
const FLOOD_READ_INTERVAL: Duration = Duration::from_millis(1);
/// Maximum number of buffers of input that are read and dropped in one step.
const MAX_DROPPING_READS: usize = 8;
/// Maximum number of bytes in one read.
const MAX_READ_BYTES: usize = 32 * 1024;
/// Number of unprocessed messages of a client from which nothing more is read ahead: far more than a client sends that
/// waits for its answers.
const MAX_OWED_MESSAGES: usize = 16 * 1024;
/// Maximum number of bytes in the last read before a connection is closed: enough to detect that input has arrived.
const FINAL_READ_SIZE: usize = 4096;

/// The event that ends a wait for input.
enum InputEvent {
    /// The socket is readable.
    Readable,
    /// Clients are being disconnected, and this one has been idle for [`DRAIN_IDLE_TIMEOUT`].
    Draining,
    /// The connection was evicted in favour of another client.
    Evicted,
    /// The message did not arrive completely before its deadline.
    TimedOut,
}

/// The result of a non-blocking read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadProgress {
    /// Bytes were read.
    Read,
    /// No bytes were available.
    NothingAvailable,
    /// No memory is available for the rest of the message.
    NoMemory,
}

/// How much of the next message has arrived at the beginning of a wait.
#[derive(Clone, Copy, PartialEq, Eq)]
enum MessageProgress {
    NotStarted,
    Partial,
}

/// When input is read ahead during a wait for an answer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReadTurn {
    /// At once. The first read of each wait notices a client that has left.
    Immediate,
    /// In the order of the connections that do more than others.
    Queued,
}

/// A wait for input from the client.
#[derive(Clone, Copy)]
struct InputWait {
    kind: WaitKind,
    message_progress: MessageProgress,
}

impl InputWait {
    /// Returns whether the connection is between two messages.
    fn is_idle(self) -> bool {
        self.message_progress == MessageProgress::NotStarted && self.kind == WaitKind::Idle
    }
}

impl ClientConnection {
    /// Waits for more input and reads it. A drain or an eviction may close the connection during the wait.
    pub(super) async fn read_more(
        &mut self,
        kind: WaitKind,
    ) -> Result<ReadProgress, ConnectionEnd> {
        // An idle connection holds no buffer, so that the pool can reuse it.
        self.input.release_if_empty();
        let message_progress = if self.input.is_empty() {
            MessageProgress::NotStarted
        } else {
            MessageProgress::Partial
        };
        let wait = InputWait {
            kind,
            message_progress,
        };
        let wait_started = Instant::now();
        let is_readable = self.wait_for_input(wait).await?;
        self.turn.record_wait(wait_started.elapsed());
        if !is_readable {
            // Input that arrived just before the connection was to be closed has been read already.
            return Ok(ReadProgress::Read);
        }
        let was_idle = wait.is_idle();
        let progress = self.read_available(ReadPurpose::NextMessage)?;
        if was_idle && progress == ReadProgress::Read {
            self.message_started_at = self.last_input_at;
        }
        Ok(progress)
    }

    /// Waits until the socket is readable and returns `true`. Returns `false` if the connection was about to be closed
    /// and input was found and read at that moment.
    async fn wait_for_input(&mut self, wait: InputWait) -> Result<bool, ConnectionEnd> {
        match self.next_input_event(wait).await? {
            InputEvent::Readable => Ok(true),
            // A request may have arrived since the last poll: closing without a last read would lose it.
            InputEvent::Draining | InputEvent::Evicted
                if wait.is_idle() && self.read_before_close()? =>
            {
                self.message_started_at = self.last_input_at;
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

    /// Waits for more input of a dropped message, then reads and drops up to `missing` bytes.
    pub(super) async fn receive_and_drop(&mut self, missing: usize) -> Result<(), ConnectionEnd> {
        let wait = InputWait {
            kind: WaitKind::Idle,
            message_progress: MessageProgress::Partial,
        };
        if self.wait_for_input(wait).await? {
            self.read_and_drop(missing)?;
        }
        Ok(())
    }

    /// Reads and drops the available input, limited to `max_bytes` and to [`MAX_DROPPING_READS`] buffers.
    fn read_and_drop(&mut self, max_bytes: usize) -> Result<ReadProgress, ConnectionEnd> {
        let mut scratch = self.listener.pool.acquire();
        let mut remaining = max_bytes;
        for _ in 0..MAX_DROPPING_READS {
            scratch.clear();
            let mut limited = (&mut *scratch).limit(remaining.min(BUFFER_SIZE));
            let result = self.stream.try_read_buf(&mut limited);
            let Some(length) = self.handle_read_result(result)? else {
                return Ok(ReadProgress::NothingAvailable);
            };
            self.input.drop_bytes(&scratch);
            self.record_input(length);
            remaining -= length;
            if remaining == 0 {
                break;
            }
        }
        Ok(ReadProgress::Read)
    }

    /// Records that bytes were read. More of them may be left in the socket.
    fn record_input(&mut self, length: usize) {
        let now = Instant::now();
        self.last_input_at = now;
        self.turn.record_bytes(length, now);
        self.presence.input_left_unread(now);
        let may_continue = |pause: &mut ReadingPause| pause.record_read(length);
        self.reading_pause.take_if(|pause| !may_continue(pause));
    }

    /// Returns the number of bytes that were read, or `None` if no bytes were available. Ends an interruption of reading
    /// once the socket holds no more input.
    fn handle_read_result(
        &mut self,
        result: io::Result<usize>,
    ) -> Result<Option<usize>, ConnectionEnd> {
        match result {
            Ok(0) => Err(ConnectionEnd::Disconnected),
            Ok(length) => Ok(Some(length)),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(None),
            Err(error) if is_nothing_to_read(&error) => {
                self.reading_pause = None;
                self.presence.confirm_connected();
                Ok(None)
            }
            Err(error) => Err(error.into()),
        }
    }

    /// Waits until the socket is readable, or until the connection has to be closed.
    async fn next_input_event(&self, wait: InputWait) -> Result<InputEvent, ConnectionEnd> {
        let idle = wait.is_idle();
        let nothing_received = wait.message_progress == MessageProgress::NotStarted;
        let deadline = self.input_deadline();
        let drained = wait_for_idle_drain(
            self.listener.serving_state.subscribe(),
            self.message_started_at + DRAIN_IDLE_TIMEOUT,
        );
        let mut evictable = self.allow_eviction(wait);
        tokio::select! {
            biased;
            readable = self.stream.readable() => {
                readable?;
                Ok(InputEvent::Readable)
            }
            () = drained, if nothing_received => Ok(InputEvent::Draining),
            () = evictable.evicted() => Ok(InputEvent::Evicted),
            () = sleep_until(deadline), if !idle => Ok(InputEvent::TimedOut),
        }
    }

    /// Allows the connection to be evicted during a wait. After startup, the time of a partial message counts from its
    /// start.
    fn allow_eviction(&self, wait: InputWait) -> EvictableWait<'_> {
        let now = Instant::now();
        let (kind, since) = match (wait.kind, wait.message_progress) {
            _ if self.permit.over_limit => (WaitKind::Closing, now),
            (WaitKind::Idle, MessageProgress::Partial) => {
                (WaitKind::PartialMessage, self.message_started_at)
            }
            (kind, _) => (kind, now),
        };
        self.permit.allow_eviction(kind, since)
    }

    /// Returns the time at which an incomplete message times out if no more bytes of it arrive.
    fn input_deadline(&self) -> Instant {
        let time_for_size = Duration::from_secs_f64(self.input.len() as f64 / MIN_INPUT_RATE);
        let complete_by = self.message_started_at + MESSAGE_TIMEOUT + time_for_size;
        complete_by.min(self.last_input_at + SILENCE_TIMEOUT)
    }

    /// Reads the available input without waiting. The runtime may report a socket as readable when it is not, and a
    /// read that waited for bytes would then have no time limit.
    pub(super) fn read_available(
        &mut self,
        purpose: ReadPurpose,
    ) -> Result<ReadProgress, ConnectionEnd> {
        // A client that never stops sending must not keep its connection open: once reading has ended, only the rest of
        // a partial message is read, in its turn.
        let max_bytes = match (self.reading_has_ended(), purpose) {
            (false, _) => usize::MAX,
            (true, ReadPurpose::NextMessage) => self.input.missing_bytes(),
            (true, ReadPurpose::ReadAhead) => return Ok(ReadProgress::NothingAvailable),
        };
        if purpose == ReadPurpose::ReadAhead && self.is_reading_suspended() {
            return Ok(ReadProgress::NothingAvailable);
        }
        if self.input.is_dropping() {
            return self.read_and_drop(max_bytes);
        }
        let Some(space) = self.input.space_for(purpose) else {
            return match purpose {
                ReadPurpose::NextMessage => Ok(ReadProgress::NoMemory),
                ReadPurpose::ReadAhead => {
                    self.input.start_dropping();
                    self.read_and_drop(max_bytes)
                }
            };
        };
        let mut limited = space.limit(max_bytes.min(MAX_READ_BYTES));
        let result = self.stream.try_read_buf(&mut limited);
        let Some(length) = self.handle_read_result(result)? else {
            return Ok(ReadProgress::NothingAvailable);
        };
        // Input that is read after an interruption may have arrived at the beginning of it.
        let interrupted_since = self.reading_pause.map(|pause| pause.since);
        let arrived_at = interrupted_since.unwrap_or_else(Instant::now);
        self.input.record_read(length, arrived_at);
        self.record_input(length);
        Ok(ReadProgress::Read)
    }

    /// Reads the bytes that the operating system has received on a connection that is about to be closed, and returns
    /// whether there were any. May be called only without unprocessed input, because the buffer then always has space
    /// for a read of this size.
    pub(super) fn read_before_close(&mut self) -> Result<bool, ConnectionEnd> {
        let mut bytes = [0; FINAL_READ_SIZE];
        match read_now(&self.stream, &mut bytes) {
            Ok(0) => Err(ConnectionEnd::Disconnected),
            Ok(length) => {
                let space = self.input.space_for(ReadPurpose::NextMessage);
                let space = space.ok_or(ConnectionEnd::Disconnected)?;
                space.extend_from_slice(&bytes[..length]);
                self.last_input_at = Instant::now();
                self.input.record_read(length, self.last_input_at);
                Ok(true)
            }
            Err(error) if is_nothing_to_read(&error) => Ok(false),
            Err(error) => Err(error.into()),
        }
    }

    /// Records that no input has been read since this time. It counts as the arrival of the input that is read next: a
    /// request in this input may be given less time than its timeout, but never more.
    pub(super) fn record_reading_pause(&mut self, since: Instant) {
        self.reading_pause
            .get_or_insert_with(|| ReadingPause::new(since));
        self.presence.input_left_unread(since);
    }

    /// Reads the input that arrived during an interruption of reading, so that the end of the connection is noticed
    /// before an attempt is started.
    pub(super) async fn catch_up_on_input(&mut self) -> Result<(), ConnectionEnd> {
        while self.reading_pause.is_some()
            && !self.is_reading_suspended()
            && !self.reading_has_ended()
        {
            self.read_available(ReadPurpose::ReadAhead)?;
            self.reserve_ids_ahead();
            self.listener.turns.next_turn().await;
        }
        Ok(())
    }

    /// Returns whether nothing is read ahead because the client has sent too many messages that wait for their turn.
    fn is_reading_suspended(&self) -> bool {
        let owed = self.reserved_ids.waiting_messages() + self.input.dropped_queries();
        owed >= MAX_OWED_MESSAGES
    }

    /// Counts a suspension of reading, and logs the first one of a connection.
    fn record_suspension(&mut self) {
        increment(&self.metrics().connections.reading_suspended);
        self.record_reading_pause(Instant::now());
        if !std::mem::replace(&mut self.has_been_suspended, true) {
            let client = self.client_name();
            log!("client {client}: sends faster than it is answered, {MAX_OWED_MESSAGES} messages wait");
        }
    }

    /// Returns whether no further request is read: the shutdown has ended reading, or clients are being disconnected and
    /// this one has had [`DRAIN_READ_PERIOD`] for its last requests.
    pub(super) fn reading_has_ended(&self) -> bool {
        let disconnecting_since = self.listener.serving_state.disconnecting_since();
        let is_drained = disconnecting_since
            .is_some_and(|since| since.max(self.connected_at).elapsed() >= DRAIN_READ_PERIOD);
        is_drained || self.listener.request_context.reading_has_ended()
    }

    /// Awaits `operation` and returns its value, or returns an error as soon as the client disconnects. Input that
    /// arrives meanwhile is read ahead as far as memory allows and dropped beyond that; once reading has ended, it stays
    /// unread.
    pub(super) async fn wait_while_connected<T>(
        &mut self,
        operation: impl Future<Output = T>,
    ) -> Result<T, ConnectionEnd> {
        let mut operation = std::pin::pin!(operation);
        self.reserve_ids_ahead();
        let mut read_turn = ReadTurn::Immediate;
        let mut is_suspended = false;
        loop {
            if self.is_reading_suspended() && !std::mem::replace(&mut is_suspended, true) {
                self.record_suspension();
            }
            let reads = !is_suspended && !self.reading_has_ended();
            tokio::select! {
                biased;
                value = &mut operation => return Ok(value),
                readable = self.wait_to_read_ahead(read_turn), if reads => {
                    readable?;
                    self.read_available(ReadPurpose::ReadAhead)?;
                    self.reserve_ids_ahead();
                    read_turn = ReadTurn::Queued;
                }
                end = self.wait_until_disconnected(), if !reads => return Err(end),
            }
        }
    }

    /// Waits until the client disconnects, without reading what it has sent.
    async fn wait_until_disconnected(&self) -> ConnectionEnd {
        loop {
            match self.stream.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => {
                    // While reading is only suspended, the client may have sent more than the operating system holds,
                    // and its end is then not visible.
                    if !self.is_reading_suspended() {
                        self.presence.confirm_connected();
                    }
                    sleep(DISCONNECT_CHECK_INTERVAL).await;
                }
                _ => return ConnectionEnd::Disconnected,
            }
        }
    }

    /// Waits until the socket is readable and it is this connection's turn to read. For a client that floods, pauses
    /// first to limit its rate.
    async fn wait_to_read_ahead(&self, turn: ReadTurn) -> io::Result<()> {
        if self.input.is_flooding() {
            sleep(FLOOD_READ_INTERVAL).await;
        }
        self.stream.readable().await?;
        if turn == ReadTurn::Queued {
            self.listener.turns.next_turn().await;
        }
        Ok(())
    }
}

/// Returns once clients are being disconnected and `idle_until` has passed.
async fn wait_for_idle_drain(mut mode: watch::Receiver<ServingMode>, idle_until: Instant) {
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
