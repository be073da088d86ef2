//! Fleets that ask their sets, with deaths and losses, in a time of their own.

use irisrouter_gossip::health_check_schedule::HealthCheckSchedule;
use std::collections::BTreeMap;

const MS: i64 = 1_000_000;
const SETS: [i64; 12] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11];

/// Steps a fleet in whole milliseconds; word takes 30 ms. Returns when each set was asked.
fn run(
    gateways: u32,
    until: i64,
    lives: impl Fn(u32, i64) -> bool,
    hears: impl Fn(u32, u32) -> bool,
) -> BTreeMap<i64, Vec<i64>> {
    let mut fleet: Vec<HealthCheckSchedule> = (0..gateways)
        .map(|g| HealthCheckSchedule::new(g, gateways))
        .collect();
    fleet.iter_mut().for_each(|d| d.sets(0, &SETS));
    let mut asked: BTreeMap<i64, Vec<i64>> = BTreeMap::new();
    let mut word: Vec<(i64, i64, u32, i64)> = Vec::new();
    for ms in 0..until {
        let now = ms * MS;
        for &(_, set, by, at) in word.iter().filter(|w| w.0 == now) {
            (0..gateways)
                .filter(|&g| g != by && hears(by, g))
                .for_each(|g| fleet[g as usize].heard(set, by, at));
        }
        word.retain(|w| w.0 > now);
        for g in (0..gateways).filter(|&g| lives(g, ms)) {
            for set in fleet[g as usize].due(now) {
                asked.entry(set).or_default().push(ms);
                word.push((now + 30 * MS, set, g, now));
            }
        }
    }
    asked
}

fn gap(times: &[i64], from: i64) -> i64 {
    times
        .windows(2)
        .filter(|w| w[0] >= from)
        .map(|w| w[1] - w[0])
        .max()
        .unwrap_or(i64::MAX)
}

/// Guards against probes that grow with the gateways.
#[test]
fn a_set_is_asked_once_a_period_however_many_gateways_there_are() {
    for gateways in [1, 2, 10, 100] {
        for (set, times) in run(gateways, 4_000, |_, _| true, |_, _| true) {
            assert!(
                (19..=22).contains(&times.len()),
                "{gateways} gateways, set {set}: {times:?}"
            );
            assert!(
                gap(&times, 0) <= 300,
                "{gateways} gateways, set {set}: {times:?}"
            );
        }
    }
}

/// Guards against sets that nobody asks after most of the gateways were killed at once.
#[test]
fn sets_are_taken_over_when_nine_in_ten_gateways_die() {
    let asked = run(100, 6_000, |g, ms| ms < 2_000 || g % 10 == 3, |_, _| true);
    assert_eq!(asked.len(), SETS.len());
    for (set, times) in asked {
        assert!(gap(&times, 0) <= 200 + 60 * 60, "set {set}: {times:?}");
        assert!(
            gap(&times, 5_000) <= 210,
            "the next asker keeps it, set {set}: {times:?}"
        );
    }
}

/// Guards against gateways that rely on others that they cannot hear.
#[test]
fn a_gateway_that_hears_nobody_asks_for_itself() {
    let asked = run(2, 4_000, |_, _| true, |_, _| false);
    assert!(
        asked.values().all(|times| (36..=44).contains(&times.len())),
        "{asked:?}"
    );
}

/// Guards against late word that takes a duty back.
#[test]
fn older_word_changes_nothing() {
    let mut d = HealthCheckSchedule::new(0, 2);
    d.sets(0, &[5]);
    d.heard(5, 1, 900 * MS);
    let next = d.next();
    d.heard(5, 0, 400 * MS);
    d.heard(6, 1, 950 * MS);
    assert_eq!(d.next(), next);
}
