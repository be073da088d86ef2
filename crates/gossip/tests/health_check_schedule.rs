//! Runs the schedules of whole fleets in virtual time, with failing gateways and lost results.

use irisrouter_cluster_types::GatewayId;
use irisrouter_gossip::health_check_schedule::HealthCheckSchedule;
use irisrouter_gossip::{Nanoseconds, UnixNanoseconds};
use std::collections::BTreeMap;

const MS: Nanoseconds = Nanoseconds(1_000_000);
const EPOCH: UnixNanoseconds = UnixNanoseconds(0);
const GROUPS: [i64; 12] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11];
/// Delivery time of a result to the other gateways, in milliseconds.
const DELAY_MS: i64 = 30;

/// The notice that a gateway started a round, in flight to the other gateways.
struct RoundNotice {
    arrives_at: UnixNanoseconds,
    group: i64,
    gateway: GatewayId,
    started_at: UnixNanoseconds,
}

/// Runs a fleet in steps of one millisecond. `is_alive` takes a gateway and the time in
/// milliseconds; `is_delivered` takes the sender and the receiver of a notice. Returns the
/// start times of the rounds of each group, in milliseconds.
fn run_fleet(
    gateway_count: u32,
    duration_ms: i64,
    is_alive: impl Fn(u32, i64) -> bool,
    is_delivered: impl Fn(u32, u32) -> bool,
) -> BTreeMap<i64, Vec<i64>> {
    let mut fleet: Vec<HealthCheckSchedule> = (0..gateway_count)
        .map(|gateway| HealthCheckSchedule::new(GatewayId(gateway), gateway_count))
        .collect();
    for schedule in &mut fleet {
        schedule.update_groups(EPOCH, &GROUPS);
    }
    let mut round_starts: BTreeMap<i64, Vec<i64>> = BTreeMap::new();
    let mut notices: Vec<RoundNotice> = Vec::new();
    for now_ms in 0..duration_ms {
        let now = EPOCH + now_ms * MS;
        for notice in notices.iter().filter(|notice| notice.arrives_at == now) {
            let sender = notice.gateway;
            for receiver in
                (0..gateway_count).filter(|&to| to != sender.0 && is_delivered(sender.0, to))
            {
                fleet[receiver as usize].record_round(notice.group, sender, notice.started_at);
            }
        }
        notices.retain(|notice| notice.arrives_at > now);
        for gateway in (0..gateway_count).filter(|&gateway| is_alive(gateway, now_ms)) {
            for group in fleet[gateway as usize].start_due_rounds(now) {
                round_starts.entry(group).or_default().push(now_ms);
                notices.push(RoundNotice {
                    arrives_at: now + DELAY_MS * MS,
                    group,
                    gateway: GatewayId(gateway),
                    started_at: now,
                });
            }
        }
    }
    round_starts
}

/// Returns the longest time between two consecutive rounds, starting with the first round at or
/// after `from`.
fn longest_gap(round_starts: &[i64], from: i64) -> i64 {
    round_starts
        .windows(2)
        .filter(|pair| pair[0] >= from)
        .map(|pair| pair[1] - pair[0])
        .max()
        .unwrap_or(i64::MAX)
}

/// The number of health checks must not grow with the number of gateways.
#[test]
fn group_is_checked_once_a_period_for_any_number_of_gateways() {
    for gateways in [1, 2, 10, 100] {
        for (group, starts) in run_fleet(gateways, 4_000, |_, _| true, |_, _| true) {
            assert!(
                (19..=22).contains(&starts.len()),
                "{gateways} gateways, group {group}: {starts:?}"
            );
            assert!(
                longest_gap(&starts, 0) <= 300,
                "{gateways} gateways, group {group}: {starts:?}"
            );
        }
    }
}

/// The groups must be checked again after most gateways are killed at the same time.
#[test]
fn groups_are_taken_over_when_nine_in_ten_gateways_die() {
    let is_alive = |gateway, now_ms| now_ms < 2_000 || gateway % 10 == 3;
    let round_starts = run_fleet(100, 6_000, is_alive, |_, _| true);
    assert_eq!(round_starts.len(), GROUPS.len());
    for (group, starts) in round_starts {
        assert!(
            longest_gap(&starts, 0) <= 200 + 60 * 60,
            "group {group}: {starts:?}"
        );
        assert!(
            longest_gap(&starts, 5_000) <= 210,
            "the next gateway goes on with the rounds, group {group}: {starts:?}"
        );
    }
}

/// A gateway must not rely on other gateways whose results do not reach it.
#[test]
fn gateways_run_their_own_rounds_when_no_results_arrive() {
    let round_starts = run_fleet(2, 4_000, |_, _| true, |_, _| false);
    assert!(
        round_starts
            .values()
            .all(|starts| (36..=44).contains(&starts.len())),
        "{round_starts:?}"
    );
}

/// A delayed datagram must not change when the next round is due.
#[test]
fn schedule_ignores_a_round_that_started_before_the_latest() {
    let mut schedule = HealthCheckSchedule::new(GatewayId(0), 2);
    schedule.update_groups(EPOCH, &[5]);
    schedule.record_round(5, GatewayId(1), EPOCH + 900 * MS);
    let next_due = schedule.next_due();
    schedule.record_round(5, GatewayId(0), EPOCH + 400 * MS);
    schedule.record_round(6, GatewayId(1), EPOCH + 950 * MS);
    assert_eq!(schedule.next_due(), next_due);
}

/// The schedule sorts the rounds by due time. Its next due time must be the earliest one among
/// separate schedules that have one group each.
#[test]
fn next_round_is_that_of_the_group_which_is_due_first() {
    let mut schedule = HealthCheckSchedule::new(GatewayId(0), 3);
    schedule.update_groups(EPOCH, &GROUPS);
    let single_group_due = |group: i64, rounds: &[(i64, u32, i64)]| {
        let mut schedule = HealthCheckSchedule::new(GatewayId(0), 3);
        schedule.update_groups(EPOCH, &[group]);
        for &(_, gateway, at_ms) in rounds.iter().filter(|round| round.0 == group) {
            schedule.record_round(group, GatewayId(gateway), EPOCH + at_ms * MS);
        }
        (schedule.next_due(), schedule.next_leased_due(|_| true))
    };
    let mut rounds = Vec::new();
    for step in 0..200 {
        let round = (step * 7 % 12, (step % 3) as u32, step * 37 % 900);
        rounds.push(round);
        schedule.record_round(round.0, GatewayId(round.1), EPOCH + round.2 * MS);
        let due = GROUPS.map(|group| single_group_due(group, &rounds));
        assert_eq!(
            schedule.next_due(),
            due.map(|due| due.0).into_iter().min().unwrap()
        );
        let leased = due.map(|due| due.1).into_iter().min().unwrap();
        assert_eq!(schedule.next_leased_due(|_| true), leased);
    }
    schedule.update_groups(EPOCH, &[3]);
    assert_eq!(schedule.next_due(), single_group_due(3, &rounds).0);
    assert_eq!(schedule.next_leased_due(|group| group != 3), None);
}
