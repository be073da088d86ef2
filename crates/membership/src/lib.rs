//! Who of the gateways is there: alive, suspect or down, with incarnations and the age of what is known.
//!
//! SWIM (Das, Gupta and Motivala, 2002): each period one member is probed, a missed answer asks `indirect_probes` others
//! to probe in its place, and a member that still does not answer is suspect: it is asked again each period, and is
//! down after [`Settings::rounds`] more asks without an answer. That word rides on probes and on a small periodic gossip;
//! whoever hears it asks the member once for itself before it believes it. A member that hears itself called down raises
//! its incarnation, which outranks the word. The rules of rows are pure functions in [`merge_rules`]; why they differ from
//! SWIM as published stands there and in `docs/membership.md`.
//!
//! No I/O, no clock, no tasks: the shell hands in datagrams and the time, and carries out [`Action`]s. Randomness comes
//! from a seed. The same core runs in the gateway, in tests on a simulated network ([`sim`]) and in measurements.

#![forbid(unsafe_code)]

pub mod codec;
pub mod dissemination;
pub mod merge_rules;
pub mod node;
pub mod outstanding_pings;
pub mod settings;
pub mod sim;
pub mod view;

pub use codec::{recognizes, Datagram, Kind, WireError};
pub use merge_rules::Word;
pub use node::Node;
pub use settings::Settings;
pub use view::{Change, Liveness, Millis, Seen, Side, View};

use dissemination::Rumors;
use merge_rules::{Heard, Met, Missed, OfMe};
use outstanding_pings::{Asks, Due};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;
use std::fmt;

/// Pings carried for others and not yet answered, at most: the oldest makes room.
const RELAYS: usize = 64;

/// What the shell is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send this datagram (at most 256 bytes) to the gateway with this number.
    Send {
        /// The peer's number in the fleet's list.
        to: u32,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// A row of the view changed: log it, count it.
    Changed(Change),
    /// This process learnt that it had been called down, and goes on in this incarnation.
    Refuted(u16),
    /// A later process was taken for this one; it goes on as this generation.
    Renewed(Node),
}

/// Why a datagram was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// It can't be read.
    Wire(WireError),
    /// Its source is not in the fleet's list, or is this member itself.
    Source(u32),
    /// It was meant for this other member.
    Destination(u32),
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Wire(why) => write!(f, "membership datagram refused: {why}"),
            Self::Source(n) => write!(
                f,
                "membership datagram refused: its source, {n}, is no other gateway"
            ),
            Self::Destination(n) => write!(
                f,
                "membership datagram refused: it was meant for gateway {n}"
            ),
        }
    }
}

impl std::error::Error for Refused {}

/// A ping sent for another member.
#[derive(Debug, Clone, Copy)]
struct Relay {
    seq: u16,
    target: u32,
    origin: u32,
    origin_seq: u16,
}

/// One gateway's membership.
pub struct Membership {
    me: Node,
    incarnation: u16,
    view: View,
    settings: Settings,
    rng: SmallRng,
    asks: Asks,
    rumors: Rumors,
    relays: VecDeque<Relay>,
    /// Members still to be probed in this turn through the fleet.
    turn: Vec<u32>,
    /// Whether the last members probed answered in their first round.
    recent: VecDeque<bool>,
    next_probe: Millis,
    next_gossip: Millis,
    next_join: Millis,
    /// The pause after the next join: doubles up to `rejoin_ms`.
    join_pause: Millis,
    renewed: Option<Millis>,
    left: bool,
    now: Millis,
    out: Vec<Action>,
}

impl Membership {
    /// A member that knows only itself, at time `now`.
    ///
    /// # Errors
    ///
    /// The settings do not pass [`Settings::check`], or `me` lies outside the fleet's list.
    pub fn new(me: Node, settings: Settings, seed: u64, now: Millis) -> Result<Self, String> {
        settings.check()?;
        if me.number >= settings.fleet {
            return Err(format!(
                "number {} lies outside a fleet of {}",
                me.number, settings.fleet
            ));
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        // Danger guarded against: gateways started at once would probe and gossip in step.
        let next_probe = now + rng.random_range(0..settings.probe_period_ms);
        Ok(Self {
            me,
            incarnation: 0,
            view: View::new(me, settings.fleet),
            rng,
            asks: Asks::default(),
            rumors: Rumors::default(),
            relays: VecDeque::new(),
            turn: Vec::new(),
            recent: VecDeque::new(),
            next_probe,
            next_gossip: now,
            next_join: now + settings.gossip_ms,
            join_pause: settings.gossip_ms,
            renewed: None,
            left: false,
            settings,
            now,
            out: Vec::new(),
        })
    }

    /// The view as it stands.
    #[must_use]
    pub const fn view(&self) -> &View {
        &self.view
    }

    /// The settings in force.
    #[must_use]
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// This process, with its current generation.
    #[must_use]
    pub const fn me(&self) -> Node {
        self.me
    }

    /// Whether this member has said that it stops.
    #[must_use]
    pub const fn left(&self) -> bool {
        self.left
    }

    /// Which side of a cut this gateway is on.
    #[must_use]
    pub fn side(&self) -> Side {
        let answered = self.recent.iter().filter(|&&a| a).count() as u32;
        Side {
            reachable: self.view.alive(),
            fleet: self.view.fleet(),
            answered,
            asked: self.recent.len() as u32,
        }
    }

    /// Announces this member to the peers with these numbers (the shell passes a few of the fleet's list at start).
    pub fn join(&mut self, now: Millis, peers: &[u32]) {
        self.now = self.now.max(now);
        let (me, fleet) = (self.me.number, self.settings.fleet);
        for &number in peers.iter().filter(|&&n| n != me && n < fleet) {
            // Danger guarded against: three peers asked alike would all tell of the same members.
            let from = self.rng.random_range(0..fleet);
            self.send(number, Kind::Join { from: Some(from) });
        }
    }

    /// Says to a few members that this one stops, and does nothing from then on: others need not wait for a suspicion.
    pub fn leave(&mut self, now: Millis) {
        self.now = self.now.max(now);
        for number in self.some_alive(self.settings.indirect_probes, self.me.number) {
            self.send(number, Kind::Leave);
        }
        self.left = true;
    }

    /// Takes a datagram that the shell received. Time-outs are not looked at here: a process back from a stall reads
    /// what waited in its socket, and rounds that were over meanwhile count for nothing ([`Asks::due`]).
    ///
    /// # Errors
    ///
    /// It could not be read, came from nobody of the list, or was meant for another; the view is unchanged then.
    pub fn receive(&mut self, now: Millis, datagram: &[u8]) -> Result<(), Refused> {
        self.now = self.now.max(now);
        let d = codec::decode(datagram).map_err(Refused::Wire)?;
        if d.src.number == self.me.number || d.src.number >= self.settings.fleet {
            return Err(Refused::Source(d.src.number));
        }
        if d.dst.number != self.me.number {
            return Err(Refused::Destination(d.dst.number));
        }
        if self.left {
            return Ok(());
        }
        let counts = self.meet(d.src, d.incarnation);
        let mut behind = Vec::new();
        for word in &d.words {
            // Word of this member itself is heard from anybody: whoever thinks it down has to be told.
            if (word.node.number == self.me.number || counts) && self.hear(word, d.src.number) {
                behind.extend(self.word_of(word.node.number));
            }
        }
        if !behind.is_empty() {
            self.say(d.src.number, Kind::Gossip, behind);
        }
        self.answer(&d, counts);
        Ok(())
    }

    /// Does what is due by `now`.
    pub fn advance(&mut self, now: Millis) {
        self.now = self.now.max(now);
        if self.left {
            return;
        }
        if self.now >= self.next_probe {
            self.next_probe = self.now + self.settings.probe_period_ms;
            if let Some(number) = self.next_of_turn() {
                self.asks.ask(number, false);
            }
        }
        for (number, due) in self.asks.due(self.now, &self.settings) {
            match due {
                Due::Ping => self.ping(number),
                Due::Indirect => {
                    self.ping(number);
                    self.ask_others(number);
                }
                Due::Missed => self.missed(number),
            }
        }
        if self.now >= self.next_gossip && !self.rumors.is_empty() {
            self.next_gossip = self.now + self.settings.gossip_ms;
            for number in self.some_alive(self.settings.gossip_fanout, self.me.number) {
                if !self.rumors.is_empty() {
                    self.send(number, Kind::Gossip);
                }
            }
        }
        if self.now >= self.next_join {
            self.next_join = self.now + self.join_pause;
            self.join_pause = (2 * self.join_pause).min(self.settings.rejoin_ms);
            self.rejoin();
        }
    }

    /// When [`Membership::advance`] next has work; the shell sleeps until then or until a datagram comes.
    #[must_use]
    pub fn next_due(&self) -> Millis {
        if self.left {
            return Millis::MAX;
        }
        let gossip = if self.rumors.is_empty() {
            Millis::MAX
        } else {
            self.next_gossip
        };
        self.next_probe
            .min(gossip)
            .min(self.next_join)
            .min(self.asks.next(&self.settings))
            .max(self.now)
    }

    /// What the shell is to do, in order.
    pub fn drain(&mut self) -> std::vec::Drain<'_, Action> {
        self.out.drain(..)
    }

    /// Notes the source of a datagram; returns whether what it says of others counts.
    fn meet(&mut self, src: Node, incarnation: u16) -> bool {
        let Some(&row) = self.view.get(src.number) else {
            return false;
        };
        match merge_rules::meet(&row, src, incarnation) {
            Met::Same => {}
            Met::Alive => {
                self.asks.end(src.number);
                self.set(src, incarnation, Liveness::Alive);
                self.rumors.spread(src.number);
            }
            Met::Tell => {
                let known = Node {
                    number: src.number,
                    generation: row.generation,
                };
                let down = row.liveness == Liveness::Down;
                let word = Word {
                    node: known,
                    incarnation: row.incarnation,
                    down,
                };
                self.say(src.number, Kind::Gossip, vec![word]);
                return false;
            }
        }
        self.view.heard(src.number, self.now);
        true
    }

    /// Takes one word that `teller` said; returns whether the teller is behind.
    fn hear(&mut self, word: &Word, teller: u32) -> bool {
        let number = word.node.number;
        if number == self.me.number {
            self.hear_of_me(word, teller);
            return false;
        }
        let Some(row) = self.view.get(number) else {
            return false;
        };
        match merge_rules::hear(row, word) {
            Heard::Old => {}
            Heard::Behind => return true,
            Heard::Take => {
                let to = if word.down {
                    Liveness::Down
                } else {
                    Liveness::Alive
                };
                self.asks.end(number);
                self.set(word.node, word.incarnation, to);
                self.rumors.spread(number);
            }
            Heard::Ask => {
                self.set(word.node, word.incarnation, Liveness::Suspect);
                self.asks.ask(number, true);
            }
        }
        false
    }

    fn hear_of_me(&mut self, word: &Word, teller: u32) {
        match merge_rules::of_me(self.me, self.incarnation, word) {
            OfMe::Nothing => return,
            OfMe::Refute(incarnation) => {
                self.incarnation = incarnation;
                self.out.push(Action::Refuted(incarnation));
            }
            OfMe::Renew(generation) => {
                // Danger guarded against: two processes with one number would outbid each other without end.
                let pause = self.settings.suspicion_ms;
                if self.renewed.is_some_and(|at| self.now < at + pause) {
                    return;
                }
                self.renewed = Some(self.now);
                self.me.generation = generation;
                self.incarnation = 0;
                self.view.set_me(self.me, self.now);
                self.out.push(Action::Renewed(self.me));
            }
        }
        self.rumors.spread(self.me.number);
        // Whoever said so hears the answer at once, from the member itself.
        self.send(teller, Kind::Gossip);
    }

    /// Does what a datagram asks for.
    fn answer(&mut self, d: &Datagram, counts: bool) {
        let src = d.src.number;
        match d.kind {
            // Also to a member held down: its answer is what proves it alive.
            Kind::Ping { seq } => self.send(src, Kind::Ack { seq }),
            Kind::Ack { seq } if d.dst == self.me => {
                if let Some(at) = self
                    .relays
                    .iter()
                    .position(|r| r.seq == seq && r.target == src)
                {
                    if let Some(r) = self.relays.remove(at) {
                        let (target, incarnation) = (d.src, d.incarnation);
                        self.send(
                            r.origin,
                            Kind::IndirectAck {
                                seq: r.origin_seq,
                                target,
                                incarnation,
                            },
                        );
                    }
                }
                self.answered(d.src, d.incarnation, seq);
            }
            Kind::PingReq { seq, target } if counts && target != self.me.number => {
                let relay = Relay {
                    seq: self.asks.seq(),
                    target,
                    origin: src,
                    origin_seq: seq,
                };
                if target >= self.settings.fleet {
                    return;
                }
                if self.relays.len() == RELAYS {
                    self.relays.pop_front();
                }
                self.relays.push_back(relay);
                self.send(target, Kind::Ping { seq: relay.seq });
            }
            Kind::IndirectAck {
                seq,
                target,
                incarnation,
            } if counts && d.dst == self.me => {
                self.answered(target, incarnation, seq);
            }
            Kind::Join { from } => self.feed(src, from),
            Kind::Feed if counts => self.read_on(src, &d.words),
            Kind::Leave if counts => {
                self.asks.end(src);
                self.set(d.src, d.incarnation, Liveness::Down);
                self.rumors.spread(src);
            }
            _ => {}
        }
    }

    /// A member answered an ask.
    fn answered(&mut self, node: Node, incarnation: u16, seq: u16) {
        let Some(&row) = self.view.get(node.number) else {
            return;
        };
        let asked = self
            .asks
            .get(node.number)
            .is_some_and(|a| a.answered_by(seq));
        if !asked || row.generation != node.generation {
            return;
        }
        if self
            .asks
            .end(node.number)
            .is_some_and(|a| a.missed == 0 && !a.told)
        {
            self.remember(true);
        }
        if row.liveness == Liveness::Suspect {
            self.set(node, incarnation, Liveness::Alive);
            if incarnation != row.incarnation {
                self.rumors.spread(node.number);
            }
        }
    }

    /// A round of asks passed without an answer.
    fn missed(&mut self, number: u32) {
        let Some(ask) = self.asks.get(number) else {
            return;
        };
        let (missed, told) = (ask.missed + 1, ask.told);
        let Some(&row) = self.view.get(number) else {
            return;
        };
        let node = Node {
            number,
            generation: row.generation,
        };
        if missed == 1 && !told {
            self.remember(false);
        }
        match merge_rules::miss(missed, told, self.settings.rounds()) {
            Missed::Again => {
                self.set(node, row.incarnation, Liveness::Suspect);
                self.asks.again(number, missed);
            }
            Missed::Down => {
                self.asks.end(number);
                self.set(node, row.incarnation, Liveness::Down);
                self.rumors.spread(number);
            }
        }
    }

    fn remember(&mut self, answered: bool) {
        if self.recent.len() == view::RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(answered);
    }

    /// The next member to probe: all that are alive, in an order drawn anew for each turn.
    fn next_of_turn(&mut self) -> Option<u32> {
        for fresh in [false, true] {
            if fresh {
                self.turn = self.alive_but(self.me.number);
                self.turn.shuffle(&mut self.rng);
            }
            while let Some(number) = self.turn.pop() {
                let alive = self
                    .view
                    .get(number)
                    .is_some_and(|s| s.liveness == Liveness::Alive);
                if alive && self.asks.get(number).is_none() {
                    return Some(number);
                }
            }
        }
        None
    }

    fn alive_but(&self, but: u32) -> Vec<u32> {
        self.view
            .rows()
            .filter(|(n, s)| *n != self.me.number && *n != but && s.liveness == Liveness::Alive)
            .map(|(n, _)| n)
            .collect()
    }

    /// Up to `count` members alive, at random.
    fn some_alive(&mut self, count: usize, but: u32) -> Vec<u32> {
        let mut all = self.alive_but(but);
        let (some, _) = all.partial_shuffle(&mut self.rng, count);
        some.to_vec()
    }

    fn ping(&mut self, number: u32) {
        let Some(ask) = self.asks.get(number) else {
            return;
        };
        let (seq, told) = (ask.seqs.1, ask.told);
        let Some(row) = self.view.get(number) else {
            return;
        };
        let node = Node {
            number,
            generation: row.generation,
        };
        // Called down by others: it has to know, so that its answer outranks that word everywhere.
        let word = Word {
            node,
            incarnation: row.incarnation,
            down: true,
        };
        let words = if told { vec![word] } else { Vec::new() };
        self.say(number, Kind::Ping { seq }, words);
    }

    fn ask_others(&mut self, target: u32) {
        let Some(seq) = self.asks.get(target).map(|a| a.seqs.1) else {
            return;
        };
        for number in self.some_alive(self.settings.indirect_probes, target) {
            self.send(number, Kind::PingReq { seq, target });
        }
    }

    /// Announces to one member of the list that is not alive. Danger guarded against: after a partition each side holds
    /// the other down, and nobody would look for it again.
    fn rejoin(&mut self) {
        let absent: Vec<u32> = self
            .view
            .rows()
            .filter(|(n, s)| {
                *n != self.me.number && matches!(s.liveness, Liveness::Unknown | Liveness::Down)
            })
            .map(|(n, _)| n)
            .collect();
        if absent.is_empty() {
            self.join_pause = self.settings.rejoin_ms;
            return;
        }
        let pick = absent[self.rng.random_range(0..absent.len())];
        let from = self.first_unknown(pick);
        let words = self.down_word(pick).into_iter().collect();
        self.say(pick, Kind::Join { from }, words);
    }

    /// The first unknown member from a number on, round the list.
    fn first_unknown(&self, from: u32) -> Option<u32> {
        let fleet = self.settings.fleet;
        (0..fleet).map(|i| (from + i) % fleet).find(|&n| {
            n != self.me.number
                && self
                    .view
                    .get(n)
                    .is_some_and(|s| s.liveness == Liveness::Unknown)
        })
    }

    fn down_word(&self, number: u32) -> Option<Word> {
        let row = self
            .view
            .get(number)
            .filter(|s| s.liveness == Liveness::Down)?;
        let node = Node {
            number,
            generation: row.generation,
        };
        Some(Word {
            node,
            incarnation: row.incarnation,
            down: true,
        })
    }

    /// Tells a member that joins of those from a number on.
    fn feed(&mut self, to: u32, from: Option<u32>) {
        let fleet = self.settings.fleet;
        let words = from.map_or_else(Vec::new, |from| {
            (0..fleet)
                .map(|i| (from % fleet + i) % fleet)
                .filter(|&n| n != to && n != self.me.number)
                .filter_map(|n| self.word_of(n))
                .take(codec::WORDS)
                .collect()
        });
        self.push(to, Kind::Feed, words);
    }

    /// Asks for more where a feed told of members that were not known.
    fn read_on(&mut self, from: u32, words: &[Word]) {
        let Some(last) = words.last() else { return };
        // Danger guarded against: two members without anything new would ask each other without end.
        let fresh = words.iter().any(|w| {
            self.view
                .get(w.node.number)
                .is_some_and(|s| s.since == self.now)
        });
        if let (true, Some(next)) = (
            fresh,
            self.first_unknown((last.node.number + 1) % self.settings.fleet),
        ) {
            self.say(from, Kind::Join { from: Some(next) }, Vec::new());
        }
    }

    /// What this member says of another. Of one in doubt it says what it knew before: that outranks nothing.
    fn word_of(&self, number: u32) -> Option<Word> {
        if number == self.me.number {
            return Some(Word {
                node: self.me,
                incarnation: self.incarnation,
                down: false,
            });
        }
        let row = self.view.get(number)?;
        let down = match row.liveness {
            Liveness::Alive | Liveness::Suspect => false,
            Liveness::Down => true,
            Liveness::Unknown => return None,
        };
        let node = Node {
            number,
            generation: row.generation,
        };
        Some(Word {
            node,
            incarnation: row.incarnation,
            down,
        })
    }

    fn send(&mut self, to: u32, kind: Kind) {
        self.say(to, kind, Vec::new());
    }

    /// Sends these words first, then rumors in the room that is left.
    fn say(&mut self, to: u32, kind: Kind, mut words: Vec<Word>) {
        let room = codec::WORDS - words.len().min(codec::WORDS);
        for number in self.rumors.next(room, to, self.settings.tellings()) {
            words.extend(self.word_of(number));
        }
        self.push(to, kind, words);
    }

    fn push(&mut self, to: u32, kind: Kind, words: Vec<Word>) {
        let generation = self.view.get(to).map_or(0, |s| s.generation);
        let dst = Node {
            number: to,
            generation,
        };
        let bytes = codec::encode(&Datagram {
            src: self.me,
            incarnation: self.incarnation,
            dst,
            kind,
            words,
        });
        self.out.push(Action::Send { to, bytes });
    }

    fn set(&mut self, node: Node, incarnation: u16, to: Liveness) {
        if let Some(change) = self.view.set(node, incarnation, to, self.now) {
            self.out.push(Action::Changed(change));
        }
    }
}
