//! Measures membership on the simulated network, for several sizes of the fleet: the time to detect a crash, the false
//! verdicts under loss, and the datagrams and bytes that a gateway sends per second.
//!
//! The measurement is not part of CI. Run it with
//! `cargo run --release -p irisrouter-membership --example measure`; the results are in `docs/membership.md`.

use irisrouter_cluster_types::{GatewayId, Milliseconds, Timestamp};
use irisrouter_membership::codec::KINDS;
use irisrouter_membership::{Liveness, Settings};
use irisrouter_simulated_network::{ObservedChange, SentTraffic, SimulatedNetwork};

/// Maximum time from the start or the end of a partition until the fleet settles.
const SETTLE_LIMIT: Milliseconds = Milliseconds(120_000);
/// Time after settling until the updates from the start have been disseminated.
const WARM_UP: Milliseconds = Milliseconds(15_000);
/// Time for which the traffic of a settled fleet is counted.
const TRAFFIC_DURATION: Milliseconds = Milliseconds(30_000);
/// The result for a fleet that did not settle, and for a crash that was not detected.
const NEVER: Milliseconds = Milliseconds(u64::MAX);
/// Time for which a fleet runs under loss.
const LOSS_DURATION: Milliseconds = Milliseconds(60_000);

fn main() {
    print_results_by_fleet_size();
    println!();
    print_results_under_loss();
}

/// Calls `run` for each seed from 1 to `seeds`, with the seeds distributed over one thread per core. The result of a
/// seed does not depend on the thread.
fn run_seeds<T: Send>(seeds: u64, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from) as u64;
    let run = &run;
    let run_share = |core| -> Vec<T> {
        let share = (1..=seeds).filter(|seed| seed % cores == core);
        share.map(run).collect()
    };
    let run_share = &run_share;
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..cores)
            .map(|core| scope.spawn(move || run_share(core)))
            .collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a run panicked"))
            .collect()
    })
}

/// Crashes the last member, runs for `limit`, and returns the time from the crash until the member is down in the views
/// of all others; [`NEVER`] if it is not.
fn measure_detection(
    network: &mut SimulatedNetwork,
    fleet_size: u32,
    limit: Milliseconds,
) -> Milliseconds {
    let crashed = GatewayId(fleet_size - 1);
    let crashed_at = network.now();
    network.crash(crashed);
    network.run_until(crashed_at + limit);
    (0..crashed.0)
        .map(|observer| time_to_down(network, GatewayId(observer), crashed, crashed_at))
        .max()
        .unwrap_or(Milliseconds::ZERO)
}

fn time_to_down(
    network: &SimulatedNetwork,
    observer: GatewayId,
    member: GatewayId,
    since: Timestamp,
) -> Milliseconds {
    changes_since(network, since)
        .filter(|observed| observed.observer == observer)
        .map(|observed| observed.change)
        .find(|change| change.process.gateway == member && change.to == Liveness::Down)
        .map_or(NEVER, |change| change.at.saturating_duration_since(since))
}

/// Returns the changes of all views at `since` or later.
fn changes_since(
    network: &SimulatedNetwork,
    since: Timestamp,
) -> impl Iterator<Item = &ObservedChange> {
    let changes = network.record.changes.iter();
    changes.filter(move |observed| observed.change.at >= since)
}

fn total_traffic(network: &SimulatedNetwork) -> SentTraffic {
    let mut total = SentTraffic::default();
    for sent in &network.record.sent {
        total.datagrams += sent.datagrams;
        total.bytes += sent.bytes;
    }
    total
}

/// The measurements of one run without loss.
struct LosslessRun {
    settled_at: Timestamp,
    datagrams: u64,
    bytes: u64,
    detection: Milliseconds,
    healing: Milliseconds,
}

fn run_without_loss(fleet_size: u32, seed: u64) -> LosslessRun {
    let mut network = SimulatedNetwork::start(fleet_size, seed);
    let settled_at = network.settle(SETTLE_LIMIT).unwrap_or(Timestamp::MAX);
    network.run_until(network.now() + WARM_UP);
    let before = total_traffic(&network);
    network.run_until(network.now() + TRAFFIC_DURATION);
    let after = total_traffic(&network);
    let detection = measure_detection(&mut network, fleet_size, Milliseconds(40_000));
    let healing = measure_healing(&mut network, fleet_size - 1);
    LosslessRun {
        settled_at,
        datagrams: after.datagrams - before.datagrams,
        bytes: after.bytes - before.bytes,
        detection,
        healing,
    }
}

/// Partitions the fleet into two halves for a minute, and returns the time from the end of the partition until the
/// fleet is settled again.
fn measure_healing(network: &mut SimulatedNetwork, members: u32) -> Milliseconds {
    let (left, right): (Vec<GatewayId>, Vec<GatewayId>) = (0..members)
        .map(GatewayId)
        .partition(|gateway| gateway.0 % 2 == 0);
    network.partition(&left, &right);
    network.run_until(network.now() + Milliseconds(60_000));
    network.heal();
    let healed_at = network.now();
    let settled_at = network.settle(SETTLE_LIMIT);
    settled_at.map_or(NEVER, |settled_at| {
        settled_at.saturating_duration_since(healed_at)
    })
}

fn print_results_by_fleet_size() {
    println!("| fleet, seeds | settled after: max | datagrams, bytes sent per second and gateway | crash detected by all: p50, p99, max | detection bound | partition into halves healed after: p50, max | heal bound |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (fleet_size, seeds) in [(5u32, 300u64), (7, 300), (50, 60), (300, 12)] {
        let runs = run_seeds(seeds, |seed| run_without_loss(fleet_size, seed));
        let traffic_seconds = seconds(TRAFFIC_DURATION);
        let rate =
            |total: u64| total as f64 / f64::from(fleet_size) / traffic_seconds / seeds as f64;
        let detection = SortedDurations::new(runs.iter().map(|run| run.detection));
        let healing = SortedDurations::new(runs.iter().map(|run| run.healing));
        let settling = SortedDurations::new(
            runs.iter()
                .map(|run| run.settled_at.saturating_duration_since(Timestamp::ZERO)),
        );
        let settings = Settings::for_fleet(fleet_size);
        println!(
            "| {fleet_size}, {seeds} | {:.1} s | {:.1}, {:.0} | {:.1}, {:.1}, {:.1} s | {:.1} s | {:.1}, {:.1} s | {:.1} s |",
            seconds(settling.max()),
            rate(runs.iter().map(|run| run.datagrams).sum()),
            rate(runs.iter().map(|run| run.bytes).sum()),
            seconds(detection.quantile(0.5)),
            seconds(detection.quantile(0.99)),
            seconds(detection.max()),
            seconds(settings.detection_bound()),
            seconds(healing.quantile(0.5)),
            seconds(healing.max()),
            seconds(settings.heal_bound()),
        );
    }
}

/// The measurements of one run under loss.
struct LossyRun {
    sent_by_kind: [u64; KINDS],
    had_false_verdict: bool,
    suspicions: usize,
    refutations: usize,
    detection: Milliseconds,
}

fn run_under_loss(fleet_size: u32, loss: f64, seed: u64) -> LossyRun {
    let mut network = SimulatedNetwork::start(fleet_size, seed);
    network.settle(SETTLE_LIMIT);
    network.run_until(network.now() + WARM_UP);
    network.faults.loss = loss;
    let start = network.now();
    let before = network.record.sent_by_kind;
    network.run_until(start + LOSS_DURATION);
    let after = network.record.sent_by_kind;
    let count =
        |to| changes_since(&network, start).filter(move |observed| observed.change.to == to);
    let had_false_verdict = count(Liveness::Down).next().is_some();
    let suspicions = count(Liveness::Suspect).count();
    let refutations = network.record.refutations.iter();
    let refutations = refutations
        .filter(|refutation| refutation.at >= start)
        .count();
    LossyRun {
        sent_by_kind: std::array::from_fn(|kind| after[kind] - before[kind]),
        had_false_verdict,
        suspicions,
        refutations,
        detection: measure_detection(&mut network, fleet_size, LOSS_DURATION),
    }
}

fn print_results_under_loss() {
    println!("| fleet | loss | runs of 60 s with a false verdict in a view | refutations | suspicions per minute and gateway | datagrams sent per second and gateway: all; ping, ack, ping-req, indirect ack, join, member list, gossip | crash under loss detected by all: p50, max |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (fleet_size, seeds) in [(7u32, 300u64), (50, 30), (300, 6)] {
        for loss in [0.1, 0.3, 0.4] {
            print_result_under_loss(fleet_size, seeds, loss);
        }
    }
}

fn print_result_under_loss(fleet_size: u32, seeds: u64, loss: f64) {
    let runs = run_seeds(seeds, |seed| run_under_loss(fleet_size, loss, seed));
    let per_gateway = |total: f64| total / f64::from(fleet_size) / seeds as f64;
    let rate = |total: u64| per_gateway(total as f64) / seconds(LOSS_DURATION);
    let kind_total = |kind: usize| runs.iter().map(|run| run.sent_by_kind[kind]).sum::<u64>();
    // The last kind is omitted, because no member leaves in these runs.
    let rate_by_kind: Vec<String> = (0..KINDS - 1)
        .map(|kind| format!("{:.1}", rate(kind_total(kind))))
        .collect();
    let suspicions: usize = runs.iter().map(|run| run.suspicions).sum();
    let detection = SortedDurations::new(runs.iter().map(|run| run.detection));
    println!(
        "| {fleet_size} | {:.0} % | {} of {seeds} | {} | {:.1} | {:.1}; {} | {:.1}, {:.1} s |",
        loss * 100.0,
        runs.iter().filter(|run| run.had_false_verdict).count(),
        runs.iter().map(|run| run.refutations).sum::<usize>(),
        per_gateway(suspicions as f64),
        rate((0..KINDS).map(kind_total).sum()),
        rate_by_kind.join(", "),
        seconds(detection.quantile(0.5)),
        seconds(detection.max()),
    );
}

fn seconds(length: Milliseconds) -> f64 {
    length.0 as f64 / 1000.0
}

/// Durations in ascending order.
struct SortedDurations(Vec<Milliseconds>);

impl SortedDurations {
    fn new(times: impl Iterator<Item = Milliseconds>) -> Self {
        let mut sorted: Vec<Milliseconds> = times.collect();
        sorted.sort_unstable();
        Self(sorted)
    }

    /// Returns the duration at this quantile, from 0 to 1; zero if there are no durations.
    fn quantile(&self, quantile: f64) -> Milliseconds {
        let Some(last) = self.0.len().checked_sub(1) else {
            return Milliseconds::ZERO;
        };
        self.0[(last as f64 * quantile).round() as usize]
    }

    fn max(&self) -> Milliseconds {
        self.0.last().copied().unwrap_or(Milliseconds::ZERO)
    }
}
