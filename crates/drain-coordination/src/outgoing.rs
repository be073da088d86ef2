//! Queue of messages to other gateways, which are packed into as few datagrams as possible.

use crate::action::Action;
use crate::codec::{self, Message};
use irisrouter_cluster_types::GatewayId;
use std::collections::BTreeMap;

/// Messages to be sent at the end of one step of the coordinator, by recipient.
pub(crate) struct OutgoingMessages {
    local_gateway: GatewayId,
    by_recipient: BTreeMap<GatewayId, Vec<Message>>,
}

impl OutgoingMessages {
    /// Creates an empty queue.
    pub(crate) const fn new(local_gateway: GatewayId) -> Self {
        Self {
            local_gateway,
            by_recipient: BTreeMap::new(),
        }
    }

    /// Adds a message to another gateway. A message to the local gateway is discarded.
    pub(crate) fn push(&mut self, recipient: GatewayId, message: Message) {
        if recipient != self.local_gateway {
            self.by_recipient
                .entry(recipient)
                .or_default()
                .push(message);
        }
    }

    /// Removes all messages and returns the actions that send them.
    pub(crate) fn take_datagrams(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        for (to, messages) in std::mem::take(&mut self.by_recipient) {
            for part in messages.chunks(codec::MAX_MESSAGES) {
                let bytes = codec::encode(part);
                actions.push(Action::Send { to, bytes });
            }
        }
        actions
    }
}
