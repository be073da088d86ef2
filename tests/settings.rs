//! Settings with zero, huge or negative figures: each either has a meaning or is rejected, and no
//! router loops or panics because of it.

#![allow(clippy::unwrap_used)]

use irisrouter::platform_settings::{PlatformSettings, PlatformSettingsError};
use irisrouter::routing::{
    Action, Endpoint, EndpointState, Event, GroupId, MemberId, Outcome, ReplicationStatus,
    RequestId, Role, Router, SessionId, TimeDelta, Timestamp, ZoneId,
};
use serde_json::{json, Value};
use std::collections::BTreeMap;

const MS: TimeDelta = TimeDelta::from_millis(1);

fn endpoint(member: u32, state: EndpointState, started: Option<Timestamp>) -> Endpoint {
    Endpoint {
        member: MemberId(member),
        group: GroupId(2),
        zone: ZoneId(0),
        state,
        primary: member == 0,
        size: 1.0,
        started,
    }
}

fn request(id: RequestId, class: usize, deadline: Timestamp) -> Event {
    Event::Request {
        id,
        class,
        tenant: None,
        session: Some(SessionId(1)),
        deadline,
        work: None,
        group: GroupId(2),
        last_write_age: Some(MS),
        retry: false,
    }
}

fn attempt_ended(id: RequestId, member: MemberId, outcome: Outcome, now: Timestamp) -> Event {
    Event::AttemptEnded {
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
    }
}

/// Submits requests of each class while members join, warm up, answer, drain and leave. Returns the
/// shortest timer that the router sets.
fn run_router(settings: &Value) -> Result<TimeDelta, PlatformSettingsError> {
    let platform = PlatformSettings::parse(settings, 7)?;
    let mut router = Router::new(platform.settings.clone());
    let mut now = Timestamp::ZERO + 1_000_000 * MS;
    let mut shortest_timer = TimeDelta::MAX;
    let mut next_request = 0;
    for round in 0..200u32 {
        now += 5 * MS;
        let state = if round > 150 {
            EndpointState::Draining
        } else {
            EndpointState::Ready
        };
        let list = Event::EndpointList {
            complete: round % 50 == 0,
            endpoints: vec![
                endpoint(0, state, Some(now)),
                endpoint(1, EndpointState::Ready, None),
            ],
        };
        let mut events = vec![list, Event::TimerFired];
        for (class, settings) in platform.settings.classes.iter().enumerate() {
            next_request += 1;
            let deadline = now + settings.deadline;
            events.push(request(RequestId(next_request), class, deadline));
        }
        let mut attempts = BTreeMap::new();
        for action in router.batch(now, &events) {
            match action {
                Action::SetTimer { after } => shortest_timer = shortest_timer.min(after),
                Action::StartAttempt {
                    id,
                    member,
                    timeout,
                } => {
                    assert!(timeout > TimeDelta::ZERO);
                    attempts.insert(id, member);
                }
                _ => {}
            }
        }
        let outcome = [Outcome::Ok, Outcome::ConnectFailed, Outcome::Full][round as usize % 3];
        let ended: Vec<Event> = (attempts.into_iter())
            .map(|(id, member)| attempt_ended(id, member, outcome, now))
            .collect();
        router.batch(now, &ended);
    }
    Ok(shortest_timer)
}

/// Guards against code that works only with the figures of one deployment.
#[test]
fn settings_with_zero_huge_or_negative_figures_are_rejected_or_break_no_router() {
    let settings: Value = serde_json::from_str(include_str!("gateway/settings.json")).unwrap();
    assert!(run_router(&settings).unwrap() >= MS);
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
            match run_router(&changed) {
                Ok(shortest_timer) => assert!(
                    shortest_timer >= MS,
                    "{path} = {value}: the router sets a timer of {} ns",
                    shortest_timer.as_nanos()
                ),
                // The settings may also be rejected at the start, with the reason.
                Err(error) => assert!(
                    error.to_string().contains("ns") || error.to_string().contains("invalid"),
                    "{path} = {value}: {error}"
                ),
            }
        }
    }
}
