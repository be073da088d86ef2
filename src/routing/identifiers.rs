//! Identifiers that all routing messages share.

use serde::{Deserialize, Serialize};

/// Identifier of a request that this gateway has received from a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Identifier of a member (primary or replica) of some group. Members get small numbers in the
/// order in which they are first listed.
#[derive(Deserialize, Serialize, Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberId(pub u32);

/// Identifier of a group, that is, one primary and its replicas.
#[derive(
    Deserialize, Serialize, Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord,
)]
pub struct GroupId(pub i64);

/// Identifier of an availability zone, as an opaque number.
#[derive(
    Deserialize, Serialize, Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord,
)]
pub struct ZoneId(pub u32);

/// Identifier of a client session, as an opaque number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SessionId(pub u64);

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

impl SessionId {
    /// Returns the identifier of a session name, which is the same in every process (FNV-1a).
    pub fn of(name: &[u8]) -> Self {
        let step = |hash: u64, &byte: &u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        SessionId(name.iter().fold(FNV_OFFSET_BASIS, step))
    }
}
