//! Site load reports, which each gateway sends to the planner, and their sums over all gateways.
//!
//! A report contains the number of requests that arrived at its gateway, by class. For each site it
//! contains the number of hosts for which the gateway has a recent result, the number of silent
//! ones among them, and the numbers of requests sent and answered. Hosts are counted and not
//! identified, because a plan needs only sums over gateways. A gateway with a bad link affects the
//! sums only by the hosts that it observes itself.

use crate::{SiteIndex, SiteObservation};
use irisrouter_cluster_types::{GatewayId, Milliseconds, Timestamp};
use std::collections::BTreeMap;

const MS_PER_S: f64 = 1_000.0;

/// Observations of one site by one gateway since its last report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SiteReachability {
    /// Number of hosts that recently answered, or failed to answer, a request or a health check.
    pub hosts: u16,
    /// Number of silent hosts among `hosts`.
    pub silent: u16,
    /// Number of requests sent to the site that have ended.
    pub sent: u16,
    /// Number of requests in `sent` that the site's hosts answered.
    pub answered: u16,
}

/// Load report of one gateway.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SiteLoadReport {
    /// Site of the gateway.
    pub site: SiteIndex,
    /// Period that the report covers, at most [`SiteLoadReport::MAX_PERIOD`].
    pub period: Milliseconds,
    /// Number of requests that arrived at the gateway during the period, by the class's index.
    pub arrived: Vec<u16>,
    /// Observations of each site, by the site's index.
    pub sites: Vec<SiteReachability>,
}

impl SiteLoadReport {
    /// Maximum period that a report can carry.
    pub const MAX_PERIOD: Milliseconds = Milliseconds(u16::MAX as u64);

    /// Converts a number of requests during the report's period to requests per second.
    fn rate_per_s(&self, count: u16) -> f64 {
        f64::from(count) * MS_PER_S / self.period.0.max(1) as f64
    }

    /// Returns the requests of all classes that arrived at the gateway, per second.
    fn load_per_s(&self) -> f64 {
        self.arrived
            .iter()
            .map(|&count| self.rate_per_s(count))
            .sum()
    }
}

/// Load report, with the time at which it was received.
#[derive(Debug, Clone)]
struct ReceivedReport {
    received_at: Timestamp,
    report: SiteLoadReport,
}

/// Latest load report of each gateway.
#[derive(Debug, Clone, Default)]
pub struct SiteLoadReports {
    by_gateway: BTreeMap<GatewayId, ReceivedReport>,
}

impl SiteLoadReports {
    /// Records the report of a gateway, in place of its earlier one. A report with a period of zero
    /// is ignored, because no rate can be computed from it.
    pub fn record(&mut self, now: Timestamp, gateway: GatewayId, report: SiteLoadReport) {
        if report.period > Milliseconds::ZERO {
            let received = ReceivedReport {
                received_at: now,
                report,
            };
            self.by_gateway.insert(gateway, received);
        }
    }

    /// Removes the reports received before this time.
    pub fn remove_before(&mut self, time: Timestamp) {
        self.by_gateway
            .retain(|_, received| received.received_at >= time);
    }

    /// Returns the number of gateways for which there is a report.
    #[must_use]
    pub fn gateway_count(&self) -> usize {
        self.by_gateway.len()
    }

    /// Returns the observation of each site, summed over all gateways. `capacities_per_s` contains
    /// the capacity of each site when none of its hosts is in slow start.
    #[must_use]
    pub fn observe_sites(&self, capacities_per_s: &[f64]) -> Vec<SiteObservation> {
        let sites = capacities_per_s.iter().enumerate();
        sites
            .map(|(site, &capacity_per_s)| self.observe_site(SiteIndex(site), capacity_per_s))
            .collect()
    }

    fn observe_site(&self, site: SiteIndex, capacity_per_s: f64) -> SiteObservation {
        let sent = self.sum_over_gateways(site, |reachability| reachability.sent);
        let answered = self.sum_over_gateways(site, |reachability| reachability.answered);
        let own_reports = self.reports().filter(|report| report.site == site);
        let answered_share = if sent == 0 {
            1.0
        } else {
            f64::from(answered) / f64::from(sent)
        };
        SiteObservation {
            hosts: self.sum_over_gateways(site, |reachability| reachability.hosts),
            silent_hosts: self.sum_over_gateways(site, |reachability| reachability.silent),
            capacity_per_s,
            load_per_s: own_reports.map(SiteLoadReport::load_per_s).sum(),
            answered_share,
        }
    }

    /// Returns the requests per second of each of the first `class_count` classes, summed over all
    /// gateways.
    #[must_use]
    pub fn class_rates(&self, class_count: usize) -> Vec<f64> {
        (0..class_count)
            .map(|class| {
                self.reports()
                    .filter_map(|report| Some(report.rate_per_s(*report.arrived.get(class)?)))
                    .sum()
            })
            .collect()
    }

    fn reports(&self) -> impl Iterator<Item = &SiteLoadReport> {
        self.by_gateway.values().map(|received| &received.report)
    }

    fn sum_over_gateways(&self, site: SiteIndex, count: fn(&SiteReachability) -> u16) -> u32 {
        self.reports()
            .filter_map(|report| report.sites.get(site.0))
            .map(|reachability| u32::from(count(reachability)))
            .sum()
    }
}
