//! Which changes are passed on to other members: each a bounded number of times, the least transmitted first.

use std::collections::BTreeMap;

/// The members whose rows changed and are to be passed on; at most one entry for each member.
#[derive(Debug, Clone, Default)]
pub struct DisseminationQueue {
    /// How often each member's row was transmitted since it was added.
    transmissions: BTreeMap<u32, u32>,
}

impl DisseminationQueue {
    /// Adds member `number`, with no transmissions yet; an entry that it already has starts over.
    pub fn add(&mut self, number: u32) {
        self.transmissions.insert(number, 0);
    }

    /// Whether there is nothing to pass on.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.transmissions.is_empty()
    }

    /// Takes up to `count` members for one datagram to `recipient`, which is not sent what is known of itself.
    ///
    /// The least transmitted come first, then those with lower numbers. Each is counted as transmitted, and is removed
    /// from the queue after `max_transmissions`.
    pub fn take(&mut self, count: usize, recipient: u32, max_transmissions: u32) -> Vec<u32> {
        let mut candidates: Vec<(u32, u32)> = self
            .transmissions
            .iter()
            .filter(|(&number, _)| number != recipient)
            .map(|(&number, &transmissions)| (transmissions, number))
            .collect();
        candidates.sort_unstable();
        candidates.truncate(count);
        for &(transmissions, number) in &candidates {
            if transmissions + 1 >= max_transmissions {
                self.transmissions.remove(&number);
            } else {
                self.transmissions.insert(number, transmissions + 1);
            }
        }
        candidates.into_iter().map(|(_, number)| number).collect()
    }
}
