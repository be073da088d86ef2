//! A small world for module tests: settings, members and a router driven by hand.
#![allow(dead_code)]

use irisrouter::routing::*;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;
pub const G: GroupId = GroupId(1);

/// Indices of the classes in `settings`.
pub const BOUNDED: usize = 0;
pub const SESSION: usize = 1;
pub const FRESH: usize = 2;
pub const ANY: usize = 3;
pub const WRITE: usize = 4;
pub const KEYED: usize = 5;

fn class(freshness: Freshness, idempotency: Idempotency, late_weight: f64) -> RequestClass {
    RequestClass {
        latency_objective: 500 * MS,
        objective_stretch: 0.0,
        deadline: 2 * S,
        priority_weight: 1.0,
        late_weight,
        idempotency,
        freshness,
    }
}

pub fn settings(checks: StalenessCheck) -> Settings {
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::Group,
        window: S,
    };
    Settings {
        seed: 7,
        gateway_count: 3,
        zone: ZoneId(0),
        tick: 5 * MS,
        classes: vec![
            class(
                Freshness::BoundedStaleness(300 * MS),
                Idempotency::Idempotent,
                0.0,
            ),
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
            max_retry_after: 2 * S,
            connect_timeout: 250 * MS,
        },
        rules: SafetyRules {
            drain_grace: S,
            only_listed_drains_bind: false,
            warm_up_time: 15 * S,
            initial_capacity: 0.2,
            overload_multiple: 4.0,
            overload_window: S,
        },
        staleness_check: checks,
        role_in_endpoint_list: RoleInEndpointList::None,
        positions_in_answers: checks != StalenessCheck::None,
        last_write_age_carried: true,
        load_report_source: LoadReportSource::HealthChecks,
        in_flight_reported: true,
        endpoint_list_on_request: false,
    }
}

/// A router at a clock, with the ids it will hand out next.
pub struct World {
    pub router: Router,
    pub now: Nanos,
    pub next: u64,
}

pub fn entry(member: u32, listed: EndpointState) -> Endpoint {
    Endpoint {
        member: MemberId(member),
        group: G,
        zone: ZoneId(member % 2),
        state: listed,
        primary: false,
        size: 1.0,
        started: None,
    }
}

impl World {
    /// Members 0 (primary), 1 and 2 (replicas), their positions fresh.
    pub fn new(s: Settings) -> Self {
        let mut w = World {
            router: Router::new(s),
            now: 1_000 * S,
            next: 0,
        };
        let entries = (0..3).map(|m| entry(m, EndpointState::Ready)).collect();
        w.step(&[Event::EndpointList {
            complete: true,
            endpoints: entries,
        }]);
        w.report(0, true, w.now);
        w.report(1, false, w.now);
        w.report(2, false, w.now);
        w
    }

    pub fn step(&mut self, events: &[Event]) -> Vec<Action> {
        self.router.batch(self.now, events)
    }

    pub fn after(&mut self, time: Nanos) -> Vec<Action> {
        self.now += time;
        self.step(&[Event::TimerFired])
    }

    /// Time passes in steps of 10 ms; all actions of it.
    pub fn pass(&mut self, time: Nanos) -> Vec<Action> {
        (0..time / (10 * MS))
            .flat_map(|_| self.after(10 * MS))
            .collect()
    }

    pub fn report(&mut self, m: u32, primary: bool, position: Nanos) -> Vec<Action> {
        let report = LoadReport {
            position: Some(position),
            primary: Some(primary),
            in_flight: Some(0.0),
            cores_in_use: None,
        };
        let member = MemberId(m);
        self.step(&[Event::HealthChecked {
            member,
            outcome: Outcome::Ok,
            elapsed: MS,
            report: Some(report),
        }])
    }

    pub fn request(&mut self, class: usize, last_write_age: Option<Nanos>) -> (RequestId, Event) {
        let id = RequestId(self.next);
        self.next += 1;
        let deadline = self.now + 2 * S;
        let session = Some(SessionId(5));
        let e = Event::Request {
            id,
            class,
            tenant: None,
            session,
            deadline,
            work: None,
            group: G,
            last_write_age,
            retry: false,
        };
        (id, e)
    }

    /// Brings a request in and returns the actions on it.
    pub fn ask(&mut self, class: usize, last_write_age: Option<Nanos>) -> (RequestId, Vec<Action>) {
        let (id, e) = self.request(class, last_write_age);
        let out = self.step(&[e]);
        (id, out)
    }

    pub fn end(
        &mut self,
        id: RequestId,
        attempt: u32,
        m: u32,
        outcome: Outcome,
        role: Role,
    ) -> Vec<Action> {
        let spoke = matches!(
            outcome,
            Outcome::Ok | Outcome::Unsuitable | Outcome::Full | Outcome::Error
        );
        let note = spoke.then_some(ReplicationStatus {
            role,
            position: None,
        });
        self.step(&[Event::AttemptEnded {
            id,
            attempt,
            member: MemberId(m),
            outcome,
            elapsed: 50 * MS,
            finished: outcome == Outcome::Ok,
            status: note,
            report: None,
        }])
    }
}

/// The member that a request is sent to among these actions.
pub fn sent(id: RequestId, out: &[Action]) -> Option<u32> {
    out.iter().find_map(|a| match a {
        Action::StartAttempt { id: i, member, .. } if *i == id => Some(member.0),
        _ => None,
    })
}

pub fn refused(id: RequestId, out: &[Action]) -> bool {
    out.iter()
        .any(|a| matches!(a, Action::Reject { id: i, .. } if *i == id))
}

pub fn failed(id: RequestId, out: &[Action]) -> bool {
    out.contains(&Action::Fail { id })
}
