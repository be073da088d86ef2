//! Writes to a client: answers, and the error that ends a connection.

use crate::net::buffers::Buffer;
use crate::net::downstream::connection::{ClientConnection, ConnectionEnd};
use crate::net::metrics::increment;
use crate::net::pg::{self, code};
use crate::net::request::retry_after_milliseconds;
use crate::net::write_all;
use irisrouter::routing::TimeDelta;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// A client that takes longer than this to accept one write counts as disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);
/// The retry advice for a client that is rejected because memory, connections or time have run out. Many clients that
/// reconnect at once would take processing time from the clients that are being served.
const RECONNECT_DELAY: TimeDelta = TimeDelta::from_millis(250);
/// A write that takes longer than this counts as an interruption of reading. Most writes take microseconds.
const LONG_WRITE_THRESHOLD: Duration = Duration::from_millis(20);
/// Number of bytes to reserve after a row for the ReadyForQuery message, which takes 6.
const READY_FOR_QUERY_RESERVE: usize = 16;

impl ClientConnection {
    /// Writes all of these bytes; does nothing if there are none.
    pub(super) async fn write(&mut self, bytes: &[u8]) -> Result<(), ConnectionEnd> {
        if bytes.is_empty() {
            return Ok(());
        }
        let started = Instant::now();
        timeout(WRITE_TIMEOUT, write_all(&mut self.stream, bytes))
            .await
            .map_err(|_| ConnectionEnd::Disconnected)??;
        if started.elapsed() > LONG_WRITE_THRESHOLD {
            increment(&self.metrics().connections.input_paused);
            self.record_reading_pause(started);
        }
        Ok(())
    }

    /// Reserves space for ReadyForQuery after the last part of an answer. If no memory is available for that, writes
    /// the part at once and returns an empty buffer.
    pub(super) async fn reserve_ready_for_query(
        &mut self,
        mut answer: Buffer,
    ) -> Result<Buffer, ConnectionEnd> {
        if answer.try_reserve(READY_FOR_QUERY_RESERVE) {
            return Ok(answer);
        }
        self.write(&answer).await?;
        Ok(self.listener.pool.acquire())
    }

    /// Reports a protocol violation to the client and ends the connection.
    pub(super) async fn end_with_violation(&mut self, message: &str) -> ConnectionEnd {
        increment(&self.metrics().requests.malformed);
        self.end_with_error(code::PROTOCOL_VIOLATION, message, None)
            .await
    }

    /// Reports to the client that there are too many connections, and ends this one. None of the client's requests has
    /// been started at that point.
    pub(super) async fn end_with_too_many_connections(&mut self) -> ConnectionEnd {
        let detail = self
            .reconnect_delay_ms()
            .map(|milliseconds| milliseconds.to_string());
        self.end_with_error(
            code::TOO_MANY_CONNECTIONS,
            "too many connections",
            detail.as_deref(),
        )
        .await
    }

    /// Returns the retry advice, in milliseconds, for a client that is rejected because memory, connections or time
    /// have run out.
    pub(super) fn reconnect_delay_ms(&self) -> Option<u128> {
        let limits = &self.listener.classes.settings().limits;
        retry_after_milliseconds(if limits.retry_after {
            RECONNECT_DELAY.min(limits.max_retry_after)
        } else {
            TimeDelta::ZERO
        })
    }

    async fn end_with_error(
        &mut self,
        code: &str,
        message: &str,
        detail: Option<&str>,
    ) -> ConnectionEnd {
        pg::put_error(self.answers_mut(), "FATAL", code, message, detail);
        match self.flush_answers().await {
            Ok(()) => ConnectionEnd::ErrorSent,
            Err(end) => end,
        }
    }
}
