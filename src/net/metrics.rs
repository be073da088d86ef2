//! Counters of requests, connections and datagrams, printed on SIGUSR1 and at exit.
//!
//! The counters are grouped by subsystem. Those of the cluster's subsystems are printed only if at least one of them is
//! not 0.

use irisrouter::routing::Outcome;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// A count since the start of the process. It is a `Cell` because all tasks share the counters on one thread.
pub type Counter = Cell<u64>;

/// Adds one to a counter.
pub fn increment(counter: &Counter) {
    counter.set(counter.get() + 1);
}

/// A largest value since the start of the process.
pub type Maximum = Cell<u64>;

/// Records a duration in microseconds if it is the longest one so far.
pub fn record_max(longest_us: &Maximum, duration: Duration) {
    let microseconds = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    longest_us.set(longest_us.get().max(microseconds));
}

/// Requests and their final answers.
#[derive(Default)]
pub struct RequestMetrics {
    /// Requests received.
    pub received: Counter,
    /// Requests answered with a row from a database host.
    pub served: Counter,
    /// Served requests whose streamed answer ended before it was complete.
    pub truncated: Counter,
    /// Requests answered with a rejection: a retry is harmless.
    pub rejected: Counter,
    /// Requests answered with a failure: it is unknown whether they ran.
    pub failed: Counter,
    /// Requests whose client disconnected or cancelled before the answer.
    pub client_gone: Counter,
    /// Malformed statements and protocol violations.
    pub malformed: Counter,
    /// Queries whose deadline, set by the client or by a shutdown, had passed when the queries before them on the same
    /// connection had been answered.
    pub expired: Counter,
    /// Queries rejected before they became requests, because no memory was left for them.
    pub no_memory: Counter,
    /// Failed requests for which the router made no decision in time, including those that a shutdown left no time.
    pub undecided: Counter,
    /// Queries that were read completely but not answered, because the gateway ended their connection.
    pub unanswered: Counter,
}

/// Connections to database hosts (upstream) and of clients (downstream).
#[derive(Default)]
pub struct ConnectionMetrics {
    /// Connections to database hosts that were established.
    pub upstream_opened: Counter,
    /// Client connections accepted.
    pub downstream_accepted: Counter,
    /// Accepted client connections that were rejected because the connection limit was reached.
    pub downstream_rejected: Counter,
    /// Accepted client connections that were closed while quiet so that other clients can connect.
    pub downstream_evicted: Counter,
    /// Number of times that the gateway paused reading from a client because a write to that client took long.
    pub input_paused: Counter,
    /// Number of times that a connection used up a turn, because its client sent faster than the gateway processes.
    pub turns_used_up: Counter,
    /// Number of times that the gateway stopped reading from a client because it owed that client too many answers.
    pub reading_suspended: Counter,
    /// Attempts that were not sent because the gateway could not tell whether their client was still connected.
    pub presence_unknown: Counter,
}

/// The event loop, which runs all tasks.
#[derive(Default)]
pub struct EventLoopMetrics {
    /// Longest delay of a timer, in microseconds.
    pub timer_delay_us: Maximum,
    /// Longest turn of a client connection, in microseconds.
    pub longest_turn_us: Maximum,
}

/// Health check results that gateways share.
#[derive(Default)]
pub struct GossipMetrics {
    /// Datagrams sent to all other gateways.
    pub sent: Counter,
    /// Datagrams from other gateways that were used.
    pub received: Counter,
    /// Datagrams of any kind that were ignored.
    pub ignored: Counter,
}

/// Membership of the gateways.
#[derive(Default)]
pub struct MembershipMetrics {
    /// Datagrams sent.
    pub sent: Counter,
    /// Datagrams received.
    pub received: Counter,
    /// Datagrams that could not be read.
    pub rejected: Counter,
    /// Changes of the membership view.
    pub changed: Counter,
    /// Number of times that this gateway refuted a suspicion that it was down.
    pub refuted: Counter,
}

/// Leases on tasks that one gateway performs for all.
#[derive(Default)]
pub struct LeaseMetrics {
    /// Datagrams sent.
    pub sent: Counter,
    /// Datagrams received.
    pub received: Counter,
    /// Datagrams that could not be read.
    pub rejected: Counter,
    /// Leases that this gateway acquired.
    pub acquired: Counter,
    /// Leases that this gateway lost.
    pub lost: Counter,
    /// Fencing tokens that a database host refused.
    pub fenced: Counter,
}

/// Write intents, replicated to other gateways before a keyed write is forwarded.
#[derive(Default)]
pub struct WriteIntentMetrics {
    /// Datagrams sent.
    pub sent: Counter,
    /// Writes whose intent was acknowledged.
    pub recorded: Counter,
    /// Writes whose intent was not acknowledged in time.
    pub not_recorded: Counter,
    /// Retries whose earlier attempt may have run.
    pub found: Counter,
    /// Retries whose earlier attempts had never been sent to a database host.
    pub never_sent: Counter,
    /// Retries for which the intents did not show whether an earlier attempt may have run.
    pub unproven: Counter,
}

/// Drains of database hosts.
#[derive(Default)]
pub struct DrainMetrics {
    /// Datagrams sent.
    pub sent: Counter,
    /// Drains that this gateway completed as their coordinator.
    pub completed: Counter,
}

/// The watch of the endpoint list that the fleet shares.
#[derive(Default)]
pub struct EndpointWatchMetrics {
    /// Heartbeats sent.
    pub heartbeats: Counter,
    /// Calls made because a heartbeat announced a newer list.
    pub fetches: Counter,
}

/// Plans for lost sites.
#[derive(Default)]
pub struct SiteFailoverMetrics {
    /// Load reports and plans sent.
    pub sent: Counter,
    /// Plans made by this gateway.
    pub planned: Counter,
    /// Plans received.
    pub received: Counter,
}

/// All counters of the process.
#[derive(Default)]
pub struct Metrics {
    /// Requests.
    pub requests: RequestMetrics,
    /// Connections.
    pub connections: ConnectionMetrics,
    /// The event loop.
    pub event_loop: EventLoopMetrics,
    /// Health checks sent to database hosts.
    pub health_checks: Counter,
    /// Shared health check results.
    pub gossip: GossipMetrics,
    /// Membership.
    pub membership: MembershipMetrics,
    /// Leases.
    pub leases: LeaseMetrics,
    /// Write intents.
    pub write_intents: WriteIntentMetrics,
    /// Drains.
    pub drains: DrainMetrics,
    /// The endpoint watch.
    pub endpoint_watch: EndpointWatchMetrics,
    /// Site failover.
    pub site_failover: SiteFailoverMetrics,
    /// Number of ended attempts by the name of their outcome. They are printed in alphabetical order, without those
    /// that never occurred.
    attempts: RefCell<BTreeMap<&'static str, u64>>,
}

impl Metrics {
    /// Counts an attempt that ended.
    pub fn record_attempt(&self, outcome: Outcome) {
        let name = match outcome {
            Outcome::Ok => "ok",
            Outcome::Error => "error",
            Outcome::Full => "full",
            Outcome::TimedOut => "timed_out",
            Outcome::ConnectFailed => "connect_failed",
            Outcome::Reset => "reset",
            Outcome::Cancelled => "cancelled",
            Outcome::NotSent => "not_sent",
            Outcome::Unsuitable => "unsuitable",
        };
        *self.attempts.borrow_mut().entry(name).or_default() += 1;
    }

    /// The counters of every gateway, in the order in which they are printed.
    fn gateway_counters(&self) -> [(&'static str, &Counter); 15] {
        [
            ("received", &self.requests.received),
            ("served", &self.requests.served),
            ("truncated", &self.requests.truncated),
            ("rejected", &self.requests.rejected),
            ("failed", &self.requests.failed),
            ("client_gone", &self.requests.client_gone),
            ("malformed", &self.requests.malformed),
            ("health_checks", &self.health_checks),
            ("gossip_sent", &self.gossip.sent),
            ("gossip_received", &self.gossip.received),
            ("datagrams_ignored", &self.gossip.ignored),
            ("upstream_opened", &self.connections.upstream_opened),
            ("downstream_accepted", &self.connections.downstream_accepted),
            ("downstream_rejected", &self.connections.downstream_rejected),
            ("downstream_evicted", &self.connections.downstream_evicted),
        ]
    }

    /// Counters that are printed only if they are not 0, in the order in which they are printed.
    fn rare_counters(&self) -> [(&'static str, &Counter); 8] {
        [
            ("expired", &self.requests.expired),
            ("no_memory", &self.requests.no_memory),
            ("undecided", &self.requests.undecided),
            ("unanswered", &self.requests.unanswered),
            ("input_paused", &self.connections.input_paused),
            ("turns_used_up", &self.connections.turns_used_up),
            ("reading_suspended", &self.connections.reading_suspended),
            ("presence_unknown", &self.connections.presence_unknown),
        ]
    }

    /// The counters of the cluster's subsystems, in the order in which they are printed.
    fn cluster_counters(&self) -> [(&'static str, &Counter); 24] {
        [
            ("membership_sent", &self.membership.sent),
            ("membership_received", &self.membership.received),
            ("membership_rejected", &self.membership.rejected),
            ("membership_changed", &self.membership.changed),
            ("membership_refuted", &self.membership.refuted),
            ("leases_sent", &self.leases.sent),
            ("leases_received", &self.leases.received),
            ("leases_rejected", &self.leases.rejected),
            ("leases_acquired", &self.leases.acquired),
            ("leases_lost", &self.leases.lost),
            ("leases_fenced", &self.leases.fenced),
            ("write_intents_sent", &self.write_intents.sent),
            ("write_intents_recorded", &self.write_intents.recorded),
            (
                "write_intents_not_recorded",
                &self.write_intents.not_recorded,
            ),
            ("write_intents_found", &self.write_intents.found),
            ("write_intents_never_sent", &self.write_intents.never_sent),
            ("write_intents_unproven", &self.write_intents.unproven),
            ("drains_sent", &self.drains.sent),
            ("drains_completed", &self.drains.completed),
            ("endpoint_watch_heartbeats", &self.endpoint_watch.heartbeats),
            ("endpoint_watch_fetches", &self.endpoint_watch.fetches),
            ("site_failover_sent", &self.site_failover.sent),
            ("site_failover_planned", &self.site_failover.planned),
            ("site_failover_received", &self.site_failover.received),
        ]
    }
}

impl fmt::Display for EventLoopMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (delay, turn) = (self.timer_delay_us.get(), self.longest_turn_us.get());
        write!(
            f,
            "event loop timer_delay_us={delay} longest_turn_us={turn}"
        )
    }
}

impl fmt::Display for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "counters")?;
        for (name, counter) in self.gateway_counters() {
            write!(f, " {name}={}", counter.get())?;
        }
        for (name, counter) in self.rare_counters() {
            if counter.get() > 0 {
                write!(f, " {name}={}", counter.get())?;
            }
        }
        for (name, count) in self.attempts.borrow().iter() {
            write!(f, " attempt_{name}={count}")?;
        }
        let cluster = self.cluster_counters();
        if cluster.iter().all(|(_, counter)| counter.get() == 0) {
            return Ok(());
        }
        for (name, counter) in cluster {
            write!(f, " {name}={}", counter.get())?;
        }
        Ok(())
    }
}
