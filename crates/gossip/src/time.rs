//! Instants and durations in nanoseconds, the unit of the gateway's clock.

use std::ops::{Add, Mul, Sub};

/// A duration in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Nanoseconds(pub i64);

/// An instant of wall-clock time, in nanoseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnixNanoseconds(pub i64);

const NANOS_PER_MS: i64 = 1_000_000;

impl Nanoseconds {
    /// Creates a duration of this many milliseconds.
    #[must_use]
    pub const fn from_millis(milliseconds: i64) -> Self {
        Self(milliseconds * NANOS_PER_MS)
    }
}

impl UnixNanoseconds {
    /// Creates the instant this many milliseconds after the Unix epoch.
    #[must_use]
    pub const fn from_millis(milliseconds: i64) -> Self {
        Self(milliseconds * NANOS_PER_MS)
    }

    /// Returns the number of whole milliseconds since the Unix epoch, rounded down.
    #[must_use]
    pub const fn as_millis(self) -> i64 {
        self.0.div_euclid(NANOS_PER_MS)
    }
}

impl Add<Nanoseconds> for UnixNanoseconds {
    type Output = Self;

    fn add(self, duration: Nanoseconds) -> Self {
        Self(self.0 + duration.0)
    }
}

impl Sub<Nanoseconds> for UnixNanoseconds {
    type Output = Self;

    fn sub(self, duration: Nanoseconds) -> Self {
        Self(self.0 - duration.0)
    }
}

impl Sub for UnixNanoseconds {
    type Output = Nanoseconds;

    fn sub(self, earlier: Self) -> Nanoseconds {
        Nanoseconds(self.0 - earlier.0)
    }
}

impl Mul<Nanoseconds> for i64 {
    type Output = Nanoseconds;

    fn mul(self, duration: Nanoseconds) -> Nanoseconds {
        Nanoseconds(self * duration.0)
    }
}
