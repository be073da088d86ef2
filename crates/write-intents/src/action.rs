//! What the caller of [`IntentStore`](crate::IntentStore) has to do.

use irisrouter_cluster_types::{GatewayId, UnixMilliseconds};

/// The number of a record or look-up that this gateway has started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub u64);

/// The result of a record or a look-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Record: enough replicas acknowledged it, and the write may be sent.
    Recorded,
    /// Record: too few replicas answered, and the write may not be sent.
    NotRecorded,
    /// Look-up: the write may have run from this time on.
    MayHaveRunSince(UnixMilliseconds),
    /// Look-up: the write was never sent.
    NeverSent,
    /// Look-up: too few gateways answered.
    Unproven,
}

/// What the caller has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram to a gateway.
    Send {
        /// The gateway.
        to: GatewayId,
        /// The datagram, at most 256 bytes long.
        bytes: Vec<u8>,
    },
    /// A record or look-up of the caller's has ended.
    Ended {
        /// As returned by `IntentStore::record` or `IntentStore::look_up`.
        operation: OperationId,
        /// Its result.
        outcome: Outcome,
    },
}
