//! A stand-in database host: it answers health checks, reads and writes, discards a repeated key within the window,
//! refuses an old fencing token, and records what it was sent and what it applied. Links between a gateway and a host can
//! be cut: what is under way stands still, as when a machine is cut off.

use super::host_connection::serve;
use super::lock;
use crate::cluster::clock::as_ms;
use crate::cluster::Clock;
use crate::sockets::{self, SocketError};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Between two attempts to accept a connection, where one has failed.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// A health check that a host was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// When, in milliseconds since the start of the run.
    pub at: u64,
    /// The gateway that sent it.
    pub gateway: usize,
    /// The task and the fencing token that it carried.
    pub token: Option<(u64, u64)>,
    /// Whether it was refused, as a later token of that task had been seen.
    pub refused: bool,
}

/// What a host has been sent.
#[derive(Default)]
pub struct Seen {
    /// By key: the time of each application, in milliseconds since the start of the run.
    pub applied: BTreeMap<String, Vec<u64>>,
    /// Statements taken: when, in milliseconds since the start of the run, by which gateway, and the text.
    pub statements: Vec<(u64, usize, String)>,
    /// Health checks.
    pub probes: Vec<Probe>,
    /// By task: the latest fencing token.
    latest_tokens: BTreeMap<u64, u64>,
}

impl Seen {
    /// Takes a fencing token of a task: whether it is older than one that was seen before.
    pub(super) fn is_outdated(&mut self, task: u64, epoch: u64) -> bool {
        let latest = self.latest_tokens.entry(task).or_insert(epoch);
        *latest = epoch.max(*latest);
        epoch < *latest
    }
}

/// What a host is.
#[derive(Debug, Clone)]
pub struct HostSpec {
    /// Its id in the list.
    pub id: String,
    /// Its set.
    pub set: u64,
    /// Its zone.
    pub zone: String,
    /// Whether it takes writes.
    pub primary: bool,
    /// A repeat of a key is discarded within this time of its last application.
    pub deduplication_window: Duration,
}

/// A stand-in host.
pub struct Host {
    /// Its id in the list.
    pub id: String,
    /// Its set.
    pub set: u64,
    /// Its zone.
    pub zone: String,
    /// Whether it takes writes.
    pub primary: bool,
    /// Its addresses, one for each gateway.
    pub addresses: Vec<SocketAddr>,
    shared: Arc<SharedHost>,
}

/// What a host shares with its connections.
pub(super) struct SharedHost {
    pub(super) clock: Clock,
    pub(super) primary: bool,
    /// In milliseconds.
    pub(super) deduplication_window: u64,
    pub(super) seen: Mutex<Seen>,
    /// Gateways cut off from this host.
    pub(super) cut_off: Mutex<BTreeSet<usize>>,
    /// How much it can do, where that is limited.
    pub(super) capacity: Mutex<Option<Capacity>>,
    pub(super) write_delays: Mutex<WriteDelays>,
    /// Notified to reset the connections that are open.
    pub(super) resets: Notify,
}

/// How long writes take.
#[derive(Clone, Copy, Default)]
pub(super) struct WriteDelays {
    /// From the statement until it is applied.
    pub(super) before_apply: Duration,
    /// From then until the answer.
    pub(super) before_answer: Duration,
}

/// The capacity of a host that serves a limited number of requests a second, one after the other.
#[derive(Clone, Copy)]
pub(super) struct Capacity {
    per_s: f64,
    /// When it is through with what it has.
    free_at: Instant,
    warm_up: Option<WarmUp>,
}

/// The time after a cold start, in which a host's capacity grows linearly to its whole.
#[derive(Clone, Copy)]
struct WarmUp {
    started: Instant,
    /// The share of its capacity at the start, 0 to 1.
    initial_share: f64,
    duration: Duration,
}

impl WarmUp {
    /// The share of the whole capacity at `now`, 0 to 1.
    fn share(&self, now: Instant) -> f64 {
        let elapsed = (now - self.started).as_secs_f64() / self.duration.as_secs_f64();
        self.initial_share + (1.0 - self.initial_share) * elapsed.min(1.0)
    }
}

impl Capacity {
    /// Takes one more request: how long until it is done.
    pub(super) fn enqueue(&mut self, now: Instant) -> Duration {
        let share = self.warm_up.map_or(1.0, |warm_up| warm_up.share(now));
        let service_time = Duration::from_secs_f64(1.0 / (self.per_s * share));
        self.free_at = self.free_at.max(now) + service_time;
        self.free_at - now
    }
}

impl Host {
    /// Starts a host that each of `gateways` gateways reaches at an address of its own.
    ///
    /// # Errors
    /// There are no sockets.
    pub async fn start(spec: HostSpec, gateways: usize, clock: Clock) -> Result<Self, SocketError> {
        let shared = Arc::new(SharedHost {
            clock,
            primary: spec.primary,
            deduplication_window: as_ms(spec.deduplication_window),
            seen: Mutex::default(),
            cut_off: Mutex::default(),
            capacity: Mutex::default(),
            write_delays: Mutex::default(),
            resets: Notify::new(),
        });
        let mut addresses = Vec::new();
        for gateway in 0..gateways {
            let listener = sockets::listen().await?;
            addresses.push(sockets::listener_address(&listener)?);
            tokio::spawn(accept(Arc::clone(&shared), listener, gateway));
        }
        Ok(Host {
            id: spec.id,
            set: spec.set,
            zone: spec.zone,
            primary: spec.primary,
            addresses,
            shared,
        })
    }

    /// What it has been sent.
    pub fn seen(&self) -> MutexGuard<'_, Seen> {
        lock(&self.shared.seen)
    }

    /// Cuts a gateway off from it, or joins it again.
    pub fn cut(&self, gateway: usize, cut: bool) {
        let mut cut_off = lock(&self.shared.cut_off);
        if cut {
            cut_off.insert(gateway);
        } else {
            cut_off.remove(&gateway);
        }
    }

    /// Sets how long writes take before they are applied, and their answers after that.
    pub fn pace(&self, before_apply: Duration, before_answer: Duration) {
        *lock(&self.shared.write_delays) = WriteDelays {
            before_apply,
            before_answer,
        };
    }

    /// Limits it to this number of requests a second, from now on.
    pub fn limit_capacity(&self, per_s: f64) {
        *lock(&self.shared.capacity) = Some(Capacity {
            per_s,
            free_at: Instant::now(),
            warm_up: None,
        });
    }

    /// Starts it cold now, with this share of its capacity, which grows to the whole over `duration`. The requests that
    /// waited there are gone. A host without a limit stays without one.
    pub fn restart_cold(&self, initial_share: f64, duration: Duration) {
        if let Some(capacity) = lock(&self.shared.capacity).as_mut() {
            let now = Instant::now();
            capacity.free_at = now;
            capacity.warm_up = Some(WarmUp {
                started: now,
                initial_share,
                duration,
            });
        }
    }

    /// Resets every connection that is open, idle ones and those with a statement under way.
    pub fn reset_connections(&self) {
        self.shared.resets.notify_waiters();
    }

    /// Shows it a fencing token of a task that no gateway has sent.
    pub fn saw(&self, task: u64, epoch: u64) {
        self.seen().is_outdated(task, epoch);
    }

    /// Its entry in the list of one gateway.
    #[must_use]
    pub fn entry(&self, gateway: usize) -> Value {
        json!({
            "id": self.id,
            "host_port": self.addresses[gateway].to_string(),
            "locality": self.zone,
            "flavor": "m",
            "cell": self.set,
            "phase": "in_service",
            "size": 1.0,
            "up_since_ms": 0,
        })
    }
}

/// Serves the connections of a gateway, each by a task of its own, for ever.
async fn accept(host: Arc<SharedHost>, listener: TcpListener, gateway: usize) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve(Arc::clone(&host), stream, gateway))),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await,
        }
    }
}
