//! The results of a run, from what was counted.

use super::collector::{ClassTally, Collector};
use super::{ClassResults, HostResults, RunResults, Second, VERSION};
use crate::scenario::Scenario;
use irisrouter_simulation::fleet::Fleet;
use irisrouter_simulation::invariants::ViolationKind;
use irisrouter_simulation::SECOND;

/// The length of the worst stretch that the goal counts, in seconds.
const WORST_STRETCH_S: usize = 10;
/// What the goal weighs: the whole run, its worst 10 s, its worst class.
const GOAL_WEIGHTS: [f64; 3] = [0.6, 0.2, 0.2];
/// What all work wasted takes off the goal.
const WASTE_PRICE: f64 = 0.038;
/// What a full message a request takes off the goal.
const MESSAGE_PRICE: f64 = 0.011;
/// The bytes of a full message.
const FULL_MESSAGE_BYTES: f64 = 256.0;
/// Service has recovered at this part of what it was before the first fault.
const RECOVERED: f64 = 0.95;
/// Service has recovered when it is so over this number of seconds in a row.
const RECOVERY_WINDOW_S: usize = 3;

impl Collector {
    /// The results of the run.
    pub fn results(self, scenario: &Scenario, mode: &str, seed: u64, fleet: &Fleet) -> RunResults {
        let requests = self.sum(|tally| tally.asked as f64);
        // Counted over the whole run, these belong to all of its first tries.
        let first_tries = self.first_tries();
        let per_first_try = |count: u64| ratio(count as f64, first_tries);
        let service = ratio(
            self.sum(|tally| tally.earned),
            self.sum(|tally| tally.worth),
        );
        let (worst_10s, worst_class) = (self.worst_stretch(), self.worst_class());
        let probes = per_first_try(self.health_checks);
        let datagram_bytes = per_first_try(self.datagram_bytes);
        let wasted_work = self.wasted_work();
        let prices = scenario.gateway.probe_price * probes
            + MESSAGE_PRICE * datagram_bytes / FULL_MESSAGE_BYTES
            + WASTE_PRICE * wasted_work;
        let invariants = fleet.invariants();
        let world = &scenario.world;
        let classes = self.class_results();
        let hosts = self.host_results(fleet);
        let max = |value: fn(&HostResults) -> f64| hosts.iter().map(value).fold(0.0, f64::max);
        RunResults {
            version: VERSION,
            scenario: scenario.title.clone(),
            mode: mode.to_string(),
            seed,
            size: [world.gateways, world.hosts.count, world.set_count()],
            requests: requests as u64,
            service,
            worst_10s,
            worst_class,
            goal: weighted(service, worst_10s, worst_class) - prices,
            tries_per_request: ratio(self.sum(|tally| tally.tries as f64), requests),
            attempts_per_request: per_first_try(self.attempts),
            copies_per_request: per_first_try(self.copies),
            probes_per_request: probes,
            connections_per_request: per_first_try(self.connections),
            datagram_bytes_per_request: datagram_bytes,
            wasted_work,
            peak_load: max(|host| host.peak_load),
            peak_cold_load: max(|host| host.peak_cold_load),
            knocked_over: invariants.count(ViolationKind::KnockedOver),
            applied_twice: invariants.count(ViolationKind::AppliedTwice),
            stale_reads: invariants.count(ViolationKind::StaleRead),
            sent_to_drained: invariants.count(ViolationKind::SentToDrained),
            lost_requests: self.lost,
            unanswered: self.unanswered,
            wrong_rows: self.wrong_rows,
            malformed: self.malformed,
            too_long_datagrams: self.too_long,
            writes_applied: invariants.writes(),
            recovery_s: self.recovery(),
            classes,
            breaches: self.breaches(fleet),
            seconds: self.seconds,
            hosts,
            marks: self.timeline.marks,
            refusals_by_pause: self.refusals_by_pause,
        }
    }

    /// Number of first tries over the whole run.
    fn first_tries(&self) -> f64 {
        let seconds = self.seconds.iter();
        seconds.map(|second| second.first_tries as f64).sum()
    }

    /// The sum of a value over all classes.
    fn sum(&self, value: fn(&ClassTally) -> f64) -> f64 {
        self.tallies.iter().map(value).sum()
    }

    /// The service of the worst class that was asked for.
    fn worst_class(&self) -> f64 {
        self.tallies
            .iter()
            .filter(|tally| tally.asked > 0 && tally.worth > 0.0)
            .map(earned_share)
            .fold(1.0, f64::min)
    }

    /// The service of the worst stretch after the warm-up.
    fn worst_stretch(&self) -> f64 {
        let from = (self.warm_up / SECOND) as usize;
        let counted = &self.seconds[from.min(self.seconds.len())..];
        let service = |seconds: &[Second]| {
            let asked: f64 = seconds.iter().map(|second| second.asked).sum();
            if asked > 0.0 {
                seconds.iter().map(|second| second.earned).sum::<f64>() / asked
            } else {
                1.0
            }
        };
        if counted.len() < WORST_STRETCH_S {
            return service(counted);
        }
        counted
            .windows(WORST_STRETCH_S)
            .map(service)
            .fold(1.0, f64::min)
    }

    /// Work of which no client had an answer, over the work asked for. The one is counted over the whole run, the other
    /// after the warm-up.
    fn wasted_work(&self) -> f64 {
        let whole_run = self.length as f64 / (self.length - self.warm_up).max(1) as f64;
        ratio(
            self.work.done - self.work.useful,
            self.work.asked * whole_run,
        )
    }

    /// The longest time, in seconds, from a return of hosts until service is nearly what it was before the first fault;
    /// none where no host returned, or it never was.
    fn recovery(&self) -> Option<f64> {
        let first_mark = (self.timeline.marks.iter())
            .map(|mark| mark.at_s)
            .fold(f64::INFINITY, f64::min);
        let warm_up = self.timeline.seconds_at(self.start + self.warm_up);
        let before: Vec<&Second> = (self.seconds.iter().enumerate())
            .filter(|(i, _)| (*i as f64) >= warm_up && (*i as f64) + 1.0 < first_mark)
            .map(|(_, second)| second)
            .collect();
        if before.is_empty() {
            return None;
        }
        let wanted = RECOVERED * service_of(&before);
        let mut longest = 0.0_f64;
        let windows = self.seconds.len().saturating_sub(RECOVERY_WINDOW_S - 1);
        for &returned in &self.timeline.returns {
            let from = ((returned - self.start) / SECOND) as usize;
            let recovered = (from..windows).find(|&i| {
                let window: Vec<&Second> = self.seconds[i..i + RECOVERY_WINDOW_S].iter().collect();
                service_of(&window) >= wanted
            })?;
            longest = longest.max(recovered as f64 - self.timeline.seconds_at(returned));
        }
        (!self.timeline.returns.is_empty()).then(|| longest.max(0.0))
    }

    fn class_results(&self) -> Vec<ClassResults> {
        let quantile_ms =
            |tally: &ClassTally, q: f64| tally.latency.value_at_quantile(q) as f64 / 1000.0;
        (self.classes.iter().zip(&self.tallies))
            .map(|(class, tally)| ClassResults {
                name: class.name.clone(),
                asked: tally.asked,
                in_time: tally.in_time,
                late: tally.late,
                refused: tally.refused,
                failed: tally.failed,
                timed_out: tally.timed_out,
                unreachable: tally.unreachable,
                tries_per_call: ratio(tally.tries as f64, tally.asked as f64),
                service: earned_share(tally),
                p50_ms: quantile_ms(tally, 0.5),
                p90_ms: quantile_ms(tally, 0.9),
                p99_ms: quantile_ms(tally, 0.99),
                max_ms: tally.latency.max() as f64 / 1000.0,
            })
            .collect()
    }

    fn host_results(&self, fleet: &Fleet) -> Vec<HostResults> {
        (fleet.hosts().iter().zip(&self.hosts))
            .map(|(host, samples)| HostResults {
                host: host.id.0,
                set: host.set.0,
                peak_load: host.peaks().0,
                peak_cold_load: host.peaks().1,
                held: samples.held.clone(),
                lag_ms: samples.lag_ms.clone(),
            })
            .collect()
    }

    /// The first violations of the world's rules, in words.
    fn breaches(&self, fleet: &Fleet) -> Vec<String> {
        let violations = fleet.invariants().violations().iter();
        violations
            .map(|violation| {
                let at_s = self.timeline.seconds_at(violation.at);
                format!("{at_s:.3} s: {:?}: {}", violation.kind, violation.what)
            })
            .collect()
    }
}

/// The goal before its prices.
fn weighted(service: f64, worst_10s: f64, worst_class: f64) -> f64 {
    GOAL_WEIGHTS[0] * service + GOAL_WEIGHTS[1] * worst_10s + GOAL_WEIGHTS[2] * worst_class
}

/// The service of some seconds.
fn service_of(seconds: &[&Second]) -> f64 {
    let earned: f64 = seconds.iter().map(|second| second.earned).sum();
    let asked: f64 = seconds.iter().map(|second| second.asked).sum();
    earned / asked.max(1e-9)
}

/// `a` over `b`; 0 where `b` is not over 0.
fn ratio(a: f64, b: f64) -> f64 {
    if b > 0.0 {
        a / b
    } else {
        0.0
    }
}

/// The share of the worth asked for that was earned; all of it where none was asked for.
fn earned_share(tally: &ClassTally) -> f64 {
    if tally.worth > 0.0 {
        tally.earned / tally.worth
    } else {
        1.0
    }
}
