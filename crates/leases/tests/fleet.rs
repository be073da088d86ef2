//! Whole fleets in virtual time: every task has one holder at a time, epochs only grow, and the lease of a dead holder is
//! taken over within the bound.

mod simulation;

use irisrouter_leases::{rendezvous, TaskId};
use proptest::prelude::*;
use simulation::{settings, Fleet, LEASE};

#[test]
fn every_task_is_held_by_its_first_candidate_in_the_end() {
    let mut fleet = Fleet::new(7, 40, 1);
    fleet.run(20_000);
    for task in 0..40 {
        let first = rendezvous::candidates(task, &(0..7).collect::<Vec<_>>())[0];
        assert!(fleet.token(first, task).is_some(), "task {task}");
    }
    assert!(
        fleet.longest_gap <= 3 * LEASE,
        "{} ms without a holder at the start",
        fleet.longest_gap
    );
}

#[test]
fn lease_is_taken_over_within_the_bound_when_its_holder_dies_unnoticed() {
    for seed in 1..=20 {
        let mut fleet = Fleet::new(5, 10, seed);
        fleet.run(15_000);
        fleet.longest_gap = 0;
        fleet.crash((seed % 5) as u32);
        fleet.run(10_000);
        let bound = settings(5).takeover_bound_ms();
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
    fleet.run(15_000);
    let holder = |fleet: &Fleet| fleet.latest[&TaskId(0)].holder.number;
    let stalled = holder(&fleet);
    fleet.gateways[stalled as usize].stalled = true;
    fleet.run(5_000);
    assert_ne!(holder(&fleet), stalled, "no other gateway took it over");
    fleet.gateways[stalled as usize].stalled = false;
    // Before it has received or done anything.
    assert_eq!(fleet.token(stalled, 0), None);
    fleet.run(2_000);
}

#[test]
fn minority_partition_releases_its_leases_and_the_majority_takes_them_over() {
    let mut fleet = Fleet::new(5, 12, 4);
    fleet.run(15_000);
    for (one, other) in [(0, 3), (0, 4), (1, 3), (1, 4), (2, 3), (2, 4)] {
        fleet.cuts.extend([(one, other), (other, one)]);
    }
    // For a while nobody has noticed.
    fleet.run(2_000);
    fleet.update_views();
    fleet.run(8_000);
    for task in 0..12 {
        let holds = |number: u32| fleet.token(number, task).is_some();
        assert!((0..3).any(holds) && !(3..5).any(holds), "task {task}");
    }
    fleet.cuts.clear();
    fleet.update_views();
    fleet.run(10_000);
}

#[test]
fn datagrams_of_a_lease_do_not_grow_with_the_fleet() {
    let mut datagrams_per_task_and_second = Vec::new();
    for size in [60, 300] {
        let mut fleet = Fleet::new(size, 20, 5);
        fleet.run(15_000);
        let before = fleet.sent;
        fleet.run(10_000);
        datagrams_per_task_and_second.push((fleet.sent - before) as f64 / 20.0 / 10.0);
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
    Crash(u32),
    Restart(u32),
    Stall(u32),
    Resume(u32),
    Cut(u32, u32),
    Heal,
    Loss(u64),
    UpdateViews,
}

impl Fault {
    fn inject(self, fleet: &mut Fleet) {
        match self {
            Fault::Crash(number) => fleet.crash(number),
            // The older process is gone, or was killed for the restart.
            Fault::Restart(number) => fleet.restart(number),
            Fault::Stall(number) => fleet.gateways[number as usize].stalled = true,
            Fault::Resume(number) => fleet.gateways[number as usize].stalled = false,
            Fault::Cut(from, to) => fleet.cuts.extend([(from, to)]),
            Fault::Heal => fleet.cuts.clear(),
            Fault::Loss(percent) => fleet.loss_percent = percent,
            Fault::UpdateViews => fleet.update_views(),
        }
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    let gateway = 0u32..5;
    prop_oneof![
        gateway.clone().prop_map(Fault::Crash),
        gateway.clone().prop_map(Fault::Restart),
        gateway.clone().prop_map(Fault::Stall),
        gateway.clone().prop_map(Fault::Resume),
        (gateway.clone(), gateway).prop_map(|(from, to)| Fault::Cut(from, to)),
        Just(Fault::Heal),
        (0u64..60).prop_map(Fault::Loss),
        Just(Fault::UpdateViews),
    ]
}

/// Ends all faults: every gateway runs, and reaches every other.
fn heal(fleet: &mut Fleet) {
    fleet.cuts.clear();
    fleet.loss_percent = 0;
    for number in 0..5 {
        fleet.gateways[number as usize].stalled = false;
        if !fleet.gateways[number as usize].up {
            fleet.restart(number);
        }
    }
    fleet.update_views();
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    /// No sequence of faults ever gives a task two holders, or a holder an older epoch; and once all faults have ended, every
    /// task has a holder.
    #[test]
    fn lease_never_has_two_holders_and_is_never_lost_under_any_faults(
        seed in any::<u64>(),
        faults in proptest::collection::vec((fault(), 50u64..1_500), 1..25),
    ) {
        let mut fleet = Fleet::new(5, 4, seed);
        for (fault, lasts_ms) in faults {
            fault.inject(&mut fleet);
            fleet.run(lasts_ms);
        }
        heal(&mut fleet);
        fleet.run(6 * LEASE);
        fleet.longest_gap = 0;
        fleet.run(4 * LEASE);
        prop_assert!(
            fleet.longest_gap <= 2 * LEASE,
            "{} ms without a holder, without any fault", fleet.longest_gap
        );
        for task in 0..4 {
            let held = (0..5).any(|number| fleet.token(number, task).is_some());
            prop_assert!(held, "task {task}");
        }
    }
}
