//! Which changes are passed on to other members: each a bounded number of times, the least transmitted first.

use irisrouter_cluster_types::GatewayId;
use std::collections::BTreeMap;

/// The members whose rows changed and are to be passed on; at most one entry for each member.
#[derive(Debug, Clone, Default)]
pub struct DisseminationQueue {
    /// How often each member's row was transmitted since it was added.
    transmissions: BTreeMap<GatewayId, u32>,
}

/// A member whose row may be passed on. Ordered by the number of transmissions, then by the number of the gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    transmissions: u32,
    gateway: GatewayId,
}

impl DisseminationQueue {
    /// Adds a member, with no transmissions yet; an entry that it already has starts over.
    pub fn add(&mut self, gateway: GatewayId) {
        self.transmissions.insert(gateway, 0);
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
