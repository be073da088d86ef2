//! Keyed writes in hand, noted with other gateways, so that a write whose gateway dies is applied at most once when its
//! client sends it again to another.
//!
//! Database hosts discard a repeat of a key within a window that counts from the first sending; beyond it a repeat would be
//! applied again. The gateway that sent a key knows when that was; once it is dead, nobody does. So before the first byte
//! of a keyed write leaves, its gateway notes the time with two others, the key's keepers, and waits for their word. A
//! gateway that gets a repeat asks the keepers first:
//!
//! - known: it may be sent while the window, counted from the noted time, lasts; after that, and whatever the host says
//!   meanwhile, its outcome is that it may have run;
//! - unknown to enough of them: it was never sent, and is a write like any other;
//! - too few answer: nothing is proven, and it may have run.
//!
//! Which gateways keep a key is rendezvous hashing over those that the asker does not hold down. A writer needs the word of
//! [`KEEPERS`] of the first [`NOTE_AMONG`] (itself left out); a gateway with a repeat asks the first [`ASK_AMONG`], and takes
//! it for unknown only if at most [`SILENT`] of them keeps silent. Two noted, one silent: at least one is heard. A gateway
//! that has just started may have kept what it no longer knows: of what it does not know it says nothing for [`KEPT`].
//!
//! No I/O, no clock, no tasks.

#![forbid(unsafe_code)]

pub mod codec;

pub use codec::recognizes;

use codec::{Item, Kind, WireError};
use std::collections::{BTreeMap, VecDeque};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Milliseconds on the caller's monotonic clock.
pub type Millis = u64;

/// Gateways that have to have a note before the write is sent; all others that are there where there are fewer.
pub const KEEPERS: usize = 2;
/// They are among the first so many in the key's order.
pub const NOTE_AMONG: usize = 4;
/// A repeat asks the first so many: more, as the two views may differ by one, and each leaves itself out.
pub const ASK_AMONG: usize = 6;
/// So many of them may keep silent: the gateway that died.
pub const SILENT: usize = 1;
/// A question or a note is sent again after so long.
const AGAIN: Millis = 10;
/// After so long silence is what it is.
const QUIET: Millis = 40;
/// And after so long a note has failed, or a question is not answered.
const GIVE_UP: Millis = 120;
/// A note is kept for so long: clients do not repeat a write for longer (2 s a try, three tries, and pauses).
pub const KEPT: Millis = 10_000;
/// Notes that one gateway keeps. Danger guarded against: others' writes would fill the memory. Beyond it nothing is noted,
/// and writers that get no word send nothing.
pub const MOST: usize = 65_536;
/// Questions and notes of this gateway's own under way.
const MOST_OPEN: usize = 8_192;

/// The number by which gateways speak of a key of a set: 64 bits of a hash, so that two keys are taken for one once in
/// ten billion writes a minute.
#[must_use]
pub fn number(set: i64, key: &[u8]) -> u64 {
    xxh3_64_with_seed(key, set as u64)
}

/// Gateways in the order in which they keep a key.
#[must_use]
pub fn order(key: u64, gateways: &[u32]) -> Vec<u32> {
    let weight = |n: u32| xxh3_64_with_seed(&n.to_be_bytes(), key);
    let mut all = gateways.to_vec();
    all.sort_by_key(|&n| (std::cmp::Reverse(weight(n)), n));
    all
}

/// What became of a note or a question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Enough keepers have it: the write may leave.
    Noted,
    /// Too few answered: it may not.
    NotNoted,
    /// The write may have run from then on (Unix milliseconds).
    Known(u64),
    /// It was never sent.
    Unknown,
    /// Too few answered.
    Unproven,
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
    /// A note or question of the caller's has its outcome.
    Ended {
        /// As [`InHand::note`] or [`InHand::ask`] returned it.
        ticket: u64,
        /// Which.
        outcome: Outcome,
    },
}

/// A note or a question under way.
struct Open {
    ticket: u64,
    key: u64,
    /// For a note: the time noted.
    note: Option<u64>,
    among: Vec<u32>,
    answered: Vec<u32>,
    /// How many of `among` have been sent it.
    sent: usize,
    began: Millis,
    next: Millis,
    /// This gateway has just started, and may have kept the key itself: one more that is silent.
    fresh: bool,
}

/// Who noted a key, and from when on it may have run.
#[derive(Debug, Clone)]
struct Kept {
    /// Each writer's own time; at most as many as gateways tried, of which few do.
    by: Vec<(u32, u64)>,
    until: Millis,
}

/// Writers of one key that are told apart; the earliest time is kept beyond that.
const WRITERS: usize = 8;

/// One gateway's notes: those that it keeps for others, and its own under way.
pub struct IntentStore {
    me: u32,
    started: Millis,
    kept: BTreeMap<u64, Kept>,
    /// Keys by the time at which they were first noted.
    ages: VecDeque<(Millis, u64)>,
    open: Vec<Open>,
    tickets: u64,
    out: BTreeMap<u32, Vec<Item>>,
    actions: Vec<Action>,
}

impl IntentStore {
    /// Gateway number `me`, whose process starts, or begins to hear others, now.
    #[must_use]
    pub fn new(me: u32, now: Millis) -> Self {
        Self {
            me,
            started: now,
            kept: BTreeMap::new(),
            ages: VecDeque::new(),
            open: Vec::new(),
            tickets: 0,
            out: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// This process hears others from now on, and not since it was made: an older process of the same gateway may have kept
    /// notes until now.
    pub fn opened(&mut self, now: Millis) {
        self.started = now;
    }

    /// Notes that a write of this key may have run from `at` (Unix milliseconds) on, with the keepers among the gateways
    /// that are not held down. Alone, a gateway notes with nobody: nobody could take the write over.
    pub fn note(&mut self, now: Millis, key: u64, at: u64, gateways: &[u32]) -> u64 {
        // Its own client may come again to this very gateway.
        self.keep(now, self.me, key, at);
        self.begin(now, key, Some(at), gateways, NOTE_AMONG)
    }

    /// Asks whether a write of this key may have run.
    pub fn ask(&mut self, now: Millis, key: u64, gateways: &[u32]) -> u64 {
        let Some(at) = self.known(now, key) else {
            return self.begin(now, key, None, gateways, ASK_AMONG);
        };
        self.tickets += 1;
        self.actions.push(Action::Ended {
            ticket: self.tickets,
            outcome: Outcome::Known(at),
        });
        self.tickets
    }

    /// What this gateway noted of a key never ran.
    pub fn forget(&mut self, key: u64, gateways: &[u32]) {
        self.drop_of(self.me, key);
        for to in self.keepers(key, gateways, NOTE_AMONG) {
            self.out.entry(to).or_default().push(Item {
                kind: Kind::Forget,
                key,
                at: 0,
            });
        }
        self.flush();
    }

    /// Takes a datagram from gateway `from`.
    ///
    /// # Errors
    /// It can't be read; nothing is changed then.
    pub fn receive(&mut self, now: Millis, from: u32, datagram: &[u8]) -> Result<(), WireError> {
        for item in codec::decode(datagram)? {
            match item.kind {
                Kind::Note => {
                    if self.keep(now, from, item.key, item.at) {
                        self.out.entry(from).or_default().push(Item {
                            kind: Kind::Noted,
                            ..item
                        });
                    }
                }
                Kind::Ask => {
                    let answer = match self.known(now, item.key) {
                        Some(at) => Item {
                            kind: Kind::Known,
                            at,
                            ..item
                        },
                        None if self.fresh(now) => continue,
                        None => Item {
                            kind: Kind::Unknown,
                            at: 0,
                            ..item
                        },
                    };
                    self.out.entry(from).or_default().push(answer);
                }
                Kind::Forget => self.drop_of(from, item.key),
                Kind::Noted | Kind::Known | Kind::Unknown => self.answered(from, &item),
            }
        }
        self.flush();
        Ok(())
    }

    /// Does what is due by `now`.
    pub fn advance(&mut self, now: Millis) {
        for i in 0..self.open.len() {
            self.again(now, i);
        }
        let ended: Vec<(u64, Outcome)> = self
            .open
            .iter()
            .filter_map(|o| Some((o.ticket, judged(o, now)?)))
            .collect();
        for (ticket, outcome) in ended {
            self.end(ticket, outcome);
        }
        while let Some(&(at, key)) = self.ages.front() {
            if now < at + KEPT {
                break;
            }
            self.ages.pop_front();
            match self.kept.get(&key).map(|k| k.until) {
                Some(until) if until > now => {
                    self.ages.push_back((until.saturating_sub(KEPT), key))
                }
                _ => drop(self.kept.remove(&key)),
            }
        }
        self.flush();
    }

    /// When [`InHand::advance`] next has work.
    #[must_use]
    pub fn next_due(&self) -> Millis {
        let open = self
            .open
            .iter()
            .map(|o| o.next)
            .min()
            .unwrap_or(Millis::MAX);
        open.min(self.ages.front().map_or(Millis::MAX, |a| a.0 + KEPT))
    }

    /// What the shell is to do, in order.
    pub fn drain(&mut self) -> std::vec::Drain<'_, Action> {
        self.actions.drain(..)
    }

    /// Keys kept at present.
    #[must_use]
    pub fn kept(&self) -> usize {
        self.kept.len()
    }

    /// What was noted with the process before this one may still matter.
    const fn fresh(&self, now: Millis) -> bool {
        now < self.started + KEPT
    }

    fn keepers(&self, key: u64, gateways: &[u32], among: usize) -> Vec<u32> {
        let others: Vec<u32> = gateways.iter().copied().filter(|&g| g != self.me).collect();
        let mut all = order(key, &others);
        all.truncate(among);
        all
    }

    fn begin(
        &mut self,
        now: Millis,
        key: u64,
        note: Option<u64>,
        gateways: &[u32],
        among: usize,
    ) -> u64 {
        self.tickets += 1;
        let ticket = self.tickets;
        let among = self.keepers(key, gateways, among);
        if self.open.len() >= MOST_OPEN {
            let outcome = if note.is_some() {
                Outcome::NotNoted
            } else {
                Outcome::Unproven
            };
            self.actions.push(Action::Ended { ticket, outcome });
            return ticket;
        }
        let fresh = self.fresh(now);
        let open = Open {
            ticket,
            key,
            note,
            among,
            answered: Vec::new(),
            sent: 0,
            began: now,
            next: now,
            fresh,
        };
        self.open.push(open);
        self.advance(now);
        ticket
    }

    /// Sends a note or a question again to those that have not answered. A note goes to two first, and to one more each
    /// time, as one of them may be dead.
    fn again(&mut self, now: Millis, i: usize) {
        let Some(o) = self.open.get_mut(i).filter(|o| o.next <= now) else {
            return;
        };
        o.next = now + AGAIN;
        let (kind, at) = o.note.map_or((Kind::Ask, 0), |at| (Kind::Note, at));
        o.sent = match kind {
            Kind::Note if o.sent == 0 => KEEPERS,
            Kind::Note => o.sent + 1,
            _ => o.among.len(),
        }
        .min(o.among.len());
        for &to in o.among[..o.sent].iter().filter(|n| !o.answered.contains(n)) {
            self.out.entry(to).or_default().push(Item {
                kind,
                key: o.key,
                at,
            });
        }
    }

    fn answered(&mut self, from: u32, item: &Item) {
        let mut ended = Vec::new();
        for o in self
            .open
            .iter_mut()
            .filter(|o| o.key == item.key && o.among.contains(&from))
        {
            let outcome = match (item.kind, o.note) {
                (Kind::Known, None) => Some(Outcome::Known(item.at)),
                (Kind::Noted, Some(at)) if at == item.at => None,
                (Kind::Unknown, None) => None,
                _ => continue,
            };
            if !o.answered.contains(&from) {
                o.answered.push(from);
            }
            // Time brings no more than what has been heard says by itself: judged as at the beginning.
            ended.extend(
                outcome
                    .or_else(|| judged(o, o.began))
                    .map(|outcome| (o.ticket, outcome)),
            );
        }
        for (ticket, outcome) in ended {
            self.end(ticket, outcome);
        }
    }

    fn end(&mut self, ticket: u64, outcome: Outcome) {
        let before = self.open.len();
        self.open.retain(|o| o.ticket != ticket);
        if self.open.len() < before {
            self.actions.push(Action::Ended { ticket, outcome });
        }
    }

    /// Keeps a writer's time; no where there is no room.
    fn keep(&mut self, now: Millis, by: u32, key: u64, at: u64) -> bool {
        if !self.kept.contains_key(&key) {
            if self.kept.len() >= MOST {
                return false;
            }
            self.ages.push_back((now, key));
        }
        let kept = self.kept.entry(key).or_insert(Kept {
            by: Vec::new(),
            until: 0,
        });
        kept.until = now + KEPT;
        let full = kept.by.len() >= WRITERS;
        let place = kept
            .by
            .iter()
            .position(|b| b.0 == by)
            .or(full.then_some(WRITERS - 1));
        match place.and_then(|place| kept.by.get_mut(place)) {
            Some(mine) => mine.1 = mine.1.min(at),
            None => kept.by.push((by, at)),
        }
        true
    }

    fn drop_of(&mut self, by: u32, key: u64) {
        if let Some(kept) = self.kept.get_mut(&key) {
            kept.by.retain(|b| b.0 != by);
            if kept.by.is_empty() {
                self.kept.remove(&key);
            }
        }
    }

    fn known(&self, now: Millis, key: u64) -> Option<u64> {
        let kept = self.kept.get(&key).filter(|k| now < k.until)?;
        kept.by.iter().map(|b| b.1).min()
    }

    fn flush(&mut self) {
        for (to, items) in std::mem::take(&mut self.out) {
            for part in items.chunks(codec::ITEMS) {
                self.actions.push(Action::Send {
                    to,
                    bytes: codec::encode(part),
                });
            }
        }
    }
}

/// The outcome of a note or a question, if it has one by `now`.
fn judged(o: &Open, now: Millis) -> Option<Outcome> {
    let waited = now.saturating_sub(o.began);
    let silent = o.among.len() - o.answered.len() + usize::from(o.fresh);
    match o.note {
        Some(_) if o.answered.len() >= KEEPERS.min(o.among.len()) => Some(Outcome::Noted),
        // One other is there and it is dead, or says nothing: nothing is proven to have been noted.
        Some(_) if waited >= GIVE_UP => Some(Outcome::NotNoted),
        Some(_) => None,
        None if silent == 0 => Some(Outcome::Unknown),
        None if waited >= QUIET && silent <= SILENT && !o.answered.is_empty() => {
            Some(Outcome::Unknown)
        }
        None if waited >= GIVE_UP => Some(Outcome::Unproven),
        None => None,
    }
}
