//! Retry storms: seen as they happen, damped, and told to clients. `docs/storms.md` weighs the ways.
//!
//! No I/O, no clock, no randomness of its own: the time and a number between 0 and 1 are handed in. It owns what is
//! remembered of returns, repeats and loans; which member is asked and what is turned away stays with the decision
//! module.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod budget_lease;
pub mod detector;
pub mod recovery_schedule;
pub mod retry_budget;

/// A point in time on the caller's clock, or a length of time, in nanoseconds.
pub type Ns = i64;

/// A millisecond.
pub const MS: Ns = 1_000_000;

/// A second.
pub const SECOND: Ns = 1_000_000_000;
