//! The hash that identifies an idempotency key between gateways.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A 64-bit hash of an idempotency key and its replica set. All gateways compute the same hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub u64);

/// Returns the hash of a key of a replica set. Two keys are confused once in ten billion writes per minute.
#[must_use]
pub fn key_hash(set: i64, key: &[u8]) -> KeyHash {
    KeyHash(xxh3_64_with_seed(key, set as u64))
}
