//! Actions that the caller of [`IntentStore`](crate::IntentStore) has to carry out.

use crate::SequenceNumber;
use irisrouter_cluster_types::{GatewayId, UnixMilliseconds};

/// Identifies a record operation or a look-up that this gateway has started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub SequenceNumber);

/// The outcome of a record operation or a look-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Record operation: enough replicas acknowledged it, and the write may be sent.
    Recorded,
    /// Record operation: too few replicas acknowledged it, and the write must not be sent.
    NotRecorded,
    /// Look-up: the write may have run from this time on.
    MayHaveRunSince(UnixMilliseconds),
    /// Look-up: the write was never sent.
    NeverSent,
    /// Look-up: too few gateways answered, so the write may have run.
    Unproven,
}

/// An action that the caller has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram to a gateway.
    Send {
        /// The gateway.
        to: GatewayId,
        /// The datagram, at most 256 bytes long.
        bytes: Vec<u8>,
    },
    /// A record operation or a look-up has ended.
    Ended {
        /// The id that `IntentStore::record` or `IntentStore::look_up` returned.
        operation: OperationId,
        /// The outcome of the operation.
        outcome: Outcome,
    },
}
