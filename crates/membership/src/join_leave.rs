//! Joining and leaving the fleet, and contacting members that are unknown or down.

use crate::codec::{Message, MAX_UPDATES};
use crate::member_update::MemberUpdate;
use crate::membership::Membership;
use crate::serial_number::Incarnation;
use crate::view::Liveness;
use irisrouter_cluster_types::{GatewayId, GatewayProcess, Timestamp};
use rand::RngExt;

impl Membership {
    /// Sends a join to the given peers when this member starts; the owner passes a few gateways of the fleet's list.
    pub fn join(&mut self, now: Timestamp, peers: &[GatewayId]) {
        self.advance_clock(now);
        let local = self.local.process.gateway;
        let fleet_size = self.settings.fleet_size;
        let is_other_member = |peer: &&GatewayId| **peer != local && peer.0 < fleet_size;
        for &peer in peers.iter().filter(is_other_member) {
            // Each peer is asked for a random part of the list because otherwise all of them would answer with the same
            // members.
            let list_from = Some(GatewayId(self.rng.random_range(0..fleet_size)));
            self.send(peer, Message::Join { list_from });
        }
    }

    /// Announces to a few members that this one leaves the fleet, so that it is declared down without a suspicion. The
    /// member takes no further action after that.
    pub fn leave(&mut self, now: Timestamp) {
        self.advance_clock(now);
        let recipients = self.settings.indirect_pings;
        for gateway in self.random_alive_except(recipients, self.local.process.gateway) {
            self.send(gateway, Message::Leave);
        }
        self.local.has_left = true;
    }

    /// Marks a member as down after it announced that it leaves the fleet.
    pub(crate) fn process_leave(&mut self, source: GatewayProcess, incarnation: Incarnation) {
        self.detector.pings.end(source.gateway);
        self.set_member(source, incarnation, Liveness::Down);
        self.dissemination.add(source.gateway);
    }

    /// Sends a join to a randomly chosen member that is unknown or down. After a partition each side considers the
    /// other down, and without these joins neither would contact the other again.
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

    /// Returns the members, except this one, that are unknown or down.
    fn absent_members(&self) -> Vec<GatewayId> {
        self.view
            .members()
            .filter(|member| matches!(member.liveness, Liveness::Unknown | Liveness::Down))
            .map(|member| member.process.gateway)
            .filter(|&gateway| gateway != self.local.process.gateway)
            .collect()
    }

    /// Returns all gateways of the fleet's list in ascending order, beginning with `start` and continuing with gateway
    /// 0 after the last.
    fn gateways_from(&self, start: GatewayId) -> impl Iterator<Item = GatewayId> {
        let fleet_size = self.settings.fleet_size;
        // A `start` that was received in a datagram may lie outside the list.
        let start = start.0 % fleet_size;
        (0..fleet_size).map(move |offset| GatewayId((start + offset) % fleet_size))
    }

    /// Returns the first unknown member in the order of [`Membership::gateways_from`].
    fn first_unknown_from(&self, start: GatewayId) -> Option<GatewayId> {
        self.gateways_from(start).find(|&gateway| {
            gateway != self.local.process.gateway
                && self.view.has_liveness(gateway, Liveness::Unknown)
        })
    }

    /// Returns the update about a member that is down in the view; `None` for any other member.
    fn update_if_down(&self, gateway: GatewayId) -> Option<MemberUpdate> {
        self.update_about(gateway).filter(|update| update.down)
    }

    /// Answers a join with as many members of the view as fit, in the order of [`Membership::gateways_from`]; the list
    /// is empty if none was requested.
    pub(crate) fn send_member_list(&mut self, to: GatewayId, list_from: Option<GatewayId>) {
        let updates = list_from.map_or_else(Vec::new, |start| self.member_list(to, start));
        self.send_exactly(to, Message::MemberList, updates);
    }

    /// Returns the updates of a member list; the recipient and this member are not among them.
    fn member_list(&self, recipient: GatewayId, start: GatewayId) -> Vec<MemberUpdate> {
        self.gateways_from(start)
            .filter(|&gateway| gateway != recipient && gateway != self.local.process.gateway)
            .filter_map(|gateway| self.update_about(gateway))
            .take(MAX_UPDATES)
            .collect()
    }

    /// Requests the next part of a member list, but only if the part that was just merged changed the view. Without
    /// this condition, two members that have no new information for each other would exchange joins endlessly.
    pub(crate) fn continue_join(&mut self, from: GatewayId, updates: &[MemberUpdate]) {
        let Some(last) = updates.last() else {
            return;
        };
        let view_changed = updates
            .iter()
            .any(|update| self.changed_now(update.process.gateway));
        if !view_changed {
            return;
        }
        // The addition wraps because the last number was received in a datagram: it may lie outside the fleet's list,
        // and may even be `u32::MAX`.
        let next = GatewayId(last.process.gateway.0.wrapping_add(1));
        let list_from = self.first_unknown_from(next);
        if list_from.is_some() {
            self.send(from, Message::Join { list_from });
        }
    }

    /// Returns whether the row of a member changed at the current time.
    fn changed_now(&self, gateway: GatewayId) -> bool {
        let member = self.view.member(gateway);
        member.is_some_and(|member| member.since == self.now)
    }
}
