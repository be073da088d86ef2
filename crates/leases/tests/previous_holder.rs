//! Whom a takeover names as the holder before.
//!
//! A voter knows to whom it granted the lease last. It does not know whether a majority did the same, so where two
//! candidates claim at once, the one that succeeds may name the other, which never held the lease.

mod simulation;

use irisrouter_leases::{rendezvous, Holder, LeaseChange, TaskId, Vote, Voter};
use simulation::{Acquisition, Fleet, LEASE};

const TASK: TaskId = TaskId(0);
const FLEET: u32 = 4;

/// The candidates of the task by rank; the first holds the lease, and has been started again once before.
struct Candidates {
    first: Holder,
    second: u32,
    third: u32,
    fourth: u32,
}

/// A fleet in which the first candidate holds the lease.
fn settled_fleet(seed: u64) -> (Fleet, Candidates) {
    let gateways: Vec<u32> = (0..FLEET).collect();
    let order = rendezvous::candidates(TASK.0, &gateways);
    let mut fleet = Fleet::new(FLEET, 1, seed);
    fleet.crash(order[0]);
    fleet.restart(order[0]);
    fleet.update_views();
    fleet.run(15 * LEASE);
    let first = Holder {
        number: order[0],
        generation: 1,
    };
    assert_eq!(fleet.latest[&TASK].holder, first, "seed {seed}");
    assert!(
        fleet.token(order[0], TASK.0).is_some(),
        "seed {seed}: the first candidate does not hold the lease"
    );
    let candidates = Candidates {
        first,
        second: order[1],
        third: order[2],
        fourth: order[3],
    };
    (fleet, candidates)
}

fn stall(fleet: &mut Fleet, gateways: [u32; 2], stalled: bool) {
    for number in gateways {
        fleet.gateways[number as usize].stalled = stalled;
    }
}

/// The first acquisition after the holder's death, which must be by another gateway.
fn takeover(fleet: &Fleet, before: usize, dead: Holder) -> Acquisition {
    let takeover = fleet.acquisitions[before];
    assert_ne!(takeover.holder, dead);
    takeover
}

#[test]
fn takeover_names_the_dead_holder_when_only_one_candidate_claims() {
    for seed in 1..=20 {
        let (mut fleet, candidates) = settled_fleet(seed);
        for bystander in [candidates.third, candidates.fourth] {
            let now = fleet.now;
            let manager = &mut fleet.gateways[bystander as usize].manager;
            manager.set_tasks(now, &[]);
        }
        let before = fleet.acquisitions.len();
        fleet.crash(candidates.first.number);
        fleet.run(3 * LEASE);
        let takeover = takeover(&fleet, before, candidates.first);
        assert_eq!(takeover.holder.number, candidates.second, "seed {seed}");
        assert_eq!(
            takeover.change,
            LeaseChange::TakenOver(candidates.first),
            "seed {seed}"
        );
    }
}

#[test]
fn takeover_names_the_dead_holder_or_the_other_claimant_when_two_candidates_claim_at_once() {
    let mut named_other_claimant = 0;
    for seed in 1..=50 {
        let (mut fleet, candidates) = settled_fleet(seed);
        let claimants = [candidates.second, candidates.third];
        let before = fleet.acquisitions.len();
        fleet.crash(candidates.first.number);
        // Both find the lease vacant when they resume, and claim it in the same moment.
        stall(&mut fleet, claimants, true);
        fleet.run(2 * LEASE);
        stall(&mut fleet, claimants, false);
        fleet.run(4 * LEASE);
        let takeover = takeover(&fleet, before, candidates.first);
        let position = claimants
            .iter()
            .position(|&number| number == takeover.holder.number);
        let winner = position.expect("one of the two that claimed");
        let other = Holder {
            number: claimants[1 - winner],
            generation: 0,
        };
        match takeover.change {
            LeaseChange::TakenOver(previous) if previous == candidates.first => {}
            LeaseChange::TakenOver(previous) if previous == other => {
                let held = fleet.acquisitions[..=before]
                    .iter()
                    .any(|acquisition| acquisition.holder == other);
                assert!(!held, "seed {seed}: {other:?} did hold the lease");
                named_other_claimant += 1;
            }
            change => panic!("seed {seed}: {takeover:?} names neither: {change:?}"),
        }
    }
    assert!(
        named_other_claimant > 0,
        "no seed has two claims that split the votes: the test proves nothing"
    );
}

#[test]
fn voter_names_the_claimant_it_granted_last_even_when_that_one_never_had_a_majority() {
    let process = |number| Holder {
        number,
        generation: 7,
    };
    let (holder, loser, winner) = (process(0), process(1), process(2));
    let mut voter = Voter::new(0, LEASE);
    let first = voter.request(LEASE, LEASE, holder, 10);
    assert_eq!(first, Vote::Granted { previous: None });
    // The holder dies, and its promise expires. One claimant gets this vote and too few others, and releases it.
    let split = voter.request(2 * LEASE, LEASE, loser, 20);
    let previous = Some(holder);
    assert_eq!(split, Vote::Granted { previous });
    voter.release(2 * LEASE + 500, loser, 20);
    let last = voter.request(2 * LEASE + 501, LEASE, winner, 21);
    let previous = Some(loser);
    assert_eq!(last, Vote::Granted { previous });
}
