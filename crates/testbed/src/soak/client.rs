//! The clients of a soak: what each of them sends, until its gateway is killed.

use super::connection::{ClientConnection, ConnectionState, Pieces};
use super::plan::ClientBehavior;
use super::records::{RequestEnd, RequestRecord, UnfinishedMessage};
use crate::cluster::stand_ins::LONG_READ;
use crate::cluster::Clock;
use irisrouter_simulation::rng::{Rng, Stream};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Behind SIGTERM new connections come for this long, in milliseconds.
const NEW_CONNECTIONS_MS: u64 = 400;
/// Between two tries to connect.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(20);
/// Most time between two requests of a client, in milliseconds.
const MAX_PAUSE_MS: f64 = 40.0;
/// Most time that a client rests, in milliseconds.
const MAX_REST_MS: f64 = 1_500.0;
/// The share of writes among the requests of clients without large values.
const WRITE_SHARE: f64 = 0.3;
/// The share of writes among those of clients with values of their own size.
const LARGE_WRITE_SHARE: f64 = 0.7;
/// The share of reads that are answered with a long value.
const LONG_READ_SHARE: f64 = 0.05;
/// The classes that reads are of.
const READ_CLASSES: [&str; 2] = ["page-read", "report"];
/// The class that writes are of.
const WRITE_CLASS: &str = "count-write";
/// Waits that clients draw from, in milliseconds.
const WAITS_MS: [u64; 5] = [40, 150, 600, 2_000, 6_000];

/// What the clients of a gateway learn of its end from whoever ends it.
#[derive(Default)]
pub(super) struct GatewayFate {
    /// When it was sent SIGTERM; 0 before that.
    pub(super) terminated_at: AtomicU64,
    /// It is being killed: from now on its connections end for that reason.
    pub(super) killed: AtomicBool,
}

/// What the clients of one gateway share.
pub(super) struct GatewayClients {
    pub(super) gateway: usize,
    pub(super) address: SocketAddr,
    pub(super) groups: usize,
    pub(super) clock: Clock,
    pub(super) seed: u64,
    pub(super) fate: Arc<GatewayFate>,
    /// All connections that were opened.
    pub(super) connections: RefCell<Vec<Rc<ConnectionState>>>,
    /// Clients that stopped in the middle of a message, with their connections.
    pub(super) unfinished: RefCell<Vec<(UnfinishedMessage, Rc<ConnectionState>)>>,
}

impl GatewayClients {
    fn may_connect(&self) -> bool {
        let terminated_at = self.fate.terminated_at.load(Ordering::Relaxed);
        let is_over = terminated_at > 0 && self.clock.now() > terminated_at + NEW_CONNECTIONS_MS;
        !is_over && !self.fate.killed.load(Ordering::Relaxed)
    }

    /// Runs a client until its gateway is dead, or no longer reached.
    pub(super) async fn run(self: Rc<Self>, number: usize, behavior: ClientBehavior) {
        let client_seed = self.seed ^ (self.gateway as u64) << 40 ^ (number as u64) << 20;
        let mut client = Client {
            shared: Rc::clone(&self),
            rng: Rng::new(client_seed, Stream::Faults),
            name: format!("{:x}a{number:x}a", self.gateway),
            sequence: 0,
        };
        while self.may_connect() {
            let fate = Arc::clone(&self.fate);
            let opened = ClientConnection::open(self.address, self.clock, fate).await;
            let Some(mut connection) = opened else {
                sleep(RECONNECT_INTERVAL).await;
                continue;
            };
            connection.start_reading();
            let state = Rc::clone(&connection.state);
            self.connections.borrow_mut().push(Rc::clone(&state));
            client.use_connection(connection, behavior).await;
            // Where the connection is still open, the client is the one that ends it.
            state.leave();
        }
    }
}

/// One client.
struct Client {
    shared: Rc<GatewayClients>,
    rng: Rng,
    /// The beginning of its requests' ids.
    name: String,
    sequence: u64,
}

/// A request and its message.
struct Outgoing {
    record: RequestRecord,
    message: Vec<u8>,
}

impl Client {
    async fn use_connection(&mut self, connection: ClientConnection, behavior: ClientBehavior) {
        match behavior {
            ClientBehavior::Sequential => self.pipeline(connection, 1, None, 1).await,
            ClientBehavior::Pipelined { depth, value_bytes } => {
                self.pipeline(connection, depth, Some(value_bytes), 1).await;
            }
            ClientBehavior::SlowWriter { depth } => self.pipeline(connection, depth, None, 4).await,
            ClientBehavior::Leaver {
                requests,
                value_bytes,
                after_ms,
            } => {
                self.send_and_leave(connection, requests, value_bytes, after_ms)
                    .await;
            }
            ClientBehavior::HalfMessage => self.send_half(connection).await,
            ClientBehavior::Resting => self.rest(connection).await,
        }
    }

    /// Keeps up to `depth` requests unanswered until the connection ends.
    async fn pipeline(
        &mut self,
        mut connection: ClientConnection,
        depth: usize,
        value_bytes: Option<usize>,
        pieces: usize,
    ) {
        let state = Rc::clone(&connection.state);
        let pieces = Pieces {
            count: pieces,
            pause: Duration::from_millis(7),
        };
        while !state.is_over() {
            if state.pending() >= depth {
                state.changed.notified().await;
                continue;
            }
            let outgoing = self.next_request(value_bytes);
            connection
                .send(outgoing.record, &outgoing.message, pieces)
                .await;
            let pause = self.rng.between(0.0, MAX_PAUSE_MS) as u64;
            // Pipelined bursts have no pauses within them.
            if depth == 1 || self.rng.chance(0.3) {
                sleep(Duration::from_millis(pause)).await;
            } else {
                tokio::task::yield_now().await;
            }
        }
    }

    async fn send_and_leave(
        &mut self,
        mut connection: ClientConnection,
        requests: usize,
        value_bytes: usize,
        after_ms: u64,
    ) {
        let send_all = async {
            for _ in 0..requests {
                let outgoing = self.next_request(Some(value_bytes));
                connection
                    .send(outgoing.record, &outgoing.message, Pieces::WHOLE)
                    .await;
            }
            sleep(Duration::from_millis(after_ms)).await;
        };
        // A gateway that does not read on must not keep the client from leaving.
        let patience = Duration::from_millis(after_ms + 1_000);
        let _ = tokio::time::timeout(patience, send_all).await;
        connection.state.leave();
        drop(connection);
        sleep(Duration::from_millis(after_ms)).await;
    }

    async fn send_half(&mut self, mut connection: ClientConnection) {
        let state = Rc::clone(&connection.state);
        let first = self.next_request(None);
        connection
            .send(first.record, &first.message, Pieces::WHOLE)
            .await;
        let half = self.next_request(None).message;
        let written =
            tokio::io::AsyncWriteExt::write_all(&mut connection.writer, &half[..half.len() / 2]);
        if written.await.is_err() {
            return;
        }
        let mut stopped_at = self.shared.clock.now();
        while state.pending() > 0 && !state.is_over() {
            state.changed.notified().await;
        }
        stopped_at = stopped_at.max(state.last_answer_at());
        let unfinished = UnfinishedMessage {
            gateway: self.shared.gateway,
            stopped_at,
            ended_at: None,
        };
        let entry = (unfinished, Rc::clone(&state));
        self.shared.unfinished.borrow_mut().push(entry);
        state.over().await;
    }

    async fn rest(&mut self, mut connection: ClientConnection) {
        let state = Rc::clone(&connection.state);
        while !state.is_over() {
            let outgoing = self.next_request(None);
            connection
                .send(outgoing.record, &outgoing.message, Pieces::WHOLE)
                .await;
            let rest = Duration::from_millis(self.rng.between(0.0, MAX_REST_MS) as u64);
            let _ = tokio::time::timeout(rest, state.over()).await;
        }
    }

    /// Draws the next request; with large values they are writes.
    fn next_request(&mut self, value_bytes: Option<usize>) -> Outgoing {
        self.sequence += 1;
        let id = format!("{}{:x}", self.name, self.sequence);
        let group = self.rng.index(self.shared.groups);
        let write_share = value_bytes.map_or(WRITE_SHARE, |_| LARGE_WRITE_SHARE);
        let write = self.rng.chance(write_share);
        let class = if write {
            WRITE_CLASS
        } else {
            READ_CLASSES[self.rng.index(READ_CLASSES.len())]
        };
        // The class's deadline may be shorter: then the answer comes earlier.
        let wait_ms = WAITS_MS[self.rng.index(WAITS_MS.len())];
        let text = if write {
            let value = "0".repeat(value_bytes.unwrap_or(10));
            format!(
                "INSERT INTO entries (ref, payload) VALUES ('{id}', '{value}') RETURNING payload \
                 /* id={id},c={class},d={wait_ms},k={id},cluster={group} */"
            )
        } else {
            let kind = if self.rng.chance(LONG_READ_SHARE) {
                LONG_READ
            } else {
                ""
            };
            format!(
                "SELECT payload FROM entries WHERE ref = '{kind}{id}' \
                 /* id={id},c={class},d={wait_ms},cluster={group} */"
            )
        };
        let body_length = text.len() as u32 + 5;
        let message = [b"Q", &body_length.to_be_bytes()[..], text.as_bytes(), b"\0"].concat();
        let record = RequestRecord {
            id,
            gateway: self.shared.gateway,
            wait_ms,
            write,
            sent_at: 0,
            turn_at: 0,
            end: RequestEnd::Killed,
            ended_at: 0,
        };
        Outgoing { record, message }
    }
}
