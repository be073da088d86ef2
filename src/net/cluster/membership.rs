//! The shell of membership: passes the datagrams of the peer socket and the time to the core (`irisrouter_membership`) and
//! carries out its actions. It owns the core; nothing is borrowed across an await.
//!
//! The peer socket is shared: only datagrams whose first byte is membership's come here. Each change of the view is one
//! log line and one count; the console's `members` and SIGUSR1 give the view itself. Health-check findings from a gateway
//! that the view holds down are not used.

use crate::net::cluster::outbox::{Outbox, OutgoingDatagram};
use crate::net::cluster::service_clock::ServiceClock;
use crate::net::config::Peers;
use crate::net::log::log;
use crate::net::metrics::{increment, Metrics};
use irisrouter_cluster_types::{GatewayId, GatewayProcess, Generation, Timestamp};
use irisrouter_membership::{
    Action, Liveness, LivenessChange, MemberState, Membership, MembershipError, Settings,
};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::Instant;

/// How many peers a gateway joins at start: more than one, so that a single peer that does not answer can't keep it from
/// joining.
const INITIAL_PEERS: u32 = 3;

/// The gateways that are alive in the view of this one.
pub struct AliveGateways {
    /// In ascending order, this gateway included.
    pub gateways: Vec<GatewayId>,
    /// Whether this gateway is on the side of a partition that has the majority of the fleet.
    pub majority: bool,
}

/// Membership of one gateway.
pub struct MembershipService {
    core: RefCell<Membership>,
    clock: ServiceClock,
    outbox: Outbox,
    metrics: Rc<Metrics>,
}

impl MembershipService {
    /// A member joined to a few peers of the list.
    ///
    /// Its generation is the Unix time of its start in seconds, modulo 2^16: a process started later wins over the one
    /// before it for nine hours. Where that is not so (a clock set back, or a restart after longer), the others send it
    /// the generation that they know, and it continues as the next.
    ///
    /// # Errors
    ///
    /// The settings do not pass their check, or this gateway's number is not in the list.
    pub fn new(
        peers: &Peers,
        settings: Settings,
        unix_s: u64,
        seed: u64,
        metrics: Rc<Metrics>,
    ) -> Result<Self, MembershipError> {
        let local = GatewayProcess {
            gateway: peers.local_gateway,
            generation: Generation((unix_s & 0xffff) as u16),
        };
        let mut core = Membership::new(local, settings, seed, Timestamp::ZERO)?;
        let fleet_size = peers.gateway_addresses.len() as u32;
        core.join(Timestamp::ZERO, &initial_peers(local.gateway, fleet_size));
        log!(
            "membership: on, gateway {} of {fleet_size}, generation {}",
            local.gateway,
            local.generation
        );
        Ok(Self {
            core: RefCell::new(core),
            clock: ServiceClock::start(),
            outbox: Outbox::new(peers.gateway_addresses.clone()),
            metrics,
        })
    }

    /// Processes a membership datagram from gateway `from`; returns what is to be sent.
    pub fn receive(&self, datagram: &[u8], from: GatewayId) -> Vec<OutgoingDatagram> {
        let now = self.clock.now();
        let mut core = self.core.borrow_mut();
        match core.receive(now, datagram) {
            Ok(()) => increment(&self.metrics.membership.received),
            Err(error) => {
                increment(&self.metrics.membership.rejected);
                log!("membership: a datagram from gateway {from} is ignored: {error}");
            }
        }
        self.carry_out_actions(&mut core)
    }

    /// Does the work that is due; returns what is to be sent.
    pub fn advance(&self) -> Vec<OutgoingDatagram> {
        let now = self.clock.now();
        let mut core = self.core.borrow_mut();
        core.advance(now);
        self.carry_out_actions(&mut core)
    }

    /// When [`MembershipService::advance`] is to be called next, within the bound of [`ServiceClock::instant_of`].
    pub fn due(&self) -> Instant {
        self.clock.instant_of(self.core.borrow().next_due())
    }

    /// Whether reports from a gateway are used: not once the view holds it down.
    pub fn accepts_from(&self, gateway: GatewayId) -> bool {
        self.core.borrow().view().accepts_from(gateway)
    }

    /// This process.
    pub fn local_process(&self) -> GatewayProcess {
        self.core.borrow().local_process()
    }

    /// This gateway.
    pub fn local_gateway(&self) -> GatewayId {
        self.local_process().gateway
    }

    /// The gateways that are alive in the view; only this one, without a majority, once it has announced that it stops.
    pub fn alive(&self) -> AliveGateways {
        let core = self.core.borrow();
        let local = core.local_process().gateway;
        if core.has_left() {
            return AliveGateways {
                gateways: vec![local],
                majority: false,
            };
        }
        let members = core.view().members();
        let gateways = members
            .filter(|member| member.process.gateway == local || member.liveness == Liveness::Alive)
            .map(|member| member.process.gateway)
            .collect();
        AliveGateways {
            gateways,
            majority: core.partition_side().has_majority(),
        }
    }

    /// The gateways that are alive or suspect, this one included.
    pub fn not_down(&self) -> Vec<GatewayId> {
        let processes = self.not_down_processes().into_iter();
        processes.map(|process| process.gateway).collect()
    }

    /// The processes of the gateways that are alive or suspect, this one included.
    pub fn not_down_processes(&self) -> Vec<GatewayProcess> {
        let core = self.core.borrow();
        let members = core.view().members();
        members
            .filter(|member| !matches!(member.liveness, Liveness::Down | Liveness::Unknown))
            .map(|member| member.process)
            .collect()
    }

    /// The number of gateways in the fleet's list.
    pub fn fleet_size(&self) -> u32 {
        self.core.borrow().settings().fleet_size
    }

    /// Announces to a few other gateways that this one stops; returns what is to be sent.
    pub fn leave(&self) -> Vec<OutgoingDatagram> {
        let now = self.clock.now();
        let mut core = self.core.borrow_mut();
        core.leave(now);
        log!("membership: this gateway leaves");
        self.carry_out_actions(&mut core)
    }

    /// The view as one line, for the console, SIGUSR1 and the log at the end: how many gateways are reachable, whether
    /// that is a majority, and of each gateway its state, generation, incarnation, the seconds for which it has been in
    /// that state, and the seconds since a datagram of its own last arrived (`-` if none has).
    pub fn status_line(&self) -> String {
        let core = self.core.borrow();
        let now = self.clock.now();
        let side = core.partition_side();
        let members: Vec<String> = core
            .view()
            .members()
            .filter(|member| member.liveness != Liveness::Unknown)
            .map(|member| member_status(member, now))
            .collect();
        format!(
            "membership reachable={} of {} majority={} alone={} answered={}/{} {}",
            side.reachable,
            side.fleet_size,
            side.has_majority(),
            side.is_alone(),
            side.answered_pings,
            side.recent_pings,
            members.join(" ")
        )
    }

    /// Carries out the core's actions; returns what is to be sent.
    fn carry_out_actions(&self, core: &mut Membership) -> Vec<OutgoingDatagram> {
        for action in core.drain_actions() {
            self.carry_out(action);
        }
        self.outbox.take()
    }

    fn carry_out(&self, action: Action) {
        match action {
            Action::Send { to, bytes } => self.outbox.push(to, bytes),
            Action::Changed(change) => {
                increment(&self.metrics.membership.changed);
                log_change(&change);
            }
            Action::Refuted(incarnation) => {
                increment(&self.metrics.membership.refuted);
                log!("membership: refuted a report that this gateway is down, as incarnation {incarnation}");
            }
            Action::Renewed(process) => {
                log!(
                    "membership: the fleet knew a later generation of this gateway; it continues as generation {}",
                    process.generation
                );
            }
        }
    }
}

/// The peers that a gateway joins at start: those that follow it in the list, continuing at 0 after the last.
fn initial_peers(local: GatewayId, fleet_size: u32) -> Vec<GatewayId> {
    (1..=INITIAL_PEERS)
        .map(|offset| GatewayId((local.0 + offset) % fleet_size.max(1)))
        .collect()
}

/// One gateway in the status line.
fn member_status(member: &MemberState, now: Timestamp) -> String {
    let seconds_since = |at| now.saturating_duration_since(at).0 / 1000;
    let last_received = match member.last_received {
        Some(at) => format!("{}s", seconds_since(at)),
        None => "-".to_string(),
    };
    format!(
        "{}:{}/{}/{}/{}s/{last_received}",
        member.process.gateway,
        member.liveness.as_str(),
        member.process.generation,
        member.incarnation,
        seconds_since(member.since)
    )
}

/// One log line for a change of the view.
fn log_change(change: &LivenessChange) {
    log!(
        "membership: gateway {} {} -> {} (generation {}, incarnation {})",
        change.process.gateway,
        change.from.as_str(),
        change.to.as_str(),
        change.process.generation,
        change.incarnation
    );
}
