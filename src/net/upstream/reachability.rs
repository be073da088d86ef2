//! Which hosts answer, from the results of requests and health checks: what site failover decides on.

use crate::net::upstream::host::Host;
use crate::net::upstream::registry::Upstream;
use irisrouter::routing::{MemberId, Outcome};
use irisrouter_site_failover::load_report::SiteReachability;
use std::time::Duration;
use tokio::time::Instant;

/// A result that is older than this says nothing of a host any more.
const RESULT_MAX_AGE: Duration = Duration::from_secs(2);
/// A host is silent after this many failures in a row: a single one may be a lost connection.
const SILENT_AFTER_FAILURES: u32 = 2;

/// What was sent to a host.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum SentKind {
    /// An attempt of a client's request.
    Request,
    /// A health check.
    HealthCheck,
}

/// Recent results of a host.
#[derive(Default)]
pub(super) struct HostReachability {
    /// When it last answered or failed.
    last_result_at: Option<Instant>,
    /// Failures since it last answered.
    consecutive_failures: u32,
    /// Requests that ended since the last report.
    sent: u16,
    /// Of those, the ones that it answered.
    answered: u16,
}

/// What a result says of a host.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// It served the request, or said why it can't.
    Served,
    /// It answered with an error.
    Answered,
    /// It did not answer.
    Silent,
}

impl Evidence {
    /// What an outcome says of the host; `None` where it says nothing.
    fn of(outcome: Outcome) -> Option<Self> {
        match outcome {
            Outcome::Ok | Outcome::Unsuitable => Some(Evidence::Served),
            Outcome::Error | Outcome::Full => Some(Evidence::Answered),
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => Some(Evidence::Silent),
            Outcome::Cancelled | Outcome::NotSent => None,
        }
    }
}

impl HostReachability {
    fn record(&mut self, evidence: Evidence, sent: SentKind) {
        self.last_result_at = Some(Instant::now());
        self.consecutive_failures = match evidence {
            Evidence::Served | Evidence::Answered => 0,
            Evidence::Silent => self.consecutive_failures.saturating_add(1),
        };
        if sent == SentKind::Request {
            let served = evidence == Evidence::Served;
            self.sent = self.sent.saturating_add(1);
            self.answered = self.answered.saturating_add(u16::from(served));
        }
    }
}

impl Host {
    /// Adds its results since the last report to the report of its zone.
    fn take_reachability(&mut self, report: &mut SiteReachability) {
        let sent = std::mem::take(&mut self.reachability.sent);
        let answered = std::mem::take(&mut self.reachability.answered);
        report.sent = report.sent.saturating_add(sent);
        report.answered = report.answered.saturating_add(answered);
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
    /// From now on results are kept for reachability reports.
    pub fn enable_reachability_reports(&self) {
        self.reachability_enabled.set(true);
    }

    /// An attempt or a health check ended.
    pub(super) fn record_result(&self, member: MemberId, outcome: Outcome, sent: SentKind) {
        if !self.reachability_enabled.get() {
            return;
        }
        let mut registry = self.registry.borrow_mut();
        let host = registry.hosts.get_mut(member);
        if let Some((host, evidence)) = host.zip(Evidence::of(outcome)) {
            host.reachability.record(evidence, sent);
        }
    }

    /// The results of the hosts in each of these zones since this was last called.
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
