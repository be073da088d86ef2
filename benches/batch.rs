//! Time that the router takes for one request, including the events and actions that follow it, as
//! the numbers of members and gateways grow. No member fails.
//!
//! Compare the times for different numbers of members within one run: the time per request should
//! not grow with the number of members of other groups.

use criterion::{criterion_group, criterion_main, BatchSize, BenchmarkId, Criterion};
use irisrouter::platform_settings::PlatformSettings;
use irisrouter::routing::{
    Action, Endpoint, EndpointState, Event, GroupId, LoadReport, MemberId, Outcome,
    ReplicationStatus, RequestId, Role, Router, Settings, TimeDelta, Timestamp, ZoneId,
};
use std::hint::black_box;

const MS: TimeDelta = TimeDelta::from_millis(1);
const MEMBERS_PER_GROUP: u32 = 5;
/// Id of the first request that stays queued.
const FIRST_QUEUED_REQUEST: u64 = 1 << 32;
/// Id of the first group without members; the requests that stay queued are for these groups.
const FIRST_EMPTY_GROUP: i64 = 1 << 32;
/// Number of groups without members.
const EMPTY_GROUP_COUNT: u64 = 267;

fn settings(gateways: u32) -> Settings {
    let json = serde_json::json!({
        "Balancers": gateways,
        "Bounds": { "Cancel": true, "ConnectTimeoutNs": 250 * MS, "IdleCloseNs": 30_000 * MS, "MaxRetryAfterNs": 1000 * MS,
            "MostTries": 6, "Probes": true, "RetryAfter": true, "SecondCopies": true },
        "Classes": [{ "Name": "report", "AimNs": 6000 * MS, "DeadlineNs": 12_000 * MS, "Effect": "retryable",
            "Group": "all", "LateWorth": 0.0, "WindowNs": 0, "Worth": 1.0 }],
        "Domain": { "CatchUpWaitNs": 50 * MS, "ClassBoundNs": [0], "Freshness": ["eventual"], "PositionZeroNs": 0,
            "RoleInList": "none", "ServerChecks": "await", "SessionMarks": "brought", "Stamps": false },
        "LoadInfo": { "How": "probe", "Fields": ["x0", "x1", "load_share"] },
        "MembershipMode": "push", "MyZone": "a", "OverShareWorth": 0.1, "Penalties": { "Probe": 0.04 },
        "RoundNs": 5 * MS, "Tenants": [], "Zones": ["a"],
        "Rules": { "ColdNs": 14_000 * MS, "DrainGraceNs": 500 * MS, "OverloadFactor": 2.0, "StartCapacity": 0.15,
            "TipAfterNs": 3000 * MS },
    });
    PlatformSettings::parse(&json, 1)
        .expect("settings")
        .settings
}

/// A router that has already served requests, with the clock and the number of its next request.
struct RunningRouter {
    router: Router,
    now: Timestamp,
    next_request: u64,
    groups: u32,
}

impl RunningRouter {
    fn new(members: u32, gateways: u32) -> Self {
        let entry = |m: u32| Endpoint {
            member: MemberId(m),
            group: GroupId(i64::from(m / MEMBERS_PER_GROUP)),
            zone: ZoneId(0),
            state: EndpointState::Ready,
            primary: false,
            size: 1.0,
            started: None,
        };
        let mut router = Router::new(settings(gateways));
        let now = Timestamp::ZERO + TimeDelta::from_secs(1_000);
        let entries = (0..members).map(entry).collect();
        router.batch(
            now,
            &[Event::EndpointList {
                complete: true,
                endpoints: entries,
            }],
        );
        let mut running = RunningRouter {
            router,
            now,
            next_request: 0,
            groups: members.div_ceil(MEMBERS_PER_GROUP),
        };
        (0..2000).for_each(|_| running.request());
        running
    }

    /// Submits a request and answers it. The health checks that the router sends are answered too.
    fn request(&mut self) {
        let id = RequestId(self.next_request);
        let group = GroupId((self.next_request % u64::from(self.groups)) as i64);
        self.next_request += 1;
        self.now += MS;
        let deadline = self.now + 12_000 * MS;
        let arrival = Event::Request {
            id,
            class: 0,
            tenant: None,
            session: None,
            deadline,
            work: None,
            group,
            last_write_age: None,
            retry: false,
        };
        let mut events = vec![arrival];
        while !events.is_empty() {
            let actions = self.router.batch(self.now, &events);
            self.now += MS;
            events = actions
                .into_iter()
                .filter_map(|a| match a {
                    Action::StartAttempt { id, member, .. } => Some(Event::AttemptEnded {
                        id,
                        attempt: 0,
                        member,
                        outcome: Outcome::Ok,
                        elapsed: 20 * MS,
                        finished: true,
                        status: Some(ReplicationStatus {
                            role: Role::Replica,
                            position: None,
                        }),
                        report: None,
                    }),
                    Action::HealthCheck { member } => {
                        let position = Some(self.now - 10 * MS);
                        let report = LoadReport {
                            position,
                            primary: Some(false),
                            in_flight: None,
                            cores_in_use: None,
                        };
                        let (outcome, elapsed) = (Outcome::Ok, MS);
                        Some(Event::HealthChecked {
                            member,
                            outcome,
                            elapsed,
                            report: Some(report),
                        })
                    }
                    _ => None,
                })
                .collect();
        }
    }
}

fn request(c: &mut Criterion) {
    for gateways in [2, 48] {
        let mut group = c.benchmark_group(format!("request_{gateways}_gateways"));
        for members in [10, 100, 1_000, 3_200, 10_200] {
            group.bench_function(BenchmarkId::from_parameter(members), |b| {
                let mut running = RunningRouter::new(members, gateways);
                b.iter_batched(
                    || (),
                    |()| black_box(&mut running).request(),
                    BatchSize::SmallInput,
                );
            });
        }
        group.finish();
    }
}

/// Returns a request that stays queued because its group has no members.
fn queued_request(number: u64, now: Timestamp) -> Event {
    Event::Request {
        id: RequestId(FIRST_QUEUED_REQUEST + number),
        class: 0,
        tenant: None,
        session: None,
        deadline: now + 1_000_000 * MS,
        work: None,
        group: GroupId(FIRST_EMPTY_GROUP + (number % EMPTY_GROUP_COUNT) as i64),
        last_write_age: None,
        retry: false,
    }
}

/// Measures an event of one group while requests for other groups are queued.
fn event_with_requests_queued(c: &mut Criterion) {
    let mut group = c.benchmark_group("event_with_requests_held");
    for queued in [0, 100, 1_000, 5_000] {
        group.bench_function(BenchmarkId::from_parameter(queued), |b| {
            let mut running = RunningRouter::new(1_000, 48);
            let now = running.now;
            let requests: Vec<Event> = (0..queued).map(|n| queued_request(n, now)).collect();
            running.router.batch(now, &requests);
            let checked = Event::HealthChecked {
                member: MemberId(0),
                outcome: Outcome::Ok,
                elapsed: MS,
                report: None,
            };
            b.iter(|| {
                running.now += TimeDelta::NANOSECOND;
                black_box(
                    running
                        .router
                        .batch(running.now, std::slice::from_ref(&checked)),
                )
            });
        });
    }
    group.finish();
}

criterion_group!(benches, request, event_with_requests_queued);
criterion_main!(benches);
