//! A voter's side of one lease: what it has promised. The model checker checks this very struct (`tests/model.rs`).
//!
//! A claimant requests that the voters of a task grant it an epoch for the length of a lease. A voter grants an epoch that is
//! later than all that it granted before. While its promise to one holder runs, it grants nothing to any other; the same
//! holder may renew the same epoch.
//!
//! A voter's promises are in memory only. A voter that has just been started knows none of the earlier ones, so it grants
//! nothing for the length of a lease ([`Voter::new`]): by then every earlier promise has expired.

use irisrouter_cluster_types::{Epoch, GatewayProcess, Milliseconds, Timestamp};

/// A voter's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Vote {
    /// The epoch is granted for the length of a lease from now on.
    Granted {
        /// The other process to which this voter had granted the lease before; none where there was none, or where it was the
        /// claimant itself. It held the lease only if a majority of the voters granted it too, which a voter does not know.
        previous: Option<GatewayProcess>,
    },
    /// Answer to a pre-vote: the lease is vacant, and a later epoch would be granted.
    Vacant {
        /// The latest epoch that this voter granted.
        latest_epoch: Epoch,
    },
    /// Not granted.
    Refused {
        /// The latest epoch that this voter granted.
        latest_epoch: Epoch,
        /// To whom, while that promise runs.
        holder: Option<GatewayProcess>,
        /// How long the promise still runs.
        remaining: Milliseconds,
    },
}

/// What one voter has promised about one task.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Voter {
    epoch: Epoch,
    holder: Option<GatewayProcess>,
    promised_until: Timestamp,
}

impl Voter {
    /// A voter whose process started at `started`. It grants nothing before the length of a lease has passed since then.
    #[must_use]
    pub fn new(started: Timestamp, lease: Milliseconds) -> Self {
        Self {
            epoch: Epoch::default(),
            holder: None,
            promised_until: started + lease,
        }
    }

    /// A claimant requests an epoch: a new one, or its own again.
    pub fn request(
        &mut self,
        now: Timestamp,
        lease: Milliseconds,
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
                promised_until: now + lease,
            };
            return Vote::Granted { previous };
        }
        self.refusal(now)
    }

    /// A claimant asks whether a later epoch would be granted. The answer promises nothing.
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

    /// A holder gives its epoch up. Has no effect where another holder or epoch was granted.
    pub fn release(&mut self, now: Timestamp, holder: GatewayProcess, epoch: Epoch) {
        if self.holder == Some(holder) && self.epoch == epoch {
            self.promised_until = self.promised_until.min(now);
        }
    }

    /// Whether no promise runs at `now`.
    #[must_use]
    pub fn is_idle(&self, now: Timestamp) -> bool {
        now >= self.promised_until
    }
}
