//! The five rules that apply to every attempt, and the router's protection against overload and
//! failed members. Each test drives one router.

mod router_harness;

use irisrouter::routing::{
    Action, Endpoint, EndpointState, Event, FailoverDirectives, MemberId, Outcome, RecoveryRamp,
    ReplicationStatus, RequestId, Role, StalenessCheck, TimeDelta, ZoneId,
};
use router_harness::{
    endpoint, health_checks, is_failed, is_rejected, rejections, sent_to, settings, RouterHarness,
    ANY_READ, BOUNDED_READ, KEYED_WRITE, MILLISECOND, SECOND, SESSION_READ, STRONG_READ, WRITE,
};

/// A harness with a small fleet whose members handle stale reads in the given way.
fn harness(staleness_check: StalenessCheck) -> RouterHarness {
    RouterHarness::new(settings(staleness_check))
}

/// Makes the primary reject a write because it has become a replica, so that the group has no known
/// primary afterwards. Returns the write.
fn lose_primary(harness: &mut RouterHarness) -> RequestId {
    let (id, _) = harness.submit(WRITE, None);
    harness.end_attempt(id, 0, 0, Outcome::Unsuitable, Role::Replica);
    id
}

/// Asserts that none of twenty reads that any member may serve goes to this member. Each read is
/// answered at once.
fn assert_gets_no_reads(harness: &mut RouterHarness, member: u32) {
    for _ in 0..20 {
        let (id, actions) = harness.submit(ANY_READ, None);
        assert_ne!(sent_to(id, &actions), Some(member));
        if let Some(other) = sent_to(id, &actions) {
            harness.answer_as_replica(id, other);
        }
    }
}

#[test]
fn queued_request_gets_one_final_answer_before_its_deadline() {
    let mut harness = harness(StalenessCheck::Reject);
    let id = lose_primary(&mut harness);
    let actions = harness.run_for(2 * SECOND);
    assert_eq!(rejections(id, &actions), 1);
    assert_eq!(sent_to(id, &harness.run_for(SECOND)), None);
}

/// Guards against the load of a lost site overloading the other sites. The failover plan rejects
/// its share of a class at once, with a time after which to retry. It does not affect other
/// classes, or any class after the plan has ended.
#[test]
fn failover_plan_rejects_its_share_of_one_class_with_retry_after() {
    let mut settings = settings(StalenessCheck::Reject);
    settings.limits.retry_after = true;
    settings.limits.max_retry_after = 10 * SECOND;
    let mut harness = RouterHarness::new(settings);
    let mut admitted_share = vec![1.0; 8];
    admitted_share[ANY_READ] = 0.25;
    let directives = FailoverDirectives {
        admitted_share,
        retry_after: Some(3 * SECOND),
        ..FailoverDirectives::default()
    };
    harness.deliver(&[Event::FailoverDirectivesChanged(directives)]);
    let mut retry_delays = Vec::new();
    for _ in 0..400 {
        let (id, actions) = harness.submit(ANY_READ, None);
        retry_delays.extend(retry_after(id, &actions));
        if let Some(member) = sent_to(id, &actions) {
            harness.answer(id, member);
        }
        let (id, actions) = harness.submit(KEYED_WRITE, None);
        assert_eq!(sent_to(id, &actions), Some(0));
        harness.answer(id, 0);
    }
    let rejected = retry_delays.len();
    assert!((260..340).contains(&rejected), "{rejected} of 400");
    let planned_range = 3 * SECOND..=6 * SECOND;
    let is_in_planned_range = |pause: &TimeDelta| planned_range.contains(pause);
    assert!(
        retry_delays.iter().all(is_in_planned_range),
        "between one and two times the planned delay"
    );
    let shortest = retry_delays.iter().min().map(|&pause| pause + SECOND);
    assert!(
        retry_delays.iter().max() > shortest.as_ref(),
        "the delays are spread"
    );
    harness.deliver(&[Event::FailoverDirectivesChanged(
        FailoverDirectives::default(),
    )]);
    assert!((0..50).all(|_| {
        let (id, actions) = harness.submit(ANY_READ, None);
        !is_rejected(id, &actions)
    }));
}

/// Returns the time after which these actions tell the request's client to retry.
fn retry_after(id: RequestId, actions: &[Action]) -> Option<TimeDelta> {
    actions.iter().find_map(|action| match action {
        Action::Reject {
            id: rejected,
            retry_after,
        } if *rejected == id => Some(*retry_after),
        _ => None,
    })
}

/// Guards against a site that gets its full share of requests at the moment in which its hosts are
/// back.
#[test]
fn zone_on_a_recovery_ramp_gets_its_share_of_reads_only() {
    let mut settings = settings(StalenessCheck::Reject);
    settings.zone = ZoneId(1);
    let mut harness = RouterHarness::new(settings);
    // Member 1 is a replica of zone 1, member 2 one of zone 0.
    let reads_of_zone_one = |harness: &mut RouterHarness| {
        let mut reads = 0;
        for _ in 0..300 {
            let (id, actions) = harness.submit(ANY_READ, None);
            let member = sent_to(id, &actions);
            if let Some(member) = member {
                harness.answer(id, member);
            }
            harness.now += 10 * MILLISECOND;
            reads += usize::from(member == Some(1));
        }
        reads
    };
    let full = reads_of_zone_one(&mut harness);
    harness.deliver(&[Event::FailoverDirectivesChanged(FailoverDirectives {
        recovery_ramps: vec![RecoveryRamp {
            zone: ZoneId(1),
            share: 0.15,
        }],
        ..FailoverDirectives::default()
    })]);
    let ramped = reads_of_zone_one(&mut harness);
    assert!(
        full > 60 && ramped > 0 && ramped < full / 2,
        "{full} reads before the ramp, {ramped} on it"
    );
}

#[test]
fn non_idempotent_write_that_may_have_run_fails_at_once() {
    for outcome in [Outcome::TimedOut, Outcome::Reset, Outcome::Error] {
        let mut harness = harness(StalenessCheck::Reject);
        let (id, _) = harness.submit(WRITE, None);
        let actions = harness.end_attempt(id, 0, 0, outcome, Role::Primary);
        assert!(is_failed(id, &actions), "{outcome:?}");
        assert!(!is_rejected(id, &actions) && sent_to(id, &actions).is_none());
    }
}

#[test]
fn non_idempotent_write_that_never_ran_is_retried() {
    let mut harness = harness(StalenessCheck::Reject);
    let (id, _) = harness.submit(WRITE, None);
    let actions = harness.end_attempt(id, 0, 0, Outcome::Full, Role::Primary);
    assert_eq!(
        sent_to(id, &actions),
        None,
        "a rejection costs a full primary work: it is left alone at first"
    );
    let actions = harness.run_for(300 * MILLISECOND);
    assert_eq!(sent_to(id, &actions), Some(0));
}

#[test]
fn keyed_write_is_retried_only_within_its_deduplication_window() {
    let mut harness = harness(StalenessCheck::Reject);
    let (id, _) = harness.submit(KEYED_WRITE, None);
    harness.now += 200 * MILLISECOND;
    let actions = harness.end_attempt(id, 0, 0, Outcome::Error, Role::Primary);
    assert_eq!(sent_to(id, &actions), Some(0), "inside the window");
    harness.now += 900 * MILLISECOND;
    let actions = harness.end_attempt(id, 1, 0, Outcome::Error, Role::Primary);
    assert_eq!(
        sent_to(id, &actions),
        None,
        "1.1 s after the first attempt, the window of 1 s has ended"
    );
    let actions = harness.run_for(2 * SECOND);
    assert!(
        is_failed(id, &actions),
        "it may have run, so it is not rejected"
    );
}

/// Guards against a retry that is started within the deduplication window and arrives after it,
/// because its connection has to be established first. The group would then apply it as another
/// write.
#[test]
fn keyed_write_is_retried_only_while_a_new_connection_would_be_in_time() {
    for (after, retried) in [(740 * MILLISECOND, true), (750 * MILLISECOND, false)] {
        let mut harness = harness(StalenessCheck::Reject);
        let (id, _) = harness.submit(KEYED_WRITE, None);
        harness.now += after;
        let actions = harness.end_attempt(id, 0, 0, Outcome::Error, Role::Primary);
        assert_eq!(sent_to(id, &actions).is_some(), retried, "{after:?}");
    }
}

/// Guards against a member that answers every request with an error at once: it always has
/// capacity, and attracted the reads of its group.
#[test]
fn member_that_answers_with_errors_is_ejected_and_returns_later() {
    let mut harness = harness(StalenessCheck::Reject);
    let reads_of_member_two = |harness: &mut RouterHarness, outcome: Outcome| {
        let mut reads = 0;
        for _ in 0..50 {
            harness.now += 10 * MILLISECOND;
            let (id, actions) = harness.submit(BOUNDED_READ, None);
            match sent_to(id, &actions) {
                Some(2) => {
                    reads += 1;
                    harness.end_attempt(id, 0, 2, outcome, Role::Replica);
                }
                Some(member) => {
                    harness.answer_as_replica(id, member);
                }
                None => {}
            }
        }
        reads
    };
    let with_errors = reads_of_member_two(&mut harness, Outcome::Error);
    assert!(
        (1..=8).contains(&with_errors),
        "{with_errors} of 50 went to the one with errors"
    );
    harness.now += 10 * SECOND;
    harness.report(1, false, harness.now);
    harness.report(2, false, harness.now);
    assert!(
        reads_of_member_two(&mut harness, Outcome::Ok) > 8,
        "it has recovered and gets its share"
    );
}

/// Guards against replicas that stay idle because no recent health check has confirmed their
/// position, while the confirmed replicas are full and reads are queued; and against repeated reads
/// to a replica that is too far behind.
#[test]
fn probably_recent_replica_takes_overflow_until_it_rejects_a_read() {
    let mut harness = harness(StalenessCheck::Reject);
    harness.now += 500 * MILLISECOND;
    harness.report(2, false, harness.now);
    let mut read_of_one = None;
    for _ in 0..8 {
        let (id, actions) = harness.submit(BOUNDED_READ, None);
        read_of_one = read_of_one.or((sent_to(id, &actions) == Some(1)).then_some(id));
    }
    let id = read_of_one.expect("one goes to the replica that was recent half a second ago");
    harness.end_attempt(id, 0, 1, Outcome::Unsuitable, Role::Replica);
    for _ in 0..8 {
        let (id, actions) = harness.submit(BOUNDED_READ, None);
        assert_ne!(
            sent_to(id, &actions),
            Some(1),
            "its rejection showed that it is behind"
        );
    }
}

/// Guards against memory that grows with each replaced member, against dropping a member with
/// requests in flight, and against a member that cannot come back.
#[test]
fn removed_members_are_forgotten_once_nothing_is_in_flight_there() {
    let mut harness = harness(StalenessCheck::Reject);
    let change = |member, state| Event::EndpointList {
        complete: false,
        endpoints: vec![endpoint(member, state)],
    };
    let known_members = |harness: &RouterHarness| harness.router.snapshot().members.len();
    let (id, _) = harness.submit(KEYED_WRITE, None);
    for member in 3..200 {
        harness.deliver(&[
            change(member, EndpointState::Ready),
            change(member, EndpointState::Draining),
        ]);
        harness.deliver(&[change(member, EndpointState::Removed)]);
        harness.now += SECOND;
    }
    assert_eq!(known_members(&harness), 3, "those in service");
    harness.deliver(&[
        change(0, EndpointState::Draining),
        change(0, EndpointState::Removed),
    ]);
    assert_eq!(
        known_members(&harness),
        3,
        "the primary still has a request"
    );
    harness.answer(id, 0);
    harness.report(0, true, harness.now);
    harness.deliver(&[change(1, EndpointState::Ready)]);
    assert_eq!(known_members(&harness), 2);
    harness.deliver(&[change(0, EndpointState::Ready)]);
    harness.report(0, true, harness.now);
    let (id, actions) = harness.submit(WRITE, None);
    assert_eq!(sent_to(id, &actions), Some(0), "back in service");
}

/// Guards against quick errors of a primary that use up the retry budget as if they were full
/// attempts.
#[test]
fn failed_attempt_costs_the_retry_budget_by_the_time_it_took() {
    let mut harness = harness(StalenessCheck::Reject);
    for attempt in 0..12 {
        let (id, _) = harness.submit(KEYED_WRITE, None);
        let actions = harness.end_attempt(id, 0, 0, Outcome::Error, Role::Primary);
        assert_eq!(
            sent_to(id, &actions),
            Some(0),
            "request {attempt}: the attempt took 50 ms of a usual latency of 125 ms"
        );
        harness.end_attempt(id, 1, 0, Outcome::Ok, Role::Primary);
    }
}

#[test]
fn draining_or_removed_member_gets_no_request() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut harness = harness(StalenessCheck::None);
        harness.list_changes(vec![endpoint(1, state)]);
        assert_gets_no_reads(&mut harness, 1);
    }
}

#[test]
fn member_missing_from_a_complete_list_gets_no_request() {
    let mut harness = harness(StalenessCheck::None);
    harness.list_all(vec![
        endpoint(0, EndpointState::Ready),
        endpoint(2, EndpointState::Ready),
    ]);
    assert_gets_no_reads(&mut harness, 1);
}

#[test]
fn removed_member_still_serves_where_only_drains_bind() {
    let mut settings = settings(StalenessCheck::None);
    settings.rules.only_listed_drains_bind = true;
    let mut harness = RouterHarness::new(settings);
    harness.list_changes(vec![
        endpoint(1, EndpointState::Removed),
        endpoint(2, EndpointState::Draining),
    ]);
    let (id, actions) = harness.submit(ANY_READ, None);
    assert_eq!(sent_to(id, &actions), Some(1));
}

/// Returns the number of requests sent to members in slow start in the first second after the
/// restart of a whole group, out of 600 reads and 600 writes that arrive at this many gateways in
/// total.
fn sent_to_restarted_group(gateway_count: u32) -> usize {
    let mut sent = 0;
    for seed in 0..gateway_count {
        let mut settings = settings(StalenessCheck::Reject);
        settings.gateway_count = gateway_count;
        settings.seed = u64::from(seed);
        let mut harness = RouterHarness::new(settings);
        let restarted = |member| Endpoint {
            started: Some(harness.now),
            ..endpoint(member, EndpointState::Ready)
        };
        let endpoints = (0..3).map(restarted).collect();
        harness.list_changes(endpoints);
        harness.report(0, true, harness.now + MILLISECOND);
        for _ in 0..600 / gateway_count {
            harness.now += SECOND / i64::from(600 / gateway_count);
            for member in 0..3 {
                harness.report(member, member == 0, harness.now);
            }
            for (class, role) in [(SESSION_READ, Role::Replica), (WRITE, Role::Primary)] {
                let (id, actions) = harness.submit(class, None);
                if let Some(member) = sent_to(id, &actions) {
                    sent += 1;
                    harness.end_attempt(id, 0, member, Outcome::Ok, role);
                }
            }
        }
    }
    sent
}

#[test]
fn restarted_group_gets_its_share_for_any_number_of_gateways() {
    for gateway_count in [1, 40, 300] {
        let sent = sent_to_restarted_group(gateway_count);
        // Members have 0.2 of their capacity, and the overload multiple is 4; 1,200 requests
        // arrive.
        assert!(
            sent > 1_200 / 10 && sent < 1_200 / 2,
            "{gateway_count} gateways: {sent}"
        );
    }
}

#[test]
fn unchecked_read_is_rejected_without_a_confirmed_position() {
    let mut harness = harness(StalenessCheck::None);
    // The primary loses its role, and no replica's position is recent.
    lose_primary(&mut harness);
    harness.now += SECOND;
    let (id, actions) = harness.submit(BOUNDED_READ, None);
    assert_eq!(sent_to(id, &actions), None);
    let actions = harness.run_for(2 * SECOND);
    assert_eq!(sent_to(id, &actions), None);
    assert!(is_rejected(id, &actions));
}

#[test]
fn unreachable_member_gets_no_request_until_a_health_check_succeeds() {
    let mut harness = harness(StalenessCheck::None);
    let (id, actions) = harness.submit(ANY_READ, None);
    let unreachable = sent_to(id, &actions).expect("sent");
    let actions = harness.end_attempt(id, 0, unreachable, Outcome::ConnectFailed, Role::Replica);
    let other = sent_to(id, &actions).expect("retried elsewhere at once");
    assert_ne!(other, unreachable);
    harness.end_attempt(id, 1, other, Outcome::Ok, Role::Replica);
    assert_gets_no_reads(&mut harness, unreachable);
    harness.report(unreachable, false, harness.now);
    let returns = (0..40).any(|_| {
        let (id, actions) = harness.submit(ANY_READ, None);
        let member = sent_to(id, &actions);
        if let Some(member) = member {
            harness.answer_as_replica(id, member);
        }
        member == Some(unreachable)
    });
    assert!(returns, "it gets requests again after the health check");
}

#[test]
fn read_at_a_silent_member_is_hedged_once_elsewhere() {
    let mut harness = harness(StalenessCheck::None);
    // Enough answers to show that the usual latency is far below the objective.
    for _ in 0..80 {
        let (id, actions) = harness.submit(ANY_READ, None);
        let member = sent_to(id, &actions).expect("sent");
        harness.answer_as_replica(id, member);
    }
    let (id, actions) = harness.submit(ANY_READ, None);
    let silent = sent_to(id, &actions).expect("sent");
    let actions = harness.run_for(400 * MILLISECOND);
    let hedge = sent_to(id, &actions).expect("a hedged request");
    assert_ne!(hedge, silent);
    let actions = harness.end_attempt(id, 1, hedge, Outcome::Ok, Role::Replica);
    assert!(
        actions.contains(&Action::CancelAttempt { id, attempt: 0 }),
        "the slower attempt is cancelled"
    );
}

#[test]
fn silent_primary_gets_no_further_write_until_it_answers() {
    let mut harness = harness(StalenessCheck::Reject);
    let (first, actions) = harness.submit(WRITE, None);
    assert_eq!(sent_to(first, &actions), Some(0));
    harness.run_for(SECOND);
    let (id, actions) = harness.submit(WRITE, None);
    assert_eq!(
        sent_to(id, &actions),
        None,
        "queued, because it could only fail there"
    );
    let actions = harness.answer(first, 0);
    assert_eq!(
        sent_to(id, &actions),
        Some(0),
        "sent once the primary has answered"
    );
}

#[test]
fn later_of_two_claims_to_be_primary_wins() {
    let mut harness = harness(StalenessCheck::Reject);
    harness.now += SECOND;
    harness.report(2, true, harness.now);
    harness.report(0, true, harness.now - 900 * MILLISECOND);
    let (id, actions) = harness.submit(WRITE, None);
    assert_eq!(
        sent_to(id, &actions),
        Some(2),
        "an older report that arrives late does not win"
    );
}

#[test]
fn new_primary_is_not_flooded_by_the_backlog() {
    let mut harness = harness(StalenessCheck::Reject);
    lose_primary(&mut harness);
    for _ in 0..50 {
        let (id, actions) = harness.submit(WRITE, None);
        assert_eq!(sent_to(id, &actions), None);
    }
    harness.now += 10 * MILLISECOND;
    let actions = harness.report(1, true, harness.now);
    let sent = started_requests(&actions).len();
    assert!((1..=4).contains(&sent), "{sent} at once");
}

/// Returns the requests that these actions send, in order.
fn started_requests(actions: &[Action]) -> Vec<RequestId> {
    let started = |action: &Action| match action {
        Action::StartAttempt { id, .. } => Some(*id),
        _ => None,
    };
    actions.iter().filter_map(started).collect()
}

#[test]
fn newest_queued_request_is_sent_first() {
    let mut harness = harness(StalenessCheck::Reject);
    lose_primary(&mut harness);
    harness.now += 100 * MILLISECOND;
    let (newer, _) = harness.submit(WRITE, None);
    let (newest, _) = harness.submit(WRITE, None);
    let actions = harness.report(1, true, harness.now);
    assert_eq!(started_requests(&actions), vec![newest, newer]);
}

#[test]
fn queued_read_is_rejected_with_retry_after_before_its_latency_objective() {
    let mut harness = harness(StalenessCheck::None);
    lose_primary(&mut harness);
    let (id, _) = harness.submit(STRONG_READ, None);
    let actions = harness.run_for(450 * MILLISECOND);
    assert!(retry_after(id, &actions).is_some_and(|pause| pause > TimeDelta::ZERO));
}

#[test]
fn long_reads_concentrate_on_the_replica_with_the_largest_lag() {
    let mut settings = settings(StalenessCheck::None);
    settings.classes[ANY_READ].latency_objective = 8 * SECOND;
    settings.classes[ANY_READ].deadline = 8 * SECOND;
    let mut harness = RouterHarness::new(settings);
    harness.now += 200 * MILLISECOND;
    harness.report(1, false, harness.now - 100 * MILLISECOND);
    harness.report(2, false, harness.now);
    for _ in 0..10 {
        let (id, actions) = harness.submit(ANY_READ, None);
        assert_eq!(sent_to(id, &actions), Some(1));
        harness.end_attempt(id, 0, 1, Outcome::Cancelled, Role::Replica);
        harness.now += MILLISECOND;
        let (id, actions) = harness.submit(BOUNDED_READ, None);
        if let Some(member) = sent_to(id, &actions) {
            harness.answer_as_replica(id, member);
        }
    }
}

#[test]
fn position_is_checked_at_one_replica_at_a_time() {
    let mut harness = harness(StalenessCheck::None);
    let (id, _) = harness.submit(WRITE, None);
    harness.answer(id, 0);
    harness.run_for(SECOND);
    harness.report(1, false, harness.now - 290 * MILLISECOND);
    harness.report(2, false, harness.now - 290 * MILLISECOND);
    harness.now += 100 * MILLISECOND;
    let (_, mut actions) = harness.submit(BOUNDED_READ, None);
    actions.extend(harness.run_for(60 * MILLISECOND));
    assert_eq!(health_checks(&actions), 1);
}

#[test]
fn member_in_slow_start_gets_no_long_read() {
    let mut settings = settings(StalenessCheck::None);
    settings.gateway_count = 11;
    settings.classes[ANY_READ].latency_objective = 8 * SECOND;
    settings.classes[ANY_READ].deadline = 8 * SECOND;
    let mut harness = RouterHarness::new(settings);
    let mut in_slow_start = endpoint(1, EndpointState::Ready);
    in_slow_start.started = Some(harness.now);
    harness.list_changes(vec![in_slow_start, endpoint(2, EndpointState::Removed)]);
    let (long, actions) = harness.submit(ANY_READ, None);
    assert_ne!(
        sent_to(long, &actions),
        Some(1),
        "eleven gateways would each send one"
    );
    let mut short = 0;
    for _ in 0..20 {
        let (id, actions) = harness.submit(BOUNDED_READ, None);
        short += u32::from(sent_to(id, &actions) == Some(1));
    }
    assert!(short <= 1, "{short}");
}

/// Returns how many of twenty requests are sent at once, after one answer for each of these
/// latencies.
fn sent_at_once_after(answers: &[TimeDelta]) -> usize {
    let mut settings = settings(StalenessCheck::None);
    settings.gateway_count = 1;
    let mut harness = RouterHarness::new(settings);
    for &elapsed in answers {
        let (id, actions) = harness.submit(STRONG_READ, None);
        assert_eq!(sent_to(id, &actions), Some(0));
        harness.now += 300 * MILLISECOND;
        harness.deliver(&[Event::AttemptEnded {
            id,
            attempt: 0,
            member: MemberId(0),
            outcome: Outcome::Ok,
            elapsed,
            finished: true,
            status: Some(ReplicationStatus {
                role: Role::Primary,
                position: None,
            }),
            report: None,
        }]);
    }
    (0..20)
        .map(|_| harness.submit(STRONG_READ, None))
        .filter(|(id, actions)| sent_to(*id, actions) == Some(0))
        .count()
}

#[test]
fn late_answers_lower_the_concurrency_limit_and_prompt_ones_raise_it() {
    let late = [600 * MILLISECOND; 5];
    let at_start = sent_at_once_after(&[]);
    let after_late = sent_at_once_after(&late);
    assert!(
        after_late < at_start && after_late >= 1,
        "{at_start} then {after_late}"
    );
    let late_then_prompt = [&late[..], &[20 * MILLISECOND; 40]].concat();
    let after_prompt = sent_at_once_after(&late_then_prompt);
    assert!(
        after_prompt > after_late,
        "{after_late} then {after_prompt}"
    );
}

#[test]
fn unsent_read_is_rejected_before_half_of_its_deadline_and_a_write_stays_queued() {
    let mut settings = settings(StalenessCheck::Reject);
    settings.classes[STRONG_READ].latency_objective = 2 * SECOND;
    let mut harness = RouterHarness::new(settings);
    lose_primary(&mut harness);
    let (write, _) = harness.submit(WRITE, None);
    let (read, actions) = harness.submit(STRONG_READ, None);
    assert_eq!(sent_to(read, &actions), None, "queued: no primary is known");
    let actions = harness.run_for(800 * MILLISECOND);
    assert!(
        !is_rejected(read, &actions),
        "a new primary may still be found"
    );
    let actions = harness.run_for(200 * MILLISECOND);
    assert!(
        is_rejected(read, &actions),
        "its client waits for 2 s and still has time to retry"
    );
    assert!(
        !is_rejected(write, &actions),
        "an election outlasts any shorter time"
    );
    let actions = harness.report(1, true, harness.now);
    assert_eq!(sent_to(write, &actions), Some(1));
}

#[test]
fn newer_long_read_does_not_block_an_older_one_from_the_next_replica() {
    let mut settings = settings(StalenessCheck::None);
    settings.gateway_count = 1;
    settings.classes[ANY_READ].latency_objective = 3 * SECOND;
    let mut harness = RouterHarness::new(settings);
    harness.now += 200 * MILLISECOND;
    harness.report(1, false, harness.now - 100 * MILLISECOND);
    harness.report(2, false, harness.now);
    // The replica that is furthest behind fills up, and the next one is not used at first.
    let older = loop {
        let (id, actions) = harness.submit(ANY_READ, None);
        match sent_to(id, &actions) {
            Some(member) => assert_eq!(member, 1),
            None => break id,
        }
    };
    let mut actions = Vec::new();
    for _ in 0..8 {
        actions.extend(harness.run_for(100 * MILLISECOND));
        actions.extend(harness.submit(ANY_READ, None).1);
    }
    assert_eq!(
        sent_to(older, &actions),
        Some(2),
        "after a quarter of its objective, however many requests arrived since"
    );
}
