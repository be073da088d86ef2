//! Roles in a replica set: the loss of a primary, its detection, and the election of a successor.

use super::messages::Output;
use super::{Event, Fleet};
use crate::host::State;
use crate::rng::{Rng, Stream};
use crate::spec::ValueOrRange;
use crate::{seconds, HostId, Ns, SetId, MS};

/// Time until the next election if no member is eligible.
const ELECTION_RETRY_DELAY: Ns = 500 * MS;

impl Fleet {
    /// Draws a delay of a role change. The random numbers depend only on the seed, the set and the number of its
    /// earlier draws, so that the elections of two paired runs take equally long.
    pub(super) fn draw_role_delay(&mut self, set: SetId, range: ValueOrRange) -> Ns {
        let replica_set = &mut self.sets[set.0 as usize];
        replica_set.role_delays_drawn += 1;
        let draw_id = u64::from(set.0).rotate_left(32) ^ u64::from(replica_set.role_delays_drawn);
        seconds(range.draw(&mut Rng::new(self.random.seed ^ draw_id, Stream::Fleet)))
    }

    /// Handles a primary that stops answering: the replicas' positions stop advancing, and the primary is declared lost
    /// after the detection time.
    pub(super) fn lose_primary(&mut self, now: Ns, set: SetId) {
        let detection_delay = self.draw_role_delay(set, self.spec.sets.detect_s);
        let replica_set = &mut self.sets[set.0 as usize];
        if replica_set.primary_since.take().is_some() {
            replica_set.last_position = now;
        }
        replica_set.term += 1;
        let term = replica_set.term;
        if let Some(old) = replica_set.primary {
            self.hosts[old.0 as usize]
                .applier
                .catch_up(now, replica_set.source(&self.day));
        }
        self.outputs.push(Output::Primary { set, host: None });
        self.schedule(now + detection_delay, Event::PrimaryTimeout { set, term });
    }

    /// Declares the primary lost if it has not resumed within the detection time, and schedules an election.
    pub(super) fn declare_primary_lost(&mut self, now: Ns, set: SetId, term: u32) {
        let election_delay = self.draw_role_delay(set, self.spec.sets.elect_s);
        let replica_set = &mut self.sets[set.0 as usize];
        if replica_set.term == term && replica_set.primary_since.is_none() {
            replica_set.primary = None;
            self.schedule(now + election_delay, Event::Elect { set, term });
        }
    }

    /// Elects the eligible member that has applied the most commits; among equals, the first.
    pub(super) fn elect_primary(&mut self, now: Ns, set: SetId, term: u32) {
        let replica_set = &self.sets[set.0 as usize];
        if replica_set.term != term || replica_set.primary_since.is_some() {
            return;
        }
        let source = replica_set.source(&self.day);
        let mut best: Option<(u64, HostId)> = None;
        for &id in &replica_set.members {
            let member = &mut self.hosts[id.0 as usize];
            if member.state != State::Up || member.condition.draining {
                continue;
            }
            member.applier.advance(now, source);
            if best.is_none_or(|(most_applied, _)| member.applier.applied() > most_applied) {
                best = Some((member.applier.applied(), id));
            }
        }
        let Some((_, new_primary)) = best else {
            return self.schedule(now + ELECTION_RETRY_DELAY, Event::Elect { set, term });
        };
        self.hosts[new_primary.0 as usize]
            .applier
            .catch_up(now, source);
        let replica_set = &mut self.sets[set.0 as usize];
        replica_set.primary = Some(new_primary);
        replica_set.primary_since = Some(now);
        replica_set.term += 1;
        self.outputs.push(Output::Primary {
            set,
            host: Some(new_primary),
        });
    }
}
