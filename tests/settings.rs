//! Settings of another customer: what is zero, huge or below zero has a meaning, and no router spins or breaks off on it.

use irisrouter::platform_settings::{PlatformSettings, PlatformSettingsError};
use irisrouter::routing::{
    Action, Endpoint, EndpointState, Event, GroupId, MemberId, Nanos, Outcome, ReplicationStatus,
    RequestId, Role, Router, SessionId, ZoneId,
};
use serde_json::{json, Value};

const MS: Nanos = 1_000_000;

/// Requests of each class while members come, are cold, answer, drain and go; how soon the router wakes itself at least.
fn play(settings: &Value) -> Result<Nanos, PlatformSettingsError> {
    let loaded = PlatformSettings::parse(settings, 7)?;
    let mut router = Router::new(loaded.settings.clone());
    let (mut now, mut soonest, mut next) = (1_000_000 * MS, Nanos::MAX, 0);
    let entry = |m: u32, listed, started| Endpoint {
        member: MemberId(m),
        group: GroupId(2),
        zone: ZoneId(0),
        state: listed,
        primary: m == 0,
        size: 1.0,
        started,
    };
    for round in 0..200u32 {
        now += 5 * MS;
        let listed = if round > 150 {
            EndpointState::Draining
        } else {
            EndpointState::Ready
        };
        let entries = vec![
            entry(0, listed, Some(now)),
            entry(1, EndpointState::Ready, None),
        ];
        let mut events = vec![
            Event::EndpointList {
                complete: round % 50 == 0,
                endpoints: entries,
            },
            Event::TimerFired,
        ];
        for class in 0..loaded.settings.classes.len() {
            next += 1;
            let deadline = now + loaded.settings.classes[class].deadline;
            let (id, group) = (RequestId(next), GroupId(2));
            let request = |session| Event::Request {
                id,
                class,
                tenant: None,
                session,
                deadline,
                work: None,
                group,
                last_write_age: Some(MS),
                retry: false,
            };
            events.push(request(Some(SessionId(1))));
        }
        let mut attempts = std::collections::BTreeMap::new();
        for action in router.batch(now, &events) {
            match action {
                Action::SetTimer { after } => soonest = soonest.min(after),
                Action::StartAttempt {
                    id,
                    member,
                    timeout: limit,
                } => {
                    assert!(limit > 0);
                    attempts.insert(id, member);
                }
                _ => {}
            }
        }
        let outcome = [Outcome::Ok, Outcome::ConnectFailed, Outcome::Full][round as usize % 3];
        let ended = attempts
            .into_iter()
            .map(|(id, member)| Event::AttemptEnded {
                id,
                attempt: 0,
                member,
                outcome,
                elapsed: MS,
                finished: outcome == Outcome::Ok,
                status: Some(ReplicationStatus {
                    role: Role::Primary,
                    position: Some(now),
                }),
                report: None,
            });
        router.batch(now, &ended.collect::<Vec<_>>());
    }
    Ok(soonest)
}

/// Guards against figures that belong to one deployment, and against those that nobody thought of.
#[test]
fn a_figure_that_is_zero_huge_or_below_zero_breaks_no_router() {
    let settings: Value = serde_json::from_str(include_str!("gateway/settings.json")).unwrap();
    assert!(play(&settings).unwrap() >= MS);
    let times = [
        "/Rules/ColdNs",
        "/Rules/DrainGraceNs",
        "/Rules/TipAfterNs",
        "/Rules/OverloadFactor",
        "/Rules/StartCapacity",
        "/RoundNs",
        "/Bounds/MaxRetryAfterNs",
        "/Bounds/ConnectTimeoutNs",
        "/Bounds/IdleCloseNs",
        "/Classes/1/WindowNs",
        "/Classes/0/AimNs",
        "/Classes/2/DeadlineNs",
        "/Domain/ClassBoundNs/0",
        "/Domain/CatchUpWaitNs",
        "/Penalties/Probe",
    ];
    for path in times {
        for value in [json!(0), json!(1), json!(i64::MAX), json!(-1)] {
            let mut changed = settings.clone();
            *changed.pointer_mut(path).unwrap() = value.clone();
            match play(&changed) {
                Ok(soonest) => assert!(
                    soonest >= MS,
                    "{path} = {value}: it wakes itself after {soonest} ns"
                ),
                // Or it is refused at the start, with the reason.
                Err(error) => assert!(
                    error.to_string().contains("ns") || error.to_string().contains("invalid"),
                    "{path} = {value}: {error}"
                ),
            }
        }
    }
}
