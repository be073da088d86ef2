//! What a fleet of gateways sends one cold member, added up over all of them, against the budget that the settings give it.
//! Each router is a machine of its own: what the others send, none knows.

mod router_harness;
use router_harness::*;
use irisrouter::routing::*;
use std::collections::BTreeMap;

const MEMBERS: u32 = 6;
/// The cold one, where there is one.
const COLD: u32 = 5;
/// Requests that a warm member can do in a second, in so many places at once.
const PER_S: f64 = 100.0;
const PLACES: f64 = 6.0;

/// What else happens.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Day {
    /// The cold member answers as quickly as it can.
    Serves,
    /// It is behind, and turns reads away at once: each of these counts, too.
    Behind,
    /// It serves, while two of the others have fallen silent.
    OthersSilent,
    /// A release: three members are left, all of them cold and one of them the new primary, and the three that were drained
    /// are gone already. Replicas are behind. Clients come again and again.
    Release,
}

/// What ends then: its router, request, attempt, member and outcome.
type Due = (usize, RequestId, u32, u32, Outcome);

/// Requests beyond the budget and what chance adds to it, in the worst window of eight seconds of the worst cold member.
fn worst_excess(gateway_count: u32, load: f64, day: Day, seed: u64) -> f64 {
    let mut s = settings(StalenessCheck::Reject);
    s.gateway_count = gateway_count;
    (s.rules.overload_multiple, s.rules.overload_window) = (2.0, 3 * S);
    s.in_flight_reported = false;
    let rules = s.rules.clone();
    let mut rng = oorandom::Rand64::new(u128::from(seed));
    let (first_cold, primary) = if day == Day::Release {
        (3, 3)
    } else {
        (COLD, 0)
    };
    let mut routers: Vec<World> = (0..gateway_count)
        .map(|n| {
            let mut w = World::new(Settings {
                seed: seed * 1_000 + u64::from(n),
                ..s.clone()
            });
            let cold = |m| (m >= first_cold).then_some(w.now);
            let all = (0..MEMBERS)
                .map(|m| Endpoint {
                    started: cold(m),
                    ..entry(m, EndpointState::Ready)
                })
                .collect();
            w.step(&[Event::EndpointList {
                complete: true,
                endpoints: all,
            }]);
            (0..MEMBERS).for_each(|m| drop(w.report(m, m == primary, w.now)));
            for phase in [EndpointState::Draining, EndpointState::Removed] {
                if day == Day::Release {
                    let entries = (0..first_cold).map(|m| entry(m, phase)).collect();
                    w.step(&[Event::EndpointList {
                        complete: false,
                        endpoints: entries,
                    }]);
                }
            }
            w
        })
        .collect();
    let start = routers[0].now;
    let warmth = |at: Nanos| {
        let age = ((at - start) as f64 / rules.warm_up_time as f64).min(1.0);
        rules.initial_capacity + (1.0 - rules.initial_capacity) * age
    };
    let mut in_flight = [0.0f64; MEMBERS as usize];
    let mut due: BTreeMap<(Nanos, u64), Due> = BTreeMap::new();
    let (mut number, mut now, mut next) = (0u64, start, start);
    let mut sends: BTreeMap<u32, Vec<Nanos>> = BTreeMap::new();
    let again = if day == Day::Release { 2.6 } else { 1.0 };
    let every = S as f64 / (PER_S * f64::from(MEMBERS) * load * again);
    let mut tries: BTreeMap<(usize, RequestId), u32> = BTreeMap::new();
    while now < start + 8 * S {
        let soonest = due.keys().next().map_or(Nanos::MAX, |k| k.0);
        now = soonest.min(next);
        let (router, out) = if now == next {
            next += (every * 2.0 * rng.rand_float()) as Nanos + 1;
            let r = rng.rand_range(0..u64::from(gateway_count)) as usize;
            routers[r].now = now;
            // A tenth are writes.
            let class = if rng.rand_float() < 0.1 {
                KEYED
            } else {
                BOUNDED
            };
            (r, routers[r].ask(class, None).1)
        } else {
            let (_, (r, id, attempt, m, outcome)) = due.pop_first().unwrap();
            in_flight[m as usize] -= 1.0;
            routers[r].now = now;
            let role = if m == primary {
                Role::Primary
            } else {
                Role::Replica
            };
            (r, routers[r].end(id, attempt, m, outcome, role))
        };
        for action in out {
            let Action::StartAttempt {
                id,
                member: MemberId(m),
                ..
            } = action
            else {
                continue;
            };
            let attempt = tries.entry((router, id)).or_default();
            let cold = m >= first_cold;
            if cold {
                sends.entry(m).or_default().push(now);
            }
            in_flight[m as usize] += 1.0;
            let strength = if cold { warmth(now) } else { 1.0 };
            let took =
                S as f64 / PER_S * PLACES * (in_flight[m as usize] / PLACES).max(1.0) / strength;
            let behind = matches!(day, Day::Behind | Day::Release) && cold && m != primary;
            let (took, outcome) = match day == Day::OthersSilent && (1..=2).contains(&m) {
                _ if behind => (MS, Outcome::Unsuitable),
                true => (250 * MS, Outcome::ConnectFailed),
                false => (took as Nanos, Outcome::Ok),
            };
            due.insert((now + took, number), (router, id, *attempt, m, outcome));
            (number, *attempt) = (number + 1, *attempt + 1);
        }
    }
    let budget = |at: Nanos| {
        let n =
            rules.overload_multiple * warmth(at) * PER_S * rules.overload_window as f64 / S as f64;
        n + 2.0 * n.sqrt() + 2.0
    };
    let excess = |sends: &Vec<Nanos>| {
        let within = |at: Nanos| {
            sends
                .iter()
                .filter(|&&t| t <= at && t > at - rules.overload_window)
                .count()
        };
        sends
            .iter()
            .map(|&at| within(at) as f64 - budget(at))
            .fold(f64::NEG_INFINITY, f64::max)
    };
    sends.values().map(excess).fold(f64::NEG_INFINITY, f64::max)
}

/// Guards against shares that are each harmless and together knock a cold member over: however many gateways there are,
/// however quickly it answers, and whatever the others can do.
#[test]
fn all_gateways_together_keep_a_cold_members_budget() {
    for gateway_count in [3, 20, 31, 60] {
        for day in [Day::Serves, Day::Behind, Day::OthersSilent, Day::Release] {
            for load in [0.5, 0.9, 1.2] {
                let seeds = (1..=3).map(|seed| worst_excess(gateway_count, load, day, seed));
                let worst = seeds.fold(f64::NEG_INFINITY, f64::max);
                if std::env::var("LOOK").is_ok() {
                    eprintln!("{gateway_count} {day:?} {load}: {worst:.0}");
                    continue;
                }
                assert!(
                    worst <= 0.0,
                    "{gateway_count} gateways, {day:?}, load {load}: {worst:.0} beyond chance"
                );
            }
        }
    }
}
