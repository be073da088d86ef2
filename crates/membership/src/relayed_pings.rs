//! Pings that this member sent at the request of others, so that their acks can be forwarded.

use crate::serial_number::SequenceNumber;
use irisrouter_cluster_types::GatewayId;
use std::collections::VecDeque;

/// Maximum number of relayed pings without an ack that are remembered. A new one replaces the oldest.
const MAX_RELAYED_PINGS: usize = 64;

/// A ping that was sent at the request of another member.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RelayedPing {
    /// The sequence number of the ping to the target.
    pub sequence: SequenceNumber,
    /// The member that was pinged.
    pub target: GatewayId,
    /// The member that requested the ping.
    pub requester: GatewayId,
    /// The sequence number of the ping request, which is returned in the indirect ack.
    pub requester_sequence: SequenceNumber,
}

/// The relayed pings that wait for an ack, oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct RelayedPings(VecDeque<RelayedPing>);

impl RelayedPings {
    pub(crate) fn add(&mut self, ping: RelayedPing) {
        if self.0.len() == MAX_RELAYED_PINGS {
            self.0.pop_front();
        }
        self.0.push_back(ping);
    }

    /// Removes and returns the relayed ping that is answered by the ack of `target` with this sequence number.
    pub(crate) fn take_answered(
        &mut self,
        target: GatewayId,
        sequence: SequenceNumber,
    ) -> Option<RelayedPing> {
        let answered = |ping: &RelayedPing| ping.sequence == sequence && ping.target == target;
        let index = self.0.iter().position(answered)?;
        self.0.remove(index)
    }
}
