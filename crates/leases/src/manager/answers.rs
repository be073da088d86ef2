//! Processing of the voters' answers, and of offers by former holders.

use super::LeaseManager;
use crate::codec::{LeaseMessage, MessageKind};
use crate::{Action, LeaseChange};
use irisrouter_cluster_types::{GatewayId, Milliseconds, Timestamp};

impl LeaseManager {
    /// Processes the offer of a former holder, which has released its lease and considers this gateway the first
    /// candidate. A new claim becomes due at once, unless this gateway holds the lease already.
    pub(super) fn process_offer(&mut self, now: Timestamp, message: &LeaseMessage) {
        let state = self.tasks.get_mut(&message.task);
        if let Some(state) = state.filter(|state| state.held_epoch.is_none()) {
            state.claim.observe_epoch(message.epoch);
            state.next_due = now;
        }
    }

    /// Processes the answer of gateway `from` to a request or a pre-vote. The answer is ignored if that gateway is not
    /// a voter of the task.
    pub(super) fn process_answer(
        &mut self,
        now: Timestamp,
        from: GatewayId,
        message: &LeaseMessage,
    ) {
        let Some(state) = self.tasks.get(&message.task) else {
            return;
        };
        let Some(voter) = state.voters.iter().position(|&voter| voter == from) else {
            return;
        };
        match message.kind {
            MessageKind::Vacant => self.process_vacant_vote(now, voter, message),
            MessageKind::Granted => self.process_grant(now, voter, message),
            _ => self.process_refusal(now, message),
        }
    }

    /// Processes the answer of a voter that would grant a request. Starts a claim once a majority of the voters would.
    fn process_vacant_vote(&mut self, now: Timestamp, voter: usize, message: &LeaseMessage) {
        let may_claim = self.may_claim();
        let Some(state) = self.tasks.get_mut(&message.task) else {
            return;
        };
        if may_claim && state.record_vacant(voter, message.round, message.epoch) {
            self.start_claim(now, message.task);
        }
    }

    /// Processes a grant. Announces the lease as acquired once a majority of the voters have granted it.
    fn process_grant(&mut self, now: Timestamp, voter: usize, message: &LeaseMessage) {
        let settings = self.settings;
        let Some(state) = self.tasks.get_mut(&message.task) else {
            return;
        };
        state
            .claim
            .record_grant(voter, message.epoch, message.round);
        state.previous_holder = state.previous_holder.or(message.holder);
        if state.held_epoch.is_some() {
            return;
        }
        let Some(epoch) = state.claim.token(now, settings.terms()) else {
            return;
        };
        state.held_epoch = Some(epoch);
        state.outranked_since = None;
        state.next_due = state.next_due.min(now + settings.request_interval());
        let change = match state.previous_holder {
            Some(holder) => LeaseChange::TakenOver(holder),
            None => LeaseChange::Vacant,
        };
        self.actions.push(Action::Acquired {
            task: message.task,
            epoch,
            change,
        });
    }

    /// Processes a refusal. If it names a later epoch, the lease that this gateway holds is superseded. If this gateway
    /// holds none, its next claim or request may be postponed.
    fn process_refusal(&mut self, now: Timestamp, message: &LeaseMessage) {
        let settings = self.settings;
        let local = self.local;
        let Some(state) = self.tasks.get_mut(&message.task) else {
            return;
        };
        let superseded = state.claim.observe_epoch(message.epoch);
        if let Some(epoch) = state.held_epoch {
            if superseded {
                state.held_epoch = None;
                state.next_due = now + settings.lease_duration;
                self.actions.push(Action::Lost {
                    task: message.task,
                    epoch,
                    change: LeaseChange::Superseded,
                });
            }
            return;
        }
        let held_by_other_process = message.holder.is_some_and(|holder| holder != local);
        let promise_is_active = message.remaining > Milliseconds::ZERO;
        if superseded || held_by_other_process || promise_is_active {
            // Another gateway holds the lease, or the voter was started recently. The next claim or request is due when
            // the voter's promise has expired, plus a delay for each rank so that the candidates do not claim at the
            // same time.
            let remaining = message.remaining.min(settings.lease_duration);
            let delay = settings.candidate_delay() * state.candidacy.rank as u64;
            let retry_at = now + remaining + delay;
            state.next_due = match state.claim.epoch() {
                None => retry_at,
                Some(_) => {
                    let claim_deadline = state.claim_started + settings.lease_duration;
                    state.next_due.max(retry_at.min(claim_deadline))
                }
            };
        }
    }
}
