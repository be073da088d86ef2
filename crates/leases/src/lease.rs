//! One lease: what a voter promises ([`Voter`]) and what a claimant holds ([`Claim`]). The model checker checks these very
//! structs (`tests/leases.rs`).
//!
//! A claimant asks the voters of a duty to grant it an epoch for the length of a lease. A voter grants an epoch later than
//! any that it granted, and while its promise to one holder runs it grants to nobody else; the same holder may renew the
//! same epoch. The claimant holds the duty while a majority of the voters' grants run, each counted from when it *asked*,
//! and for a margin less than the lease. Two majorities have a voter in common, so no two claimants hold a duty at once, as
//! long as clocks run at rates that differ by less than the margin; and each new holder's epoch is later than the last.
//!
//! A voter's promises are in memory only. One that starts again knows none, so it grants nothing for a lease
//! ([`Voter::new`]): by then whatever it had promised has run out.

/// Milliseconds on the caller's monotonic clock.
pub type Millis = u64;

/// A gateway's process: its number and the generation of its start. A process started again is another holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holder {
    /// The gateway's number in the fleet's list.
    pub number: u32,
    /// Its process.
    pub generation: u16,
}

/// What a voter answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Vote {
    /// Granted for a lease from now on; before that it was held, under this voter's promise, by this other one.
    Granted {
        /// None where it was nobody's, or this one's.
        before: Option<Holder>,
    },
    /// Nothing was asked for yet, but it would be granted.
    Free {
        /// The latest epoch that it granted.
        epoch: u64,
    },
    /// Not granted.
    Refused {
        /// The latest epoch that it granted.
        epoch: u64,
        /// To whom, while that runs.
        holder: Option<Holder>,
        /// How long its promise still runs.
        left: Millis,
    },
}

/// One voter's memory of one duty.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Voter {
    epoch: u64,
    holder: Option<Holder>,
    until: Millis,
}

impl Voter {
    /// A voter whose process started at `started`: it grants nothing before a lease has passed since then.
    #[must_use]
    pub const fn new(started: Millis, lease: Millis) -> Self {
        Self {
            epoch: 0,
            holder: None,
            until: started + lease,
        }
    }

    /// A claimant asks for an epoch, new or its own again.
    pub fn asked(&mut self, now: Millis, lease: Millis, by: Holder, epoch: u64) -> Vote {
        let mine = self.holder == Some(by);
        let renews = mine && epoch == self.epoch;
        let free = now >= self.until || mine;
        if renews || (free && epoch > self.epoch) {
            let before = self.holder.filter(|h| *h != by);
            *self = Self {
                epoch,
                holder: Some(by),
                until: now + lease,
            };
            return Vote::Granted { before };
        }
        self.refuses(now)
    }

    /// A claimant looks whether it would be granted a later epoch; nothing is promised by the answer.
    #[must_use]
    pub fn looked(&self, now: Millis, by: Holder) -> Vote {
        if now >= self.until || self.holder == Some(by) {
            Vote::Free { epoch: self.epoch }
        } else {
            self.refuses(now)
        }
    }

    fn refuses(&self, now: Millis) -> Vote {
        let left = self.until.saturating_sub(now);
        Vote::Refused {
            epoch: self.epoch,
            holder: self.holder.filter(|_| left > 0),
            left,
        }
    }

    /// A holder gives its epoch up.
    pub fn released(&mut self, now: Millis, by: Holder, epoch: u64) {
        if (self.holder, self.epoch) == (Some(by), epoch) {
            self.until = self.until.min(now);
        }
    }

    /// Nothing is promised any more, and nothing later than this epoch need be remembered.
    #[must_use]
    pub const fn idle(&self, now: Millis) -> bool {
        now >= self.until
    }
}

/// Rounds of asking that a claimant remembers: an answer to an older one is not counted.
const ROUNDS: usize = 8;

/// One claimant's side of one duty.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Claim {
    /// The epoch asked for; 0 for none.
    epoch: u64,
    /// When each of the last rounds was asked, by its number.
    rounds: Vec<(u16, Millis)>,
    /// By voter: when the latest round that it granted was asked.
    granted: Vec<Option<Millis>>,
    /// The latest epoch heard of.
    known: u64,
    next: u16,
}

impl Claim {
    /// A claim with so many voters, which asks for nothing yet.
    #[must_use]
    pub fn new(voters: usize) -> Self {
        Self {
            granted: vec![None; voters],
            ..Self::default()
        }
    }

    /// The epoch asked for or held; 0 for none.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Asks for a new epoch: later than any heard of, and than `floor` (Unix milliseconds, so that a fleet whose voters
    /// all forgot does not begin again at 1).
    pub fn begin(&mut self, floor: u64) {
        self.epoch = floor.max(self.known + 1);
        self.known = self.epoch;
        self.rounds.clear();
        self.granted.fill(None);
    }

    /// A round of asking all voters: its number.
    pub fn ask(&mut self, now: Millis) -> u16 {
        self.next = self.next.wrapping_add(1);
        if self.rounds.len() == ROUNDS {
            self.rounds.remove(0);
        }
        self.rounds.push((self.next, now));
        self.next
    }

    /// A voter granted this epoch in this round.
    pub fn granted(&mut self, voter: usize, epoch: u64, round: u16) {
        let asked = self.rounds.iter().find(|r| r.0 == round).map(|r| r.1);
        if let (Some(at), Some(granted), true) =
            (asked, self.granted.get_mut(voter), epoch == self.epoch)
        {
            *granted = (*granted).max(Some(at));
        }
    }

    /// A voter refused, as it granted this epoch to this holder. Returns whether another's later epoch was found, by which
    /// whatever is held here is over.
    pub fn refused(&mut self, epoch: u64) -> bool {
        self.known = self.known.max(epoch);
        let over = self.epoch != 0 && epoch > self.epoch;
        if over {
            self.end();
        }
        over
    }

    /// Nothing is asked for and nothing held any more.
    pub fn end(&mut self) {
        self.epoch = 0;
        self.rounds.clear();
        self.granted.fill(None);
    }

    /// Until when the duty is held: a majority of the grants run until then, less the margin. 0 where it is not.
    #[must_use]
    pub fn until(&self, lease: Millis, margin: Millis) -> Millis {
        let mut asked: Vec<Millis> = self.granted.iter().flatten().copied().collect();
        asked.sort_unstable_by(|a, b| b.cmp(a));
        let majority = self.granted.len() / 2 + 1;
        asked
            .get(majority - 1)
            .map_or(0, |&at| (at + lease).saturating_sub(margin))
    }

    /// The fencing token, while the duty is held.
    #[must_use]
    pub fn token(&self, now: Millis, lease: Millis, margin: Millis) -> Option<u64> {
        (self.epoch != 0 && now < self.until(lease, margin)).then_some(self.epoch)
    }
}
