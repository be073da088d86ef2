//! What each gateway tells the planner of sites, and the sum of it.
//!
//! A gateway tells what came to it by class, and of each site the hosts of which it has heard anything lately, how many of
//! those are silent, and what it sent there and was answered. Hosts are counted, not named: sums over gateways are all
//! that a plan needs, and one gateway with a bad link weighs as much as what it sees.

use crate::{Millis, SiteSeen};
use std::collections::BTreeMap;

/// What a gateway saw of one site since its last tally.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SiteReachability {
    /// Hosts of which it heard an answer or a failure lately.
    pub hosts: u16,
    /// Of those, the silent ones.
    pub silent: u16,
    /// Requests sent there that ended.
    pub sent: u16,
    /// Of those, the ones that its hosts answered.
    pub answered: u16,
}

/// What a gateway tells.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SiteLoadReport {
    /// The site where it stands.
    pub site: u8,
    /// The time that it tells of.
    pub period_ms: u16,
    /// Requests that came to it, by class.
    pub arrived: Vec<u16>,
    /// By site.
    pub sites: Vec<SiteReachability>,
}

/// The last tally of each gateway.
#[derive(Debug, Clone, Default)]
pub struct SiteLoadReports {
    by: BTreeMap<u32, (Millis, SiteLoadReport)>,
}

impl SiteLoadReports {
    /// A gateway tells; what it told before is over.
    pub fn heard(&mut self, now: Millis, by: u32, load_report: SiteLoadReport) {
        if load_report.period_ms > 0 {
            self.by.insert(by, (now, load_report));
        }
    }

    /// Forgets gateways that have said nothing since then.
    pub fn forget(&mut self, before: Millis) {
        self.by.retain(|_, (at, _)| *at >= before);
    }

    /// Gateways that told anything.
    #[must_use]
    pub fn gateways(&self) -> usize {
        self.by.len()
    }

    /// All sites, with what their hosts bear when warm.
    #[must_use]
    pub fn seen(&self, capacity: &[f64]) -> Vec<SiteSeen> {
        let site = |(n, &capacity): (usize, &f64)| {
            let reach = || self.by.values().filter_map(move |(_, t)| t.sites.get(n));
            let sum =
                |of: fn(&SiteReachability) -> u16| reach().map(|r| u32::from(of(r))).sum::<u32>();
            let (sent, answered) = (sum(|r| r.sent), sum(|r| r.answered));
            let own = self.by.values().filter(|(_, t)| usize::from(t.site) == n);
            SiteSeen {
                hosts: sum(|r| r.hosts),
                silent: sum(|r| r.silent),
                capacity,
                load: own
                    .map(|(_, t)| t.arrived.iter().map(|&a| rate(a, t)).sum::<f64>())
                    .sum(),
                answered: if sent == 0 {
                    1.0
                } else {
                    f64::from(answered) / f64::from(sent)
                },
            }
        };
        capacity.iter().enumerate().map(site).collect()
    }

    /// The rates of so many classes over all gateways, a second.
    #[must_use]
    pub fn classes(&self, classes: usize) -> Vec<f64> {
        let all = |class: usize| {
            let each = self
                .by
                .values()
                .filter_map(|(_, t)| Some(rate(*t.arrived.get(class)?, t)));
            each.sum()
        };
        (0..classes).map(all).collect()
    }
}

fn rate(count: u16, of: &SiteLoadReport) -> f64 {
    f64::from(count) * 1_000.0 / f64::from(of.period_ms.max(1))
}
