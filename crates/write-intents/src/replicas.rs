//! Chooses the gateways that hold the record of a key.

use crate::KeyHash;
use irisrouter_cluster_types::GatewayId;
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of gateways that have to acknowledge a record before the write is sent. If fewer other gateways are up, all
/// of them have to.
pub const REPLICAS: usize = 2;
/// Number of gateways among which the replicas are: the first ones in the replica order of the key.
pub const RECORD_CANDIDATES: usize = 4;
/// Number of gateways that a look-up asks. It is greater than [`RECORD_CANDIDATES`] because the views of two gateways
/// may differ by one gateway, and because each gateway excludes itself.
pub const LOOKUP_CANDIDATES: usize = 6;

/// Returns the gateways in their order of preference as replicas of a key, by rendezvous hashing. Gateways of equal
/// weight are ordered by id.
#[must_use]
pub fn replica_order(key: KeyHash, gateways: &[GatewayId]) -> Vec<GatewayId> {
    let weight = |gateway: GatewayId| xxh3_64_with_seed(&gateway.0.to_be_bytes(), key.0);
    let mut ordered = gateways.to_vec();
    ordered.sort_by_key(|&gateway| (Reverse(weight(gateway)), gateway));
    ordered
}

/// Returns the first `count` gateways in the replica order of a key, excluding `local_gateway`.
pub(crate) fn first_replicas(
    key: KeyHash,
    gateways: &[GatewayId],
    local_gateway: GatewayId,
    count: usize,
) -> Vec<GatewayId> {
    let others = gateways.iter().copied();
    let others: Vec<GatewayId> = others.filter(|&gateway| gateway != local_gateway).collect();
    let mut ordered = replica_order(key, &others);
    ordered.truncate(count);
    ordered
}
