//! Retry storms: detection, retry budgets, scheduled retries for rejected clients, and leases of a recovering host's
//! budget. `docs/storms.md` compares the alternatives.
//!
//! The package does no I/O and has no clock and no randomness: the caller passes the time, and random numbers between
//! 0 and 1. It remembers retries, reservations and leases. Which member gets a request and what is rejected is decided by
//! the routing policy.

pub mod budget_lease;
pub mod decaying_count;
pub mod detector;
pub mod recovery_schedule;
pub mod retry_budget;

/// A point in time on the caller's clock, or a duration, in nanoseconds.
pub type Nanos = i64;

/// A millisecond.
pub const MILLISECOND: Nanos = 1_000_000;

/// A second.
pub const SECOND: Nanos = 1_000_000_000;
