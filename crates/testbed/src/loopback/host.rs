//! A stand-in database host, as one gateway reaches it: PostgreSQL's protocol in front, the world behind.
//!
//! It stands on `pgwire`'s messages and reads the statement's comment by itself: a second implementation finds what one
//! that is shared with the gateway would hide.

use super::beside;
use super::environment::{Environment, Word};
use bytes::{BufMut, BytesMut};
use irisrouter_simulation::fleet::{Answer, Delivery, ProbeResult, Query, ReplicaStatus};
use irisrouter_simulation::host::State;
use irisrouter_simulation::{seconds, GatewayId, HostId, Ns, MS, SECOND};
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery, SslResponse,
    TransactionStatus,
};
use pgwire::messages::startup::{Authentication, ParameterStatus};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
    SslNegotiationMetaMessage,
};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Largest message that is taken, in bytes.
const LARGEST: usize = 1 << 20;
/// PostgreSQL's number for `bytea`.
const BYTEA: u32 = 17;

/// What a row holds for a request: nobody but a host can make it.
pub fn payload(id: &str) -> String {
    let sum = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    });
    format!("row {id} {sum:016x}")
}

/// The names and values of a statement's comment.
pub fn comment(statement: &str) -> HashMap<&str, &str> {
    let inner = statement
        .rsplit_once("/*")
        .and_then(|(_, tail)| tail.split_once("*/"))
        .map_or("", |(c, _)| c);
    inner
        .split(',')
        .filter_map(|p| p.trim().split_once('='))
        .collect()
}

/// Takes connections for ever.
pub async fn serve(
    environment: Rc<Environment>,
    listener: TcpListener,
    gateway: GatewayId,
    host: HostId,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = Connection {
                    environment: Rc::clone(&environment),
                    gateway,
                    host,
                    stream,
                    input: BytesMut::new(),
                };
                beside(connection.live());
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

struct Connection {
    environment: Rc<Environment>,
    gateway: GatewayId,
    host: HostId,
    stream: TcpStream,
    input: BytesMut,
}

/// How a connection ends.
enum End {
    /// The other side is gone, or this one closes.
    Closed,
    /// It is reset.
    Reset,
}

impl Connection {
    async fn live(mut self) {
        let _ = self.stream.set_nodelay(true);
        let mut resets = self.environment.resets(self.host);
        let (state, epoch) = {
            let fleet = self.environment.fleet.borrow();
            (fleet.host(self.host).state, fleet.host(self.host).epoch)
        };
        let end = match state {
            State::Down => End::Reset,
            _ => {
                let environment = Rc::clone(&self.environment);
                let host = self.host;
                let mut counted = false;
                let end = tokio::select! {
                    end = self.serve_session(epoch, &mut counted) => end,
                    _ = resets.changed() => End::Reset,
                };
                if counted {
                    environment.with(|fleet, now| fleet.close(now, host, epoch));
                }
                end
            }
        };
        if matches!(end, End::Reset) {
            // The kernel sends a reset where nothing lingers.
            let _ = self.stream.set_zero_linger();
        }
    }

    async fn serve_session(&mut self, epoch: u32, counted: &mut bool) -> End {
        let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        loop {
            let message = match self.read(&mut context).await {
                Some(m) => m,
                None => return End::Closed,
            };
            match message {
                PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                    context.awaiting_frontend_ssl = false;
                }
                PgWireFrontendMessage::SslNegotiation(_) => {
                    let no = PgWireBackendMessage::SslResponse(SslResponse::Refuse);
                    if !self.write(&[no]).await {
                        return End::Closed;
                    }
                }
                PgWireFrontendMessage::Startup(_) => {
                    context.awaiting_frontend_startup = false;
                    if let Some(end) = self.welcome(counted).await {
                        return end;
                    }
                }
                PgWireFrontendMessage::Query(q) => {
                    if let Some(end) = self.query(epoch, &q.query).await {
                        return end;
                    }
                }
                PgWireFrontendMessage::Terminate(_) => return End::Closed,
                _ => {
                    let messages = error("0A000", "not spoken by this stand-in");
                    if !self.write(&messages).await {
                        return End::Closed;
                    }
                }
            }
        }
    }

    /// The next message. What has stood idle for too long is closed.
    async fn read(&mut self, context: &mut DecodeContext) -> Option<PgWireFrontendMessage> {
        let idle = Duration::from_secs_f64(self.environment.scenario().world.hosts.idle_close_s);
        loop {
            match PgWireFrontendMessage::decode(&mut self.input, context) {
                Ok(Some(m)) => return Some(m),
                Ok(None) => {}
                Err(_) => return None,
            }
            if self.input.len() > LARGEST {
                return None;
            }
            match timeout(idle, self.stream.read_buf(&mut self.input)).await {
                Ok(Ok(n)) if n > 0 => {}
                _ => return None,
            }
        }
    }

    async fn write(&mut self, messages: &[PgWireBackendMessage]) -> bool {
        let mut out = BytesMut::new();
        let encoded = messages.iter().all(|m| m.encode(&mut out).is_ok());
        encoded && self.stream.write_all(&out).await.is_ok()
    }

    /// Nothing more is said, until the connection is reset or given up.
    async fn silence(&mut self) -> End {
        let mut rest = [0; 256];
        while matches!(self.stream.read(&mut rest).await, Ok(n) if n > 0) {}
        End::Closed
    }

    async fn welcome(&mut self, counted: &mut bool) -> Option<End> {
        let (ticket, up) = self.environment.ticket();
        self.environment
            .collector
            .borrow_mut()
            .connection(self.environment.now());
        let (gateway, host) = (self.gateway, self.host);
        match self
            .environment
            .with(|fleet, now| fleet.connect(now, gateway, host, ticket))
        {
            Delivery::Accepted => *counted = true,
            Delivery::NoResponse => return Some(self.silence().await),
            Delivery::Reset => {
                let messages = error("53300", "too many connections");
                self.write(&messages).await;
                return Some(End::Closed);
            }
        }
        if !matches!(up.await, Ok(Word::Connected)) {
            return Some(End::Reset);
        }
        let mut messages = vec![PgWireBackendMessage::Authentication(Authentication::Ok)];
        for (name, value) in [("server_version", "16.0"), ("client_encoding", "UTF8")] {
            messages.push(status(name, value));
        }
        messages.push(ready());
        (!self.write(&messages).await).then_some(End::Closed)
    }

    async fn query(&mut self, epoch: u32, text: &str) -> Option<End> {
        let plain = text.trim().trim_end_matches(';').trim();
        let first = plain
            .split_ascii_whitespace()
            .next()
            .unwrap_or("")
            .to_ascii_uppercase();
        let messages = match (plain, first.as_str()) {
            ("", _) => vec![
                PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new()),
                ready(),
            ],
            ("SELECT 1" | "SHOW usage", _) => return self.probe(plain).await,
            (_, "SET" | "RESET" | "DISCARD") => vec![complete(&first), ready()],
            _ => return self.statement(epoch, text).await,
        };
        (!self.write(&messages).await).then_some(End::Closed)
    }

    async fn probe(&mut self, what: &str) -> Option<End> {
        let (gateway, host) = (self.gateway, self.host);
        let found = self
            .environment
            .with(|fleet, now| fleet.probe(now, gateway, host));
        self.environment
            .collector
            .borrow_mut()
            .probe(self.environment.now());
        let messages = match found {
            ProbeResult::NoResponse => return Some(self.silence().await),
            ProbeResult::Refused => return Some(End::Reset),
            ProbeResult::Report(_) if what == "SELECT 1" => row("1"),
            ProbeResult::Report(r) => {
                let ms = r.position / MS;
                let primary = u8::from(r.primary);
                row(&format!(
                    "x0={}.{:03},x1={primary},util={:.3}",
                    ms / 1000,
                    ms % 1000,
                    r.util
                ))
            }
        };
        let messages = [messages, vec![ready()]].concat_messages();
        (!self.write(&messages).await).then_some(End::Closed)
    }

    async fn statement(&mut self, epoch: u32, text: &str) -> Option<End> {
        let names = comment(text);
        let id = names.get("id").copied().unwrap_or_default().to_string();
        let Some(asked) = self
            .environment
            .asked
            .borrow()
            .get(&id)
            .copied()
            .filter(|a| fits(&names, a, &self.environment))
        else {
            // Nobody has asked for this, or not in these words: the gateway made it up or spoilt it.
            self.environment.collector.borrow_mut().malformed += 1;
            let messages = error("08P01", "no client sent a statement in this form");
            return (!self.write(&messages).await).then_some(End::Closed);
        };
        let copy = !self.environment.out.borrow_mut().insert(id.clone());
        let (ticket, comes) = self.environment.ticket();
        let (gateway, host) = (self.gateway, self.host);
        let taken = self.environment.with(|fleet, now| {
            self.environment.collector.borrow_mut().attempt(now, copy);
            let query = Query {
                ticket,
                gateway,
                class: asked.class,
                work: asked.work,
                key: asked.key,
                mark: asked.mark,
                sent: now,
                arrived: asked.sent,
            };
            fleet.query(now, host, epoch, query)
        });
        let end = match taken {
            Delivery::Reset => Some(End::Reset),
            Delivery::NoResponse => Some(self.silence().await),
            Delivery::Accepted => {
                let mut rest = [0; 1];
                tokio::select! {
                    word = comes => match word {
                        Ok(Word::Answer(answer, note, work)) => self.answer(&id, asked.key, answer, note, work).await,
                        _ => Some(End::Reset),
                    },
                    // The gateway has given up. That stops nothing here.
                    _ = self.stream.read(&mut rest) => Some(End::Closed),
                }
            }
        };
        self.environment.out.borrow_mut().remove(&id);
        end
    }

    async fn answer(
        &mut self,
        id: &str,
        key: Option<u64>,
        answer: Answer,
        note: ReplicaStatus,
        work: Ns,
    ) -> Option<End> {
        let reaches = self
            .environment
            .fleet
            .borrow()
            .reaches(self.gateway, self.host);
        let waits = self
            .environment
            .asked
            .borrow()
            .get(id)
            .is_some_and(|a| a.open);
        let row_of_use = answer == Answer::Row && reaches && waits;
        self.environment
            .collector
            .borrow_mut()
            .worked(work, row_of_use);
        if !reaches {
            return Some(self.silence().await);
        }
        let mut messages = match answer {
            Answer::Row => row(&payload(id)),
            Answer::Error => error_alone("XX000", "it may have run"),
            Answer::Full => error_alone("53300", "turned away"),
            Answer::Miss if key.is_some() => error_alone("25006", "no primary"),
            Answer::Miss => error_alone("72000", "too far behind"),
        };
        messages.push(status(
            "server_role",
            if note.primary { "writer" } else { "reader" },
        ));
        if answer == Answer::Row && key.is_some() {
            messages.push(status(
                "commit_clock",
                &((note.position + MS - 1) / MS).to_string(),
            ));
        }
        messages.push(ready());
        (!self.write(&messages).await).then_some(End::Closed)
    }
}

/// The statement says of itself what its client said.
fn fits(
    names: &HashMap<&str, &str>,
    asked: &super::environment::Asked,
    environment: &Environment,
) -> bool {
    let class = &environment.scenario().world.classes[asked.class];
    let key = names.get("k").and_then(|k| u64::from_str_radix(k, 16).ok());
    let wait = names.get("d").and_then(|d| d.parse::<f64>().ok());
    let longest = class.deadline_ms + 1.0;
    names.get("c") == Some(&class.name.as_str())
        && key == asked.key
        && wait.is_some_and(|d| d >= 0.0 && d <= longest)
        && environment.now() - asked.sent < seconds(longest / 1e3) * 2 + SECOND
}

fn status(name: &str, value: &str) -> PgWireBackendMessage {
    PgWireBackendMessage::ParameterStatus(ParameterStatus::new(name.to_string(), value.to_string()))
}

fn ready() -> PgWireBackendMessage {
    PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(TransactionStatus::Idle))
}

fn complete(tag: &str) -> PgWireBackendMessage {
    PgWireBackendMessage::CommandComplete(CommandComplete::new(tag.to_string()))
}

fn row(value: &str) -> Vec<PgWireBackendMessage> {
    let mut data = BytesMut::new();
    data.put_i32(value.len() as i32);
    data.put_slice(value.as_bytes());
    let field = FieldDescription::new("payload".to_string(), 0, 0, BYTEA, -1, -1, 0);
    vec![
        PgWireBackendMessage::RowDescription(RowDescription::new(vec![field])),
        PgWireBackendMessage::DataRow(DataRow::new(data, 1)),
        complete("SELECT 1"),
    ]
}

fn error_alone(code: &str, text: &str) -> Vec<PgWireBackendMessage> {
    let fields = [(b'S', "ERROR"), (b'V', "ERROR"), (b'C', code), (b'M', text)];
    let fields = fields
        .into_iter()
        .map(|(f, t)| (f, t.to_string()))
        .collect();
    vec![PgWireBackendMessage::ErrorResponse(ErrorResponse::new(
        fields,
    ))]
}

fn error(code: &str, text: &str) -> Vec<PgWireBackendMessage> {
    let mut messages = error_alone(code, text);
    messages.push(ready());
    messages
}

trait Joined {
    fn concat_messages(self) -> Vec<PgWireBackendMessage>;
}

impl Joined for [Vec<PgWireBackendMessage>; 2] {
    fn concat_messages(self) -> Vec<PgWireBackendMessage> {
        self.into_iter().flatten().collect()
    }
}
