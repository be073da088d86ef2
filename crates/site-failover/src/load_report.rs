//! Site load reports: what each gateway sends to the planner, and their sums over all gateways.
//!
//! A report carries the requests that arrived at its gateway by class, and for each site the hosts
//! that the gateway observed lately, how many of those are silent, and how many requests it sent
//! there and got answered. Hosts are counted and not named: a plan needs only sums over gateways,
//! and a gateway with a bad link weighs no more than what it observes.

use crate::{SiteIndex, SiteObservation};
use irisrouter_cluster_types::{GatewayId, Milliseconds, Timestamp};
use std::collections::BTreeMap;

const MS_PER_S: f64 = 1_000.0;

/// What a gateway observed of one site since its last report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SiteReachability {
    /// Hosts that answered or failed lately.
    pub hosts: u16,
    /// Of those, the silent ones.
    pub silent: u16,
    /// Requests sent to the site that ended.
    pub sent: u16,
    /// Of those, the ones that the site's hosts answered.
    pub answered: u16,
}

/// The load report of one gateway.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SiteLoadReport {
    /// The gateway's own site.
    pub site: SiteIndex,
    /// The period that the report covers, at most [`SiteLoadReport::MAX_PERIOD`].
    pub period: Milliseconds,
    /// Requests that arrived at the gateway during the period, by class.
    pub arrived: Vec<u16>,
    /// What the gateway observed of each site, by the site's index.
    pub sites: Vec<SiteReachability>,
}

impl SiteLoadReport {
    /// The longest period that a report can state.
    pub const MAX_PERIOD: Milliseconds = Milliseconds(u16::MAX as u64);

    /// Converts a count of the report's period to requests per second.
    fn rate_per_s(&self, count: u16) -> f64 {
        f64::from(count) * MS_PER_S / self.period.0.max(1) as f64
    }

    /// All requests that arrived at the gateway, per second.
    fn load_per_s(&self) -> f64 {
        self.arrived
            .iter()
            .map(|&count| self.rate_per_s(count))
            .sum()
    }
}

/// A load report, and when it was received.
#[derive(Debug, Clone)]
struct ReceivedReport {
    received_at: Timestamp,
    report: SiteLoadReport,
}

/// The latest load report of each gateway.
#[derive(Debug, Clone, Default)]
pub struct SiteLoadReports {
    by_gateway: BTreeMap<GatewayId, ReceivedReport>,
}

impl SiteLoadReports {
    /// Records the report of a gateway, in place of its earlier one. A report that covers no time
    /// is ignored.
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

    /// The number of gateways that have a report.
    #[must_use]
    pub fn gateway_count(&self) -> usize {
        self.by_gateway.len()
    }

    /// What all gateways together observe of each site. `capacities_per_s` are the capacities of
    /// the sites with warm hosts.
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

    /// The requests per second of each class over all gateways, for this many classes.
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
