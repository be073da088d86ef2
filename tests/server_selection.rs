//! The steps of server selection, tested on one router at a time.

mod router_harness;

use irisrouter::routing::{
    Event, MemberId, Outcome, ReplicationStatus, Role, StalenessCheck, ZoneId,
};
use router_harness::{
    health_checks, is_failed, is_rejected, sent_to, settings, RouterHarness, ANY_READ,
    BOUNDED_READ, MILLISECOND, SECOND, SESSION_READ, STRONG_READ, WRITE,
};

#[test]
fn writes_and_strong_reads_go_to_the_primary() {
    let mut harness = RouterHarness::new(settings(StalenessCheck::None));
    for class in [WRITE, STRONG_READ] {
        let (id, actions) = harness.submit(class, None);
        assert_eq!(sent_to(id, &actions), Some(0));
        harness.answer(id, 0);
    }
}

#[test]
fn bounded_read_prefers_a_replica_that_is_recent_enough() {
    let mut harness = RouterHarness::new(settings(StalenessCheck::None));
    harness.report(1, false, harness.now - 400 * MILLISECOND);
    harness.now += 100 * MILLISECOND;
    let (id, actions) = harness.submit(BOUNDED_READ, None);
    // Positions never go back, so both replicas are still known to be current as of 100 ms ago,
    // which is within the bound of 300 ms.
    assert!(matches!(sent_to(id, &actions), Some(1 | 2)));
}

#[test]
fn lagging_replica_gets_no_bounded_read_and_the_primary_takes_it() {
    let mut harness = RouterHarness::new(settings(StalenessCheck::None));
    harness.run_for(SECOND);
    harness.report(0, true, harness.now);
    harness.report(1, false, harness.now - 350 * MILLISECOND);
    harness.report(2, false, harness.now - 50 * MILLISECOND);
    let (id, actions) = harness.submit(BOUNDED_READ, None);
    assert_eq!(sent_to(id, &actions), Some(2));
    harness.answer(id, 2);
    harness.run_for(300 * MILLISECOND);
    let (id, actions) = harness.submit(BOUNDED_READ, None);
    assert_eq!(
        sent_to(id, &actions),
        None,
        "queued while a health check may confirm a position"
    );
    let actions = harness.run_for(100 * MILLISECOND);
    assert_eq!(
        sent_to(id, &actions),
        Some(0),
        "sent to the primary afterwards"
    );
}

#[test]
fn session_read_needs_the_position_of_its_write() {
    let mut harness = RouterHarness::new(settings(StalenessCheck::None));
    let reported_at = harness.now;
    harness.now += 100 * MILLISECOND;
    let (id, actions) = harness.submit(SESSION_READ, Some(150 * MILLISECOND));
    assert!(
        matches!(sent_to(id, &actions), Some(1 | 2)),
        "written before the positions at {reported_at:?}"
    );
    let (id, actions) = harness.submit(SESSION_READ, Some(50 * MILLISECOND));
    assert_eq!(sent_to(id, &actions), None);
    let actions = harness.report(2, false, harness.now - 20 * MILLISECOND);
    assert_eq!(
        sent_to(id, &actions),
        Some(2),
        "selection runs again when a status arrives"
    );
}

#[test]
fn session_read_needs_the_remembered_commit_of_an_answered_write() {
    let mut settings = settings(StalenessCheck::None);
    settings.last_write_age_carried = false;
    let mut harness = RouterHarness::new(settings);
    let (id, actions) = harness.submit(WRITE, None);
    assert_eq!(sent_to(id, &actions), Some(0));
    harness.now += 20 * MILLISECOND;
    harness.deliver(&[Event::AttemptEnded {
        id,
        attempt: 0,
        member: MemberId(0),
        outcome: Outcome::Ok,
        elapsed: 20 * MILLISECOND,
        finished: true,
        status: Some(ReplicationStatus {
            role: Role::Primary,
            position: Some(harness.now),
        }),
        report: None,
    }]);
    let (id, actions) = harness.submit(SESSION_READ, None);
    assert_eq!(
        sent_to(id, &actions),
        None,
        "no replica is known to have the write"
    );
    let actions = harness.report(1, false, harness.now);
    assert_eq!(sent_to(id, &actions), Some(1));
}

#[test]
fn write_is_queued_without_a_primary_and_sent_when_one_claims_the_role() {
    let mut harness = RouterHarness::new(settings(StalenessCheck::Reject));
    let (id, actions) = harness.submit(WRITE, None);
    assert_eq!(sent_to(id, &actions), Some(0));
    harness.report(1, false, harness.now);
    harness.report(2, false, harness.now);
    let mut actions = harness.end_attempt(id, 0, 0, Outcome::Unsuitable, Role::Replica);
    assert_eq!(sent_to(id, &actions), None, "queued");
    actions.extend(harness.run_for(200 * MILLISECOND));
    assert!(
        health_checks(&actions) > 0,
        "health checks look for a primary"
    );
    assert!(!is_rejected(id, &actions) && !is_failed(id, &actions));
    let actions = harness.report(2, true, harness.now);
    assert_eq!(sent_to(id, &actions), Some(2));
}

#[test]
fn random_selection_uses_both_replicas() {
    let mut settings = settings(StalenessCheck::None);
    settings.zone = ZoneId(9);
    let mut harness = RouterHarness::new(settings);
    let mut reads = [0; 3];
    for _ in 0..60 {
        let (id, actions) = harness.submit(ANY_READ, None);
        let member = sent_to(id, &actions).expect("sent");
        reads[member as usize] += 1;
        harness.answer_as_replica(id, member);
        harness.now += MILLISECOND;
    }
    assert_eq!(reads[0], 0);
    assert!(reads[1] > 0 && reads[2] > 0, "{reads:?}");
}

#[test]
fn most_advanced_replica_goes_first_where_replicas_check_reads() {
    let mut harness = RouterHarness::new(settings(StalenessCheck::Reject));
    harness.run_for(400 * MILLISECOND);
    let (id, actions) = harness.submit(BOUNDED_READ, None);
    let first = sent_to(id, &actions).expect("sent to a replica that is probably recent enough");
    assert!(first != 0);
    let actions = harness.end_attempt(id, 0, first, Outcome::Unsuitable, Role::Replica);
    let next = sent_to(id, &actions).expect("sent to another replica after the rejection");
    assert!(next != first);
}
