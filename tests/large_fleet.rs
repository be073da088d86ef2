//! Fleets of hundreds of gateways, in which each gateway sends a member a request only every few
//! seconds.

mod router_harness;

use irisrouter::routing::{
    Action, Endpoint, EndpointState, LoadReport, MemberId, StalenessCheck, ZoneId,
};
use router_harness::{
    endpoint, health_checks, sent_to, settings, RouterHarness, ANY_READ, BOUNDED_READ, MILLISECOND,
    SECOND, SESSION_READ, WRITE,
};

/// A router of one of this many gateways.
fn harness(staleness_check: StalenessCheck, gateway_count: u32, seed: u64) -> RouterHarness {
    let mut settings = settings(staleness_check);
    settings.gateway_count = gateway_count;
    settings.seed = seed;
    RouterHarness::new(settings)
}

/// A router of one of this many gateways, in a zone without members.
fn harness_in_empty_zone(gateway_count: u32, seed: u64) -> RouterHarness {
    let mut settings = settings(StalenessCheck::Reject);
    settings.gateway_count = gateway_count;
    settings.seed = seed;
    settings.zone = ZoneId(9);
    RouterHarness::new(settings)
}

/// Delivers a successful health check in which a member with current data reports its requests in
/// flight.
fn report_in_flight(harness: &mut RouterHarness, member: u32, in_flight: f64) -> Vec<Action> {
    let report = LoadReport {
        position: Some(harness.now),
        primary: Some(member == 0),
        in_flight: Some(in_flight),
        cores_in_use: None,
    };
    harness.report_load(member, report)
}

#[test]
fn idle_gateway_sets_no_timer_and_sends_no_health_check() {
    let mut harness = harness(StalenessCheck::None, 300, 1);
    let actions = harness.run_for(10 * SECOND);
    assert_eq!(actions, vec![]);
}

#[test]
fn health_checks_grow_with_requests_and_not_with_gateways() {
    for gateway_count in [1, 10, 300] {
        let mut health_check_count = 0;
        for seed in 0..gateway_count {
            let mut harness = harness(StalenessCheck::None, gateway_count, u64::from(seed));
            for _ in 0..600 / gateway_count {
                let (id, actions) = harness.submit(BOUNDED_READ, None);
                health_check_count += health_checks(&actions);
                let actions = match sent_to(id, &actions) {
                    Some(member) => harness.answer_as_replica(id, member),
                    None => harness.run_for(50 * MILLISECOND),
                };
                health_check_count += health_checks(&actions);
            }
        }
        assert!(
            health_check_count <= 3 * 600,
            "{gateway_count} gateways: {health_check_count} health checks for 600 requests"
        );
    }
}

/// Guards against health checks that cost more than the requests that they are sent for are worth.
#[test]
fn expensive_health_checks_are_fewer_than_the_requests_that_pay_for_them() {
    for (price, min_health_checks, max_health_checks) in [(0.04, 300, 2_000), (0.4, 30, 200)] {
        let mut settings = settings(StalenessCheck::None);
        settings.gateway_count = 1;
        settings.seed = 4;
        settings.health_check_price = price;
        let mut harness = RouterHarness::new(settings);
        let mut health_check_count = 0;
        for _ in 0..600 {
            // Each read needs a replica that has just reported a recent position.
            let (id, mut actions) = harness.submit(BOUNDED_READ, None);
            for _ in 0..8 {
                health_check_count += health_checks(&actions);
                let checked = first_health_check(&actions);
                if let Some(member) = sent_to(id, &actions) {
                    harness.answer_as_replica(id, member);
                }
                actions = match checked {
                    Some(member) => report_in_flight(&mut harness, member, 0.0),
                    None => harness.run_for(50 * MILLISECOND),
                };
            }
        }
        assert!(
            (min_health_checks..max_health_checks).contains(&health_check_count),
            "{health_check_count} health checks at {price}"
        );
    }
}

/// Returns the member of the first health check that these actions start.
fn first_health_check(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|action| match action {
        Action::HealthCheck { member } => Some(member.0),
        _ => None,
    })
}

#[test]
fn read_stays_queued_while_all_replicas_report_that_they_are_full() {
    let mut harness = harness(StalenessCheck::Reject, 300, 3);
    harness.now += 5 * SECOND;
    report_in_flight(&mut harness, 1, 500.0);
    report_in_flight(&mut harness, 2, 500.0);
    let (id, actions) = harness.submit(BOUNDED_READ, None);
    assert_eq!(sent_to(id, &actions), None);
    let actions = report_in_flight(&mut harness, 2, 0.0);
    assert_eq!(
        sent_to(id, &actions),
        Some(2),
        "sent once a replica has capacity"
    );
}

#[test]
fn read_goes_to_the_primary_only_after_it_reports_capacity() {
    let mut harness = harness(StalenessCheck::None, 300, 4);
    harness.now += 5 * SECOND;
    let (id, mut actions) = harness.submit(BOUNDED_READ, None);
    actions.extend(harness.run_for(100 * MILLISECOND));
    assert_eq!(
        sent_to(id, &actions),
        None,
        "no replica has a confirmed recent position, and the primary's load is unknown"
    );
    assert!(actions.contains(&Action::HealthCheck {
        member: MemberId(0)
    }));
    let actions = report_in_flight(&mut harness, 0, 0.0);
    assert_eq!(sent_to(id, &actions), Some(0));
}

#[test]
fn new_member_is_not_sent_the_next_request_of_every_gateway() {
    let mut sent_to_new = 0;
    for seed in 0..100 {
        let mut harness = harness_in_empty_zone(300, seed);
        for _ in 0..5 {
            let (id, actions) = harness.submit(ANY_READ, None);
            let actions = if sent_to(id, &actions).is_some() {
                actions
            } else {
                report_in_flight(&mut harness, 1, 1.0)
            };
            if let Some(member) = sent_to(id, &actions) {
                harness.answer_as_replica(id, member);
            }
        }
        harness.list_changes(vec![endpoint(3, EndpointState::Ready)]);
        let (id, actions) = harness.submit(ANY_READ, None);
        sent_to_new += u32::from(sent_to(id, &actions) == Some(3));
    }
    assert!(
        sent_to_new < 67,
        "{sent_to_new} of 100 gateways sent their next request to a member that they have no answers from"
    );
}

#[test]
fn member_in_slow_start_alone_in_its_zone_does_not_get_all_requests_of_the_zone() {
    let mut sent_to_slow_start = 0;
    for seed in 0..200 {
        let mut harness = harness(StalenessCheck::Reject, 200, seed);
        // Member 2 is the only replica in the gateway's zone, which is zone 0.
        let in_slow_start = Endpoint {
            started: Some(harness.now),
            ..endpoint(2, EndpointState::Ready)
        };
        harness.list_changes(vec![in_slow_start]);
        report_in_flight(&mut harness, 1, 1.0);
        report_in_flight(&mut harness, 2, 1.0);
        let (id, actions) = harness.submit(SESSION_READ, None);
        sent_to_slow_start += u32::from(sent_to(id, &actions) == Some(2));
    }
    assert!(
        sent_to_slow_start > 0 && sent_to_slow_start < 80,
        "{sent_to_slow_start} of 200 gateways"
    );
}

#[test]
fn write_stays_queued_while_the_primary_reports_that_it_is_full() {
    let mut harness = harness(StalenessCheck::Reject, 300, 5);
    harness.now += 5 * SECOND;
    let (id, actions) = harness.submit(WRITE, None);
    assert_eq!(
        sent_to(id, &actions),
        None,
        "queued until the primary reports its load"
    );
    let actions = report_in_flight(&mut harness, 0, 500.0);
    assert_eq!(sent_to(id, &actions), None);
    let actions = harness.run_for(200 * MILLISECOND);
    assert_eq!(sent_to(id, &actions), None, "the report still counts");
    let actions = report_in_flight(&mut harness, 0, 0.0);
    assert_eq!(sent_to(id, &actions), Some(0));
}

#[test]
fn report_of_nothing_in_flight_does_not_attract_the_reads_of_all_gateways() {
    let mut sent_to_idle = 0;
    for seed in 0..200 {
        let mut harness = harness_in_empty_zone(300, seed);
        harness.now += 5 * SECOND;
        report_in_flight(&mut harness, 1, 0.0);
        let (id, actions) = harness.submit(ANY_READ, None);
        sent_to_idle += u32::from(sent_to(id, &actions) == Some(1));
    }
    assert!(
        (60..140).contains(&sent_to_idle),
        "{sent_to_idle} of 200 to one of two replicas"
    );
}

/// Guards against requests that wait, and health checks that are sent, for a load figure that
/// reports do not contain.
#[test]
fn request_waits_for_a_load_report_only_where_reports_count_requests_in_flight() {
    for in_flight_reported in [false, true] {
        let mut settings = settings(StalenessCheck::Wait(50 * MILLISECOND));
        settings.gateway_count = 300;
        settings.seed = 3;
        settings.in_flight_reported = in_flight_reported;
        let mut harness = RouterHarness::new(settings);
        harness.now += 5 * SECOND;
        let report = LoadReport {
            position: Some(harness.now),
            primary: Some(false),
            in_flight: None,
            cores_in_use: None,
        };
        harness.report_load(1, report);
        let (id, actions) = harness.submit(BOUNDED_READ, None);
        assert_eq!(sent_to(id, &actions).is_none(), in_flight_reported);
    }
}
