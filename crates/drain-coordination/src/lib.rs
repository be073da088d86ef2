//! Draining a database host on an operator's word: told to all gateways, and seen through by one of them at a time.
//!
//! A [`Word`] says that a host is to be out of service, or back. The gateway that was given it tells all others until more
//! than half of the fleet follow it; from then on it is known wherever a majority is. Each gateway that knows a word
//! follows it at once. Seeing it through is a duty (`irisrouter-leases`): its owner asks every gateway that is not held
//! down what it still has open at the host, and says that the drain is done once all have answered "nothing" under its
//! epoch. When the owner dies the next one asks all anew; what an older owner still says is not heard. Later words win,
//! whoever tells them, so that a gateway that was cut off can't bring an old drain back.
//!
//! No I/O, no clock, no tasks; the same shape as `irisrouter-leases`.

#![forbid(unsafe_code)]

pub mod codec;

pub use codec::{recognizes, WireError};

use codec::{Item, Kind};
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds on the caller's monotonic clock.
pub type Millis = u64;

/// Hosts of which words are kept. Danger: datagrams that name ever new hosts.
const MOST: usize = 256;
/// Gateways told by one that knows a word of which no owner is heard: those that are to own it.
const CANDIDATES: usize = 3;

/// An operator's word on one host. Of two, the later one holds; of two of one moment, that of the higher gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainCommand {
    /// The host, by the number that gateways call it.
    pub host: u32,
    /// It is to be out of service; else back.
    pub out: bool,
    /// When it was said: Unix milliseconds, and later than any word on that host that its gateway knew.
    pub at: u64,
    /// At which gateway.
    pub by: u32,
}

impl DrainCommand {
    /// By which words on one host are ordered.
    #[must_use]
    pub const fn order(&self) -> (u64, u32, bool) {
        (self.at, self.by, self.out)
    }
}

/// Settings; times in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Gateways in the fleet's list.
    pub fleet: u32,
    /// Between two rounds of asking those that have not answered "nothing".
    pub round_ms: u64,
    /// Between two tellings to those that have: a gateway that starts again hears of a drain within this time.
    pub slow_ms: u64,
    /// A word is told to the fleet for so long before its operator hears that it has not got through.
    pub say_ms: u64,
}

impl Settings {
    /// For this fleet, as fast as leases are.
    #[must_use]
    pub const fn paced(fleet: u32, lease_ms: u64) -> Self {
        Self {
            fleet,
            round_ms: lease_ms / 5,
            slow_ms: lease_ms,
            say_ms: 2_000,
        }
    }

    /// Gateways that make a majority of the fleet's list.
    const fn majority(&self) -> usize {
        self.fleet as usize / 2 + 1
    }
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
    /// From now on this word is followed: log it, and take the host out of service or back.
    Follow(DrainCommand),
    /// Answer the operator: the word that was said here is followed by so many gateways, this one included, and that is a
    /// majority of the fleet or not.
    Said {
        /// The host.
        host: u32,
        /// Gateways that follow it.
        by: usize,
        /// More than half of the fleet.
        majority: bool,
    },
    /// A host is drained, as this gateway as the owner found, or as it heard: log it.
    Done {
        /// Which word.
        word: DrainCommand,
        /// Under which epoch.
        epoch: u64,
        /// Gateways that were held down and not heard: those may still send to it.
        unheard: u32,
        /// This gateway found it.
        own: bool,
    },
}

/// How far a drain is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Not known here: another gateway sees it through.
    Elsewhere,
    /// This gateway sees it through: requests still open as the gateways told, and gateways that have not answered.
    Draining {
        /// Requests open.
        open: u32,
        /// Gateways that have yet to answer.
        unheard: usize,
    },
    /// Nobody had anything open; so many gateways were held down and not heard.
    Done(u32),
}

/// A word that was said here, until its operator has an answer.
struct Saying {
    until: Millis,
    next: Millis,
    followed: BTreeSet<u32>,
}

/// What an owner knows.
struct Lead {
    epoch: u64,
    next: Millis,
    slow: Millis,
    /// By gateway: the process that answered, and what it had open.
    answers: BTreeMap<u32, (u16, u32)>,
}

/// What is known of one host.
struct Known {
    word: DrainCommand,
    /// The latest epoch heard of or held.
    epoch: u64,
    /// When an owner was last heard, or the word itself.
    heard: Millis,
    done: Option<(u64, u32)>,
    saying: Option<Saying>,
    lead: Option<Lead>,
}

/// What a core is told of its surroundings at each step.
pub trait Surroundings {
    /// The token under which this gateway may act on a host's drain now.
    fn token(&self, host: u32) -> Option<u64>;
    /// Requests that this gateway has open at a host.
    fn open(&self, host: u32) -> u32;
}

/// All drains, as one gateway knows them.
pub struct DrainCoordinator {
    me: u32,
    settings: Settings,
    known: BTreeMap<u32, Known>,
    /// The gateways that are not held down, this one included, with the generation of their processes.
    there: BTreeMap<u32, u16>,
    out: BTreeMap<u32, Vec<Item>>,
    actions: Vec<Action>,
}

impl DrainCoordinator {
    /// A gateway that knows of no word yet.
    #[must_use]
    pub fn new(me: u32, settings: Settings) -> Self {
        let there = BTreeMap::from([(me, 0)]);
        Self {
            me,
            settings,
            known: BTreeMap::new(),
            there,
            out: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// The gateways that are not held down, with their generations.
    pub fn view(&mut self, there: impl IntoIterator<Item = (u32, u16)>) {
        self.there = there.into_iter().collect();
        self.there.entry(self.me).or_insert(0);
    }

    /// An operator says that a host is to be out, or back. It holds here at once; [`Action::Said`] follows.
    ///
    /// # Errors
    /// Too many hosts are spoken of.
    pub fn say(&mut self, now: Millis, unix_ms: u64, host: u32, out: bool) -> Result<(), String> {
        self.make_room(host)?;
        let at = self
            .known
            .get(&host)
            .map_or(unix_ms, |k| unix_ms.max(k.word.at + 1));
        self.follow(
            now,
            DrainCommand {
                host,
                out,
                at,
                by: self.me,
            },
        );
        if let Some(k) = self.known.get_mut(&host) {
            let followed = BTreeSet::from([self.me]);
            k.saying = Some(Saying {
                until: now + self.settings.say_ms,
                next: now,
                followed,
            });
        }
        Ok(())
    }

    /// The hosts whose drains are a duty: those that are to be out, and those whose return has not gone round.
    #[must_use]
    pub fn duties(&self) -> Vec<u32> {
        self.known
            .iter()
            .filter(|(_, k)| k.word.out || k.done.is_none())
            .map(|(&h, _)| h)
            .collect()
    }

    /// All words, with how far each is.
    pub fn words(&self) -> impl Iterator<Item = (DrainCommand, Progress)> + '_ {
        self.known.values().map(|k| (k.word, self.progress(k)))
    }

    fn progress(&self, k: &Known) -> Progress {
        match (k.done, &k.lead) {
            (Some((_, unheard)), _) => Progress::Done(unheard),
            (None, Some(lead)) => Progress::Draining {
                open: lead
                    .answers
                    .values()
                    .fold(0, |sum, a| sum.saturating_add(a.1)),
                unheard: self
                    .there
                    .iter()
                    .filter(|(g, gen)| !answered(lead, **g, **gen))
                    .count(),
            },
            (None, None) => Progress::Elsewhere,
        }
    }

    /// Takes a datagram from gateway `from`.
    ///
    /// # Errors
    /// It can't be read; nothing is changed then.
    pub fn receive(
        &mut self,
        now: Millis,
        from: u32,
        datagram: &[u8],
        around: &impl Surroundings,
    ) -> Result<(), WireError> {
        for item in codec::decode(datagram)? {
            match item.kind {
                Kind::Tell => self.told(now, from, &item, around),
                Kind::Holds => self.holds(now, from, &item, around),
                Kind::Done => self.done(now, &item),
            }
        }
        self.flush();
        Ok(())
    }

    /// Does what is due by `now`.
    pub fn advance(&mut self, now: Millis, around: &impl Surroundings) {
        let hosts: Vec<u32> = self.known.keys().copied().collect();
        for host in hosts {
            self.say_on(now, host);
            self.lead(now, host, around);
            self.look_for_an_owner(now, host);
        }
        self.flush();
    }

    /// When [`Drains::advance`] next has work; it may be called earlier.
    #[must_use]
    pub fn next_due(&self, now: Millis) -> Millis {
        if self.known.is_empty() {
            return Millis::MAX;
        }
        now + self.settings.round_ms / 2
    }

    /// What the shell is to do, in order.
    pub fn drain(&mut self) -> std::vec::Drain<'_, Action> {
        self.actions.drain(..)
    }

    /// Makes room for one more host: those that are back and known to be make way.
    fn make_room(&mut self, host: u32) -> Result<(), String> {
        if self.known.contains_key(&host) || self.known.len() < MOST {
            return Ok(());
        }
        let back = |k: &&Known| !k.word.out && k.done.is_some();
        let oldest = self
            .known
            .values()
            .filter(back)
            .min_by_key(|k| k.word.at)
            .map(|k| k.word.host);
        let oldest = oldest.ok_or_else(|| format!("{MOST} hosts are spoken of already"))?;
        self.known.remove(&oldest);
        Ok(())
    }

    /// A word later than what was known on its host holds from now on.
    fn follow(&mut self, now: Millis, word: DrainCommand) {
        let known = Known {
            word,
            epoch: 0,
            heard: now,
            done: None,
            saying: None,
            lead: None,
        };
        // Epochs of a duty go on from word to word.
        let epoch = self.known.get(&word.host).map_or(0, |k| k.epoch);
        self.known.insert(word.host, Known { epoch, ..known });
        self.actions.push(Action::Follow(word));
    }

    fn told(&mut self, now: Millis, from: u32, item: &Item, around: &impl Surroundings) {
        let Item { word, epoch, .. } = *item;
        match self.known.get(&word.host).map(|k| k.word) {
            Some(mine) if mine.order() > word.order() => {
                // The teller is behind: it hears the later word, as from one that owns nothing.
                return self.push(from, Kind::Tell, mine, 0, 0);
            }
            Some(mine) if mine.order() == word.order() => {}
            _ if self.make_room(word.host).is_err() => return,
            _ => self.follow(now, word),
        }
        let Some(k) = self.known.get_mut(&word.host) else {
            return;
        };
        if epoch != 0 {
            if epoch < k.epoch {
                return;
            }
            (k.epoch, k.heard) = (epoch, now);
        }
        let open = around.open(word.host);
        self.push(from, Kind::Holds, word, epoch, open);
    }

    /// A gateway follows a word and says what it has open.
    fn holds(&mut self, now: Millis, from: u32, item: &Item, around: &impl Surroundings) {
        let Some(&generation) = self.there.get(&from) else {
            return;
        };
        let Some(k) = self
            .known
            .get_mut(&item.word.host)
            .filter(|k| k.word == item.word)
        else {
            return;
        };
        if let Some(saying) = &mut k.saying {
            saying.followed.insert(from);
        }
        let lead = k.lead.as_mut().filter(|l| l.epoch == item.epoch);
        if let Some(lead) = lead {
            lead.answers.insert(from, (generation, item.count));
            self.lead(now, item.word.host, around);
        }
        self.say_on(now, item.word.host);
    }

    /// An owner found a drain done.
    fn done(&mut self, now: Millis, item: &Item) {
        let Some(k) = self
            .known
            .get_mut(&item.word.host)
            .filter(|k| k.word == item.word)
        else {
            return;
        };
        if item.epoch < k.epoch || item.epoch == 0 {
            return;
        }
        (k.epoch, k.heard) = (item.epoch, now);
        if k.done.replace((item.epoch, item.count)).is_none() {
            let (word, epoch, unheard) = (item.word, item.epoch, item.count);
            self.actions.push(Action::Done {
                word,
                epoch,
                unheard,
                own: false,
            });
        }
    }

    /// Tells the fleet a word that was said here, until its operator has an answer.
    fn say_on(&mut self, now: Millis, host: u32) {
        let (majority, round) = (self.settings.majority(), self.settings.round_ms);
        let Some(k) = self.known.get_mut(&host) else {
            return;
        };
        let (word, Some(saying)) = (k.word, &mut k.saying) else {
            return;
        };
        let by = saying.followed.len();
        if by >= majority || now >= saying.until {
            k.saying = None;
            self.actions.push(Action::Said {
                host,
                by,
                majority: by >= majority,
            });
            return;
        }
        if now < saying.next {
            return;
        }
        saying.next = now + round;
        let to: Vec<u32> = self
            .there
            .keys()
            .copied()
            .filter(|g| !saying.followed.contains(g))
            .collect();
        to.into_iter()
            .for_each(|to| self.push(to, Kind::Tell, word, 0, 0));
    }

    /// Sees a drain through, under the token that holds now.
    fn lead(&mut self, now: Millis, host: u32, around: &impl Surroundings) {
        let (me, s) = (self.me, self.settings);
        let Some(k) = self.known.get_mut(&host) else {
            return;
        };
        // Danger guarded against: an owner back from a stall would call a drain done by answers of another time.
        let Some(epoch) = around.token(host).filter(|&e| e >= k.epoch) else {
            k.lead = None;
            return;
        };
        if k.lead.as_ref().is_none_or(|l| l.epoch != epoch) {
            k.lead = Some(Lead {
                epoch,
                next: now,
                slow: now,
                answers: BTreeMap::new(),
            });
        }
        (k.epoch, k.heard) = (epoch, now);
        let (word, Some(lead)) = (k.word, &mut k.lead) else {
            return;
        };
        let generation = self.there.get(&me).copied().unwrap_or(0);
        lead.answers.insert(me, (generation, around.open(host)));
        let there = &self.there;
        lead.answers.retain(|g, _| there.contains_key(g));
        let idle = |g: &u32, gen: &u16| {
            answered(lead, *g, *gen) && lead.answers.get(g).is_some_and(|a| a.1 == 0)
        };
        let waiting: Vec<u32> = there
            .iter()
            .filter(|(g, gen)| !idle(g, gen))
            .map(|(&g, _)| g)
            .collect();
        // Danger guarded against: one that a cut left alone would speak for all.
        let heard = lead.answers.len() >= s.majority();
        if heard && waiting.is_empty() && k.done.is_none_or(|d| d.0 < epoch) {
            let unheard = s.fleet.saturating_sub(there.len() as u32);
            // Of a drain that an earlier owner found done, this is the same word again.
            if k.done.replace((epoch, unheard)).is_none() {
                self.actions.push(Action::Done {
                    word,
                    epoch,
                    unheard,
                    own: true,
                });
            }
            lead.slow = now;
        }
        let (all, some) = (now >= lead.slow, now >= lead.next);
        if all {
            lead.slow = now + s.slow_ms;
        }
        if some {
            lead.next = now + s.round_ms;
        }
        let to: Vec<u32> = if all {
            there.keys().copied().collect()
        } else if some {
            waiting
        } else {
            Vec::new()
        };
        let done = k.done.filter(|_| all);
        for to in to.into_iter().filter(|&g| g != me) {
            self.push(to, Kind::Tell, word, epoch, 0);
            if let Some((_, unheard)) = done {
                self.push(to, Kind::Done, word, epoch, unheard);
            }
        }
    }

    /// Tells those that are to own a drain of which no owner is heard. Danger guarded against: where all three started again
    /// since the word was said, none of them knows that there is anything to own.
    fn look_for_an_owner(&mut self, now: Millis, host: u32) {
        let (me, s) = (self.me, self.settings);
        let Some(k) = self.known.get_mut(&host) else {
            return;
        };
        if now < k.heard + 4 * s.slow_ms || !(k.word.out || k.done.is_none()) {
            return;
        }
        k.heard = now;
        let word = k.word;
        let there: Vec<u32> = self.there.keys().copied().collect();
        let first = irisrouter_leases::rendezvous::candidates(task_id(host), &there);
        for to in first.into_iter().take(CANDIDATES).filter(|&g| g != me) {
            self.push(to, Kind::Tell, word, 0, 0);
        }
    }

    fn push(&mut self, to: u32, kind: Kind, word: DrainCommand, epoch: u64, count: u32) {
        if to != self.me {
            self.out.entry(to).or_default().push(Item {
                kind,
                word,
                epoch,
                count,
            });
        }
    }

    /// Packs what is to be said into datagrams.
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

/// The number of a host's drain as a duty: beyond any set's that a platform gives out.
#[must_use]
pub const fn task_id(host: u32) -> u64 {
    0x4452_4149_0000_0000 | host as u64
}

/// Whether this process of a gateway has answered an owner.
fn answered(lead: &Lead, gateway: u32, generation: u16) -> bool {
    lead.answers
        .get(&gateway)
        .is_some_and(|a| a.0 == generation)
}

/// Of the hosts in service of one set, those that words take out. All of them is too many: the one of the latest word
/// stays, at every gateway the same. Danger guarded against: two operators that drain a set's two hosts at once.
#[must_use]
pub fn taken_out(set: &[u32], word: impl Fn(u32) -> Option<DrainCommand>) -> BTreeSet<u32> {
    let words: Vec<DrainCommand> = set
        .iter()
        .filter_map(|&h| word(h).filter(|w| w.out))
        .collect();
    let mut out: BTreeSet<u32> = words.iter().map(|w| w.host).collect();
    if out.len() == set.len() {
        if let Some(last) = words.iter().max_by_key(|w| (w.order(), w.host)) {
            out.remove(&last.host);
        }
    }
    out
}
