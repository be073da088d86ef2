//! Pings that this member sent at the request of others, so that their acks can be forwarded.

use std::collections::VecDeque;

/// How many relayed pings without an ack are remembered, at most: the oldest is dropped for a new one.
const MAX_RELAYED_PINGS: usize = 64;

/// A ping that was sent at the request of another member.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RelayedPing {
    /// The sequence number of the ping to the target.
    pub sequence: u16,
    /// The member that was pinged.
    pub target: u32,
    /// The member that requested it.
    pub requester: u32,
    /// The sequence number of the request.
    pub requester_sequence: u16,
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

    /// Removes and returns the relayed ping that this ack from member `target` answers.
    pub(crate) fn take_answered(&mut self, target: u32, sequence: u16) -> Option<RelayedPing> {
        let answered = |ping: &RelayedPing| ping.sequence == sequence && ping.target == target;
        let index = self.0.iter().position(answered)?;
        self.0.remove(index)
    }
}
