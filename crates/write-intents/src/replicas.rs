//! Which gateways hold the record of a key.

use crate::KeyHash;
use irisrouter_cluster_types::GatewayId;
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How many gateways have to acknowledge a record before the write is sent; all others that are up where there are fewer.
pub const REPLICAS: usize = 2;
/// The replicas are among this many gateways, the first in the key's order.
pub const RECORD_CANDIDATES: usize = 4;
/// A look-up asks this many gateways. More than [`RECORD_CANDIDATES`], as the views of two gateways may differ by one
/// gateway, and each leaves itself out.
pub const LOOKUP_CANDIDATES: usize = 6;

/// Gateways in the order in which they are replicas of a key: rendezvous hashing. Equal weights are ordered by number.
#[must_use]
pub fn replica_order(key: KeyHash, gateways: &[GatewayId]) -> Vec<GatewayId> {
    let weight = |gateway: GatewayId| xxh3_64_with_seed(&gateway.0.to_be_bytes(), key.0);
    let mut ordered = gateways.to_vec();
    ordered.sort_by_key(|&gateway| (Reverse(weight(gateway)), gateway));
    ordered
}

/// The first `count` gateways in the order of a key, without `local_gateway`.
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
