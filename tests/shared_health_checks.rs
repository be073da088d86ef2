//! How a router uses the health checks that gateways share.

mod router_harness;

use irisrouter::routing::{
    Action, Event, LoadReport, MemberId, SharedHealthCheck, StalenessCheck, TimeDelta, Timestamp,
    ZoneId,
};
use router_harness::{
    health_checks, sent_to, settings, RouterHarness, BOUNDED_READ, KEYED_WRITE, MILLISECOND,
    SECOND, SESSION_READ, STRONG_READ,
};

const WAIT: StalenessCheck = StalenessCheck::Wait(TimeDelta::from_millis(50));

/// Lag and cores in use that a member reports.
#[derive(Clone, Copy)]
struct Reported {
    lag: TimeDelta,
    cores_in_use: f64,
}

fn reported(lag: TimeDelta, cores_in_use: f64) -> Reported {
    Reported { lag, cores_in_use }
}

/// A router of one of a hundred gateways, in a zone without members. The reports from its start are
/// no longer recent.
fn harness(staleness_check: StalenessCheck) -> RouterHarness {
    let mut settings = settings(staleness_check);
    settings.gateway_count = 100;
    settings.in_flight_reported = false;
    settings.positions_in_answers = false;
    settings.zone = ZoneId(9);
    let mut harness = RouterHarness::new(settings);
    harness.now += 2 * SECOND;
    harness
}

fn shared_health_check(now: Timestamp, member: u32, reported: Reported) -> SharedHealthCheck {
    SharedHealthCheck {
        member: MemberId(member),
        at: now,
        report: LoadReport {
            position: Some(now - reported.lag),
            primary: Some(member == 0),
            in_flight: None,
            cores_in_use: Some(reported.cores_in_use),
        },
    }
}

/// Delivers shared health check results for members 0 to 2.
fn share(harness: &mut RouterHarness, members: [Reported; 3]) -> Vec<Action> {
    let results = (0..3)
        .zip(members)
        .map(|(member, reported)| shared_health_check(harness.now, member, reported))
        .collect();
    harness.deliver(&[Event::SharedHealthChecks(results)])
}

/// Returns how many of `count` bounded reads go to each member, with new results before each read.
fn reads_by_member(count: usize, members: [Reported; 3]) -> [usize; 3] {
    let mut harness = harness(WAIT);
    let mut reads = [0; 3];
    for _ in 0..count {
        harness.now += 20 * MILLISECOND;
        share(&mut harness, members);
        let (id, mut actions) = harness.submit(BOUNDED_READ, None);
        actions.extend(harness.run_for(20 * MILLISECOND));
        if let Some(member) = sent_to(id, &actions) {
            reads[member as usize] += 1;
            harness.answer(id, member);
        }
    }
    reads
}

/// Guards against a hundred gateways that each check a member whose result one of them has just
/// shared.
#[test]
fn members_checked_by_others_are_not_checked_again() {
    let count_health_checks = |shared: bool| {
        let mut harness = harness(WAIT);
        let mut health_check_count = 0;
        for _ in 0..100 {
            harness.now += 50 * MILLISECOND;
            if shared {
                let replica = reported(20 * MILLISECOND, 0.2);
                let actions = share(
                    &mut harness,
                    [reported(TimeDelta::ZERO, 0.2), replica, replica],
                );
                health_check_count += health_checks(&actions);
            }
            let (id, actions) = harness.submit(BOUNDED_READ, None);
            health_check_count += health_checks(&actions);
            if let Some(member) = sent_to(id, &actions) {
                health_check_count += health_checks(&harness.answer_as_replica(id, member));
            }
        }
        health_check_count
    };
    assert_eq!(count_health_checks(true), 0);
    assert!(
        count_health_checks(false) > 0,
        "without shared results, the gateway checks members itself"
    );
}

/// Guards against reads that are sent to a member that rejects them, because its known position is
/// seconds old.
#[test]
fn replica_found_too_far_behind_gets_no_read() {
    let primary = reported(TimeDelta::ZERO, 0.2);
    let recent = reported(30 * MILLISECOND, 0.2);
    let reads = reads_by_member(200, [primary, recent, reported(900 * MILLISECOND, 0.2)]);
    assert_eq!(reads, [0, 200, 0]);
    let reads = reads_by_member(200, [primary, recent, reported(60 * MILLISECOND, 0.2)]);
    assert!(reads[1] > 50 && reads[2] > 50, "{reads:?}");
}

/// Guards against a fleet that sends all reads to a primary which is already busy with writes.
#[test]
fn reads_without_a_recent_replica_go_to_the_primary_while_it_has_capacity() {
    let behind = reported(900 * MILLISECOND, 0.2);
    let reads_of_primary = |cores_in_use| {
        reads_by_member(
            200,
            [reported(TimeDelta::ZERO, cores_in_use), behind, behind],
        )[0]
    };
    assert_eq!(reads_of_primary(0.4), 200);
    let reads_of_busy = reads_of_primary(0.85);
    assert!((40..160).contains(&reads_of_busy), "{reads_of_busy}");
    assert_eq!(reads_of_primary(1.0), 0);
}

/// Guards against reads that concentrate on a host which other gateways have filled.
#[test]
fn reads_prefer_the_replica_with_idle_cores() {
    let reads = reads_by_member(
        300,
        [
            reported(TimeDelta::ZERO, 0.5),
            reported(30 * MILLISECOND, 0.3),
            reported(30 * MILLISECOND, 0.98),
        ],
    );
    assert!(reads[1] > 4 * reads[2], "{reads:?}");
}

/// Guards against late results that replace newer ones, in any order and however often they arrive.
#[test]
fn older_results_change_nothing() {
    let mut harness = harness(WAIT);
    let older = vec![
        shared_health_check(harness.now, 0, reported(TimeDelta::ZERO, 0.2)),
        shared_health_check(harness.now, 1, reported(800 * MILLISECOND, 0.2)),
        shared_health_check(harness.now, 2, reported(900 * MILLISECOND, 1.0)),
    ];
    harness.now += 100 * MILLISECOND;
    share(
        &mut harness,
        [
            reported(TimeDelta::ZERO, 0.2),
            reported(800 * MILLISECOND, 0.2),
            reported(10 * MILLISECOND, 0.2),
        ],
    );
    for _ in 0..3 {
        harness.deliver(&[Event::SharedHealthChecks(older.clone())]);
    }
    let (id, actions) = harness.submit(SESSION_READ, Some(20 * MILLISECOND));
    assert_eq!(sent_to(id, &actions), Some(2), "{actions:?}");
}

/// Guards against stale reads because of a wrong result of another gateway, where members do not
/// check reads.
#[test]
fn results_are_ignored_where_members_do_not_check_reads() {
    let mut harness = harness(StalenessCheck::None);
    harness.now += 10 * SECOND;
    share(&mut harness, [reported(TimeDelta::ZERO, 0.2); 3]);
    let (id, actions) = harness.submit(BOUNDED_READ, None);
    assert!(
        sent_to(id, &actions).is_none_or(|member| member == 0),
        "{actions:?}"
    );
}

/// Guards against results for a host that is not in this gateway's endpoint list.
#[test]
fn results_of_unknown_members_are_ignored() {
    let mut harness = harness(WAIT);
    let result = shared_health_check(harness.now, 9, reported(TimeDelta::ZERO, 0.0));
    let actions = harness.deliver(&[Event::SharedHealthChecks(vec![result])]);
    assert_eq!(actions, vec![]);
}

/// Guards against a fleet that overloads a host until it answers nothing in time.
#[test]
fn requests_to_a_busy_member_are_shed_and_writes_last() {
    let sent_at_once = |class: usize, cores_in_use: f64| {
        let mut harness = harness(WAIT);
        for _ in 0..40 {
            harness.now += 200 * MILLISECOND;
            let replica = reported(20 * MILLISECOND, cores_in_use);
            share(
                &mut harness,
                [reported(TimeDelta::ZERO, cores_in_use), replica, replica],
            );
        }
        let mut sent = 0;
        for _ in 0..100 {
            let (id, actions) = harness.submit(class, None);
            sent += usize::from(sent_to(id, &actions).is_some());
        }
        sent
    };
    assert_eq!(sent_at_once(STRONG_READ, 0.8), 100);
    let reads = sent_at_once(STRONG_READ, 1.0);
    assert!(reads < 20, "{reads}");
    let writes = sent_at_once(KEYED_WRITE, 1.0);
    assert!(writes > reads, "{writes} writes, {reads} reads");
}
