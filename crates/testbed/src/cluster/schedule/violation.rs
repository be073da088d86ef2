//! What did not hold in the run of a schedule.

use super::Fault;
use crate::cluster::leases::LeaseViolation;
use crate::cluster::ClusterError;
use serde::{Serialize, Serializer};
use std::fmt;
use std::time::Duration;

/// An observer that declares a gateway down, both by their numbers.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// The gateway that declares.
    pub observer: usize,
    /// The gateway that is declared down.
    pub member: usize,
}

/// Written as a pair, as the messages of a failed schedule have it.
impl fmt::Debug for Observation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("")
            .field(&self.observer)
            .field(&self.member)
            .finish()
    }
}

/// Why a fault did not have the effect that it must have.
#[derive(Debug, thiserror::Error)]
pub enum FaultError {
    /// A crashed gateway did not start again.
    #[error(transparent)]
    Launch(#[from] ClusterError),
    /// Some gateways were not declared down within the bound.
    #[error("not seen down in {bound:?}, as (observer, gateway): {missing:?}")]
    Undetected {
        /// The bound.
        bound: Duration,
        /// The observations that are missing.
        missing: Vec<Observation>,
    },
    /// Some gateways were declared down though the observer could hear them.
    #[error("declared down though alive and heard, as (observer, gateway): {wrong:?}")]
    FalselyDeclaredDown {
        /// The wrong observations.
        wrong: Vec<Observation>,
    },
}

/// A rule that did not hold in the run of a schedule. It is serialized as its text.
#[derive(Debug, thiserror::Error)]
pub enum ScheduleViolation {
    /// The gateways' views of one another did not become one before the first fault.
    #[error("the fleet did not come to see itself whole")]
    NotSettled,
    /// A fault did not have the effect that it must have.
    #[error("fault {index}, {fault:?}: {source}")]
    Fault {
        /// The number of the fault, counted from 0.
        index: usize,
        /// The fault.
        fault: Fault,
        /// What was wrong.
        source: FaultError,
    },
    /// The views did not become one within the bound after a fault.
    #[error("after fault {index}, {fault:?}: no one view: {views:?}")]
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
    /// A gateway sent a datagram that the platform would not carry.
    #[error("a datagram was longer than the platform carries")]
    DatagramTooLong,
}

impl Serialize for ScheduleViolation {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
