//! Measures membership on the simulated network: the time to detect a crash, false verdicts under loss, and datagrams and
//! bytes of a gateway in a second by the size of the fleet. It does not run in CI:
//! `cargo run --release -p irisrouter-membership --example measure`; the results are in `docs/membership.md`.

use irisrouter_membership::codec::KINDS;
use irisrouter_membership::{Liveness, LivenessChange, Millis, Settings};
use irisrouter_simulated_network::{SentTraffic, SimulatedNetwork};

/// How long a fleet may take to settle.
const SETTLE_LIMIT_MS: Millis = 120_000;
/// After this time the updates of the start have been disseminated.
const WARM_UP_MS: Millis = 15_000;
/// For how long the traffic of a settled fleet is counted.
const TRAFFIC_MS: Millis = 30_000;
/// For how long a fleet runs under loss.
const LOSS_MS: Millis = 60_000;

fn main() {
    print_sizes();
    println!();
    print_losses();
}

/// Calls `run` for each seed from 1 to `seeds`, spread over the machine's cores; the result of a seed does not depend on
/// the core that it runs on.
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

/// Crashes the last member, and returns how long it took until all others saw it down, within `limit`.
fn measure_detection(network: &mut SimulatedNetwork, fleet_size: u32, limit: Millis) -> Millis {
    let crashed = fleet_size - 1;
    let crashed_at = network.now();
    network.crash(crashed);
    network.run_until(crashed_at + limit);
    (0..crashed)
        .map(|observer| time_to_down(network, observer, crashed, crashed_at))
        .max()
        .unwrap_or(0)
}

fn time_to_down(network: &SimulatedNetwork, observer: u32, member: u32, since: Millis) -> Millis {
    changes_since(network, since)
        .filter(|&(change_observer, _)| change_observer == observer)
        .map(|(_, change)| change)
        .find(|change| change.number == member && change.to == Liveness::Down)
        .map_or(Millis::MAX, |change| change.at - since)
}

/// The changes of all views since a time, each with the number of the observer.
fn changes_since(
    network: &SimulatedNetwork,
    since: Millis,
) -> impl Iterator<Item = (u32, LivenessChange)> + '_ {
    network
        .record
        .changes
        .iter()
        .map(|observed| (observed.observer, observed.change))
        .filter(move |(_, change)| change.at >= since)
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
struct SizeRun {
    settled_at: Millis,
    datagrams: u64,
    bytes: u64,
    detection: Millis,
    healing: Millis,
}

fn run_size(fleet_size: u32, seed: u64) -> SizeRun {
    let mut network = SimulatedNetwork::start(fleet_size, seed);
    let settled_at = network.settle(SETTLE_LIMIT_MS).unwrap_or(Millis::MAX);
    network.run_until(network.now() + WARM_UP_MS);
    let before = total_traffic(&network);
    network.run_until(network.now() + TRAFFIC_MS);
    let after = total_traffic(&network);
    let detection = measure_detection(&mut network, fleet_size, 40_000);
    let healing = measure_healing(&mut network, fleet_size - 1);
    SizeRun {
        settled_at,
        datagrams: after.datagrams - before.datagrams,
        bytes: after.bytes - before.bytes,
        detection,
        healing,
    }
}

/// Cuts the fleet in halves for a minute, and returns how long it took until it came to one view again.
fn measure_healing(network: &mut SimulatedNetwork, members: u32) -> Millis {
    let (left, right): (Vec<u32>, Vec<u32>) = (0..members).partition(|number| number % 2 == 0);
    network.partition(&left, &right);
    network.run_until(network.now() + 60_000);
    network.heal();
    let healed_at = network.now();
    let settled_at = network.settle(SETTLE_LIMIT_MS);
    settled_at.map_or(Millis::MAX, |settled_at| settled_at - healed_at)
}

fn print_sizes() {
    println!("| fleet, seeds | settled after at most | datagrams, bytes a gateway a second | crash seen by all: p50, p99, most | bound | cut in halves healed after: p50, most | bound |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (fleet_size, seeds) in [(5u32, 300u64), (7, 300), (50, 60), (300, 12)] {
        let runs = run_seeds(seeds, |seed| run_size(fleet_size, seed));
        let seconds_counted = seconds(TRAFFIC_MS);
        let rate =
            |total: u64| total as f64 / f64::from(fleet_size) / seconds_counted / seeds as f64;
        let detection = Sorted::new(runs.iter().map(|run| run.detection));
        let healing = Sorted::new(runs.iter().map(|run| run.healing));
        let settled = Sorted::new(runs.iter().map(|run| run.settled_at));
        let settings = Settings::for_fleet(fleet_size);
        println!(
            "| {fleet_size}, {seeds} | {:.1} s | {:.1}, {:.0} | {:.1}, {:.1}, {:.1} s | {:.1} s | {:.1}, {:.1} s | {:.1} s |",
            seconds(settled.max()),
            rate(runs.iter().map(|run| run.datagrams).sum()),
            rate(runs.iter().map(|run| run.bytes).sum()),
            seconds(detection.quantile(0.5)),
            seconds(detection.quantile(0.99)),
            seconds(detection.max()),
            seconds(settings.detection_bound_ms()),
            seconds(healing.quantile(0.5)),
            seconds(healing.max()),
            seconds(settings.heal_bound_ms()),
        );
    }
}

/// The measurements of one run under loss.
struct LossRun {
    sent_by_kind: [u64; KINDS],
    had_false_verdict: bool,
    suspicions: usize,
    refutations: usize,
    detection: Millis,
}

fn run_loss(fleet_size: u32, loss: f64, seed: u64) -> LossRun {
    let mut network = SimulatedNetwork::start(fleet_size, seed);
    network.settle(SETTLE_LIMIT_MS);
    network.run_until(network.now() + WARM_UP_MS);
    network.faults.loss = loss;
    let start = network.now();
    let before = network.record.sent_by_kind;
    network.run_until(start + LOSS_MS);
    let after = network.record.sent_by_kind;
    let count = |to| changes_since(&network, start).filter(move |(_, change)| change.to == to);
    let had_false_verdict = count(Liveness::Down).next().is_some();
    let suspicions = count(Liveness::Suspect).count();
    let refutations = network.record.refutations.iter();
    let refutations = refutations
        .filter(|refutation| refutation.at >= start)
        .count();
    LossRun {
        sent_by_kind: std::array::from_fn(|kind| after[kind] - before[kind]),
        had_false_verdict,
        suspicions,
        refutations,
        detection: measure_detection(&mut network, fleet_size, LOSS_MS),
    }
}

fn print_losses() {
    println!("| fleet | loss | runs of 60 s with a false verdict in a view | refutations | suspicions a gateway a minute | datagrams a gateway a second: all; ping, ack, ping-req, indirect ack, join, member list, gossip | crash under it seen by all: p50, most |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (fleet_size, seeds) in [(7u32, 300u64), (50, 30), (300, 6)] {
        for loss in [0.1, 0.3, 0.4] {
            print_loss(fleet_size, seeds, loss);
        }
    }
}

fn print_loss(fleet_size: u32, seeds: u64, loss: f64) {
    let runs = run_seeds(seeds, |seed| run_loss(fleet_size, loss, seed));
    let per_gateway = |total: f64| total / f64::from(fleet_size) / seeds as f64;
    let rate = |total: u64| per_gateway(total as f64) / seconds(LOSS_MS);
    let kind_total = |kind: usize| runs.iter().map(|run| run.sent_by_kind[kind]).sum::<u64>();
    // Without the last kind: no member leaves in these runs.
    let rate_by_kind: Vec<String> = (0..KINDS - 1)
        .map(|kind| format!("{:.1}", rate(kind_total(kind))))
        .collect();
    let suspicions: usize = runs.iter().map(|run| run.suspicions).sum();
    let detection = Sorted::new(runs.iter().map(|run| run.detection));
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

fn seconds(ms: Millis) -> f64 {
    ms as f64 / 1000.0
}

/// Times in ascending order.
struct Sorted(Vec<Millis>);

impl Sorted {
    fn new(times: impl Iterator<Item = Millis>) -> Self {
        let mut sorted: Vec<Millis> = times.collect();
        sorted.sort_unstable();
        Self(sorted)
    }

    /// The quantile (0 to 1); 0 without any time.
    fn quantile(&self, quantile: f64) -> Millis {
        let Some(last) = self.0.len().checked_sub(1) else {
            return 0;
        };
        self.0[(last as f64 * quantile).round() as usize]
    }

    fn max(&self) -> Millis {
        self.0.last().copied().unwrap_or(0)
    }
}
