//! Checks the leases of a run against what the database hosts recorded: every task has at most one holder at a time,
//! and no task is left without a holder.
//!
//! A host records each health check with the gateway that sent it and the fencing token that it carried, so the check
//! uses what the hosts received and not what gateways report about themselves:
//!
//! - only one gateway uses an epoch of a task;
//! - the epochs that a host accepted never decrease;
//! - no task is without an accepted health check for longer than the bound.

use super::stand_ins::host::HealthCheck;
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
                "set {set}: at {at} ms a host accepted epoch {epoch} after epoch {latest}"
            ),
            Self::Gap {
                set,
                gap_ms,
                ended_at,
            } => write!(
                f,
                "set {set}: no accepted health check for {gap_ms} ms before {ended_at} ms"
            ),
            Self::Abandoned { set, since } => {
                write!(f, "set {set}: no accepted health check since {since} ms")
            }
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
    pub fn health_checks(&self, set: u64) -> Vec<HealthCheck> {
        let hosts = self.hosts.iter().filter(|host| host.set == set);
        let mut health_checks: Vec<HealthCheck> = hosts
            .flat_map(|host| host.record().health_checks.clone())
            .collect();
        health_checks.sort_by_key(|health_check| health_check.at);
        health_checks
    }

    /// The gateway that sent the set's last health check that carried a token and was accepted by a host; `None` if
    /// that was more than `within_ms` milliseconds ago.
    #[must_use]
    pub fn recent_health_checker(&self, set: u64, within_ms: u64) -> Option<usize> {
        let since = self.clock.now().saturating_sub(within_ms);
        let health_checks = self.health_checks(set);
        let last = health_checks
            .iter()
            .rev()
            .find(|health_check| is_accepted(health_check))?;
        (last.at >= since).then_some(last.gateway)
    }

    /// Whether each set has had an accepted health check with a token within the last `within_ms` milliseconds.
    #[must_use]
    pub fn every_set_has_holder(&self, within_ms: u64) -> bool {
        (0..self.plan.sets).all(|set| self.recent_health_checker(set, within_ms).is_some())
    }

    /// The first running gateway whose console reports that it holds the lease on a set.
    #[must_use]
    pub fn reported_lease_holder(&self, set: u64) -> Option<usize> {
        let entry = format!("{set}:");
        let reports_lease = |gateway: &usize| {
            let answer = self.call(*gateway, "duties");
            answer.split(' ').any(|word| word.starts_with(&entry))
        };
        self.running().into_iter().find(reports_lease)
    }
}

/// Returns whether a health check carried a token and was accepted by the host.
pub(super) fn is_accepted(health_check: &HealthCheck) -> bool {
    !health_check.refused && health_check.token.is_some()
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
        for health_check in &host.record().health_checks {
            let Some((_, epoch)) = health_check.token else {
                continue;
            };
            let holder = *holders.entry(epoch).or_insert(health_check.gateway);
            if holder != health_check.gateway {
                findings.violations.push(LeaseViolation::SharedEpoch {
                    set,
                    epoch,
                    gateways: [holder, health_check.gateway],
                });
            }
            if health_check.refused {
                findings.refused_health_checks += 1;
            } else if epoch < latest {
                findings
                    .violations
                    .push(LeaseViolation::OlderEpochAccepted {
                        set,
                        at: health_check.at,
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
        lease_duration: Milliseconds(bounds.lease_ms),
    };
    let bound = settings.takeover_bound().0 + SLACK_MS;
    let mut last_at = bounds.from;
    let mut last_holder = None;
    for health_check in cluster.health_checks(set).iter().filter(|p| is_accepted(p)) {
        if !(bounds.from..=bounds.until).contains(&health_check.at) {
            continue;
        }
        let gap_ms = health_check.at - last_at;
        if gap_ms > bound {
            findings.violations.push(LeaseViolation::Gap {
                set,
                gap_ms,
                ended_at: health_check.at,
            });
        }
        if last_holder.is_some_and(|holder| holder != health_check.gateway) {
            findings.takeover_gaps_ms.push(gap_ms);
        }
        last_at = health_check.at;
        last_holder = Some(health_check.gateway);
    }
    if bounds.until.saturating_sub(last_at) > bound {
        let since = last_at;
        findings
            .violations
            .push(LeaseViolation::Abandoned { set, since });
    }
}
