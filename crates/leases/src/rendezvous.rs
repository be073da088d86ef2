//! The order of gateways for a task: rendezvous hashing (Thaler and Ravishankar, 1998). Each gateway has a weight for each
//! task, the same everywhere. A gateway that leaves changes only what it was first for.

use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How many gateways vote on a task at most. With five, two may be down, and the cost of a lease does not grow with the
/// fleet.
pub const VOTERS: usize = 5;

/// What an order is for. Candidates and voters of a task are drawn with different seeds, so the two orders differ.
#[derive(Clone, Copy)]
enum Role {
    Candidate = 0,
    Voter = 1,
}

/// These gateways in the order in which they are to hold the lease on a task. Equal weights are ordered by number.
#[must_use]
pub fn candidates(task: u64, alive: &[u32]) -> Vec<u32> {
    sorted_by_weight(task, alive.to_vec(), Role::Candidate)
}

/// The voters of a task, by their numbers, in a fleet of this size.
///
/// They are drawn from the whole fleet's list, and not from anybody's view of who is alive: two sides of a network partition
/// that each chose voters on its own side would both grant the lease.
#[must_use]
pub fn voters(task: u64, fleet: u32) -> Vec<u32> {
    let mut voters = sorted_by_weight(task, (0..fleet).collect(), Role::Voter);
    voters.truncate(VOTERS);
    voters
}

fn sorted_by_weight(task: u64, mut gateways: Vec<u32>, role: Role) -> Vec<u32> {
    gateways.sort_by_key(|&number| (Reverse(weight(task, number, role)), number));
    gateways
}

fn weight(task: u64, number: u32, role: Role) -> u64 {
    let mut key = [0; 12];
    key[..8].copy_from_slice(&task.to_be_bytes());
    key[8..].copy_from_slice(&number.to_be_bytes());
    xxh3_64_with_seed(&key, role as u64)
}
