//! Random sequences of events for a router. Each sequence reacts to the router's actions as a
//! gateway would.
//!
//! Equal scenarios, seeds and actions give equal sequences.

use irisrouter::routing::{
    Action, DeduplicationScope, Endpoint, EndpointState, Event, FailoverDirectives, Freshness,
    GroupId, Idempotency, Limits, LoadReport, LoadReportSource, MemberId, Outcome, RecoveryRamp,
    ReplicationStatus, RequestClass, RequestId, Role, RoleInEndpointList, SafetyRules, SessionId,
    Settings, SharedHealthCheck, StalenessCheck, TimeDelta, Timestamp, ZoneId,
};
use serde_json::json;

const MILLISECOND: TimeDelta = TimeDelta::from_millis(1);
const SECOND: TimeDelta = TimeDelta::from_secs(1);
const GROUPS: u32 = 2;
const MEMBERS_PER_GROUP: u32 = 4;
const ZONES: u32 = 3;
const SESSIONS: u64 = 6;

/// Outcomes of attempts, from which one is drawn at random; frequent ones are listed several times.
const OUTCOMES: [Outcome; 20] = [
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Error,
    Outcome::Error,
    Outcome::Full,
    Outcome::Unsuitable,
    Outcome::Unsuitable,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// A deployment, and the conditions in it.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name of the scenario, as it stands in `fixtures/decision_log.txt`.
    pub name: &'static str,
    /// Settings of the router.
    pub settings: Settings,
    /// Whether gateways share their health checks.
    pub shared_health_checks: bool,
    /// Whether members mostly answer in time. Otherwise they are often late, silent or unreachable.
    pub calm: bool,
}

/// All scenarios.
pub fn scenarios() -> Vec<Scenario> {
    let small = |name, check| Scenario {
        name,
        settings: settings(check, 3),
        shared_health_checks: false,
        calm: false,
    };
    let mut remembered_sessions = small("remembered_sessions", StalenessCheck::None);
    remembered_sessions.settings.last_write_age_carried = false;
    remembered_sessions.settings.rules.only_listed_drains_bind = true;
    remembered_sessions.settings.endpoint_list_on_request = true;
    remembered_sessions.settings.limits.cancellation = false;
    let mut single_gateway = small("single_gateway", StalenessCheck::Reject);
    single_gateway.settings.gateway_count = 1;
    single_gateway.settings.limits.hedged_requests = false;
    single_gateway.calm = true;
    let mut reported_load = small("large_fleet_with_reported_load", StalenessCheck::Reject);
    reported_load.settings.gateway_count = 48;
    let mut unchecked_large = small("large_fleet_without_checks", StalenessCheck::None);
    unchecked_large.settings.gateway_count = 300;
    let wait = StalenessCheck::Wait(50 * MILLISECOND);
    let mut shared_checks = small("large_fleet_with_shared_health_checks", wait);
    shared_checks.settings.gateway_count = 48;
    shared_checks.settings.in_flight_reported = false;
    shared_checks.shared_health_checks = true;
    let mut calm = small("calm", wait);
    calm.calm = true;
    calm.settings.limits.retry_after = false;
    vec![
        small("unchecked_reads", StalenessCheck::None),
        small("rejecting_replicas", StalenessCheck::Reject),
        small("waiting_replicas", wait),
        remembered_sessions,
        single_gateway,
        reported_load,
        unchecked_large,
        shared_checks,
        calm,
    ]
}

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

fn settings(staleness_check: StalenessCheck, gateway_count: u32) -> Settings {
    let keyed = |scope| Idempotency::Keyed {
        scope,
        window: SECOND,
    };
    let long = RequestClass {
        latency_objective: 8 * SECOND,
        deadline: 10 * SECOND,
        ..class(Freshness::Any, Idempotency::Idempotent, 0.25)
    };
    let bounded = Freshness::BoundedStaleness(300 * MILLISECOND);
    Settings {
        seed: 7,
        gateway_count,
        zone: ZoneId(0),
        tick: 5 * MILLISECOND,
        classes: vec![
            class(bounded, Idempotency::Idempotent, 0.0),
            class(Freshness::Session, Idempotency::Idempotent, 0.0),
            class(Freshness::Strong, Idempotency::Idempotent, 0.0),
            class(Freshness::Any, Idempotency::Idempotent, 0.0),
            class(Freshness::Write, Idempotency::NotIdempotent, 0.5),
            class(Freshness::Write, keyed(DeduplicationScope::Group), 0.5),
            class(Freshness::Write, keyed(DeduplicationScope::All), 0.5),
            class(Freshness::Any, keyed(DeduplicationScope::Zone), 0.5),
            long,
        ],
        tenants: vec![],
        over_quota_weight: 0.1,
        health_check_price: 0.04,
        limits: Limits {
            max_attempts: 4,
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
        role_in_endpoint_list: RoleInEndpointList::Late,
        positions_in_answers: staleness_check != StalenessCheck::None,
        last_write_age_carried: true,
        load_report_source: LoadReportSource::HealthChecks,
        in_flight_reported: true,
        endpoint_list_on_request: false,
    }
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    id: RequestId,
    attempt: u32,
    member: MemberId,
    sent_at: Timestamp,
}

/// A random sequence of events.
pub struct EventSequence {
    scenario: Scenario,
    rng: oorandom::Rand64,
    now: Timestamp,
    requests: u64,
    /// Number of attempts sent for each request, by the number of the request.
    attempts: Vec<u32>,
    in_flight: Vec<InFlight>,
    health_checks: Vec<MemberId>,
    /// The current primary of each group.
    primaries: Vec<u32>,
    started: Vec<Option<Timestamp>>,
    listed: bool,
}

impl EventSequence {
    /// Creates a sequence for this scenario.
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        EventSequence {
            scenario: scenario.clone(),
            rng: oorandom::Rand64::new(u128::from(seed)),
            now: Timestamp::ZERO + 1_000 * SECOND,
            requests: 0,
            attempts: Vec::new(),
            in_flight: Vec::new(),
            health_checks: Vec::new(),
            primaries: (0..GROUPS).map(|group| group * MEMBERS_PER_GROUP).collect(),
            started: vec![None; (GROUPS * MEMBERS_PER_GROUP) as usize],
            listed: false,
        }
    }

    /// Returns the time and the events of the next batch.
    pub fn next_batch(&mut self) -> (Timestamp, Vec<Event>) {
        let time_passed = match self.below(100) {
            0 => self.time_up_to(2 * SECOND),
            1..=20 => TimeDelta::ZERO,
            _ => self.time_up_to(15 * MILLISECOND),
        };
        self.now += time_passed;
        let mut events = vec![Event::TimerFired];
        if !self.listed {
            self.listed = true;
            let members = GROUPS * MEMBERS_PER_GROUP;
            let endpoints = (0..members).map(|member| self.endpoint(member)).collect();
            events.push(Event::EndpointList {
                complete: true,
                endpoints,
            });
        }
        for _ in 0..=self.below(3) {
            events.extend(self.next_event());
        }
        (self.now, events)
    }

    /// Carries out the router's actions.
    pub fn carry_out(&mut self, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::StartAttempt { id, member, .. } => {
                    let attempts = &mut self.attempts[id.0 as usize];
                    let attempt = *attempts;
                    *attempts += 1;
                    let sent_at = self.now;
                    self.in_flight.push(InFlight {
                        id,
                        attempt,
                        member,
                        sent_at,
                    });
                }
                Action::HealthCheck { member } => self.health_checks.push(member),
                Action::CancelAttempt { .. }
                | Action::Reject { .. }
                | Action::Fail { .. }
                | Action::SetTimer { .. }
                | Action::WatchEndpoints => {}
            }
        }
    }

    fn below(&mut self, end: u64) -> u64 {
        self.rng.rand_range(0..end)
    }

    fn chance(&mut self, share: f64) -> bool {
        self.rng.rand_float() < share
    }

    fn time_up_to(&mut self, max: TimeDelta) -> TimeDelta {
        TimeDelta::from_nanos_f64(self.rng.rand_float() * max.as_nanos_f64())
    }

    fn any_member(&mut self) -> u32 {
        self.below(u64::from(GROUPS * MEMBERS_PER_GROUP)) as u32
    }

    fn is_primary(&self, member: u32) -> bool {
        self.primaries.contains(&member)
    }

    fn next_event(&mut self) -> Option<Event> {
        match self.below(1_000) {
            0..=379 => Some(self.request()),
            380..=729 => self.attempt_ended(),
            730..=839 => self.health_checked(),
            840..=899 if self.scenario.shared_health_checks => Some(self.shared_health_checks()),
            900..=924 => self.client_gone(),
            925..=934 => Some(Event::Streaming {
                id: RequestId(self.requests.saturating_sub(1)),
            }),
            935..=974 => Some(self.endpoint_list()),
            975..=979 => Some(Event::EndpointListLost),
            980..=987 => Some(Event::FailoverDirectivesChanged(self.failover_directives())),
            988..=991 => Some(self.settings_changed()),
            992..=995 => Some(self.snapshot_received()),
            996..=999 => {
                let group = self.below(u64::from(GROUPS)) as u32;
                let member = self.below(u64::from(MEMBERS_PER_GROUP)) as u32;
                self.primaries[group as usize] = group * MEMBERS_PER_GROUP + member;
                None
            }
            _ => None,
        }
    }

    fn request(&mut self) -> Event {
        let id = RequestId(self.requests);
        self.requests += 1;
        self.attempts.push(0);
        let classes = self.scenario.settings.classes.len() as u64;
        let class = self.below(classes) as usize;
        let age = self.time_up_to(600 * MILLISECOND);
        let deadline = self.scenario.settings.classes[class].deadline;
        Event::Request {
            id,
            class,
            tenant: None,
            session: self.chance(0.7).then(|| SessionId(self.below(SESSIONS))),
            deadline: self.now
                + if self.chance(0.1) {
                    deadline / 4
                } else {
                    deadline
                },
            work: None,
            group: GroupId(self.below(u64::from(GROUPS)) as i64),
            last_write_age: self.chance(0.5).then_some(age),
            retry: self.chance(0.05),
        }
    }

    fn report(&mut self, member: u32) -> LoadReport {
        let lag = if self.is_primary(member) {
            self.time_up_to(20 * MILLISECOND)
        } else {
            self.time_up_to(700 * MILLISECOND)
        };
        let cores_in_use = self.rng.rand_float();
        let in_flight = (self.rng.rand_float() * 8.0).floor();
        let reports_in_flight = self.scenario.settings.in_flight_reported;
        LoadReport {
            position: self.chance(0.9).then_some(self.now - lag),
            primary: self.chance(0.9).then_some(self.is_primary(member)),
            in_flight: (reports_in_flight && self.chance(0.9)).then_some(in_flight),
            cores_in_use: self.chance(0.9).then_some(cores_in_use),
        }
    }

    fn status(&mut self, member: u32) -> ReplicationStatus {
        let lag = self.time_up_to(400 * MILLISECOND);
        let role = if self.is_primary(member) {
            Role::Primary
        } else {
            Role::Replica
        };
        let has_position = self.scenario.settings.positions_in_answers || self.chance(0.5);
        ReplicationStatus {
            role,
            position: has_position.then_some(self.now - lag),
        }
    }

    fn attempt_ended(&mut self) -> Option<Event> {
        if self.in_flight.is_empty() {
            return None;
        }
        let index = self.below(self.in_flight.len() as u64) as usize;
        let InFlight {
            id,
            attempt,
            member,
            sent_at,
        } = self.in_flight.swap_remove(index);
        let outcome = if self.scenario.calm && self.chance(0.9) {
            Outcome::Ok
        } else {
            OUTCOMES[self.below(OUTCOMES.len() as u64) as usize]
        };
        let answered = matches!(
            outcome,
            Outcome::Ok | Outcome::Error | Outcome::Full | Outcome::Unsuitable
        );
        let elapsed = match self.below(4) {
            0 => self.now - sent_at,
            1 => self.time_up_to(700 * MILLISECOND),
            _ => self.time_up_to(60 * MILLISECOND),
        };
        let has_status = answered && self.chance(0.8);
        let has_report = answered && self.chance(0.2);
        Some(Event::AttemptEnded {
            id,
            attempt,
            member,
            outcome,
            elapsed,
            finished: outcome == Outcome::Ok,
            status: has_status.then(|| self.status(member.0)),
            report: has_report.then(|| self.report(member.0)),
        })
    }

    fn health_checked(&mut self) -> Option<Event> {
        let member = if self.health_checks.is_empty() {
            MemberId(self.any_member())
        } else {
            let index = self.below(self.health_checks.len() as u64) as usize;
            self.health_checks.swap_remove(index)
        };
        let outcome = match self.below(10) {
            0 => Outcome::ConnectFailed,
            1 => Outcome::TimedOut,
            2 => Outcome::Error,
            _ => Outcome::Ok,
        };
        let has_report = outcome == Outcome::Ok;
        Some(Event::HealthChecked {
            member,
            outcome,
            elapsed: self.time_up_to(20 * MILLISECOND),
            report: has_report.then(|| self.report(member.0)),
        })
    }

    fn shared_health_checks(&mut self) -> Event {
        let results = (0..=self.below(3))
            .map(|_| {
                let member = self.any_member();
                SharedHealthCheck {
                    member: MemberId(member),
                    at: self.now - self.time_up_to(30 * MILLISECOND),
                    report: self.report(member),
                }
            })
            .collect();
        Event::SharedHealthChecks(results)
    }

    fn client_gone(&mut self) -> Option<Event> {
        let recent = self.requests.min(5);
        (recent > 0).then(|| Event::ClientGone {
            id: RequestId(self.requests - 1 - self.below(recent)),
        })
    }

    fn endpoint(&mut self, member: u32) -> Endpoint {
        Endpoint {
            member: MemberId(member),
            group: GroupId(i64::from(member / MEMBERS_PER_GROUP)),
            zone: ZoneId(member % ZONES),
            state: EndpointState::Ready,
            primary: self.is_primary(member),
            size: 1.0 + f64::from(member % 2),
            started: self.started[member as usize],
        }
    }

    /// Returns a change to one entry in most cases, and otherwise a complete list.
    fn endpoint_list(&mut self) -> Event {
        let member = self.any_member();
        if self.chance(0.3) {
            self.started[member as usize] = Some(self.now - self.time_up_to(5 * SECOND));
        }
        let mut changed = self.endpoint(member);
        changed.state = match self.below(4) {
            0 => EndpointState::Draining,
            1 => EndpointState::Removed,
            _ => EndpointState::Ready,
        };
        if self.chance(0.6) {
            let endpoints = vec![changed];
            return Event::EndpointList {
                complete: false,
                endpoints,
            };
        }
        let mut endpoints = Vec::new();
        for member in 0..GROUPS * MEMBERS_PER_GROUP {
            if self.chance(0.95) {
                endpoints.push(self.endpoint(member));
            }
        }
        Event::EndpointList {
            complete: true,
            endpoints,
        }
    }

    fn failover_directives(&mut self) -> FailoverDirectives {
        if self.chance(0.5) {
            return FailoverDirectives::default();
        }
        let classes = self.below(6) as usize;
        FailoverDirectives {
            admitted_share: (0..classes).map(|_| 0.5 + self.rng.rand_float()).collect(),
            recovery_ramps: vec![RecoveryRamp {
                zone: ZoneId(self.below(3) as u32),
                share: self.rng.rand_float(),
            }],
            retry_after: self.chance(0.5).then_some(SECOND),
        }
    }

    /// Changes the latency objective of a random class, which takes over its own measurements,
    /// those of another class, or none.
    fn settings_changed(&mut self) -> Event {
        let classes = self.scenario.settings.classes.len();
        let changed = self.below(classes as u64) as usize;
        let source = match self.below(3) {
            0 => None,
            1 => Some(changed),
            _ => Some(self.below(classes as u64) as usize),
        };
        let objective = 300 * MILLISECOND + self.time_up_to(SECOND);
        self.scenario.settings.classes[changed].latency_objective = objective;
        let mut measurements_from: Vec<Option<usize>> = (0..classes).map(Some).collect();
        measurements_from[changed] = source;
        Event::SettingsChanged {
            settings: Box::new(self.scenario.settings.clone()),
            measurements_from,
        }
    }

    /// Returns a snapshot of some members, in the format in which it is sent between versions.
    fn snapshot_received(&mut self) -> Event {
        let mut members = Vec::new();
        for member in 0..GROUPS * MEMBERS_PER_GROUP {
            if self.chance(0.5) {
                let record = self.member_record(member);
                members.push(json!([member, record]));
            }
        }
        let classes = self.scenario.settings.classes.len();
        let usual: Vec<f64> = (0..classes).map(|_| self.rng.rand_float() * 2e8).collect();
        let class_answers: Vec<f64> = (0..classes)
            .map(|_| self.rng.rand_float() * 200.0)
            .collect();
        let document = json!({ "members": members, "usual": usual, "told": class_answers });
        let snapshot = serde_json::from_value(document).expect("the document is a valid snapshot");
        Event::SnapshotReceived(Box::new(snapshot))
    }

    fn member_record(&mut self, member: u32) -> serde_json::Value {
        let lag = self.time_up_to(SECOND);
        let last_answered_at = self.now + SECOND / 10 - self.time_up_to(SECOND);
        json!({
            "group": member / MEMBERS_PER_GROUP,
            "zone": member % ZONES,
            "size": 1.0,
            "started": self.started[member as usize],
            "position": self.now - lag,
            "lag": lag,
            "lag_at": self.now,
            "primary_at": if self.is_primary(member) { self.now - lag } else { Timestamp::ZERO },
            "replica_at": if self.is_primary(member) { Timestamp::ZERO } else { self.now - lag },
            "slowness": self.rng.rand_float() * 3.0,
            "answers": self.rng.rand_float() * 20.0,
            "heard": last_answered_at,
            "outstanding": self.below(5),
            "others": self.rng.rand_float() * 5.0,
            "told_at": self.now - self.time_up_to(SECOND),
            "in_use": self.rng.rand_float(),
            "shed": self.rng.rand_float() * 0.9,
            "limit": 0.2 + self.rng.rand_float() * 8.0,
            "fails": self.below(3),
            "suspect_until": self.now + self.time_up_to(SECOND) - SECOND / 2,
            "errors": self.rng.rand_float() * 0.6,
            "shuns": self.below(3),
            "shun_until": self.now + self.time_up_to(SECOND) - SECOND / 2,
            "well_since": self.now - self.time_up_to(3 * SECOND),
        })
    }
}
