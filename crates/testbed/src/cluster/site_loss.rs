//! Measures the loss and the return of a site with real gateways and stand-in hosts of limited capacity: the same run
//! without and with failover plans, over many seeds.
//!
//! There are three zones, three gateways, and three sets of a primary and a replica. The hosts of zone `a` are cut off
//! for some seconds and return in slow start: with 0.15 of their capacity, which grows to the full capacity within ten
//! seconds.

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
/// The zone whose hosts are cut off.
const LOST_ZONE: &str = "a";

/// Full capacity of a host, in requests per second.
const CAPACITY_PER_S: f64 = 60.0;
/// Share of its full capacity with which a host starts after its return.
const INITIAL_SHARE: f64 = 0.15;
/// Time from the return of a host until it has its full capacity.
const SLOW_START: Duration = Duration::from_secs(10);

/// Durations of the parts of the run before the loss, from the loss to the return, and after the return, in
/// milliseconds.
const BEFORE_MS: u64 = 8_000;
const LOSS_MS: u64 = 6_000;
const AFTER_MS: u64 = 16_000;

/// Length of the period before the loss over which the baseline is measured, in milliseconds.
const BASELINE_MS: u64 = 3_000;
/// Time from the loss until the measurement of service during the loss starts, in milliseconds, because the gateways
/// need time to react.
const REACTION_TIME_MS: u64 = 2_000;
/// Service has recovered when the share of requests served in a window is at least this part of the baseline share.
const RECOVERED_SHARE: f64 = 0.95;
/// Length of that window and the step by which it moves, in milliseconds.
const WINDOW_MS: u64 = 1_000;
const WINDOW_STEP_MS: usize = 100;

/// A set counts as having a lease holder if a health check was accepted within this time, in milliseconds.
const HOLDER_SEEN_WITHIN_MS: u64 = 300;
/// Time between two checks whether every set has a lease holder.
const HOLDER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Whether failover plans are enabled at the gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailoverPlans {
    /// Gateways make and follow no plans.
    Off,
    /// Gateways make and follow plans.
    On,
}

/// The measurements of one run.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct SiteLossResults {
    /// Requests served per second before the loss.
    #[serde(rename = "before_per_s")]
    pub served_per_s_before: f64,
    /// Requests served from 2 s after the loss until the return, as a share of the capacity of the remaining hosts.
    #[serde(rename = "of_capacity_left")]
    pub share_of_remaining_capacity: f64,
    /// Share of the reports that was served in that period; the value of a report is higher than that of a page read.
    pub reports_served: f64,
    /// Share of the page reads that was served in that period.
    pub pages_served: f64,
    /// Time from the return until service has recovered to 95 % of the share served before the loss, in seconds; if it
    /// does not, the time from the return until the end of the run.
    #[serde(rename = "full_after_s")]
    pub recovery_s: f64,
    /// Maximum over all seconds after the return and all returning hosts of the number of statements that the host was
    /// sent, as a share of its capacity in that second.
    #[serde(rename = "peak")]
    pub peak_load: f64,
}

/// The times at which the site was lost and returned, in milliseconds since the start of the run.
#[derive(Debug, Clone, Copy)]
struct Outage {
    lost_at: u64,
    back_at: u64,
}

/// Runs the loss and the return of a site once.
///
/// # Errors
/// The cluster cannot be started, its gateways' views do not agree in time, or a lease is not acquired in time.
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

/// Starts the cluster and waits until the gateways' views agree and every set has a lease holder.
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
         lost_after_ms: 500, back_after_ms: 500, ramp_from: {INITIAL_SHARE}, ramp_ms: {} }}, ",
        SLOW_START.as_millis()
    );
    pace.operators()
        .replace("{ membership", &format!("{{ {sites}membership"))
}

/// The hosts of the zone that is lost.
fn lost_hosts(cluster: &Cluster) -> Vec<&Host> {
    let hosts = cluster.hosts.iter();
    hosts.filter(|host| host.zone == LOST_ZONE).collect()
}

/// Runs the clients, cuts the lost zone's hosts off from all gateways, and reconnects them in slow start.
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
            host.restart_in_slow_start(INITIAL_SHARE, SLOW_START);
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
    let during = load.outcomes_between(lost_at + REACTION_TIME_MS, back_at);
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
            served_share(from, from + WINDOW_MS) >= RECOVERED_SHARE * baseline
        })
        .unwrap_or(AFTER_MS);
    let lost = lost_hosts(cluster);
    let remaining_capacity = CAPACITY_PER_S * (cluster.hosts.len() - lost.len()) as f64;
    let during_s = (back_at - lost_at - REACTION_TIME_MS) as f64 / 1e3;
    let peaks = lost.iter().map(|host| peak_load(host, back_at));
    SiteLossResults {
        served_per_s_before: served(lost_at - BASELINE_MS, lost_at) / (BASELINE_MS as f64 / 1e3),
        share_of_remaining_capacity: served(lost_at + REACTION_TIME_MS, back_at)
            / during_s
            / remaining_capacity,
        reports_served: class_share(REPORT),
        pages_served: class_share(PAGE_READ),
        recovery_s: recovery_ms as f64 / 1e3,
        peak_load: peaks.fold(0.0, f64::max),
    }
}

/// Maximum number of statements that a host was sent in any second after its return, as a share of its capacity in the
/// middle of that second.
fn peak_load(host: &Host, back_at: u64) -> f64 {
    let record = host.record();
    let times: Vec<u64> = record
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
            let progress = (after + WINDOW_MS / 2) as f64 / SLOW_START.as_millis() as f64;
            sent / (CAPACITY_PER_S * (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * progress.min(1.0)))
        })
        .fold(0.0, f64::max)
}

/// Formats the means and their 95 % confidence intervals, without and with failover plans.
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
        format!(
            "{} runs without failover plans (off), {} with them (on)\n",
            off.len(),
            on.len()
        ),
        line("served per second before the loss", |r| {
            r.served_per_s_before
        }),
        line(
            "served during the loss, as a share of the remaining capacity",
            |r| r.share_of_remaining_capacity,
        ),
        line("share of reports served during the loss", |r| {
            r.reports_served
        }),
        line("share of page reads served during the loss", |r| {
            r.pages_served
        }),
        line("seconds from the return to recovery", |r| r.recovery_s),
        line(
            "peak load of a returning host, as a share of its capacity",
            |r| r.peak_load,
        ),
    ]
    .concat()
}
