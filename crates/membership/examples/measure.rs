//! Measures membership on the simulated network: the time to see a crash, false deaths under loss, and datagrams and
//! bytes a gateway a second by the size of the fleet. Outside CI: `cargo run --release -p irisrouter-membership
//! --example measure`; the figures stand in `docs/membership.md`.

use irisrouter_membership::sim::Net;
use irisrouter_membership::{Liveness, Millis};

fn quantile(sorted: &[Millis], q: f64) -> Millis {
    if sorted.is_empty() {
        return 0;
    }
    sorted[((sorted.len() - 1) as f64 * q).round() as usize]
}

fn main() {
    println!("| fleet | settled after | datagrams a gateway a second | bytes a gateway a second | crash seen by all: p50, p99, most |");
    println!("| --- | --- | --- | --- | --- |");
    for (size, seeds) in [(5u32, 30u64), (50, 10), (300, 3)] {
        let mut all_seen = Vec::new();
        let (mut datagrams, mut bytes, mut settled) = (0.0, 0.0, 0);
        for seed in 1..=seeds {
            let mut net = Net::start(size, seed);
            let start = net.settle(120_000).unwrap_or(net.now());
            settled = settled.max(start);
            let before: (u64, u64) = net.sent.iter().fold((0, 0), |a, s| (a.0 + s.0, a.1 + s.1));
            net.run_until(start + 30_000);
            let after: (u64, u64) = net.sent.iter().fold((0, 0), |a, s| (a.0 + s.0, a.1 + s.1));
            datagrams += (after.0 - before.0) as f64 / f64::from(size) / 30.0 / seeds as f64;
            bytes += (after.1 - before.1) as f64 / f64::from(size) / 30.0 / seeds as f64;
            let crashed = size - 1;
            let at = net.now();
            net.crash(crashed);
            net.run_until(at + 60_000);
            let last = (0..crashed)
                .map(|o| {
                    net.changes
                        .iter()
                        .find(|(who, c)| {
                            *who == o && c.number == crashed && c.to == Liveness::Down && c.at >= at
                        })
                        .map_or(Millis::MAX, |(_, c)| c.at - at)
                })
                .max()
                .unwrap_or(0);
            all_seen.push(last);
        }
        all_seen.sort_unstable();
        println!(
            "| {size} | {:.1} s | {datagrams:.1} | {bytes:.0} | {:.1} s, {:.1} s, {:.1} s |",
            settled as f64 / 1000.0,
            quantile(&all_seen, 0.5) as f64 / 1000.0,
            quantile(&all_seen, 0.99) as f64 / 1000.0,
            *all_seen.last().unwrap_or(&0) as f64 / 1000.0
        );
    }
    println!();
    println!("| fleet | loss | runs of 60 s with a false death in a view | renewals | suspicions a gateway a minute | datagrams a gateway a second: ping, ack, ping-req, indirect ping, indirect ack, forwarded ack, announce, feed, gossip |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for size in [7u32, 50] {
        for loss in [0.1, 0.3, 0.4] {
            let seeds = if size == 7 { 40 } else { 5 };
            let (mut bad, mut suspicions) = (0, 0);
            let mut kinds = [0u64; 12];
            let mut renewals = 0;
            for seed in 1..=seeds {
                let mut net = Net::start(size, seed);
                let start = net.settle(120_000).unwrap_or(net.now());
                net.loss = loss;
                let before = net.kinds;
                let renewed = net.renewed.len();
                net.run_until(start + 60_000);
                renewals += net.renewed.len() - renewed;
                for (n, k) in kinds.iter_mut().enumerate() {
                    *k += net.kinds[n] - before[n];
                }
                let new = net.changes.iter().filter(|(_, c)| c.at >= start);
                if new.clone().any(|(_, c)| c.to == Liveness::Down) {
                    bad += 1;
                }
                suspicions +=
                    net.changes.iter().filter(|(_, c)| c.at >= start && c.to == Liveness::Suspect).count();
            }
            let per = |n: u64| n as f64 / f64::from(size) / seeds as f64 / 60.0;
            let by_kind: Vec<String> = kinds[..9].iter().map(|&n| format!("{:.1}", per(n))).collect();
            println!(
                "| {size} | {:.0} % | {bad} of {seeds} | {renewals} | {:.1} | {} |",
                loss * 100.0,
                suspicions as f64 / f64::from(size) / seeds as f64,
                by_kind.join(", ")
            );
        }
    }
}
