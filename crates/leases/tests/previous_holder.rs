//! Tests of the previous holder that a takeover reports in [`LeaseChange::TakenOver`].
//!
//! A voter knows to which process it granted the lease most recently. It does not know whether a majority of the voters
//! did the same. If two candidates claim at the same time, the one that succeeds may therefore report the other as the
//! previous holder, although the other never held the lease.

mod simulation;

use irisrouter_cluster_types::{
    Epoch, GatewayId, GatewayProcess, Generation, Milliseconds, TaskId, Timestamp,
};
use irisrouter_leases::{rendezvous, LeaseChange, Vote, Voter};
use simulation::{Acquisition, Fleet, LEASE};

const TASK: TaskId = TaskId(0);
const FLEET: u32 = 4;

/// The candidates of the task by rank. The first one holds the lease, and has been restarted once before.
struct Candidates {
    first: GatewayProcess,
    second: GatewayId,
    third: GatewayId,
    fourth: GatewayId,
}

/// Returns a fleet in which the first candidate holds the lease, and the candidates.
fn fleet_held_by_first_candidate(seed: u64) -> (Fleet, Candidates) {
    let mut fleet = Fleet::new(FLEET, 1, seed);
    let gateways: Vec<GatewayId> = fleet.gateway_ids().collect();
    let order = rendezvous::candidates(TASK, &gateways);
    fleet.crash(order[0]);
    fleet.restart(order[0]);
    fleet.update_views();
    fleet.run(LEASE * 15);
    let first = GatewayProcess {
        gateway: order[0],
        generation: Generation(1),
    };
    assert_eq!(fleet.latest_holders[&TASK].holder, first, "seed {seed}");
    assert!(
        fleet.token(order[0], TASK).is_some(),
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

/// Returns the first acquisition after the holder's death, and checks that it is by another process.
/// `acquisitions_before` is the number of acquisitions up to the holder's death.
fn takeover(fleet: &Fleet, acquisitions_before: usize, dead: GatewayProcess) -> Acquisition {
    let takeover = fleet.acquisitions[acquisitions_before];
    assert_ne!(takeover.holder, dead);
    takeover
}

#[test]
fn takeover_names_the_dead_holder_when_only_one_candidate_claims() {
    for seed in 1..=20 {
        let (mut fleet, candidates) = fleet_held_by_first_candidate(seed);
        for bystander in [candidates.third, candidates.fourth] {
            let now = fleet.now;
            let manager = &mut fleet.gateway_mut(bystander).manager;
            manager.set_tasks(now, &[]);
        }
        let acquisitions_before = fleet.acquisitions.len();
        fleet.crash(candidates.first.gateway);
        fleet.run(LEASE * 3);
        let takeover = takeover(&fleet, acquisitions_before, candidates.first);
        assert_eq!(takeover.holder.gateway, candidates.second, "seed {seed}");
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
        let (mut fleet, candidates) = fleet_held_by_first_candidate(seed);
        let claimants = [candidates.second, candidates.third];
        let acquisitions_before = fleet.acquisitions.len();
        fleet.crash(candidates.first.gateway);
        // Both gateways find the lease vacant when they resume, and claim it at the same time.
        for claimant in claimants {
            fleet.stall(claimant);
        }
        fleet.run(LEASE * 2);
        for claimant in claimants {
            fleet.resume(claimant);
        }
        fleet.run(LEASE * 4);
        let takeover = takeover(&fleet, acquisitions_before, candidates.first);
        let position = claimants
            .iter()
            .position(|&claimant| claimant == takeover.holder.gateway);
        let winner = position.expect("the holder is one of the two claimants");
        let other = GatewayProcess::first(claimants[1 - winner]);
        match takeover.change {
            LeaseChange::TakenOver(previous) if previous == candidates.first => {}
            LeaseChange::TakenOver(previous) if previous == other => {
                let held = fleet.acquisitions[..=acquisitions_before]
                    .iter()
                    .any(|acquisition| acquisition.holder == other);
                assert!(!held, "seed {seed}: {other:?} did hold the lease");
                named_other_claimant += 1;
            }
            change => panic!(
                "seed {seed}: {takeover:?} names no process that held or claimed it: {change:?}"
            ),
        }
    }
    assert!(
        named_other_claimant > 0,
        "no seed has two claims that split the votes: the test proves nothing"
    );
}

#[test]
fn voter_names_the_claimant_it_granted_last_even_when_that_one_never_had_a_majority() {
    let process = |number| GatewayProcess {
        gateway: GatewayId(number),
        generation: Generation(7),
    };
    let time_at = |since_start| Timestamp::ZERO + since_start;
    let (holder, loser, winner) = (process(0), process(1), process(2));
    let mut voter = Voter::new(Timestamp::ZERO, LEASE);
    let first = voter.request(time_at(LEASE), LEASE, holder, Epoch(10));
    assert_eq!(first, Vote::Granted { previous: None });
    // The holder dies and the promise to it expires. The losing claimant obtains the grant of this voter, but not of a
    // majority, and releases it.
    let split = voter.request(time_at(LEASE * 2), LEASE, loser, Epoch(20));
    let previous = Some(holder);
    assert_eq!(split, Vote::Granted { previous });
    let released = time_at(LEASE * 2 + LEASE / 2);
    voter.release(released, loser, Epoch(20));
    let last = voter.request(released + Milliseconds(1), LEASE, winner, Epoch(21));
    let previous = Some(loser);
    assert_eq!(last, Vote::Granted { previous });
}
