//! A stand-in database host. It answers health checks, reads and writes, discards a write whose key was applied within
//! the deduplication window, refuses outdated fencing tokens, and records what it received and applied. The link
//! between a gateway and a host can be cut: connections stay open, but statements and answers on them are delayed
//! until the link is restored, as if the machine were cut off.

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

/// Time from a failure to accept a connection until the next attempt.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// A health check that a host received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthCheck {
    /// Time at which it was answered, in milliseconds since the start of the run.
    pub at: u64,
    /// The gateway that sent it.
    pub gateway: usize,
    /// The task and the epoch of the fencing token that it carried, if any.
    pub token: Option<(u64, u64)>,
    /// Whether it was refused because the host had seen a later token of that task.
    pub refused: bool,
}

/// The record of what a host has received and applied.
#[derive(Default)]
pub struct HostRecord {
    /// By key of a write: the times at which it was applied, in milliseconds since the start of the run.
    pub applied: BTreeMap<String, Vec<u64>>,
    /// Statements other than health checks: time of arrival in milliseconds since the start of the run, the gateway,
    /// and the text.
    pub statements: Vec<(u64, usize, String)>,
    /// Health checks, in the order in which they were answered.
    pub health_checks: Vec<HealthCheck>,
    /// By task: the latest epoch that was seen in a fencing token.
    latest_tokens: BTreeMap<u64, u64>,
}

impl HostRecord {
    /// Records a fencing token of a task, and returns whether it is older than one that was seen before.
    pub(super) fn records_outdated_token(&mut self, task: u64, epoch: u64) -> bool {
        let latest = self.latest_tokens.entry(task).or_insert(epoch);
        *latest = epoch.max(*latest);
        epoch < *latest
    }
}

/// The properties of a stand-in host.
#[derive(Debug, Clone)]
pub struct HostSpec {
    /// Id of the host in the endpoint list.
    pub id: String,
    /// The set to which it belongs.
    pub set: u64,
    /// The zone in which it stands.
    pub zone: String,
    /// Whether it is the primary of its set, which accepts writes.
    pub primary: bool,
    /// A write is discarded if its key was applied within this time before it.
    pub deduplication_window: Duration,
}

/// A stand-in host.
pub struct Host {
    /// Id of the host in the endpoint list.
    pub id: String,
    /// The set to which it belongs.
    pub set: u64,
    /// The zone in which it stands.
    pub zone: String,
    /// Whether it is the primary of its set, which accepts writes.
    pub primary: bool,
    /// The addresses at which it listens, one for each gateway.
    pub addresses: Vec<SocketAddr>,
    shared: Arc<SharedHost>,
}

/// The state that a host shares with the tasks of its connections.
pub(super) struct SharedHost {
    pub(super) clock: Clock,
    pub(super) primary: bool,
    /// A write is discarded if its key was applied within this time before it, in milliseconds.
    pub(super) deduplication_window: u64,
    pub(super) record: Mutex<HostRecord>,
    /// Gateways whose link to this host is cut.
    pub(super) cut_off: Mutex<BTreeSet<usize>>,
    /// The capacity; `None` if it is not limited.
    pub(super) capacity: Mutex<Option<Capacity>>,
    pub(super) write_delays: Mutex<WriteDelays>,
    /// Notified to reset the connections that are open.
    pub(super) resets: Notify,
}

/// Delays of the writes at a host.
#[derive(Clone, Copy, Default)]
pub(super) struct WriteDelays {
    /// Time from the receipt of a write until it is applied.
    pub(super) before_apply: Duration,
    /// Time from the application of a write until its answer.
    pub(super) before_answer: Duration,
}

/// The capacity of a host that serves a limited number of requests a second, one after the other.
#[derive(Clone, Copy)]
pub(super) struct Capacity {
    per_s: f64,
    /// Time at which all requests that are queued will be finished.
    free_at: Instant,
    slow_start: Option<SlowStart>,
}

/// Slow start: the period after a restart in which a host's capacity grows linearly to its full capacity.
#[derive(Clone, Copy)]
struct SlowStart {
    started: Instant,
    /// Share of its full capacity at the start of the period, 0 to 1.
    initial_share: f64,
    duration: Duration,
}

impl SlowStart {
    /// The share of its full capacity that the host has at `now`, 0 to 1.
    fn share(&self, now: Instant) -> f64 {
        let elapsed = (now - self.started).as_secs_f64() / self.duration.as_secs_f64();
        self.initial_share + (1.0 - self.initial_share) * elapsed.min(1.0)
    }
}

impl Capacity {
    /// Adds a request to the queue, and returns the time until it is finished.
    pub(super) fn enqueue(&mut self, now: Instant) -> Duration {
        let share = self
            .slow_start
            .map_or(1.0, |slow_start| slow_start.share(now));
        let service_time = Duration::from_secs_f64(1.0 / (self.per_s * share));
        self.free_at = self.free_at.max(now) + service_time;
        self.free_at - now
    }
}

impl Host {
    /// Starts a host that listens at a separate address for each of `gateways` gateways.
    ///
    /// # Errors
    /// A socket cannot be bound.
    pub async fn start(spec: HostSpec, gateways: usize, clock: Clock) -> Result<Self, SocketError> {
        let shared = Arc::new(SharedHost {
            clock,
            primary: spec.primary,
            deduplication_window: as_ms(spec.deduplication_window),
            record: Mutex::default(),
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

    /// Locks the record of what the host has received and applied.
    pub fn record(&self) -> MutexGuard<'_, HostRecord> {
        lock(&self.shared.record)
    }

    /// Cuts the link between a gateway and the host, or restores it if `cut` is `false`.
    pub fn cut(&self, gateway: usize, cut: bool) {
        let mut cut_off = lock(&self.shared.cut_off);
        if cut {
            cut_off.insert(gateway);
        } else {
            cut_off.remove(&gateway);
        }
    }

    /// Sets the delay before a write is applied, and the delay from then until its answer.
    pub fn delay_writes(&self, before_apply: Duration, before_answer: Duration) {
        *lock(&self.shared.write_delays) = WriteDelays {
            before_apply,
            before_answer,
        };
    }

    /// Limits the host's capacity to this number of requests per second from now on.
    pub fn limit_capacity(&self, per_s: f64) {
        *lock(&self.shared.capacity) = Some(Capacity {
            per_s,
            free_at: Instant::now(),
            slow_start: None,
        });
    }

    /// Simulates a restart: the host has this share of its capacity now, which grows linearly to the full capacity over
    /// `duration`. Requests queued before no longer delay new ones. Has no effect on a host without a limit.
    pub fn restart_in_slow_start(&self, initial_share: f64, duration: Duration) {
        if let Some(capacity) = lock(&self.shared.capacity).as_mut() {
            let now = Instant::now();
            capacity.free_at = now;
            capacity.slow_start = Some(SlowStart {
                started: now,
                initial_share,
                duration,
            });
        }
    }

    /// Resets all open connections, both idle ones and those with a statement in flight.
    pub fn reset_connections(&self) {
        self.shared.resets.notify_waiters();
    }

    /// Records a fencing token of a task as seen though no gateway has sent it, so that the host refuses older ones.
    pub fn record_token(&self, task: u64, epoch: u64) {
        self.record().records_outdated_token(task, epoch);
    }

    /// The host's entry in the endpoint list of a gateway.
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

/// Accepts the connections of a gateway in an endless loop, and starts a task for each.
async fn accept(host: Arc<SharedHost>, listener: TcpListener, gateway: usize) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve(Arc::clone(&host), stream, gateway))),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await,
        }
    }
}
