//! One day of a simulation: the value that each range of the settings came to.

use super::{ClassSpec, Need, Spec, ValueOrRange};
use crate::rng::{Rng, Stream};
use crate::{ms, seconds, Ns};

/// One day: what the ranges of a [`Spec`] came to for a seed. Times are in nanoseconds.
#[derive(Clone, Debug)]
pub struct Day {
    /// How requests come, and how much work they are.
    pub demand: Demand,
    /// What hosts need for what they do beside requests.
    pub hosts: HostTimes,
    /// How fast the log reaches replicas.
    pub replication: ReplicationTimes,
    /// What clients and their front do.
    pub clients: ClientBehaviour,
    /// Times on the network.
    pub network: NetworkTimes,
}

/// How requests come on a day, and how much work they are.
#[derive(Clone, Debug)]
pub struct Demand {
    /// First tries a second over all sets, without floods.
    pub rate: f64,
    /// Each set's part of them.
    pub set_shares: Vec<f64>,
    /// Mean work of each class, in nanoseconds on a core.
    pub work: Vec<f64>,
    /// Share of each class, to a sum of 1.
    pub class_shares: Vec<f64>,
    /// Part of the session reads that follow a write.
    pub follows: f64,
    /// Mean time from write to read.
    pub gap: Ns,
    /// Part of a session's requests that come to any gateway.
    pub roams: f64,
}

/// What hosts need on a day for what they do beside requests.
#[derive(Clone, Debug)]
pub struct HostTimes {
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
}

/// How fast the log reaches replicas on a day.
#[derive(Clone, Debug)]
pub struct ReplicationTimes {
    /// The log's way to a replica.
    pub ship: Ns,
    /// Time that a replica needs to apply one write.
    pub apply: Ns,
}

/// What clients and their front do on a day.
#[derive(Clone, Debug)]
pub struct ClientBehaviour {
    /// Part of the class's time after which a try is given up.
    pub patience: f64,
    /// The first wait before a retry.
    pub backoff: Ns,
    /// Part of the clients that wait as a refusal says.
    pub honour: f64,
    /// The front notices a dead gateway after this time.
    pub front_notice: Ns,
}

/// Times on the network on a day, each one way.
#[derive(Clone, Debug)]
pub struct NetworkTimes {
    /// Between gateway and host.
    pub host_way: Ns,
    /// Between client and gateway.
    pub client_way: Ns,
    /// Between gateways.
    pub datagram_way: Ns,
    /// Each way is longer by up to this part.
    pub jitter: f64,
}

impl Day {
    /// Draws a day.
    pub fn draw(spec: &Spec, seed: u64) -> Day {
        let mut rng = Rng::new(seed, Stream::Day);
        let total: f64 = spec.classes.iter().map(|c| c.share).sum();
        let class_shares: Vec<f64> = spec.classes.iter().map(|c| c.share / total).collect();
        let work: Vec<f64> = spec
            .classes
            .iter()
            .map(|c| ms(c.work_ms.draw(&mut rng)) as f64)
            .collect();
        let full = full_load_rate(spec, &class_shares, &work);
        let load = spec.traffic.load.draw(&mut rng);
        let rate = spec.traffic.requests_per_s.unwrap_or(load * full);
        let writes: f64 = (spec.classes.iter().zip(&class_shares))
            .filter(|(c, _)| c.need == Need::Write)
            .map(|(_, share)| share)
            .sum();
        let full_writes = full * writes / f64::from(spec.set_count());
        let apply_use = spec.sets.apply_use.draw(&mut rng);
        let sizes: Vec<f64> = (0..spec.set_count())
            .map(|_| rng.log_normal(1.0, spec.sets.skew))
            .collect();
        let sum: f64 = sizes.iter().sum();
        let set_shares = sizes.iter().map(|size| size / sum).collect();
        let apply = if full_writes > 0.0 {
            seconds(apply_use / full_writes)
        } else {
            0
        };
        // The order of these draws is part of a seed's meaning: another order gives other days.
        let mut time = |range: ValueOrRange| ms(range.draw(&mut rng));
        let connect_work = time(spec.hosts.connect_work_ms);
        let probe_work = time(spec.hosts.probe_work_ms);
        let report_every = time(spec.hosts.report_ms).max(1);
        let ship = time(spec.sets.ship_ms);
        let gap = time(spec.traffic.gap_ms);
        let backoff = time(spec.clients.backoff_ms);
        let host_way = time(spec.net.host_ms);
        let client_way = time(spec.net.client_ms);
        let datagram_way = time(spec.net.datagram_ms);
        let cold_start = spec.hosts.cold_start.draw(&mut rng);
        let cold_for = seconds(spec.hosts.cold_s.draw(&mut rng));
        let follows = spec.traffic.follows.draw(&mut rng);
        let roams = spec.traffic.roams.draw(&mut rng);
        let patience = spec.clients.patience.draw(&mut rng);
        let honour = spec.clients.honour.draw(&mut rng);
        let front_notice = seconds(spec.clients.notice_s.draw(&mut rng));
        let jitter = spec.net.jitter.draw(&mut rng);
        Day {
            demand: Demand {
                rate,
                set_shares,
                work,
                class_shares,
                follows,
                gap,
                roams,
            },
            hosts: HostTimes {
                connect_work,
                probe_work,
                cold_start,
                cold_for,
                report_every,
            },
            replication: ReplicationTimes { ship, apply },
            clients: ClientBehaviour {
                patience,
                backoff,
                honour,
                front_notice,
            },
            network: NetworkTimes {
                host_way,
                client_way,
                datagram_way,
                jitter,
            },
        }
    }
}

/// Requests a second over all sets at full load: the cores of a set, or of its primary alone, are in use all the time.
fn full_load_rate(spec: &Spec, class_shares: &[f64], work: &[f64]) -> f64 {
    let mean_work = |fits: &dyn Fn(&ClassSpec) -> bool| -> f64 {
        let all = spec.classes.iter().zip(class_shares.iter().zip(work));
        all.filter(|(class, _)| fits(class))
            .map(|(_, (share, work))| share * work)
            .sum()
    };
    let members = f64::from(spec.hosts.count) / f64::from(spec.set_count());
    let by_cores = members * spec.hosts.cores / mean_work(&|_| true);
    let on_primary = |class: &ClassSpec| matches!(class.need, Need::Write | Need::Fresh);
    let by_primary = spec.hosts.cores / mean_work(&on_primary).max(1e-9);
    by_cores.min(by_primary) * 1e9 * f64::from(spec.set_count())
}
