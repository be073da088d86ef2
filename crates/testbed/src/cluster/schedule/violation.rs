//! The rules that can be violated in the run of a schedule.

use super::Fault;
use crate::cluster::leases::LeaseViolation;
use crate::cluster::ClusterError;
use serde::{Serialize, Serializer};
use std::fmt;
use std::time::Duration;

/// The observation by one gateway that another one is down.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// The gateway that declares the other one down.
    pub observer: usize,
    /// The gateway that is declared down.
    pub member: usize,
}

/// Prints the pair `(observer, member)`, which keeps the messages of a failed schedule short.
impl fmt::Debug for Observation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("")
            .field(&self.observer)
            .field(&self.member)
            .finish()
    }
}

/// Why a fault did not have its required effects.
#[derive(Debug, thiserror::Error)]
pub enum FaultError {
    /// A crashed gateway did not start again.
    #[error(transparent)]
    Launch(#[from] ClusterError),
    /// Not all expected observations were made within the bound.
    #[error("not declared down within {bound:?}, as (observer, gateway): {missing:?}")]
    Undetected {
        /// The bound.
        bound: Duration,
        /// The expected observations that were not made.
        missing: Vec<Observation>,
    },
    /// A gateway was declared down by an observer that still received its datagrams.
    #[error("declared down though running and reachable, as (observer, gateway): {wrong:?}")]
    FalselyDeclaredDown {
        /// The observations that must not have been made.
        wrong: Vec<Observation>,
    },
}

/// A rule that was violated in the run of a schedule. It is serialized as its `Display` text.
#[derive(Debug, thiserror::Error)]
pub enum ScheduleViolation {
    /// The gateways' views of one another did not agree in time before the first fault.
    #[error("the gateways' views did not agree before the first fault")]
    NotSettled,
    /// A fault did not have its required effects.
    #[error("fault {index}, {fault:?}: {source}")]
    Fault {
        /// The number of the fault, counted from 0.
        index: usize,
        /// The fault.
        fault: Fault,
        /// The effect that was missing or wrong.
        source: FaultError,
    },
    /// The views did not agree within the healing bound after a fault.
    #[error("after fault {index}, {fault:?}: the views do not agree: {views:?}")]
    ViewsDiffer {
        /// The number of the fault, counted from 0.
        index: usize,
        /// The fault.
        fault: Fault,
        /// The view of each running gateway.
        views: Vec<Vec<String>>,
    },
    /// A rule of the leases did not hold.
    #[error("{0}")]
    Lease(LeaseViolation),
    /// A gateway sent a datagram that is longer than the platform carries.
    #[error("a gateway sent a datagram longer than the platform carries")]
    DatagramTooLong,
}

impl Serialize for ScheduleViolation {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
