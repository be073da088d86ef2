//! A claimant's state for one lease: the epoch that it requests or holds, and which voters have granted it. The model
//! checker in `tests/model.rs` runs on this struct itself.
//!
//! The claimant holds the lease while the grants of a majority of the voters are valid. Each grant is valid from the
//! time at which it was *requested*, for the duration of a lease minus a margin. Any two majorities have a voter in
//! common. Therefore no two claimants hold the lease at the same time, as long as the rates of their clocks differ by
//! less than the margin, and the epoch of each new holder is later than that of the previous one.

use crate::LeaseTerms;
use irisrouter_cluster_types::{Epoch, Timestamp};

/// Number of rounds of requests that a claimant remembers. Grants of older rounds are ignored.
const MAX_REMEMBERED_ROUNDS: usize = 8;

/// A round of requests to all voters.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Round {
    number: u16,
    requested_at: Timestamp,
}

/// A claimant's state for the lease on one task.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Claim {
    /// The epoch that the claimant requests or holds. `None` if there is no claim.
    epoch: Option<Epoch>,
    /// The latest rounds, oldest first.
    rounds: Vec<Round>,
    /// For each voter, the time at which the latest round that it granted was requested. `None` without a grant.
    grant_request_times: Vec<Option<Timestamp>>,
    /// The latest epoch that this claimant has seen.
    latest_seen_epoch: Epoch,
    last_round: u16,
}

impl Claim {
    /// Creates the state for this number of voters, without a claim.
    #[must_use]
    pub fn new(voters: usize) -> Self {
        Self {
            grant_request_times: vec![None; voters],
            ..Self::default()
        }
    }

    /// Returns the epoch that the claimant requests or holds.
    #[must_use]
    pub const fn epoch(&self) -> Option<Epoch> {
        self.epoch
    }

    /// Starts a claim for a new epoch, which is later than any epoch seen and at least `floor`. The floor is the Unix
    /// time in milliseconds, so that epochs do not start again at 1 in a fleet whose voters have all lost their state.
    pub fn start(&mut self, floor: Epoch) {
        let epoch = floor.max(self.latest_seen_epoch.next());
        self.end();
        self.epoch = Some(epoch);
        self.latest_seen_epoch = epoch;
    }

    /// Starts a round of requests to all voters at `now`, and returns the number of the round.
    pub fn start_round(&mut self, now: Timestamp) -> u16 {
        self.last_round = self.last_round.wrapping_add(1);
        if self.rounds.len() == MAX_REMEMBERED_ROUNDS {
            self.rounds.remove(0);
        }
        self.rounds.push(Round {
            number: self.last_round,
            requested_at: now,
        });
        self.last_round
    }

    /// Records that the voter with this index granted `epoch` in `round`. Grants of other epochs and unknown rounds are
    /// ignored.
    pub fn record_grant(&mut self, voter: usize, epoch: Epoch, round: u16) {
        if self.epoch != Some(epoch) {
            return;
        }
        let Some(round) = self.rounds.iter().find(|known| known.number == round) else {
            return;
        };
        if let Some(granted) = self.grant_request_times.get_mut(voter) {
            *granted = (*granted).max(Some(round.requested_at));
        }
    }

    /// Records that a voter has granted `epoch` to some claimant. If `epoch` is later than the epoch of this claim, the
    /// claim is superseded and ends. Returns whether it was superseded.
    pub fn observe_epoch(&mut self, epoch: Epoch) -> bool {
        self.latest_seen_epoch = self.latest_seen_epoch.max(epoch);
        let superseded = self.epoch.is_some_and(|claimed| epoch > claimed);
        if superseded {
            self.end();
        }
        superseded
    }

    /// Ends the claim. Afterwards no epoch is requested or held.
    pub fn end(&mut self) {
        self.epoch = None;
        self.rounds.clear();
        self.grant_request_times.fill(None);
    }

    /// Returns the time until which the claimant holds the lease: the end of the time for which the grants of a
    /// majority are valid, minus the margin. Returns [`Timestamp::ZERO`] if no majority has granted it.
    #[must_use]
    pub fn valid_until(&self, terms: LeaseTerms) -> Timestamp {
        let mut request_times: Vec<Timestamp> =
            self.grant_request_times.iter().flatten().copied().collect();
        request_times.sort_unstable_by(|earlier, later| later.cmp(earlier));
        let majority = self.grant_request_times.len() / 2 + 1;
        request_times
            .get(majority - 1)
            .map_or(Timestamp::ZERO, |&at| {
                (at + terms.duration).saturating_sub(terms.margin)
            })
    }

    /// Returns the fencing token if the claimant holds the lease at `now`.
    #[must_use]
    pub fn token(&self, now: Timestamp, terms: LeaseTerms) -> Option<Epoch> {
        self.epoch.filter(|_| now < self.valid_until(terms))
    }
}
