//! Timestamps and time deltas, both in whole nanoseconds, with a type for each.
//!
//! Both are stored and serialized as an `i64`. Their operators are those of `i64`: an overflow
//! panics where overflow checks are enabled, and wraps elsewhere.

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Div, Mul, Sub};

/// Nanoseconds in a millisecond.
const NANOS_PER_MILLI: i64 = 1_000_000;
/// Nanoseconds in a second.
const NANOS_PER_SECOND: i64 = 1_000_000_000;

/// A point in time on the clock that `Router::batch` is called with, in nanoseconds since the
/// clock's origin.
///
/// A replication position is a timestamp, too: the member has applied all commits up to then.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Timestamp(i64);

/// A length of time in nanoseconds. The difference from a timestamp to an earlier one is negative.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct TimeDelta(i64);

impl Timestamp {
    /// The origin of the clock. As the time of a past event, it stands for "never".
    pub const ZERO: Self = Self(0);
    /// The earliest timestamp.
    pub const MIN: Self = Self(i64::MIN);
    /// The latest timestamp: something that is due then is never due.
    pub const MAX: Self = Self(i64::MAX);

    /// Returns the timestamp this many nanoseconds after the clock's origin.
    #[must_use]
    pub const fn from_nanos(nanoseconds: i64) -> Self {
        Self(nanoseconds)
    }

    /// Returns the nanoseconds since the clock's origin.
    #[must_use]
    pub const fn as_nanos(self) -> i64 {
        self.0
    }

    /// Returns the timestamp that is later by this length of time, or the earliest or latest one on
    /// overflow.
    #[must_use]
    pub const fn saturating_add(self, length: TimeDelta) -> Self {
        Self(self.0.saturating_add(length.0))
    }

    /// Returns the time since another timestamp, or the minimum or maximum length on overflow.
    #[must_use]
    pub const fn saturating_since(self, other: Self) -> TimeDelta {
        TimeDelta(self.0.saturating_sub(other.0))
    }
}

impl TimeDelta {
    /// A length of zero.
    pub const ZERO: Self = Self(0);
    /// The shortest length above zero.
    pub const NANOSECOND: Self = Self(1);
    /// The maximum length.
    pub const MAX: Self = Self(i64::MAX);

    /// Creates a length of this many nanoseconds.
    #[must_use]
    pub const fn from_nanos(nanoseconds: i64) -> Self {
        Self(nanoseconds)
    }

    /// Creates a length of this many milliseconds.
    #[must_use]
    pub const fn from_millis(milliseconds: i64) -> Self {
        Self(milliseconds * NANOS_PER_MILLI)
    }

    /// Creates a length of this many seconds.
    #[must_use]
    pub const fn from_secs(seconds: i64) -> Self {
        Self(seconds * NANOS_PER_SECOND)
    }

    /// Creates a length of this many nanoseconds, rounded towards zero. A number out of range
    /// becomes the nearest length that can be represented, and NaN becomes zero.
    #[must_use]
    pub const fn from_nanos_f64(nanoseconds: f64) -> Self {
        Self(nanoseconds as i64)
    }

    /// Returns the length in nanoseconds.
    #[must_use]
    pub const fn as_nanos(self) -> i64 {
        self.0
    }

    /// Returns the length in nanoseconds, rounded to the nearest `f64`.
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

/// Returns how many whole times the other length fits into this one.
impl Div for TimeDelta {
    type Output = i64;

    fn div(self, divisor: TimeDelta) -> i64 {
        self.0 / divisor.0
    }
}
