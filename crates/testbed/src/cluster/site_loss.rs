//! The loss and the return of a site, measured on real gateways and hosts with limits: the same run with the plan off and
//! on, over many seeds.
//!
//! Three zones, three gateways, three sets of a primary and a replica. Each host bears so many requests a second; zone `a`
//! falls silent for a while and comes back cold: its hosts bear 0.15 of that, and all of it after ten seconds.

use super::load::{Load, Shape, Stop};
use super::schedule::Pace;
use super::{Cluster, Plan, PATIENCE};
use crate::compare::Interval;
use serde::Serialize;
use std::path::PathBuf;
use std::time::Duration;

/// What a warm host bears, a second.
const CAPACITY: f64 = 60.0;
const COLD_PART: f64 = 0.15;
const COLD: Duration = Duration::from_secs(10);
/// The hosts of zone `a`, its load before and after, and how long each stretch lasts.
const BEFORE: u64 = 8_000;
const LOST: u64 = 6_000;
const AFTER: u64 = 16_000;
/// Full service again: this part of the share that was served before, over a second.
const FULL: f64 = 0.95;
const WINDOW: u64 = 1_000;

/// What one run came to.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct RunResults {
    /// Requests a second that were served before the loss.
    pub before_per_s: f64,
    /// Those served from 2 s after the loss until the return, against what the hosts that are left bear.
    pub of_capacity_left: f64,
    /// The part of the reports asked for then that was served; reports are worth more than pages.
    pub reports_served: f64,
    /// The part of the pages asked for then that was served.
    pub pages_served: f64,
    /// From the return until as large a share of what is asked is served as before, in seconds; the whole stretch where it never was.
    pub full_after_s: f64,
    /// The most that a returning host was sent in any second, against what it bore then.
    pub peak: f64,
}

fn operators(plan: bool) -> String {
    let pace = Pace {
        lease_ms: Some(1_000),
        ..Pace::FAST
    };
    let sites = format!(
        "sites: {{ enabled: {plan}, capacity_per_s: {CAPACITY}, refuse: ['page-read', 'report'], \
         lost_after_ms: 500, back_after_ms: 500, ramp_from: {COLD_PART}, ramp_ms: {} }}, ",
        COLD.as_millis()
    );
    pace.operators()
        .replace("{ membership", &format!("{{ {sites}membership"))
}

/// One run.
///
/// # Errors
/// It can't be started, or the gateways don't come to own their duties.
pub fn run(seed: u64, program: PathBuf, plan: bool) -> Result<RunResults, String> {
    let zones = ["a", "b", "c"].map(String::from).to_vec();
    let plan = Plan {
        gateways: 3,
        sets: 3,
        zones,
        seed,
        program,
        operators: operators(plan),
        ask: false,
    };
    let cluster = Cluster::start(plan)?;
    cluster
        .settle(PATIENCE)
        .ok_or("the fleet does not see itself whole")?;
    let began = cluster.clock.now();
    while !(0..3).all(|set| cluster.prober(set, 300).is_some()) {
        if cluster.clock.now() > began + PATIENCE.as_millis() as u64 {
            return Err("a set has no owner".into());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    cluster.hosts.iter().for_each(|h| h.bears(CAPACITY));
    let lost: Vec<_> = cluster.hosts.iter().filter(|h| h.zone == "a").collect();
    let shape = Shape {
        each: 30,
        pause: Duration::from_millis(270),
        pages: 2,
        patience_ms: 900,
    };
    let load = Load::new(shape);
    let sleep = |ms| std::thread::sleep(Duration::from_millis(ms));
    let (cut_at, back_at) = std::thread::scope(|scope| {
        let _stop = Stop(&load);
        scope.spawn(|| load.run(&cluster, &[0, 1, 2]));
        sleep(BEFORE);
        let cut_at = cluster.clock.now();
        lost.iter()
            .for_each(|h| (0..3).for_each(|g| h.cut(g, true)));
        sleep(LOST);
        let back_at = cluster.clock.now();
        for host in &lost {
            host.cold(COLD_PART, COLD);
            (0..3).for_each(|g| host.cut(g, false));
        }
        sleep(AFTER);
        (cut_at, back_at)
    });
    let served = |from: u64, to: u64| {
        load.got(from, to)
            .iter()
            .filter(|g| g.refused.is_none())
            .count() as f64
    };
    let before_per_s = served(cut_at - 3_000, cut_at) / 3.0;
    let during = load.got(cut_at + 2_000, back_at);
    let part = |class: &str| {
        let asked = during.iter().filter(|g| g.class == class);
        let of = asked.clone().filter(|g| g.refused.is_none()).count();
        of as f64 / asked.count().max(1) as f64
    };
    let left = CAPACITY * (cluster.hosts.len() - lost.len()) as f64;
    let share = |from: u64, to: u64| served(from, to) / load.got(from, to).len().max(1) as f64;
    let before = share(cut_at - 3_000, cut_at);
    let full = (0..AFTER - WINDOW)
        .step_by(100)
        .find(|at| share(back_at + at, back_at + at + WINDOW) >= FULL * before)
        .unwrap_or(AFTER);
    let peak = lost.iter().map(|h| peak(h, back_at)).fold(0.0, f64::max);
    Ok(RunResults {
        before_per_s,
        of_capacity_left: served(cut_at + 2_000, back_at)
            / ((back_at - cut_at - 2_000) as f64 / 1e3)
            / left,
        reports_served: part("report"),
        pages_served: part("page-read"),
        full_after_s: full as f64 / 1e3,
        peak,
    })
}

/// The most that a host was sent in a second from its return on, against what it bore in the middle of that.
fn peak(host: &super::stand_ins::Host, back_at: u64) -> f64 {
    let seen = host.seen();
    let times: Vec<u64> = seen
        .statements
        .iter()
        .map(|s| s.0)
        .filter(|&at| at >= back_at)
        .collect();
    (0..AFTER - WINDOW)
        .step_by(100)
        .map(|at| {
            let from = back_at + at;
            let sent = times
                .iter()
                .filter(|t| (from..from + WINDOW).contains(t))
                .count() as f64;
            let warm = (at + WINDOW / 2) as f64 / COLD.as_millis() as f64;
            sent / (CAPACITY * (COLD_PART + (1.0 - COLD_PART) * warm.min(1.0)))
        })
        .fold(0.0, f64::max)
}

/// Means with their 95 % intervals, for off and on.
#[must_use]
pub fn text(off: &[RunResults], on: &[RunResults]) -> String {
    let line = |name: &str, of: fn(&RunResults) -> f64| {
        let say = |all: &[RunResults]| {
            let i = Interval::of(&all.iter().map(of).collect::<Vec<_>>(), 1);
            format!("{:.3} [{:.3}, {:.3}]", i.mean, i.low, i.high)
        };
        format!("{name}: off {}; on {}\n", say(off), say(on))
    };
    [
        format!("{} runs off, {} on\n", off.len(), on.len()),
        line("served a second before", |f| f.before_per_s),
        line("served during the loss, of the capacity left", |f| {
            f.of_capacity_left
        }),
        line("reports served during the loss", |f| f.reports_served),
        line("pages served during the loss", |f| f.pages_served),
        line("seconds to full service", |f| f.full_after_s),
        line("peak load of a returning host, of what it bore", |f| f.peak),
    ]
    .concat()
}
