//! Who of the gateways is there: alive, suspect or down, with incarnations and the age of what is known.
//!
//! SWIM (Das, Gupta and Motivala, 2002) as the `foca` crate implements it: each period one member is probed, a missed
//! ack asks `indirect_probes` others to probe in its place, a member that still does not answer is suspected, and is
//! declared down unless it refutes within the suspicion timeout, which grows with log10 of the fleet. Updates ride on
//! probes and on a small periodic gossip. This package adds what foca leaves to its user: a datagram codec within the
//! platform's 256 bytes ([`codec`]), timers with the time as an argument, a view of the whole fleet's list with the
//! time of each change ([`view`]), and rejoining of peers that are not alive, which heals partitions.
//!
//! No I/O, no clock, no tasks: the shell hands in datagrams and the time, and carries out [`Action`]s. Randomness comes
//! from a seed. The same core runs in the gateway, in tests on a simulated network ([`sim`]) and in measurements.

#![forbid(unsafe_code)]

pub mod codec;
pub mod node;
pub mod settings;
pub mod sim;
pub mod view;

pub use codec::{is_membership, Wire, WireError};
pub use node::Node;
pub use settings::Settings;
pub use view::{Change, Liveness, Millis, Seen, Side, View};

use bytes::BufMut;
use foca::{
    AccumulatingRuntime, Codec, Foca, Header, Member, Message, NoCustomBroadcast, OwnedNotification, State,
    Timer,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::fmt;

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
    /// This process learnt that it had been declared down and rejoins as a new generation.
    Renewed(Node),
}

/// Why a datagram was not taken.
#[derive(Debug)]
pub struct Refused(foca::Error);

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "membership datagram refused: {}", self.0)
    }
}

impl std::error::Error for Refused {}

/// One gateway's membership.
pub struct Membership {
    foca: Foca<Node, Wire, SmallRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Node>,
    /// Foca's timers, by the time they are due and the order in which they were set.
    timers: BTreeMap<(Millis, u64), Timer<Node>>,
    set: u64,
    view: View,
    settings: Settings,
    rng: SmallRng,
    next_rejoin: Millis,
    next_buddy: Millis,
    /// This process's incarnation, as its own datagrams carry it (foca does not expose it).
    incarnation: u16,
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
            return Err(format!("number {} lies outside a fleet of {}", me.number, settings.fleet));
        }
        let foca = Foca::new(me, settings.foca(), SmallRng::seed_from_u64(seed), Wire);
        let rng = SmallRng::seed_from_u64(seed ^ 0x9e37_79b9_7f4a_7c15);
        let view = View::new(me, settings.fleet);
        Ok(Self {
            foca,
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            set: 0,
            view,
            next_rejoin: now,
            next_buddy: now,
            incarnation: 0,
            settings,
            rng,
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
    pub fn me(&self) -> Node {
        *self.foca.identity()
    }

    /// Announces this member to the peers with these numbers (the shell passes a few of the fleet's list at start).
    pub fn join(&mut self, now: Millis, peers: &[u32]) {
        self.now = self.now.max(now);
        let me = self.me().number;
        for &number in peers.iter().filter(|&&n| n != me && n < self.settings.fleet) {
            // Announce is addressed by number: the peer accepts it whatever generation it runs.
            let _ = self.foca.announce(Node::first(number), &mut self.runtime);
        }
        self.collect();
    }

    /// Takes a datagram that the shell received.
    ///
    /// # Errors
    ///
    /// It could not be decoded, was too long, came from this member itself, or was otherwise refused by foca; the view
    /// is unchanged then.
    /// Timers are not fired here: a process back from a stall reads what waited in its socket before its overdue
    /// timers, as the shell's loop does, so a late ack still saves the peer it probed.
    pub fn receive(&mut self, now: Millis, datagram: &[u8]) -> Result<(), Refused> {
        self.now = self.now.max(now);
        let taken = self.foca.handle_data(datagram, &mut self.runtime).map_err(Refused);
        self.collect();
        taken
    }

    /// Fires every timer due by `now`, and rejoins one peer that is not alive when that is due.
    pub fn advance(&mut self, now: Millis) {
        self.now = self.now.max(now);
        while let Some(entry) = self.timers.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let timer = entry.remove();
            // A timer of an identity that was since renewed is stale; foca ignores those by their token.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            self.collect();
        }
        if self.now >= self.next_rejoin {
            self.next_rejoin = self.now + self.settings.rejoin_ms;
            self.rejoin();
        }
        if self.now >= self.next_buddy {
            self.next_buddy = self.now + self.settings.probe_period_ms;
            self.tell_suspects();
        }
    }

    /// Tells suspects directly that they are suspected: Lifeguard's buddy system (Dadgar et al., 2018), which foca
    /// lacks. Danger guarded against: the word of a suspicion spreads among the others and is used up before any copy
    /// reaches the suspect; then it cannot refute, and under loss a live member is declared down (seen: 39 of 40 runs
    /// of seven members with 30 % of datagrams lost, each for a minute). Each member that holds a suspect tells it
    /// with a chance of `indirect_probes / (fleet - 1)` a period, so a suspect hears about that many notices a
    /// period whatever the size of the fleet.
    fn tell_suspects(&mut self) {
        let me = self.me();
        let chance = (self.settings.indirect_probes as f64
            / f64::from(self.settings.fleet.saturating_sub(1).max(1)))
        .min(1.0);
        let suspects: Vec<(Node, u16)> = self
            .view
            .rows()
            .filter(|(n, s)| *n != me.number && s.liveness == Liveness::Suspect)
            .map(|(n, s)| (Node { number: n, generation: s.generation }, s.incarnation))
            .collect();
        for (suspect, incarnation) in suspects {
            if !self.rng.random_bool(chance) {
                continue;
            }
            let header =
                Header { src: me, src_incarnation: self.incarnation, dst: suspect, message: Message::Gossip };
            let mut bytes = Vec::with_capacity(codec::LONGEST_HEADER + 2 + codec::MEMBER);
            let mut wire = Wire;
            if wire.encode_header(&header, &mut bytes).is_err() {
                continue;
            }
            bytes.put_u16(1);
            if wire.encode_member(&Member::new(suspect, incarnation, State::Suspect), &mut bytes).is_ok() {
                self.out.push(Action::Send { to: suspect.number, bytes });
            }
        }
    }

    /// When [`Membership::advance`] next has work; the shell sleeps until then or until a datagram comes.
    #[must_use]
    pub fn next_due(&self) -> Millis {
        let timer = self.timers.first_key_value().map_or(Millis::MAX, |(k, _)| k.0);
        timer.min(self.next_rejoin).min(self.next_buddy)
    }

    /// What the shell is to do, in order.
    pub fn drain(&mut self) -> std::vec::Drain<'_, Action> {
        self.out.drain(..)
    }

    /// Announces to one member of the list that is not alive. Danger guarded against: after a partition each side has
    /// declared the other down and foca alone would not look for it again before its periodic announce.
    fn rejoin(&mut self) {
        let me = self.me().number;
        let absent: Vec<u32> = self
            .view
            .rows()
            .filter(|(n, s)| *n != me && matches!(s.liveness, Liveness::Unknown | Liveness::Down))
            .map(|(n, _)| n)
            .collect();
        if absent.is_empty() {
            return;
        }
        let pick = absent[self.rng.random_range(0..absent.len())];
        let _ = self.foca.announce(Node::first(pick), &mut self.runtime);
        self.collect();
    }

    /// Moves what foca asked for into timers and actions, and brings the view up to date.
    fn collect(&mut self) {
        let mut renewed = false;
        while let Some((to, bytes)) = self.runtime.to_send() {
            if let Ok(header) = Wire.decode_header(&bytes[..]) {
                self.incarnation = header.src_incarnation;
            }
            self.out.push(Action::Send { to: to.number, bytes: bytes.to_vec() });
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            let due = self.now.saturating_add(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
            self.set += 1;
            self.timers.insert((due, self.set), timer);
        }
        while let Some(note) = self.runtime.to_notify() {
            match note {
                OwnedNotification::Rejoin(node) => {
                    self.view.set_me(node, self.now);
                    self.out.push(Action::Renewed(node));
                    renewed = true;
                }
                OwnedNotification::MemberDown(node) => self.note(&Member::new(node, 0, State::Down)),
                _ => {}
            }
        }
        let members: Vec<Member<Node>> = self.foca.iter_membership_state().cloned().collect();
        for member in &members {
            self.note(member);
        }
        if renewed {
            self.announce_renewal();
        }
    }

    /// Announces a new generation to `indirect_probes` members of the list at random. Danger guarded against: foca
    /// makes a renewed identity wait for its next periodic announce, and the others, who still address the old
    /// generation, get no answer and declare it down while it is alive (seen: silent for 7 s after a renewal, under
    /// 30 % loss).
    fn announce_renewal(&mut self) {
        let me = self.me().number;
        let fleet = self.settings.fleet;
        for _ in 0..self.settings.indirect_probes {
            let pick = self.rng.random_range(0..fleet);
            if pick != me {
                let _ = self.foca.announce(Node::first(pick), &mut self.runtime);
            }
        }
        self.collect();
    }

    fn note(&mut self, member: &Member<Node>) {
        let to = match member.state() {
            State::Alive => Liveness::Alive,
            State::Suspect => Liveness::Suspect,
            State::Down => Liveness::Down,
        };
        let incarnation = member.incarnation();
        let incarnation = if to == Liveness::Down && incarnation == 0 {
            self.view.get(member.id().number).map_or(0, |s| s.incarnation)
        } else {
            incarnation
        };
        if let Some(change) = self.view.update(*member.id(), incarnation, to, self.now) {
            self.out.push(Action::Changed(change));
        }
    }
}
