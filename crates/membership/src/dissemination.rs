//! The queue of changes to disseminate. Each change is transmitted a bounded number of times, the least transmitted
//! first.

use irisrouter_cluster_types::GatewayId;
use std::collections::BTreeMap;

/// The members whose changed rows remain to be disseminated; at most one entry per member.
#[derive(Debug, Clone, Default)]
pub struct DisseminationQueue {
    /// Number of transmissions of each member's row since it was last added.
    transmissions: BTreeMap<GatewayId, u32>,
}

/// A member whose row may be sent. The derived order, by transmissions and then by gateway, is the order of selection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    transmissions: u32,
    gateway: GatewayId,
}

impl DisseminationQueue {
    /// Adds a member with a transmission count of 0. If the member is in the queue already, its count is reset to 0.
    pub fn add(&mut self, gateway: GatewayId) {
        self.transmissions.insert(gateway, 0);
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.transmissions.is_empty()
    }

    /// Selects up to `count` members for one datagram to `recipient`; the recipient's own row is not among them.
    ///
    /// The least transmitted members are selected first, and among equals those with lower numbers. The transmission
    /// count of each is incremented; a member that reaches `max_transmissions` is removed from the queue.
    pub fn take(
        &mut self,
        count: usize,
        recipient: GatewayId,
        max_transmissions: u32,
    ) -> Vec<GatewayId> {
        let mut candidates = self.candidates_for(recipient);
        candidates.sort_unstable();
        candidates.truncate(count);
        for candidate in &candidates {
            self.record_transmission(candidate, max_transmissions);
        }
        candidates
            .into_iter()
            .map(|candidate| candidate.gateway)
            .collect()
    }

    fn candidates_for(&self, recipient: GatewayId) -> Vec<Candidate> {
        self.transmissions
            .iter()
            .filter(|(&gateway, _)| gateway != recipient)
            .map(|(&gateway, &transmissions)| Candidate {
                transmissions,
                gateway,
            })
            .collect()
    }

    fn record_transmission(&mut self, candidate: &Candidate, max_transmissions: u32) {
        let transmissions = candidate.transmissions + 1;
        if transmissions >= max_transmissions {
            self.transmissions.remove(&candidate.gateway);
        } else {
            self.transmissions.insert(candidate.gateway, transmissions);
        }
    }
}
