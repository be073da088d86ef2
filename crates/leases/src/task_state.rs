//! What this gateway knows of one task for which it may hold the lease.

use crate::{rendezvous, Claim, LeaseTerms, Settings};
use irisrouter_cluster_types::{Epoch, GatewayId, GatewayProcess, TaskId, Timestamp};

/// How many gateways claim the lease on a task, the first candidate included. The others need not know of the task.
pub(crate) const CANDIDATES: usize = 3;

/// This gateway's place among the candidates of a task.
#[derive(Clone, Copy)]
pub(crate) struct Candidacy {
    /// This gateway's rank: 0 for the first candidate.
    pub(crate) rank: usize,
    /// The first candidate.
    pub(crate) first: GatewayId,
}

impl Candidacy {
    /// The place of gateway `local` among those alive.
    pub(crate) fn new(task: TaskId, alive: &[GatewayId], local: GatewayId) -> Self {
        let order = rendezvous::candidates(task, alive);
        let local_rank = order.iter().position(|&gateway| gateway == local);
        Self {
            rank: local_rank.unwrap_or(CANDIDATES),
            first: order.first().copied().unwrap_or(local),
        }
    }

    /// Whether this gateway is one of those that claim the lease.
    pub(crate) const fn is_candidate(self) -> bool {
        self.rank < CANDIDATES
    }
}

/// A pre-vote under way.
pub(crate) struct PreVote {
    pub(crate) round: u16,
    /// The indices of the voters that would grant a request.
    pub(crate) vacant_at: Vec<usize>,
}

/// What this gateway knows of one task.
pub(crate) struct TaskState {
    pub(crate) voters: Vec<GatewayId>,
    pub(crate) claim: Claim,
    pub(crate) candidacy: Candidacy,
    /// When the next round of requests, or the next claim, is due.
    pub(crate) next_due: Timestamp,
    /// When the claim under way was started.
    pub(crate) claim_started: Timestamp,
    pub(crate) pre_vote: Option<PreVote>,
    /// The fencing token that was announced by `Action::Acquired`, until `Action::Lost`.
    pub(crate) held_epoch: Option<Epoch>,
    /// The process to which a voter had granted the lease before, as the first grant that names one has it. For the log
    /// only; see [`LeaseChange::TakenOver`](crate::LeaseChange::TakenOver).
    pub(crate) previous_holder: Option<GatewayProcess>,
    /// Since when another gateway is the first candidate, while this one holds the lease.
    pub(crate) other_first_since: Option<Timestamp>,
}

impl TaskState {
    /// A task that is new at `now`. Candidates begin one after the other, in the order of their ranks.
    pub(crate) fn new(
        task: TaskId,
        now: Timestamp,
        settings: Settings,
        candidacy: Candidacy,
    ) -> Self {
        let voters = rendezvous::voters(task, settings.fleet);
        Self {
            claim: Claim::new(voters.len()),
            voters,
            candidacy,
            next_due: now + settings.candidate_delay() * candidacy.rank as u64,
            claim_started: now,
            pre_vote: None,
            held_epoch: None,
            previous_holder: None,
            other_first_since: None,
        }
    }

    /// The fencing token, while the lease is held and its acquisition has been announced.
    pub(crate) fn announced_token(&self, now: Timestamp, terms: LeaseTerms) -> Option<Epoch> {
        let token = self.claim.token(now, terms)?;
        (self.held_epoch == Some(token)).then_some(token)
    }

    /// Ends the claim. The next one is due when the delay of this gateway's rank has passed once more.
    pub(crate) fn end_claim_and_back_off(&mut self, now: Timestamp, settings: Settings) {
        self.claim.end();
        self.next_due = now + settings.candidate_delay() * (1 + self.candidacy.rank as u64);
    }

    /// Records that a voter would grant a request, by its answer to a pre-vote. Returns whether a claim may start: a majority
    /// of the voters would grant one, and none is under way.
    pub(crate) fn record_vacant(&mut self, voter: usize, round: u16, latest_epoch: Epoch) -> bool {
        let Some(pre_vote) = &mut self.pre_vote else {
            return false;
        };
        if pre_vote.round != round || pre_vote.vacant_at.contains(&voter) {
            return false;
        }
        pre_vote.vacant_at.push(voter);
        let majority = pre_vote.vacant_at.len() > self.voters.len() / 2;
        self.claim.observe_epoch(latest_epoch);
        majority && self.claim.epoch().is_none()
    }
}
