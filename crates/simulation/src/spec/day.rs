//! One day of a simulation: the value that each range of the settings came to.

use super::{ClassSpec, Need, Spec, ValueOrRange};
use crate::rng::{Rng, Stream};
use crate::{ms, seconds, Ns};

/// One day: what the ranges of a [`Spec`] came to for a seed.
#[derive(Clone, Debug)]
pub struct Day {
    /// First tries a second over all sets, without floods.
    pub rate: f64,
    /// Each set's part of them.
    pub set_shares: Vec<f64>,
    /// Mean work of each class, in nanoseconds on a core.
    pub work: Vec<f64>,
    /// Share of each class, to a sum of 1.
    pub class_shares: Vec<f64>,
    /// Work of a new connection.
    pub connect_work: Ns,
    /// Work of a probe.
    pub probe_work: Ns,
    /// Part of its capacity with which a host starts.
    pub cold_start: f64,
    /// Time until it is warm.
    pub cold_for: Ns,
    /// Reports are made anew each so often.
    pub report_every: Ns,
    /// The log's way to a replica.
    pub ship: Ns,
    /// Time that a replica needs to apply one write.
    pub apply: Ns,
    /// Part of the session reads that follow a write.
    pub follows: f64,
    /// Mean time from write to read.
    pub gap: Ns,
    /// Part of a session's requests that come to any gateway.
    pub roams: f64,
    /// Part of the class's time after which a try is given up.
    pub patience: f64,
    /// The first wait before a retry.
    pub backoff: Ns,
    /// Part of the clients that wait as a refusal says.
    pub honour: f64,
    /// The front notices a dead gateway after this time.
    pub front_notice: Ns,
    /// One way between gateway and host, and between client and gateway.
    pub host_way: Ns,
    /// Likewise, client and gateway.
    pub client_way: Ns,
    /// Likewise, between gateways.
    pub datagram_way: Ns,
    /// Each way is longer by up to this part.
    pub jitter: f64,
}

impl Day {
    /// Draws a day.
    pub fn draw(spec: &Spec, seed: u64) -> Day {
        let mut d = Rng::new(seed, Stream::Day);
        let total: f64 = spec.classes.iter().map(|c| c.share).sum();
        let class_shares: Vec<f64> = spec.classes.iter().map(|c| c.share / total).collect();
        let work: Vec<f64> = spec
            .classes
            .iter()
            .map(|c| ms(c.work_ms.draw(&mut d)) as f64)
            .collect();
        let part = |fit: &dyn Fn(&ClassSpec) -> bool| -> f64 {
            let all = spec.classes.iter().zip(class_shares.iter().zip(&work));
            all.filter(|(c, _)| fit(c))
                .map(|(_, (share, work))| share * work)
                .sum()
        };
        let members = f64::from(spec.hosts.count) / f64::from(spec.set_count());
        // Full: the cores of a set, or of its primary alone, are in use all the time.
        let by_cores = members * spec.hosts.cores / part(&|_| true);
        let by_primary =
            spec.hosts.cores / part(&|c| matches!(c.need, Need::Write | Need::Fresh)).max(1e-9);
        let full = by_cores.min(by_primary) * 1e9 * f64::from(spec.set_count());
        let load = spec.traffic.load.draw(&mut d);
        let rate = spec.traffic.requests_per_s.unwrap_or(load * full);
        let writes: f64 = (spec.classes.iter().zip(&class_shares))
            .filter(|(c, _)| c.need == Need::Write)
            .map(|(_, share)| share)
            .sum();
        let full_writes = full * writes / f64::from(spec.set_count());
        let apply_use = spec.sets.apply_use.draw(&mut d);
        let sizes: Vec<f64> = (0..spec.set_count())
            .map(|_| d.log_normal(1.0, spec.sets.skew))
            .collect();
        let sum: f64 = sizes.iter().sum();
        let mut time = |b: ValueOrRange| ms(b.draw(&mut d));
        Day {
            rate,
            set_shares: sizes.iter().map(|s| s / sum).collect(),
            work,
            class_shares,
            connect_work: time(spec.hosts.connect_work_ms),
            probe_work: time(spec.hosts.probe_work_ms),
            report_every: time(spec.hosts.report_ms).max(1),
            ship: time(spec.sets.ship_ms),
            apply: if full_writes > 0.0 {
                seconds(apply_use / full_writes)
            } else {
                0
            },
            gap: time(spec.traffic.gap_ms),
            backoff: time(spec.clients.backoff_ms),
            host_way: time(spec.net.host_ms),
            client_way: time(spec.net.client_ms),
            datagram_way: time(spec.net.datagram_ms),
            cold_start: spec.hosts.cold_start.draw(&mut d),
            cold_for: seconds(spec.hosts.cold_s.draw(&mut d)),
            follows: spec.traffic.follows.draw(&mut d),
            roams: spec.traffic.roams.draw(&mut d),
            patience: spec.clients.patience.draw(&mut d),
            honour: spec.clients.honour.draw(&mut d),
            front_notice: seconds(spec.clients.notice_s.draw(&mut d)),
            jitter: spec.net.jitter.draw(&mut d),
        }
    }
}
