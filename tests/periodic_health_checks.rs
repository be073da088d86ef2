//! Compares the periodic health checks with a model that examines every member.

use irisrouter::platform_settings::PlatformSettings;
use irisrouter::routing::{
    Action, Endpoint, EndpointState, Event, GroupId, LoadReport, MemberId, Outcome, RequestId,
    Router, SharedHealthCheck, TimeDelta, Timestamp, ZoneId,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

const GROUPS: u32 = 3;
const MEMBERS: u32 = 12;
/// Connect timeout of the settings. It is also the interval between checks of a suspected member.
const CONNECT_TIMEOUT: TimeDelta = TimeDelta::from_secs(2);
/// Interval between checks of a member that is not suspected.
const USUAL_INTERVAL: TimeDelta = TimeDelta::from_secs(16);
/// Time for which a shared result is recent.
const SHARED_LIFETIME: TimeDelta = TimeDelta::from_secs(8);
/// Silence after which a member with a request in flight is suspected: four of the class's usual
/// latencies.
const SILENCE_TOLERANCE: TimeDelta = TimeDelta::from_secs(8);
/// Time after which a removed member is dropped: twice the warm-up time of the settings.
const FORGET_AFTER: TimeDelta = TimeDelta::from_millis(2);
const BUDGET_CAPACITY: f64 = 12.0;
const BUDGET_PER_REQUEST: f64 = 0.1;

/// An input to the router.
#[derive(Clone, Debug)]
enum Step {
    TimePasses { milliseconds: i64 },
    Listed { member: u32, state: EndpointState },
    Requested { group: u32 },
    AttemptCancelled,
    CheckEnded { member: u32, outcome: Outcome },
    SharedResult { member: u32, age_ms: i64 },
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![
        3 => Just(EndpointState::Ready),
        1 => Just(EndpointState::Draining),
        1 => Just(EndpointState::Removed),
    ];
    let outcome = prop_oneof![
        Just(Outcome::Ok),
        Just(Outcome::TimedOut),
        Just(Outcome::ConnectFailed)
    ];
    let member = 0..MEMBERS;
    prop_oneof![
        3 => (0..9_000_i64).prop_map(|milliseconds| Step::TimePasses { milliseconds }),
        2 => (member.clone(), state).prop_map(|(member, state)| Step::Listed { member, state }),
        8 => (0..GROUPS).prop_map(|group| Step::Requested { group }),
        2 => Just(Step::AttemptCancelled),
        4 => (member.clone(), outcome).prop_map(|(member, outcome)| Step::CheckEnded { member, outcome }),
        1 => (member, 0..9_000_i64).prop_map(|(member, age_ms)| Step::SharedResult { member, age_ms }),
    ]
}

/// State of a member in the model.
#[derive(Clone, Debug, Default)]
struct ModelMember {
    draining: bool,
    removed_at: Option<Timestamp>,
    checked_at: Timestamp,
    check_outstanding: bool,
    failures: u32,
    suspected_until: Timestamp,
    in_flight: u32,
    silent_since: Option<Timestamp>,
}

impl ModelMember {
    fn accepts_requests(&self) -> bool {
        self.removed_at.is_none() && !self.draining
    }

    fn is_suspected(&self, now: Timestamp) -> bool {
        let silent = |since: Timestamp| now - since > SILENCE_TOLERANCE;
        self.suspected_until > now || self.silent_since.is_some_and(silent)
    }

    fn is_due(&self, now: Timestamp) -> bool {
        let interval = if self.is_suspected(now) {
            CONNECT_TIMEOUT
        } else {
            USUAL_INTERVAL
        };
        self.accepts_requests() && !self.check_outstanding && now - self.checked_at >= interval
    }

    fn check_ended(&mut self, outcome: Outcome, now: Timestamp) {
        self.check_outstanding = false;
        if outcome == Outcome::Ok {
            (self.failures, self.suspected_until) = (0, Timestamp::ZERO);
        } else {
            self.failures += 1;
            self.suspected_until = now + CONNECT_TIMEOUT * (1 << self.failures.min(3));
        }
    }
}

/// An attempt that the router has started.
struct StartedAttempt {
    id: RequestId,
    number: u32,
    member: MemberId,
}

struct Model {
    now: Timestamp,
    members: BTreeMap<MemberId, ModelMember>,
    shared_at: BTreeMap<u32, Timestamp>,
    budget: f64,
    requests: u64,
    attempts: Vec<StartedAttempt>,
    attempt_counts: BTreeMap<RequestId, u32>,
}

fn endpoint(member: u32, state: EndpointState) -> Endpoint {
    Endpoint {
        member: MemberId(member),
        group: GroupId(i64::from(member % GROUPS)),
        zone: ZoneId(0),
        state,
        primary: false,
        size: 1.0,
        started: None,
    }
}

impl Model {
    /// Applies a step to the model and returns its event, or `None` if the router gets none.
    fn apply(&mut self, step: &Step) -> Option<Event> {
        match *step {
            Step::TimePasses { milliseconds } => {
                self.now += TimeDelta::from_millis(milliseconds);
                None
            }
            Step::Listed { member, state } => Some(self.list(member, state)),
            Step::Requested { group } => Some(self.request(group)),
            Step::AttemptCancelled => self.cancel_attempt(),
            Step::CheckEnded { member, outcome } => {
                let id = MemberId(member);
                if let Some(known) = self.members.get_mut(&id) {
                    known.check_ended(outcome, self.now);
                }
                Some(Event::HealthChecked {
                    member: id,
                    outcome,
                    elapsed: TimeDelta::ZERO,
                    report: None,
                })
            }
            Step::SharedResult { member, age_ms } => Some(self.shared_result(member, age_ms)),
        }
    }

    fn list(&mut self, member: u32, state: EndpointState) -> Event {
        let now = self.now;
        let known = self.members.entry(MemberId(member)).or_default();
        let removed = state == EndpointState::Removed;
        known.draining = state == EndpointState::Draining || known.draining && removed;
        known.removed_at = removed.then(|| known.removed_at.unwrap_or(now));
        self.members.retain(|_, member| {
            let idle = member.in_flight == 0 && !member.check_outstanding;
            let settled = |at| member.draining || at < now - FORGET_AFTER;
            !(idle && member.removed_at.is_some_and(settled))
        });
        Event::EndpointList {
            complete: false,
            endpoints: vec![endpoint(member, state)],
        }
    }

    fn request(&mut self, group: u32) -> Event {
        self.requests += 1;
        self.budget = (self.budget + BUDGET_PER_REQUEST).min(BUDGET_CAPACITY);
        Event::Request {
            id: RequestId(self.requests),
            class: 0,
            tenant: None,
            session: None,
            deadline: self.now + TimeDelta::from_secs(20),
            work: None,
            group: GroupId(i64::from(group)),
            last_write_age: None,
            retry: false,
        }
    }

    fn cancel_attempt(&mut self) -> Option<Event> {
        let StartedAttempt { id, number, member } = self.attempts.pop()?;
        let known = self
            .members
            .get_mut(&member)
            .expect("members in use stay known");
        known.in_flight -= 1;
        if known.in_flight == 0 {
            known.silent_since = None;
        }
        Some(Event::AttemptEnded {
            id,
            attempt: number,
            member,
            outcome: Outcome::Cancelled,
            elapsed: TimeDelta::ZERO,
            finished: true,
            status: None,
            report: None,
        })
    }

    fn shared_result(&mut self, member: u32, age_ms: i64) -> Event {
        let at = self.now - TimeDelta::from_millis(age_ms);
        if self.members.contains_key(&MemberId(member)) {
            let shared_at = self.shared_at.entry(member % GROUPS).or_insert(at);
            *shared_at = at.max(*shared_at);
        }
        let report = LoadReport {
            position: None,
            primary: None,
            in_flight: None,
            cores_in_use: None,
        };
        Event::SharedHealthChecks(vec![SharedHealthCheck {
            member: MemberId(member),
            at,
            report,
        }])
    }

    /// Returns the members that a new request should cause to be checked, found by examining each
    /// member.
    fn checks_due(&self) -> Vec<MemberId> {
        let is_shared = |id: &MemberId| {
            let shared_at = self.shared_at.get(&(id.0 % GROUPS));
            shared_at.is_some_and(|&at| self.now - at < SHARED_LIFETIME)
        };
        let members = self.members.iter();
        let mut due: Vec<MemberId> = members
            .filter(|(id, member)| member.is_due(self.now) && !is_shared(id))
            .map(|(&id, _)| id)
            .collect();
        due.sort_by_key(|id| {
            (
                !self.members[id].is_suspected(self.now),
                self.members[id].checked_at,
            )
        });
        due.truncate(self.budget as usize);
        due
    }

    /// Applies the router's actions to the model.
    fn apply_actions(&mut self, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::HealthCheck { member } => {
                    let known = self
                        .members
                        .get_mut(&member)
                        .expect("a known member is checked");
                    (known.checked_at, known.check_outstanding) = (self.now, true);
                }
                Action::StartAttempt { id, member, .. } => {
                    let known = self
                        .members
                        .get_mut(&member)
                        .expect("a known member is chosen");
                    known.in_flight += 1;
                    known.silent_since.get_or_insert(self.now);
                    let number = self.attempt_counts.entry(id).or_default();
                    self.attempts.push(StartedAttempt {
                        id,
                        number: *number,
                        member,
                    });
                    *number += 1;
                }
                _ => {}
            }
        }
    }
}

fn health_checks(actions: &[Action]) -> Vec<MemberId> {
    let checked = actions.iter().filter_map(|action| match action {
        Action::HealthCheck { member } => Some(*member),
        _ => None,
    });
    checked.collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn requests_pay_for_the_checks_that_a_scan_of_all_members_finds(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let settings = serde_json::from_str(include_str!("gateway/settings.json")).expect("JSON");
        let platform = PlatformSettings::parse(&settings, 1).expect("valid settings");
        let mut router = Router::new(platform.settings);
        let mut model = Model {
            now: Timestamp::ZERO + TimeDelta::from_secs(1_000),
            members: BTreeMap::new(),
            shared_at: BTreeMap::new(),
            budget: BUDGET_CAPACITY,
            requests: 0,
            attempts: Vec::new(),
            attempt_counts: BTreeMap::new(),
        };
        let all_ready = (0..MEMBERS).map(|member| Step::Listed { member, state: EndpointState::Ready });
        for step in all_ready.chain(steps) {
            let Some(event) = model.apply(&step) else { continue };
            let is_request = matches!(event, Event::Request { .. });
            let expected = if is_request { model.checks_due() } else { Vec::new() };
            model.budget -= expected.len() as f64;
            let actions = router.batch(model.now, &[event]);
            // Checks that a queued request needs follow those that were due anyway.
            let sent = health_checks(&actions);
            prop_assert!(sent.starts_with(&expected), "{sent:?} instead of {expected:?}");
            model.apply_actions(&actions);
        }
    }
}
