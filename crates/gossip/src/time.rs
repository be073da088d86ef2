//! Instants and lengths of time in nanoseconds, as the gateway's clock gives them.

use std::ops::{Add, Mul, Sub};

/// A length of time in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Nanoseconds(pub i64);

/// An instant of Unix time, in nanoseconds since the epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnixNanoseconds(pub i64);

const NANOS_PER_MS: i64 = 1_000_000;

impl Nanoseconds {
    /// This many milliseconds.
    #[must_use]
    pub const fn from_millis(milliseconds: i64) -> Self {
        Self(milliseconds * NANOS_PER_MS)
    }
}

impl UnixNanoseconds {
    /// This many milliseconds after the epoch.
    #[must_use]
    pub const fn from_millis(milliseconds: i64) -> Self {
        Self(milliseconds * NANOS_PER_MS)
    }

    /// Whole milliseconds since the epoch, rounded down.
    #[must_use]
    pub const fn as_millis(self) -> i64 {
        self.0.div_euclid(NANOS_PER_MS)
    }
}

impl Add<Nanoseconds> for UnixNanoseconds {
    type Output = Self;

    fn add(self, length: Nanoseconds) -> Self {
        Self(self.0 + length.0)
    }
}

impl Sub<Nanoseconds> for UnixNanoseconds {
    type Output = Self;

    fn sub(self, length: Nanoseconds) -> Self {
        Self(self.0 - length.0)
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

    fn mul(self, length: Nanoseconds) -> Nanoseconds {
        Nanoseconds(self * length.0)
    }
}
