//! Instants and durations in whole milliseconds. A package is given the time by its caller and computes with integers, so
//! that the same events give the same results everywhere.

use std::fmt;
use std::ops::{Add, AddAssign, Div, Mul, Sub};
use std::time::Duration;

/// A length of time in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Milliseconds(pub u64);

/// An instant on the caller's monotonic clock, in milliseconds since that clock's origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Timestamp(u64);

/// An instant of wall-clock time, in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct UnixMilliseconds(pub u64);

impl Milliseconds {
    /// No time at all.
    pub const ZERO: Self = Self(0);

    /// This length less another one; zero where the other one is longer.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// This length and another one; the longest length where the sum does not fit.
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// This length, this many times; the longest length where the product does not fit.
    #[must_use]
    pub const fn saturating_mul(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl Timestamp {
    /// The origin of the caller's clock.
    pub const ZERO: Self = Self(0);
    /// Later than any other instant: what is due then is never due.
    pub const MAX: Self = Self(u64::MAX);

    /// The instant at which this many milliseconds have passed since the origin.
    #[must_use]
    pub const fn from_millis(milliseconds: u64) -> Self {
        Self(milliseconds)
    }

    /// Milliseconds since the origin.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The time since the origin.
    #[must_use]
    pub const fn since_origin(self) -> Milliseconds {
        Milliseconds(self.0)
    }

    /// The time since an earlier instant; zero where that one is later.
    #[must_use]
    pub const fn saturating_duration_since(self, earlier: Self) -> Milliseconds {
        Milliseconds(self.0.saturating_sub(earlier.0))
    }

    /// This length of time before the instant; the origin where the clock had not begun by then.
    #[must_use]
    pub const fn saturating_sub(self, length: Milliseconds) -> Self {
        Self(self.0.saturating_sub(length.0))
    }

    /// This length of time after the instant; [`Timestamp::MAX`] where that is beyond the clock's end.
    #[must_use]
    pub const fn saturating_add(self, length: Milliseconds) -> Self {
        Self(self.0.saturating_add(length.0))
    }
}

impl UnixMilliseconds {
    /// The time since an earlier instant; zero where that one is later.
    #[must_use]
    pub const fn saturating_duration_since(self, earlier: Self) -> Milliseconds {
        Milliseconds(self.0.saturating_sub(earlier.0))
    }

    /// This length of time before the instant; the Unix epoch where it was later than that.
    #[must_use]
    pub const fn saturating_sub(self, length: Milliseconds) -> Self {
        Self(self.0.saturating_sub(length.0))
    }
}

impl Add<Milliseconds> for Timestamp {
    type Output = Self;

    fn add(self, length: Milliseconds) -> Self {
        Self(self.0 + length.0)
    }
}

impl AddAssign<Milliseconds> for Timestamp {
    fn add_assign(&mut self, length: Milliseconds) {
        self.0 += length.0;
    }
}

impl Add<Milliseconds> for UnixMilliseconds {
    type Output = Self;

    fn add(self, length: Milliseconds) -> Self {
        Self(self.0 + length.0)
    }
}

impl Add for Milliseconds {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }
}

impl Sub for Milliseconds {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0 - other.0)
    }
}

impl Mul<u64> for Milliseconds {
    type Output = Self;

    fn mul(self, factor: u64) -> Self {
        Self(self.0 * factor)
    }
}

impl Div<u64> for Milliseconds {
    type Output = Self;

    fn div(self, divisor: u64) -> Self {
        Self(self.0 / divisor)
    }
}

impl From<Milliseconds> for Duration {
    fn from(length: Milliseconds) -> Self {
        Duration::from_millis(length.0)
    }
}

/// The plain number, without its unit.
impl fmt::Display for Milliseconds {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
