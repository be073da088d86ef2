//! Which side of a network partition this gateway is on, judged by its view and by the answers to its own pings.

use std::collections::VecDeque;

/// How many of its own last pings a gateway judges its side by.
pub const RECENT_PINGS: usize = 16;

/// Which side of a partition this gateway is on, as far as it can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartitionSide {
    /// Members alive in the view, this one included; suspect members are not counted.
    pub reachable: u32,
    /// Gateways in the fleet's list.
    pub fleet_size: u32,
    /// How many of the last [`RECENT_PINGS`] members pinged by this gateway answered in their first round.
    pub answered_pings: u32,
    /// How many members were pinged, up to [`RECENT_PINGS`].
    pub recent_pings: u32,
}

impl PartitionSide {
    /// Whether more than half of the fleet is reachable: only such a side may claim leases, which need a majority.
    ///
    /// Half of the gateway's own recent pings must have been answered too. In a large fleet it takes many periods until
    /// the view holds down all members behind a partition, while the gateway's own pings fail from the start.
    #[must_use]
    pub const fn has_majority(&self) -> bool {
        2 * self.reachable > self.fleet_size && 2 * self.answered_pings >= self.recent_pings
    }

    /// Whether no other member is reachable: the gateway then acts as it does with sharing turned off.
    #[must_use]
    pub const fn is_alone(&self) -> bool {
        self.reachable <= 1
            || (self.answered_pings == 0 && self.recent_pings as usize == RECENT_PINGS)
    }
}

/// The outcome of the first round of pings to one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PingOutcome {
    Answered,
    Missed,
}

/// The outcomes of the last [`RECENT_PINGS`] pings.
#[derive(Debug, Clone, Default)]
pub(crate) struct PingHistory(VecDeque<PingOutcome>);

impl PingHistory {
    pub(crate) fn record(&mut self, outcome: PingOutcome) {
        if self.0.len() == RECENT_PINGS {
            self.0.pop_front();
        }
        self.0.push_back(outcome);
    }

    /// How many of the pings were answered; at most [`RECENT_PINGS`].
    pub(crate) fn answered(&self) -> u32 {
        let answered = |outcome: &&PingOutcome| **outcome == PingOutcome::Answered;
        self.0.iter().filter(answered).count() as u32
    }

    /// How many pings are recorded; at most [`RECENT_PINGS`].
    pub(crate) fn len(&self) -> u32 {
        self.0.len() as u32
    }
}
