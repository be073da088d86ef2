//! Which hosts answer, according to the results of requests and health checks. Site failover decides on this basis.

use crate::net::upstream::host::Host;
use crate::net::upstream::registry::Upstream;
use irisrouter::routing::{MemberId, Outcome};
use irisrouter_site_failover::load_report::SiteReachability;
use std::time::Duration;
use tokio::time::Instant;

/// Age from which on a host's last result is no longer taken into account.
const RESULT_MAX_AGE: Duration = Duration::from_secs(2);
/// Number of consecutive failures after which a host counts as silent. A single failure may be just a lost connection.
const SILENT_AFTER_FAILURES: u32 = 2;

/// Kind of message that was sent to a host.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ExchangeKind {
    /// An attempt of a client's request.
    Request,
    /// A health check.
    HealthCheck,
}

/// Recent results of requests and health checks at a host.
#[derive(Default)]
pub(super) struct HostReachability {
    /// Time of the last result, whether an answer or a failure.
    last_result_at: Option<Instant>,
    /// Number of failures since the last answer.
    consecutive_failures: u32,
    /// Number of requests that have ended since the last report.
    requests_sent: u16,
    /// Number of requests in `requests_sent` that the host served, or refused as unsuitable.
    requests_served: u16,
}

/// What a result says about the reachability of a host.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// The host served the request, or reported that it is unsuitable for it.
    Served,
    /// The host answered with another error.
    ErrorReply,
    /// The host did not answer.
    NoReply,
}

impl Evidence {
    /// Returns what an outcome says about the host; `None` if it says nothing.
    fn from_outcome(outcome: Outcome) -> Option<Self> {
        match outcome {
            Outcome::Ok | Outcome::Unsuitable => Some(Evidence::Served),
            Outcome::Error | Outcome::Full => Some(Evidence::ErrorReply),
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => Some(Evidence::NoReply),
            Outcome::Cancelled | Outcome::NotSent => None,
        }
    }
}

impl HostReachability {
    fn record(&mut self, evidence: Evidence, kind: ExchangeKind) {
        self.last_result_at = Some(Instant::now());
        self.consecutive_failures = match evidence {
            Evidence::Served | Evidence::ErrorReply => 0,
            Evidence::NoReply => self.consecutive_failures.saturating_add(1),
        };
        if kind == ExchangeKind::Request {
            let served = evidence == Evidence::Served;
            self.requests_sent = self.requests_sent.saturating_add(1);
            self.requests_served = self.requests_served.saturating_add(u16::from(served));
        }
    }
}

impl Host {
    /// Adds the host's results since the last report to the report of its zone, and resets its counts.
    fn take_reachability(&mut self, report: &mut SiteReachability) {
        let requests_sent = std::mem::take(&mut self.reachability.requests_sent);
        let requests_served = std::mem::take(&mut self.reachability.requests_served);
        report.sent = report.sent.saturating_add(requests_sent);
        report.answered = report.answered.saturating_add(requests_served);
        let last_result_at = self.reachability.last_result_at;
        let is_recent = last_result_at.is_some_and(|at| at.elapsed() < RESULT_MAX_AGE);
        if self.in_service() && is_recent {
            let silent = self.reachability.consecutive_failures >= SILENT_AFTER_FAILURES;
            report.hosts = report.hosts.saturating_add(1);
            report.silent = report.silent.saturating_add(u16::from(silent));
        }
    }
}

impl Upstream {
    /// Enables reachability reports: results are recorded from now on.
    pub fn enable_reachability_reports(&self) {
        self.reachability_enabled.set(true);
    }

    /// Records the outcome of an attempt or a health check, if reachability reports are enabled.
    pub(super) fn record_result(&self, member: MemberId, outcome: Outcome, kind: ExchangeKind) {
        if !self.reachability_enabled.get() {
            return;
        }
        let mut registry = self.registry.borrow_mut();
        let host = registry.hosts.get_mut(member);
        if let Some((host, evidence)) = host.zip(Evidence::from_outcome(outcome)) {
            host.reachability.record(evidence, kind);
        }
    }

    /// Returns a reachability report for each of these zones, with the requests since the previous call.
    pub fn take_reachability(&self, zones: &[String]) -> Vec<SiteReachability> {
        let mut reports = vec![SiteReachability::default(); zones.len()];
        for host in self.registry.borrow_mut().hosts.values_mut() {
            let zone = zones.iter().position(|zone| *zone == host.entry.locality);
            if let Some(zone) = zone {
                host.take_reachability(&mut reports[zone]);
            }
        }
        reports
    }
}
