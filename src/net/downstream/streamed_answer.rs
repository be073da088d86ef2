//! Forwarding of a long answer to the client while it arrives from its host.
//!
//! A value that breaks off does not end the connection, because the queries behind it are still owed their answers. The
//! missing part of its announced length is padded, and an error in place of CommandComplete tells the client that the
//! value is incomplete.

use crate::net::buffers::Buffer;
use crate::net::downstream::connection::{ClientConnection, ConnectionEnd};
use crate::net::downstream::input_buffer::ReadPurpose;
use crate::net::pg::{self, code};
use crate::net::request::RequestContext;
use crate::net::upstream::{StreamChunk, StreamedAnswer};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, Instant};

/// Bytes that take the place of the missing part of a value.
static PADDING: [u8; 64 * 1024] = [0; 64 * 1024];
/// Interval between two checks, after the shutdown's deadline for answers, whether queries wait behind an answer.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time without a byte after which a host counts as having stopped giving its answer. Longer than the 0.15 s for which a
/// machine may be paused.
const HOST_PAUSE: Duration = Duration::from_millis(200);

impl ClientConnection {
    /// Forwards a long answer while it arrives, and returns its last part, which is not written yet.
    pub(super) async fn forward_streamed(
        &mut self,
        streamed: StreamedAnswer,
    ) -> Result<Buffer, ConnectionEnd> {
        let StreamedAnswer {
            head,
            mut remaining,
            mut rest,
        } = streamed;
        self.write(&head).await?;
        drop(head);
        loop {
            match self.next_chunk(&mut rest).await? {
                Some(StreamChunk::Data(chunk)) => {
                    remaining -= chunk.len();
                    self.write(&chunk).await?;
                }
                Some(StreamChunk::Last(chunk)) => return self.reserve_ready_for_query(chunk).await,
                None => return self.end_incomplete_value(remaining).await,
            }
        }
    }

    /// Returns the next part of an answer. Returns `None` if the answer has broken off, or has to be broken off: queries
    /// wait behind it, the shutdown's deadline for their answers has passed, and the host has stopped giving the answer.
    async fn next_chunk(
        &mut self,
        rest: &mut mpsc::Receiver<StreamChunk>,
    ) -> Result<Option<StreamChunk>, ConnectionEnd> {
        let context = Rc::clone(&self.listener.request_context);
        // An answer that arrives without a pause would otherwise keep queries and a disconnect from being noticed.
        self.read_available(ReadPurpose::ReadAhead)?;
        let waiting_since = Instant::now();
        while !context.answers_are_overdue()
            || self.input.unanswered_queries() == 0
            || waiting_since.elapsed() < HOST_PAUSE
        {
            let received = async {
                tokio::select! {
                    biased;
                    chunk = rest.recv() => Some(chunk),
                    () = overdue_check(&context) => None,
                }
            };
            if let Some(chunk) = self.wait_while_connected(received).await? {
                return Ok(chunk);
            }
        }
        Ok(None)
    }

    /// Pads a value whose last `missing` bytes have not arrived, and returns the error that follows it.
    async fn end_incomplete_value(&mut self, missing: usize) -> Result<Buffer, ConnectionEnd> {
        let mut remaining = missing;
        while remaining > 0 {
            let length = remaining.min(PADDING.len());
            self.write(&PADDING[..length]).await?;
            remaining -= length;
        }
        let mut out = self.listener.pool.acquire();
        let message =
            format!("the value is incomplete: it broke off {missing} bytes before its end");
        pg::put_error(&mut out, "ERROR", code::INTERNAL_ERROR, &message, None);
        Ok(out)
    }
}

/// Returns when a connection has to check whether queries wait behind its answer: never before the shutdown's deadline
/// for answers, and at intervals from then on.
async fn overdue_check(context: &RequestContext) {
    context.answers_overdue().await;
    sleep(OVERDUE_CHECK_INTERVAL).await;
}
