//! Buffer for outgoing messages, by destination gateway.

use crate::codec::{self, LeaseMessage};
use crate::Action;
use irisrouter_cluster_types::{GatewayId, Generation};
use std::collections::BTreeMap;

/// Messages that are waiting to be packed into datagrams, by destination gateway.
#[derive(Default)]
pub(crate) struct Outbox {
    messages: BTreeMap<GatewayId, Vec<LeaseMessage>>,
}

impl Outbox {
    /// Adds a message for gateway `to`.
    pub(crate) fn push(&mut self, to: GatewayId, message: LeaseMessage) {
        self.messages.entry(to).or_default().push(message);
    }

    /// Packs all messages into datagrams, in ascending order of the gateway ids, and empties the outbox.
    pub(crate) fn pack(&mut self, sender_generation: Generation, actions: &mut Vec<Action>) {
        for (to, messages) in std::mem::take(&mut self.messages) {
            for chunk in messages.chunks(codec::MAX_MESSAGES) {
                let bytes = codec::encode(sender_generation, chunk);
                actions.push(Action::Send { to, bytes });
            }
        }
    }
}
