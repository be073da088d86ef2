//! Streaming of long values to the client while they arrive, without holding a whole value in memory.

use crate::net::buffers::Buffer;
use crate::net::is_nothing_to_read;
use crate::net::pg::Reply;
use crate::net::upstream::connection::Connection;
use crate::net::upstream::registry::Upstream;
use crate::net::upstream::reply::{LongRow, LongRowHandling, Received, ReplyError, ReplyReader};
use bytes::{Buf, BufMut};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Maximum number of chunks of a long value that are queued for a client, in addition to the one that is being written.
/// While the queue is full, nothing more is read from the host, which bounds the memory that a slow client takes.
const MAX_QUEUED_CHUNKS: usize = 1;
/// Time without any bytes from the host in the middle of a long value after which the connection counts as lost. Hosts
/// may hang for up to half a minute and then go on. A stream that waits takes a connection, but no buffer.
const HOST_SILENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// An answer that is streamed to the client while it arrives.
pub struct StreamedAnswer {
    /// Messages of the answer up to the first bytes of the value.
    pub head: Buffer,
    /// Number of bytes of the value's message that follow the head.
    pub remaining: usize,
    /// Channel for the rest of the answer. If it closes without [`StreamChunk::Last`], the value is incomplete.
    pub rest: mpsc::Receiver<StreamChunk>,
}

/// A part of a streamed answer.
pub enum StreamChunk {
    /// Bytes of the value.
    Data(Buffer),
    /// The end of the value has been sent, and these messages follow it.
    Last(Buffer),
}

impl Upstream {
    /// Streams a row with a long value to the client while it arrives, and reads the rest of the reply. `on_stream` is
    /// called with the answer before the rest of the value is read. The client's speed limits the host's, because no
    /// more is read from the host than the queue of chunks holds.
    pub(super) async fn stream_row(
        &self,
        connection: &mut Connection,
        row: LongRow,
        on_stream: impl FnOnce(StreamedAnswer),
    ) -> Result<Reply, ReplyError> {
        let LongRow {
            mut reply,
            mut head,
            mut unread,
            length,
        } = row;
        reply.record_forwarded_row()?;
        let available = length.min(unread.len());
        if !head.append(&unread[..available]) {
            return Err(ReplyError::OutOfMemory);
        }
        unread.advance(available);
        let (chunks, rest) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let remaining = length - available;
        // Bytes behind the value have arrived only if the value is complete.
        let unread = (remaining == 0).then_some(unread);
        on_stream(StreamedAnswer {
            head,
            remaining,
            rest,
        });
        self.stream_value(connection, remaining, &chunks).await?;
        let unread = unread.unwrap_or_else(|| self.buffers.acquire());
        let reader = ReplyReader::resume(reply, unread, self.buffers.acquire());
        let reading = reader.read(connection, LongRowHandling::ReadWhole);
        let received = timeout(HOST_SILENCE_TIMEOUT, reading)
            .await
            .map_err(|_| ReplyError::ConnectionLost)??;
        match received {
            Received::Complete(complete) if complete.reply.served() => {
                let sent = chunks.send(StreamChunk::Last(complete.row)).await;
                sent.map_err(|_| ReplyError::ClientGone)?;
                Ok(complete.reply)
            }
            _ => Err(ReplyError::ErrorAfterRow),
        }
    }

    /// Streams the last `remaining` bytes of the value, which have not arrived yet.
    async fn stream_value(
        &self,
        connection: &mut Connection,
        mut remaining: usize,
        chunks: &mpsc::Sender<StreamChunk>,
    ) -> Result<(), ReplyError> {
        while remaining > 0 {
            let place = chunks.reserve().await.map_err(|_| ReplyError::ClientGone)?;
            tokio::select! {
                biased;
                () = chunks.closed() => return Err(ReplyError::ClientGone),
                waited = timeout(HOST_SILENCE_TIMEOUT, connection.stream.readable()) => {
                    if !matches!(waited, Ok(Ok(()))) {
                        return Err(ReplyError::ConnectionLost);
                    }
                }
            }
            let mut chunk = self.buffers.acquire();
            let mut limited = (&mut *chunk).limit(remaining);
            match connection.stream.try_read_buf(&mut limited) {
                Ok(0) => return Err(ReplyError::ConnectionLost),
                Ok(length) => remaining -= length,
                Err(error) if is_nothing_to_read(&error) => continue,
                Err(_) => return Err(ReplyError::ConnectionLost),
            }
            place.send(StreamChunk::Data(chunk));
        }
        Ok(())
    }
}
