//! Client connections: PostgreSQL's protocol to typed requests, and answers in the order of the commands.

use super::backend::Statement;
use super::buffers::{Buffer, Pool};
use super::counters::count;
use super::log::log;
use super::pg::{self, code, Startup};
use super::request::{pause_ms, Answer, Call, Core};
use bytes::Buf;
use irisrouter::api::*;
use irisrouter::settings::Names;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};

/// A client that takes its answer more slowly than this is gone.
const WRITE_TIME: Duration = Duration::from_secs(15);
/// Connections beyond the limit that are told so before they are closed, and how long that may take.
const TURNED_AWAY: usize = 24;
const TURN_AWAY_TIME: Duration = Duration::from_secs(2);
/// Pause when the system gives no descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The front for PostgreSQL clients.
pub struct Frontend {
    /// Where its requests go.
    pub core: Rc<Core>,
    /// Buffers.
    pub pool: Rc<Pool>,
    /// Names of the classes.
    pub classes: Names,
    /// What a class needs.
    pub settings: Settings,
    /// Most connections.
    pub most: usize,
    /// Connections now.
    pub open: Cell<usize>,
    /// Connections close between requests once this is true.
    pub closing: watch::Receiver<bool>,
}

/// Why a conversation ended.
enum End {
    /// The client, or the network.
    Gone,
    /// We close it, with nothing owed.
    Closed,
}

impl From<io::Error> for End {
    fn from(_: io::Error) -> Self {
        End::Gone
    }
}

/// A client's connection and what it has sent that is not dealt with yet.
struct Client {
    stream: TcpStream,
    input: Option<Buffer>,
    /// After an error in the extended protocol, all is passed over up to the next Sync.
    skipping: bool,
}

impl Frontend {
    /// Accepts clients for ever.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.welcome(stream),
                Err(e) => {
                    log!("cannot accept: {e}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Takes what still waits to be accepted: a request may ride on it already.
    pub async fn accept_rest(self: &Rc<Self>, listener: &TcpListener) {
        while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
            self.welcome(stream);
        }
    }

    fn welcome(self: &Rc<Self>, stream: TcpStream) {
        count(&self.core.counters.accepted);
        let open = self.open.get();
        if open >= self.most + TURNED_AWAY {
            return;
        }
        self.open.set(open + 1);
        let front = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let mut client = Client { stream, input: None, skipping: false };
            if open >= front.most {
                let _ = timeout(TURN_AWAY_TIME, front.turn_away(&mut client)).await;
            } else if matches!(front.converse(&mut client).await, Err(End::Closed)) {
                // Our end of it, so that what was written still arrives.
                let _ = client.stream.shutdown().await;
            }
            front.open.set(front.open.get() - 1);
        });
    }

    /// Says that there are too many. What the client had sent is read first, since closing a connection with
    /// bytes unread resets it and takes the answer along.
    async fn turn_away(&self, client: &mut Client) -> Result<(), End> {
        self.start(client, true).await?;
        client.stream.shutdown().await?;
        loop {
            client.input = None;
            self.read(client).await?;
        }
    }

    async fn converse(&self, client: &mut Client) -> Result<(), End> {
        client.stream.set_nodelay(true)?;
        self.start(client, false).await?;
        loop {
            let (tag, body) = self.message(client).await?;
            let mut out = self.pool.take();
            match tag {
                b'Q' => self.query(client, &body, &mut out).await?,
                b'X' => return Err(End::Closed),
                b'S' if client.skipping => {
                    client.skipping = false;
                    pg::put_ready(&mut out);
                }
                b'S' => pg::put_ready(&mut out),
                b'P' | b'B' | b'D' | b'E' | b'C' | b'H' if client.skipping => {}
                b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'F' => {
                    count(&self.core.counters.malformed);
                    let text = "only simple queries are spoken here";
                    pg::put_error(&mut out, "ERROR", code::FEATURE_NOT_SUPPORTED, text, None);
                    if tag == b'F' {
                        pg::put_ready(&mut out);
                    } else {
                        client.skipping = true;
                    }
                }
                // What is left of a copy is passed over, as the protocol has it.
                b'd' | b'c' | b'f' => {}
                _ => return Err(self.fatal(client, "an unknown message").await),
            }
            write(client, &out).await?;
        }
    }

    /// The start of a connection, up to the first ReadyForQuery.
    async fn start(&self, client: &mut Client, crowded: bool) -> Result<(), End> {
        loop {
            let parsed = client.input.as_ref().map_or(Ok(None), |b| pg::startup(b));
            match parsed {
                Err(why) => return Err(self.fatal(client, why.0).await),
                Ok(None) => self.read_on(client).await?,
                Ok(Some((kind, length))) => {
                    client.input.iter_mut().for_each(|b| b.advance(length));
                    let mut out = self.pool.take();
                    match kind {
                        Startup::Encryption => client.stream.write_all(b"N").await?,
                        // There is nothing to cancel by key: a client that leaves cancels.
                        Startup::Cancel => return Err(End::Closed),
                        Startup::Begin if crowded => {
                            let text = "too many connections";
                            pg::put_error(&mut out, "FATAL", code::TOO_MANY_CONNECTIONS, text, None);
                            return write(client, &out).await;
                        }
                        Startup::Begin => {
                            pg::put_welcome(&mut out);
                            return write(client, &out).await;
                        }
                    }
                }
            }
        }
    }

    /// The next whole message.
    async fn message(&self, client: &mut Client) -> Result<(u8, Buffer), End> {
        loop {
            let parsed = client.input.as_ref().map_or(Ok(None), |b| pg::frame(b));
            match parsed {
                Err(why) => return Err(self.fatal(client, why.0).await),
                Ok(Some(f)) => {
                    let mut body = self.pool.take();
                    let fits = client.input.as_ref().is_some_and(|b| body.append(&b[f.body.clone()]));
                    client.input.iter_mut().for_each(|b| b.advance(f.body.end));
                    if !fits {
                        return Err(self.fatal(client, "no room for so large a message").await);
                    }
                    return Ok((f.tag, body));
                }
                Ok(None) => self.read_on(client).await?,
            }
        }
    }

    /// Waits for more of the client's messages. Between two of them, the connection may end.
    async fn read_on(&self, client: &mut Client) -> Result<(), End> {
        if client.input.as_ref().is_none_or(|b| b.is_empty()) {
            // Nothing is owed: the buffer goes back while the client is silent.
            client.input = None;
            let mut closing = self.closing.clone();
            tokio::select! {
                biased;
                readable = client.stream.readable() => readable?,
                _ = closing.wait_for(|&c| c) => return Err(End::Closed),
            }
        }
        self.read(client).await
    }

    /// Reads what there is.
    async fn read(&self, client: &mut Client) -> Result<(), End> {
        let input = client.input.get_or_insert_with(|| self.pool.take());
        if !input.room(input.len().clamp(1024, pg::LARGEST)) {
            return Err(self.fatal(client, "no room for so large a message").await);
        }
        match client.stream.read_buf(&mut **input).await? {
            0 => Err(End::Gone),
            _ => Ok(()),
        }
    }

    /// Answers one query, in full and in one write with its ReadyForQuery.
    async fn query(&self, client: &mut Client, body: &Buffer, out: &mut Buffer) -> Result<(), End> {
        let text = match pg::query(body) {
            Ok(text) => text,
            Err(why) => return Err(self.fatal(client, why.0).await),
        };
        if pg::is_empty(text) {
            pg::put(out, b'I', |_| {});
            pg::put_ready(out);
            return Ok(());
        }
        match self.call(text) {
            Err(why) => {
                count(&self.core.counters.malformed);
                pg::put_error(out, "ERROR", code::SYNTAX_ERROR, why, None);
            }
            Ok(call) => match self.answer(client, call).await? {
                Answer::Served(row) => {
                    *out = row;
                    if !out.room(16) {
                        return Err(End::Gone);
                    }
                }
                Answer::Refused { pause } => {
                    let detail = pause_ms(pause).map(|ms| ms.to_string());
                    let text = "turned away, trying again is harmless";
                    pg::put_error(out, "ERROR", code::TOO_MANY_CONNECTIONS, text, detail.as_deref());
                }
                Answer::Failed => {
                    let text = "no answer could be had, and it may have run";
                    pg::put_error(out, "ERROR", code::INTERNAL_ERROR, text, None);
                }
            },
        }
        pg::put_ready(out);
        Ok(())
    }

    /// A statement as a request.
    fn call(&self, text: &[u8]) -> Result<Call, &'static str> {
        let s = pg::statement(text).map_err(|e| e.0)?;
        let class = self.classes.find(s.class).ok_or("an unknown class")?;
        let group = GroupId(s.group);
        if !self.core.backend.may_know(group) {
            return Err("an unknown cluster");
        }
        let c = &self.settings.classes[class];
        if matches!(c.repeat, Repeat::Keyed { .. }) && !s.keyed {
            return Err("no k in the comment of a keyed class");
        }
        let sessions = matches!(c.freshness, Freshness::Session | Freshness::Write);
        let session = s.key.filter(|_| sessions).map(SessionId::of);
        let after = s.after_ms.filter(|_| c.freshness == Freshness::Session).map(|ms| (ms * 1e6) as Ns);
        let wait = Duration::from_secs_f64(s.wait_ms / 1e3);
        let mut copy = self.pool.take();
        if !copy.append(text) {
            return Err("no room for so large a statement");
        }
        let statement = Statement { text: copy, wait_at: s.wait_at };
        Ok(Call { class, group, session, wait, after, retry: s.retry, statement })
    }

    /// Waits for a request's answer, and meanwhile for the client to leave. What it sends ahead is kept.
    async fn answer(&self, client: &mut Client, call: Call) -> Result<Answer, End> {
        let (sender, mut answer) = oneshot::channel();
        tokio::task::spawn_local(Rc::clone(&self.core).serve(call, sender));
        loop {
            // Enough has been sent ahead: it is read once this is answered.
            let full = client.input.as_ref().is_some_and(|b| b.len() > pg::LARGEST);
            tokio::select! {
                biased;
                // Without a word from its task the request still gets its answer.
                answer = &mut answer => return Ok(answer.unwrap_or(Answer::Failed)),
                readable = client.stream.readable(), if !full => {
                    readable?;
                    self.read(client).await?;
                }
            }
        }
    }

    /// Tells of a breach of the protocol, and ends the connection.
    async fn fatal(&self, client: &mut Client, why: &str) -> End {
        count(&self.core.counters.malformed);
        let mut out = self.pool.take();
        pg::put_error(&mut out, "FATAL", code::PROTOCOL_VIOLATION, why, None);
        write(client, &out).await.err().unwrap_or(End::Closed)
    }
}

async fn write(client: &mut Client, out: &Buffer) -> Result<(), End> {
    if out.is_empty() {
        return Ok(());
    }
    timeout(WRITE_TIME, client.stream.write_all(out)).await.map_err(|_| End::Gone)??;
    Ok(())
}
