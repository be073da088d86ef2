//! Joining and leaving the fleet, and the search for members that are not alive.

use crate::codec::{Message, MAX_UPDATES};
use crate::member_update::MemberUpdate;
use crate::membership::Membership;
use crate::node::Node;
use crate::view::{Liveness, Millis};
use rand::RngExt;

impl Membership {
    /// Announces this member to the peers with these numbers, at start; the owner passes a few of the fleet's list.
    pub fn join(&mut self, now: Millis, peers: &[u32]) {
        self.advance_clock(now);
        let local = self.local.node.number;
        let fleet_size = self.settings.fleet_size;
        let is_other_member = |&&number: &&u32| number != local && number < fleet_size;
        for &number in peers.iter().filter(is_other_member) {
            // Random, as peers that are asked for the same part of the list would all answer with the same members.
            let list_from = Some(self.rng.random_range(0..fleet_size));
            self.send(number, Message::Join { list_from });
        }
    }

    /// Announces to a few members that this one stops, so that others need not wait for a suspicion, and does nothing
    /// from then on.
    pub fn leave(&mut self, now: Millis) {
        self.advance_clock(now);
        let recipients = self.settings.indirect_pings;
        for number in self.random_alive_except(recipients, self.local.node.number) {
            self.send(number, Message::Leave);
        }
        self.local.has_left = true;
    }

    /// Holds down a member that announced that it stops.
    pub(crate) fn process_leave(&mut self, source: Node, incarnation: u16) {
        self.detector.pings.end(source.number);
        self.set_member(source, incarnation, Liveness::Down);
        self.dissemination.add(source.number);
    }

    /// Sends a join to one member that is unknown or down, at random. After a partition each side holds the other down,
    /// and without this neither would contact the other again.
    pub(crate) fn rejoin(&mut self) {
        let absent = self.absent_members();
        if absent.is_empty() {
            self.timers.end_rejoin_backoff(&self.settings);
            return;
        }
        let number = absent[self.rng.random_range(0..absent.len())];
        let list_from = self.first_unknown_from(number);
        let updates = self.update_if_down(number).into_iter().collect();
        self.send_with_updates(number, Message::Join { list_from }, updates);
    }

    /// The members but this one that are unknown or down.
    fn absent_members(&self) -> Vec<u32> {
        let is_absent = |liveness| matches!(liveness, Liveness::Unknown | Liveness::Down);
        self.view
            .members()
            .filter(|(number, member)| {
                *number != self.local.node.number && is_absent(member.liveness)
            })
            .map(|(number, _)| number)
            .collect()
    }

    /// The first unknown member from this number on, continuing at 0 after the last member.
    fn first_unknown_from(&self, start: u32) -> Option<u32> {
        let fleet_size = self.settings.fleet_size;
        (0..fleet_size)
            .map(|offset| (start + offset) % fleet_size)
            .find(|&number| {
                number != self.local.node.number && self.view.is(number, Liveness::Unknown)
            })
    }

    /// The report that a member is down, if this one holds it down.
    fn update_if_down(&self, number: u32) -> Option<MemberUpdate> {
        self.update_about(number).filter(|update| update.down)
    }

    /// Answers a join with a part of the view: as many members as fit, from this number on, continuing at 0 after the
    /// last member.
    pub(crate) fn send_member_list(&mut self, to: u32, list_from: Option<u32>) {
        let updates = list_from.map_or_else(Vec::new, |start| self.member_list(to, start));
        self.send_exactly(to, Message::MemberList, updates);
    }

    fn member_list(&self, recipient: u32, start: u32) -> Vec<MemberUpdate> {
        let fleet_size = self.settings.fleet_size;
        (0..fleet_size)
            .map(|offset| (start % fleet_size + offset) % fleet_size)
            .filter(|&number| number != recipient && number != self.local.node.number)
            .filter_map(|number| self.update_about(number))
            .take(MAX_UPDATES)
            .collect()
    }

    /// Requests the next part of a member list, if the part that was just merged contained something new. Otherwise two
    /// members that both know nothing more would send each other joins without end.
    pub(crate) fn continue_join(&mut self, from: u32, updates: &[MemberUpdate]) {
        let Some(last) = updates.last() else {
            return;
        };
        let contained_news = updates
            .iter()
            .any(|update| self.changed_just_now(update.node.number));
        if !contained_news {
            return;
        }
        let next = (last.node.number + 1) % self.settings.fleet_size;
        if let Some(unknown) = self.first_unknown_from(next) {
            let list_from = Some(unknown);
            self.send(from, Message::Join { list_from });
        }
    }

    fn changed_just_now(&self, number: u32) -> bool {
        let member = self.view.member(number);
        member.is_some_and(|member| member.since == self.now)
    }
}
