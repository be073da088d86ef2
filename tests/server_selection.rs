//! The steps of the design, without the bench.

mod router_harness;
use router_harness::*;
use irisrouter::routing::*;

#[test]
fn writes_and_fresh_reads_go_to_the_primary() {
    let mut w = World::new(settings(StalenessCheck::None));
    for class in [WRITE, FRESH] {
        let (id, out) = w.ask(class, None);
        assert_eq!(sent(id, &out), Some(0));
        w.end(id, 0, 0, Outcome::Ok, Role::Primary);
    }
}

#[test]
fn other_reads_prefer_a_replica_that_is_recent_enough() {
    let mut w = World::new(settings(StalenessCheck::None));
    w.report(1, false, w.now - 400 * MS);
    w.now += 100 * MS;
    let (id, out) = w.ask(BOUNDED, None);
    // Both replicas were at the start of the day's second a tenth of a second ago: inside the bound of 300 ms.
    assert!(matches!(sent(id, &out), Some(1 | 2)));
}

#[test]
fn a_lagging_replica_gets_no_bounded_read_and_the_primary_takes_it() {
    let mut w = World::new(settings(StalenessCheck::None));
    w.pass(S);
    w.report(0, true, w.now);
    w.report(1, false, w.now - 350 * MS);
    w.report(2, false, w.now - 50 * MS);
    let (id, out) = w.ask(BOUNDED, None);
    assert_eq!(sent(id, &out), Some(2));
    w.end(id, 0, 2, Outcome::Ok, Role::Replica);
    w.pass(300 * MS);
    let (id, out) = w.ask(BOUNDED, None);
    assert_eq!(sent(id, &out), None, "held while a probe may bring proof");
    let out = w.pass(100 * MS);
    assert_eq!(sent(id, &out), Some(0), "then the primary");
}

#[test]
fn a_session_read_needs_the_position_of_its_write() {
    let mut w = World::new(settings(StalenessCheck::None));
    let at = w.now;
    w.now += 100 * MS;
    let (id, out) = w.ask(SESSION, Some(150 * MS));
    assert!(
        matches!(sent(id, &out), Some(1 | 2)),
        "written before the positions at {at}"
    );
    let (id, out) = w.ask(SESSION, Some(50 * MS));
    assert_eq!(sent(id, &out), None);
    let out = w.report(2, false, w.now - 20 * MS);
    assert_eq!(
        sent(id, &out),
        Some(2),
        "selected again on the status update"
    );
}

#[test]
fn remembered_marks_come_from_answered_writes() {
    let mut s = settings(StalenessCheck::None);
    s.last_write_age_carried = false;
    let mut w = World::new(s);
    let (id, out) = w.ask(WRITE, None);
    assert_eq!(sent(id, &out), Some(0));
    w.now += 20 * MS;
    let note = Some(ReplicationStatus {
        role: Role::Primary,
        position: Some(w.now),
    });
    w.step(&[Event::AttemptEnded {
        id,
        attempt: 0,
        member: MemberId(0),
        outcome: Outcome::Ok,
        elapsed: 20 * MS,
        finished: true,
        status: note,
        report: None,
    }]);
    let (id, out) = w.ask(SESSION, None);
    assert_eq!(
        sent(id, &out),
        None,
        "no replica is known to have the write"
    );
    let out = w.report(1, false, w.now);
    assert_eq!(sent(id, &out), Some(1));
}

#[test]
fn a_write_is_held_without_a_primary_and_sent_when_one_claims_the_role() {
    let mut w = World::new(settings(StalenessCheck::Reject));
    let (id, out) = w.ask(WRITE, None);
    assert_eq!(sent(id, &out), Some(0));
    w.report(1, false, w.now);
    w.report(2, false, w.now);
    let mut out = w.end(id, 0, 0, Outcome::Unsuitable, Role::Replica);
    assert_eq!(sent(id, &out), None, "held");
    out.extend(w.pass(200 * MS));
    assert!(
        out.iter().any(|a| matches!(a, Action::HealthCheck { .. })),
        "and looked for"
    );
    assert!(!refused(id, &out) && !failed(id, &out));
    let out = w.report(2, true, w.now);
    assert_eq!(sent(id, &out), Some(2));
}

#[test]
fn the_random_pick_uses_both_replicas() {
    let mut s = settings(StalenessCheck::None);
    s.zone = ZoneId(9);
    let mut w = World::new(s);
    let mut seen = [0; 3];
    for _ in 0..60 {
        let (id, out) = w.ask(ANY, None);
        let m = sent(id, &out).expect("sent");
        seen[m as usize] += 1;
        w.end(id, 0, m, Outcome::Ok, Role::Replica);
        w.now += MS;
    }
    assert_eq!(seen[0], 0);
    assert!(seen[1] > 0 && seen[2] > 0, "{seen:?}");
}

#[test]
fn where_replicas_check_reads_the_most_advanced_goes_first() {
    let mut w = World::new(settings(StalenessCheck::Reject));
    w.pass(400 * MS);
    let (id, out) = w.ask(BOUNDED, None);
    let first = sent(id, &out).expect("sent to a replica on its likely position");
    assert!(first != 0);
    let out = w.end(id, 0, first, Outcome::Unsuitable, Role::Replica);
    let next = sent(id, &out).expect("and elsewhere after a miss");
    assert!(next != first);
}
