//! Random legal sequences of events: the rules hold, and equal events and seed give equal actions.

mod router_harness;
use router_harness::*;
use irisrouter::routing::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Step {
    Pass(i64),
    Ask(usize, i64),
    End(usize, Outcome),
    LoadReport(u32, bool, i64),
    EndpointList(u32, EndpointState),
    Restart(u32),
}

fn step() -> impl Strategy<Value = Step> {
    use Outcome::*;
    let outcome = prop::sample::select(vec![
        Ok,
        Ok,
        Ok,
        Error,
        Full,
        TimedOut,
        ConnectFailed,
        Reset,
        Unsuitable,
    ]);
    let listed = prop::sample::select(vec![
        EndpointState::Ready,
        EndpointState::Draining,
        EndpointState::Removed,
    ]);
    prop_oneof![
        4 => (1i64..200).prop_map(Step::Pass),
        6 => (0usize..6, 0i64..600).prop_map(|(c, a)| Step::Ask(c, a)),
        6 => (0usize..64, outcome).prop_map(|(i, o)| Step::End(i, o)),
        3 => (0u32..5, any::<bool>(), 0i64..800).prop_map(|(m, p, a)| Step::LoadReport(m, p, a)),
        1 => (0u32..5, listed).prop_map(|(m, l)| Step::EndpointList(m, l)),
        1 => (0u32..5).prop_map(Step::Restart),
    ]
}

#[derive(Clone, Debug)]
struct Tried {
    member: u32,
    sent: Nanos,
    outcome: Option<Outcome>,
}

#[derive(Debug)]
struct Asked {
    class: usize,
    arrived: Nanos,
    deadline: Nanos,
    mark: Nanos,
    tries: Vec<Tried>,
    answers: u32,
}

/// What an observer who sees all events and actions knows.
#[derive(Default)]
struct Watch {
    asked: BTreeMap<u64, Asked>,
    out: Vec<(u64, u32)>,
    listed: BTreeMap<u32, EndpointState>,
    position: BTreeMap<u32, Nanos>,
    /// Has claimed to be primary, and has not said since in an answer that it is none.
    was_primary: BTreeMap<u32, bool>,
    started: BTreeMap<u32, Nanos>,
}

fn maybe_ran(t: &Tried) -> bool {
    use Outcome::*;
    t.outcome
        .is_none_or(|o| !matches!(o, Full | ConnectFailed | NotSent | Unsuitable))
}

impl Watch {
    fn see(&mut self, now: Nanos, s: &Settings, actions: &[Action]) -> Result<(), TestCaseError> {
        for a in actions {
            match a {
                Action::StartAttempt {
                    id,
                    member,
                    timeout: limit,
                } => {
                    let m = member.0;
                    let r = self.asked.get_mut(&id.0).expect("a known request");
                    prop_assert_eq!(r.answers, 0, "rule 1: sent after the final answer");
                    prop_assert!(*limit > 0 && now + limit <= r.deadline);
                    prop_assert!(
                        self.listed[&m] == EndpointState::Ready,
                        "rule 3: sent to {:?}",
                        self.listed[&m]
                    );
                    let ran = r.tries.iter().any(maybe_ran);
                    match s.classes[r.class].idempotency {
                        Idempotency::Idempotent => {}
                        Idempotency::NotIdempotent => {
                            prop_assert!(!ran, "rule 2: an unsafe request twice")
                        }
                        Idempotency::Keyed { window, .. } => {
                            let old = r
                                .tries
                                .iter()
                                .any(|t| maybe_ran(t) && now - t.sent >= window);
                            prop_assert!(!old, "rule 2: a keyed request after its window");
                        }
                    }
                    let need = match s.classes[r.class].freshness {
                        Freshness::BoundedStaleness(b) => now - b,
                        Freshness::Session => r.mark,
                        Freshness::Strong => r.arrived,
                        Freshness::Any | Freshness::Write => Nanos::MIN,
                    };
                    let excused = self.was_primary.get(&m).copied().unwrap_or(false);
                    let known = self.position.get(&m).copied().unwrap_or(0) >= need;
                    prop_assert!(excused || known, "rule 5: no proof for member {m}");
                    r.tries.push(Tried {
                        member: m,
                        sent: now,
                        outcome: None,
                    });
                    self.out.push((id.0, r.tries.len() as u32 - 1));
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    let r = self.asked.get_mut(&id.0).expect("a known request");
                    r.answers += 1;
                    prop_assert_eq!(r.answers, 1, "rule 1: one final answer");
                    prop_assert!(now <= r.deadline + 20 * MS);
                    if matches!(a, Action::Reject { .. })
                        && s.classes[r.class].idempotency != Idempotency::Idempotent
                    {
                        prop_assert!(
                            !r.tries.iter().any(maybe_ran),
                            "rule 2: refused though it may have run"
                        );
                    }
                }
                Action::CancelAttempt { id, attempt } => {
                    prop_assert!(self.asked[&id.0].tries.len() > *attempt as usize);
                }
                Action::HealthCheck { .. } | Action::SetTimer { .. } | Action::WatchEndpoints => {}
            }
        }
        Ok(())
    }
}

fn play(steps: &[Step]) -> Result<Vec<Vec<Action>>, TestCaseError> {
    let s = settings(StalenessCheck::None);
    let mut router = Router::new(s.clone());
    let mut w = Watch::default();
    let mut now = 1_000 * S;
    let mut all = Vec::new();
    let entries: Vec<Endpoint> = (0..5).map(|m| entry(m, EndpointState::Ready)).collect();
    for e in &entries {
        w.listed.insert(e.member.0, EndpointState::Ready);
    }
    let mut run = |w: &mut Watch, now: Nanos, e: Vec<Event>| -> Result<(), TestCaseError> {
        let out = router.batch(now, &e);
        w.see(now, &s, &out)?;
        all.push(out);
        Ok(())
    };
    run(
        &mut w,
        now,
        vec![Event::EndpointList {
            complete: true,
            endpoints: entries,
        }],
    )?;
    let mut next = 0;
    for step in steps
        .iter()
        .cloned()
        .chain((0..300).map(|_| Step::Pass(10)))
    {
        match step {
            Step::Pass(ms) => {
                for _ in 0..(ms + 9) / 10 {
                    now += 10 * MS;
                    let mut events = vec![Event::TimerFired];
                    // An attempt that is out at the client's deadline times out there.
                    for (id, attempt) in std::mem::take(&mut w.out) {
                        let r = w.asked.get_mut(&id).expect("asked");
                        if r.deadline > now {
                            w.out.push((id, attempt));
                        } else {
                            events.push(ended(id, attempt, r, Outcome::TimedOut));
                        }
                    }
                    run(&mut w, now, events)?;
                }
            }
            Step::Ask(class, age) => {
                let id = next;
                next += 1;
                let last_write_age = (class == SESSION && age > 0).then_some(age * MS);
                let mark = last_write_age.map_or(Nanos::MIN, |a| now - a);
                let deadline = now + 2 * S;
                let asked = Asked {
                    class,
                    arrived: now,
                    deadline,
                    mark,
                    tries: vec![],
                    answers: 0,
                };
                w.asked.insert(id, asked);
                let e = Event::Request {
                    id: RequestId(id),
                    class,
                    tenant: None,
                    session: None,
                    deadline,
                    work: None,
                    group: G,
                    last_write_age,
                    retry: false,
                };
                run(&mut w, now, vec![e])?;
            }
            Step::End(i, outcome) => {
                if w.out.is_empty() {
                    continue;
                }
                let (id, attempt) = w.out.remove(i % w.out.len());
                let r = w.asked.get_mut(&id).expect("asked");
                let e = ended(id, attempt, r, outcome);
                let member = r.tries[attempt as usize].member;
                if let Event::AttemptEnded {
                    status:
                        Some(ReplicationStatus {
                            role: Role::Replica,
                            ..
                        }),
                    ..
                } = e
                {
                    w.was_primary.insert(member, false);
                } else if matches!(
                    e,
                    Event::AttemptEnded {
                        status: Some(_),
                        ..
                    }
                ) {
                    w.was_primary.insert(member, true);
                }
                run(&mut w, now, vec![e])?;
            }
            Step::LoadReport(m, primary, age) => {
                let at = now - age * MS;
                let p = w.position.entry(m).or_insert(at);
                *p = (*p).max(at);
                let position = *p;
                if primary {
                    w.was_primary.insert(m, true);
                }
                let report = LoadReport {
                    position: Some(position),
                    primary: Some(primary),
                    in_flight: Some(1.0),
                    cores_in_use: None,
                };
                let member = MemberId(m);
                let (outcome, elapsed) = (Outcome::Ok, MS);
                run(
                    &mut w,
                    now,
                    vec![Event::HealthChecked {
                        member,
                        outcome,
                        elapsed,
                        report: Some(report),
                    }],
                )?;
            }
            Step::EndpointList(m, listed) => {
                w.listed.insert(m, listed);
                run(
                    &mut w,
                    now,
                    vec![Event::EndpointList {
                        complete: false,
                        endpoints: vec![entry(m, listed)],
                    }],
                )?;
            }
            Step::Restart(m) => {
                w.listed.insert(m, EndpointState::Ready);
                w.started.insert(m, now);
                let mut e = entry(m, EndpointState::Ready);
                e.started = Some(now);
                run(
                    &mut w,
                    now,
                    vec![Event::EndpointList {
                        complete: false,
                        endpoints: vec![e],
                    }],
                )?;
            }
        }
    }
    for (id, r) in &w.asked {
        prop_assert_eq!(r.answers, 1, "rule 1: request {} never got its answer", id);
    }
    Ok(all)
}

/// The event of an attempt's end; a first success answers the client by itself.
fn ended(id: u64, attempt: u32, r: &mut Asked, outcome: Outcome) -> Event {
    let (class, done) = (r.class, r.answers > 0 || outcome == Outcome::Ok);
    if outcome == Outcome::Ok && r.answers == 0 {
        r.answers = 1;
    }
    let t = &mut r.tries[attempt as usize];
    t.outcome = Some(outcome);
    let role = match outcome {
        Outcome::Unsuitable => Some(Role::Replica),
        Outcome::Ok if class == WRITE || class == KEYED => Some(Role::Primary),
        _ => None,
    };
    Event::AttemptEnded {
        id: RequestId(id),
        attempt,
        member: MemberId(t.member),
        outcome,
        elapsed: 50 * MS,
        finished: done,
        status: role.map(|role| ReplicationStatus {
            role,
            position: None,
        }),
        report: None,
    }
}

#[test]
fn rules_hold_and_equal_events_give_equal_actions() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = prop::collection::vec(step(), 1..120);
    let result = runner.run(&strategy, |steps| {
        let first = play(&steps)?;
        let second = play(&steps)?;
        prop_assert_eq!(first, second);
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("{e}"));
}
