//! Injects a fault, checks that it has the required effects, and removes it.

use super::{Fault, FaultError, Observation, Verdict};
use crate::cluster::clock::as_ms;
use crate::cluster::leases::is_accepted;
use crate::cluster::Cluster;
use std::time::{Duration, Instant};

/// Time between two checks whether a fault is detected.
const DETECTION_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time from the end of a stall until the check that no gateway was declared down.
const AFTER_STALL: Duration = Duration::from_millis(500);
/// A gateway counts as a set's lease holder if its health check was accepted within this time, in milliseconds.
const HOLDER_SEEN_WITHIN_MS: u64 = 1_000;

/// An injected fault and its required effects.
#[derive(Default)]
struct Injected {
    /// The observers that must declare a gateway down.
    expected: Vec<Observation>,
    /// Sets whose health checks the crashed gateway ran.
    sets_of_crashed_holder: Vec<u64>,
    /// Time from the end of the injection until the effects are checked.
    duration: Duration,
}

/// Injects a fault, waits until it is detected, checks which gateways were declared down, and removes the fault.
pub(super) fn inject_and_check(
    cluster: &mut Cluster,
    fault: &Fault,
    detection_bound: Duration,
    verdict: &mut Verdict,
) -> Result<(), FaultError> {
    let started = Instant::now();
    let from = cluster.clock.now();
    let running: Vec<usize> = cluster.running();
    let injected = inject(cluster, fault, &running);
    std::thread::sleep(injected.duration);
    let expected = &injected.expected;
    while !undetected(cluster, expected, from).is_empty() && started.elapsed() < detection_bound {
        std::thread::sleep(DETECTION_POLL_INTERVAL);
    }
    let missing = undetected(cluster, expected, from);
    if !expected.is_empty() && missing.is_empty() {
        verdict.detection_ms.push(as_ms(started.elapsed()));
    }
    if let Fault::Crash { gateway, .. } = fault {
        let takeovers = takeover_times(cluster, &injected.sets_of_crashed_holder, *gateway, from);
        verdict.takeover_ms.extend(takeovers);
    }
    let wrong = wrongly_declared_down(cluster, &running, expected, from);
    cluster.heal();
    if let Fault::Crash { gateway, .. } = fault {
        cluster.launch(*gateway)?;
    }
    if !missing.is_empty() {
        return Err(FaultError::Undetected {
            bound: detection_bound,
            missing,
        });
    }
    if !wrong.is_empty() {
        return Err(FaultError::FalselyDeclaredDown { wrong });
    }
    Ok(())
}

/// Injects a fault among the running gateways.
fn inject(cluster: &mut Cluster, fault: &Fault, running: &[usize]) -> Injected {
    let mut injected = Injected::default();
    match fault {
        Fault::Crash { gateway, .. } => {
            injected.sets_of_crashed_holder = (0..cluster.plan.sets)
                .filter(|&set| {
                    cluster.recent_health_checker(set, HOLDER_SEEN_WITHIN_MS) == Some(*gateway)
                })
                .collect();
            cluster.crash(*gateway);
            let others = running.iter().filter(|other| *other != gateway);
            let observations = others.map(|&observer| Observation {
                observer,
                member: *gateway,
            });
            injected.expected = observations.collect();
        }
        Fault::Partition { left, .. } => {
            let is_right = |gateway: &usize| !left.contains(gateway);
            let right: Vec<usize> = running.iter().copied().filter(is_right).collect();
            cluster.partition(left, &right);
            injected.expected = mutual_observations(left, &right);
        }
        Fault::Stall { gateway, ms } => {
            cluster.stall(*gateway);
            std::thread::sleep(Duration::from_millis(*ms));
            cluster.resume(*gateway);
            injected.duration = AFTER_STALL;
        }
        Fault::OneWay { from, to, ms } => {
            cluster.relay.network().cuts.insert((*from, *to));
            injected.duration = Duration::from_millis(*ms);
        }
        Fault::Loss { percent, ms } => {
            cluster.relay.network().loss = f64::from(*percent) / 100.0;
            injected.duration = Duration::from_millis(*ms);
        }
        Fault::Delay { by_ms, ms } => {
            cluster.relay.network().delay = Duration::from_millis(*by_ms);
            injected.duration = Duration::from_millis(*ms);
        }
    }
    injected
}

/// The observations that two sides must make if neither receives the other's datagrams.
fn mutual_observations(left: &[usize], right: &[usize]) -> Vec<Observation> {
    let mut observations = Vec::new();
    for &a in left {
        for &b in right {
            for (observer, member) in [(a, b), (b, a)] {
                observations.push(Observation { observer, member });
            }
        }
    }
    observations
}

/// Returns whether the observer has declared the member down since `from`, in milliseconds since the start of the run.
fn has_been_made(cluster: &Cluster, observation: Observation, from: u64) -> bool {
    let Observation { observer, member } = observation;
    let changes = cluster.changes(observer, member, "down");
    changes.iter().any(|&at| at >= from)
}

/// The expected observations that have not been made since `from`.
fn undetected(cluster: &Cluster, expected: &[Observation], from: u64) -> Vec<Observation> {
    let mut missing = expected.to_vec();
    missing.retain(|&observation| !has_been_made(cluster, observation, from));
    missing
}

/// The observations that have been made among the running gateways since `from` though they are not expected.
fn wrongly_declared_down(
    cluster: &Cluster,
    running: &[usize],
    expected: &[Observation],
    from: u64,
) -> Vec<Observation> {
    let members = |observer| {
        let members = running.iter();
        members.map(move |&member| Observation { observer, member })
    };
    running
        .iter()
        .flat_map(|&observer| members(observer))
        .filter(|observation| !expected.contains(observation))
        .filter(|&observation| has_been_made(cluster, observation, from))
        .collect()
}

/// For each of the sets: the time from `from` until a host accepted a health check by another gateway than the crashed
/// one, in milliseconds. A set without one is left out.
fn takeover_times(cluster: &Cluster, sets: &[u64], crashed: usize, from: u64) -> Vec<u64> {
    let mut times = Vec::new();
    for &set in sets {
        let health_checks = cluster.health_checks(set);
        let by_another = health_checks
            .iter()
            .find(|check| check.at >= from && check.gateway != crashed && is_accepted(check));
        times.extend(by_another.map(|check| check.at - from));
    }
    times
}
