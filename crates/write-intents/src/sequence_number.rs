//! Sequence numbers, by which a message that arrives late is distinguished from a later one.

/// Number of a write intent or of a look-up. A gateway numbers its intents and look-ups in the order in which it begins
/// them. The numbers of a process are larger than those of the earlier processes of the same gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SequenceNumber(pub u64);

impl SequenceNumber {
    /// Returns the number that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }
}
