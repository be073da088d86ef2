//! Tests of the follower: which plan a gateway follows, and until when.

mod common;

use common::{observe_for, settings, up, with_silent_hosts};
use irisrouter_cluster_types::{Epoch, Milliseconds, Timestamp};
use irisrouter_site_failover::{
    Admission, ClassIndex, Follower, Plan, PlanVersion, Planner, SiteIndex,
};

/// Class that the settings shed first.
const REPORTS: ClassIndex = ClassIndex(0);

#[test]
fn follower_follows_the_latest_plan_until_it_expires_when_no_further_plan_arrives() {
    let settings = settings();
    let mut planner = Planner::new(settings.clone()).expect("settings");
    let observations = [
        with_silent_hosts(up(100.0, 60.0)),
        up(100.0, 60.0),
        up(100.0, 60.0),
    ];
    observe_for(
        &mut planner,
        Timestamp::from_millis(0),
        Milliseconds(1_500),
        &observations,
    );
    let plans: Vec<Plan> = (0..3)
        .map(|_| planner.next_plan(Epoch(7), &[20.0, 160.0], 5))
        .collect();
    let mut follower = Follower::new(&settings);
    let [start, later] = [0, 1].map(Timestamp::from_millis);
    assert_eq!(
        follower.admit(start, REPORTS, 0.999),
        Admission::Admitted,
        "a follower without a plan admits every request"
    );
    assert!(follower.receive(start, plans[1].clone()));
    assert!(
        !follower.receive(later, plans[0].clone()),
        "an earlier plan of the same epoch is ignored"
    );
    assert!(
        !follower.receive(later, plans[1].clone()),
        "a plan that is followed already is ignored"
    );
    let earlier_epoch = Plan {
        version: PlanVersion {
            epoch: Epoch(6),
            sequence: 99,
        },
        ..plans[2].clone()
    };
    assert!(
        !follower.receive(later, earlier_epoch),
        "a plan of an earlier epoch is ignored, whatever its sequence number"
    );
    assert_eq!(
        follower.gateway_budget_per_s(later, SiteIndex(0)),
        Some(0.0)
    );
    let Admission::Rejected { retry_after } = follower.admit(later, REPORTS, 0.5) else {
        panic!("the plan sheds all reports")
    };
    assert!(
        (Milliseconds(2_000)..=Milliseconds(4_000)).contains(&retry_after),
        "{retry_after} ms"
    );
    // No further plan arrives: the latest one applies until it expires.
    let expires_at = start + settings.plan_expiry;
    let before_expiry = expires_at.saturating_sub(Milliseconds(1));
    assert!(matches!(
        follower.admit(before_expiry, REPORTS, 0.5),
        Admission::Rejected { .. }
    ));
    assert_eq!(
        follower.admit(expires_at, REPORTS, 0.5),
        Admission::Admitted
    );
}
