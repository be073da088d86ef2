//! One connection of a soak's client: its two halves, and the requests that wait for their answers on it.

use super::client::GatewayFate;
use super::records::{RequestEnd, RequestRecord};
use crate::cluster::Clock;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// The startup message of user `web` and database `orders`.
const STARTUP: &[u8] = b"\0\0\0\x22\0\x03\0\0user\0web\0database\0orders\0\0";
/// The longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// A request that waits for its answer.
struct PendingRequest {
    record: RequestRecord,
    /// Its last byte has been written.
    is_sent: bool,
}

/// What has been read of the answer at the front.
#[derive(Default)]
struct AnswerSoFar {
    value: Option<Vec<u8>>,
    code: Option<String>,
}

/// What both halves of a connection share.
pub(super) struct ConnectionState {
    clock: Clock,
    fate: Arc<GatewayFate>,
    /// The task that reads the answers, which holds a half of the socket.
    reading: RefCell<Option<AbortHandle>>,
    pending: RefCell<VecDeque<PendingRequest>>,
    finished: RefCell<Vec<RequestRecord>>,
    /// When the last answer came.
    last_answer_at: Cell<u64>,
    /// When the connection ended, by whoever did it.
    pub(super) ended_at: Cell<Option<u64>>,
    /// Something has changed: an answer has come, or the connection has ended.
    pub(super) changed: Notify,
}

/// A connection whose session has started.
pub(super) struct ClientConnection {
    pub(super) state: Rc<ConnectionState>,
    pub(super) writer: OwnedWriteHalf,
    reader: Option<OwnedReadHalf>,
}

impl ClientConnection {
    /// Connects and starts a session; `None` where the gateway turns the client away.
    pub(super) async fn open(
        address: SocketAddr,
        clock: Clock,
        fate: Arc<GatewayFate>,
    ) -> Option<Self> {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        stream.write_all(STARTUP).await.ok()?;
        loop {
            match read_message(&mut stream).await.ok()? {
                (b'Z', _) => break,
                (b'E', _) => return None,
                _ => {}
            }
        }
        let (reader, writer) = stream.into_split();
        Some(ClientConnection {
            state: Rc::new(ConnectionState {
                clock,
                fate,
                reading: RefCell::default(),
                pending: RefCell::default(),
                finished: RefCell::default(),
                last_answer_at: Cell::new(0),
                ended_at: Cell::new(None),
                changed: Notify::new(),
            }),
            writer,
            reader: Some(reader),
        })
    }

    /// Reads answers on a task of its own until the connection ends.
    pub(super) fn start_reading(&mut self) {
        if let Some(reader) = self.reader.take() {
            let state = Rc::clone(&self.state);
            let task = tokio::task::spawn_local(async move { state.read_answers(reader).await });
            self.state.reading.replace(Some(task.abort_handle()));
        }
    }

    /// Writes a request in pieces of `piece_bytes` with pauses between them; whether its last byte was written.
    pub(super) async fn send(
        &mut self,
        request: RequestRecord,
        message: &[u8],
        pieces: Pieces,
    ) -> bool {
        let id = request.id.clone();
        self.state.pending.borrow_mut().push_back(PendingRequest {
            record: request,
            is_sent: false,
        });
        let piece_bytes = message.len().div_ceil(pieces.count.max(1)).max(1);
        for piece in message.chunks(piece_bytes) {
            if self.writer.write_all(piece).await.is_err() || self.state.ended_at.get().is_some() {
                return false;
            }
            if pieces.count > 1 {
                tokio::time::sleep(pieces.pause).await;
            }
        }
        self.state.mark_sent(&id);
        true
    }
}

/// In how many pieces a message is written.
#[derive(Clone, Copy)]
pub(super) struct Pieces {
    pub(super) count: usize,
    pub(super) pause: std::time::Duration,
}

impl Pieces {
    pub(super) const WHOLE: Pieces = Pieces {
        count: 1,
        pause: std::time::Duration::ZERO,
    };
}

impl ConnectionState {
    /// How many requests wait for their answers.
    pub(super) fn pending(&self) -> usize {
        self.pending.borrow().len()
    }

    /// When the last answer came.
    pub(super) fn last_answer_at(&self) -> u64 {
        self.last_answer_at.get()
    }

    /// Whether the connection has ended.
    pub(super) fn is_over(&self) -> bool {
        self.ended_at.get().is_some()
    }

    /// Returns once the connection has ended.
    pub(super) async fn over(&self) {
        while !self.is_over() {
            self.changed.notified().await;
        }
    }

    fn mark_sent(&self, id: &str) {
        let now = self.clock.now();
        let mut pending = self.pending.borrow_mut();
        if let Some(request) = pending.iter_mut().find(|request| request.record.id == id) {
            request.is_sent = true;
            request.record.sent_at = now;
        }
    }

    async fn read_answers(&self, mut reader: OwnedReadHalf) {
        let mut answer = AnswerSoFar::default();
        loop {
            match read_message(&mut reader).await {
                Ok((b'Z', _)) => self.finish_front(std::mem::take(&mut answer)),
                Ok((b'D', body)) => answer.value = Some(body),
                Ok((b'E', body)) => {
                    let is_fatal = body.starts_with(b"SFATAL");
                    answer.code = Some(sqlstate(&body));
                    if is_fatal {
                        self.finish_front(std::mem::take(&mut answer));
                    }
                }
                Ok(_) => {}
                Err(error) => {
                    if self.fate.killed.load(Ordering::Relaxed) {
                        return self.end(&RequestEnd::Killed);
                    }
                    let reset = error.kind() != io::ErrorKind::UnexpectedEof;
                    return self.end(&RequestEnd::ConnectionEnded { reset });
                }
            }
        }
    }

    /// The request at the front has its answer.
    fn finish_front(&self, answer: AnswerSoFar) {
        let now = self.clock.now();
        if let Some(PendingRequest { mut record, .. }) = self.pending.borrow_mut().pop_front() {
            record.end = match answer.code {
                Some(code) => RequestEnd::Error { code },
                None => RequestEnd::Served {
                    matches: answer
                        .value
                        .is_some_and(|value| contains(&value, record.id.as_bytes())),
                },
            };
            // An answer may come before the clock has been read behind the last byte of its request.
            if record.sent_at == 0 {
                record.sent_at = now;
            }
            record.turn_at = self.last_answer_at.get().max(record.sent_at);
            record.ended_at = now;
            self.finished.borrow_mut().push(record);
        }
        self.last_answer_at.set(now);
        self.changed.notify_one();
    }

    /// The client leaves, and closes the connection if it is still open.
    pub(super) fn leave(&self) {
        self.end(&RequestEnd::ClientLeft);
        if let Some(reading) = self.reading.take() {
            reading.abort();
        }
    }

    /// The connection is over: the requests that were sent whole end so.
    fn end(&self, end: &RequestEnd) {
        if self.is_over() {
            return;
        }
        let now = self.clock.now();
        self.ended_at.set(Some(now));
        let mut finished = self.finished.borrow_mut();
        for PendingRequest {
            mut record,
            is_sent,
        } in self.pending.take()
        {
            if is_sent {
                record.turn_at = self.last_answer_at.get().max(record.sent_at);
                record.end = end.clone();
                record.ended_at = now;
                finished.push(record);
            }
        }
        self.changed.notify_one();
    }

    /// The requests that have ended.
    pub(super) fn take_finished(&self) -> Vec<RequestRecord> {
        self.finished.take()
    }
}

/// Reads a typed message: its type and body.
async fn read_message(stream: &mut (impl AsyncReadExt + Unpin)) -> io::Result<(u8, Vec<u8>)> {
    let tag = stream.read_u8().await?;
    let length = stream.read_u32().await? as usize;
    let length = length.checked_sub(4).filter(|&l| l <= MAX_ANSWER_BYTES);
    let mut body = vec![0; length.ok_or(io::ErrorKind::InvalidData)?];
    stream.read_exact(&mut body).await?;
    Ok((tag, body))
}

/// The SQLSTATE of an ErrorResponse.
fn sqlstate(body: &[u8]) -> String {
    let fields = body.split(|&byte| byte == 0);
    let code = fields
        .filter_map(|field| field.split_first())
        .find(|(&kind, _)| kind == b'C');
    code.map_or_else(String::new, |(_, code)| {
        String::from_utf8_lossy(code).into_owned()
    })
}

fn contains(bytes: &[u8], part: &[u8]) -> bool {
    bytes.windows(part.len()).any(|window| window == part)
}
