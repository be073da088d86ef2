//! Orders the gateways for a task by rendezvous hashing (Thaler and Ravishankar, 1998). Each gateway has a weight for
//! each task, which all gateways compute alike. When a gateway leaves, only the tasks whose first gateway it was get
//! another first gateway.

use irisrouter_cluster_types::{GatewayId, TaskId};
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of gateways that vote on a task. With five voters, two may be down. The limit keeps the cost of a
/// lease independent of the size of the fleet.
pub const VOTERS: usize = 5;

/// The role for which gateways are ordered. It is the seed of the hash, so that candidates and voters are in different
/// orders.
#[derive(Clone, Copy)]
enum Role {
    Candidate = 0,
    Voter = 1,
}

/// Returns the gateways in their order of preference as holders of the lease on a task. Gateways of equal weight are
/// ordered by id.
#[must_use]
pub fn candidates(task: TaskId, alive_gateways: &[GatewayId]) -> Vec<GatewayId> {
    sort_by_weight(task, alive_gateways.to_vec(), Role::Candidate)
}

/// Returns the voters of a task in a fleet with this number of gateways.
///
/// The voters are chosen from all gateways of the fleet's list, whether or not they are alive. If each side of a
/// network partition chose voters among the gateways that it reaches, both sides would grant the lease.
#[must_use]
pub fn voters(task: TaskId, fleet: u32) -> Vec<GatewayId> {
    let gateways = (0..fleet).map(GatewayId).collect();
    let mut voters = sort_by_weight(task, gateways, Role::Voter);
    voters.truncate(VOTERS);
    voters
}

fn sort_by_weight(task: TaskId, mut gateways: Vec<GatewayId>, role: Role) -> Vec<GatewayId> {
    gateways.sort_by_key(|&gateway| (Reverse(weight(task, gateway, role)), gateway));
    gateways
}

fn weight(task: TaskId, gateway: GatewayId, role: Role) -> u64 {
    let mut key = [0; 12];
    key[..8].copy_from_slice(&task.0.to_be_bytes());
    key[8..].copy_from_slice(&gateway.0.to_be_bytes());
    xxh3_64_with_seed(&key, role as u64)
}
