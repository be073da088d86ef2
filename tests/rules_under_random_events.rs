//! Random valid sequences of events: the rules hold, and equal events and seeds give equal actions.

mod router_harness;

use irisrouter::routing::{
    Action, Endpoint, EndpointState, Event, Freshness, Idempotency, LoadReport, MemberId, Outcome,
    ReplicationStatus, RequestId, Role, Router, Settings, StalenessCheck, TimeDelta, Timestamp,
};
use proptest::prelude::{any, prop, prop_assert, prop_assert_eq, prop_oneof, Strategy};
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use router_harness::{
    endpoint, settings, GROUP, KEYED_WRITE, MILLISECOND, SECOND, SESSION_READ, WRITE,
};
use std::collections::BTreeMap;

const MEMBERS: u32 = 5;
/// Time between two batches.
const STEP_TIME: TimeDelta = TimeDelta::from_millis(10);
/// Number of steps after the random ones in which every request must get its answer.
const FINAL_STEPS: usize = 300;

/// One step of a sequence. Times are in milliseconds.
#[derive(Clone, Debug)]
enum Step {
    TimePasses(i64),
    Request {
        class: usize,
        write_age: i64,
    },
    AttemptEnds {
        index: usize,
        outcome: Outcome,
    },
    Report {
        member: u32,
        primary: bool,
        age: i64,
    },
    Listed {
        member: u32,
        state: EndpointState,
    },
    Restarted {
        member: u32,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop::sample::select(vec![
        Outcome::Ok,
        Outcome::Ok,
        Outcome::Ok,
        Outcome::Error,
        Outcome::Full,
        Outcome::TimedOut,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Unsuitable,
    ]);
    let state = prop::sample::select(vec![
        EndpointState::Ready,
        EndpointState::Draining,
        EndpointState::Removed,
    ]);
    prop_oneof![
        4 => (1i64..200).prop_map(Step::TimePasses),
        6 => (0usize..6, 0i64..600)
            .prop_map(|(class, write_age)| Step::Request { class, write_age }),
        6 => (0usize..64, outcome)
            .prop_map(|(index, outcome)| Step::AttemptEnds { index, outcome }),
        3 => (0..MEMBERS, any::<bool>(), 0i64..800)
            .prop_map(|(member, primary, age)| Step::Report { member, primary, age }),
        1 => (0..MEMBERS, state).prop_map(|(member, state)| Step::Listed { member, state }),
        1 => (0..MEMBERS).prop_map(|member| Step::Restarted { member }),
    ]
}

#[derive(Clone, Debug)]
struct Attempt {
    member: u32,
    sent_at: Timestamp,
    outcome: Option<Outcome>,
}

impl Attempt {
    /// Returns whether the member may have run the request: the attempt is in flight, or its
    /// outcome does not prove otherwise.
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| {
            !matches!(
                outcome,
                Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Unsuitable
            )
        })
    }
}

#[derive(Debug)]
struct Request {
    class: usize,
    arrived_at: Timestamp,
    deadline: Timestamp,
    /// Position of the session's last write.
    session_position: Timestamp,
    attempts: Vec<Attempt>,
    final_answers: u32,
}

/// Identifies an attempt by the numbers of its request and of the attempt.
#[derive(Clone, Copy, Debug)]
struct AttemptId {
    request: u64,
    attempt: u32,
}

/// Observer of all events and actions, which checks the rules.
struct Observer {
    settings: Settings,
    requests: BTreeMap<u64, Request>,
    in_flight: Vec<AttemptId>,
    states: BTreeMap<u32, EndpointState>,
    positions: BTreeMap<u32, Timestamp>,
    /// Whether a member has reported to be primary, and has not denied it in an answer since.
    reported_primary: BTreeMap<u32, bool>,
}

impl Observer {
    fn new(settings: Settings) -> Self {
        Observer {
            settings,
            requests: BTreeMap::new(),
            in_flight: Vec::new(),
            states: BTreeMap::new(),
            positions: BTreeMap::new(),
            reported_primary: BTreeMap::new(),
        }
    }

    fn request(&mut self, id: u64) -> &mut Request {
        self.requests.get_mut(&id).expect("a known request")
    }

    /// Checks that the rules permit these actions.
    fn observe(&mut self, now: Timestamp, actions: &[Action]) -> Result<(), TestCaseError> {
        for action in actions {
            match *action {
                Action::StartAttempt {
                    id,
                    member,
                    timeout,
                } => self.attempt_started(now, id.0, member.0, timeout)?,
                Action::Reject { id, .. } => {
                    self.answered(now, id.0)?;
                    self.check_rejection(id.0)?;
                }
                Action::Fail { id } => self.answered(now, id.0)?,
                Action::CancelAttempt { id, attempt } => {
                    prop_assert!(self.request(id.0).attempts.len() > attempt as usize);
                }
                Action::HealthCheck { .. } | Action::SetTimer { .. } | Action::WatchEndpoints => {}
            }
        }
        Ok(())
    }

    fn attempt_started(
        &mut self,
        now: Timestamp,
        id: u64,
        member: u32,
        timeout: TimeDelta,
    ) -> Result<(), TestCaseError> {
        let request = &self.requests[&id];
        prop_assert_eq!(
            request.final_answers,
            0,
            "rule 1: sent after the final answer"
        );
        prop_assert!(timeout > TimeDelta::ZERO && now + timeout <= request.deadline);
        let state = self.states[&member];
        prop_assert!(state == EndpointState::Ready, "rule 3: sent to {state:?}");
        self.check_repeat(now, request)?;
        self.check_freshness(now, request, member)?;
        let request = self.request(id);
        request.attempts.push(Attempt {
            member,
            sent_at: now,
            outcome: None,
        });
        let attempt = request.attempts.len() as u32 - 1;
        self.in_flight.push(AttemptId {
            request: id,
            attempt,
        });
        Ok(())
    }

    /// Checks rule 2 for an attempt that is sent now.
    fn check_repeat(&self, now: Timestamp, request: &Request) -> Result<(), TestCaseError> {
        match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NotIdempotent => {
                let repeated = request.attempts.iter().any(Attempt::may_have_run);
                prop_assert!(!repeated, "rule 2: a non-idempotent request twice");
            }
            Idempotency::Keyed { window, .. } => {
                let is_outside =
                    |attempt: &Attempt| attempt.may_have_run() && now - attempt.sent_at >= window;
                let outside = request.attempts.iter().any(is_outside);
                prop_assert!(!outside, "rule 2: a keyed request after its window");
            }
        }
        Ok(())
    }

    /// Checks rule 5 for an attempt that is sent now.
    fn check_freshness(
        &self,
        now: Timestamp,
        request: &Request,
        member: u32,
    ) -> Result<(), TestCaseError> {
        let required = match self.settings.classes[request.class].freshness {
            Freshness::BoundedStaleness(bound) => now - bound,
            Freshness::Session => request.session_position,
            Freshness::Strong => request.arrived_at,
            Freshness::Any | Freshness::Write => Timestamp::MIN,
        };
        let reported_primary = self.reported_primary.get(&member).copied().unwrap_or(false);
        let position = self
            .positions
            .get(&member)
            .copied()
            .unwrap_or(Timestamp::ZERO);
        prop_assert!(
            reported_primary || position >= required,
            "rule 5: no proof for member {member}"
        );
        Ok(())
    }

    fn answered(&mut self, now: Timestamp, id: u64) -> Result<(), TestCaseError> {
        let request = self.request(id);
        request.final_answers += 1;
        prop_assert_eq!(request.final_answers, 1, "rule 1: one final answer");
        prop_assert!(now <= request.deadline + 20 * MILLISECOND);
        Ok(())
    }

    fn check_rejection(&mut self, id: u64) -> Result<(), TestCaseError> {
        let request = &self.requests[&id];
        if self.settings.classes[request.class].idempotency != Idempotency::Idempotent {
            prop_assert!(
                !request.attempts.iter().any(Attempt::may_have_run),
                "rule 2: rejected though it may have run"
            );
        }
        Ok(())
    }

    /// Ends an attempt and returns the event. The first success is also the request's final answer.
    fn end_attempt(&mut self, id: AttemptId, outcome: Outcome) -> Event {
        let request = self.request(id.request);
        let finished = request.final_answers > 0 || outcome == Outcome::Ok;
        if outcome == Outcome::Ok && request.final_answers == 0 {
            request.final_answers = 1;
        }
        let class = request.class;
        let attempt = &mut request.attempts[id.attempt as usize];
        attempt.outcome = Some(outcome);
        let member = attempt.member;
        let role = match outcome {
            Outcome::Unsuitable => Some(Role::Replica),
            Outcome::Ok if class == WRITE || class == KEYED_WRITE => Some(Role::Primary),
            _ => None,
        };
        Event::AttemptEnded {
            id: RequestId(id.request),
            attempt: id.attempt,
            member: MemberId(member),
            outcome,
            elapsed: 50 * MILLISECOND,
            finished,
            status: role.map(|role| ReplicationStatus {
                role,
                position: None,
            }),
            report: None,
        }
    }
}

/// A router, its observer and the clock.
struct Run {
    router: Router,
    observer: Observer,
    now: Timestamp,
    /// The actions of each batch.
    actions: Vec<Vec<Action>>,
}

impl Run {
    fn new() -> Self {
        let settings = settings(StalenessCheck::None);
        Run {
            router: Router::new(settings.clone()),
            observer: Observer::new(settings),
            now: Timestamp::ZERO + 1_000 * SECOND,
            actions: Vec::new(),
        }
    }

    fn deliver(&mut self, events: &[Event]) -> Result<(), TestCaseError> {
        let actions = self.router.batch(self.now, events);
        self.observer.observe(self.now, &actions)?;
        self.actions.push(actions);
        Ok(())
    }

    fn take_step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::TimePasses(milliseconds) => self.pass_time(milliseconds),
            Step::Request { class, write_age } => self.request(class, write_age),
            Step::AttemptEnds { index, outcome } => self.end_attempt(index, outcome),
            Step::Report {
                member,
                primary,
                age,
            } => self.report(member, primary, age),
            Step::Listed { member, state } => self.list(endpoint(member, state)),
            Step::Restarted { member } => self.list(Endpoint {
                started: Some(self.now),
                ..endpoint(member, EndpointState::Ready)
            }),
        }
    }

    fn pass_time(&mut self, milliseconds: i64) -> Result<(), TestCaseError> {
        for _ in 0..(milliseconds + 9) / 10 {
            self.now += STEP_TIME;
            let mut events = vec![Event::TimerFired];
            // An attempt that is in flight at the client's deadline times out then.
            for id in std::mem::take(&mut self.observer.in_flight) {
                if self.observer.request(id.request).deadline > self.now {
                    self.observer.in_flight.push(id);
                } else {
                    events.push(self.observer.end_attempt(id, Outcome::TimedOut));
                }
            }
            self.deliver(&events)?;
        }
        Ok(())
    }

    fn request(&mut self, class: usize, write_age: i64) -> Result<(), TestCaseError> {
        let id = self.observer.requests.len() as u64;
        let carries_write = class == SESSION_READ && write_age > 0;
        let last_write_age = carries_write.then_some(write_age * MILLISECOND);
        let deadline = self.now + 2 * SECOND;
        let request = Request {
            class,
            arrived_at: self.now,
            deadline,
            session_position: last_write_age.map_or(Timestamp::MIN, |age| self.now - age),
            attempts: vec![],
            final_answers: 0,
        };
        self.observer.requests.insert(id, request);
        self.deliver(&[Event::Request {
            id: RequestId(id),
            class,
            tenant: None,
            session: None,
            deadline,
            work: None,
            group: GROUP,
            last_write_age,
            retry: false,
        }])
    }

    fn end_attempt(&mut self, index: usize, outcome: Outcome) -> Result<(), TestCaseError> {
        let in_flight = &mut self.observer.in_flight;
        if in_flight.is_empty() {
            return Ok(());
        }
        let id = in_flight.remove(index % in_flight.len());
        let event = self.observer.end_attempt(id, outcome);
        if let Event::AttemptEnded {
            member,
            status: Some(status),
            ..
        } = event
        {
            let is_primary = status.role == Role::Primary;
            self.observer.reported_primary.insert(member.0, is_primary);
        }
        self.deliver(&[event])
    }

    fn report(&mut self, member: u32, primary: bool, age: i64) -> Result<(), TestCaseError> {
        let reported = self.now - age * MILLISECOND;
        let position = self.observer.positions.entry(member).or_insert(reported);
        *position = (*position).max(reported);
        let report = LoadReport {
            position: Some(*position),
            primary: Some(primary),
            in_flight: Some(1.0),
            cores_in_use: None,
        };
        if primary {
            self.observer.reported_primary.insert(member, true);
        }
        self.deliver(&[Event::HealthChecked {
            member: MemberId(member),
            outcome: Outcome::Ok,
            elapsed: MILLISECOND,
            report: Some(report),
        }])
    }

    fn list(&mut self, changed: Endpoint) -> Result<(), TestCaseError> {
        (self.observer.states).insert(changed.member.0, changed.state);
        self.deliver(&[Event::EndpointList {
            complete: false,
            endpoints: vec![changed],
        }])
    }

    fn list_all_ready(&mut self) -> Result<(), TestCaseError> {
        let mut endpoints = Vec::new();
        for member in 0..MEMBERS {
            endpoints.push(endpoint(member, EndpointState::Ready));
            self.observer.states.insert(member, EndpointState::Ready);
        }
        self.deliver(&[Event::EndpointList {
            complete: true,
            endpoints,
        }])
    }
}

/// Runs a sequence and returns the actions of each batch. Fails if a rule is broken or a request
/// gets no answer.
fn actions_of(steps: &[Step]) -> Result<Vec<Vec<Action>>, TestCaseError> {
    let mut run = Run::new();
    run.list_all_ready()?;
    for step in steps {
        run.take_step(step)?;
    }
    for _ in 0..FINAL_STEPS {
        run.take_step(&Step::TimePasses(10))?;
    }
    for (id, request) in &run.observer.requests {
        prop_assert_eq!(
            request.final_answers,
            1,
            "rule 1: request {} never got its answer",
            id
        );
    }
    Ok(run.actions)
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
    let sequences = prop::collection::vec(step(), 1..120);
    let result = runner.run(&sequences, |steps| {
        let first = actions_of(&steps)?;
        let second = actions_of(&steps)?;
        prop_assert_eq!(first, second);
        Ok(())
    });
    result.unwrap_or_else(|failure| panic!("{failure}"));
}
