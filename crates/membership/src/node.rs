//! The identity of a gateway process: its number in the fleet's list of peers and the generation of the process.
//!
//! Two processes of one gateway (before and after a restart) share the number and differ in the generation; the later
//! one wins. Generations and incarnations wrap at 2^16 and are compared in serial-number arithmetic (RFC 1982), so a
//! gateway that restarted 65,535 times still wins against its own older process.

use std::cmp::Ordering;

/// One gateway process. Six bytes on the wire: number, then generation, both big-endian.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Node {
    /// Index into the fleet's list of peers (`peers` in the platform's configuration).
    pub number: u32,
    /// Grows with each start of the process, modulo 2^16.
    pub generation: u16,
}

impl Node {
    /// The gateway with this number, in its first generation.
    #[must_use]
    pub const fn first(number: u32) -> Self {
        Self {
            number,
            generation: 0,
        }
    }

    /// Whether `self` is a later generation than `other`, in serial-number arithmetic.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        compare_serial(self.generation, other.generation) == Ordering::Greater
    }

    /// The same gateway in the generation after this one.
    #[must_use]
    pub const fn next_generation(&self) -> Self {
        Self {
            number: self.number,
            generation: self.generation.wrapping_add(1),
        }
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
