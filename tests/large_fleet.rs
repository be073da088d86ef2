//! Deployments of hundreds of proxies, in which one proxy sends a member a request in many seconds.

mod router_harness;
use router_harness::*;
use irisrouter::routing::*;

fn many(checks: StalenessCheck, gateway_count: u32, seed: u64) -> World {
    let mut s = settings(checks);
    (s.gateway_count, s.seed) = (gateway_count, seed);
    World::new(s)
}

fn probes(out: &[Action]) -> usize {
    out.iter()
        .filter(|a| matches!(a, Action::HealthCheck { .. }))
        .count()
}

fn told(w: &mut World, m: u32, in_flight: f64) -> Vec<Action> {
    let report = LoadReport {
        position: Some(w.now),
        primary: Some(m == 0),
        in_flight: Some(in_flight),
        cores_in_use: None,
    };
    let member = MemberId(m);
    w.step(&[Event::HealthChecked {
        member,
        outcome: Outcome::Ok,
        elapsed: MS,
        report: Some(report),
    }])
}

#[test]
fn an_idle_proxy_does_nothing() {
    let mut w = many(StalenessCheck::None, 300, 1);
    let out = w.pass(10 * S);
    assert_eq!(out, vec![], "no timer, no probe without a request");
}

#[test]
fn probes_follow_requests_whatever_the_number_of_proxies() {
    for gateway_count in [1, 10, 300] {
        let mut sum = 0;
        for seed in 0..gateway_count {
            let mut w = many(StalenessCheck::None, gateway_count, u64::from(seed));
            for _ in 0..600 / gateway_count {
                let (id, out) = w.ask(BOUNDED, None);
                sum += probes(&out);
                let out = match sent(id, &out) {
                    Some(m) => w.end(id, 0, m, Outcome::Ok, Role::Replica),
                    None => w.pass(50 * MS),
                };
                sum += probes(&out);
            }
        }
        assert!(
            sum <= 3 * 600,
            "{gateway_count} gateways: {sum} probes for 600 requests"
        );
    }
}

/// Guards against probes that cost more than the requests that they are for are worth.
#[test]
fn dear_probes_are_fewer_than_the_requests_that_pay_for_them() {
    for (price, least, most) in [(0.04, 300, 2_000), (0.4, 30, 200)] {
        let mut s = settings(StalenessCheck::None);
        (s.gateway_count, s.seed, s.health_check_price) = (1, 4, price);
        let mut w = World::new(s);
        let mut sum = 0;
        for _ in 0..600 {
            // Each read needs a replica that has just said how recent it is.
            let (id, mut out) = w.ask(BOUNDED, None);
            for _ in 0..8 {
                sum += probes(&out);
                let asked = out.iter().find_map(|a| match a {
                    Action::HealthCheck { member } => Some(*member),
                    _ => None,
                });
                if let Some(m) = sent(id, &out) {
                    w.end(id, 0, m, Outcome::Ok, Role::Replica);
                }
                out = match asked {
                    Some(m) => told(&mut w, m.0, 0.0),
                    None => w.pass(50 * MS),
                };
            }
        }
        assert!((least..most).contains(&sum), "{sum} probes at {price}");
    }
}

#[test]
fn a_sparse_proxy_holds_a_read_back_from_members_that_tell_they_are_full() {
    let mut w = many(StalenessCheck::Reject, 300, 3);
    w.now += 5 * S;
    told(&mut w, 1, 500.0);
    told(&mut w, 2, 500.0);
    let (id, out) = w.ask(BOUNDED, None);
    assert_eq!(sent(id, &out), None);
    let out = told(&mut w, 2, 0.0);
    assert_eq!(sent(id, &out), Some(2), "and sends it once one has room");
}

#[test]
fn a_sparse_proxy_leaves_a_read_to_the_primary_only_when_that_has_told_of_room() {
    let mut w = many(StalenessCheck::None, 300, 4);
    w.now += 5 * S;
    let (id, mut out) = w.ask(BOUNDED, None);
    out.extend(w.pass(100 * MS));
    assert_eq!(
        sent(id, &out),
        None,
        "no replica is proven, the primary's load unknown"
    );
    assert!(out.contains(&Action::HealthCheck {
        member: MemberId(0)
    }));
    let out = told(&mut w, 0, 0.0);
    assert_eq!(sent(id, &out), Some(0));
}

#[test]
fn a_newcomer_is_not_sent_the_next_request_of_every_proxy() {
    let mut first = 0;
    for seed in 0..100 {
        let mut s = settings(StalenessCheck::Reject);
        (s.gateway_count, s.seed, s.zone) = (300, seed, ZoneId(9));
        let mut w = World::new(s);
        for _ in 0..5 {
            let (id, out) = w.ask(ANY, None);
            let out = if sent(id, &out).is_some() {
                out
            } else {
                told(&mut w, 1, 1.0)
            };
            if let Some(m) = sent(id, &out) {
                w.end(id, 0, m, Outcome::Ok, Role::Replica);
            }
        }
        w.step(&[Event::EndpointList {
            complete: false,
            endpoints: vec![entry(3, EndpointState::Ready)],
        }]);
        let (id, out) = w.ask(ANY, None);
        first += u32::from(sent(id, &out) == Some(3));
    }
    assert!(
        first < 67,
        "{first} of 100 proxies sent a member they never heard of their next request"
    );
}

#[test]
fn a_cold_member_alone_in_its_zone_is_not_the_choice_of_the_whole_zone() {
    let mut to_cold = 0;
    for seed in 0..200 {
        let mut s = settings(StalenessCheck::Reject);
        (s.gateway_count, s.seed) = (200, seed);
        let mut w = World::new(s);
        // Member 2 is the only replica of the proxy's zone, 0.
        let cold = Endpoint {
            started: Some(w.now),
            ..entry(2, EndpointState::Ready)
        };
        w.step(&[Event::EndpointList {
            complete: false,
            endpoints: vec![cold],
        }]);
        told(&mut w, 1, 1.0);
        told(&mut w, 2, 1.0);
        let (id, out) = w.ask(SESSION, None);
        to_cold += u32::from(sent(id, &out) == Some(2));
    }
    assert!(to_cold > 0 && to_cold < 80, "{to_cold} of 200");
}

#[test]
fn a_sparse_proxy_holds_a_write_while_the_primary_tells_it_is_full() {
    let mut w = many(StalenessCheck::Reject, 300, 5);
    w.now += 5 * S;
    let (id, out) = w.ask(WRITE, None);
    assert_eq!(sent(id, &out), None, "it asks first");
    let out = told(&mut w, 0, 500.0);
    assert_eq!(sent(id, &out), None);
    let out = w.pass(200 * MS);
    assert_eq!(sent(id, &out), None, "that it is full is news for a while");
    let out = told(&mut w, 0, 0.0);
    assert_eq!(sent(id, &out), Some(0));
}

#[test]
fn a_report_of_nothing_held_does_not_draw_the_reads_of_sparse_proxies() {
    let mut idle = 0;
    for seed in 0..200 {
        let mut s = settings(StalenessCheck::Reject);
        (s.gateway_count, s.seed, s.zone) = (300, seed, ZoneId(9));
        let mut w = World::new(s);
        w.now += 5 * S;
        told(&mut w, 1, 0.0);
        let (id, out) = w.ask(ANY, None);
        idle += u32::from(sent(id, &out) == Some(1));
    }
    assert!(
        (60..140).contains(&idle),
        "{idle} of 200 to one of two replicas"
    );
}

/// Guards against requests that wait, and probes that are spent, for word that no report can bring.
#[test]
fn where_reports_do_not_tell_what_a_member_holds_nobody_waits_for_that() {
    for in_flight_reported in [false, true] {
        let mut s = settings(StalenessCheck::Wait(50 * MS));
        (s.gateway_count, s.seed, s.in_flight_reported) = (300, 3, in_flight_reported);
        let mut w = World::new(s);
        w.now += 5 * S;
        let member = MemberId(1);
        let report = LoadReport {
            position: Some(w.now),
            primary: Some(false),
            in_flight: None,
            cores_in_use: None,
        };
        w.step(&[Event::HealthChecked {
            member,
            outcome: Outcome::Ok,
            elapsed: MS,
            report: Some(report),
        }]);
        let (id, out) = w.ask(BOUNDED, None);
        assert_eq!(sent(id, &out).is_none(), in_flight_reported);
    }
}
