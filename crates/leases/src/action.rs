//! What the caller of [`LeaseManager`](crate::LeaseManager) has to do.

use crate::{Holder, TaskId};

/// Why a lease was acquired or lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseChange {
    /// Acquired: nobody held it.
    Vacant,
    /// Acquired: the lease of this holder had expired or was given up.
    TakenOver(Holder),
    /// Lost: it expired before it was renewed.
    Expired,
    /// Lost: another gateway holds it under a later epoch.
    Superseded,
    /// Lost: it was handed over to the first candidate, the gateway with this number.
    HandedOver(u32),
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
        /// The gateway's number.
        to: u32,
        /// The datagram, at most 256 bytes long.
        bytes: Vec<u8>,
    },
    /// This gateway holds a lease from now on: log and count it.
    Acquired {
        /// The task.
        task: TaskId,
        /// The fencing token.
        epoch: u64,
        /// Who held it before.
        change: LeaseChange,
    },
    /// This gateway no longer holds a lease: log and count it.
    Lost {
        /// The task.
        task: TaskId,
        /// The fencing token that is over.
        epoch: u64,
        /// Why.
        change: LeaseChange,
    },
}
