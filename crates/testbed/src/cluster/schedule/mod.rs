//! Sequences of faults drawn from a seed, run on a cluster, and checked: the same seed gives the same sequence, so that one
//! that failed can be run again by itself (`irisrouter-testbed cluster --seed N`).
//!
//! What has to hold, whatever the sequence:
//!
//! - no gateway that ran, could hear and was stalled for less than `stall_ms` is declared down by one that could hear it
//!   (faults that are not meant to kill do not);
//! - a crash is seen by all others, and the two sides of a cut see each other down, within the detection bound;
//! - once a fault is over, all views are one within the bound for it.

use super::{leases, Cluster, Plan};
use irisrouter_membership::Settings;
use irisrouter_simulation::rng::{Rng, Stream};
use serde::Serialize;
use std::time::{Duration, Instant};

/// One fault, with how long it lasts in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// kill -9, and a new start after that time.
    Crash {
        /// Whom.
        gateway: usize,
        /// How long it is away.
        ms: u64,
    },
    /// SIGSTOP and SIGCONT, within what must not count as death.
    Stall {
        /// Whom.
        gateway: usize,
        /// How long.
        ms: u64,
    },
    /// Datagrams from one to another are dropped.
    OneWay {
        /// From whom.
        from: usize,
        /// To whom.
        to: usize,
        /// How long.
        ms: u64,
    },
    /// The fleet in two parts.
    Partition {
        /// One side; the others are on the other.
        left: Vec<usize>,
        /// How long.
        ms: u64,
    },
    /// A share of all datagrams is dropped.
    Loss {
        /// Which, in percent.
        percent: u32,
        /// How long.
        ms: u64,
    },
    /// All datagrams are late.
    Delay {
        /// By how much, each way.
        by_ms: u64,
        /// How long.
        ms: u64,
    },
}

/// What a run of one schedule came to.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Verdict {
    /// Its seed.
    pub seed: u64,
    /// The faults, in order.
    pub faults: Vec<Fault>,
    /// What did not hold; nothing where all did.
    pub broken: Vec<String>,
    /// From each crash or cut until it was seen by all that had to see it, in milliseconds.
    pub seen_ms: Vec<u64>,
    /// From the end of each fault until all views were one, in milliseconds.
    pub healed_ms: Vec<u64>,
    /// From each kill of a set's owner until a host took a probe of another, in milliseconds.
    pub takeover_ms: Vec<u64>,
    /// Probes that hosts refused for an older token.
    pub fenced: usize,
    /// Datagrams a gateway a second over the run.
    pub datagrams_s: f64,
    /// Bytes of datagrams a gateway a second over the run.
    pub bytes_s: f64,
}

/// How fast membership runs in schedules.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// One probe each period.
    pub probe_period_ms: u64,
    /// Stalls up to here are survived.
    pub stall_ms: u64,
    /// The lease of duties, where those are on.
    pub lease_ms: Option<u64>,
}

impl Pace {
    /// Five probes a second: a schedule of a few faults takes under a minute, and a machine with four cores that runs
    /// seven gateways beside other tests still keeps its round trips.
    pub const FAST: Pace = Pace {
        probe_period_ms: 200,
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
            self.probe_period_ms, self.stall_ms
        )
    }

    /// The core's settings for it.
    #[must_use]
    pub fn settings(&self, gateways: usize) -> Settings {
        Settings::paced(gateways as u32, self.probe_period_ms, self.stall_ms)
    }
}

/// Draws a sequence of faults of all kinds, or of crashes only.
#[must_use]
pub fn draw(
    gateways: usize,
    faults: usize,
    pace: Pace,
    seed: u64,
    crashes_only: bool,
) -> Vec<Fault> {
    let mut rng = Rng::new(seed, Stream::Faults);
    let long = pace.settings(gateways).detection_bound_ms();
    let one = |rng: &mut Rng| rng.index(gateways);
    (0..faults)
        .map(|_| match if crashes_only { 0 } else { rng.index(6) } {
            0 => Fault::Crash {
                gateway: one(&mut rng),
                ms: long,
            },
            1 => {
                let ms = rng.between(0.3, 0.8) * pace.stall_ms as f64;
                Fault::Stall {
                    gateway: one(&mut rng),
                    ms: ms as u64,
                }
            }
            2 => {
                let pair = rng.choose(2, gateways);
                let (from, to) = if rng.chance(0.5) {
                    (pair[0], pair[1])
                } else {
                    (pair[1], pair[0])
                };
                Fault::OneWay { from, to, ms: long }
            }
            3 => {
                let count = 1 + rng.index(gateways - 1);
                Fault::Partition {
                    left: rng.choose(count, gateways),
                    ms: long,
                }
            }
            4 => Fault::Loss {
                percent: 10 + rng.index(21) as u32,
                ms: 8_000,
            },
            _ => Fault::Delay {
                by_ms: 1 + rng.index(20) as u64,
                ms: 4_000,
            },
        })
        .collect()
}

/// A log line of a change of the view: of which gateway, from what, to what.
#[must_use]
pub fn change(text: &str) -> Option<(usize, &str, &str)> {
    let words = text.split_once("membership: gateway ")?.1;
    let mut words = words.split(' ');
    let number = words.next()?.parse().ok()?;
    let from = words.next()?;
    (words.next()? == "->").then_some(())?;
    Some((number, from, words.next()?))
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Runs a sequence of faults on a cluster of its own.
///
/// # Errors
/// Where the cluster can't be started; what did not hold is in the verdict.
pub fn run(plan: Plan, pace: Pace, faults: Vec<Fault>) -> Result<Verdict, String> {
    let (gateways, seed) = (plan.gateways, plan.seed);
    let settings = pace.settings(gateways);
    // Processes share a machine: what is bounded for members by themselves gets a second for it.
    let (detect, heal) = (
        ms(settings.detection_bound_ms() + 1_000),
        ms(settings.heal_bound_ms() + 1_000),
    );
    let mut cluster = Cluster::start(plan)?;
    let mut verdict = Verdict {
        seed,
        faults,
        ..Verdict::default()
    };
    if cluster.settle(heal).is_none() {
        verdict
            .broken
            .push("the fleet did not come to see itself whole".into());
        return Ok(verdict);
    }
    let owned = |c: &Cluster| (0..c.plan.sets).all(|set| c.prober(set, 500).is_some());
    while pace.lease_ms.is_some()
        && !owned(&cluster)
        && cluster.clock.now() < super::PATIENCE.as_millis() as u64
    {
        std::thread::sleep(ms(50));
    }
    let (began, from) = (Instant::now(), cluster.clock.now());
    cluster.relay.network().sent.fill((0, 0));
    for (n, fault) in verdict.faults.clone().into_iter().enumerate() {
        if let Err(why) = inject_and_check(&mut cluster, &fault, detect, &mut verdict) {
            verdict.broken.push(format!("fault {n}, {fault:?}: {why}"));
        }
        let over = Instant::now();
        if cluster.settle(heal).is_some() {
            verdict.healed_ms.push(over.elapsed().as_millis() as u64);
        } else {
            let views: Vec<_> = cluster
                .running()
                .into_iter()
                .map(|g| cluster.view(g))
                .collect();
            verdict.broken.push(format!(
                "after fault {n}, {fault:?}: no one view: {views:?}"
            ));
        }
    }
    let sent = cluster
        .relay
        .network()
        .sent
        .iter()
        .fold((0, 0), |a, s| (a.0 + s.0, a.1 + s.1));
    let rate = |sum: u64| sum as f64 / gateways as f64 / began.elapsed().as_secs_f64();
    verdict.datagrams_s = rate(sent.0);
    verdict.bytes_s = rate(sent.1);
    if let Some(lease_ms) = pace.lease_ms {
        let findings = leases::check(
            &cluster,
            leases::Bounds {
                lease_ms,
                from,
                until: cluster.clock.now(),
            },
        );
        verdict.fenced = findings.refused_health_checks;
        let violations = findings.violations.iter().map(ToString::to_string);
        verdict.broken.extend(violations);
    }
    if cluster.relay.network().too_long > 0 {
        verdict
            .broken
            .push("a datagram was longer than the platform carries".into());
    }
    Ok(verdict)
}

/// An observer that declares a gateway down, both by their numbers.
type Observation = (usize, usize);

/// A fault that has been injected, and what has to follow from it.
struct Injected {
    /// Who has to declare whom down.
    expected: Vec<Observation>,
    /// Sets whose health checks a crashed gateway held.
    owned: Vec<u64>,
    /// How long the fault lasts from now on.
    lasts: Duration,
}

/// Injects a fault, waits until it is detected, checks who was declared down, and lifts it again.
fn inject_and_check(
    cluster: &mut Cluster,
    fault: &Fault,
    detect: Duration,
    verdict: &mut Verdict,
) -> Result<(), String> {
    let started = Instant::now();
    let from = cluster.clock.now();
    let all: Vec<usize> = cluster.running();
    let injected = inject(cluster, fault, &all);
    std::thread::sleep(injected.lasts);
    let expected = &injected.expected;
    while !undetected(cluster, expected, from).is_empty() && started.elapsed() < detect {
        std::thread::sleep(ms(20));
    }
    let unseen = undetected(cluster, expected, from);
    if !expected.is_empty() && unseen.is_empty() {
        let elapsed = started.elapsed().as_millis() as u64;
        verdict.seen_ms.push(elapsed);
    }
    if let Fault::Crash { gateway, .. } = fault {
        let takeovers = takeover_times(cluster, &injected.owned, *gateway, from);
        verdict.takeover_ms.extend(takeovers);
    }
    let wrong: Vec<Observation> = (all.iter())
        .flat_map(|&observer| all.iter().map(move |&member| (observer, member)))
        .filter(|pair| !expected.contains(pair))
        .filter(|&pair| declared_down(cluster, pair, from))
        .collect();
    cluster.heal();
    if let Fault::Crash { gateway, .. } = fault {
        cluster.launch(*gateway)?;
    }
    match (unseen.is_empty(), wrong.is_empty()) {
        (true, true) => Ok(()),
        (false, _) => Err(format!(
            "not seen down in {detect:?}, as (observer, gateway): {unseen:?}"
        )),
        (_, false) => Err(format!(
            "declared down though alive and heard, as (observer, gateway): {wrong:?}"
        )),
    }
}

/// Brings a fault about; `all` are the gateways that run.
fn inject(cluster: &mut Cluster, fault: &Fault, all: &[usize]) -> Injected {
    let mut injected = Injected {
        expected: Vec::new(),
        owned: Vec::new(),
        lasts: ms(0),
    };
    match fault {
        Fault::Crash { gateway, .. } => {
            injected.owned = (0..cluster.plan.sets)
                .filter(|&set| cluster.prober(set, 1_000) == Some(*gateway))
                .collect();
            cluster.crash(*gateway);
            let others = all.iter().filter(|other| *other != gateway);
            injected.expected = others.map(|&other| (other, *gateway)).collect();
        }
        Fault::Partition { left, .. } => {
            let right: Vec<usize> = all.iter().copied().filter(|g| !left.contains(g)).collect();
            cluster.partition(left, &right);
            let across = left
                .iter()
                .flat_map(|&l| right.iter().flat_map(move |&r| [(l, r), (r, l)]));
            injected.expected = across.collect();
        }
        Fault::Stall { gateway, ms: long } => {
            cluster.stall(*gateway);
            std::thread::sleep(ms(*long));
            cluster.resume(*gateway);
            injected.lasts = ms(500);
        }
        Fault::OneWay { from, to, ms: long } => {
            cluster.relay.network().cuts.insert((*from, *to));
            injected.lasts = ms(*long);
        }
        Fault::Loss { percent, ms: long } => {
            cluster.relay.network().loss = f64::from(*percent) / 100.0;
            injected.lasts = ms(*long);
        }
        Fault::Delay { by_ms, ms: long } => {
            cluster.relay.network().delay = ms(*by_ms);
            injected.lasts = ms(*long);
        }
    }
    injected
}

/// Whether an observer has declared a gateway down since `from`, in milliseconds of the cluster's clock.
fn declared_down(cluster: &Cluster, (observer, member): Observation, from: u64) -> bool {
    let changes = cluster.changes(observer, member, "down");
    changes.iter().any(|&at| at >= from)
}

/// Those of the expected observations that have not been made since `from`.
fn undetected(cluster: &Cluster, expected: &[Observation], from: u64) -> Vec<Observation> {
    let mut left = expected.to_vec();
    left.retain(|&pair| !declared_down(cluster, pair, from));
    left
}

/// For each set whose checks the crashed gateway held: milliseconds until another one's check was accepted.
fn takeover_times(cluster: &Cluster, owned: &[u64], crashed: usize, from: u64) -> Vec<u64> {
    let mut times = Vec::new();
    for &set in owned {
        let probes = cluster.probes(set);
        let by_another = probes.iter().find(|probe| {
            probe.at >= from && probe.gateway != crashed && probe.token.is_some() && !probe.refused
        });
        times.extend(by_another.map(|probe| probe.at - from));
    }
    times
}

/// Runs one after the other for each seed, so many side by side; what they came to, as they ended.
///
/// # Errors
/// The first that could not be run.
pub fn side_by_side<T: Send>(
    seeds: &[u64],
    at_once: usize,
    one: impl Fn(u64) -> Result<T, String> + Sync,
) -> Result<Vec<T>, String> {
    let next = std::sync::atomic::AtomicUsize::new(0);
    let worker = || {
        let mut done = Vec::new();
        while let Some(&seed) = seeds.get(next.fetch_add(1, std::sync::atomic::Ordering::Relaxed)) {
            done.push(one(seed)?);
        }
        Ok(done)
    };
    let all: Result<Vec<Vec<T>>, String> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..at_once.max(1)).map(|_| scope.spawn(worker)).collect();
        workers
            .into_iter()
            .map(|w| w.join().map_err(|_| "a run panicked".to_string())?)
            .collect()
    });
    Ok(all?.into_iter().flatten().collect())
}

/// What the schedules came to, in words.
#[must_use]
pub fn text(verdicts: &[Verdict]) -> String {
    let mut seen: Vec<u64> = verdicts.iter().flat_map(|v| v.seen_ms.clone()).collect();
    let mut healed: Vec<u64> = verdicts.iter().flat_map(|v| v.healed_ms.clone()).collect();
    seen.sort_unstable();
    healed.sort_unstable();
    let at = |sorted: &[u64], q: f64| {
        let last = sorted.len().saturating_sub(1) as f64;
        sorted
            .get((last * q).round() as usize)
            .map_or("-".to_string(), |&ms| format!("{:.1}", ms as f64 / 1e3))
    };
    let line = |name: &str, all: &[u64]| {
        let (p50, p99, most) = (at(all, 0.5), at(all, 0.99), at(all, 1.0));
        format!(
            "{name}: {} times; p50 {p50}, p99 {p99}, most {most} s\n",
            all.len()
        )
    };
    let mut taken: Vec<u64> = verdicts
        .iter()
        .flat_map(|v| v.takeover_ms.clone())
        .collect();
    taken.sort_unstable();
    let fenced: usize = verdicts.iter().map(|v| v.fenced).sum();
    let mean = |of: fn(&Verdict) -> f64| {
        verdicts.iter().map(of).sum::<f64>() / verdicts.len().max(1) as f64
    };
    let faults: usize = verdicts.iter().map(|v| v.faults.len()).sum();
    let mut text = format!(
        "{} schedules, {faults} faults\n{}{}{}{fenced} probes refused for an older token\na gateway a second: {:.1} datagrams, {:.0} bytes\n",
        verdicts.len(),
        line("crashes and cuts seen by all that had to", &seen),
        line("one view after a fault", &healed),
        line("a set without its owner until a probe by another", &taken),
        mean(|v| v.datagrams_s),
        mean(|v| v.bytes_s),
    );
    for verdict in verdicts.iter().filter(|v| !v.broken.is_empty()) {
        text += &format!("seed {} did not hold:\n", verdict.seed);
        verdict
            .broken
            .iter()
            .for_each(|b| text += &format!("  {b}\n"));
    }
    text
}
