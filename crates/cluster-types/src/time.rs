//! Instants and durations in whole milliseconds. The cluster packages take the time from their callers and compute with
//! integers, so that the same events produce the same results on every machine.

use std::fmt;
use std::ops::{Add, AddAssign, Div, Mul, Sub};
use std::time::Duration;

/// A duration in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Milliseconds(pub u64);

/// An instant on the caller's monotonic clock, in milliseconds since the origin of that clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Timestamp(u64);

/// An instant of wall-clock time, in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct UnixMilliseconds(pub u64);

impl Milliseconds {
    /// The zero duration.
    pub const ZERO: Self = Self(0);

    /// Subtracts a duration. Returns zero if `other` is longer.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Adds a duration. Returns the longest duration if the sum overflows.
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Multiplies the duration. Returns the longest duration if the product overflows.
    #[must_use]
    pub const fn saturating_mul(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl Timestamp {
    /// The origin of the caller's clock.
    pub const ZERO: Self = Self(0);
    /// The latest instant. As a due time it means never.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates the instant this many milliseconds after the origin.
    #[must_use]
    pub const fn from_millis(milliseconds: u64) -> Self {
        Self(milliseconds)
    }

    /// Returns the number of milliseconds since the origin.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the duration since the origin.
    #[must_use]
    pub const fn since_origin(self) -> Milliseconds {
        Milliseconds(self.0)
    }

    /// Returns the duration since an earlier instant, or zero if `earlier` is in fact later.
    #[must_use]
    pub const fn saturating_duration_since(self, earlier: Self) -> Milliseconds {
        Milliseconds(self.0.saturating_sub(earlier.0))
    }

    /// Returns the instant that is `duration` earlier, or the origin if that would be before the origin.
    #[must_use]
    pub const fn saturating_sub(self, duration: Milliseconds) -> Self {
        Self(self.0.saturating_sub(duration.0))
    }

    /// Returns the instant that is `duration` later, or [`Timestamp::MAX`] on overflow.
    #[must_use]
    pub const fn saturating_add(self, duration: Milliseconds) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

impl UnixMilliseconds {
    /// Returns the duration since an earlier instant, or zero if `earlier` is in fact later.
    #[must_use]
    pub const fn saturating_duration_since(self, earlier: Self) -> Milliseconds {
        Milliseconds(self.0.saturating_sub(earlier.0))
    }

    /// Returns the instant that is `duration` earlier, or the Unix epoch if that would be before the epoch.
    #[must_use]
    pub const fn saturating_sub(self, duration: Milliseconds) -> Self {
        Self(self.0.saturating_sub(duration.0))
    }
}

impl Add<Milliseconds> for Timestamp {
    type Output = Self;

    fn add(self, duration: Milliseconds) -> Self {
        Self(self.0 + duration.0)
    }
}

impl AddAssign<Milliseconds> for Timestamp {
    fn add_assign(&mut self, duration: Milliseconds) {
        self.0 += duration.0;
    }
}

impl Add<Milliseconds> for UnixMilliseconds {
    type Output = Self;

    fn add(self, duration: Milliseconds) -> Self {
        Self(self.0 + duration.0)
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
    fn from(duration: Milliseconds) -> Self {
        Duration::from_millis(duration.0)
    }
}

/// Formats the plain number, without a unit.
impl fmt::Display for Milliseconds {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
