//! Counters of what the gateway takes in, sends and answers, printed on SIGUSR1 and at exit.
//!
//! They are grouped by subsystem. The line of the cluster's counters appears only once one of them counts.

use irisrouter::routing::Outcome;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;

/// A count since the start of the process. A cell, as all tasks count on one thread and share the counters.
pub type Counter = Cell<u64>;

/// Adds one to a counter.
pub fn increment(counter: &Counter) {
    counter.set(counter.get() + 1);
}

/// Requests and their final answers.
#[derive(Default)]
pub struct RequestMetrics {
    /// Requests taken.
    pub received: Counter,
    /// Final answers: a row of a database host.
    pub served: Counter,
    /// Of those, the streamed ones that did not become complete.
    pub truncated: Counter,
    /// Final answers: a retry is harmless.
    pub rejected: Counter,
    /// Final answers: whether it ran is unknown.
    pub failed: Counter,
    /// Clients that were gone, or cancelled, before their answer.
    pub client_gone: Counter,
    /// Statements that were malformed, and breaches of the protocol.
    pub malformed: Counter,
    /// Queries whose time was over when the ones before them on their connection had been answered, be it their client's or
    /// that of a shutdown.
    pub expired: Counter,
    /// Queries that were rejected before they were requests, as there was no room for them.
    pub no_memory: Counter,
    /// Of the failed ones, those that the router had not decided on in time: also those that a shutdown leaves no more time.
    pub undecided: Counter,
    /// Queries that were read whole and not answered, as the gateway ended their connection.
    pub unanswered: Counter,
}

/// Connections to database hosts (upstream) and of clients (downstream).
#[derive(Default)]
pub struct ConnectionMetrics {
    /// Connections to database hosts that came up.
    pub upstream_opened: Counter,
    /// Connections of clients.
    pub downstream_accepted: Counter,
    /// Of those, the ones that were told that there are too many.
    pub downstream_rejected: Counter,
    /// Of those, the quiet ones that were closed to make room for others.
    pub downstream_evicted: Counter,
    /// How often the gateway did not read a client for a while, as a write to it took long.
    pub input_paused: Counter,
}

/// Health check results that gateways share.
#[derive(Default)]
pub struct GossipMetrics {
    /// Datagrams sent to all other gateways.
    pub sent: Counter,
    /// Datagrams of other gateways that were used.
    pub received: Counter,
    /// Datagrams of any kind that were not used.
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
    /// Changes of the view.
    pub changed: Counter,
    /// How often this gateway refuted that it was down.
    pub refuted: Counter,
}

/// Leases on tasks that one gateway does for all.
#[derive(Default)]
pub struct LeaseMetrics {
    /// Datagrams sent.
    pub sent: Counter,
    /// Datagrams received.
    pub received: Counter,
    /// Datagrams that could not be read.
    pub rejected: Counter,
    /// Leases that became this gateway's.
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
    /// Retries that had never been sent.
    pub never_sent: Counter,
    /// Retries of which nothing could be proven.
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

/// The fleet's watch of the endpoint list.
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
    /// Plans made here.
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
    /// Attempts that ended, by the name of their outcome: printed in the order of the names, and only those that occurred.
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

    /// Counters that are printed only where they are not 0, in the order in which they are printed.
    fn rare_counters(&self) -> [(&'static str, &Counter); 5] {
        [
            ("expired", &self.requests.expired),
            ("no_memory", &self.requests.no_memory),
            ("undecided", &self.requests.undecided),
            ("unanswered", &self.requests.unanswered),
            ("input_paused", &self.connections.input_paused),
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
