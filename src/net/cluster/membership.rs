//! The membership service: passes the datagrams of the peer socket and the current time to the protocol core
//! (`irisrouter_membership`), and carries out the core's actions. The service owns the core; no borrow of it is held
//! across an await.
//!
//! The peer socket is shared with other protocols and passes on only the datagrams whose first byte is that of
//! membership. Each change of the view is logged in one line and counted; the console command `members` and SIGUSR1
//! print the whole view. The reports of a gateway that is down in the view are not used.

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

/// Number of peers to which a gateway sends a join message at start. It is more than one, so that a single unresponsive
/// peer cannot keep the gateway from joining.
const INITIAL_PEERS: u32 = 3;

/// The gateways that are alive in this gateway's view.
pub struct AliveGateways {
    /// The alive gateways in ascending order, including this gateway.
    pub gateways: Vec<GatewayId>,
    /// Whether this gateway reaches the majority of the fleet, and so is on the majority side of any network partition.
    pub majority: bool,
}

/// The membership service of one gateway.
pub struct MembershipService {
    core: RefCell<Membership>,
    clock: ServiceClock,
    outbox: Outbox,
    metrics: Rc<Metrics>,
}

impl MembershipService {
    /// Starts the service and queues a join message to a few peers of the fleet's list.
    ///
    /// The generation of this process is the Unix time of its start in seconds, modulo 2^16. Generations are compared
    /// modulo 2^16, so a process takes precedence over the previous one if it starts within nine hours of it. Otherwise
    /// (after a longer time, or if the clock was set back), the other gateways answer with the generation that they
    /// know, and this process continues with the generation that follows it.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid, or if the fleet's list has no gateway with this gateway's index.
    pub fn new(
        peers: &Peers,
        settings: Settings,
        start_unix_s: u64,
        seed: u64,
        metrics: Rc<Metrics>,
    ) -> Result<Self, MembershipError> {
        let local = GatewayProcess {
            gateway: peers.local_gateway,
            generation: Generation((start_unix_s & 0xffff) as u16),
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

    /// Processes a membership datagram from gateway `from`. Returns the datagrams to send.
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

    /// Does the work that is due. Returns the datagrams to send.
    pub fn advance(&self) -> Vec<OutgoingDatagram> {
        let now = self.clock.now();
        let mut core = self.core.borrow_mut();
        core.advance(now);
        self.carry_out_actions(&mut core)
    }

    /// Returns when [`MembershipService::advance`] is to be called next, at most
    /// [`MAX_SLEEP`](crate::net::cluster::service_clock::MAX_SLEEP) from now.
    pub fn due(&self) -> Instant {
        self.clock.instant_of(self.core.borrow().next_due())
    }

    /// Returns whether the reports of a gateway are used: its health-check results, its heartbeats of the endpoint
    /// watch, and its load reports and plans of site failover. They are not if the gateway is down in the view.
    pub fn accepts_from(&self, gateway: GatewayId) -> bool {
        self.core.borrow().view().accepts_from(gateway)
    }

    /// Returns the identity of this process: the gateway and the generation.
    pub fn local_process(&self) -> GatewayProcess {
        self.core.borrow().local_process()
    }

    /// Returns this gateway's id.
    pub fn local_gateway(&self) -> GatewayId {
        self.local_process().gateway
    }

    /// Returns the gateways that are alive in the view. After [`MembershipService::leave`] it returns only this
    /// gateway, without a majority.
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

    /// Returns the gateways that are alive or suspect, including this gateway.
    pub fn alive_or_suspect_gateways(&self) -> Vec<GatewayId> {
        let processes = self.alive_or_suspect_processes().into_iter();
        processes.map(|process| process.gateway).collect()
    }

    /// Returns the processes of the gateways that are alive or suspect, including this process.
    pub fn alive_or_suspect_processes(&self) -> Vec<GatewayProcess> {
        let core = self.core.borrow();
        let members = core.view().members();
        members
            .filter(|member| !matches!(member.liveness, Liveness::Down | Liveness::Unknown))
            .map(|member| member.process)
            .collect()
    }

    /// Returns the number of gateways in the fleet's list.
    pub fn fleet_size(&self) -> u32 {
        self.core.borrow().settings().fleet_size
    }

    /// Announces to a few other gateways that this gateway stops. Returns the datagrams to send.
    pub fn leave(&self) -> Vec<OutgoingDatagram> {
        let now = self.clock.now();
        let mut core = self.core.borrow_mut();
        core.leave(now);
        log!("membership: this gateway leaves");
        self.carry_out_actions(&mut core)
    }

    /// Returns the view as one line, which is printed by the console, on SIGUSR1, and in the log at shutdown. The line
    /// has the number of reachable gateways, whether they are a majority, whether this gateway is alone, and how many
    /// of the recent pings were answered. For each gateway it has the state, the generation, the incarnation, the
    /// seconds since the state or the generation last changed, and the seconds since the last datagram sent by the
    /// gateway itself (`-` if none has arrived).
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

    /// Carries out the core's actions. Returns the datagrams to send.
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

/// Returns the peers that receive a join message at start: those that follow the gateway in the fleet's list, wrapping
/// around to index 0.
fn initial_peers(local: GatewayId, fleet_size: u32) -> Vec<GatewayId> {
    (1..=INITIAL_PEERS)
        .map(|offset| GatewayId((local.0 + offset) % fleet_size.max(1)))
        .collect()
}

/// Formats one gateway for the status line.
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

/// Logs a change of the view.
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
