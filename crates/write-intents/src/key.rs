//! The hash by which gateways name a key.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An idempotency key of a replica set, by its hash of 64 bits. The same at every gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub u64);

/// The hash of a key of a replica set. Two keys are confused once in ten billion writes per minute.
#[must_use]
pub fn key_hash(set: i64, key: &[u8]) -> KeyHash {
    KeyHash(xxh3_64_with_seed(key, set as u64))
}
