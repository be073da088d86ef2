//! A gateway as a member: its number in the fleet's list of peers, and the generation of the process that runs it.
//!
//! Two processes of one gateway (a restart) share the number and differ in the generation; the later one wins.
//! Generations and incarnations wrap at 2^16 and are compared in serial-number arithmetic (RFC 1982), so a gateway that
//! restarted 65,535 times still wins against its own older self.

use std::cmp::Ordering;

/// One gateway process, as the others know it. Six bytes on the wire: number then generation, both big-endian.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Node {
    /// Index into the fleet's list of peers (`peers` in the platform's configuration).
    pub number: u32,
    /// Later for each new start of the process.
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

    /// Whether `self` is a later generation than `other` (serial-number arithmetic on 16 bits).
    #[must_use]
    pub fn newer_than(&self, other: &Self) -> bool {
        serial(self.generation, other.generation) == Ordering::Greater
    }

    /// The generation after this one.
    #[must_use]
    pub const fn next(&self) -> Self {
        Self {
            number: self.number,
            generation: self.generation.wrapping_add(1),
        }
    }
}

/// Compares two 16-bit serial numbers (RFC 1982; the undefined distance of exactly 2^15 counts as less).
#[must_use]
pub fn serial(a: u16, b: u16) -> Ordering {
    match a.wrapping_sub(b) {
        0 => Ordering::Equal,
        1..=0x7fff => Ordering::Greater,
        _ => Ordering::Less,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn later_generations_win_across_the_wrap() {
        let old = Node {
            number: 3,
            generation: u16::MAX,
        };
        let new = old.next();
        assert_eq!(new.generation, 0);
        assert!(new.newer_than(&old));
        assert!(!old.newer_than(&new));
        assert!(!old.newer_than(&old));
    }
}
