//! Instants and lengths of time: whole nanoseconds, with a type for each.
//!
//! Both count in an `i64` and are serialized as that number. Their operators are those of `i64`:
//! an overflow panics where overflow checks are on, and wraps elsewhere.

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Div, Mul, Sub};

/// Nanoseconds in a millisecond.
const NANOS_PER_MILLI: i64 = 1_000_000;
/// Nanoseconds in a second.
const NANOS_PER_SECOND: i64 = 1_000_000_000;

/// A point on the batch clock, in nanoseconds since the clock's origin.
///
/// A replication position is a point in time, too: the member has applied all commits up to then.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Timestamp(i64);

/// A length of time in nanoseconds. It is negative from an instant to an earlier one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct TimeDelta(i64);

impl Timestamp {
    /// The origin of the clock. It stands for "never" where a time in the past is asked for.
    pub const ZERO: Self = Self(0);
    /// Before any other instant.
    pub const MIN: Self = Self(i64::MIN);
    /// After any other instant: what is due then is never due.
    pub const MAX: Self = Self(i64::MAX);

    /// The instant this many nanoseconds after the clock's origin.
    #[must_use]
    pub const fn from_nanos(nanoseconds: i64) -> Self {
        Self(nanoseconds)
    }

    /// Nanoseconds since the clock's origin.
    #[must_use]
    pub const fn as_nanos(self) -> i64 {
        self.0
    }

    /// The instant this length of time later; the earliest or the latest one where that overflows.
    #[must_use]
    pub const fn saturating_add(self, length: TimeDelta) -> Self {
        Self(self.0.saturating_add(length.0))
    }

    /// The time since another instant; the shortest or the longest one where that overflows.
    #[must_use]
    pub const fn saturating_since(self, other: Self) -> TimeDelta {
        TimeDelta(self.0.saturating_sub(other.0))
    }
}

impl TimeDelta {
    /// No time at all.
    pub const ZERO: Self = Self(0);
    /// The shortest time that can be told from none.
    pub const NANOSECOND: Self = Self(1);
    /// The longest time.
    pub const MAX: Self = Self(i64::MAX);

    /// This many nanoseconds.
    #[must_use]
    pub const fn from_nanos(nanoseconds: i64) -> Self {
        Self(nanoseconds)
    }

    /// This many milliseconds.
    #[must_use]
    pub const fn from_millis(milliseconds: i64) -> Self {
        Self(milliseconds * NANOS_PER_MILLI)
    }

    /// This many seconds.
    #[must_use]
    pub const fn from_secs(seconds: i64) -> Self {
        Self(seconds * NANOS_PER_SECOND)
    }

    /// This many nanoseconds, rounded towards zero. A number that is too large becomes the longest
    /// time, and one that is not a number none at all.
    #[must_use]
    pub const fn from_nanos_f64(nanoseconds: f64) -> Self {
        Self(nanoseconds as i64)
    }

    /// The length in nanoseconds.
    #[must_use]
    pub const fn as_nanos(self) -> i64 {
        self.0
    }

    /// The length in nanoseconds, rounded to the nearest `f64`.
    #[must_use]
    pub const fn as_nanos_f64(self) -> f64 {
        self.0 as f64
    }
}

impl Add<TimeDelta> for Timestamp {
    type Output = Timestamp;

    fn add(self, length: TimeDelta) -> Timestamp {
        Timestamp(self.0 + length.0)
    }
}

impl AddAssign<TimeDelta> for Timestamp {
    fn add_assign(&mut self, length: TimeDelta) {
        self.0 += length.0;
    }
}

impl Sub<TimeDelta> for Timestamp {
    type Output = Timestamp;

    fn sub(self, length: TimeDelta) -> Timestamp {
        Timestamp(self.0 - length.0)
    }
}

impl Sub for Timestamp {
    type Output = TimeDelta;

    fn sub(self, earlier: Timestamp) -> TimeDelta {
        TimeDelta(self.0 - earlier.0)
    }
}

impl Add for TimeDelta {
    type Output = TimeDelta;

    fn add(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0 + other.0)
    }
}

impl Sub for TimeDelta {
    type Output = TimeDelta;

    fn sub(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0 - other.0)
    }
}

impl Mul<i64> for TimeDelta {
    type Output = TimeDelta;

    fn mul(self, factor: i64) -> TimeDelta {
        TimeDelta(self.0 * factor)
    }
}

impl Mul<TimeDelta> for i64 {
    type Output = TimeDelta;

    fn mul(self, length: TimeDelta) -> TimeDelta {
        TimeDelta(self * length.0)
    }
}

impl Div<i64> for TimeDelta {
    type Output = TimeDelta;

    fn div(self, divisor: i64) -> TimeDelta {
        TimeDelta(self.0 / divisor)
    }
}

/// How many whole times the other length fits into this one.
impl Div for TimeDelta {
    type Output = i64;

    fn div(self, divisor: TimeDelta) -> i64 {
        self.0 / divisor.0
    }
}
