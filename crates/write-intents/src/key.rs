//! The number by which gateways name a key.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number by which gateways name a key of a set: a hash of 64 bits. Two keys are confused once in ten billion writes
/// per minute.
#[must_use]
pub fn key_hash(set: i64, key: &[u8]) -> u64 {
    xxh3_64_with_seed(key, set as u64)
}
