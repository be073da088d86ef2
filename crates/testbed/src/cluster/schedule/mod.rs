//! Draws sequences of faults from a seed, runs them on a cluster, and checks the results. The same seed gives the same
//! sequence, so that a failed one can be run again alone (`irisrouter-testbed cluster --seed N`).
//!
//! These rules must hold for every sequence:
//!
//! - only crashes and partitions cause a gateway to be declared down: a stall shorter than `stall_ms`, a one-way cut,
//!   and loss or delay of datagrams do not;
//! - within the detection bound, all others declare a crashed gateway down, and the two sides of a partition declare
//!   each other down;
//! - after a fault ends, all views agree within the healing bound.

mod fault;
mod injection;
mod summary;
mod violation;

pub use fault::{draw, Fault, FaultKinds};
pub use summary::text;
pub use violation::{FaultError, Observation, ScheduleViolation};

use super::clock::as_ms;
use super::relay::Traffic;
use super::{leases, Cluster, ClusterError, Plan, PATIENCE};
use irisrouter_cluster_types::Milliseconds;
use irisrouter_membership::Settings;
use serde::Serialize;
use std::time::{Duration, Instant};

/// Added to each bound of the membership protocol, in milliseconds, because the processes share a machine.
const SLACK_MS: u64 = 1_000;
/// A set counts as having a lease holder if a health check was accepted within this time, in milliseconds.
const HOLDER_SEEN_WITHIN_MS: u64 = 500;
/// Time between two checks whether every set has a lease holder.
const HOLDER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The result of running one schedule.
#[derive(Debug, Default, Serialize)]
pub struct Verdict {
    /// Seed of the schedule.
    pub seed: u64,
    /// The faults, in order.
    pub faults: Vec<Fault>,
    /// The rules that were violated.
    #[serde(rename = "broken")]
    pub violations: Vec<ScheduleViolation>,
    /// Time from each crash or partition until all required gateways had detected it, in milliseconds.
    #[serde(rename = "seen_ms")]
    pub detection_ms: Vec<u64>,
    /// Time from the end of each fault until all views agreed, in milliseconds.
    #[serde(rename = "healed_ms")]
    pub healing_ms: Vec<u64>,
    /// Time from each crash of a lease holder until a host accepted a health check by another gateway, in milliseconds.
    pub takeover_ms: Vec<u64>,
    /// Number of health checks that hosts refused because of an outdated fencing token.
    #[serde(rename = "fenced")]
    pub fenced_health_checks: usize,
    /// Mean number of datagrams sent per gateway and second over the run.
    #[serde(rename = "datagrams_s")]
    pub datagrams_per_s: f64,
    /// Mean number of bytes sent in datagrams per gateway and second over the run.
    #[serde(rename = "bytes_s")]
    pub bytes_per_s: f64,
}

/// The timing of membership and leases in schedules.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Time between two pings of a gateway, in milliseconds.
    pub ping_period_ms: u64,
    /// Longest stall after which a gateway must not be declared down, in milliseconds.
    pub stall_ms: u64,
    /// Duration of a lease in milliseconds; `None` if leases are off.
    pub lease_ms: Option<u64>,
}

impl Pace {
    /// Five pings per second: a schedule of a few faults takes less than a minute, and the pings of seven gateways on a
    /// machine with four cores are still answered in time while other tests run.
    pub const FAST: Pace = Pace {
        ping_period_ms: 200,
        stall_ms: 3_000,
        lease_ms: None,
    };

    /// The content of the operators' file with this timing.
    #[must_use]
    pub fn operators(&self) -> String {
        let takeover = self.lease_ms.map_or(String::new(), |lease_ms| {
            format!(
                "takeover: {{ enabled: true, lease_ms: {lease_ms}, fence: true, writes: true }},"
            )
        });
        format!(
            "{{ membership: {{ enabled: true, probe_period_ms: {}, stall_ms: {} }}, {takeover} }}\n",
            self.ping_period_ms, self.stall_ms
        )
    }

    /// The settings of the membership core with this timing.
    #[must_use]
    pub fn settings(&self, gateways: usize) -> Settings {
        Settings::with_protocol_period(
            gateways as u32,
            Milliseconds(self.ping_period_ms),
            Milliseconds(self.stall_ms),
        )
    }
}

/// Longest times that a schedule waits for the required effects of a fault.
#[derive(Debug, Clone, Copy)]
struct Bounds {
    /// Time from a fault until it is detected.
    detection: Duration,
    /// Time from the end of a fault until all views agree.
    healing: Duration,
}

impl Bounds {
    fn of(settings: &Settings) -> Self {
        Bounds {
            detection: Duration::from_millis(settings.detection_bound().0 + SLACK_MS),
            healing: Duration::from_millis(settings.heal_bound().0 + SLACK_MS),
        }
    }
}

/// Starts a cluster for this run alone and runs a sequence of faults on it.
///
/// # Errors
/// The cluster cannot be started. A violated rule is not an error: it is in the verdict.
pub fn run(plan: Plan, pace: Pace, faults: Vec<Fault>) -> Result<Verdict, ClusterError> {
    let (gateways, seed) = (plan.gateways, plan.seed);
    let bounds = Bounds::of(&pace.settings(gateways));
    let mut cluster = Cluster::start(plan)?;
    let mut verdict = Verdict {
        seed,
        faults,
        ..Verdict::default()
    };
    if cluster.settle(bounds.healing).is_none() {
        verdict.violations.push(ScheduleViolation::NotSettled);
        return Ok(verdict);
    }
    if pace.lease_ms.is_some() {
        wait_for_lease_holders(&cluster);
    }
    let (started, from) = (Instant::now(), cluster.clock.now());
    cluster.relay.network().sent.fill(Traffic::default());
    for (index, fault) in verdict.faults.clone().into_iter().enumerate() {
        run_fault(&mut cluster, index, &fault, bounds, &mut verdict);
    }
    measure_traffic(&cluster, started.elapsed(), &mut verdict);
    if let Some(lease_ms) = pace.lease_ms {
        check_leases(&cluster, lease_ms, from, &mut verdict);
    }
    if cluster.relay.network().too_long > 0 {
        verdict.violations.push(ScheduleViolation::DatagramTooLong);
    }
    Ok(verdict)
}

/// Waits until every set has a lease holder, or [`PATIENCE`] has passed since the start of the run. A set without a
/// holder is reported later, by the check of the leases.
fn wait_for_lease_holders(cluster: &Cluster) {
    while !cluster.every_set_has_holder(HOLDER_SEEN_WITHIN_MS)
        && cluster.clock.now() < as_ms(PATIENCE)
    {
        std::thread::sleep(HOLDER_POLL_INTERVAL);
    }
}

/// Injects and checks one fault, and waits until all views agree again.
fn run_fault(
    cluster: &mut Cluster,
    index: usize,
    fault: &Fault,
    bounds: Bounds,
    verdict: &mut Verdict,
) {
    if let Err(source) = injection::inject_and_check(cluster, fault, bounds.detection, verdict) {
        verdict.violations.push(ScheduleViolation::Fault {
            index,
            fault: fault.clone(),
            source,
        });
    }
    let ended = Instant::now();
    if cluster.settle(bounds.healing).is_some() {
        verdict.healing_ms.push(as_ms(ended.elapsed()));
        return;
    }
    let running = cluster.running().into_iter();
    verdict.violations.push(ScheduleViolation::ViewsDiffer {
        index,
        fault: fault.clone(),
        views: running.map(|gateway| cluster.view(gateway)).collect(),
    });
}

fn measure_traffic(cluster: &Cluster, elapsed: Duration, verdict: &mut Verdict) {
    let sent = cluster.relay.network().sent.clone();
    let rate = |sum: u64| sum as f64 / sent.len() as f64 / elapsed.as_secs_f64();
    verdict.datagrams_per_s = rate(sent.iter().map(|traffic| traffic.datagrams).sum());
    verdict.bytes_per_s = rate(sent.iter().map(|traffic| traffic.bytes).sum());
}

fn check_leases(cluster: &Cluster, lease_ms: u64, from: u64, verdict: &mut Verdict) {
    let bounds = leases::Bounds {
        lease_ms,
        from,
        until: cluster.clock.now(),
    };
    let findings = leases::check(cluster, bounds);
    verdict.fenced_health_checks = findings.refused_health_checks;
    let violations = findings.violations.into_iter();
    verdict
        .violations
        .extend(violations.map(ScheduleViolation::Lease));
}
