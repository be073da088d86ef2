//! State of one task whose lease this gateway may claim or hold.

use crate::{rendezvous, Claim, LeaseTerms, Settings};
use irisrouter_cluster_types::{Epoch, GatewayId, GatewayProcess, TaskId, Timestamp};

/// Number of gateways that may claim the lease on a task, including the first candidate. The other gateways need not
/// have the task in their lists.
pub(crate) const MAX_CLAIMANTS: usize = 3;

/// The position of this gateway among the candidates of a task.
#[derive(Clone, Copy)]
pub(crate) struct Candidacy {
    /// Rank of this gateway, 0 for the first candidate. At least [`MAX_CLAIMANTS`] if this gateway may not claim the
    /// lease.
    pub(crate) rank: usize,
    /// The first candidate.
    pub(crate) first: GatewayId,
}

impl Candidacy {
    /// Determines the position of gateway `local` among the gateways that are alive.
    pub(crate) fn new(task: TaskId, alive_gateways: &[GatewayId], local: GatewayId) -> Self {
        let order = rendezvous::candidates(task, alive_gateways);
        let local_rank = order.iter().position(|&gateway| gateway == local);
        Self {
            rank: local_rank.unwrap_or(MAX_CLAIMANTS),
            first: order.first().copied().unwrap_or(local),
        }
    }

    /// Returns whether this gateway may claim the lease.
    pub(crate) const fn is_candidate(self) -> bool {
        self.rank < MAX_CLAIMANTS
    }
}

/// A pre-vote in progress.
pub(crate) struct PreVote {
    pub(crate) round: u16,
    /// Indices of the voters that have answered that they would grant a request.
    pub(crate) vacant_voters: Vec<usize>,
}

/// State of one task whose lease this gateway may claim or hold.
pub(crate) struct TaskState {
    pub(crate) voters: Vec<GatewayId>,
    pub(crate) claim: Claim,
    pub(crate) candidacy: Candidacy,
    /// Time at which the next round of requests, or the next claim, is due.
    pub(crate) next_due: Timestamp,
    /// Time at which the current claim was started.
    pub(crate) claim_started: Timestamp,
    pub(crate) pre_vote: Option<PreVote>,
    /// The fencing token that was announced with `Action::Acquired`. `None` again after `Action::Lost`.
    pub(crate) held_epoch: Option<Epoch>,
    /// The process to which a voter had granted the lease before, taken from the first grant that names one. It is used
    /// for the log only, because that process may never have held the lease. See
    /// [`LeaseChange::TakenOver`](crate::LeaseChange::TakenOver).
    pub(crate) previous_holder: Option<GatewayProcess>,
    /// Time since which this gateway has held the lease while another gateway was the first candidate.
    pub(crate) outranked_since: Option<Timestamp>,
}

impl TaskState {
    /// Creates the state of a task that was added at `now`. The first claim is delayed by this gateway's rank, so that
    /// the candidates start one after the other.
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
            outranked_since: None,
        }
    }

    /// Returns the fencing token if this gateway holds the lease and has announced its acquisition.
    pub(crate) fn announced_token(&self, now: Timestamp, terms: LeaseTerms) -> Option<Epoch> {
        let token = self.claim.token(now, terms)?;
        (self.held_epoch == Some(token)).then_some(token)
    }

    /// Ends the claim. The next claim is due after one candidate delay, plus one more for each rank below the first.
    pub(crate) fn end_claim_and_back_off(&mut self, now: Timestamp, settings: Settings) {
        self.claim.end();
        self.next_due = now + settings.candidate_delay() * (1 + self.candidacy.rank as u64);
    }

    /// Records that a voter answered a pre-vote with [`Vote::Vacant`](crate::Vote::Vacant). Returns whether a claim may
    /// start, which is the case if a majority of the voters would grant it and no claim is in progress.
    pub(crate) fn record_vacant(&mut self, voter: usize, round: u16, latest_epoch: Epoch) -> bool {
        let Some(pre_vote) = &mut self.pre_vote else {
            return false;
        };
        if pre_vote.round != round || pre_vote.vacant_voters.contains(&voter) {
            return false;
        }
        pre_vote.vacant_voters.push(voter);
        let majority = pre_vote.vacant_voters.len() > self.voters.len() / 2;
        self.claim.observe_epoch(latest_epoch);
        majority && self.claim.epoch().is_none()
    }
}
