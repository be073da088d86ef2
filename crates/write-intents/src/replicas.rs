//! Which gateways hold the record of a key.

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
pub fn replica_order(key: u64, gateways: &[u32]) -> Vec<u32> {
    let weight = |number: u32| xxh3_64_with_seed(&number.to_be_bytes(), key);
    let mut ordered = gateways.to_vec();
    ordered.sort_by_key(|&number| (Reverse(weight(number)), number));
    ordered
}

/// The first `count` gateways in the order of a key, without `own_number`.
pub(crate) fn first_replicas(
    key: u64,
    gateways: &[u32],
    own_number: u32,
    count: usize,
) -> Vec<u32> {
    let others = gateways.iter().copied();
    let others: Vec<u32> = others.filter(|&number| number != own_number).collect();
    let mut ordered = replica_order(key, &others);
    ordered.truncate(count);
    ordered
}
