//! A voter's state for one lease: the promise that it has made. The model checker in `tests/model.rs` runs on this
//! struct itself.
//!
//! A claimant requests that the voters of a task grant it an epoch for the duration of a lease. A voter grants an epoch
//! only if it is later than all epochs that it granted before. A grant is a promise: until it expires, the voter grants
//! nothing to any other claimant, while the same holder may renew the same epoch.
//!
//! A voter keeps its promises in memory only. A voter that has been started again knows none of its earlier promises,
//! so it grants nothing for the duration of one lease ([`Voter::new`]), after which all of them have expired.

use irisrouter_cluster_types::{Epoch, GatewayProcess, Milliseconds, Timestamp};

/// A voter's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Vote {
    /// The epoch is granted for the duration of a lease from now on.
    Granted {
        /// The process to which this voter had granted the lease before, or `None` if there was none or it was the
        /// claimant itself. Whether that process held the lease is not known to a voter, because that takes a majority
        /// of the voters.
        previous: Option<GatewayProcess>,
    },
    /// The answer to a pre-vote if the voter would grant the claimant a later epoch.
    Vacant {
        /// The latest epoch that this voter granted.
        latest_epoch: Epoch,
    },
    /// The epoch is not granted, or in the answer to a pre-vote would not be.
    Refused {
        /// The latest epoch that this voter granted.
        latest_epoch: Epoch,
        /// The process to which that epoch was granted. `None` if the promise has expired, or if there was none.
        holder: Option<GatewayProcess>,
        /// Time from now until the voter may grant the lease to another claimant.
        remaining: Milliseconds,
    },
}

/// The promise of one voter on the lease of one task.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Voter {
    epoch: Epoch,
    holder: Option<GatewayProcess>,
    promised_until: Timestamp,
}

impl Voter {
    /// Creates a voter whose process started at `started`. It grants nothing until `lease_duration` has passed since
    /// then.
    #[must_use]
    pub fn new(started: Timestamp, lease_duration: Milliseconds) -> Self {
        Self {
            epoch: Epoch::default(),
            holder: None,
            promised_until: started + lease_duration,
        }
    }

    /// Votes on a request for an epoch, either a new epoch or the renewal of the one that `claimant` holds.
    pub fn request(
        &mut self,
        now: Timestamp,
        lease_duration: Milliseconds,
        claimant: GatewayProcess,
        epoch: Epoch,
    ) -> Vote {
        let is_holder = self.holder == Some(claimant);
        let renews = is_holder && epoch == self.epoch;
        let vacant = now >= self.promised_until || is_holder;
        if renews || (vacant && epoch > self.epoch) {
            let previous = self.holder.filter(|holder| *holder != claimant);
            *self = Self {
                epoch,
                holder: Some(claimant),
                promised_until: now + lease_duration,
            };
            return Vote::Granted { previous };
        }
        self.refusal(now)
    }

    /// Answers whether the voter would grant `claimant` a later epoch. The answer is not a promise.
    #[must_use]
    pub fn pre_vote(&self, now: Timestamp, claimant: GatewayProcess) -> Vote {
        if now >= self.promised_until || self.holder == Some(claimant) {
            Vote::Vacant {
                latest_epoch: self.epoch,
            }
        } else {
            self.refusal(now)
        }
    }

    fn refusal(&self, now: Timestamp) -> Vote {
        let remaining = self.promised_until.saturating_duration_since(now);
        Vote::Refused {
            latest_epoch: self.epoch,
            holder: self.holder.filter(|_| remaining > Milliseconds::ZERO),
            remaining,
        }
    }

    /// Ends the promise to `holder` because it releases its epoch. Has no effect if the latest grant is not this one.
    pub fn release(&mut self, now: Timestamp, holder: GatewayProcess, epoch: Epoch) {
        if self.holder == Some(holder) && self.epoch == epoch {
            self.promised_until = self.promised_until.min(now);
        }
    }

    /// Returns whether the promise has expired at `now`.
    #[must_use]
    pub fn is_idle(&self, now: Timestamp) -> bool {
        now >= self.promised_until
    }
}
