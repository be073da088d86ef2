//! The order of periodic health checks, against a look at every member.

use super::*;
use crate::platform_settings::PlatformSettings;
use crate::routing::endpoint::{Endpoint, EndpointState};
use crate::routing::event::Outcome;
use crate::routing::fleet_updates::AttemptResult;
use crate::routing::identifiers::ZoneId;
use proptest::prelude::*;

const GROUPS: u32 = 3;
const MEMBERS: u32 = 12;

/// What happens to a fleet.
#[derive(Clone, Debug)]
enum Step {
    TimePasses { milliseconds: i64 },
    Listed { member: u32, state: EndpointState },
    RequestSent { member: u32 },
    AttemptEnded { member: u32, outcome: Outcome },
    CheckSent { member: u32 },
    CheckEnded { member: u32, outcome: Outcome },
    SharedResult { group: u32, age_ms: i64 },
}

fn step() -> impl Strategy<Value = Step> {
    let member = 0..MEMBERS;
    let state = prop_oneof![
        3 => Just(EndpointState::Ready),
        1 => Just(EndpointState::Draining),
        1 => Just(EndpointState::Removed),
    ];
    let outcome = prop_oneof![
        Just(Outcome::Ok),
        Just(Outcome::TimedOut),
        Just(Outcome::ConnectFailed),
        Just(Outcome::Cancelled),
    ];
    let listed = (member.clone(), state);
    let attempt = (member.clone(), outcome.clone());
    let check = (member.clone(), outcome);
    prop_oneof![
        3 => (0..9_000_i64).prop_map(|milliseconds| Step::TimePasses { milliseconds }),
        2 => listed.prop_map(|(member, state)| Step::Listed { member, state }),
        3 => member.clone().prop_map(|member| Step::RequestSent { member }),
        3 => attempt.prop_map(|(member, outcome)| Step::AttemptEnded { member, outcome }),
        3 => member.prop_map(|member| Step::CheckSent { member }),
        2 => check.prop_map(|(member, outcome)| Step::CheckEnded { member, outcome }),
        2 => (0..GROUPS, 0..9_000_i64)
            .prop_map(|(group, age_ms)| Step::SharedResult { group, age_ms }),
    ]
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

fn fleet() -> Fleet {
    let settings = include_str!("../gateway/settings.json");
    let settings = serde_json::from_str(settings).expect("the file is JSON");
    let platform = PlatformSettings::parse(&settings, 1).expect("the settings are valid");
    let mut fleet = Fleet::new(platform.settings);
    fleet.now = Timestamp::ZERO + TimeDelta::from_secs(1_000);
    let ready = |member| endpoint(member, EndpointState::Ready);
    let endpoints: Vec<Endpoint> = (0..MEMBERS).map(ready).collect();
    fleet.apply_endpoint_list(true, &endpoints);
    fleet
}

fn apply(fleet: &mut Fleet, step: &Step) {
    let known = |fleet: &Fleet, member| fleet.members.contains_key(&MemberId(member));
    match *step {
        Step::TimePasses { milliseconds } => fleet.now += TimeDelta::from_millis(milliseconds),
        Step::Listed { member, state } => {
            fleet.apply_endpoint_list(false, &[endpoint(member, state)]);
        }
        Step::RequestSent { member } if known(fleet, member) => {
            fleet.request_sent(MemberId(member), 0);
        }
        Step::AttemptEnded { member, outcome } if known(fleet, member) => {
            let id = MemberId(member);
            if fleet.member(id).load.in_flight > 0 {
                fleet.attempt_ended(&AttemptResult {
                    member: id,
                    class: 0,
                    session: None,
                    required_position: Timestamp::ZERO,
                    outcome,
                    elapsed: TimeDelta::from_millis(10),
                    status: None,
                    report: None,
                });
            }
        }
        Step::CheckSent { member } if known(fleet, member) => {
            fleet.health_check_sent(MemberId(member));
        }
        Step::CheckEnded { member, outcome } => {
            fleet.apply_health_check(MemberId(member), outcome, None);
        }
        Step::SharedResult { group, age_ms } => {
            let obtained_at = fleet.now - TimeDelta::from_millis(age_ms);
            fleet.shared_result(GroupId(i64::from(group)), obtained_at);
        }
        _ => {}
    }
}

/// The members that are due, by a look at each of them.
fn due_by_walk(fleet: &Fleet) -> Vec<MemberId> {
    let timeout = fleet.settings.limits.connect_timeout;
    let is_due = |id: &MemberId| {
        let interval = if fleet.is_suspected(*id) {
            timeout
        } else {
            timeout * OBSERVATION_LIFETIME as i64
        };
        fleet.periodic_check_is_due(*id, interval)
    };
    let mut due: Vec<MemberId> = fleet.members.keys().copied().filter(is_due).collect();
    due.sort_by_key(|&id| {
        (
            !fleet.is_suspected(id),
            fleet.member(id).health_check.sent_at,
        )
    });
    due
}

proptest! {
    #[test]
    fn checks_are_due_in_the_order_that_a_walk_over_all_members_finds(
        steps in prop::collection::vec(step(), 1..80),
        limit in 1_usize..15,
    ) {
        let mut fleet = fleet();
        for step in &steps {
            apply(&mut fleet, step);
            let mut expected = due_by_walk(&fleet);
            expected.truncate(limit);
            prop_assert_eq!(fleet.periodic_health_checks_due(limit), expected);
        }
    }
}
