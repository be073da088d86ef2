//! Tests of simulated fleets: every task has at most one holder at a time, epochs only increase, and the lease of a
//! dead holder is taken over within [`Settings::takeover_bound`](irisrouter_leases::Settings::takeover_bound).

mod simulation;

use irisrouter_cluster_types::{GatewayId, Milliseconds, TaskId};
use irisrouter_leases::rendezvous;
use proptest::prelude::*;
use simulation::{settings, Fleet, LEASE};

#[test]
fn every_task_is_eventually_held_by_its_first_candidate() {
    let mut fleet = Fleet::new(7, 40, 1);
    fleet.run(Milliseconds(20_000));
    let gateways: Vec<GatewayId> = fleet.gateway_ids().collect();
    for task in (0..40).map(TaskId) {
        let first = rendezvous::candidates(task, &gateways)[0];
        assert!(fleet.token(first, task).is_some(), "{task:?}");
    }
    assert!(
        fleet.longest_gap <= LEASE * 3,
        "{} ms without a holder at the start",
        fleet.longest_gap
    );
}

#[test]
fn lease_is_taken_over_within_the_bound_when_its_holder_crashes_and_no_view_changes() {
    for seed in 1..=20 {
        let mut fleet = Fleet::new(5, 10, seed);
        fleet.run(Milliseconds(15_000));
        fleet.longest_gap = Milliseconds::ZERO;
        fleet.crash(GatewayId((seed % 5) as u32));
        fleet.run(Milliseconds(10_000));
        let bound = settings(5).takeover_bound();
        assert!(
            fleet.longest_gap <= bound,
            "seed {seed}: {} ms without a holder, bound {bound}",
            fleet.longest_gap
        );
    }
}

#[test]
fn stalled_holder_has_no_token_when_it_resumes() {
    let mut fleet = Fleet::new(5, 1, 3);
    fleet.run(Milliseconds(15_000));
    let task = TaskId(0);
    let holder = |fleet: &Fleet| fleet.latest_holders[&task].holder.gateway;
    let stalled = holder(&fleet);
    fleet.stall(stalled);
    fleet.run(Milliseconds(5_000));
    assert_ne!(holder(&fleet), stalled, "no other gateway took it over");
    fleet.resume(stalled);
    // The gateway has not yet received or processed anything since it resumed.
    assert_eq!(fleet.token(stalled, task), None);
    fleet.run(Milliseconds(2_000));
}

#[test]
fn minority_partition_releases_its_leases_and_the_majority_takes_them_over() {
    let mut fleet = Fleet::new(5, 12, 4);
    fleet.run(Milliseconds(15_000));
    for (one, other) in [(0, 3), (0, 4), (1, 3), (1, 4), (2, 3), (2, 4)] {
        let one = GatewayId(one);
        let other = GatewayId(other);
        fleet.cut_links.extend([(one, other), (other, one)]);
    }
    // For two seconds the views of the gateways do not show the partition.
    fleet.run(Milliseconds(2_000));
    fleet.update_views();
    fleet.run(Milliseconds(8_000));
    for task in (0..12).map(TaskId) {
        let holds = |number: u32| fleet.token(GatewayId(number), task).is_some();
        assert!((0..3).any(holds), "{task:?} has no holder in the majority");
        assert!(!(3..5).any(holds), "{task:?} has a holder in the minority");
    }
    fleet.cut_links.clear();
    fleet.update_views();
    fleet.run(Milliseconds(10_000));
}

#[test]
fn datagram_rate_of_a_lease_does_not_grow_with_the_fleet() {
    let mut datagrams_per_task_and_second = Vec::new();
    for size in [60, 300] {
        let mut fleet = Fleet::new(size, 20, 5);
        fleet.run(Milliseconds(15_000));
        let before = fleet.sent_datagram_count;
        fleet.run(Milliseconds(10_000));
        datagrams_per_task_and_second
            .push((fleet.sent_datagram_count - before) as f64 / 20.0 / 10.0);
    }
    eprintln!(
        "datagrams per task and second, at a lease of 1 s: {datagrams_per_task_and_second:?}"
    );
    assert!(
        datagrams_per_task_and_second[1] < 1.2 * datagrams_per_task_and_second[0],
        "datagrams per task and second: {datagrams_per_task_and_second:?}"
    );
}

#[derive(Clone, Debug)]
enum Fault {
    Crash(GatewayId),
    Restart(GatewayId),
    Stall(GatewayId),
    Resume(GatewayId),
    /// All datagrams from the first gateway to the second are lost.
    CutLink(GatewayId, GatewayId),
    RestoreLinks,
    SetLoss(u64),
    UpdateViews,
}

impl Fault {
    fn inject(self, fleet: &mut Fleet) {
        match self {
            Fault::Crash(gateway) => fleet.crash(gateway),
            // The older process has crashed, or is killed by the restart.
            Fault::Restart(gateway) => fleet.restart(gateway),
            Fault::Stall(gateway) => fleet.stall(gateway),
            Fault::Resume(gateway) => fleet.resume(gateway),
            Fault::CutLink(from, to) => fleet.cut_links.extend([(from, to)]),
            Fault::RestoreLinks => fleet.cut_links.clear(),
            Fault::SetLoss(percent) => fleet.loss_percent = percent,
            Fault::UpdateViews => fleet.update_views(),
        }
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    let gateway = (0u32..5).prop_map(GatewayId);
    prop_oneof![
        gateway.clone().prop_map(Fault::Crash),
        gateway.clone().prop_map(Fault::Restart),
        gateway.clone().prop_map(Fault::Stall),
        gateway.clone().prop_map(Fault::Resume),
        (gateway.clone(), gateway).prop_map(|(from, to)| Fault::CutLink(from, to)),
        Just(Fault::RestoreLinks),
        (0u64..60).prop_map(Fault::SetLoss),
        Just(Fault::UpdateViews),
    ]
}

/// Ends all faults, so that every gateway runs and reaches every other one.
fn end_all_faults(fleet: &mut Fleet) {
    fleet.cut_links.clear();
    fleet.loss_percent = 0;
    for gateway in fleet.gateway_ids() {
        fleet.resume(gateway);
        if !fleet.gateway(gateway).up {
            fleet.restart(gateway);
        }
    }
    fleet.update_views();
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    /// Under any sequence of faults, no task has two holders and no lease is acquired with an older epoch. After all
    /// faults have ended, every task has a holder again.
    #[test]
    fn lease_never_has_two_holders_and_is_never_lost_under_any_faults(
        seed in any::<u64>(),
        faults in proptest::collection::vec((fault(), 50u64..1_500), 1..25),
    ) {
        let mut fleet = Fleet::new(5, 4, seed);
        for (fault, duration_ms) in faults {
            fault.inject(&mut fleet);
            fleet.run(Milliseconds(duration_ms));
        }
        end_all_faults(&mut fleet);
        fleet.run(LEASE * 6);
        fleet.longest_gap = Milliseconds::ZERO;
        fleet.run(LEASE * 4);
        prop_assert!(
            fleet.longest_gap <= LEASE * 2,
            "{} ms without a holder, without any fault", fleet.longest_gap
        );
        for task in (0..4).map(TaskId) {
            let held = fleet.gateway_ids().any(|gateway| fleet.token(gateway, task).is_some());
            prop_assert!(held, "{task:?} has no holder");
        }
    }
}
