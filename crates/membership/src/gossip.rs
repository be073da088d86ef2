//! Sending of datagrams. Queued updates about changed members are piggybacked on all datagrams except member lists. As
//! long as updates are queued, gossip is also sent periodically, so that they spread where no other datagram carries
//! them.

use crate::action::Action;
use crate::codec::{self, Datagram, Message, MAX_UPDATES};
use crate::member_update::MemberUpdate;
use crate::membership::Membership;
use irisrouter_cluster_types::{GatewayId, GatewayProcess};

impl Membership {
    /// Sends queued updates to `gossip_fanout` randomly chosen members.
    pub(crate) fn send_gossip(&mut self) {
        let fanout = self.settings.gossip_fanout;
        for gateway in self.random_alive_except(fanout, self.local.process.gateway) {
            // The previous datagrams may have taken the last queued updates.
            if !self.dissemination.is_empty() {
                self.send(gateway, Message::Gossip);
            }
        }
    }

    /// Sends a message with as many queued updates as fit.
    pub(crate) fn send(&mut self, to: GatewayId, message: Message) {
        self.send_with_updates(to, message, Vec::new());
    }

    /// Sends a message with the given updates, followed by as many queued updates as fit.
    pub(crate) fn send_with_updates(
        &mut self,
        to: GatewayId,
        message: Message,
        mut updates: Vec<MemberUpdate>,
    ) {
        let free_slots = MAX_UPDATES - updates.len().min(MAX_UPDATES);
        let max_transmissions = self.settings.max_transmissions();
        for gateway in self.dissemination.take(free_slots, to, max_transmissions) {
            updates.extend(self.update_about(gateway));
        }
        self.send_exactly(to, message, updates);
    }

    /// Sends a message with the given updates only.
    pub(crate) fn send_exactly(
        &mut self,
        to: GatewayId,
        message: Message,
        updates: Vec<MemberUpdate>,
    ) {
        let outside_list = GatewayProcess::first(to);
        let destination = self
            .view
            .member(to)
            .map_or(outside_list, |member| member.process);
        let bytes = codec::encode(&Datagram {
            source: self.local.process,
            incarnation: self.local.incarnation,
            destination,
            message,
            updates,
        });
        self.actions.push(Action::Send { to, bytes });
    }
}
