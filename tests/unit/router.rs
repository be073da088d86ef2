//! When queued requests are selected for again.

use super::*;
use crate::platform_settings::PlatformSettings;
use crate::routing::endpoint::{Endpoint, EndpointState};
use crate::routing::event::Outcome;
use crate::routing::identifiers::{GroupId, MemberId, RequestId, ZoneId};

const MILLISECOND: TimeDelta = TimeDelta::from_millis(1);
const FIRST: RequestId = RequestId(1);
const SECOND: RequestId = RequestId(2);

/// A router of a deployment whose gateways pause between two requests to one member, with two
/// groups of one member each.
fn router(now: Timestamp) -> Router {
    let settings = include_str!("../gateway/settings.json");
    let mut settings: serde_json::Value = serde_json::from_str(settings).expect("JSON");
    settings["Balancers"] = 16.into();
    settings["Bounds"]["Probes"] = false.into();
    let platform = PlatformSettings::parse(&settings, 1).expect("valid settings");
    let mut router = Router::new(platform.settings);
    let endpoint = |member: u32| Endpoint {
        member: MemberId(member),
        group: GroupId(i64::from(member)),
        zone: ZoneId(0),
        state: EndpointState::Ready,
        primary: false,
        size: 1.0,
        started: None,
    };
    let endpoints = (0..2).map(endpoint).collect();
    let list = Event::EndpointList {
        complete: true,
        endpoints,
    };
    router.batch(now, &[list]);
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
        group: GroupId(1),
        last_write_age: None,
        retry: false,
    }
}

fn is_sent(id: RequestId, actions: &[Action]) -> bool {
    let starts =
        |action: &Action| matches!(action, Action::StartAttempt { id: sent, .. } if *sent == id);
    actions.iter().any(starts)
}

/// Guards against queued requests that wait for events of their own group only: what keeps this one
/// is a pause, which ends by itself.
#[test]
fn queued_request_is_sent_at_once_when_its_pause_ends_while_only_other_groups_have_events() {
    let mut now = Timestamp::ZERO + TimeDelta::from_secs(1_000);
    let mut router = router(now);
    assert!(is_sent(FIRST, &router.batch(now, &[read(FIRST, now)])));
    let answered = Event::AttemptEnded {
        id: FIRST,
        attempt: 0,
        member: MemberId(1),
        outcome: Outcome::Ok,
        elapsed: MILLISECOND,
        finished: true,
        status: None,
        report: None,
    };
    router.batch(now, &[answered]);
    assert!(!is_sent(SECOND, &router.batch(now, &[read(SECOND, now)])));
    let pause_ends_at = router
        .fleet
        .member(MemberId(1))
        .concurrency_limit
        .next_send_at;
    let of_other_group = Event::HealthChecked {
        member: MemberId(0),
        outcome: Outcome::Ok,
        elapsed: MILLISECOND,
        report: None,
    };
    let mut sent = false;
    while !sent {
        now += MILLISECOND;
        assert!(now <= pause_ends_at + MILLISECOND);
        sent = is_sent(
            SECOND,
            &router.batch(now, std::slice::from_ref(&of_other_group)),
        );
    }
    assert!(now >= pause_ends_at);
}
