//! Actions that the caller of [`LeaseManager`](crate::LeaseManager) has to carry out.

use irisrouter_cluster_types::{Epoch, GatewayId, GatewayProcess, TaskId};

/// Why a lease was acquired or lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseChange {
    /// Acquired: no voter that granted the lease had granted it to another process before.
    Vacant,
    /// Acquired: a voter had granted the lease to the process named here before, and that grant has expired or was
    /// released. The process may never have held the lease. A voter does not know whether a majority granted the lease
    /// too, and if two candidates claim at the same time, each of them may be the latest one to which a voter granted
    /// it.
    TakenOver(GatewayProcess),
    /// Lost: it expired before it was renewed.
    Expired,
    /// Lost: another gateway holds it under a later epoch.
    Superseded,
    /// Lost: this gateway handed it over to the first candidate, which is the gateway named here.
    HandedOver(GatewayId),
    /// Lost: this gateway released it because it is in a minority partition or stops.
    Stopped,
    /// Lost: the task no longer exists.
    TaskRemoved,
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
    /// This gateway has acquired a lease. The caller logs and counts this.
    Acquired {
        /// The task.
        task: TaskId,
        /// The fencing token.
        epoch: Epoch,
        /// Whether the lease was vacant or was taken over.
        change: LeaseChange,
    },
    /// This gateway no longer holds a lease. The caller logs and counts this.
    Lost {
        /// The task.
        task: TaskId,
        /// The fencing token, which is no longer valid.
        epoch: Epoch,
        /// Why the lease was lost.
        change: LeaseChange,
    },
}
