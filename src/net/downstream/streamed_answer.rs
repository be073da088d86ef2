//! Forwarding of a long answer to the client while it arrives from its host.
//!
//! A value that breaks off does not end the connection, because the queries behind it are still owed their answers. The
//! missing part of its announced length is padded, and an error in place of CommandComplete tells the client that the
//! value is incomplete.

use crate::net::buffers::Buffer;
use crate::net::downstream::connection::{ClientConnection, ConnectionEnd};
use crate::net::pg::{self, code};
use crate::net::upstream::{StreamChunk, StreamedAnswer};

/// Bytes that take the place of the missing part of a value.
static PADDING: [u8; 64 * 1024] = [0; 64 * 1024];

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
            match self.wait_while_connected(rest.recv()).await? {
                Some(StreamChunk::Data(chunk)) => {
                    remaining -= chunk.len();
                    self.write(&chunk).await?;
                }
                Some(StreamChunk::Last(chunk)) => return self.reserve_ready_for_query(chunk).await,
                None => return self.end_incomplete_value(remaining).await,
            }
        }
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
