//! What this gateway knows of one task for which it may hold the lease.

use crate::{rendezvous, Claim, Holder, LeaseTerms, Millis, Settings, TaskId};

/// How many gateways claim the lease on a task, the first candidate included. The others need not know of the task.
pub(crate) const CANDIDATES: usize = 3;

/// This gateway's place among the candidates of a task.
#[derive(Clone, Copy)]
pub(crate) struct Candidacy {
    /// This gateway's rank: 0 for the first candidate.
    pub(crate) rank: usize,
    /// The number of the first candidate.
    pub(crate) first: u32,
}

impl Candidacy {
    /// The place of gateway `own_number` among those alive.
    pub(crate) fn new(task: TaskId, alive: &[u32], own_number: u32) -> Self {
        let order = rendezvous::candidates(task.0, alive);
        let own_rank = order.iter().position(|&number| number == own_number);
        Self {
            rank: own_rank.unwrap_or(CANDIDATES),
            first: order.first().copied().unwrap_or(own_number),
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
    pub(crate) voters: Vec<u32>,
    pub(crate) claim: Claim,
    pub(crate) candidacy: Candidacy,
    /// When the next round of requests, or the next claim, is due.
    pub(crate) next_due: Millis,
    /// When the claim under way was started.
    pub(crate) claim_started: Millis,
    pub(crate) pre_vote: Option<PreVote>,
    /// The fencing token that was announced by `Action::Acquired`, until `Action::Lost`.
    pub(crate) held_epoch: Option<u64>,
    /// The holder before this gateway, as named by the voters' grants.
    pub(crate) previous_holder: Option<Holder>,
    /// Since when another gateway is the first candidate, while this one holds the lease.
    pub(crate) other_first_since: Option<Millis>,
}

impl TaskState {
    /// A task that is new at `now`. Candidates begin one after the other, in the order of their ranks.
    pub(crate) fn new(task: TaskId, now: Millis, settings: Settings, candidacy: Candidacy) -> Self {
        let voters = rendezvous::voters(task.0, settings.fleet);
        Self {
            claim: Claim::new(voters.len()),
            voters,
            candidacy,
            next_due: now + candidacy.rank as u64 * settings.candidate_delay_ms(),
            claim_started: now,
            pre_vote: None,
            held_epoch: None,
            previous_holder: None,
            other_first_since: None,
        }
    }

    /// The fencing token, while the lease is held and its acquisition has been announced.
    pub(crate) fn announced_token(&self, now: Millis, terms: LeaseTerms) -> Option<u64> {
        let token = self.claim.token(now, terms)?;
        (self.held_epoch == Some(token)).then_some(token)
    }

    /// Ends the claim. The next one is due when the delay of this gateway's rank has passed once more.
    pub(crate) fn end_claim_and_back_off(&mut self, now: Millis, settings: Settings) {
        self.claim.end();
        self.next_due = now + settings.candidate_delay_ms() * (1 + self.candidacy.rank as u64);
    }

    /// Records that a voter would grant a request, by its answer to a pre-vote. Returns whether a claim may start: a majority
    /// of the voters would grant one, and none is under way.
    pub(crate) fn record_vacant(&mut self, voter: usize, round: u16, latest_epoch: u64) -> bool {
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
