//! What the caller of [`LeaseManager`](crate::LeaseManager) has to do.

use irisrouter_cluster_types::{Epoch, GatewayId, GatewayProcess, TaskId};

/// Why a lease was acquired or lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseChange {
    /// Acquired: nobody held it.
    Vacant,
    /// Acquired: a voter had granted the lease to this process before, and that grant had expired or was given up. It may
    /// never have held the lease: a voter does not know whether a majority granted it too, and where two candidates claim at
    /// once, each may be the one that a voter granted last.
    TakenOver(GatewayProcess),
    /// Lost: it expired before it was renewed.
    Expired,
    /// Lost: another gateway holds it under a later epoch.
    Superseded,
    /// Lost: it was handed over to the first candidate, this gateway.
    HandedOver(GatewayId),
    /// Lost: this gateway is in a minority partition, or stops.
    Stopped,
    /// Lost: the task no longer exists.
    TaskRemoved,
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
    /// This gateway holds a lease from now on: log and count it.
    Acquired {
        /// The task.
        task: TaskId,
        /// The fencing token.
        epoch: Epoch,
        /// Why: nobody held it, or it was taken over.
        change: LeaseChange,
    },
    /// This gateway no longer holds a lease: log and count it.
    Lost {
        /// The task.
        task: TaskId,
        /// The fencing token that is over.
        epoch: Epoch,
        /// Why it is over.
        change: LeaseChange,
    },
}
