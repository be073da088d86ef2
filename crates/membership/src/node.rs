//! A gateway as a member: its number in the fleet's list of peers, and the generation of the process that runs it.
//!
//! Two processes of one gateway (a restart, or a stall that outlived its suspicion) share the number and differ in the
//! generation; foca keeps the newer one. Generations wrap at 2^16 and are compared in serial-number arithmetic
//! (RFC 1982), so a gateway that restarted 65,535 times still wins against its own older self.

use foca::Identity;

/// One gateway process, as the others know it. Six bytes on the wire: number then generation, both big-endian.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Node {
    /// Index into the fleet's list of peers (`peers` in the platform's configuration).
    pub number: u32,
    /// Raised by one at each new start of the process, and when the process learns it was declared down.
    pub generation: u16,
}

impl Node {
    /// The gateway with this number, in its first generation.
    #[must_use]
    pub const fn first(number: u32) -> Self {
        Self { number, generation: 0 }
    }

    /// Whether `self` is a later generation than `other` (serial-number arithmetic on 16 bits).
    #[must_use]
    pub const fn newer_than(&self, other: &Self) -> bool {
        let ahead = self.generation.wrapping_sub(other.generation);
        ahead != 0 && ahead < 0x8000
    }
}

impl Identity for Node {
    type Addr = u32;

    /// Danger guarded against: a process declared down by a stall would otherwise stay down until an operator acted.
    fn renew(&self) -> Option<Self> {
        Some(Self { number: self.number, generation: self.generation.wrapping_add(1) })
    }

    fn addr(&self) -> u32 {
        self.number
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.newer_than(adversary)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn later_generations_win_across_the_wrap() {
        let old = Node { number: 3, generation: u16::MAX };
        let new = old.renew().expect("renews");
        assert_eq!(new.generation, 0);
        assert!(new.win_addr_conflict(&old));
        assert!(!old.win_addr_conflict(&new));
        assert!(!old.win_addr_conflict(&old));
    }
}
