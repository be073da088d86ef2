//! What a router makes of the findings of other gateways.

mod router_harness;
use router_harness::*;
use irisrouter::routing::*;

fn fleet(checks: StalenessCheck) -> World {
    let mut s = settings(checks);
    (
        s.gateway_count,
        s.in_flight_reported,
        s.positions_in_answers,
    ) = (100, false, false);
    s.zone = ZoneId(9);
    let mut w = World::new(s);
    // What it was told at its start is long past.
    w.now += 2 * S;
    w
}

fn found(w: &World, m: u32, lag: Nanos, cores_in_use: f64) -> SharedHealthCheck {
    let (position, primary) = (Some(w.now - lag), Some(m == 0));
    let report = LoadReport {
        position,
        primary,
        in_flight: None,
        cores_in_use: Some(cores_in_use),
    };
    SharedHealthCheck {
        member: MemberId(m),
        at: w.now,
        report,
    }
}

fn tell(w: &mut World, of: [(Nanos, f64); 3]) -> Vec<Action> {
    let found = (0..3)
        .zip(of)
        .map(|(m, (lag, cores_in_use))| found(w, m, lag, cores_in_use))
        .collect();
    w.step(&[Event::SharedHealthChecks(found)])
}

/// Where each of so many bounded reads goes, told anew before each.
fn reads(w: &mut World, n: usize, of: [(Nanos, f64); 3]) -> [usize; 3] {
    let mut to = [0; 3];
    for _ in 0..n {
        w.now += 20 * MS;
        tell(w, of);
        let (id, mut out) = w.ask(BOUNDED, None);
        out.extend(w.pass(20 * MS));
        let Some(m) = sent(id, &out) else { continue };
        to[m as usize] += 1;
        w.end(
            id,
            0,
            m,
            Outcome::Ok,
            if m == 0 { Role::Primary } else { Role::Replica },
        );
    }
    to
}

/// Guards against a hundred gateways that each probe what one of them has just told.
#[test]
fn what_others_find_is_not_probed_again() {
    let count = |told: bool| {
        let mut w = fleet(StalenessCheck::Wait(50 * MS));
        let mut probes = 0;
        for _ in 0..100 {
            w.now += 50 * MS;
            let mut out = if told {
                tell(&mut w, [(0, 0.2), (20 * MS, 0.2), (20 * MS, 0.2)])
            } else {
                vec![]
            };
            let (id, sent_out) = w.ask(BOUNDED, None);
            out.extend(sent_out);
            if let Some(m) = sent(id, &out) {
                out.extend(w.end(id, 0, m, Outcome::Ok, Role::Replica));
            }
            probes += out
                .iter()
                .filter(|a| matches!(a, Action::HealthCheck { .. }))
                .count();
        }
        probes
    };
    assert_eq!(count(true), 0);
    assert!(count(false) > 0, "without word it probes for itself");
}

/// Guards against reads that go where they are turned away, as what is known is seconds old.
#[test]
fn a_replica_that_was_found_too_far_behind_gets_no_read() {
    let to = reads(
        &mut fleet(StalenessCheck::Wait(50 * MS)),
        200,
        [(0, 0.2), (30 * MS, 0.2), (900 * MS, 0.2)],
    );
    assert_eq!(to, [0, 200, 0]);
    let to = reads(
        &mut fleet(StalenessCheck::Wait(50 * MS)),
        200,
        [(0, 0.2), (30 * MS, 0.2), (60 * MS, 0.2)],
    );
    assert!(to[1] > 50 && to[2] > 50, "{to:?}");
}

/// Guards against a fleet that leaves all reads with a primary which writes fill already.
#[test]
fn reads_without_a_replica_go_to_the_primary_as_far_as_it_has_room() {
    let behind = (900 * MS, 0.2);
    let at = |cores_in_use| {
        reads(
            &mut fleet(StalenessCheck::Wait(50 * MS)),
            200,
            [(0, cores_in_use), behind, behind],
        )[0]
    };
    assert_eq!(at(0.4), 200);
    assert!((40..160).contains(&at(0.85)), "{}", at(0.85));
    assert_eq!(at(1.0), 0);
}

/// Guards against picks that crowd on a host which others have filled.
#[test]
fn reads_lean_to_the_replica_with_cores_to_spare() {
    let to = reads(
        &mut fleet(StalenessCheck::Wait(50 * MS)),
        300,
        [(0, 0.5), (30 * MS, 0.3), (30 * MS, 0.98)],
    );
    assert!(to[1] > 4 * to[2], "{to:?}");
}

/// Guards against late word that displaces newer word, whatever the order, and however often it comes.
#[test]
fn older_findings_change_nothing() {
    let mut w = fleet(StalenessCheck::Wait(50 * MS));
    let old = [
        found(&w, 0, 0, 0.2),
        found(&w, 1, 800 * MS, 0.2),
        found(&w, 2, 900 * MS, 1.0),
    ]
    .to_vec();
    w.now += 100 * MS;
    tell(&mut w, [(0, 0.2), (800 * MS, 0.2), (10 * MS, 0.2)]);
    for _ in 0..3 {
        w.step(&[Event::SharedHealthChecks(old.clone())]);
    }
    let (id, out) = w.ask(SESSION, Some(20 * MS));
    assert_eq!(sent(id, &out), Some(2), "{out:?}");
}

/// Guards against stale reads on a gateway's word where hosts check nothing.
#[test]
fn where_hosts_check_nothing_findings_prove_nothing() {
    let mut w = fleet(StalenessCheck::None);
    w.now += 10 * S;
    tell(&mut w, [(0, 0.2), (0, 0.2), (0, 0.2)]);
    let (id, out) = w.ask(BOUNDED, None);
    assert!(sent(id, &out).is_none_or(|m| m == 0), "{out:?}");
}

/// Guards against a host that the own list has not named.
#[test]
fn findings_of_unknown_hosts_are_passed_over() {
    let mut w = fleet(StalenessCheck::Wait(50 * MS));
    let f = found(&w, 9, 0, 0.0);
    assert_eq!(w.step(&[Event::SharedHealthChecks(vec![f])]), vec![]);
}

/// Guards against a fleet that sends a host more than it can do until it serves nothing in time.
#[test]
fn a_host_that_stays_too_busy_is_spared_a_share_of_its_requests_and_writes_last() {
    let part = |class: usize, cores_in_use: f64| {
        let mut w = fleet(StalenessCheck::Wait(50 * MS));
        for _ in 0..40 {
            w.now += 200 * MS;
            tell(
                &mut w,
                [
                    (0, cores_in_use),
                    (20 * MS, cores_in_use),
                    (20 * MS, cores_in_use),
                ],
            );
        }
        let sent_at_once = |w: &mut World| {
            let (id, out) = w.ask(class, None);
            sent(id, &out).is_some()
        };
        (0..100).filter(|_| sent_at_once(&mut w)).count()
    };
    assert_eq!(part(FRESH, 0.8), 100);
    assert!(part(FRESH, 1.0) < 20, "{}", part(FRESH, 1.0));
    assert!(
        part(KEYED, 1.0) > part(FRESH, 1.0),
        "{} of {}",
        part(KEYED, 1.0),
        part(FRESH, 1.0)
    );
}
