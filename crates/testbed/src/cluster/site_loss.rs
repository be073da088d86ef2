//! The loss and the return of a site, measured on real gateways and hosts with limited capacity: the same run without and
//! with failover plans, over many seeds.
//!
//! Three zones, three gateways, three sets of a primary and a replica. Zone `a` falls silent for a while and comes back
//! cold: its hosts start with 0.15 of their capacity, which grows to the whole within ten seconds.

use super::clock::as_ms;
use super::load::{Load, LoadProfile, StopOnDrop, PAGE_READ, REPORT};
use super::schedule::Pace;
use super::stand_ins::host::Host;
use super::{Cluster, ClusterError, EndpointListMode, GatewayLimits, Plan, PATIENCE};
use crate::compare::Interval;
use serde::Serialize;
use std::path::PathBuf;
use std::time::Duration;

const GATEWAYS: usize = 3;
const SETS: u64 = 3;
/// The zone that is lost.
const LOST_ZONE: &str = "a";

/// The capacity of a warm host, in requests a second.
const CAPACITY_PER_S: f64 = 60.0;
/// The share of it that a cold host starts with.
const COLD_SHARE: f64 = 0.15;
/// How long a cold host takes to have its whole capacity.
const WARM_UP: Duration = Duration::from_secs(10);

/// How long the run lasts before the loss, during it, and after the return, in milliseconds.
const BEFORE_MS: u64 = 8_000;
const LOSS_MS: u64 = 6_000;
const AFTER_MS: u64 = 16_000;

/// Service before the loss is measured over this time, in milliseconds.
const BASELINE_MS: u64 = 3_000;
/// Service during the loss is measured from this time after its start on, in milliseconds.
const REACTION_MS: u64 = 2_000;
/// Service has recovered when this part of the share that was served before is served over a window.
const RECOVERED: f64 = 0.95;
/// The length of that window, and its steps, in milliseconds.
const WINDOW_MS: u64 = 1_000;
const WINDOW_STEP_MS: usize = 100;

/// A set has a holder while its last health check is not older than this, in milliseconds.
const HOLDER_SEEN_WITHIN_MS: u64 = 300;
/// Between two checks whether every set has a holder.
const HOLDER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Whether gateways follow failover plans.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailoverPlans {
    /// They don't.
    Off,
    /// They do.
    On,
}

/// What one run came to.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct SiteLossResults {
    /// Requests a second that were served before the loss.
    #[serde(rename = "before_per_s")]
    pub served_per_s_before: f64,
    /// Requests served from 2 s after the loss until the return, as a share of what the remaining hosts can serve.
    #[serde(rename = "of_capacity_left")]
    pub share_of_remaining_capacity: f64,
    /// The share of reports sent then that was served; reports are worth more than page reads.
    pub reports_served: f64,
    /// The share of page reads sent then that was served.
    pub pages_served: f64,
    /// From the return until as large a share of requests is served as before, in seconds; the time until the end of the
    /// run where it never was.
    #[serde(rename = "full_after_s")]
    pub recovery_s: f64,
    /// The most statements that a returning host was sent in any second, as a share of its capacity then.
    #[serde(rename = "peak")]
    pub peak_load: f64,
}

/// When the site was lost and came back, in milliseconds since the start of the run.
#[derive(Debug, Clone, Copy)]
struct Outage {
    lost_at: u64,
    back_at: u64,
}

/// Runs the loss and the return of a site once.
///
/// # Errors
/// The cluster can't be started, or its gateways don't come to hold their leases.
pub fn run(
    seed: u64,
    program: PathBuf,
    plans: FailoverPlans,
) -> Result<SiteLossResults, ClusterError> {
    let cluster = start_cluster(seed, program, plans)?;
    for host in &cluster.hosts {
        host.limit_capacity(CAPACITY_PER_S);
    }
    let load = Load::new(LoadProfile {
        connections_per_gateway: 30,
        pause: Duration::from_millis(270),
        requests_per_page_read: 2,
        timeout_ms: 900,
    });
    let outage = run_outage(&cluster, &load);
    Ok(measure(&cluster, &load, outage))
}

/// Starts the cluster, and waits until every set has a holder of its lease.
fn start_cluster(
    seed: u64,
    program: PathBuf,
    plans: FailoverPlans,
) -> Result<Cluster, ClusterError> {
    let cluster = Cluster::start(Plan {
        gateways: GATEWAYS,
        sets: SETS,
        listed_sets: 0,
        zones: [LOST_ZONE, "b", "c"].map(String::from).to_vec(),
        seed,
        program,
        operators: operators_file(plans),
        endpoint_list: EndpointListMode::Pushed,
        deadline_percent: 100,
        limits: GatewayLimits::default(),
    })?;
    cluster.settle(PATIENCE).ok_or(ClusterError::ViewsDiffer)?;
    let settled_at = cluster.clock.now();
    while !cluster.every_set_has_holder(HOLDER_SEEN_WITHIN_MS) {
        if cluster.clock.now() > settled_at + as_ms(PATIENCE) {
            return Err(ClusterError::NoLeaseHolder);
        }
        std::thread::sleep(HOLDER_POLL_INTERVAL);
    }
    Ok(cluster)
}

fn operators_file(plans: FailoverPlans) -> String {
    let pace = Pace {
        lease_ms: Some(1_000),
        ..Pace::FAST
    };
    let enabled = plans == FailoverPlans::On;
    let sites = format!(
        "sites: {{ enabled: {enabled}, capacity_per_s: {CAPACITY_PER_S}, refuse: ['{PAGE_READ}', '{REPORT}'], \
         lost_after_ms: 500, back_after_ms: 500, ramp_from: {COLD_SHARE}, ramp_ms: {} }}, ",
        WARM_UP.as_millis()
    );
    pace.operators()
        .replace("{ membership", &format!("{{ {sites}membership"))
}

/// The hosts of the zone that is lost.
fn lost_hosts(cluster: &Cluster) -> Vec<&Host> {
    let hosts = cluster.hosts.iter();
    hosts.filter(|host| host.zone == LOST_ZONE).collect()
}

/// Runs the clients, cuts the lost zone's hosts off from all gateways, and lets them come back cold.
fn run_outage(cluster: &Cluster, load: &Load) -> Outage {
    let gateways: Vec<usize> = (0..GATEWAYS).collect();
    let lost = lost_hosts(cluster);
    let sleep = |ms| std::thread::sleep(Duration::from_millis(ms));
    std::thread::scope(|scope| {
        let _stop = StopOnDrop(load);
        scope.spawn(|| load.run(cluster, &gateways));
        sleep(BEFORE_MS);
        let lost_at = cluster.clock.now();
        for host in &lost {
            gateways.iter().for_each(|&gateway| host.cut(gateway, true));
        }
        sleep(LOSS_MS);
        let back_at = cluster.clock.now();
        for host in &lost {
            host.restart_cold(COLD_SHARE, WARM_UP);
            gateways
                .iter()
                .for_each(|&gateway| host.cut(gateway, false));
        }
        sleep(AFTER_MS);
        Outage { lost_at, back_at }
    })
}

fn measure(cluster: &Cluster, load: &Load, outage: Outage) -> SiteLossResults {
    let Outage { lost_at, back_at } = outage;
    let served = |from: u64, to: u64| {
        let outcomes = load.outcomes_between(from, to);
        outcomes.iter().filter(|o| o.is_served()).count() as f64
    };
    let served_share =
        |from: u64, to: u64| served(from, to) / load.outcomes_between(from, to).len().max(1) as f64;
    let during = load.outcomes_between(lost_at + REACTION_MS, back_at);
    let class_share = |class: &str| {
        let sent = during.iter().filter(|outcome| outcome.class == class);
        let served = sent.clone().filter(|outcome| outcome.is_served()).count();
        served as f64 / sent.count().max(1) as f64
    };
    let baseline = served_share(lost_at - BASELINE_MS, lost_at);
    let recovery_ms = (0..AFTER_MS - WINDOW_MS)
        .step_by(WINDOW_STEP_MS)
        .find(|after| {
            let from = back_at + after;
            served_share(from, from + WINDOW_MS) >= RECOVERED * baseline
        })
        .unwrap_or(AFTER_MS);
    let lost = lost_hosts(cluster);
    let remaining_capacity = CAPACITY_PER_S * (cluster.hosts.len() - lost.len()) as f64;
    let during_s = (back_at - lost_at - REACTION_MS) as f64 / 1e3;
    let peaks = lost.iter().map(|host| peak_load(host, back_at));
    SiteLossResults {
        served_per_s_before: served(lost_at - BASELINE_MS, lost_at) / (BASELINE_MS as f64 / 1e3),
        share_of_remaining_capacity: served(lost_at + REACTION_MS, back_at)
            / during_s
            / remaining_capacity,
        reports_served: class_share(REPORT),
        pages_served: class_share(PAGE_READ),
        recovery_s: recovery_ms as f64 / 1e3,
        peak_load: peaks.fold(0.0, f64::max),
    }
}

/// The most statements that a host was sent in a second from its return on, as a share of its capacity in the middle of
/// that second.
fn peak_load(host: &Host, back_at: u64) -> f64 {
    let seen = host.seen();
    let times: Vec<u64> = seen
        .statements
        .iter()
        .map(|statement| statement.0)
        .filter(|&at| at >= back_at)
        .collect();
    (0..AFTER_MS - WINDOW_MS)
        .step_by(WINDOW_STEP_MS)
        .map(|after| {
            let window = back_at + after..back_at + after + WINDOW_MS;
            let sent = times.iter().filter(|at| window.contains(at)).count() as f64;
            let warm = (after + WINDOW_MS / 2) as f64 / WARM_UP.as_millis() as f64;
            sent / (CAPACITY_PER_S * (COLD_SHARE + (1.0 - COLD_SHARE) * warm.min(1.0)))
        })
        .fold(0.0, f64::max)
}

/// Means with their 95 % intervals, without and with failover plans.
#[must_use]
pub fn text(off: &[SiteLossResults], on: &[SiteLossResults]) -> String {
    let line = |name: &str, value: fn(&SiteLossResults) -> f64| {
        let interval = |runs: &[SiteLossResults]| {
            let values: Vec<f64> = runs.iter().map(value).collect();
            let interval = Interval::of(&values, 1);
            format!(
                "{:.3} [{:.3}, {:.3}]",
                interval.mean, interval.low, interval.high
            )
        };
        format!("{name}: off {}; on {}\n", interval(off), interval(on))
    };
    [
        format!("{} runs off, {} on\n", off.len(), on.len()),
        line("served a second before", |r| r.served_per_s_before),
        line("served during the loss, of the capacity left", |r| {
            r.share_of_remaining_capacity
        }),
        line("reports served during the loss", |r| r.reports_served),
        line("pages served during the loss", |r| r.pages_served),
        line("seconds to full service", |r| r.recovery_s),
        line("peak load of a returning host, of what it bore", |r| {
            r.peak_load
        }),
    ]
    .concat()
}
