//! Who of the gateways owns which duty: one at a time, under a lease and a fencing epoch that grows with every change.
//!
//! A duty is a number (the probing of a set, say). The gateways alive, in the order of [`rendezvous::candidates`], are to own it: the
//! first claims it, the next two stand by, look, and claim it when the lease of whoever holds it has run out. Whether a claim
//! succeeds is up to the duty's voters, five of the fleet's list at most, by majority ([`lease`]). An owner that is not the
//! first in the order gives the duty up to the first once that one has been alive for a while.
//!
//! An owner checks [`Duties::token`] before each act, and the act carries the token: a host that keeps the latest one it
//! saw refuses an older, which is the only guard for an act that began before its lease ran out and arrives after.
//!
//! No I/O, no clock, no tasks; the same shape as `irisrouter-membership`.

#![forbid(unsafe_code)]

pub mod codec;
pub mod lease;
pub mod rendezvous;

pub use codec::recognizes;
pub use lease::{Holder, Millis};

use codec::{Item, Kind, WireError};
use lease::{Claim, Vote, Voter};
use std::collections::BTreeMap;

/// Gateways that claim a duty, the first in its order included: the others need not know of it.
const CANDIDATES: usize = 3;
/// Duties that a gateway keeps as claimant, and as voter. Danger guarded against: datagrams that name ever new duties.
const MOST: usize = 4_096;

/// Settings; times in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Gateways in the fleet's list.
    pub fleet: u32,
    /// How long a grant runs.
    pub lease_ms: u64,
}

impl Settings {
    /// What is taken off a lease at its holder, for clocks that run at rates up to a tenth apart.
    #[must_use]
    pub const fn margin(&self) -> u64 {
        self.lease_ms / 10
    }

    /// Between two rounds of asking, while claiming and while holding: at 30 % loss a voter grants each second round.
    #[must_use]
    pub const fn round(&self) -> u64 {
        self.lease_ms / 5
    }

    /// Between the claims of the first in the order, the second and the third.
    #[must_use]
    pub const fn step(&self) -> u64 {
        self.lease_ms / 5
    }

    /// Within this time of its owner's death a duty has another, while a majority of its voters and two of its first
    /// three owners run and hear each other: what is left of the lease, the third one's turn, and two tries at a claim.
    #[must_use]
    pub const fn takeover_bound_ms(&self) -> u64 {
        2 * self.lease_ms + 2 * self.step()
    }

    /// Checks the settings.
    ///
    /// # Errors
    /// The field and the reason.
    pub fn check(&self) -> Result<(), String> {
        if self.lease_ms < 100 {
            return Err("lease_ms: at least 100, or renewals would crowd the socket".into());
        }
        if self.lease_ms > 60_000 {
            return Err(
                "lease_ms: at most 60000, as a duty without its owner waits that long".into(),
            );
        }
        Ok(())
    }
}

/// Why a duty is owned or no longer owned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseChange {
    /// It was nobody's.
    Vacant,
    /// The lease of this one had run out.
    TakenOver(Holder),
    /// Its own lease ran out before it was renewed.
    Expired,
    /// Another holds it under a later epoch.
    Superseded,
    /// It was given up to the first in its order.
    HandedOver(u32),
    /// This gateway is on the small side of a cut, or stops.
    Stopped,
    /// There is no such duty any more.
    TaskRemoved,
}

/// What the shell is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send this datagram (at most 256 bytes) to the gateway with this number.
    Send {
        /// The peer's number.
        to: u32,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// This gateway owns a duty from now on: log it, count it.
    Owned {
        /// Which.
        duty: u64,
        /// Under which token.
        epoch: u64,
        /// From whom.
        why: LeaseChange,
    },
    /// It no longer does.
    Lost {
        /// Which.
        duty: u64,
        /// Which token is over.
        epoch: u64,
        /// Why.
        why: LeaseChange,
    },
}

/// A duty that this gateway may own.
struct Wanted {
    voters: Vec<u32>,
    claim: Claim,
    /// This gateway's place among those alive; the first's number.
    place: usize,
    first: u32,
    /// The next round of asking, or the next claim.
    next: Millis,
    /// When the claim under way began.
    began: Millis,
    /// The round of looking before a claim, and the voters that are free by it.
    looking: Option<(u16, Vec<usize>)>,
    /// The token that was announced by [`Action::Owned`] and not yet lost.
    owned: Option<u64>,
    /// Whom the voters' grants named as the holder before.
    before: Option<Holder>,
    /// Since when another is first in the order, while this one owns it.
    other_first: Option<Millis>,
}

/// All duties of one gateway.
pub struct LeaseManager {
    me: Holder,
    settings: Settings,
    started: Millis,
    wanted: BTreeMap<u64, Wanted>,
    votes: BTreeMap<u64, Voter>,
    alive: Vec<u32>,
    majority: bool,
    /// Since when this gateway has been on the small side of a cut, until it has given up all for that.
    small: Option<Millis>,
    /// The wall clock less the caller's.
    unix_base: u64,
    looks: u16,
    out: BTreeMap<u32, Vec<Item>>,
    actions: Vec<Action>,
}

impl LeaseManager {
    /// A gateway that owns nothing; `started` is now.
    ///
    /// # Errors
    /// The settings do not pass their check.
    pub fn new(me: Holder, settings: Settings, started: Millis) -> Result<Self, String> {
        settings.check()?;
        Ok(Self {
            me,
            settings,
            started,
            wanted: BTreeMap::new(),
            votes: BTreeMap::new(),
            alive: vec![me.number],
            majority: false,
            small: None,
            unix_base: 0,
            looks: 0,
            out: BTreeMap::new(),
            actions: Vec::new(),
        })
    }

    /// This process hears others from now on, and not since it was made: it grants nothing for a lease, as an older process
    /// of the same gateway may have granted until now.
    pub fn opened(&mut self, now: Millis) {
        self.started = now;
        self.votes.clear();
    }

    /// The view of the fleet: who is alive, this one included, and whether that is the larger side of a cut. On the small
    /// side nothing is claimed, and what is owned is given up after a lease.
    pub fn view(&mut self, now: Millis, alive: &[u32], majority: bool) {
        if (self.alive.as_slice(), self.majority) == (alive, majority) {
            return;
        }
        self.alive = alive.to_vec();
        self.majority = majority;
        for (&duty, w) in &mut self.wanted {
            place(
                &mut w.place,
                &mut w.first,
                duty,
                &self.alive,
                self.me.number,
            );
        }
        // Danger guarded against: a view that changes for a moment, under loss, would take all duties from their owners.
        // What keeps a second owner out is the voters, not this.
        self.small = if majority {
            None
        } else {
            self.small.or(Some(now))
        };
    }

    /// Whether this gateway is on the larger side of a cut, by the last view.
    #[must_use]
    pub const fn majority(&self) -> bool {
        self.majority
    }

    /// The duties that there are. New ones are claimed from the next [`Duties::advance`] on.
    pub fn duties(&mut self, now: Millis, duties: &[u64]) {
        let gone: Vec<u64> = self
            .wanted
            .keys()
            .copied()
            .filter(|d| !duties.contains(d))
            .collect();
        for duty in gone {
            self.give_up(now, duty, LeaseChange::TaskRemoved);
            self.wanted.remove(&duty);
        }
        for &duty in duties.iter().take(MOST) {
            if self.wanted.contains_key(&duty) {
                continue;
            }
            let voters = rendezvous::voters(duty, self.settings.fleet);
            let mut w = Wanted {
                claim: Claim::new(voters.len()),
                voters,
                place: 0,
                first: 0,
                next: now,
                began: now,
                looking: None,
                owned: None,
                before: None,
                other_first: None,
            };
            place(
                &mut w.place,
                &mut w.first,
                duty,
                &self.alive,
                self.me.number,
            );
            w.next = now + w.place as u64 * self.settings.step();
            self.wanted.insert(duty, w);
        }
    }

    /// The fencing token under which this gateway may act on a duty at this moment; none where it does not own it. To be
    /// asked before each act, and not remembered.
    #[must_use]
    pub fn token(&self, now: Millis, duty: u64) -> Option<u64> {
        let w = self.wanted.get(&duty)?;
        let token = w
            .claim
            .token(now, self.settings.lease_ms, self.settings.margin())?;
        (w.owned == Some(token)).then_some(token)
    }

    /// A host refused the token of a duty: a later one has been there, so what is held here is over.
    pub fn fenced(&mut self, now: Millis, duty: u64) {
        self.give_up(now, duty, LeaseChange::Superseded);
    }

    /// Gives up all duties, as the gateway stops or is on the small side of a cut.
    pub fn stop(&mut self, now: Millis) {
        let all: Vec<u64> = self.wanted.keys().copied().collect();
        for duty in all {
            self.give_up(now, duty, LeaseChange::Stopped);
        }
        self.flush();
    }

    /// Takes a datagram from gateway `from`.
    ///
    /// # Errors
    /// It can't be read; nothing is changed then.
    pub fn receive(&mut self, now: Millis, from: u32, datagram: &[u8]) -> Result<(), WireError> {
        let (generation, items) = codec::decode(datagram)?;
        let by = Holder {
            number: from,
            generation,
        };
        for item in items {
            match item.kind {
                Kind::Ask | Kind::Look => {
                    if let Some(vote) = self.vote(now, by, &item) {
                        self.out.entry(from).or_default().push(vote);
                    }
                }
                Kind::Released => {
                    if let Some(voter) = self.votes.get_mut(&item.duty) {
                        voter.released(now, by, item.epoch);
                    }
                }
                Kind::Offered => {
                    if let Some(w) = self
                        .wanted
                        .get_mut(&item.duty)
                        .filter(|w| w.owned.is_none())
                    {
                        w.claim.refused(item.epoch);
                        w.next = now;
                    }
                }
                Kind::Granted | Kind::Refused | Kind::Free => self.answered(now, from, &item),
            }
        }
        self.flush();
        Ok(())
    }

    /// Does what is due by `now`; `unix_ms` is the wall clock, by which epochs go on where all voters forgot theirs.
    pub fn advance(&mut self, now: Millis, unix_ms: u64) {
        self.unix_base = unix_ms.saturating_sub(now);
        if self
            .small
            .is_some_and(|since| now >= since + self.settings.lease_ms)
        {
            self.small = None;
            self.stop(now);
        }
        let due: Vec<u64> = self
            .wanted
            .iter()
            .filter(|(_, w)| w.next <= now)
            .map(|(&d, _)| d)
            .collect();
        for duty in due {
            self.turn(now, duty);
        }
        self.flush();
    }

    /// When [`Duties::advance`] next has work.
    #[must_use]
    pub fn next_due(&self) -> Millis {
        let small = self
            .small
            .map_or(Millis::MAX, |since| since + self.settings.lease_ms);
        self.wanted
            .values()
            .map(|w| w.next)
            .min()
            .unwrap_or(Millis::MAX)
            .min(small)
    }

    /// What the shell is to do, in order.
    pub fn drain(&mut self) -> std::vec::Drain<'_, Action> {
        self.actions.drain(..)
    }

    /// The duties owned at this moment, with their tokens.
    #[must_use]
    pub fn owned(&self, now: Millis) -> Vec<(u64, u64)> {
        self.wanted
            .keys()
            .filter_map(|&d| Some((d, self.token(now, d)?)))
            .collect()
    }

    /// One duty's turn: renew, claim, or see that the lease is over.
    fn turn(&mut self, now: Millis, duty: u64) {
        let s = self.settings;
        let Some(w) = self.wanted.get_mut(&duty) else {
            return;
        };
        if let Some(epoch) = w.owned {
            let held = w.claim.token(now, s.lease_ms, s.margin()).is_some();
            if !held {
                w.owned = None;
                w.claim.end();
                w.next = now + s.step() * (1 + w.place as u64);
                self.actions.push(Action::Lost {
                    duty,
                    epoch,
                    why: LeaseChange::Expired,
                });
                return;
            }
            // Danger guarded against: a view that changes for a moment would move duties to and fro.
            let since = if w.place == 0 {
                None
            } else {
                w.other_first.or(Some(now))
            };
            w.other_first = since;
            if since.is_some_and(|at| now >= at + 2 * s.lease_ms) {
                let first = w.first;
                self.give_up(now, duty, LeaseChange::HandedOver(first));
                return;
            }
            // Renewed a moment ago: again when three tenths of the lease have passed since that was asked.
            let renew = w
                .claim
                .until(s.lease_ms, s.margin())
                .saturating_sub(s.lease_ms * 6 / 10);
            if now < renew {
                w.next = renew;
                return;
            }
        } else if !self.majority || w.place >= CANDIDATES {
            w.claim.end();
            w.next = now + s.lease_ms;
            return;
        } else if w.claim.epoch() == 0 {
            self.look(now, duty);
            return;
        } else if now >= w.began + s.lease_ms {
            // No majority in a whole lease: what was granted is let go, so that another may have it.
            self.release(now, duty);
            let Some(w) = self.wanted.get_mut(&duty) else {
                return;
            };
            w.claim.end();
            w.next = now + s.step() * (1 + w.place as u64);
            return;
        }
        self.ask(now, duty);
    }

    /// Looks whether a majority of the voters would grant. Danger guarded against: a claim that can't succeed takes away the
    /// grants of single voters, and their later epoch ends the lease of an owner that is well; two that stand by kept
    /// a duty from having any owner so, for as long as anybody looked.
    fn look(&mut self, now: Millis, duty: u64) {
        self.looks = self.looks.wrapping_add(1);
        let round = self.looks;
        let Some(w) = self.wanted.get_mut(&duty) else {
            return;
        };
        w.looking = Some((round, Vec::new()));
        w.next = now + self.settings.round();
        self.ask_voters(
            now,
            Item {
                kind: Kind::Look,
                duty,
                epoch: 0,
                round,
                holder: None,
                left: 0,
            },
        );
    }

    /// A voter would grant: with a majority of them the claim begins.
    fn free(&mut self, now: Millis, voter: usize, item: &Item) {
        let unix_ms = self.unix_base + now;
        let Some(w) = self.wanted.get_mut(&item.duty) else {
            return;
        };
        let Some((round, voters)) = &mut w.looking else {
            return;
        };
        if *round != item.round || voters.contains(&voter) {
            return;
        }
        voters.push(voter);
        w.claim.refused(item.epoch);
        if voters.len() > w.voters.len() / 2 && w.claim.epoch() == 0 {
            w.looking = None;
            w.claim.begin(unix_ms);
            w.began = now;
            w.before = None;
            self.ask(now, item.duty);
        }
    }

    /// A round of asking all voters for the epoch claimed or held.
    fn ask(&mut self, now: Millis, duty: u64) {
        let Some(w) = self.wanted.get_mut(&duty) else {
            return;
        };
        let round = w.claim.ask(now);
        w.next = now + self.settings.round();
        let item = Item {
            kind: Kind::Ask,
            duty,
            epoch: w.claim.epoch(),
            round,
            holder: None,
            left: 0,
        };
        self.ask_voters(now, item);
    }

    /// Sends all voters a question; this gateway's own answer, where it is one of them, comes at once.
    fn ask_voters(&mut self, now: Millis, item: Item) {
        let Some(voters) = self.wanted.get(&item.duty).map(|w| w.voters.clone()) else {
            return;
        };
        let me = self.me;
        for &voter in voters.iter().filter(|&&v| v != me.number) {
            self.out.entry(voter).or_default().push(item);
        }
        if voters.contains(&me.number) {
            if let Some(vote) = self.vote(now, me, &item) {
                self.answered(now, me.number, &vote);
            }
        }
    }

    /// This gateway's vote on a claim; none where it is no voter of the duty, or has too many on its mind.
    fn vote(&mut self, now: Millis, by: Holder, item: &Item) -> Option<Item> {
        let s = self.settings;
        if !rendezvous::voters(item.duty, s.fleet).contains(&self.me.number) {
            return None;
        }
        if !self.votes.contains_key(&item.duty) && self.votes.len() >= MOST {
            self.votes
                .retain(|_, v| !v.idle(now.saturating_sub(10 * s.lease_ms)));
            if self.votes.len() >= MOST {
                return None;
            }
        }
        let new = Voter::new(self.started, s.lease_ms);
        let voter = self.votes.entry(item.duty).or_insert(new);
        let vote = match item.kind {
            Kind::Look => voter.looked(now, by),
            _ => voter.asked(now, s.lease_ms, by, item.epoch),
        };
        Some(match vote {
            Vote::Free { epoch } => Item {
                kind: Kind::Free,
                epoch,
                ..*item
            },
            Vote::Granted { before } => Item {
                kind: Kind::Granted,
                holder: before,
                left: 0,
                ..*item
            },
            Vote::Refused {
                epoch,
                holder,
                left,
            } => {
                let left = u32::try_from(left).unwrap_or(u32::MAX);
                Item {
                    kind: Kind::Refused,
                    epoch,
                    holder,
                    left,
                    ..*item
                }
            }
        })
    }

    /// A voter's answer to a claim.
    fn answered(&mut self, now: Millis, from: u32, item: &Item) {
        let s = self.settings;
        let Some(w) = self.wanted.get_mut(&item.duty) else {
            return;
        };
        let Some(voter) = w.voters.iter().position(|&v| v == from) else {
            return;
        };
        if item.kind == Kind::Free {
            return self.free(now, voter, item);
        }
        if item.kind == Kind::Granted {
            w.claim.granted(voter, item.epoch, item.round);
            w.before = w.before.or(item.holder);
            let token = w.claim.token(now, s.lease_ms, s.margin());
            if let (Some(epoch), None) = (token, w.owned) {
                w.owned = Some(epoch);
                w.other_first = None;
                w.next = w.next.min(now + s.round());
                let why = w.before.map_or(LeaseChange::Vacant, LeaseChange::TakenOver);
                self.actions.push(Action::Owned {
                    duty: item.duty,
                    epoch,
                    why,
                });
            }
            return;
        }
        let other = item.holder.is_some_and(|h| h != self.me);
        let outbid = w.claim.refused(item.epoch);
        if let Some(epoch) = w.owned {
            if outbid {
                w.owned = None;
                w.next = now + s.lease_ms;
                self.actions.push(Action::Lost {
                    duty: item.duty,
                    epoch,
                    why: LeaseChange::Superseded,
                });
            }
        } else if outbid || other || item.left > 0 {
            // Somebody holds it, or the voter has just started: again when that is over, each in its turn.
            let again = now + u64::from(item.left).min(s.lease_ms) + s.step() * w.place as u64;
            w.next = if w.claim.epoch() == 0 {
                again
            } else {
                w.next.max(again.min(w.began + s.lease_ms))
            };
        }
    }

    /// Ends what is owned or claimed, and tells the voters, and the first in the order, that it is free.
    fn give_up(&mut self, now: Millis, duty: u64, why: LeaseChange) {
        let offered = self.release(now, duty);
        let s = self.settings;
        let Some(w) = self.wanted.get_mut(&duty) else {
            return;
        };
        w.claim.end();
        w.other_first = None;
        w.next = now + s.lease_ms;
        let first = w.first;
        if let Some(epoch) = w.owned.take() {
            self.actions.push(Action::Lost { duty, epoch, why });
            if let (Some(epoch), true) = (offered, first != self.me.number) {
                let item = Item {
                    kind: Kind::Offered,
                    duty,
                    epoch,
                    round: 0,
                    holder: None,
                    left: 0,
                };
                self.out.entry(first).or_default().push(item);
            }
        }
    }

    /// Tells the voters that the epoch claimed or held is given up: which, if any.
    fn release(&mut self, now: Millis, duty: u64) -> Option<u64> {
        let w = self.wanted.get(&duty)?;
        let epoch = Some(w.claim.epoch()).filter(|&e| e != 0)?;
        let item = Item {
            kind: Kind::Released,
            duty,
            epoch,
            round: 0,
            holder: None,
            left: 0,
        };
        for &voter in w.voters.iter().filter(|&&v| v != self.me.number) {
            self.out.entry(voter).or_default().push(item);
        }
        if let Some(voter) = self.votes.get_mut(&duty) {
            voter.released(now, self.me, epoch);
        }
        Some(epoch)
    }

    /// Packs what is to be said into datagrams.
    fn flush(&mut self) {
        for (to, items) in std::mem::take(&mut self.out) {
            for part in items.chunks(codec::ITEMS) {
                let bytes = codec::encode(self.me.generation, part);
                self.actions.push(Action::Send { to, bytes });
            }
        }
    }
}

/// This gateway's place in a duty's order, and the first's number.
fn place(place: &mut usize, first: &mut u32, duty: u64, alive: &[u32], me: u32) {
    let order = rendezvous::candidates(duty, alive);
    *place = order.iter().position(|&n| n == me).unwrap_or(CANDIDATES);
    *first = order.first().copied().unwrap_or(me);
}
