//! Long values: they are passed on to the client while they arrive, and are never held as a whole.

use crate::net::buffers::Buffer;
use crate::net::pg::Reply;
use crate::net::upstream::connection::Connection;
use crate::net::upstream::registry::Upstream;
use crate::net::upstream::reply::{LongRow, LongRows, Received, ReplyError, ReplyReader};
use bytes::{Buf, BufMut};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Chunks of a long value that wait for their client, besides the one that is being written to it. With more, the memory
/// for a slow client would grow; with these, its host has to wait.
const MAX_QUEUED_CHUNKS: usize = 2;
/// A host that sends nothing for this time in the middle of a long value counts as lost: far longer than any pause
/// between two packets.
const HOST_SILENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// An answer that is passed on while it arrives.
pub struct StreamedAnswer {
    /// Its messages up to the first bytes of the value.
    pub head: Buffer,
    /// The rest. Where it ends without [`StreamChunk::Last`], the value is incomplete.
    pub rest: mpsc::Receiver<StreamChunk>,
}

/// A part of an answer that is passed on.
pub enum StreamChunk {
    /// Bytes of the value.
    Data(Buffer),
    /// The value is complete, and these messages follow it.
    Last(Buffer),
}

impl Upstream {
    /// Passes a long value on while it arrives. The host sends as fast as the client takes it: no more is read than the
    /// queue between them holds.
    pub(super) async fn pass_on(
        &self,
        connection: &mut Connection,
        row: LongRow,
        begin: impl FnOnce(StreamedAnswer),
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
            return Err(ReplyError::NoRoom);
        }
        unread.advance(available);
        let (chunks, rest) = mpsc::channel(MAX_QUEUED_CHUNKS);
        begin(StreamedAnswer { head, rest });
        let missing = length - available;
        self.pass_value_on(connection, missing, &chunks).await?;
        let reader = ReplyReader::resume(reply, unread, self.buffers.acquire());
        let reading = reader.read(connection, LongRows::AsMessages);
        let received = timeout(HOST_SILENCE_TIMEOUT, reading)
            .await
            .map_err(|_| ReplyError::ConnectionLost)??;
        match received {
            Received::Complete(complete) if complete.reply.served() => {
                send_chunk(&chunks, StreamChunk::Last(complete.row)).await?;
                Ok(complete.reply)
            }
            _ => Err(ReplyError::ErrorAfterRow),
        }
    }

    /// Passes on the `missing` bytes of the value that have not arrived yet.
    async fn pass_value_on(
        &self,
        connection: &mut Connection,
        mut missing: usize,
        chunks: &mpsc::Sender<StreamChunk>,
    ) -> Result<(), ReplyError> {
        while missing > 0 {
            let mut chunk = self.buffers.acquire();
            let mut limited = (&mut *chunk).limit(missing);
            let reading = connection.stream.read_buf(&mut limited);
            match timeout(HOST_SILENCE_TIMEOUT, reading).await {
                Ok(Ok(n)) if n > 0 => missing -= n,
                _ => return Err(ReplyError::ConnectionLost),
            }
            send_chunk(chunks, StreamChunk::Data(chunk)).await?;
        }
        Ok(())
    }
}

/// Queues a chunk, once there is room for it.
async fn send_chunk(
    chunks: &mpsc::Sender<StreamChunk>,
    chunk: StreamChunk,
) -> Result<(), ReplyError> {
    let sent = chunks.send(chunk).await;
    sent.map_err(|_| ReplyError::ClientGone)
}
