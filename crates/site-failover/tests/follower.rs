//! The follower: which plan a gateway follows, and for how long.

mod common;

use common::{observe_for, settings, silent, up};
use irisrouter_site_failover::{Admission, Follower, Plan, PlanVersion, Planner};

#[test]
fn follower_follows_the_latest_plan_until_it_expires_when_cut_off() {
    let settings = settings();
    let mut planner = Planner::new(settings.clone()).expect("settings");
    let observations = [silent(up(100.0, 60.0)), up(100.0, 60.0), up(100.0, 60.0)];
    observe_for(&mut planner, 0, 1_500, &observations);
    let plans: Vec<Plan> = (0..3)
        .map(|_| planner.next_plan(7, &[20.0, 160.0], 5))
        .collect();
    let mut follower = Follower::new(&settings);
    assert_eq!(
        follower.admit(0, 0, 0.999),
        Admission::Admitted,
        "nothing is shed without a plan"
    );
    assert!(follower.receive(0, plans[1].clone()));
    assert!(!follower.receive(1, plans[0].clone()), "an earlier plan");
    assert!(!follower.receive(1, plans[1].clone()), "the same plan");
    let earlier_epoch = Plan {
        version: PlanVersion {
            epoch: 6,
            sequence: 99,
        },
        ..plans[2].clone()
    };
    assert!(
        !follower.receive(1, earlier_epoch),
        "a plan of an earlier epoch"
    );
    assert_eq!(follower.gateway_budget_per_s(1, 0), Some(0.0));
    let Admission::Rejected { retry_after_ms } = follower.admit(1, 0, 0.5) else {
        panic!("all reports are shed")
    };
    assert!(
        (2_000..=4_000).contains(&retry_after_ms),
        "{retry_after_ms}"
    );
    // No further plan arrives: the latest one applies until it expires.
    let expiry = settings.plan_expiry_ms;
    assert!(matches!(
        follower.admit(expiry - 1, 0, 0.5),
        Admission::Rejected { .. }
    ));
    assert_eq!(follower.admit(expiry, 0, 0.5), Admission::Admitted);
}
