//! Sending: each datagram carries updates about members that changed (piggybacking), and a periodic gossip carries them
//! where no other datagram does.

use crate::action::Action;
use crate::codec::{self, Datagram, Message, MAX_UPDATES};
use crate::member_update::MemberUpdate;
use crate::membership::Membership;
use crate::node::Node;

impl Membership {
    /// Sends updates to a few members, at random.
    pub(crate) fn send_gossip(&mut self) {
        let fanout = self.settings.gossip_fanout;
        for number in self.random_alive_except(fanout, self.local.node.number) {
            // The datagrams before this one may have taken the last updates.
            if !self.dissemination.is_empty() {
                self.send(number, Message::Gossip);
            }
        }
    }

    /// Sends a message, with as many queued updates as fit.
    pub(crate) fn send(&mut self, to: u32, message: Message) {
        self.send_with_updates(to, message, Vec::new());
    }

    /// Sends a message with these updates first, and then as many queued ones as fit.
    pub(crate) fn send_with_updates(
        &mut self,
        to: u32,
        message: Message,
        mut updates: Vec<MemberUpdate>,
    ) {
        let room = MAX_UPDATES - updates.len().min(MAX_UPDATES);
        let max_transmissions = self.settings.max_transmissions();
        for number in self.dissemination.take(room, to, max_transmissions) {
            updates.extend(self.update_about(number));
        }
        self.send_exactly(to, message, updates);
    }

    /// Sends a message with these updates only.
    pub(crate) fn send_exactly(&mut self, to: u32, message: Message, updates: Vec<MemberUpdate>) {
        let generation = self.view.member(to).map_or(0, |member| member.generation);
        let bytes = codec::encode(&Datagram {
            source: self.local.node,
            incarnation: self.local.incarnation,
            destination: Node {
                number: to,
                generation,
            },
            message,
            updates,
        });
        self.actions.push(Action::Send { to, bytes });
    }
}
