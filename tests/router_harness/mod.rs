//! Test harness for one router, with settings, a group of three members and a clock that the test
//! advances.
// Each test binary uses only a part of the harness.
#![allow(dead_code)]

use irisrouter::routing::{
    Action, DeduplicationScope, Endpoint, EndpointState, Event, Freshness, GroupId, Idempotency,
    Limits, LoadReport, LoadReportSource, MemberId, Outcome, ReplicationStatus, RequestClass,
    RequestId, Role, RoleInEndpointList, Router, SafetyRules, SessionId, Settings, StalenessCheck,
    TimeDelta, Timestamp, ZoneId,
};

pub const MILLISECOND: TimeDelta = TimeDelta::from_millis(1);
pub const SECOND: TimeDelta = TimeDelta::from_secs(1);
/// The group that all members belong to.
pub const GROUP: GroupId = GroupId(1);

/// Indices of the classes in [`settings`].
pub const BOUNDED_READ: usize = 0;
pub const SESSION_READ: usize = 1;
pub const STRONG_READ: usize = 2;
pub const ANY_READ: usize = 3;
pub const WRITE: usize = 4;
pub const KEYED_WRITE: usize = 5;

fn class(freshness: Freshness, idempotency: Idempotency, late_weight: f64) -> RequestClass {
    RequestClass {
        latency_objective: 500 * MILLISECOND,
        objective_stretch: 0.0,
        deadline: 2 * SECOND,
        priority_weight: 1.0,
        late_weight,
        idempotency,
        freshness,
    }
}

/// Settings of a small fleet whose members handle stale reads in the given way.
pub fn settings(staleness_check: StalenessCheck) -> Settings {
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::Group,
        window: SECOND,
    };
    let bounded = Freshness::BoundedStaleness(300 * MILLISECOND);
    Settings {
        seed: 7,
        gateway_count: 3,
        zone: ZoneId(0),
        tick: 5 * MILLISECOND,
        classes: vec![
            class(bounded, Idempotency::Idempotent, 0.0),
            class(Freshness::Session, Idempotency::Idempotent, 0.0),
            class(Freshness::Strong, Idempotency::Idempotent, 0.0),
            class(Freshness::Any, Idempotency::Idempotent, 0.0),
            class(Freshness::Write, Idempotency::NotIdempotent, 0.5),
            class(Freshness::Write, keyed, 0.5),
        ],
        tenants: vec![],
        over_quota_weight: 0.1,
        health_check_price: 0.01,
        limits: Limits {
            max_attempts: 6,
            health_checks: true,
            cancellation: true,
            hedged_requests: true,
            retry_after: true,
            max_retry_after: 2 * SECOND,
            connect_timeout: 250 * MILLISECOND,
        },
        rules: SafetyRules {
            drain_grace: SECOND,
            only_listed_drains_bind: false,
            warm_up_time: 15 * SECOND,
            initial_capacity: 0.2,
            overload_multiple: 4.0,
            overload_window: SECOND,
        },
        staleness_check,
        role_in_endpoint_list: RoleInEndpointList::None,
        positions_in_answers: staleness_check != StalenessCheck::None,
        last_write_age_carried: true,
        load_report_source: LoadReportSource::HealthChecks,
        in_flight_reported: true,
        endpoint_list_on_request: false,
    }
}

/// A router, the current time, and the number of the next request.
pub struct RouterHarness {
    pub router: Router,
    pub now: Timestamp,
    next_request: u64,
}

/// An entry of the endpoint list. Members with even numbers are in zone 0, the others in zone 1.
pub fn endpoint(member: u32, state: EndpointState) -> Endpoint {
    Endpoint {
        member: MemberId(member),
        group: GROUP,
        zone: ZoneId(member % 2),
        state,
        primary: false,
        size: 1.0,
        started: None,
    }
}

impl RouterHarness {
    /// Creates a router with member 0 as primary and members 1 and 2 as replicas, all with current
    /// positions.
    pub fn new(settings: Settings) -> Self {
        let mut harness = RouterHarness {
            router: Router::new(settings),
            now: Timestamp::ZERO + 1_000 * SECOND,
            next_request: 0,
        };
        let endpoints = (0..3)
            .map(|member| endpoint(member, EndpointState::Ready))
            .collect();
        harness.list_all(endpoints);
        harness.report(0, true, harness.now);
        harness.report(1, false, harness.now);
        harness.report(2, false, harness.now);
        harness
    }

    /// Delivers events in one batch, and returns the resulting actions.
    pub fn deliver(&mut self, events: &[Event]) -> Vec<Action> {
        self.router.batch(self.now, events)
    }

    /// Delivers a complete endpoint list.
    pub fn list_all(&mut self, endpoints: Vec<Endpoint>) -> Vec<Action> {
        self.deliver(&[Event::EndpointList {
            complete: true,
            endpoints,
        }])
    }

    /// Delivers changes to the endpoint list.
    pub fn list_changes(&mut self, endpoints: Vec<Endpoint>) -> Vec<Action> {
        self.deliver(&[Event::EndpointList {
            complete: false,
            endpoints,
        }])
    }

    /// Advances the clock and fires the timer.
    fn advance(&mut self, time: TimeDelta) -> Vec<Action> {
        self.now += time;
        self.deliver(&[Event::TimerFired])
    }

    /// Advances the clock in steps of 10 ms and fires the timer after each. Returns the actions of
    /// all steps.
    pub fn run_for(&mut self, time: TimeDelta) -> Vec<Action> {
        (0..time / (10 * MILLISECOND))
            .flat_map(|_| self.advance(10 * MILLISECOND))
            .collect()
    }

    /// Delivers a successful health check of an idle member that reports this role and position.
    pub fn report(&mut self, member: u32, primary: bool, position: Timestamp) -> Vec<Action> {
        self.report_load(
            member,
            LoadReport {
                position: Some(position),
                primary: Some(primary),
                in_flight: Some(0.0),
                cores_in_use: None,
            },
        )
    }

    /// Delivers a successful health check with this report.
    pub fn report_load(&mut self, member: u32, report: LoadReport) -> Vec<Action> {
        self.deliver(&[Event::HealthChecked {
            member: MemberId(member),
            outcome: Outcome::Ok,
            elapsed: MILLISECOND,
            report: Some(report),
        }])
    }

    /// Submits a request. Returns its id and the resulting actions.
    pub fn submit(
        &mut self,
        class: usize,
        last_write_age: Option<TimeDelta>,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let actions = self.deliver(&[Event::Request {
            id,
            class,
            tenant: None,
            session: Some(SessionId(5)),
            deadline: self.now + 2 * SECOND,
            work: None,
            group: GROUP,
            last_write_age,
            retry: false,
        }]);
        (id, actions)
    }

    /// Ends an attempt after 50 ms. If the outcome is an answer, it carries this role.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        member: u32,
        outcome: Outcome,
        role: Role,
    ) -> Vec<Action> {
        let answered = matches!(
            outcome,
            Outcome::Ok | Outcome::Unsuitable | Outcome::Full | Outcome::Error
        );
        let status = answered.then_some(ReplicationStatus {
            role,
            position: None,
        });
        self.deliver(&[Event::AttemptEnded {
            id,
            attempt,
            member: MemberId(member),
            outcome,
            elapsed: 50 * MILLISECOND,
            finished: outcome == Outcome::Ok,
            status,
            report: None,
        }])
    }

    /// Ends the first attempt of a request successfully. The answer carries the role of a replica.
    pub fn answer_as_replica(&mut self, id: RequestId, member: u32) -> Vec<Action> {
        self.end_attempt(id, 0, member, Outcome::Ok, Role::Replica)
    }

    /// Ends the first attempt of a request successfully. The answer carries the role of the member,
    /// of which 0 is the primary.
    pub fn answer(&mut self, id: RequestId, member: u32) -> Vec<Action> {
        let role = if member == 0 {
            Role::Primary
        } else {
            Role::Replica
        };
        self.end_attempt(id, 0, member, Outcome::Ok, role)
    }
}

/// Returns the member that these actions send the request to.
pub fn sent_to(id: RequestId, actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|action| match action {
        Action::StartAttempt {
            id: sent, member, ..
        } if *sent == id => Some(member.0),
        _ => None,
    })
}

/// Returns whether these actions reject the request.
pub fn is_rejected(id: RequestId, actions: &[Action]) -> bool {
    rejections(id, actions) > 0
}

/// Returns how often these actions reject the request.
pub fn rejections(id: RequestId, actions: &[Action]) -> usize {
    let rejects = |action: &&Action| matches!(action, Action::Reject { id: of, .. } if *of == id);
    actions.iter().filter(rejects).count()
}

/// Returns whether these actions fail the request.
pub fn is_failed(id: RequestId, actions: &[Action]) -> bool {
    actions.contains(&Action::Fail { id })
}

/// Returns the number of health checks that these actions start.
pub fn health_checks(actions: &[Action]) -> usize {
    let is_health_check = |action: &&Action| matches!(action, Action::HealthCheck { .. });
    actions.iter().filter(is_health_check).count()
}
