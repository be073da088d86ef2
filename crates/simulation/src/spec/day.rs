//! One day of a simulation: the values that are drawn from the ranges of the settings.

use super::{ClassSpec, Need, Spec, ValueOrRange};
use crate::rng::{Rng, Stream};
use crate::{ms, seconds, Ns};

/// One day: the values drawn from the ranges of a [`Spec`] for a seed. Times are in nanoseconds.
#[derive(Clone, Debug)]
pub struct Day {
    /// Arrivals of requests, and the work that they need.
    pub demand: Demand,
    /// Cost of connections and probes, cold start, and report interval of hosts.
    pub hosts: HostTimes,
    /// Delays of replication.
    pub replication: ReplicationTimes,
    /// Behaviour of clients and the front layer.
    pub clients: ClientBehaviour,
    /// Delays of the network.
    pub network: NetworkTimes,
}

/// Arrivals of requests on a day, and the work that they need.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Rate of new requests over all sets, per second, without traffic surges.
    pub rate: f64,
    /// Share of each set in the rate, to a sum of 1.
    pub set_shares: Vec<f64>,
    /// Mean work of a request of each class, in nanoseconds on one core.
    pub work: Vec<f64>,
    /// Share of each class in the rate, to a sum of 1.
    pub class_shares: Vec<f64>,
    /// Fraction of the session reads that follow a write of their session.
    pub follower_share: f64,
    /// Mean time from a write to a read that follows it.
    pub follower_gap: Ns,
    /// Fraction of a session's requests that go to any gateway instead of the session's gateway.
    pub roaming_share: f64,
}

/// Cost of connections and probes, cold start, and report interval of hosts on a day.
#[derive(Clone, Debug)]
pub struct HostTimes {
    /// CPU time that a new connection costs a host.
    pub connect_work: Ns,
    /// CPU time that a probe costs a host.
    pub probe_work: Ns,
    /// Fraction of its capacity with which a host starts.
    pub cold_start: f64,
    /// Time from the start of a host until it has its full capacity.
    pub warm_up: Ns,
    /// Interval at which a host refreshes its load report.
    pub report_every: Ns,
}

/// Delays of replication on a day.
#[derive(Clone, Debug)]
pub struct ReplicationTimes {
    /// Time from a commit until a replica receives it.
    pub ship: Ns,
    /// Time that a replica needs to apply one commit.
    pub apply: Ns,
}

/// Behaviour of clients and the front layer on a day.
#[derive(Clone, Debug)]
pub struct ClientBehaviour {
    /// Time after which a client gives up a try, as a fraction of the class's deadline.
    pub patience: f64,
    /// Delay before the first retry.
    pub backoff: Ns,
    /// Fraction of the rejected tries after which the client waits as long as the rejection asks.
    pub honour: f64,
    /// Time from the death of a gateway until the front stops sending to it.
    pub front_notice: Ns,
}

/// One-way delays of the network on a day.
#[derive(Clone, Debug)]
pub struct NetworkTimes {
    /// Delay between gateway and host.
    pub host_way: Ns,
    /// Delay between client and gateway.
    pub client_way: Ns,
    /// Delay of datagrams between gateways.
    pub datagram_way: Ns,
    /// Maximum random increase of a delay, as a fraction of it.
    pub jitter: f64,
}

impl Day {
    /// Draws the day that `seed` gives.
    pub fn draw(spec: &Spec, seed: u64) -> Day {
        let mut rng = Rng::new(seed, Stream::Day);
        let total: f64 = spec.classes.iter().map(|c| c.share).sum();
        let class_shares: Vec<f64> = spec.classes.iter().map(|c| c.share / total).collect();
        let work: Vec<f64> = spec
            .classes
            .iter()
            .map(|c| ms(c.work_ms.draw(&mut rng)) as f64)
            .collect();
        let full_rate = full_load_rate(spec, &class_shares, &work);
        let load = spec.traffic.load.draw(&mut rng);
        let rate = spec.traffic.requests_per_s.unwrap_or(load * full_rate);
        let write_share: f64 = (spec.classes.iter().zip(&class_shares))
            .filter(|(c, _)| c.need == Need::Write)
            .map(|(_, share)| share)
            .sum();
        let full_write_rate = full_rate * write_share / f64::from(spec.set_count());
        let apply_use = spec.sets.apply_use.draw(&mut rng);
        let sizes: Vec<f64> = (0..spec.set_count())
            .map(|_| rng.log_normal(1.0, spec.sets.skew))
            .collect();
        let total_size: f64 = sizes.iter().sum();
        let set_shares = sizes.iter().map(|size| size / total_size).collect();
        let apply = if full_write_rate > 0.0 {
            seconds(apply_use / full_write_rate)
        } else {
            0
        };
        // The order of these draws must not change: with another order, a seed would give another day.
        let mut time = |range: ValueOrRange| ms(range.draw(&mut rng));
        let connect_work = time(spec.hosts.connect_work_ms);
        let probe_work = time(spec.hosts.probe_work_ms);
        let report_every = time(spec.hosts.report_ms).max(1);
        let ship = time(spec.sets.ship_ms);
        let follower_gap = time(spec.traffic.gap_ms);
        let backoff = time(spec.clients.backoff_ms);
        let host_way = time(spec.net.host_ms);
        let client_way = time(spec.net.client_ms);
        let datagram_way = time(spec.net.datagram_ms);
        let cold_start = spec.hosts.cold_start.draw(&mut rng);
        let warm_up = seconds(spec.hosts.cold_s.draw(&mut rng));
        let follower_share = spec.traffic.follows.draw(&mut rng);
        let roaming_share = spec.traffic.roams.draw(&mut rng);
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
                follower_share,
                follower_gap,
                roaming_share,
            },
            hosts: HostTimes {
                connect_work,
                probe_work,
                cold_start,
                warm_up,
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

/// Returns the rate of requests over all sets at full load, per second. At full load either all cores of a set or those
/// of its primary are always busy, whichever happens at the lower rate.
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
