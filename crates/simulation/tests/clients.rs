//! Arrivals of requests, retries of clients, the front layer, and the commits that a session's reads must observe.

use irisrouter_simulation::clients::{
    Arrival, Arrivals, Clients, Finished, NextStep, Try, TryOutcome,
};
use irisrouter_simulation::faults;
use irisrouter_simulation::spec::{Day, Fault, Spec, TrafficSurge, ValueOrRange};
use irisrouter_simulation::{SetId, MS, SECOND};

fn spec() -> Spec {
    let mut s = Spec {
        length_s: 200.0,
        ..Spec::default()
    };
    s.traffic.requests_per_s = Some(400.0);
    s
}

#[test]
fn arrivals_of_a_day_are_ordered_and_have_their_rate_and_shares() {
    let spec = spec();
    let all: Vec<Arrival> = Arrivals::new(&spec, 5).collect();
    assert!(all.windows(2).all(|w| w[0].at <= w[1].at));
    let rate = all.len() as f64 / 200.0;
    assert!((rate / 400.0 - 1.0).abs() < 0.03, "{rate}");
    for (i, c) in spec.classes.iter().enumerate() {
        let share = all.iter().filter(|a| a.class == i).count() as f64 / all.len() as f64;
        assert!(
            (share / (c.share / 0.993) - 1.0).abs() < 0.12,
            "{}: {share}",
            c.name
        );
    }
    assert_eq!(
        all,
        Arrivals::new(&spec, 5).collect::<Vec<_>>(),
        "one seed, one day"
    );
}

#[test]
fn traffic_surge_raises_its_sets_and_leaves_the_others() {
    let mut surging = spec();
    surging.faults = vec![Fault {
        flood: Some(TrafficSurge {
            sets: 1,
            part: ValueOrRange::Value(0.5),
        }),
        ..fault_between(50.0, 100.0)
    }];
    let set = faults::plan(&surging, 5)[0].sets[0];
    let count = |s: &Spec, set: SetId, within: bool| {
        let inside = |a: &Arrival| (50 * SECOND..150 * SECOND).contains(&a.at) == within;
        Arrivals::new(s, 5)
            .filter(|a| a.set == set && inside(a))
            .count() as f64
    };
    let baseline = spec();
    assert!((count(&surging, set, true) / count(&baseline, set, true) - 2.0).abs() < 0.25);
    let other = SetId(1 - set.0);
    assert!((count(&surging, other, true) / count(&baseline, other, true) - 1.0).abs() < 0.1);
}

fn fault_between(at: f64, duration: f64) -> Fault {
    Fault {
        at_s: ValueOrRange::Value(at),
        for_s: ValueOrRange::Value(duration),
        ..Fault::default()
    }
}

fn write(clients: &mut Clients, call: u64) -> Try {
    let arrival = Arrivals::new(&spec(), 5)
        .find(|a| a.key.is_some())
        .expect("a write");
    clients.first_try(SECOND, Arrival { call, ..arrival })
}

#[test]
fn write_that_may_have_run_is_retried_only_within_the_window() {
    let mut c = Clients::new(&spec(), 5, 0);
    let t = write(&mut c, 1);
    let NextStep::Again(at) = c.finish_try(SECOND + 100 * MS, 1, 0, SECOND, TryOutcome::Failed)
    else {
        panic!("no retry")
    };
    assert!(at < SECOND + 300 * MS);
    let again = c.next_try(at, 1).expect("a try");
    assert_eq!(
        (again.number, again.marked, again.arrival.key),
        (1, true, t.arrival.key)
    );
    assert_eq!(
        c.finish_try(at, 1, 0, SECOND, TryOutcome::Failed),
        NextStep::Nothing,
        "the first try has already ended"
    );
    let late = c.finish_try(
        SECOND + 900 * MS,
        1,
        1,
        at,
        TryOutcome::Refused {
            pause: Some(500 * MS),
        },
    );
    assert!(
        matches!(
            late,
            NextStep::Done(Finished {
                served: None,
                tries: 2,
                ..
            })
        ),
        "{late:?}"
    );
    // A request that is rejected each time has never run, so it is retried up to the maximum number of retries.
    write(&mut c, 2);
    for number in 0..2 {
        let next = c.finish_try(
            9 * SECOND,
            2,
            number,
            SECOND,
            TryOutcome::Refused { pause: None },
        );
        assert!(matches!(next, NextStep::Again(_)), "{next:?}");
        c.next_try(9 * SECOND, 2).expect("a try");
    }
    assert!(matches!(
        c.finish_try(9 * SECOND, 2, 2, SECOND, TryOutcome::Failed),
        NextStep::Done(_)
    ));
    assert_eq!(c.open(), 0);
}

#[test]
fn front_avoids_a_dead_gateway_after_the_detection_delay() {
    let mut c = Clients::new(&spec(), 5, 0);
    let t = write(&mut c, 1);
    c.set_gateway_state(SECOND, t.gateway, false);
    assert_eq!(
        write(&mut c, 2).gateway,
        t.gateway,
        "the front has not detected the failure yet"
    );
    c.set_gateway_state(
        SECOND - Day::draw(&spec(), 5).clients.front_notice,
        t.gateway,
        false,
    );
    assert_ne!(write(&mut c, 3).gateway, t.gateway);
    c.set_gateway_state(SECOND, t.gateway, true);
    assert_eq!(write(&mut c, 4).gateway, t.gateway);
}

/// A read that roams may reach another gateway than the write of its session. It carries no commit as long as the write
/// has not been answered, and carries the write's commit to every gateway afterwards.
#[test]
fn roaming_read_at_any_gateway_carries_the_last_commit_of_its_session() {
    let mut c = Clients::new(
        &Spec {
            gateways: 8,
            ..spec()
        },
        5,
        0,
    );
    let t = write(&mut c, 1);
    let read = |call| Arrival {
        class: 1,
        key: None,
        may_roam: true,
        random_number: call,
        call,
        ..t.arrival
    };
    let early: Vec<Try> = (2..40)
        .map(|call| c.first_try(SECOND, read(call)))
        .collect();
    assert!(early.iter().any(|r| r.gateway != t.gateway) && early.iter().all(|r| r.mark == 0));
    c.finish_try(
        2 * SECOND,
        1,
        0,
        SECOND,
        TryOutcome::Served {
            commit: Some(SECOND + MS),
        },
    );
    let later: Vec<Try> = (40..80)
        .map(|call| c.first_try(2 * SECOND, read(call)))
        .collect();
    assert!(
        later.iter().any(|r| r.gateway != t.gateway) && later.iter().all(|r| r.mark == SECOND + MS)
    );
    let bound_read = c.first_try(
        2 * SECOND,
        Arrival {
            may_roam: false,
            ..read(80)
        },
    );
    assert_ne!(bound_read.mark, 0);
}

#[test]
fn session_read_after_an_answered_write_requires_its_commit() {
    let mut c = Clients::new(&spec(), 5, 0);
    let t = write(&mut c, 1);
    let read = Arrival {
        class: 1,
        key: None,
        call: 2,
        ..t.arrival
    };
    assert_eq!(
        c.first_try(SECOND, read).mark,
        0,
        "the write has not been answered yet"
    );
    c.finish_try(
        2 * SECOND,
        1,
        0,
        SECOND,
        TryOutcome::Served {
            commit: Some(2 * SECOND - MS),
        },
    );
    assert_eq!(
        c.first_try(2 * SECOND, Arrival { call: 3, ..read }).mark,
        2 * SECOND - MS
    );
}
