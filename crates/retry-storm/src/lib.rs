//! Handling of retry storms: detection, retry budgets, a retry schedule for rejected clients, and leases of a
//! recovering host's budget. `docs/storms.md` compares the alternatives.
//!
//! The package does no I/O, reads no clock and generates no random numbers: the caller passes the time, and random
//! numbers between 0 and 1. It keeps counts of recent retries, and it stores reservations and leases. The routing
//! policy decides which member gets a request and which requests are rejected.

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
