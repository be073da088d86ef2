//! The order of gateways for a task: rendezvous hashing (Thaler and Ravishankar, 1998). Each gateway has a weight for each
//! task, the same everywhere. A gateway that leaves changes only what it was first for.

use irisrouter_cluster_types::{GatewayId, TaskId};
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
pub fn candidates(task: TaskId, alive: &[GatewayId]) -> Vec<GatewayId> {
    sorted_by_weight(task, alive.to_vec(), Role::Candidate)
}

/// The voters of a task in a fleet of this size.
///
/// They are drawn from the whole fleet's list, and not from anybody's view of who is alive: two sides of a network partition
/// that each chose voters on its own side would both grant the lease.
#[must_use]
pub fn voters(task: TaskId, fleet: u32) -> Vec<GatewayId> {
    let gateways = (0..fleet).map(GatewayId).collect();
    let mut voters = sorted_by_weight(task, gateways, Role::Voter);
    voters.truncate(VOTERS);
    voters
}

fn sorted_by_weight(task: TaskId, mut gateways: Vec<GatewayId>, role: Role) -> Vec<GatewayId> {
    gateways.sort_by_key(|&gateway| (Reverse(weight(task, gateway, role)), gateway));
    gateways
}

fn weight(task: TaskId, gateway: GatewayId, role: Role) -> u64 {
    let mut key = [0; 12];
    key[..8].copy_from_slice(&task.0.to_be_bytes());
    key[8..].copy_from_slice(&gateway.0.to_be_bytes());
    xxh3_64_with_seed(&key, role as u64)
}
