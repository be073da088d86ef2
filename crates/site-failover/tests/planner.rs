//! Tests of the planner: which sites are lost or recovering, which sites take over their load, and
//! which classes are shed.

mod common;

use common::{observe_for, settings, up, with_silent_hosts};
use irisrouter_cluster_types::{Epoch, Milliseconds, Timestamp};
use irisrouter_site_failover::codec::{self, Message};
use irisrouter_site_failover::{
    Follower, Planner, SiteIndex, SiteObservation, SiteState, SiteStateChange,
};
use proptest::prelude::*;

const LOST_SITE_0: SiteStateChange = SiteStateChange {
    site: SiteIndex(0),
    state: SiteState::Lost,
};

#[test]
fn planner_moves_load_by_preference_and_sheds_classes_in_order_when_a_site_is_lost() {
    let mut planner = Planner::new(settings()).expect("settings");
    let healthy = [up(100.0, 60.0), up(100.0, 60.0), up(100.0, 60.0)];
    observe_for(
        &mut planner,
        Timestamp::from_millis(0),
        Milliseconds(2_000),
        &healthy,
    );
    let plan = planner.next_plan(Epoch(1), &[30.0, 90.0, 60.0], 10);
    assert!(!plan.in_force(), "{plan:?}");
    let one_lost = [with_silent_hosts(healthy[0]), healthy[1], healthy[2]];
    assert_eq!(
        observe_for(
            &mut planner,
            Timestamp::from_millis(2_100),
            Milliseconds(900),
            &one_lost
        ),
        [],
        "the site is not lost before lost_after has passed"
    );
    assert_eq!(
        observe_for(
            &mut planner,
            Timestamp::from_millis(3_100),
            Milliseconds(0),
            &one_lost
        ),
        [LOST_SITE_0]
    );
    let plan = planner.next_plan(Epoch(1), &[30.0, 90.0, 60.0], 10);
    // The other two sites have 20 of 80 left each: they take over 40 of 60, beginning with the
    // preferred site 2.
    assert_eq!(plan.sites[0].budget_per_s, 0.0);
    let distribution = &plan.sites[0].load_distribution;
    assert!((distribution[2] - 20.0 / 60.0).abs() < 1e-9);
    assert!((distribution[1] - 20.0 / 60.0).abs() < 1e-9);
    // 20 are shed, all of them reports, because reports are shed first.
    assert!(
        (plan.admitted_share[0] - 1.0 / 3.0).abs() < 1e-9,
        "{plan:?}"
    );
    assert_eq!(plan.admitted_share[1..], [1.0, 1.0]);
    // With fewer reports, all reports are shed and then page reads, but never writes.
    let plan = planner.next_plan(Epoch(1), &[5.0, 30.0, 145.0], 10);
    assert!(plan.admitted_share[0].abs() < 1e-9);
    assert!((plan.admitted_share[1] - 0.5).abs() < 1e-9);
    assert!(plan.admitted_share[2] == 1.0);
    let plan = planner.next_plan(Epoch(1), &[5.0, 5.0, 170.0], 10);
    assert_eq!(plan.admitted_share, [0.0, 0.0, 1.0]);
}

#[test]
fn recovery_ramp_advances_while_the_site_answers_and_restarts_when_it_is_lost_again() {
    let mut planner = Planner::new(settings()).expect("settings");
    let healthy = [up(100.0, 60.0), up(100.0, 60.0), up(100.0, 60.0)];
    let one_lost = [with_silent_hosts(healthy[0]), healthy[1], healthy[2]];
    observe_for(
        &mut planner,
        Timestamp::from_millis(0),
        Milliseconds(1_500),
        &one_lost,
    );
    assert_eq!(planner.state(SiteIndex(0)), Some(SiteState::Lost));
    observe_for(
        &mut planner,
        Timestamp::from_millis(1_600),
        Milliseconds(1_000),
        &healthy,
    );
    assert_eq!(planner.state(SiteIndex(0)), Some(SiteState::Recovering));
    let budget =
        |planner: &mut Planner| planner.next_plan(Epoch(1), &[180.0], 4).sites[0].budget_per_s;
    assert!((budget(&mut planner) - 80.0 * 0.15).abs() < 0.5);
    observe_for(
        &mut planner,
        Timestamp::from_millis(2_600),
        Milliseconds(7_000),
        &healthy,
    );
    let halfway = budget(&mut planner);
    assert!(
        (halfway - 80.0 * (0.15 + 0.85 * 0.5)).abs() < 1.0,
        "{halfway}"
    );
    // The site answers too few requests: the ramp does not advance.
    let failing = SiteObservation {
        answered_share: 0.5,
        ..healthy[0]
    };
    observe_for(
        &mut planner,
        Timestamp::from_millis(9_700),
        Milliseconds(5_000),
        &[failing, healthy[1], healthy[2]],
    );
    assert!((budget(&mut planner) - halfway).abs() < 1.0);
    // The site does not become lost if half of its hosts are silent. It becomes lost if all of them
    // are silent for a second.
    let half_silent = SiteObservation {
        silent_hosts: 5,
        ..healthy[0]
    };
    observe_for(
        &mut planner,
        Timestamp::from_millis(14_800),
        Milliseconds(3_000),
        &[half_silent, healthy[1], healthy[2]],
    );
    assert_eq!(planner.state(SiteIndex(0)), Some(SiteState::Recovering));
    observe_for(
        &mut planner,
        Timestamp::from_millis(17_900),
        Milliseconds(1_100),
        &one_lost,
    );
    observe_for(
        &mut planner,
        Timestamp::from_millis(19_100),
        Milliseconds(1_100),
        &healthy,
    );
    assert!(
        (budget(&mut planner) - 80.0 * 0.15).abs() < 2.0,
        "the recovery ramp starts over after the site was lost again"
    );
    observe_for(
        &mut planner,
        Timestamp::from_millis(20_300),
        Milliseconds(14_500),
        &healthy,
    );
    assert_eq!(planner.state(SiteIndex(0)), Some(SiteState::Up));
    assert!(!planner.next_plan(Epoch(1), &[180.0], 4).in_force());
}

#[test]
fn planner_keeps_a_site_recovering_when_it_resumes_from_another_planner() {
    let mut first = Planner::new(settings()).expect("settings");
    let healthy = [up(100.0, 60.0), up(100.0, 60.0), up(100.0, 60.0)];
    let one_lost = [with_silent_hosts(healthy[0]), healthy[1], healthy[2]];
    observe_for(
        &mut first,
        Timestamp::from_millis(0),
        Milliseconds(1_500),
        &one_lost,
    );
    observe_for(
        &mut first,
        Timestamp::from_millis(1_600),
        Milliseconds(1_000),
        &healthy,
    );
    let plan = first.next_plan(Epoch(5), &[180.0], 4);
    let mut second = Planner::new(settings()).expect("settings");
    second.resume(&plan);
    observe_for(
        &mut second,
        Timestamp::from_millis(0),
        Milliseconds(1_000),
        &healthy,
    );
    assert_eq!(second.state(SiteIndex(0)), Some(SiteState::Recovering));
    let budget = second.next_plan(Epoch(6), &[180.0], 4).sites[0].budget_per_s;
    assert!(budget < 80.0 * 0.25);
}

fn any_observation() -> impl Strategy<Value = SiteObservation> {
    (
        1u32..20,
        0u32..20,
        0.0f64..500.0,
        0.0f64..500.0,
        0.0f64..=1.0,
    )
        .prop_map(
            |(hosts, silent_hosts, capacity_per_s, load_per_s, answered_share)| SiteObservation {
                hosts,
                silent_hosts: silent_hosts.min(hosts),
                capacity_per_s,
                load_per_s,
                answered_share,
            },
        )
}

proptest! {
    /// For any observations: while some site is not up, the load that a plan assigns to a site
    /// stays within the site's budget; the shares of a site's load add up to at most 1; classes are
    /// shed in order; and the gateways' parts of a budget add up to at most the budget.
    #[test]
    fn plan_stays_within_all_budgets_for_any_observations(
        steps in proptest::collection::vec(proptest::collection::vec(any_observation(), 3), 1..30),
        class_rates in proptest::collection::vec(0.0f64..300.0, 3),
        gateway_count in 1u32..300,
    ) {
        let mut planner = Planner::new(settings()).expect("settings");
        let mut follower = Follower::new(&settings());
        for (step, observations) in steps.iter().enumerate() {
            let now = Timestamp::from_millis(step as u64 * 700);
            planner.observe(now, observations);
            let plan = planner.next_plan(Epoch(1), &class_rates, gateway_count);
            let all_up = (0..3).all(|site| planner.state(SiteIndex(site)) == Some(SiteState::Up));
            for site in 0..3 {
                let sent: f64 = (0..3)
                    .map(|from| {
                        plan.sites[from].load_distribution[site] * observations[from].load_per_s
                    })
                    .sum();
                let site_plan = &plan.sites[site];
                prop_assert!(all_up || sent <= site_plan.budget_per_s + 1e-6);
                prop_assert!(site_plan.load_distribution.iter().sum::<f64>() <= 1.0 + 1e-9);
                let max_budget = 0.8 * observations[site].capacity_per_s;
                prop_assert!(site_plan.budget_per_s <= max_budget + 1e-9);
            }
            let admitted = &plan.admitted_share;
            prop_assert!(admitted[1] == 1.0 || admitted[0] < 1e-9 || class_rates[0] == 0.0);
            prop_assert_eq!(admitted[2], 1.0);
            let Ok(Message::Plan(decoded)) = codec::decode(&codec::encode_plan(&plan)) else {
                panic!("an encoded plan is decoded as a plan")
            };
            for (decoded, planned) in decoded.sites.iter().zip(&plan.sites) {
                prop_assert_eq!(decoded.state, planned.state);
                prop_assert!(decoded.budget_per_s <= planned.budget_per_s);
                prop_assert!(planned.budget_per_s - decoded.budget_per_s < 0.001_1);
                let shares = decoded.load_distribution.iter().zip(&planned.load_distribution);
                for (decoded, planned) in shares {
                    prop_assert!(decoded <= planned && planned - decoded < 2e-5);
                }
            }
            follower.receive(now, decoded);
            if let Some(own_budget) = follower.gateway_budget_per_s(now, SiteIndex(0)) {
                let budget = plan.sites[0].budget_per_s;
                prop_assert!(own_budget * f64::from(gateway_count) <= budget + 1e-6);
            }
        }
    }
}
