//! A claimant's side of one lease: the epoch that it requests or holds, and which voters have granted it. The model checker
//! checks this very struct (`tests/model.rs`).
//!
//! The claimant holds the lease while the grants of a majority of the voters run. Each grant counts from the moment at
//! which it was *requested*, and for a margin less than the length of a lease. Two majorities have a voter in common, so no
//! two claimants hold a lease at once as long as clocks run at rates that differ by less than the margin; and the epoch of
//! each new holder is later than that of the last.

use crate::LeaseTerms;
use irisrouter_cluster_types::{Epoch, Timestamp};

/// How many rounds of requests a claimant remembers. An answer to an older round is not counted.
const REMEMBERED_ROUNDS: usize = 8;

/// A round of requests to all voters.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Round {
    number: u16,
    requested_at: Timestamp,
}

/// One claimant's side of the lease on one task.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Claim {
    /// The epoch requested or held.
    epoch: Option<Epoch>,
    /// The latest rounds, oldest first.
    rounds: Vec<Round>,
    /// For each voter: when the latest round that it granted was requested.
    granted_rounds: Vec<Option<Timestamp>>,
    /// The latest epoch that this claimant has seen.
    latest_seen_epoch: Epoch,
    last_round: u16,
}

impl Claim {
    /// A claim with this number of voters, which requests nothing yet.
    #[must_use]
    pub fn new(voters: usize) -> Self {
        Self {
            granted_rounds: vec![None; voters],
            ..Self::default()
        }
    }

    /// The epoch requested or held.
    #[must_use]
    pub const fn epoch(&self) -> Option<Epoch> {
        self.epoch
    }

    /// Chooses a new epoch to request: later than any seen, and not before `floor`. The floor is Unix time in
    /// milliseconds, so that a fleet whose voters have all forgotten their promises does not begin again at 1.
    pub fn start(&mut self, floor: Epoch) {
        let epoch = floor.max(self.latest_seen_epoch.next());
        self.end();
        self.epoch = Some(epoch);
        self.latest_seen_epoch = epoch;
    }

    /// Starts a round of requests to all voters, and returns its number.
    pub fn start_round(&mut self, now: Timestamp) -> u16 {
        self.last_round = self.last_round.wrapping_add(1);
        if self.rounds.len() == REMEMBERED_ROUNDS {
            self.rounds.remove(0);
        }
        self.rounds.push(Round {
            number: self.last_round,
            requested_at: now,
        });
        self.last_round
    }

    /// A voter, by its index, granted this epoch in this round.
    pub fn record_grant(&mut self, voter: usize, epoch: Epoch, round: u16) {
        if self.epoch != Some(epoch) {
            return;
        }
        let Some(round) = self.rounds.iter().find(|known| known.number == round) else {
            return;
        };
        if let Some(granted) = self.granted_rounds.get_mut(voter) {
            *granted = (*granted).max(Some(round.requested_at));
        }
    }

    /// A voter has granted this epoch to some holder. Returns whether it is later than the epoch requested or held here: then
    /// that one is superseded, and this claim has ended.
    pub fn observe_epoch(&mut self, epoch: Epoch) -> bool {
        self.latest_seen_epoch = self.latest_seen_epoch.max(epoch);
        let superseded = self.epoch.is_some_and(|own| epoch > own);
        if superseded {
            self.end();
        }
        superseded
    }

    /// Ends the claim: nothing is requested or held any more.
    pub fn end(&mut self) {
        self.epoch = None;
        self.rounds.clear();
        self.granted_rounds.fill(None);
    }

    /// Until when the lease is held: the grants of a majority run until then, less the margin. The
    /// clock's origin where no majority has granted it.
    #[must_use]
    pub fn valid_until(&self, terms: LeaseTerms) -> Timestamp {
        let mut requested: Vec<Timestamp> = self.granted_rounds.iter().flatten().copied().collect();
        requested.sort_unstable_by(|earlier, later| later.cmp(earlier));
        let majority = self.granted_rounds.len() / 2 + 1;
        requested.get(majority - 1).map_or(Timestamp::ZERO, |&at| {
            (at + terms.length).saturating_sub(terms.margin)
        })
    }

    /// The fencing token, while the lease is held.
    #[must_use]
    pub fn token(&self, now: Timestamp, terms: LeaseTerms) -> Option<Epoch> {
        self.epoch.filter(|_| now < self.valid_until(terms))
    }
}
