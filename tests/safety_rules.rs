//! The five rules and the defences, without the bench.

mod router_harness;
use router_harness::*;
use irisrouter::routing::*;

#[test]
fn a_held_request_gets_one_final_answer_in_time() {
    let mut w = World::new(settings(StalenessCheck::Reject));
    let (id, _) = w.ask(WRITE, None);
    w.end(id, 0, 0, Outcome::Unsuitable, Role::Replica);
    let out = w.pass(2 * S);
    assert_eq!(
        out.iter()
            .filter(|a| matches!(a, Action::Reject { id: i, .. } if *i == id))
            .count(),
        1
    );
    assert_eq!(sent(id, &w.pass(S)), None);
}

/// Guards against a lost site's load that fills the others: what a plan leaves out is refused at once, in its part, with a
/// time to come again; other classes are not touched, and none once the plan is over.
#[test]
fn a_plan_for_a_lost_site_refuses_its_part_of_a_class_at_once() {
    let mut s = settings(StalenessCheck::Reject);
    (s.limits.retry_after, s.limits.max_retry_after) = (true, 10 * S);
    let mut w = World::new(s);
    let mut admitted = vec![1.0; 8];
    admitted[ANY] = 0.25;
    let plan = FailoverDirectives {
        admitted_share: admitted,
        retry_after: Some(3 * S),
        ..FailoverDirectives::default()
    };
    w.step(&[Event::FailoverDirectivesChanged(plan)]);
    let mut pauses = Vec::new();
    for _ in 0..400 {
        let (id, out) = w.ask(ANY, None);
        pauses.extend(out.iter().find_map(|a| match a {
            Action::Reject {
                id: i,
                retry_after: pause,
            } if *i == id => Some(*pause),
            _ => None,
        }));
        if let Some(m) = sent(id, &out) {
            w.end(
                id,
                0,
                m,
                Outcome::Ok,
                if m == 0 { Role::Primary } else { Role::Replica },
            );
        }
        let (id, out) = w.ask(KEYED, None);
        assert_eq!(sent(id, &out), Some(0));
        w.end(id, 0, 0, Outcome::Ok, Role::Primary);
    }
    assert!(
        (260..340).contains(&pauses.len()),
        "{} of 400",
        pauses.len()
    );
    assert!(
        pauses.iter().all(|&p| (3 * S..=6 * S).contains(&p)),
        "within one and two pauses"
    );
    assert!(
        pauses.iter().max() > pauses.iter().min().map(|p| p + S).as_ref(),
        "and spread"
    );
    w.step(&[Event::FailoverDirectivesChanged(
        FailoverDirectives::default(),
    )]);
    assert!((0..50).all(|_| {
        let (id, out) = w.ask(ANY, None);
        !refused(id, &out)
    }));
}

/// Guards against a site's hosts that are all sent their whole part in the moment in which they are back.
#[test]
fn members_of_a_zone_that_is_led_in_are_sent_their_part_only() {
    let mut s = settings(StalenessCheck::Reject);
    s.zone = ZoneId(1);
    let mut w = World::new(s);
    let reads_at_odd = |w: &mut World| {
        (0..300)
            .filter(|_| {
                let (id, out) = w.ask(ANY, None);
                let to = sent(id, &out);
                if let Some(m) = to {
                    w.end(
                        id,
                        0,
                        m,
                        Outcome::Ok,
                        if m == 0 { Role::Primary } else { Role::Replica },
                    );
                }
                w.now += 10 * MS;
                to == Some(1)
            })
            .count()
    };
    // Member 1 is a replica of zone 1, member 2 one of zone 0.
    let whole = reads_at_odd(&mut w);
    w.step(&[Event::FailoverDirectivesChanged(FailoverDirectives {
        recovery_ramps: vec![(ZoneId(1), 0.15)],
        ..FailoverDirectives::default()
    })]);
    let led = reads_at_odd(&mut w);
    assert!(
        whole > 60 && led > 0 && led < whole / 2,
        "{whole}, then {led}"
    );
}

#[test]
fn an_unsafe_write_that_may_have_run_fails_at_once() {
    for outcome in [Outcome::TimedOut, Outcome::Reset, Outcome::Error] {
        let mut w = World::new(settings(StalenessCheck::Reject));
        let (id, _) = w.ask(WRITE, None);
        let out = w.end(id, 0, 0, outcome, Role::Primary);
        assert!(failed(id, &out), "{outcome:?}");
        assert!(!refused(id, &out) && sent(id, &out).is_none());
    }
}

#[test]
fn an_unsafe_write_that_never_ran_is_tried_again() {
    let mut w = World::new(settings(StalenessCheck::Reject));
    let (id, _) = w.ask(WRITE, None);
    let out = w.end(id, 0, 0, Outcome::Full, Role::Primary);
    assert_eq!(
        sent(id, &out),
        None,
        "turning it away costs a full primary work: it is left alone at first"
    );
    let out = w.pass(300 * MS);
    assert_eq!(sent(id, &out), Some(0));
}

#[test]
fn a_keyed_request_is_repeated_only_within_its_window() {
    let mut w = World::new(settings(StalenessCheck::Reject));
    let (id, _) = w.ask(KEYED, None);
    w.now += 200 * MS;
    let out = w.end(id, 0, 0, Outcome::Error, Role::Primary);
    assert_eq!(sent(id, &out), Some(0), "inside the window");
    w.now += 900 * MS;
    let out = w.end(id, 1, 0, Outcome::Error, Role::Primary);
    assert_eq!(
        sent(id, &out),
        None,
        "1.1 s after the first attempt the window of 1 s is over"
    );
    let out = w.pass(2 * S);
    assert!(failed(id, &out), "and it may have run: no refusal");
}

/// Guards against a repeat that is decided on within the window and arrives beyond it, as its connection had to come up:
/// the set takes it for another write.
#[test]
fn a_keyed_request_is_repeated_only_while_a_new_connection_would_be_in_time() {
    for (after, repeated) in [(740 * MS, true), (750 * MS, false)] {
        let mut w = World::new(settings(StalenessCheck::Reject));
        let (id, _) = w.ask(KEYED, None);
        w.now += after;
        let out = w.end(id, 0, 0, Outcome::Error, Role::Primary);
        assert_eq!(sent(id, &out).is_some(), repeated, "{after}");
    }
}

/// Guards against a member that answers everything with an error at once: it always has room, and drew the reads
/// of its group.
#[test]
fn a_member_that_answers_with_errors_is_shunned_and_asked_again_later() {
    let mut w = World::new(settings(StalenessCheck::Reject));
    let round = |w: &mut World, sick: bool| {
        let mut asked = 0;
        for _ in 0..50 {
            w.now += 10 * MS;
            let (id, out) = w.ask(BOUNDED, None);
            let Some(m) = sent(id, &out) else { continue };
            asked += u32::from(m == 2);
            w.end(
                id,
                0,
                m,
                if sick && m == 2 {
                    Outcome::Error
                } else {
                    Outcome::Ok
                },
                Role::Replica,
            );
        }
        asked
    };
    let sick = round(&mut w, true);
    assert!(
        (1..=8).contains(&sick),
        "{sick} of 50 went to the one with errors"
    );
    w.now += 10 * S;
    w.report(1, false, w.now);
    w.report(2, false, w.now);
    assert!(
        round(&mut w, false) > 8,
        "it is well again, and has its share"
    );
}

/// Guards against replicas that stand idle because no probe has proven them of late, while the proven ones are full
/// and reads are held; and against one that is asked again and again though it is too far behind.
#[test]
fn a_likely_replica_takes_what_the_proven_ones_have_no_room_for_until_it_turns_one_away() {
    let mut w = World::new(settings(StalenessCheck::Reject));
    w.now += 500 * MS;
    w.report(2, false, w.now);
    let mut to_likely = None;
    for _ in 0..8 {
        let (id, out) = w.ask(BOUNDED, None);
        to_likely = to_likely.or((sent(id, &out) == Some(1)).then_some(id));
    }
    let id = to_likely.expect("one for the replica that was well half a second ago");
    w.end(id, 0, 1, Outcome::Unsuitable, Role::Replica);
    for _ in 0..8 {
        let (id, out) = w.ask(BOUNDED, None);
        assert_ne!(sent(id, &out), Some(1), "it has shown that it is behind");
    }
}

/// Guards against memory that grows all day where members are replaced, against forgetting one that still owes an
/// answer, and against keeping one from coming back.
#[test]
fn members_that_are_gone_are_forgotten_once_nothing_of_them_is_out() {
    let mut w = World::new(settings(StalenessCheck::Reject));
    let change = |m, listed| Event::EndpointList {
        complete: false,
        endpoints: vec![entry(m, listed)],
    };
    let (id, _) = w.ask(KEYED, None);
    for m in 3..200 {
        w.step(&[
            change(m, EndpointState::Ready),
            change(m, EndpointState::Draining),
        ]);
        w.step(&[change(m, EndpointState::Removed)]);
        w.now += S;
    }
    assert_eq!(w.router.snapshot().members.len(), 3, "those in service");
    w.step(&[
        change(0, EndpointState::Draining),
        change(0, EndpointState::Removed),
    ]);
    assert_eq!(
        w.router.snapshot().members.len(),
        3,
        "the primary still has a request"
    );
    w.end(id, 0, 0, Outcome::Ok, Role::Primary);
    w.report(0, true, w.now);
    w.step(&[change(1, EndpointState::Ready)]);
    assert_eq!(w.router.snapshot().members.len(), 2);
    w.step(&[change(0, EndpointState::Ready)]);
    w.report(0, true, w.now);
    let (id, out) = w.ask(WRITE, None);
    assert_eq!(sent(id, &out), Some(0), "back in service");
}

/// Guards against a primary whose quick errors use the budget of further attempts up, as full attempts would.
#[test]
fn a_failed_attempt_costs_the_budget_as_much_as_it_took_time() {
    let mut w = World::new(settings(StalenessCheck::Reject));
    for n in 0..12 {
        let (id, _) = w.ask(KEYED, None);
        let out = w.end(id, 0, 0, Outcome::Error, Role::Primary);
        assert_eq!(
            sent(id, &out),
            Some(0),
            "the {n}th, after 50 ms of a usual 125"
        );
        w.end(id, 1, 0, Outcome::Ok, Role::Primary);
    }
}

#[test]
fn nothing_goes_to_a_draining_or_gone_member() {
    for listed in [EndpointState::Draining, EndpointState::Removed] {
        let mut w = World::new(settings(StalenessCheck::None));
        w.step(&[Event::EndpointList {
            complete: false,
            endpoints: vec![entry(1, listed)],
        }]);
        for _ in 0..20 {
            let (id, out) = w.ask(ANY, None);
            assert_ne!(sent(id, &out), Some(1));
            if let Some(m) = sent(id, &out) {
                w.end(id, 0, m, Outcome::Ok, Role::Replica);
            }
        }
    }
}

#[test]
fn a_member_missing_from_a_complete_list_is_gone() {
    let mut w = World::new(settings(StalenessCheck::None));
    let entries = vec![
        entry(0, EndpointState::Ready),
        entry(2, EndpointState::Ready),
    ];
    w.step(&[Event::EndpointList {
        complete: true,
        endpoints: entries,
    }]);
    for _ in 0..20 {
        let (id, out) = w.ask(ANY, None);
        assert_ne!(sent(id, &out), Some(1));
        if let Some(m) = sent(id, &out) {
            w.end(id, 0, m, Outcome::Ok, Role::Replica);
        }
    }
}

#[test]
fn where_only_drains_bind_a_gone_member_still_serves() {
    let mut s = settings(StalenessCheck::None);
    s.rules.only_listed_drains_bind = true;
    let mut w = World::new(s);
    let entries = vec![
        entry(1, EndpointState::Removed),
        entry(2, EndpointState::Draining),
    ];
    w.step(&[Event::EndpointList {
        complete: false,
        endpoints: entries,
    }]);
    let (id, out) = w.ask(ANY, None);
    assert_eq!(sent(id, &out), Some(1));
}

/// Sends to cold members in the first second of a restart of a whole group, of 600 requests in all, spread
/// over so many proxies.
fn sent_to_cold(gateway_count: u32) -> usize {
    let mut total = 0;
    for seed in 0..gateway_count {
        let mut s = settings(StalenessCheck::Reject);
        (s.gateway_count, s.seed) = (gateway_count, u64::from(seed));
        let mut w = World::new(s);
        let restarted = |m| Endpoint {
            started: Some(w.now),
            ..entry(m, EndpointState::Ready)
        };
        let entries = (0..3).map(restarted).collect();
        w.step(&[Event::EndpointList {
            complete: false,
            endpoints: entries,
        }]);
        w.report(0, true, w.now + MS);
        for _ in 0..600 / gateway_count {
            w.now += S / i64::from(600 / gateway_count);
            (0..3).for_each(|m| drop(w.report(m, m == 0, w.now)));
            for (class, m) in [(SESSION, 1), (WRITE, 0)] {
                let (id, out) = w.ask(class, None);
                if let Some(to) = sent(id, &out) {
                    total += 1;
                    let role = if m == 0 { Role::Primary } else { Role::Replica };
                    w.end(id, 0, to, Outcome::Ok, role);
                }
            }
        }
    }
    total
}

#[test]
fn a_cold_group_gets_its_part_of_the_requests_whatever_the_number_of_proxies() {
    for gateway_count in [1, 40, 300] {
        let sent = sent_to_cold(gateway_count);
        // 1,200 requests; the members bear 0.2 of their capacity and the rule's multiple of that is 4.
        assert!(
            sent > 1_200 / 10 && sent < 1_200 / 2,
            "{gateway_count} gateways: {sent}"
        );
    }
}

#[test]
fn an_unchecked_read_needs_proof() {
    let mut w = World::new(settings(StalenessCheck::None));
    // The primary loses its role, and no replica's position is recent.
    let (id, _) = w.ask(WRITE, None);
    w.end(id, 0, 0, Outcome::Unsuitable, Role::Replica);
    w.now += S;
    let (id, out) = w.ask(BOUNDED, None);
    assert_eq!(sent(id, &out), None);
    let out = w.pass(2 * S);
    assert_eq!(sent(id, &out), None);
    assert!(refused(id, &out));
}

#[test]
fn a_member_that_cannot_be_reached_is_left_alone_until_a_probe_succeeds() {
    let mut w = World::new(settings(StalenessCheck::None));
    let (id, out) = w.ask(ANY, None);
    let dead = sent(id, &out).expect("sent");
    let out = w.end(id, 0, dead, Outcome::ConnectFailed, Role::Replica);
    let other = sent(id, &out).expect("tried elsewhere at once");
    assert_ne!(other, dead);
    w.end(id, 1, other, Outcome::Ok, Role::Replica);
    for _ in 0..20 {
        let (id, out) = w.ask(ANY, None);
        assert_ne!(sent(id, &out), Some(dead));
        if let Some(m) = sent(id, &out) {
            w.end(id, 0, m, Outcome::Ok, Role::Replica);
        }
    }
    w.report(dead, false, w.now);
    let back = (0..40).any(|_| {
        let (id, out) = w.ask(ANY, None);
        let m = sent(id, &out);
        if let Some(m) = m {
            w.end(id, 0, m, Outcome::Ok, Role::Replica);
        }
        m == Some(dead)
    });
    assert!(back, "no traffic was needed to find it again");
}

#[test]
fn a_silent_member_is_suspect_and_a_read_on_it_gets_one_copy_elsewhere() {
    let mut w = World::new(settings(StalenessCheck::None));
    // Enough answers to know what is usual: far less than the aim.
    for _ in 0..80 {
        let (id, out) = w.ask(ANY, None);
        let m = sent(id, &out).expect("sent");
        w.end(id, 0, m, Outcome::Ok, Role::Replica);
    }
    let (id, out) = w.ask(ANY, None);
    let silent = sent(id, &out).expect("sent");
    let out = w.pass(400 * MS);
    let copy = sent(id, &out).expect("a second copy");
    assert_ne!(copy, silent);
    let out = w.end(id, 1, copy, Outcome::Ok, Role::Replica);
    assert!(
        out.contains(&Action::CancelAttempt { id, attempt: 0 }),
        "the loser is cancelled"
    );
}

#[test]
fn a_silent_primary_gets_no_further_writes() {
    let mut w = World::new(settings(StalenessCheck::Reject));
    let (first, out) = w.ask(WRITE, None);
    assert_eq!(sent(first, &out), Some(0));
    w.pass(S);
    let (id, out) = w.ask(WRITE, None);
    assert_eq!(sent(id, &out), None, "held: it could only fail there");
    let out = w.end(first, 0, 0, Outcome::Ok, Role::Primary);
    assert_eq!(sent(id, &out), Some(0), "until it speaks");
}

#[test]
fn of_two_claims_to_be_primary_the_later_wins() {
    let mut w = World::new(settings(StalenessCheck::Reject));
    w.now += S;
    w.report(2, true, w.now);
    w.report(0, true, w.now - 900 * MS);
    let (id, out) = w.ask(WRITE, None);
    assert_eq!(
        sent(id, &out),
        Some(2),
        "a report that is late does not win"
    );
}

#[test]
fn a_backlog_does_not_flood_a_new_primary() {
    let mut w = World::new(settings(StalenessCheck::Reject));
    let (id, _) = w.ask(WRITE, None);
    w.end(id, 0, 0, Outcome::Unsuitable, Role::Replica);
    for _ in 0..50 {
        let (id, out) = w.ask(WRITE, None);
        assert_eq!(sent(id, &out), None);
    }
    w.now += 10 * MS;
    let out = w.report(1, true, w.now);
    let sends = out
        .iter()
        .filter(|a| matches!(a, Action::StartAttempt { .. }))
        .count();
    assert!((1..=4).contains(&sends), "{sends} at once");
}

#[test]
fn of_held_requests_the_newest_goes_first() {
    let mut w = World::new(settings(StalenessCheck::Reject));
    let (old, _) = w.ask(WRITE, None);
    w.end(old, 0, 0, Outcome::Unsuitable, Role::Replica);
    w.now += 100 * MS;
    let (new, _) = w.ask(WRITE, None);
    let (newest, _) = w.ask(WRITE, None);
    let out = w.report(1, true, w.now);
    let order: Vec<RequestId> = out
        .iter()
        .filter_map(|a| {
            if let Action::StartAttempt { id, .. } = a {
                Some(*id)
            } else {
                None
            }
        })
        .collect();
    assert_eq!(order, vec![newest, new]);
}

#[test]
fn an_old_read_is_refused_with_a_pause_before_it_is_worthless_work() {
    let mut w = World::new(settings(StalenessCheck::None));
    let (id, _) = w.ask(WRITE, None);
    w.end(id, 0, 0, Outcome::Unsuitable, Role::Replica);
    let (id, _) = w.ask(FRESH, None);
    let out = w.pass(450 * MS);
    assert!(out.iter().any(
        |a| matches!(a, Action::Reject { id: i, retry_after: pause } if *i == id && *pause > 0)
    ));
}

#[test]
fn long_reads_gather_on_the_replica_furthest_behind() {
    let mut s = settings(StalenessCheck::None);
    s.classes[ANY].latency_objective = 8 * S;
    s.classes[ANY].deadline = 8 * S;
    let mut w = World::new(s);
    w.now += 200 * MS;
    w.report(1, false, w.now - 100 * MS);
    w.report(2, false, w.now);
    for _ in 0..10 {
        let (id, out) = w.ask(ANY, None);
        assert_eq!(sent(id, &out), Some(1));
        w.end(id, 0, 1, Outcome::Cancelled, Role::Replica);
        w.now += MS;
        let (id, out) = w.ask(BOUNDED, None);
        if let Some(m) = sent(id, &out) {
            w.end(id, 0, m, Outcome::Ok, Role::Replica);
        }
    }
}

#[test]
fn proof_probes_are_spent_on_one_replica_at_a_time() {
    let mut w = World::new(settings(StalenessCheck::None));
    let (id, _) = w.ask(WRITE, None);
    w.end(id, 0, 0, Outcome::Ok, Role::Primary);
    w.pass(S);
    w.report(1, false, w.now - 290 * MS);
    w.report(2, false, w.now - 290 * MS);
    w.now += 100 * MS;
    let (_, mut out) = w.ask(BOUNDED, None);
    out.extend(w.pass(60 * MS));
    let probes = out
        .iter()
        .filter(|a| matches!(a, Action::HealthCheck { .. }))
        .count();
    assert_eq!(probes, 1);
}

#[test]
fn a_long_request_is_not_the_free_one_of_a_cold_member() {
    let mut s = settings(StalenessCheck::None);
    s.gateway_count = 11;
    s.classes[ANY].latency_objective = 8 * S;
    s.classes[ANY].deadline = 8 * S;
    let mut w = World::new(s);
    let mut cold = entry(1, EndpointState::Ready);
    cold.started = Some(w.now);
    let only = vec![cold, entry(2, EndpointState::Removed)];
    w.step(&[Event::EndpointList {
        complete: false,
        endpoints: only,
    }]);
    let (long, out) = w.ask(ANY, None);
    assert_ne!(
        sent(long, &out),
        Some(1),
        "eleven proxies would each send one"
    );
    let mut short = 0;
    for _ in 0..20 {
        let (id, out) = w.ask(BOUNDED, None);
        short += u32::from(sent(id, &out) == Some(1));
    }
    assert!(short <= 1, "{short}");
}

/// Requests sent at once out of twenty, after so many single answers that each took this long.
fn room_after(answers: &[Nanos]) -> usize {
    let mut s = settings(StalenessCheck::None);
    s.gateway_count = 1;
    let mut w = World::new(s);
    for &elapsed in answers {
        let (id, out) = w.ask(FRESH, None);
        assert_eq!(sent(id, &out), Some(0));
        w.now += 300 * MS;
        let note = Some(ReplicationStatus {
            role: Role::Primary,
            position: None,
        });
        let (member, outcome) = (MemberId(0), Outcome::Ok);
        let (attempt, finished, report) = (0, true, None);
        w.step(&[Event::AttemptEnded {
            id,
            attempt,
            member,
            outcome,
            elapsed,
            finished,
            status: note,
            report,
        }]);
    }
    (0..20)
        .map(|_| w.ask(FRESH, None))
        .filter(|(id, out)| sent(*id, out) == Some(0))
        .count()
}

#[test]
fn a_member_that_answers_late_gets_fewer_and_comes_back() {
    let late = [600 * MS; 5];
    let fresh = room_after(&[]);
    let slow = room_after(&late);
    assert!(slow < fresh && slow >= 1, "{fresh} then {slow}");
    let back = room_after(&[&late[..], &[20 * MS; 40]].concat());
    assert!(back > slow, "{slow} then {back}");
}

#[test]
fn a_read_that_was_never_sent_is_given_up_before_half_of_its_time_and_a_write_is_held() {
    let mut s = settings(StalenessCheck::Reject);
    s.classes[FRESH].latency_objective = 2 * S;
    let mut w = World::new(s);
    let (first, _) = w.ask(WRITE, None);
    w.end(first, 0, 0, Outcome::Unsuitable, Role::Replica);
    let (write, _) = w.ask(WRITE, None);
    let (read, out) = w.ask(FRESH, None);
    assert_eq!(sent(read, &out), None, "held: no primary is known");
    let out = w.pass(800 * MS);
    assert!(!refused(read, &out), "a new primary may show up");
    let out = w.pass(200 * MS);
    assert!(
        refused(read, &out),
        "its client waits for 2 s and can still come back"
    );
    assert!(
        !refused(write, &out),
        "an election outlasts any shorter hold"
    );
    let out = w.report(1, true, w.now);
    assert_eq!(sent(write, &out), Some(1));
}

#[test]
fn a_newer_long_read_does_not_bar_an_older_one_from_the_next_replica() {
    let mut s = settings(StalenessCheck::None);
    s.gateway_count = 1;
    s.classes[ANY].latency_objective = 3 * S;
    let mut w = World::new(s);
    w.now += 200 * MS;
    w.report(1, false, w.now - 100 * MS);
    w.report(2, false, w.now);
    // The replica furthest behind fills up, and the next is spared at first.
    let old = loop {
        let (id, out) = w.ask(ANY, None);
        match sent(id, &out) {
            Some(m) => assert_eq!(m, 1),
            None => break id,
        }
    };
    let mut out = Vec::new();
    for _ in 0..8 {
        out.extend(w.pass(100 * MS));
        out.extend(w.ask(ANY, None).1);
    }
    assert_eq!(
        sent(old, &out),
        Some(2),
        "after a quarter of its aim, however many came since"
    );
}
