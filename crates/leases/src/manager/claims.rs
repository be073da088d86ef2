//! Claiming, renewing and giving up leases.

use super::{LeaseManager, PartitionSide};
use crate::codec::{LeaseMessage, MessageKind};
use crate::task_state::PreVote;
use crate::{Action, LeaseChange};
use irisrouter_cluster_types::{Epoch, TaskId, Timestamp};

impl LeaseManager {
    /// Performs the work that is due for a task: renews its lease, hands it over or ends it if this gateway holds it,
    /// and otherwise advances the claim.
    pub(super) fn process_due_task(&mut self, now: Timestamp, task: TaskId) {
        let Some(state) = self.tasks.get(&task) else {
            return;
        };
        match state.held_epoch {
            Some(epoch) => self.maintain_held_lease(now, task, epoch),
            None => self.advance_claim(now, task),
        }
    }

    /// As the holder, reports that the lease has expired, hands it over to the first candidate, or renews it.
    fn maintain_held_lease(&mut self, now: Timestamp, task: TaskId, epoch: Epoch) {
        let settings = self.settings;
        let Some(state) = self.tasks.get_mut(&task) else {
            return;
        };
        if state.claim.token(now, settings.terms()).is_none() {
            state.held_epoch = None;
            state.end_claim_and_back_off(now, settings);
            let change = LeaseChange::Expired;
            self.actions.push(Action::Lost {
                task,
                epoch,
                change,
            });
            return;
        }
        state.outranked_since = match state.candidacy.rank {
            0 => None,
            _ => state.outranked_since.or(Some(now)),
        };
        let handover_due = state
            .outranked_since
            .is_some_and(|since| now >= since + settings.handover_delay());
        if handover_due {
            let first = state.candidacy.first;
            self.relinquish(now, task, LeaseChange::HandedOver(first));
            return;
        }
        let valid_until = state.claim.valid_until(settings.terms());
        let renewal_due = valid_until.saturating_sub(settings.renewal_lead());
        if now < renewal_due {
            state.next_due = renewal_due;
            return;
        }
        self.request_grants(now, task);
    }

    /// Returns whether this gateway may claim leases.
    pub(super) fn may_claim(&self) -> bool {
        self.side == PartitionSide::Majority && !self.stopped
    }

    /// As a gateway that does not hold the lease, starts a pre-vote, requests the grants again, or ends the claim.
    fn advance_claim(&mut self, now: Timestamp, task: TaskId) {
        let settings = self.settings;
        let may_claim = self.may_claim();
        let Some(state) = self.tasks.get_mut(&task) else {
            return;
        };
        if !may_claim || !state.candidacy.is_candidate() {
            state.claim.end();
            state.pre_vote = None;
            state.next_due = now + settings.lease_duration;
        } else if state.claim.epoch().is_none() {
            self.start_pre_vote(now, task);
        } else if now >= state.claim_started + settings.lease_duration {
            self.abandon_claim(now, task);
        } else {
            self.request_grants(now, task);
        }
    }

    /// Ends a claim that no majority has granted within the duration of one lease after its start. Releases the grants
    /// of single voters so that another candidate can obtain them.
    fn abandon_claim(&mut self, now: Timestamp, task: TaskId) {
        let settings = self.settings;
        self.release_epoch(now, task);
        if let Some(state) = self.tasks.get_mut(&task) {
            state.end_claim_and_back_off(now, settings);
        }
    }

    /// Asks all voters whether they would grant a request, before any request is sent.
    ///
    /// A claim without a majority takes the grants of single voters away from other candidates, and its later epoch
    /// ends the lease of a healthy holder. Without the pre-vote, two candidates on standby could prevent a task from
    /// having any holder for as long as they repeated their claims.
    fn start_pre_vote(&mut self, now: Timestamp, task: TaskId) {
        self.last_pre_vote_round = self.last_pre_vote_round.wrapping_add(1);
        let round = self.last_pre_vote_round;
        let Some(state) = self.tasks.get_mut(&task) else {
            return;
        };
        state.pre_vote = Some(PreVote {
            round,
            vacant_voters: Vec::new(),
        });
        state.next_due = now + self.settings.request_interval();
        let message = LeaseMessage {
            round,
            ..LeaseMessage::new(MessageKind::PreVote, task, Epoch::default())
        };
        self.ask_voters(now, &message);
    }

    /// Starts a claim after a pre-vote in which a majority of the voters answered that they would grant it.
    pub(super) fn start_claim(&mut self, now: Timestamp, task: TaskId) {
        let unix_now = self.clock_origin + now.since_origin();
        let Some(state) = self.tasks.get_mut(&task) else {
            return;
        };
        state.pre_vote = None;
        state.claim.start(Epoch(unix_now.0));
        state.claim_started = now;
        state.previous_holder = None;
        self.request_grants(now, task);
    }

    /// Sends all voters a round of requests for the epoch that this gateway claims or holds.
    fn request_grants(&mut self, now: Timestamp, task: TaskId) {
        let Some(state) = self.tasks.get_mut(&task) else {
            return;
        };
        let Some(epoch) = state.claim.epoch() else {
            return;
        };
        let round = state.claim.start_round(now);
        state.next_due = now + self.settings.request_interval();
        let message = LeaseMessage {
            round,
            ..LeaseMessage::new(MessageKind::Request, task, epoch)
        };
        self.ask_voters(now, &message);
    }

    /// Sends a request or a pre-vote to all voters. If this gateway is one of them, its own vote is processed
    /// immediately.
    fn ask_voters(&mut self, now: Timestamp, message: &LeaseMessage) {
        let Some(state) = self.tasks.get(&message.task) else {
            return;
        };
        let local = self.local;
        for &voter in state.voters.iter().filter(|&&voter| voter != local.gateway) {
            self.outbox.push(voter, *message);
        }
        if !state.voters.contains(&local.gateway) {
            return;
        }
        if let Some(vote) = self.voter_role.vote(now, local, message) {
            self.process_answer(now, local.gateway, &vote);
        }
    }

    /// Ends the claim or the lease of this gateway and releases its epoch at the voters. A lease that was held is
    /// offered to the first candidate, if that is another gateway.
    pub(super) fn relinquish(&mut self, now: Timestamp, task: TaskId, change: LeaseChange) {
        let released = self.release_epoch(now, task);
        let Some(state) = self.tasks.get_mut(&task) else {
            return;
        };
        state.claim.end();
        // A late answer to a pre-vote in progress must not start a claim.
        state.pre_vote = None;
        state.outranked_since = None;
        state.next_due = now + self.settings.lease_duration;
        let first = state.candidacy.first;
        let Some(epoch) = state.held_epoch.take() else {
            return;
        };
        self.actions.push(Action::Lost {
            task,
            epoch,
            change,
        });
        if let Some(epoch) = released.filter(|_| first != self.local.gateway) {
            let offer = LeaseMessage::new(MessageKind::Offered, task, epoch);
            self.outbox.push(first, offer);
        }
    }

    /// Releases, at all voters, the epoch that this gateway claims or holds. Returns that epoch, or `None` if there is
    /// no claim.
    fn release_epoch(&mut self, now: Timestamp, task: TaskId) -> Option<Epoch> {
        let state = self.tasks.get(&task)?;
        let epoch = state.claim.epoch()?;
        let message = LeaseMessage::new(MessageKind::Released, task, epoch);
        let local = self.local;
        for &voter in state.voters.iter().filter(|&&voter| voter != local.gateway) {
            self.outbox.push(voter, message);
        }
        self.voter_role.release(now, local, task, epoch);
        Some(epoch)
    }
}
