//! The fleet under faults: one scripted test for each case.

use irisrouter_simulation::fleet::{Answer, Delivery, Fleet, Output, ProbeResult, Query};
use irisrouter_simulation::host::State;
use irisrouter_simulation::invariants::ViolationKind;
use irisrouter_simulation::spec::{
    Checks, DiscoverySilence, Fault, HostFault, HostSelection, SilentHosts, Spec, ValueOrRange,
};
use irisrouter_simulation::{GatewayId, HostId, Ns, SetId, MS, SECOND};

const PAGE: usize = 0;
const OWN: usize = 1;
const REPORT: usize = 3;
const WRITE: usize = 4;

/// One set of six hosts. The settings that affect the tests are fixed values instead of ranges.
fn spec(faults: Vec<Fault>) -> Spec {
    let mut s = Spec {
        faults,
        gateways: 2,
        ..Spec::default()
    };
    s.hosts.count = 6;
    s.hosts.errors = 0.0;
    s.hosts.table_loss = 0.0;
    s.sets.ship_ms = ValueOrRange::Value(5.0);
    s.sets.detect_s = ValueOrRange::Value(2.0);
    s.sets.elect_s = ValueOrRange::Value(3.0);
    s
}

fn silent(host: u32, at: f64, duration: f64, hang: bool) -> Fault {
    let hosts = HostSelection {
        these: Some(vec![host]),
        ..HostSelection::default()
    };
    let silent = Some(SilentHosts { hosts, hang });
    Fault {
        at_s: ValueOrRange::Value(at),
        for_s: ValueOrRange::Value(duration),
        silent,
        ..Fault::default()
    }
}

struct Harness {
    fleet: Fleet,
    ticket: u64,
    notifications: Vec<(Ns, GatewayId, HostId)>,
    resets: Vec<(Ns, HostId)>,
    answers: Vec<(Ns, u64, Answer, bool, Ns)>,
}

impl Harness {
    fn new(spec: &Spec) -> Self {
        let fleet = Fleet::new(spec, 1, 0);
        Harness {
            fleet,
            ticket: 0,
            notifications: Vec::new(),
            resets: Vec::new(),
            answers: Vec::new(),
        }
    }

    /// Advances the fleet to time `t`, event by event.
    fn advance_to(&mut self, t: Ns) {
        while let Some(at) = self.fleet.next().filter(|&at| at <= t) {
            self.collect_outputs(at);
        }
        self.collect_outputs(t);
    }

    fn collect_outputs(&mut self, at: Ns) {
        for output in self.fleet.advance(at) {
            match output {
                Output::Answered {
                    ticket,
                    answer,
                    note,
                    ..
                } => {
                    self.answers
                        .push((at, ticket, answer, note.primary, note.position));
                }
                Output::ListUpdated { gateway, entry } => {
                    self.notifications.push((at, gateway, entry.host))
                }
                Output::ConnectionsReset { host } => self.resets.push((at, host)),
                _ => {}
            }
        }
    }

    fn send_query(
        &mut self,
        now: Ns,
        host: u32,
        class: usize,
        adjust: impl FnOnce(&mut Query),
    ) -> (u64, Delivery) {
        self.advance_to(now);
        self.ticket += 1;
        let mut query = Query {
            ticket: self.ticket,
            gateway: GatewayId(0),
            class,
            work: 40 * MS,
            key: None,
            mark: 0,
            sent: now,
            arrived: now,
        };
        adjust(&mut query);
        let epoch = self.fleet.host(HostId(host)).epoch;
        let delivery = self.fleet.query(now, HostId(host), epoch, query);
        self.collect_outputs(now);
        (self.ticket, delivery)
    }

    fn write(&mut self, now: Ns, host: u32, key: u64) -> u64 {
        self.send_query(now, host, WRITE, |q| q.key = Some(key)).0
    }

    fn answer(&self, ticket: u64) -> Option<(Ns, Answer)> {
        self.answers
            .iter()
            .find(|a| a.1 == ticket)
            .map(|a| (a.0, a.2))
    }

    fn count(&self, kind: ViolationKind) -> u64 {
        self.fleet.invariants().count(kind)
    }
}

#[test]
fn repeated_write_within_the_window_is_dropped_and_beyond_it_applied() {
    let mut r = Harness::new(&spec(Vec::new()));
    let first = r.write(SECOND, 0, 7);
    // The last moment of the window, which starts when the first copy arrives.
    let again = r.write(SECOND + 1200 * MS, 0, 7);
    r.advance_to(3 * SECOND);
    assert_eq!(r.answer(first), Some((SECOND + 40 * MS, Answer::Row)));
    assert_eq!(r.answer(again).map(|a| a.1), Some(Answer::Row));
    let commits: Vec<Ns> = r.answers.iter().map(|a| a.4).collect();
    assert_eq!(
        commits[0], commits[1],
        "the repeat is answered with the commit of the first copy"
    );
    assert_eq!(
        (
            r.fleet.invariants().writes(),
            r.count(ViolationKind::AppliedTwice)
        ),
        (1, 0)
    );
    // Negative control: a repeat one nanosecond after the window is applied again, and the audit finds it.
    r.write(3 * SECOND, 0, 8);
    r.write(4 * SECOND + 200 * MS + 1, 0, 8);
    r.advance_to(5 * SECOND);
    assert_eq!(
        (
            r.fleet.invariants().writes(),
            r.count(ViolationKind::AppliedTwice)
        ),
        (2, 1)
    );
}

/// Of two copies of a write that run at the same time, the one that finishes first is applied and the other is not.
#[test]
fn concurrent_copies_of_a_write_are_applied_once() {
    let mut r = Harness::new(&spec(Vec::new()));
    r.send_query(SECOND, 0, WRITE, |q| (q.key, q.work) = (Some(7), 90 * MS));
    r.send_query(SECOND + MS, 0, WRITE, |q| {
        (q.key, q.work) = (Some(7), 10 * MS)
    });
    r.advance_to(2 * SECOND);
    assert_eq!(
        (
            r.fleet.invariants().writes(),
            r.count(ViolationKind::AppliedTwice)
        ),
        (1, 0)
    );
    assert!(
        r.answers
            .iter()
            .all(|a| a.2 == Answer::Row && a.4 == SECOND + 11 * MS),
        "{:?}",
        r.answers
    );
}

#[test]
fn write_abandoned_by_its_gateway_is_still_applied() {
    let mut r = Harness::new(&spec(Vec::new()));
    r.write(SECOND, 0, 7);
    // A gateway that gives up closes its connection, which does not stop the write.
    r.fleet.close(SECOND + MS, HostId(0), 0);
    r.advance_to(2 * SECOND);
    assert_eq!(r.fleet.invariants().commit(7), Some(SECOND + 40 * MS));
}

#[test]
fn replica_set_without_primary_takes_no_writes_until_the_election() {
    let mut r = Harness::new(&spec(vec![silent(0, 2.0, 15.0, false)]));
    let before = r.write(SECOND, 0, 1);
    let (lost, _) = r.send_query(2 * SECOND - MS, 0, WRITE, |q| q.key = Some(2));
    let (_, delivery) = r.send_query(2 * SECOND + MS, 0, WRITE, |q| q.key = Some(3));
    assert_eq!(delivery, Delivery::NoResponse);
    assert_eq!(
        r.fleet.probe(2 * SECOND + MS, GatewayId(0), HostId(0)),
        ProbeResult::NoResponse
    );
    assert_eq!(r.fleet.primary(SetId(0)), None);
    r.advance_to(7 * SECOND - MS);
    assert_eq!(
        r.fleet.primary(SetId(0)),
        None,
        "declared lost after 2 s, replaced 3 s later"
    );
    let miss = r.write(7 * SECOND - MS, 1, 4);
    r.advance_to(7 * SECOND);
    let new = r.fleet.primary(SetId(0)).expect("a new primary");
    assert_ne!(new, HostId(0));
    let after = r.write(7 * SECOND, new.0, 5);
    r.advance_to(10 * SECOND);
    assert_eq!(
        [before, miss, after].map(|t| r.answer(t).map(|a| a.1)),
        [Some(Answer::Row), Some(Answer::Miss), Some(Answer::Row)]
    );
    assert_eq!(
        r.answer(lost),
        None,
        "a query at a host that vanishes is lost without an answer"
    );
    // The host returns after 15 s as a cold replica that lags, and its earlier connections are reset.
    r.advance_to(17 * SECOND);
    assert_eq!(r.resets, [(17 * SECOND, HostId(0))]);
    assert!(r.fleet.host(HostId(0)).cold(18 * SECOND));
    assert_eq!(r.fleet.primary(SetId(0)), Some(new));
}

#[test]
fn positions_without_a_primary_do_not_advance() {
    let mut r = Harness::new(&spec(vec![silent(0, 2.0, 15.0, false)]));
    r.advance_to(4 * SECOND);
    assert_eq!(r.fleet.position(4 * SECOND, HostId(1)), 2 * SECOND);
    let (late, _) = r.send_query(4 * SECOND, 1, PAGE, |_| ());
    r.advance_to(5 * SECOND);
    assert_eq!(
        r.answer(late),
        Some((4 * SECOND + 50 * MS, Answer::Miss)),
        "the read waits for 50 ms and is then rejected"
    );
    let (any, _) = r.send_query(5 * SECOND, 1, REPORT, |_| ());
    r.advance_to(6 * SECOND);
    assert_eq!(r.answer(any).map(|a| a.1), Some(Answer::Row));
}

/// A primary hangs while it runs a write, is replaced and resumes as a replica: the write ends in an error.
#[test]
fn hung_primary_returns_as_replica_and_its_write_has_no_effect() {
    let mut r = Harness::new(&spec(vec![silent(0, 2.0, 8.0, true)]));
    let held = r.write(2 * SECOND - 10 * MS, 0, 1);
    let (stalled, delivery) = r.send_query(3 * SECOND, 0, WRITE, |q| q.key = Some(2));
    assert_eq!(delivery, Delivery::NoResponse);
    r.advance_to(8 * SECOND);
    let new = r.fleet.primary(SetId(0)).expect("a new primary");
    let elsewhere = r.write(8 * SECOND, new.0, 1);
    r.advance_to(12 * SECOND);
    assert_eq!(
        r.answer(held),
        Some((10 * SECOND + 30 * MS, Answer::Error)),
        "the write runs for its remaining 30 ms, and its host is no longer primary"
    );
    assert_eq!(r.answer(stalled).map(|a| a.1), Some(Answer::Miss));
    assert_eq!(r.answer(elsewhere).map(|a| a.1), Some(Answer::Row));
    assert_eq!(
        (
            r.fleet.invariants().writes(),
            r.count(ViolationKind::AppliedTwice)
        ),
        (1, 0)
    );
    assert!(r.resets.is_empty(), "its connections were never reset");
}

#[test]
fn primary_that_hangs_briefly_keeps_its_role() {
    let mut r = Harness::new(&spec(vec![silent(0, 2.0, 1.0, true)]));
    let held = r.write(2 * SECOND - 10 * MS, 0, 1);
    r.advance_to(9 * SECOND);
    assert_eq!(r.fleet.primary(SetId(0)), Some(HostId(0)));
    assert_eq!(r.answer(held), Some((3 * SECOND + 30 * MS, Answer::Row)));
}

/// A primary that restarts as a replica while the election of its successor is pending may itself be elected.
#[test]
fn primary_back_before_the_election_is_a_candidate() {
    let mut r = Harness::new(&spec(vec![silent(0, 2.0, 3.0, false)]));
    r.advance_to(6 * SECOND);
    assert_eq!(
        (r.fleet.primary(SetId(0)), r.fleet.host(HostId(0)).state),
        (None, State::Up)
    );
    let (miss, _) = r.send_query(6 * SECOND, 0, WRITE, |q| q.key = Some(3));
    r.advance_to(8 * SECOND);
    assert_eq!(r.answer(miss).map(|a| a.1), Some(Answer::Miss));
    assert!(r.fleet.primary(SetId(0)).is_some());
}

#[test]
fn draining_primary_hands_over_and_late_sends_are_audited() {
    let hosts = HostSelection {
        these: Some(vec![0]),
        ..HostSelection::default()
    };
    let drain = Some(HostFault { hosts });
    let fault = Fault {
        at_s: ValueOrRange::Value(2.0),
        for_s: ValueOrRange::Value(9.0),
        drain,
        ..Fault::default()
    };
    let mut r = Harness::new(&spec(vec![fault]));
    r.advance_to(2 * SECOND);
    assert_eq!(r.fleet.primary(SetId(0)), None);
    r.advance_to(3 * SECOND);
    assert!(
        r.fleet.primary(SetId(0)).is_some_and(|p| p != HostId(0)),
        "within 0.93 s"
    );
    r.advance_to(8 * SECOND);
    let &(notified_at, ..) = r
        .notifications
        .iter()
        .find(|t| t.1 == GatewayId(0))
        .expect("a notification");
    assert!(
        (2 * SECOND + 1100 * MS..=2 * SECOND + 5080 * MS).contains(&notified_at),
        "{notified_at}"
    );
    let (full, _) = r.send_query(notified_at + 500 * MS, 0, PAGE, |_| ());
    r.advance_to(notified_at + 501 * MS);
    assert_eq!(
        (
            r.answer(full).map(|a| a.1),
            r.count(ViolationKind::SentToDrained)
        ),
        (Some(Answer::Full), 0)
    );
    r.send_query(notified_at + 501 * MS, 0, PAGE, |_| ());
    assert_eq!(
        r.count(ViolationKind::SentToDrained),
        1,
        "negative control: one millisecond after the grace period"
    );
    r.advance_to(13 * SECOND);
    assert_eq!(
        (r.fleet.host(HostId(0)).state, r.fleet.host(HostId(0)).epoch),
        (State::Up, 1),
        "the host has restarted"
    );
}

#[test]
fn cold_host_fails_only_when_it_is_sent_too_much() {
    let mut spec = spec(vec![silent(1, 1.0, 1.0, false)]);
    spec.hosts.cold_start = ValueOrRange::Value(0.2);
    spec.hosts.cold_s = ValueOrRange::Value(10.0);
    // At its start the host has a capacity of one core. Twice that over the window of 3 s is 6 s of work.
    for (count, fails) in [(150, false), (151, true)] {
        let mut r = Harness::new(&spec);
        r.advance_to(2 * SECOND);
        for _ in 0..count {
            r.send_query(2 * SECOND, 1, REPORT, |_| ());
        }
        let overloaded = r.fleet.host(HostId(1)).state == State::Down;
        assert_eq!(
            (overloaded, r.count(ViolationKind::KnockedOver)),
            (fails, u64::from(fails)),
            "{count}"
        );
        r.advance_to(20 * SECOND);
        assert_eq!(
            r.fleet.host(HostId(1)).state == State::Down,
            fails,
            "an overloaded host is not restarted"
        );
    }
}

/// The load window is three seconds long: work that arrived 2.94 s ago counts, work that arrived 3 s ago does not.
#[test]
fn cold_host_fails_only_from_work_within_the_load_window() {
    let mut spec = spec(vec![silent(1, 1.0, 1.0, false)]);
    spec.hosts.cold_start = ValueOrRange::Value(0.2);
    spec.hosts.cold_s = ValueOrRange::Value(1_000.0);
    for (second, fails) in [(5 * SECOND - 60 * MS, true), (5 * SECOND, false)] {
        let mut r = Harness::new(&spec);
        r.advance_to(2 * SECOND);
        for at in [2 * SECOND, second] {
            (0..80).for_each(|_| {
                r.send_query(at, 1, REPORT, |_| ());
            });
        }
        assert_eq!(
            r.fleet.host(HostId(1)).state == State::Down,
            fails,
            "{second}"
        );
    }
}

#[test]
fn lagging_replica_without_checks_answers_and_the_audit_reports_it() {
    let slow = irisrouter_simulation::spec::Slowdown {
        hosts: None,
        times: ValueOrRange::Value(1000.0),
    };
    let fault = Fault {
        at_s: ValueOrRange::Value(0.0),
        for_s: ValueOrRange::Value(60.0),
        slow_apply: Some(slow),
        ..Fault::default()
    };
    for (checks, stale) in [(Checks::Wait, 0), (Checks::None, 1)] {
        let mut s = spec(vec![fault.clone()]);
        s.hosts.checks = checks;
        let mut r = Harness::new(&s);
        let write = r.write(SECOND, 0, 1);
        r.advance_to(2 * SECOND);
        let commit = r.answer(write).expect("an answer").0;
        let (read, _) = r.send_query(2 * SECOND, 1, OWN, |q| q.mark = commit);
        r.advance_to(3 * SECOND);
        let expected = if stale == 0 {
            Answer::Miss
        } else {
            Answer::Row
        };
        assert_eq!(
            (
                r.answer(read).map(|a| a.1),
                r.count(ViolationKind::StaleRead)
            ),
            (Some(expected), stale)
        );
        // The primary has all commits.
        r.send_query(3 * SECOND, 0, OWN, |q| q.mark = commit);
        r.advance_to(4 * SECOND);
        assert_eq!(r.count(ViolationKind::StaleRead), stale);
    }
}

#[test]
fn long_read_stops_its_replica_from_applying() {
    let mut r = Harness::new(&spec(Vec::new()));
    r.send_query(SECOND, 1, REPORT, |q| q.work = SECOND);
    r.write(SECOND + 100 * MS, 0, 1);
    r.advance_to(2 * SECOND - MS);
    assert!(r.fleet.position(2 * SECOND - MS, HostId(1)) <= SECOND);
    assert!(r.fleet.position(2 * SECOND - MS, HostId(2)) > SECOND + 900 * MS);
    r.advance_to(2 * SECOND + 200 * MS);
    assert!(r.fleet.position(2 * SECOND + 200 * MS, HostId(1)) > 2 * SECOND);
}

#[test]
fn list_changes_during_discovery_silence_arrive_after_it() {
    let silent_discovery = Fault {
        at_s: ValueOrRange::Value(0.0),
        for_s: ValueOrRange::Value(20.0),
        discovery_silent: Some(DiscoverySilence {}),
        ..Fault::default()
    };
    let mut r = Harness::new(&spec(vec![silent_discovery, silent(1, 1.0, 4.0, false)]));
    r.advance_to(20 * SECOND - 1);
    assert!(r.notifications.is_empty());
    r.advance_to(20 * SECOND);
    assert!(
        r.notifications
            .contains(&(20 * SECOND, GatewayId(1), HostId(1))),
        "{:?}",
        r.notifications
    );
}

#[test]
fn host_slots_queue_and_connections_are_bounded() {
    let mut s = spec(Vec::new());
    (s.hosts.slots, s.hosts.room, s.hosts.connections) = (3, 2, 4);
    let mut r = Harness::new(&s);
    let tickets: Vec<u64> = (0..6)
        .map(|_| r.send_query(SECOND, 1, REPORT, |_| ()).0)
        .collect();
    r.advance_to(SECOND);
    assert_eq!(r.answer(tickets[5]), Some((SECOND, Answer::Full)));
    r.advance_to(2 * SECOND);
    assert!(tickets[..5]
        .iter()
        .all(|&t| r.answer(t).is_some_and(|a| a.1 == Answer::Row)));
    let delivery: Vec<Delivery> = (0..5)
        .map(|t| r.fleet.connect(2 * SECOND, GatewayId(0), HostId(1), t))
        .collect();
    assert_eq!(
        delivery,
        [
            Delivery::Accepted,
            Delivery::Accepted,
            Delivery::Accepted,
            Delivery::Accepted,
            Delivery::Reset
        ]
    );
    r.fleet.close(2 * SECOND, HostId(1), 0);
    assert_eq!(
        r.fleet.connect(2 * SECOND, GatewayId(0), HostId(1), 9),
        Delivery::Accepted
    );
}
