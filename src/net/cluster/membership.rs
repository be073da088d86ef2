//! The shell of membership: the core of `irisrouter_membership` fed with the datagrams of the peer socket and the time,
//! and its actions carried out. It owns the core; nothing is borrowed across an await.
//!
//! Datagrams whose first byte is membership's come here; the findings of hosts share the socket and go on as before.
//! Each change of the view is one log line and one count; the console's `members` and SIGUSR1 tell the view itself. Findings from a gateway that the view holds to be down are
//! not used.

use crate::net::cluster::peer_socket::{Outbox, OutgoingDatagram};
use crate::net::config::Peers;
use crate::net::log::log;
use crate::net::metrics::{increment, Metrics};
use irisrouter_membership::{Action, Liveness, Membership, Millis, Node, Settings};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::Instant;

/// Peers announced to at start. Danger guarded against: one silent peer must not keep a new gateway from joining.
const FIRST: usize = 3;

/// Membership of one gateway.
pub struct MembershipService {
    core: RefCell<Membership>,
    start: Instant,
    out: Outbox,
    metrics: Rc<Metrics>,
}

impl MembershipService {
    /// A member joined to a few peers of the list. Its generation is the Unix time of its start in seconds, modulo
    /// 2^16: a process started later wins over the one before it for nine hours. Where that is not so (a clock set
    /// back, or a restart after longer), the others tell it the generation that they know, and it goes on as the next.
    ///
    /// # Errors
    ///
    /// The settings do not pass their checks.
    pub fn new(
        peers: &Peers,
        settings: Settings,
        unix_s: u64,
        seed: u64,
        metrics: Rc<Metrics>,
    ) -> Result<Self, String> {
        let generation = (unix_s & 0xffff) as u16;
        let me = Node {
            number: peers.local_number,
            generation,
        };
        let mut core = Membership::new(me, settings, seed, 0)?;
        let fleet = peers.gateway_addresses.len() as u32;
        let first: Vec<u32> = (1..=FIRST as u32)
            .map(|i| (peers.local_number + i) % fleet.max(1))
            .collect();
        core.join(0, &first);
        log!(
            "membership: on, gateway {} of {fleet}, generation {generation}",
            peers.local_number
        );
        Ok(Self {
            core: RefCell::new(core),
            start: Instant::now(),
            out: Outbox::new(peers.gateway_addresses.clone()),
            metrics,
        })
    }

    fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Takes a membership datagram from gateway `from`; returns what is to be sent.
    pub fn receive(&self, datagram: &[u8], from: u32) -> Vec<OutgoingDatagram> {
        let now = self.now();
        let mut core = self.core.borrow_mut();
        match core.receive(now, datagram) {
            Ok(()) => increment(&self.metrics.membership.received),
            Err(why) => {
                increment(&self.metrics.membership.rejected);
                log!("membership: a datagram from gateway {from} is not used: {why}");
            }
        }
        self.carry_out(&mut core)
    }

    /// Fires what is due; returns what is to be sent.
    pub fn advance(&self) -> Vec<OutgoingDatagram> {
        let now = self.now();
        let mut core = self.core.borrow_mut();
        core.advance(now);
        self.carry_out(&mut core)
    }

    /// When [`MembershipService::advance`] has work next.
    pub fn due(&self) -> Instant {
        let due = self.core.borrow().next_due();
        let now = self.now();
        self.start + std::time::Duration::from_millis(due.max(now).min(now + 60_000))
    }

    /// Whether what gateway `number` tells is used: not once it is held to be down.
    pub fn accepts_from(&self, number: u32) -> bool {
        self.core.borrow().view().counts(number)
    }

    /// This process.
    pub fn local_node(&self) -> Node {
        self.core.borrow().me()
    }

    /// The gateways held alive, this one included, and whether that is the larger side of a cut; none and no once this
    /// gateway has said that it stops.
    pub fn alive(&self) -> (Vec<u32>, bool) {
        let core = self.core.borrow();
        let me = core.me().number;
        if core.left() {
            return (vec![me], false);
        }
        let rows = core.view().rows();
        let alive = rows
            .filter(|(n, s)| *n == me || s.liveness == Liveness::Alive)
            .map(|(n, _)| n)
            .collect();
        (alive, core.side().majority())
    }

    /// The gateways that are not held down, this one included.
    pub fn not_down(&self) -> Vec<u32> {
        self.not_down_with_generations()
            .into_iter()
            .map(|(number, _)| number)
            .collect()
    }

    /// Likewise, with the generations of their processes.
    pub fn not_down_with_generations(&self) -> Vec<(u32, u16)> {
        let core = self.core.borrow();
        let rows = core.view().rows();
        rows.filter(|(_, s)| !matches!(s.liveness, Liveness::Down | Liveness::Unknown))
            .map(|(n, s)| (n, s.generation))
            .collect()
    }

    /// Gateways in the fleet's list.
    pub fn fleet_size(&self) -> u32 {
        self.core.borrow().settings().fleet
    }

    /// Says to a few others that this gateway stops; returns what is to be sent.
    pub fn leave(&self) -> Vec<OutgoingDatagram> {
        let now = self.now();
        let mut core = self.core.borrow_mut();
        core.leave(now);
        log!("membership: this gateway leaves");
        self.carry_out(&mut core)
    }

    /// The view as one line, for the console, SIGUSR1 and the end: how many are reachable, whether that is a majority,
    /// and of each gateway its state, generation, incarnation, the seconds for which it has been in that state, and
    /// the seconds since it was last heard itself (`-` where never).
    pub fn status_line(&self) -> String {
        let (core, now) = (self.core.borrow(), self.now());
        let age = |at: Millis| now.saturating_sub(at) / 1000;
        let side = core.side();
        let rows: Vec<String> = core
            .view()
            .rows()
            .filter(|(_, s)| s.liveness != Liveness::Unknown)
            .map(|(n, s)| {
                let heard = s
                    .heard
                    .map_or("-".to_string(), |at| format!("{}s", age(at)));
                let state = (s.liveness.word(), s.generation, s.incarnation, age(s.since));
                format!(
                    "{n}:{}/{}/{}/{}s/{heard}",
                    state.0, state.1, state.2, state.3
                )
            })
            .collect();
        format!(
            "membership reachable={} of {} majority={} alone={} answered={}/{} {}",
            side.reachable,
            side.fleet,
            side.majority(),
            side.alone(),
            side.answered,
            side.asked,
            rows.join(" ")
        )
    }

    fn carry_out(&self, core: &mut Membership) -> Vec<OutgoingDatagram> {
        for action in core.drain() {
            match action {
                Action::Send { to, bytes } => self.out.push(to, bytes),
                Action::Changed(c) => {
                    increment(&self.metrics.membership.changed);
                    log!(
                        "membership: gateway {} {} -> {} (generation {}, incarnation {})",
                        c.number,
                        c.from.word(),
                        c.to.word(),
                        c.generation,
                        c.incarnation
                    );
                }
                Action::Refuted(incarnation) => {
                    increment(&self.metrics.membership.refuted);
                    log!("membership: this gateway was called down and goes on as incarnation {incarnation}");
                }
                Action::Renewed(node) => {
                    log!(
                        "membership: a later process was taken for this one; it goes on as generation {}",
                        node.generation
                    );
                }
            }
        }
        self.out.take()
    }
}
