//! When selection runs again for queued requests.

use irisrouter::platform_settings::PlatformSettings;
use irisrouter::routing::{
    Action, Endpoint, EndpointState, Event, GroupId, MemberId, Outcome, RequestId, Router,
    TimeDelta, Timestamp, ZoneId,
};

const MILLISECOND: TimeDelta = TimeDelta::from_millis(1);
const GROUP_OF_REQUESTS: u32 = 1;
const OTHER_GROUP: u32 = 0;

/// Creates a router for two groups of one member each. With these settings, gateways pause between
/// two requests to the same member.
fn router(now: Timestamp) -> Router {
    let settings = include_str!("gateway/settings.json");
    let mut settings: serde_json::Value = serde_json::from_str(settings).expect("JSON");
    settings["Balancers"] = 16.into();
    settings["Bounds"]["Probes"] = false.into();
    let platform = PlatformSettings::parse(&settings, 1).expect("valid settings");
    let mut router = Router::new(platform.settings);
    let endpoint = |group: u32| Endpoint {
        member: MemberId(group),
        group: GroupId(i64::from(group)),
        zone: ZoneId(0),
        state: EndpointState::Ready,
        primary: false,
        size: 1.0,
        started: None,
    };
    let endpoints = [OTHER_GROUP, GROUP_OF_REQUESTS].map(endpoint).to_vec();
    router.batch(
        now,
        &[Event::EndpointList {
            complete: true,
            endpoints,
        }],
    );
    router
}

fn read(id: RequestId, now: Timestamp) -> Event {
    Event::Request {
        id,
        class: 0,
        tenant: None,
        session: None,
        deadline: now + TimeDelta::from_secs(20),
        work: None,
        group: GroupId(i64::from(GROUP_OF_REQUESTS)),
        last_write_age: None,
        retry: false,
    }
}

fn is_sent(id: RequestId, actions: &[Action]) -> bool {
    let starts =
        |action: &Action| matches!(action, Action::StartAttempt { id: sent, .. } if *sent == id);
    actions.iter().any(starts)
}

/// Returns how long a second read waits for the pause after the first, while the given group has an
/// event each millisecond.
fn wait_for_pause(group_with_events: u32) -> TimeDelta {
    wait_with_events(|_| Event::HealthChecked {
        member: MemberId(group_with_events),
        outcome: Outcome::Ok,
        elapsed: MILLISECOND,
        report: None,
    })
}

/// Returns how long a second read waits for the pause after the first, while one of these events happens each
/// millisecond.
fn wait_with_events(mut event_at: impl FnMut(Timestamp) -> Event) -> TimeDelta {
    let start = Timestamp::ZERO + TimeDelta::from_secs(1_000);
    let mut router = router(start);
    let [first, second] = [1, 2].map(RequestId);
    assert!(is_sent(first, &router.batch(start, &[read(first, start)])));
    let answered = Event::AttemptEnded {
        id: first,
        attempt: 0,
        member: MemberId(GROUP_OF_REQUESTS),
        outcome: Outcome::Ok,
        elapsed: MILLISECOND,
        finished: true,
        status: None,
        report: None,
    };
    router.batch(start, &[answered]);
    assert!(!is_sent(
        second,
        &router.batch(start, &[read(second, start)])
    ));
    let mut now = start;
    loop {
        now += MILLISECOND;
        assert!(
            now - start < TimeDelta::from_secs(9),
            "the second read was given up"
        );
        if is_sent(second, &router.batch(now, &[event_at(now)])) {
            return now - start;
        }
    }
}

/// Guards against queued requests that wait for an event of their own group, although the pause
/// ends without one.
#[test]
fn queued_request_is_sent_as_soon_by_events_of_another_group_as_by_those_of_its_own() {
    let wait = wait_for_pause(GROUP_OF_REQUESTS);
    assert!(
        wait > TimeDelta::from_secs(1),
        "the gateway pauses after the first read"
    );
    assert_eq!(wait_for_pause(OTHER_GROUP), wait);
}

/// Guards against expired requests that keep the other requests of their class from being tried.
#[test]
fn queued_request_is_sent_as_soon_while_expired_requests_arrive_all_the_time() {
    let mut next_id = 3;
    let wait = wait_with_events(|now| {
        next_id += 1;
        read(RequestId(next_id), now - TimeDelta::from_secs(20))
    });
    assert_eq!(wait, wait_for_pause(GROUP_OF_REQUESTS));
}
