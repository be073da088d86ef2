//! Messages that wait to be sent, by gateway.

use crate::codec::{self, LeaseMessage};
use crate::Action;
use std::collections::BTreeMap;

/// Messages that wait to be packed into datagrams.
#[derive(Default)]
pub(crate) struct Outbox {
    messages: BTreeMap<u32, Vec<LeaseMessage>>,
}

impl Outbox {
    /// Adds a message to the gateway with this number.
    pub(crate) fn push(&mut self, to: u32, message: LeaseMessage) {
        self.messages.entry(to).or_default().push(message);
    }

    /// Packs all messages into datagrams, in the order of the gateways' numbers, and empties the outbox.
    pub(crate) fn pack(&mut self, sender_generation: u16, actions: &mut Vec<Action>) {
        for (to, messages) in std::mem::take(&mut self.messages) {
            for chunk in messages.chunks(codec::MAX_MESSAGES) {
                let bytes = codec::encode(sender_generation, chunk);
                actions.push(Action::Send { to, bytes });
            }
        }
    }
}
