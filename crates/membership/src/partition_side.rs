//! The estimate of which side of a network partition this gateway is on. It is based on the view and on the answers to
//! the gateway's own pings.

use std::collections::VecDeque;

/// Number of a gateway's most recent pings whose outcomes count for its side of a partition.
pub const RECENT_PINGS: usize = 16;

/// The counts by which a gateway estimates which side of a network partition it is on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartitionSide {
    /// Number of members alive in the view, this gateway included; suspect members are not counted.
    pub reachable: u32,
    /// Number of gateways in the fleet's list.
    pub fleet_size: u32,
    /// How many of the `recent_pings` were answered in their first round.
    pub answered_pings: u32,
    /// Number of this gateway's scheduled pings that are taken into account; at most [`RECENT_PINGS`].
    pub recent_pings: u32,
}

impl PartitionSide {
    /// Returns whether this side has a majority: more than half of the fleet is reachable, and at least half of the
    /// gateway's own recent pings were answered. Only such a side may claim leases, which need a majority.
    ///
    /// The pings are considered because in a large fleet it takes many protocol periods until all members on the other
    /// side of a partition are down in the view, while the gateway's own pings to them fail from the start.
    #[must_use]
    pub const fn has_majority(&self) -> bool {
        2 * self.reachable > self.fleet_size && 2 * self.answered_pings >= self.recent_pings
    }

    /// Returns whether no other member is reachable, or none of the last [`RECENT_PINGS`] pings was answered. The
    /// gateway then behaves as if sharing between gateways were turned off.
    #[must_use]
    pub const fn is_alone(&self) -> bool {
        self.reachable <= 1
            || (self.answered_pings == 0 && self.recent_pings as usize == RECENT_PINGS)
    }
}

/// The outcome of the first round of a scheduled ping.
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

    /// Returns how many of the recorded pings were answered; at most [`RECENT_PINGS`].
    pub(crate) fn answered(&self) -> u32 {
        let answered = |outcome: &&PingOutcome| **outcome == PingOutcome::Answered;
        self.0.iter().filter(answered).count() as u32
    }

    /// Returns how many pings are recorded; at most [`RECENT_PINGS`].
    pub(crate) fn len(&self) -> u32 {
        self.0.len() as u32
    }
}
