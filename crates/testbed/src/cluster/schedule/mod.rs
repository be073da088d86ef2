//! Sequences of faults drawn from a seed, run on a cluster, and checked: the same seed gives the same sequence, so that one
//! that failed can be run again by itself (`irisrouter-testbed cluster --seed N`).
//!
//! What has to hold, whatever the sequence:
//!
//! - no gateway that ran, could hear and was stalled for less than `stall_ms` is declared down by one that could hear it
//!   (faults that are not meant to kill do not);
//! - a crash is seen by all others, and the two sides of a cut see each other down, within the detection bound;
//! - once a fault is over, all views are one within the bound for it.

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

/// Added to each bound of the members by themselves, as the processes share a machine.
const SLACK_MS: u64 = 1_000;
/// A set has a holder while its last health check is not older than this, in milliseconds.
const HOLDER_SEEN_WITHIN_MS: u64 = 500;
/// Between two checks whether every set has a holder.
const HOLDER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What a run of one schedule came to.
#[derive(Debug, Default, Serialize)]
pub struct Verdict {
    /// Its seed.
    pub seed: u64,
    /// The faults, in order.
    pub faults: Vec<Fault>,
    /// The rules that did not hold.
    #[serde(rename = "broken")]
    pub violations: Vec<ScheduleViolation>,
    /// From each crash or cut until it was detected by all that had to detect it, in milliseconds.
    #[serde(rename = "seen_ms")]
    pub detection_ms: Vec<u64>,
    /// From the end of each fault until all views were one, in milliseconds.
    #[serde(rename = "healed_ms")]
    pub healing_ms: Vec<u64>,
    /// From each kill of a lease's holder until a host accepted a health check of another, in milliseconds.
    pub takeover_ms: Vec<u64>,
    /// Number of health checks that hosts refused for an outdated token.
    #[serde(rename = "fenced")]
    pub fenced_health_checks: usize,
    /// Datagrams a gateway a second over the run.
    #[serde(rename = "datagrams_s")]
    pub datagrams_per_s: f64,
    /// Bytes of datagrams a gateway a second over the run.
    #[serde(rename = "bytes_s")]
    pub bytes_per_s: f64,
}

/// How fast membership runs in schedules.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Each gateway sends one ping in this time, in milliseconds.
    pub ping_period_ms: u64,
    /// Stalls up to this length are survived, in milliseconds.
    pub stall_ms: u64,
    /// The length of a lease in milliseconds, where leases are on.
    pub lease_ms: Option<u64>,
}

impl Pace {
    /// Five pings a second: a schedule of a few faults takes under a minute, and a machine with four cores that runs
    /// seven gateways beside other tests still keeps its round trips.
    pub const FAST: Pace = Pace {
        ping_period_ms: 200,
        stall_ms: 3_000,
        lease_ms: None,
    };

    /// The operators' file for it.
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

    /// The membership core's settings for it.
    #[must_use]
    pub fn settings(&self, gateways: usize) -> Settings {
        Settings::with_protocol_period(
            gateways as u32,
            Milliseconds(self.ping_period_ms),
            Milliseconds(self.stall_ms),
        )
    }
}

/// How long a schedule waits for what has to follow from a fault.
#[derive(Debug, Clone, Copy)]
struct Bounds {
    /// From a fault until it is detected.
    detection: Duration,
    /// From the end of a fault until all views are one.
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

/// Runs a sequence of faults on a cluster of its own.
///
/// # Errors
/// The cluster can't be started; what did not hold is in the verdict.
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

/// Waits until every set has a holder of its lease; where one never has, the check of the leases reports it.
fn wait_for_lease_holders(cluster: &Cluster) {
    while !cluster.every_set_has_holder(HOLDER_SEEN_WITHIN_MS)
        && cluster.clock.now() < as_ms(PATIENCE)
    {
        std::thread::sleep(HOLDER_POLL_INTERVAL);
    }
}

/// Runs one fault, and waits until all views are one again.
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
    let over = Instant::now();
    if cluster.settle(bounds.healing).is_some() {
        verdict.healing_ms.push(as_ms(over.elapsed()));
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
