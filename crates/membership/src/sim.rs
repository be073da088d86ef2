//! A simulated network of members, for tests and measurements: seeded, in virtual time, with the faults that the
//! fleet meets. It is a stand-in for the lab's processes on loopback and does not replace them.
//!
//! Faults: a share of datagrams lost, delay drawn in a range, cuts one way or both, partitions, a stalled process (its
//! socket keeps up to [`SOCKET`] datagrams, as a kernel's buffer would), a crash, and a restart as a new generation.

use crate::{Action, Change, Liveness, Membership, Millis, Node, Settings};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

/// Datagrams a stalled process's socket holds; more are lost.
pub const SOCKET: usize = 256;

enum Slot {
    Running(Box<Membership>),
    Stalled(Box<Membership>, Vec<Vec<u8>>),
    Crashed(u16),
}

/// A datagram on its way.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Flight {
    at: Millis,
    order: u64,
    to: u32,
    bytes: Vec<u8>,
}

/// The fleet and the network between its members.
pub struct Net {
    slots: Vec<Slot>,
    flights: BinaryHeap<Reverse<Flight>>,
    order: u64,
    rng: SmallRng,
    seed: u64,
    settings: Settings,
    now: Millis,
    /// Share of datagrams lost, 0 to 1.
    pub loss: f64,
    /// Delay of a datagram in milliseconds, drawn evenly from this range.
    pub delay: (Millis, Millis),
    cuts: BTreeSet<(u32, u32)>,
    /// Datagrams and bytes sent by each member.
    pub sent: Vec<(u64, u64)>,
    /// Datagrams sent, by kind of message (the header's byte 15: ping 0 to leave 7).
    pub kinds: [u64; 8],
    /// Every change of every view: who saw it, and the change.
    pub changes: Vec<(u32, Change)>,
    /// Members that learnt they had been called down and refuted: when, who, and the new incarnation.
    pub refuted: Vec<(Millis, u32, u16)>,
    /// Members for which a later process was taken, and that took a new generation: when, and the new node.
    pub renewed: Vec<(Millis, Node)>,
    /// Datagrams that a member refused: when, who, why.
    pub refused: Vec<(Millis, u32, String)>,
}

impl Net {
    /// `size` members with the settings for that size, each joined to member 0 and to one other.
    ///
    /// # Panics
    ///
    /// Never for `size` of at least 1: settings for a fleet pass their own check.
    #[must_use]
    pub fn start(size: u32, seed: u64) -> Self {
        Self::with(Settings::for_fleet(size), seed)
    }

    /// As [`Net::start`] with settings of the caller's.
    ///
    /// # Panics
    ///
    /// The settings do not pass their check.
    #[must_use]
    pub fn with(settings: Settings, seed: u64) -> Self {
        let size = settings.fleet;
        let mut net = Self {
            slots: Vec::new(),
            flights: BinaryHeap::new(),
            order: 0,
            rng: SmallRng::seed_from_u64(seed),
            seed,
            settings,
            now: 0,
            loss: 0.0,
            delay: (1, 5),
            cuts: BTreeSet::new(),
            sent: vec![(0, 0); size as usize],
            kinds: [0; 8],
            changes: Vec::new(),
            refused: Vec::new(),
            refuted: Vec::new(),
            renewed: Vec::new(),
        };
        for n in 0..size {
            let member = Membership::new(
                Node::first(n),
                net.settings.clone(),
                seed.wrapping_add(u64::from(n)),
                0,
            )
            .expect("settings for a fleet pass their check");
            net.slots.push(Slot::Running(Box::new(member)));
        }
        for n in 0..size {
            let other = net.rng.random_range(0..size);
            net.with_member(n, |m, now| m.join(now, &[0, other]));
        }
        net
    }

    /// The time now.
    #[must_use]
    pub const fn now(&self) -> Millis {
        self.now
    }

    /// The view of member `n`, if it runs or is stalled.
    #[must_use]
    pub fn view(&self, n: u32) -> Option<&crate::View> {
        match self.slots.get(n as usize)? {
            Slot::Running(m) | Slot::Stalled(m, _) => Some(m.view()),
            Slot::Crashed(_) => None,
        }
    }

    /// Which side of a cut member `n` thinks it is on, if it runs or is stalled.
    #[must_use]
    pub fn side(&self, n: u32) -> Option<crate::Side> {
        match self.slots.get(n as usize)? {
            Slot::Running(m) | Slot::Stalled(m, _) => Some(m.side()),
            Slot::Crashed(_) => None,
        }
    }

    /// Whether member `n` runs (not stalled, not crashed).
    #[must_use]
    pub fn runs(&self, n: u32) -> bool {
        matches!(self.slots.get(n as usize), Some(Slot::Running(_)))
    }

    /// How member `observer` sees member `n`.
    #[must_use]
    pub fn sees(&self, observer: u32, n: u32) -> Option<Liveness> {
        self.view(observer)?.get(n).map(|s| s.liveness)
    }

    /// Drops datagrams from `from` to `to`.
    pub fn cut(&mut self, from: u32, to: u32) {
        self.cuts.insert((from, to));
    }

    /// Cuts every pair across the two sides, both ways.
    pub fn partition(&mut self, a: &[u32], b: &[u32]) {
        for &x in a {
            for &y in b {
                self.cut(x, y);
                self.cut(y, x);
            }
        }
    }

    /// Removes every cut.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Stops member `n` without ending it, as SIGSTOP does.
    pub fn stall(&mut self, n: u32) {
        if let Some(slot) = self.slots.get_mut(n as usize) {
            if let Slot::Running(_) = slot {
                let Slot::Running(m) = std::mem::replace(slot, Slot::Crashed(0)) else {
                    return;
                };
                *slot = Slot::Stalled(m, Vec::new());
            }
        }
    }

    /// Lets a stalled member go on: it reads what waited in its socket, then fires its overdue timers.
    pub fn resume(&mut self, n: u32) {
        let Some(slot) = self.slots.get_mut(n as usize) else {
            return;
        };
        if let Slot::Stalled(..) = slot {
            let Slot::Stalled(m, waiting) = std::mem::replace(slot, Slot::Crashed(0)) else {
                return;
            };
            *slot = Slot::Running(m);
            for bytes in waiting {
                self.with_member(n, |m, now| {
                    let _ = m.receive(now, &bytes);
                });
            }
            self.with_member(n, Membership::advance);
        }
    }

    /// Ends member `n` at once; what is on its way to it is lost.
    pub fn crash(&mut self, n: u32) {
        if let Some(slot) = self.slots.get_mut(n as usize) {
            let generation = match slot {
                Slot::Running(m) | Slot::Stalled(m, _) => m.me().generation,
                Slot::Crashed(g) => *g,
            };
            *slot = Slot::Crashed(generation);
        }
    }

    /// Lets member `n` say that it stops, and ends it.
    pub fn leave(&mut self, n: u32) {
        self.with_member(n, Membership::leave);
        self.crash(n);
    }

    /// Starts a crashed member again as its next generation, joined to `peers`.
    pub fn restart(&mut self, n: u32, peers: &[u32]) {
        let Some(Slot::Crashed(generation)) = self.slots.get(n as usize) else {
            return;
        };
        let me = Node {
            number: n,
            generation: *generation,
        }
        .next();
        self.restart_as(n, me, peers);
    }

    /// Starts a crashed member again as this process, joined to `peers`.
    pub fn restart_as(&mut self, n: u32, me: Node, peers: &[u32]) {
        let seed = self.seed ^ (u64::from(n) << 32) ^ u64::from(me.generation);
        let Ok(member) = Membership::new(me, self.settings.clone(), seed, self.now) else {
            return;
        };
        self.slots[n as usize] = Slot::Running(Box::new(member));
        self.with_member(n, |m, now| m.join(now, peers));
    }

    /// Runs in steps of 100 ms until every running member sees every other running member alive, or `limit` passes;
    /// returns the time it came to that.
    pub fn settle(&mut self, limit: Millis) -> Option<Millis> {
        let end = self.now + limit;
        let size = self.slots.len() as u32;
        while self.now < end {
            self.run_until(self.now + 100);
            let running: Vec<u32> = (0..size).filter(|&n| self.runs(n)).collect();
            if running.iter().all(|&a| {
                running
                    .iter()
                    .all(|&b| self.sees(a, b) == Some(Liveness::Alive))
            }) {
                return Some(self.now);
            }
        }
        None
    }

    /// Runs until `until`, delivering datagrams and firing timers in order of time.
    pub fn run_until(&mut self, until: Millis) {
        loop {
            let flight = self.flights.peek().map_or(Millis::MAX, |f| f.0.at);
            let due = self
                .slots
                .iter()
                .filter_map(|s| match s {
                    Slot::Running(m) => Some(m.next_due()),
                    _ => None,
                })
                .min()
                .unwrap_or(Millis::MAX);
            let next = flight.min(due);
            if next > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            if flight <= due {
                let Some(Reverse(f)) = self.flights.pop() else {
                    continue;
                };
                self.deliver(f);
            } else {
                for n in 0..self.slots.len() as u32 {
                    if matches!(&self.slots[n as usize], Slot::Running(m) if m.next_due() <= self.now)
                    {
                        self.with_member(n, Membership::advance);
                    }
                }
            }
        }
    }

    fn deliver(&mut self, f: Flight) {
        match self.slots.get_mut(f.to as usize) {
            Some(Slot::Running(_)) => {
                let mut why = None;
                self.with_member(f.to, |m, now| {
                    why = m.receive(now, &f.bytes).err().map(|e| e.to_string());
                });
                if let Some(why) = why {
                    self.refused.push((self.now, f.to, why));
                }
            }
            Some(Slot::Stalled(_, waiting)) if waiting.len() < SOCKET => waiting.push(f.bytes),
            _ => {}
        }
    }

    /// Runs `act` on member `n` if it runs, then carries out its actions.
    fn with_member(&mut self, n: u32, act: impl FnOnce(&mut Membership, Millis)) {
        let now = self.now;
        let Some(Slot::Running(m)) = self.slots.get_mut(n as usize) else {
            return;
        };
        act(m, now);
        let actions: Vec<Action> = m.drain().collect();
        for action in actions {
            match action {
                Action::Send { to, bytes } => self.send(n, to, bytes),
                Action::Changed(change) => self.changes.push((n, change)),
                Action::Refuted(incarnation) => self.refuted.push((now, n, incarnation)),
                Action::Renewed(node) => self.renewed.push((now, node)),
            }
        }
    }

    fn send(&mut self, from: u32, to: u32, bytes: Vec<u8>) {
        assert!(
            bytes.len() <= crate::codec::MAX_DATAGRAM_BYTES,
            "a datagram of {} bytes",
            bytes.len()
        );
        if let Some(s) = self.sent.get_mut(from as usize) {
            s.0 += 1;
            s.1 += bytes.len() as u64;
        }
        if let Some(sent) = bytes
            .get(15)
            .and_then(|&k| self.kinds.get_mut(usize::from(k)))
        {
            *sent += 1;
        }
        if self.cuts.contains(&(from, to)) || self.rng.random_bool(self.loss.clamp(0.0, 1.0)) {
            return;
        }
        let delay = self
            .rng
            .random_range(self.delay.0..=self.delay.1.max(self.delay.0));
        self.order += 1;
        self.flights.push(Reverse(Flight {
            at: self.now + delay,
            order: self.order,
            to,
            bytes,
        }));
    }
}
