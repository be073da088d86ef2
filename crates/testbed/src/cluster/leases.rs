//! Checks the leases of a run against what the database hosts recorded: every task has at most one holder at a time,
//! and no task is left without a holder.
//!
//! A host records each health check with the gateway that sent it and the fencing token that it carried, so the check
//! uses what the hosts received and not what gateways report about themselves:
//!
//! - only one gateway uses an epoch of a task;
//! - the epochs that a host accepted never decrease;
//! - no task is without an accepted health check for longer than the bound.

use super::stand_ins::host::Probe;
use super::Cluster;
use irisrouter_cluster_types::Milliseconds;
use irisrouter_leases::Settings;
use std::collections::BTreeMap;
use std::fmt;

/// The part of a run that is checked for gaps. Times are milliseconds since the start of the run.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Duration of a lease in the run, in milliseconds.
    pub lease_ms: u64,
    /// Start of the checked part.
    pub from: u64,
    /// End of the checked part.
    pub until: u64,
}

/// A violated rule of the leases. Times are milliseconds since the start of the run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseViolation {
    /// Two gateways used one epoch.
    SharedEpoch {
        /// The set.
        set: u64,
        /// The epoch.
        epoch: u64,
        /// The first gateway that used the epoch, and another one that used it.
        gateways: [usize; 2],
    },
    /// A host accepted an epoch after it had seen a later one.
    OlderEpochAccepted {
        /// The set.
        set: u64,
        /// Time at which the host accepted the older epoch.
        at: u64,
        /// The older epoch.
        epoch: u64,
        /// The latest epoch that the host had seen.
        latest: u64,
    },
    /// A set had no accepted health check for longer than the bound.
    Gap {
        /// The set.
        set: u64,
        /// Time between the two accepted health checks, in milliseconds.
        gap_ms: u64,
        /// Time of the health check that ended the gap.
        ended_at: u64,
    },
    /// A set had no accepted health check for longer than the bound at the end of the checked part.
    Abandoned {
        /// The set.
        set: u64,
        /// Time of the last accepted health check, or the start of the checked part.
        since: u64,
    },
}

impl fmt::Display for LeaseViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SharedEpoch {
                set,
                epoch,
                gateways,
            } => write!(
                f,
                "set {set}: epoch {epoch} was used by gateways {gateways:?}"
            ),
            Self::OlderEpochAccepted {
                set,
                at,
                epoch,
                latest,
            } => write!(
                f,
                "set {set}: at {at} ms a host accepted {epoch} after {latest}"
            ),
            Self::Gap {
                set,
                gap_ms,
                ended_at,
            } => write!(
                f,
                "set {set}: no holder for {gap_ms} ms before {ended_at} ms"
            ),
            Self::Abandoned { set, since } => write!(f, "set {set}: no holder since {since} ms"),
        }
    }
}

/// The result of the check.
#[derive(Debug, Clone, Default)]
pub struct LeaseFindings {
    /// The violations that were found.
    pub violations: Vec<LeaseViolation>,
    /// For each change of a task's holder: time between the last health check by the former holder and the first by
    /// the new one, in milliseconds.
    pub takeover_gaps_ms: Vec<u64>,
    /// Number of health checks that hosts refused because they had seen a later token.
    pub refused_health_checks: usize,
}

/// Added to the bound, in milliseconds, because a round of health checks takes a fifth of a second and a busy machine
/// is slower.
const SLACK_MS: u64 = 1_500;

impl Cluster {
    /// The health checks that a set's hosts received, in order of time.
    #[must_use]
    pub fn probes(&self, set: u64) -> Vec<Probe> {
        let hosts = self.hosts.iter().filter(|host| host.set == set);
        let mut probes: Vec<Probe> = hosts.flat_map(|host| host.seen().probes.clone()).collect();
        probes.sort_by_key(|probe| probe.at);
        probes
    }

    /// The gateway that sent the set's last health check that carried a token and was accepted by a host; `None` if
    /// that was more than `within_ms` milliseconds ago.
    #[must_use]
    pub fn prober(&self, set: u64, within_ms: u64) -> Option<usize> {
        let since = self.clock.now().saturating_sub(within_ms);
        let probes = self.probes(set);
        let last = probes.iter().rev().find(|probe| is_accepted(probe))?;
        (last.at >= since).then_some(last.gateway)
    }

    /// Whether each set has had an accepted health check with a token within the last `within_ms` milliseconds.
    #[must_use]
    pub fn every_set_has_holder(&self, within_ms: u64) -> bool {
        (0..self.plan.sets).all(|set| self.prober(set, within_ms).is_some())
    }

    /// The first running gateway whose console reports that it holds the lease on a set.
    #[must_use]
    pub fn owner(&self, set: u64) -> Option<usize> {
        let entry = format!("{set}:");
        let reports_lease = |gateway: &usize| {
            let answer = self.call(*gateway, "duties");
            answer.split(' ').any(|word| word.starts_with(&entry))
        };
        self.running().into_iter().find(reports_lease)
    }
}

/// Returns whether a health check carried a token and was accepted by the host.
pub(super) fn is_accepted(probe: &Probe) -> bool {
    !probe.refused && probe.token.is_some()
}

/// Checks what the hosts of every set recorded.
#[must_use]
pub fn check(cluster: &Cluster, bounds: Bounds) -> LeaseFindings {
    let mut findings = LeaseFindings::default();
    for set in 0..cluster.plan.sets {
        check_epochs(cluster, set, &mut findings);
        check_gaps(cluster, set, bounds, &mut findings);
    }
    findings
}

/// Checks that each epoch of a set was used by only one gateway, and that no host accepted an epoch after a later one.
fn check_epochs(cluster: &Cluster, set: u64, findings: &mut LeaseFindings) {
    let mut holders: BTreeMap<u64, usize> = BTreeMap::new();
    for host in cluster.hosts.iter().filter(|host| host.set == set) {
        let mut latest = 0;
        for probe in &host.seen().probes {
            let Some((_, epoch)) = probe.token else {
                continue;
            };
            let holder = *holders.entry(epoch).or_insert(probe.gateway);
            if holder != probe.gateway {
                findings.violations.push(LeaseViolation::SharedEpoch {
                    set,
                    epoch,
                    gateways: [holder, probe.gateway],
                });
            }
            if probe.refused {
                findings.refused_health_checks += 1;
            } else if epoch < latest {
                findings
                    .violations
                    .push(LeaseViolation::OlderEpochAccepted {
                        set,
                        at: probe.at,
                        epoch,
                        latest,
                    });
            }
            latest = latest.max(epoch);
        }
    }
}

/// Checks that the time between two accepted health checks of a set never exceeded the bound.
fn check_gaps(cluster: &Cluster, set: u64, bounds: Bounds, findings: &mut LeaseFindings) {
    let settings = Settings {
        fleet: cluster.plan.gateways as u32,
        lease_length: Milliseconds(bounds.lease_ms),
    };
    let bound = settings.takeover_bound().0 + SLACK_MS;
    let mut last_at = bounds.from;
    let mut last_holder = None;
    for probe in cluster.probes(set).iter().filter(|p| is_accepted(p)) {
        if !(bounds.from..=bounds.until).contains(&probe.at) {
            continue;
        }
        let gap_ms = probe.at - last_at;
        if gap_ms > bound {
            findings.violations.push(LeaseViolation::Gap {
                set,
                gap_ms,
                ended_at: probe.at,
            });
        }
        if last_holder.is_some_and(|holder| holder != probe.gateway) {
            findings.takeover_gaps_ms.push(gap_ms);
        }
        last_at = probe.at;
        last_holder = Some(probe.gateway);
    }
    if bounds.until.saturating_sub(last_at) > bound {
        let since = last_at;
        findings
            .violations
            .push(LeaseViolation::Abandoned { set, since });
    }
}
