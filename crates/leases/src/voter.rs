//! A voter's side of one lease: what it has promised. The model checker checks this very struct (`tests/leases.rs`).
//!
//! A claimant requests that the voters of a task grant it an epoch for the length of a lease. A voter grants an epoch that is
//! later than all that it granted before. While its promise to one holder runs, it grants nothing to any other; the same
//! holder may renew the same epoch.
//!
//! A voter's promises are in memory only. A voter that has just been started knows none of the earlier ones, so it grants
//! nothing for the length of a lease ([`Voter::new`]): by then every earlier promise has expired.

use crate::{Holder, Millis};

/// A voter's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Vote {
    /// The epoch is granted for the length of a lease from now on.
    Granted {
        /// The other holder to whom this voter had granted the lease before; none where there was none, or where it was the
        /// claimant itself.
        previous: Option<Holder>,
    },
    /// Answer to a pre-vote: the lease is vacant, and a later epoch would be granted.
    Vacant {
        /// The latest epoch that this voter granted.
        latest_epoch: u64,
    },
    /// Not granted.
    Refused {
        /// The latest epoch that this voter granted.
        latest_epoch: u64,
        /// To whom, while that promise runs.
        holder: Option<Holder>,
        /// How long the promise still runs.
        remaining: Millis,
    },
}

/// What one voter has promised about one task.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Voter {
    epoch: u64,
    holder: Option<Holder>,
    promised_until: Millis,
}

impl Voter {
    /// A voter whose process started at `started`. It grants nothing before the length of a lease has passed since then.
    #[must_use]
    pub const fn new(started: Millis, lease: Millis) -> Self {
        Self {
            epoch: 0,
            holder: None,
            promised_until: started + lease,
        }
    }

    /// A claimant requests an epoch: a new one, or its own again.
    pub fn request(&mut self, now: Millis, lease: Millis, claimant: Holder, epoch: u64) -> Vote {
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
    pub fn pre_vote(&self, now: Millis, claimant: Holder) -> Vote {
        if now >= self.promised_until || self.holder == Some(claimant) {
            Vote::Vacant {
                latest_epoch: self.epoch,
            }
        } else {
            self.refusal(now)
        }
    }

    fn refusal(&self, now: Millis) -> Vote {
        let remaining = self.promised_until.saturating_sub(now);
        Vote::Refused {
            latest_epoch: self.epoch,
            holder: self.holder.filter(|_| remaining > 0),
            remaining,
        }
    }

    /// A holder gives its epoch up. Has no effect where another holder or epoch was granted.
    pub fn release(&mut self, now: Millis, holder: Holder, epoch: u64) {
        if self.holder == Some(holder) && self.epoch == epoch {
            self.promised_until = self.promised_until.min(now);
        }
    }

    /// Whether no promise runs at `now`.
    #[must_use]
    pub const fn is_idle(&self, now: Millis) -> bool {
        now >= self.promised_until
    }
}
