//! Client connections: PostgreSQL's protocol to typed requests, and answers in the order of the commands.

use crate::net::admin::serving_state::ServingState;
use crate::net::buffers::{Buffer, Pool};
use crate::net::downstream::cancel::{Cancellable, Cancels, Registered};
use crate::net::downstream::connection_limit::{ConnectionLimit, Place, Quiet, Resting};
use crate::net::log::log;
use crate::net::metrics::increment;
use crate::net::pg::{self, code, Startup};
use crate::net::request::classes::Classes;
use crate::net::request::{retry_after_milliseconds, Answer, ClientRequest, RequestContext};
use crate::net::upstream::{Statement, StreamChunk, StreamedAnswer};
use crate::net::{duration, read_now};
use bytes::Buf;
use irisrouter::routing::*;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// A client that takes its answer more slowly than this is gone.
const WRITE_TIME: Duration = Duration::from_secs(15);
/// A client that has been silent for so long before its first words, or in the middle of a command, is told so, and
/// so is one whose command has taken this time and a second for each so many bytes. Danger: clients that say nothing, or
/// half of something, would hold their places for ever.
const SAY_TIME: Duration = Duration::from_millis(2_500);
const WHOLE_TIME: Duration = Duration::from_secs(5);
const SLOWEST: f64 = 16_384.0;
/// So long, and so much, is still read from a client that has been told why its connection ends.
const LINGER: Duration = Duration::from_secs(1);
const LINGER_BYTES: usize = 1 << 20;
/// And one that is turned away is to come again after so long. Danger: a crowd that comes again at once takes the
/// time of those that are served.
const COME_AGAIN: Nanos = 250_000_000;
/// What clients say of commits may be so far ahead of this clock.
const AHEAD: Nanos = 1_000_000_000;
/// Where clients are sent away, a connection that is quiet for so long ends. Those that are used end behind an answer
/// before that, so that few requests cross their connection's end.
const SEND_AWAY: Duration = Duration::from_millis(250);
/// More than the largest message is not taken ahead of an answer. Danger: what is left unread hides the client's end, and
/// the request of one that sends much and goes would go on without it.
const AHEAD_MOST: usize = pg::LARGEST + 1;
/// So much is read at once of what comes in the moment in which a connection is to end.
const LAST_BYTES: usize = 4096;
/// So long a gateway that ends waits for one more connection in its queue.
const LAST_ACCEPT: Duration = Duration::from_millis(2);
/// Pause when the system gives no descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The front for PostgreSQL clients.
pub struct Frontend {
    /// Where its requests go.
    pub core: Rc<RequestContext>,
    /// Buffers.
    pub pool: Rc<Pool>,
    /// The classes, and what else the settings say.
    pub classes: Rc<Classes>,
    /// Places for connections.
    pub connection_limit: Rc<ConnectionLimit>,
    /// Whether clients are welcome.
    pub serving_state: Rc<ServingState>,
    /// Who may cancel what.
    pub cancels: Rc<Cancels>,
}

/// Why a conversation ended.
enum End {
    /// The client, or the network.
    Gone,
    /// We close it, with nothing owed.
    Closed,
    /// We close it, and have said why.
    Told,
    /// What it sends does not fit into the memory that there is.
    NoRoom,
    /// It sends too much ahead of its answer.
    Flood,
}

impl From<io::Error> for End {
    fn from(_: io::Error) -> Self {
        End::Gone
    }
}

/// What a wait for more ends with.
enum Come {
    More,
    Closing,
    /// Its place is needed.
    Asked,
    Late,
}

/// A client's connection and what it has sent that is not dealt with yet.
struct Client {
    stream: TcpStream,
    place: Place,
    input: Option<Buffer>,
    /// When it connected, or when the command began that is not whole yet.
    began: Instant,
    /// When it last said something of that.
    heard: Instant,
    /// After an error in the extended protocol, all is passed over up to the next Sync.
    skipping: bool,
    /// Its cancel key, from its start on.
    registered: Option<Registered>,
}

/// What a wait for an answer ends with, where the client is still there.
enum Waited<T> {
    /// What was waited for.
    Come(T),
    /// The client has cancelled it.
    Cancelled,
}

impl Frontend {
    /// Accepts clients for ever.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        self.serving_state.mark_ready();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.welcome(stream);
                    // Those that give their places up do so first. Danger: a burst would use up all descriptors.
                    if self.connection_limit.is_full() {
                        yield_now().await;
                    }
                }
                Err(e) => {
                    log!("cannot accept: {e}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Takes what still waits to be accepted: a request may ride on it already.
    pub async fn accept_rest(self: &Rc<Self>, listener: &TcpListener) {
        // Danger: without a wait the runtime has not heard of those that came last, and they would be reset.
        while let Ok(Ok((stream, _))) = timeout(LAST_ACCEPT, listener.accept()).await {
            self.welcome(stream);
            yield_now().await;
        }
    }

    fn welcome(self: &Rc<Self>, stream: TcpStream) {
        increment(&self.core.metrics.connections.downstream_accepted);
        let Some(place) = self.connection_limit.acquire() else {
            return;
        };
        tokio::task::spawn_local(Rc::clone(self).attend(stream, place));
    }

    /// A connection's life, in its place.
    async fn attend(self: Rc<Self>, stream: TcpStream, place: Place) {
        let now = Instant::now();
        let mut client = Client {
            stream,
            place,
            input: None,
            began: now,
            heard: now,
            skipping: false,
            registered: None,
        };
        if client.place.crowded {
            increment(&self.core.metrics.connections.downstream_rejected);
        }
        let Err(mut end) = self.converse(&mut client).await;
        match end {
            End::NoRoom => {
                end = self
                    .fatal(&mut client, "no room for so large a message")
                    .await
            }
            End::Flood => {
                end = self
                    .fatal(&mut client, "too much is sent ahead of an answer")
                    .await
            }
            End::Gone | End::Closed | End::Told => {}
        }
        match end {
            End::Gone | End::NoRoom | End::Flood => {}
            End::Closed | End::Told => self.linger(&mut client).await,
        }
    }

    /// Ends our side, and reads on for a while. Nothing of that is taken: whoever sent it hears that the connection ended
    /// unread. Danger: closing a connection with bytes unread resets it, and takes the last answer along.
    async fn linger(&self, client: &mut Client) {
        let Client { stream, place, .. } = client;
        let mut resting = place.rest(Quiet::Leaving);
        let reading = async {
            stream.shutdown().await?;
            let mut buffer = self.pool.take();
            let mut left = LINGER_BYTES;
            loop {
                buffer.clear();
                match stream.read_buf(&mut *buffer).await? {
                    0 => return Ok::<_, io::Error>(()),
                    n => left = left.checked_sub(n).ok_or(io::ErrorKind::FileTooLarge)?,
                }
            }
        };
        tokio::select! {
            _ = timeout(LINGER, reading) => {}
            () = resting.asked() => {}
        }
    }

    async fn converse(&self, client: &mut Client) -> Result<Infallible, End> {
        client.stream.set_nodelay(true)?;
        self.start(client).await?;
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
                    increment(&self.core.metrics.requests.malformed);
                    let text = "only simple queries are spoken here";
                    pg::put_error(&mut out, "ERROR", code::FEATURE_NOT_SUPPORTED, text, None);
                    if tag == b'F' {
                        pg::put_ready(&mut out);
                    } else {
                        client.skipping = true;
                    }
                }
                // No copy is ever begun here, so that its messages belong to nothing either.
                _ => return Err(self.fatal(client, "an unknown message").await),
            }
            write(client, &out).await?;
            // Right behind an answer the client knows at once, but for a request that is here already.
            let empty = client.input.as_ref().is_none_or(|b| b.is_empty());
            if self.serving_state.mode().disconnects_clients()
                && empty
                && !self.read_last(client)?
            {
                return Err(End::Closed);
            }
        }
    }

    /// The start of a connection, up to the first ReadyForQuery.
    async fn start(&self, client: &mut Client) -> Result<(), End> {
        loop {
            let parsed = client.input.as_ref().map_or(Ok(None), |b| pg::startup(b));
            match parsed {
                Err(why) => return Err(self.fatal(client, why.0).await),
                Ok(None) => self.read_on(client, Quiet::Starting).await?,
                Ok(Some((kind, length))) => {
                    client.input.iter_mut().for_each(|b| b.advance(length));
                    let mut out = self.pool.take();
                    match kind {
                        Startup::Encryption => client.stream.write_all(b"N").await?,
                        // Whether or not the key is anybody's, nothing is said.
                        Startup::Cancel(key) => {
                            self.cancels.cancel(&key);
                            return Err(End::Closed);
                        }
                        Startup::Begin if client.place.crowded => {
                            return Err(self.crowded(client).await)
                        }
                        Startup::Begin => {
                            client.registered = self.cancels.register();
                            pg::put_welcome(
                                &mut out,
                                client.registered.as_ref().map(Registered::key),
                            );
                            return write(client, &out).await;
                        }
                    }
                }
            }
        }
    }

    /// The next whole message.
    async fn message(&self, client: &mut Client) -> Result<(u8, Buffer), End> {
        client.began = Instant::now();
        loop {
            let parsed = client.input.as_ref().map_or(Ok(None), |b| pg::frame(b));
            match parsed {
                Err(why) => return Err(self.fatal(client, why.0).await),
                Ok(Some(f)) => {
                    let mut body = self.pool.take();
                    let fits = client
                        .input
                        .as_ref()
                        .is_some_and(|b| body.append(&b[f.body.clone()]));
                    client.input.iter_mut().for_each(|b| b.advance(f.body.end));
                    if !fits {
                        return Err(End::NoRoom);
                    }
                    return Ok((f.tag, body));
                }
                Ok(None) => self.read_on(client, Quiet::Idle).await?,
            }
        }
    }

    /// Waits for more of the client's messages. Between two of them, the connection may end.
    async fn read_on(&self, client: &mut Client, kind: Quiet) -> Result<(), End> {
        let empty = client.input.as_ref().is_none_or(|b| b.is_empty());
        if empty {
            // Nothing is owed: the buffer goes back while the client is silent.
            client.input = None;
        }
        let idle = empty && kind == Quiet::Idle;
        let come = client.input.as_ref().map_or(0, |b| b.len());
        let whole_by = client.began + WHOLE_TIME + Duration::from_secs_f64(come as f64 / SLOWEST);
        let end = whole_by.min(client.heard + SAY_TIME);
        let mut mode = self.serving_state.subscribe();
        let quiet_until = client.began + SEND_AWAY;
        let away = async {
            loop {
                if mode.wait_for(|m| m.disconnects_clients()).await.is_err() {
                    return;
                }
                tokio::select! {
                    _ = mode.wait_for(|m| !m.disconnects_clients()) => {}
                    () = sleep_until(quiet_until) => return,
                }
            }
        };
        // Half a command holds its place as long as it may take; what has not begun does not.
        let kind = if client.place.crowded {
            Quiet::Leaving
        } else {
            kind
        };
        let mut resting = (empty || kind != Quiet::Idle).then(|| client.place.rest(kind));
        let come = tokio::select! {
            biased;
            readable = client.stream.readable() => {
                readable?;
                Come::More
            }
            () = away, if empty => Come::Closing,
            () = asked(&mut resting) => Come::Asked,
            () = sleep_until(end), if !idle => Come::Late,
        };
        drop(resting);
        match come {
            Come::More => {}
            // Danger: what has come in this very moment would be closed over.
            Come::Closing | Come::Asked if idle && self.read_last(client)? => {
                client.heard = Instant::now();
                client.began = client.heard;
                return Ok(());
            }
            Come::Closing => return Err(End::Closed),
            Come::Asked => {
                increment(&self.core.metrics.connections.downstream_evicted);
                return Err(if idle {
                    End::Closed
                } else {
                    self.crowded(client).await
                });
            }
            Come::Late => {
                return Err(self
                    .fatal(client, "a message that does not become whole")
                    .await)
            }
        }
        client.heard = Instant::now();
        if idle {
            client.began = client.heard;
        }
        self.read(client)
    }

    /// Reads what there is, if anything. Danger: readiness may be told in vain, and a read that waits then knows
    /// no time limit.
    fn read(&self, client: &mut Client) -> Result<(), End> {
        let input = client.input.get_or_insert_with(|| self.pool.take());
        if !input.room(input.len().clamp(1024, pg::LARGEST)) {
            return Err(End::NoRoom);
        }
        match client.stream.try_read_buf(&mut **input) {
            Ok(0) => Err(End::Gone),
            Ok(_) => Ok(()),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(e) => Err(e.into()),
        }
    }

    /// Reads what the system holds, of a client whose connection is about to end; whether there was anything.
    fn read_last(&self, client: &mut Client) -> Result<bool, End> {
        let mut bytes = [0; LAST_BYTES];
        match read_now(&client.stream, &mut bytes) {
            Ok(0) => Err(End::Gone),
            Ok(n) => {
                let input = client.input.get_or_insert_with(|| self.pool.take());
                if !input.append(&bytes[..n]) {
                    return Err(End::NoRoom);
                }
                Ok(true)
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(e) => Err(e.into()),
        }
    }

    /// Answers one query, in full and in one write with its ReadyForQuery.
    async fn query(&self, client: &mut Client, body: &Buffer, out: &mut Buffer) -> Result<(), End> {
        let text = match pg::query(body) {
            Ok(text) => text,
            Err(why) => return Err(self.fatal(client, why.0).await),
        };
        if pg::is_empty(text) {
            if self.serving_state.mode().disconnects_clients() {
                let text = "clients are sent away";
                pg::put_error(out, "ERROR", code::CANNOT_CONNECT_NOW, text, None);
            } else {
                pg::put(out, b'I', |_| {});
            }
            pg::put_ready(out);
            return Ok(());
        }
        match self.call(text) {
            Err(why) => {
                increment(&self.core.metrics.requests.malformed);
                pg::put_error(out, "ERROR", code::SYNTAX_ERROR, why, None);
            }
            Ok(call) => match self.answer(client, call).await? {
                Waited::Cancelled => {
                    let text = "canceling statement due to user request";
                    pg::put_error(out, "ERROR", code::QUERY_CANCELED, text, None);
                }
                Waited::Come(Answer::Served(row)) => {
                    *out = row;
                    if !out.room(16) {
                        return Err(End::Gone);
                    }
                }
                Waited::Come(Answer::Streamed(streamed)) => {
                    *out = self.pass_on(client, streamed).await?
                }
                Waited::Come(Answer::Rejected { retry_after }) => {
                    let detail = retry_after_milliseconds(retry_after).map(|ms| ms.to_string());
                    let text = "turned away, trying again is harmless";
                    pg::put_error(
                        out,
                        "ERROR",
                        code::TOO_MANY_CONNECTIONS,
                        text,
                        detail.as_deref(),
                    );
                }
                Waited::Come(Answer::Failed) => {
                    let text = "no answer could be had, and it may have run";
                    pg::put_error(out, "ERROR", code::INTERNAL_ERROR, text, None);
                }
            },
        }
        pg::put_ready(out);
        Ok(())
    }

    /// A statement as a request.
    fn call(&self, text: &[u8]) -> Result<ClientRequest, &'static str> {
        let s = pg::statement(text).map_err(|e| e.0)?;
        let class = self.classes.find(s.class).ok_or("an unknown class")?;
        let group = GroupId(s.group);
        if !self.core.upstream.may_have_group(group) {
            return Err("an unknown cluster");
        }
        let c = &class.class;
        if matches!(c.idempotency, Idempotency::Keyed { .. }) && s.idempotency.is_none() {
            return Err("no k in the comment of a keyed class");
        }
        let sessions = matches!(c.freshness, Freshness::Session | Freshness::Write);
        let session = s.key.filter(|_| sessions).map(SessionId::of);
        let after = s
            .after_ms
            .filter(|_| c.freshness == Freshness::Session)
            .map(|ms| (ms * 1e6) as Nanos);
        // Danger: a position that is not there yet would be waited for, or overflow; a client that says that it
        // waits for ever would hold its request as long.
        if after.is_some_and(|p| p > self.core.clock.now().saturating_add(AHEAD)) {
            return Err("after is a position that is not there yet");
        }
        let wait = Duration::from_secs_f64(s.wait_ms / 1e3).min(duration(c.deadline));
        let mut copy = self.pool.take();
        if !copy.append(text) {
            return Err("no room for so large a statement");
        }
        let statement = Statement {
            text: copy,
            timeout_range: s.wait_at,
        };
        let keyed = matches!(class.class.idempotency, Idempotency::Keyed { .. });
        let key = s
            .idempotency
            .filter(|_| keyed)
            .map(|k| irisrouter_write_intents::number(group.0, k.as_bytes()));
        let id = self
            .core
            .reserve_id(s.id)
            .ok_or("the id of a request that is open")?;
        Ok(ClientRequest {
            id,
            class,
            group,
            session,
            timeout: wait,
            minimum_position: after,
            retry: s.retry,
            idempotency_key: key,
            statement,
        })
    }

    /// Passes a long answer on while it comes, and returns its end. One that breaks off ends the connection: the client
    /// has no other way to tell that it is not whole.
    async fn pass_on(&self, client: &mut Client, streamed: StreamedAnswer) -> Result<Buffer, End> {
        let StreamedAnswer { head, mut rest } = streamed;
        write(client, &head).await?;
        drop(head);
        loop {
            // In the middle of a row nothing else can be said.
            let meanwhile = self.meanwhile(client, rest.recv()).await;
            match meanwhile.map_err(|end| {
                if matches!(end, End::Flood) {
                    End::Gone
                } else {
                    end
                }
            })? {
                Some(StreamChunk::Data(piece)) => write(client, &piece).await?,
                Some(StreamChunk::Last(mut end)) => {
                    return end.room(16).then_some(end).ok_or(End::Gone)
                }
                None => return Err(End::Gone),
            }
        }
    }

    /// Waits for a request's answer. One that is cancelled is dropped, as is that of a client that leaves: no attempt of it
    /// begins any more.
    async fn answer(
        &self,
        client: &mut Client,
        call: ClientRequest,
    ) -> Result<Waited<Answer>, End> {
        let (sender, answer) = oneshot::channel();
        tokio::task::spawn_local(Rc::clone(&self.core).serve(call, sender));
        let registered = client.registered.take();
        let mut query = registered.as_ref().map(Registered::query);
        let waiting = async {
            tokio::select! {
                biased;
                // Without a word from its task the request still gets its answer.
                answer = answer => Waited::Come(answer.unwrap_or(Answer::Failed)),
                () = cancelled(&mut query) => Waited::Cancelled,
            }
        };
        let waited = self.meanwhile(client, waiting).await;
        drop(query);
        client.registered = registered;
        waited
    }

    /// Waits for something, and meanwhile for the client to leave. What it sends ahead is kept, so
    /// much at most.
    async fn meanwhile<T>(
        &self,
        client: &mut Client,
        wait: impl Future<Output = T>,
    ) -> Result<T, End> {
        let mut wait = std::pin::pin!(wait);
        loop {
            tokio::select! {
                biased;
                come = &mut wait => return Ok(come),
                readable = client.stream.readable() => {
                    readable?;
                    self.read(client)?;
                    if client.input.as_ref().is_some_and(|b| b.len() > AHEAD_MOST) {
                        return Err(End::Flood);
                    }
                }
            }
        }
    }

    /// Tells of a breach of the protocol, and ends the connection.
    async fn fatal(&self, client: &mut Client, why: &str) -> End {
        increment(&self.core.metrics.requests.malformed);
        self.last_word(client, code::PROTOCOL_VIOLATION, why, None)
            .await
    }

    /// Tells that there is no place: nothing that the client wanted has been begun.
    async fn crowded(&self, client: &mut Client) -> End {
        let pause = {
            let limits = &self.classes.settings().limits;
            retry_after_milliseconds(if limits.retry_after {
                COME_AGAIN.min(limits.max_retry_after)
            } else {
                0
            })
        };
        let detail = pause.map(|ms| ms.to_string());
        self.last_word(
            client,
            code::TOO_MANY_CONNECTIONS,
            "too many connections",
            detail.as_deref(),
        )
        .await
    }

    async fn last_word(
        &self,
        client: &mut Client,
        code: &str,
        why: &str,
        detail: Option<&str>,
    ) -> End {
        let mut out = self.pool.take();
        pg::put_error(&mut out, "FATAL", code, why, detail);
        write(client, &out).await.err().unwrap_or(End::Told)
    }
}

/// The connection is to give its place up; never, while it does not rest.
async fn asked(resting: &mut Option<Resting<'_>>) {
    match resting {
        Some(resting) => resting.asked().await,
        None => std::future::pending().await,
    }
}

/// The query is cancelled; never, where the client has no key.
async fn cancelled(query: &mut Option<Cancellable<'_>>) {
    match query {
        Some(query) => query.cancelled().await,
        None => std::future::pending().await,
    }
}

async fn write(client: &mut Client, out: &Buffer) -> Result<(), End> {
    if out.is_empty() {
        return Ok(());
    }
    timeout(WRITE_TIME, client.stream.write_all(out))
        .await
        .map_err(|_| End::Gone)??;
    Ok(())
}
