//! 16-bit numbers that wrap and are compared in serial-number arithmetic (RFC 1982): generations, incarnations and the
//! sequence numbers of pings.
//!
//! Two processes of one gateway, before and after a restart, differ in their generation, and the later one takes
//! precedence if it is less than 2^15 generations later. This also holds when the generation wraps from 65,535 to 0,
//! because the comparison continues across the wrap.

use irisrouter_cluster_types::Generation;
use std::cmp::Ordering;
use std::fmt;

/// A 16-bit number that wraps. Its order is that of [`compare_serial`], which is not transitive.
pub trait SerialNumber: Copy {
    /// Returns the number as an integer.
    #[must_use]
    fn value(self) -> u16;

    /// Returns the next number; 0 follows the largest.
    #[must_use]
    fn next(self) -> Self;

    /// Compares two numbers with [`compare_serial`].
    #[must_use]
    fn compare_serial(self, other: Self) -> Ordering {
        compare_serial(self.value(), other.value())
    }
}

/// Compares two 16-bit serial numbers (RFC 1982). If they are exactly 2^15 apart, for which the RFC leaves the order
/// undefined, the result is `Less`.
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

/// The sequence number of a ping or a ping request; acks are matched with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct SequenceNumber(pub u16);

impl SequenceNumber {
    /// Returns how many steps after `earlier` this number is, counted across the wrap.
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

/// Formats the number as an integer, for log lines and the console.
impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
