//! A connection of a gateway to a stand-in host.

use super::messages;
use super::statement::{comment_fields, matches_client, payload};
use crate::loopback::environment::{ClientStatement, Environment, HostAnswer, HostReply};
use bytes::BytesMut;
use irisrouter_simulation::fleet::{Answer, Delivery, ProbeResult, Query};
use irisrouter_simulation::host::State;
use irisrouter_simulation::{GatewayId, HostId, MS};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
    SslNegotiationMetaMessage,
};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest message that is read, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// How a connection ends.
enum End {
    /// The other side is gone, or this one closes.
    Closed,
    /// It is reset.
    Reset,
}

/// A connection of a gateway.
pub(super) struct Connection {
    environment: Rc<Environment>,
    gateway: GatewayId,
    host: HostId,
    stream: TcpStream,
    input: BytesMut,
    /// The life of the host in which the connection was opened.
    epoch: u32,
    /// Whether the host counts it among its connections.
    counted: bool,
}

impl Connection {
    pub(super) fn new(
        environment: Rc<Environment>,
        gateway: GatewayId,
        host: HostId,
        stream: TcpStream,
    ) -> Self {
        Connection {
            environment,
            gateway,
            host,
            stream,
            input: BytesMut::new(),
            epoch: 0,
            counted: false,
        }
    }

    /// Serves the connection until it ends.
    pub(super) async fn run(mut self) {
        let _ = self.stream.set_nodelay(true);
        let mut resets = self.environment.resets(self.host);
        let state = {
            let fleet = self.environment.fleet.borrow();
            let host = fleet.host(self.host);
            self.epoch = host.epoch;
            host.state
        };
        let end = match state {
            State::Down => End::Reset,
            _ => tokio::select! {
                end = self.serve_session() => end,
                _ = resets.changed() => End::Reset,
            },
        };
        if self.counted {
            let (host, epoch) = (self.host, self.epoch);
            self.environment
                .with(|fleet, now| fleet.close(now, host, epoch));
        }
        if matches!(end, End::Reset) {
            // The kernel sends a reset where nothing lingers.
            let _ = self.stream.set_zero_linger();
        }
    }

    async fn serve_session(&mut self) -> End {
        let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        loop {
            let Some(message) = self.read(&mut context).await else {
                return End::Closed;
            };
            let end = match message {
                PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                    context.awaiting_frontend_ssl = false;
                    None
                }
                PgWireFrontendMessage::SslNegotiation(_) => {
                    self.write(&[messages::refuse_ssl()]).await
                }
                PgWireFrontendMessage::Startup(_) => {
                    context.awaiting_frontend_startup = false;
                    self.handle_startup().await
                }
                PgWireFrontendMessage::Query(query) => self.handle_query(&query.query).await,
                PgWireFrontendMessage::Terminate(_) => Some(End::Closed),
                _ => {
                    let error = messages::error("0A000", "not spoken by this stand-in");
                    self.write_ready(vec![error]).await
                }
            };
            if let Some(end) = end {
                return end;
            }
        }
    }

    /// The next message; none where the connection ends or has been idle for too long.
    async fn read(&mut self, context: &mut DecodeContext) -> Option<PgWireFrontendMessage> {
        let idle = Duration::from_secs_f64(self.environment.scenario().world.hosts.idle_close_s);
        loop {
            match PgWireFrontendMessage::decode(&mut self.input, context) {
                Ok(Some(message)) => return Some(message),
                Ok(None) => {}
                Err(_) => return None,
            }
            if self.input.len() > MAX_MESSAGE_BYTES {
                return None;
            }
            match timeout(idle, self.stream.read_buf(&mut self.input)).await {
                Ok(Ok(length)) if length > 0 => {}
                _ => return None,
            }
        }
    }

    /// Writes messages: the connection's end where that fails.
    async fn write(&mut self, messages: &[PgWireBackendMessage]) -> Option<End> {
        let mut output = BytesMut::new();
        let encoded = messages.iter().all(|m| m.encode(&mut output).is_ok());
        let written = encoded && self.stream.write_all(&output).await.is_ok();
        (!written).then_some(End::Closed)
    }

    /// Writes messages and `ReadyForQuery`.
    async fn write_ready(&mut self, mut messages: Vec<PgWireBackendMessage>) -> Option<End> {
        messages.push(messages::ready_for_query());
        self.write(&messages).await
    }

    /// Sends nothing more, until the other side closes the connection.
    async fn stay_silent(&mut self) -> End {
        let mut rest = [0; 256];
        while matches!(self.stream.read(&mut rest).await, Ok(length) if length > 0) {}
        End::Closed
    }

    async fn handle_startup(&mut self) -> Option<End> {
        let (ticket, reply) = self.environment.ticket();
        self.environment
            .collector
            .borrow_mut()
            .connection(self.environment.now());
        let (gateway, host) = (self.gateway, self.host);
        let delivery = self
            .environment
            .with(|fleet, now| fleet.connect(now, gateway, host, ticket));
        match delivery {
            Delivery::Accepted => self.counted = true,
            Delivery::NoResponse => return Some(self.stay_silent().await),
            Delivery::Reset => {
                let error = messages::error("53300", "too many connections");
                self.write_ready(vec![error]).await;
                return Some(End::Closed);
            }
        }
        if !matches!(reply.await, Ok(HostReply::Connected)) {
            return Some(End::Reset);
        }
        self.write_ready(vec![
            messages::authentication_ok(),
            messages::parameter_status("server_version", "16.0"),
            messages::parameter_status("client_encoding", "UTF8"),
        ])
        .await
    }

    async fn handle_query(&mut self, text: &str) -> Option<End> {
        let statement = text.trim().trim_end_matches(';').trim();
        let command = statement
            .split_ascii_whitespace()
            .next()
            .unwrap_or("")
            .to_ascii_uppercase();
        match (statement, command.as_str()) {
            ("", _) => self.write_ready(vec![messages::empty_query()]).await,
            ("SELECT 1" | "SHOW usage", _) => self.handle_health_check(statement).await,
            (_, "SET" | "RESET" | "DISCARD") => {
                let complete = messages::command_complete(&command);
                self.write_ready(vec![complete]).await
            }
            _ => self.handle_statement(text).await,
        }
    }

    async fn handle_health_check(&mut self, statement: &str) -> Option<End> {
        let (gateway, host) = (self.gateway, self.host);
        let result = self
            .environment
            .with(|fleet, now| fleet.probe(now, gateway, host));
        self.environment
            .collector
            .borrow_mut()
            .health_check(self.environment.now());
        let row = match result {
            ProbeResult::NoResponse => return Some(self.stay_silent().await),
            ProbeResult::Refused => return Some(End::Reset),
            ProbeResult::Report(_) if statement == "SELECT 1" => messages::row("1"),
            ProbeResult::Report(report) => {
                let position_ms = report.position / MS;
                let (seconds, millis) = (position_ms / 1000, position_ms % 1000);
                let (primary, utilization) = (u8::from(report.primary), report.util);
                messages::row(&format!(
                    "x0={seconds}.{millis:03},x1={primary},util={utilization:.3}"
                ))
            }
        };
        self.write_ready(row).await
    }

    async fn handle_statement(&mut self, text: &str) -> Option<End> {
        let fields = comment_fields(text);
        let id = fields.get("id").copied().unwrap_or_default().to_string();
        let client = self.environment.statements.borrow().get(&id).copied();
        let client = client.filter(|c| matches_client(&fields, c, &self.environment));
        let Some(client) = client else {
            // Nobody has asked for this, or not in these words: the gateway made it up or spoilt it.
            self.environment.collector.borrow_mut().malformed += 1;
            let error = messages::error("08P01", "no client sent a statement in this form");
            return self.write_ready(vec![error]).await;
        };
        let is_copy = !self.environment.in_flight.borrow_mut().insert(id.clone());
        let end = self.execute(&id, &client, is_copy).await;
        self.environment.in_flight.borrow_mut().remove(&id);
        end
    }

    /// Hands a statement to the host, and answers it.
    async fn execute(&mut self, id: &str, client: &ClientStatement, is_copy: bool) -> Option<End> {
        let (ticket, reply) = self.environment.ticket();
        let (gateway, host, epoch) = (self.gateway, self.host, self.epoch);
        let delivery = self.environment.with(|fleet, now| {
            self.environment
                .collector
                .borrow_mut()
                .attempt(now, is_copy);
            let query = Query {
                ticket,
                gateway,
                class: client.class,
                work: client.work,
                key: client.key,
                mark: client.mark,
                sent: now,
                arrived: client.sent,
            };
            fleet.query(now, host, epoch, query)
        });
        match delivery {
            Delivery::Reset => return Some(End::Reset),
            Delivery::NoResponse => return Some(self.stay_silent().await),
            Delivery::Accepted => {}
        }
        let mut rest = [0; 1];
        let reply = tokio::select! {
            reply = reply => reply,
            // The gateway has given up. That stops nothing at the host.
            _ = self.stream.read(&mut rest) => return Some(End::Closed),
        };
        match reply {
            Ok(HostReply::Answer(answer)) => self.answer(id, client.key, answer).await,
            _ => Some(End::Reset),
        }
    }

    async fn answer(&mut self, id: &str, key: Option<u64>, reply: HostAnswer) -> Option<End> {
        let HostAnswer {
            answer,
            status,
            work,
        } = reply;
        let reaches_gateway = self
            .environment
            .fleet
            .borrow()
            .reaches(self.gateway, self.host);
        let client_waits = self
            .environment
            .statements
            .borrow()
            .get(id)
            .is_some_and(|statement| statement.open);
        let useful = answer == Answer::Row && reaches_gateway && client_waits;
        self.environment.collector.borrow_mut().worked(work, useful);
        if !reaches_gateway {
            return Some(self.stay_silent().await);
        }
        let mut output = match answer {
            Answer::Row => messages::row(&payload(id)),
            Answer::Error => vec![messages::error("XX000", "it may have run")],
            Answer::Full => vec![messages::error("53300", "turned away")],
            Answer::Miss if key.is_some() => vec![messages::error("25006", "no primary")],
            Answer::Miss => vec![messages::error("72000", "too far behind")],
        };
        let role = if status.primary { "writer" } else { "reader" };
        output.push(messages::parameter_status("server_role", role));
        if answer == Answer::Row && key.is_some() {
            let commit_ms = (status.position + MS - 1) / MS;
            let commit_clock = commit_ms.to_string();
            output.push(messages::parameter_status("commit_clock", &commit_clock));
        }
        self.write_ready(output).await
    }
}
