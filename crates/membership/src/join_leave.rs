//! Joining and leaving the fleet, and the search for members that are not alive.

use crate::codec::{Message, MAX_UPDATES};
use crate::member_update::MemberUpdate;
use crate::membership::Membership;
use crate::serial_number::Incarnation;
use crate::view::Liveness;
use irisrouter_cluster_types::{GatewayId, GatewayProcess, Timestamp};
use rand::RngExt;

impl Membership {
    /// Announces this member to these peers, at start; the owner passes a few of the fleet's list.
    pub fn join(&mut self, now: Timestamp, peers: &[GatewayId]) {
        self.advance_clock(now);
        let local = self.local.process.gateway;
        let fleet_size = self.settings.fleet_size;
        let is_other_member = |peer: &&GatewayId| **peer != local && peer.0 < fleet_size;
        for &peer in peers.iter().filter(is_other_member) {
            // Random, as peers that are asked for the same part of the list would all answer with the same members.
            let list_from = Some(GatewayId(self.rng.random_range(0..fleet_size)));
            self.send(peer, Message::Join { list_from });
        }
    }

    /// Announces to a few members that this one stops, so that others need not wait for a suspicion, and does nothing
    /// from then on.
    pub fn leave(&mut self, now: Timestamp) {
        self.advance_clock(now);
        let recipients = self.settings.indirect_pings;
        for gateway in self.random_alive_except(recipients, self.local.process.gateway) {
            self.send(gateway, Message::Leave);
        }
        self.local.has_left = true;
    }

    /// Holds down a member that announced that it stops.
    pub(crate) fn process_leave(&mut self, source: GatewayProcess, incarnation: Incarnation) {
        self.detector.pings.end(source.gateway);
        self.set_member(source, incarnation, Liveness::Down);
        self.dissemination.add(source.gateway);
    }

    /// Sends a join to one member that is unknown or down, at random. After a partition each side holds the other down,
    /// and without this neither would contact the other again.
    pub(crate) fn rejoin(&mut self) {
        let absent = self.absent_members();
        if absent.is_empty() {
            self.timers.end_rejoin_backoff(&self.settings);
            return;
        }
        let gateway = absent[self.rng.random_range(0..absent.len())];
        let list_from = self.first_unknown_from(gateway);
        let updates = self.update_if_down(gateway).into_iter().collect();
        self.send_with_updates(gateway, Message::Join { list_from }, updates);
    }

    /// The members but this one that are unknown or down.
    fn absent_members(&self) -> Vec<GatewayId> {
        self.view
            .members()
            .filter(|member| matches!(member.liveness, Liveness::Unknown | Liveness::Down))
            .map(|member| member.process.gateway)
            .filter(|&gateway| gateway != self.local.process.gateway)
            .collect()
    }

    /// All gateways of the fleet's list in ascending order, from this one on and continuing at 0 after the last.
    fn gateways_from(&self, start: GatewayId) -> impl Iterator<Item = GatewayId> {
        let fleet_size = self.settings.fleet_size;
        // A start that was received may lie outside the list.
        let start = start.0 % fleet_size;
        (0..fleet_size).map(move |offset| GatewayId((start + offset) % fleet_size))
    }

    /// The first unknown member from this one on, continuing at 0 after the last member.
    fn first_unknown_from(&self, start: GatewayId) -> Option<GatewayId> {
        self.gateways_from(start).find(|&gateway| {
            gateway != self.local.process.gateway && self.view.is(gateway, Liveness::Unknown)
        })
    }

    /// The report that a member is down, if this one holds it down.
    fn update_if_down(&self, gateway: GatewayId) -> Option<MemberUpdate> {
        self.update_about(gateway).filter(|update| update.down)
    }

    /// Answers a join with a part of the view: as many members as fit, from this one on, continuing at 0 after the
    /// last member.
    pub(crate) fn send_member_list(&mut self, to: GatewayId, list_from: Option<GatewayId>) {
        let updates = list_from.map_or_else(Vec::new, |start| self.member_list(to, start));
        self.send_exactly(to, Message::MemberList, updates);
    }

    /// The updates of a member list, without those about the recipient and about this member.
    fn member_list(&self, recipient: GatewayId, start: GatewayId) -> Vec<MemberUpdate> {
        self.gateways_from(start)
            .filter(|&gateway| gateway != recipient && gateway != self.local.process.gateway)
            .filter_map(|gateway| self.update_about(gateway))
            .take(MAX_UPDATES)
            .collect()
    }

    /// Requests the next part of a member list, if the part that was just merged contained something new. Otherwise two
    /// members that both know nothing more would send each other joins without end.
    pub(crate) fn continue_join(&mut self, from: GatewayId, updates: &[MemberUpdate]) {
        let Some(last) = updates.last() else {
            return;
        };
        let contained_news = updates
            .iter()
            .any(|update| self.changed_just_now(update.process.gateway));
        if !contained_news {
            return;
        }
        // The last number was received and may lie outside the list, up to the largest of its type.
        let next = GatewayId(last.process.gateway.0.wrapping_add(1));
        let list_from = self.first_unknown_from(next);
        if list_from.is_some() {
            self.send(from, Message::Join { list_from });
        }
    }

    /// Whether the row of a member changed at the current time.
    fn changed_just_now(&self, gateway: GatewayId) -> bool {
        let member = self.view.member(gateway);
        member.is_some_and(|member| member.since == self.now)
    }
}
