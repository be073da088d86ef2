//! Numbers that wrap at 2^16 and are compared in serial-number arithmetic (RFC 1982): generations, incarnations and the
//! sequence numbers of pings.
//!
//! Two processes of one gateway (before and after a restart) differ in the generation, and the later one wins; also where
//! the gateway restarted 65,535 times, as the comparison continues across the wrap.

use irisrouter_cluster_types::Generation;
use std::cmp::Ordering;
use std::fmt;

/// A 16-bit number that wraps. Its order is that of [`compare_serial`], which is not transitive.
pub trait SerialNumber: Copy {
    /// The plain number.
    #[must_use]
    fn value(self) -> u16;

    /// The number that follows; 0 follows the largest.
    #[must_use]
    fn next(self) -> Self;

    /// Compares by [`compare_serial`].
    #[must_use]
    fn compare_serial(self, other: Self) -> Ordering {
        compare_serial(self.value(), other.value())
    }
}

/// Compares two 16-bit serial numbers (RFC 1982). At the distance of exactly 2^15, which the RFC leaves undefined, the
/// result is `Less`.
#[must_use]
pub fn compare_serial(left: u16, right: u16) -> Ordering {
    match left.wrapping_sub(right) {
        0 => Ordering::Equal,
        1..=0x7fff => Ordering::Greater,
        _ => Ordering::Less,
    }
}

/// SWIM's incarnation number: a process raises its own to refute a report that it is down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Incarnation(pub u16);

impl Incarnation {
    /// The incarnation in which each process starts.
    pub const FIRST: Self = Self(0);
}

/// The sequence number of a ping or of a ping request, by which an ack is matched with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct SequenceNumber(pub u16);

impl SequenceNumber {
    /// How many numbers this one is after another, across the wrap.
    #[must_use]
    pub const fn distance_from(self, earlier: Self) -> u16 {
        self.0.wrapping_sub(earlier.0)
    }
}

macro_rules! serial_number {
    ($($number:ty),+) => {
        $(impl SerialNumber for $number {
            fn value(self) -> u16 {
                self.0
            }

            fn next(self) -> Self {
                Self(self.0.wrapping_add(1))
            }
        })+
    };
}

serial_number!(Generation, Incarnation, SequenceNumber);

/// The plain number, as log lines and the console show it.
impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
