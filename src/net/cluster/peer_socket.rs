//! The UDP socket between gateways: it receives datagrams for the cluster services, and sends
//! theirs.

use crate::net::cluster::membership::MembershipService;
use crate::net::cluster::peer_sender::PeerSender;
use crate::net::cluster::services::ClusterServices;
use crate::net::cluster::shared_health_checks::SharedHealthChecks;
use crate::net::config::Peers;
use crate::net::log::log;
use crate::net::metrics::{increment, Metrics};
use crate::net::router_task::RouterHandle;
use crate::net::upstream::Upstream;
use crate::net::Clock;
use irisrouter::routing::GroupId;
use irisrouter_cluster_types::GatewayId;
use irisrouter_gossip::message;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Display;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{sleep, Instant};

/// The longest time without a look at the services, where none of them has work earlier.
const IDLE_WAIT: Duration = Duration::from_millis(500);
/// How long datagrams wait for one another, so that a burst of them is taken in one turn: short
/// against the age at which results of health checks are of no more use.
const RECEIVE_INTERVAL: Duration = Duration::from_millis(10);
/// The most datagrams that are received in one turn. Requests go on before the next turn.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
/// One byte more than the longest datagram, so that longer ones are recognized as too long.
const RECEIVE_BUFFER_BYTES: usize = message::MAX_DATAGRAM_BYTES + 1;
const UNKNOWN_SENDER: &str = "no gateway's address";

/// What the peer socket works with.
#[derive(Clone)]
pub struct Dependencies {
    /// Receives the results of health checks.
    pub router: Rc<RouterHandle>,
    /// The database hosts.
    pub upstream: Rc<Upstream>,
    /// Counters.
    pub metrics: Rc<Metrics>,
    /// The clock of health checks.
    pub clock: Clock,
    /// The services that send and receive.
    pub services: ClusterServices,
    /// Whether this gateway runs rounds of health checks for all. Without it the socket carries
    /// membership, write intents and what other gateways send.
    pub share_health_checks: bool,
}

/// The peer socket can't be opened.
#[derive(Debug, Error)]
#[error("cannot listen on {address}: {source}")]
pub struct PeerSocketError {
    address: SocketAddr,
    source: io::Error,
}

/// The protocol of a datagram, by its first byte.
enum Protocol {
    Membership,
    Leases,
    WriteIntents,
    Drains,
    EndpointWatch,
    SiteFailover,
    /// Health-check results, and whatever no other protocol recognizes.
    HealthChecks,
}

impl Protocol {
    fn of(datagram: &[u8]) -> Self {
        if irisrouter_membership::recognizes(datagram) {
            Protocol::Membership
        } else if irisrouter_leases::recognizes(datagram) {
            Protocol::Leases
        } else if irisrouter_write_intents::recognizes(datagram) {
            Protocol::WriteIntents
        } else if irisrouter_drain_coordination::recognizes(datagram) {
            Protocol::Drains
        } else if irisrouter_endpoint_watch::recognizes(datagram) {
            Protocol::EndpointWatch
        } else if irisrouter_site_failover::recognizes(datagram) {
            Protocol::SiteFailover
        } else {
            Protocol::HealthChecks
        }
    }
}

/// The groups with hosts in service, as of the last look.
#[derive(Default)]
struct KnownGroups {
    /// [`Upstream::groups_version`] at that look; none before the first one.
    version: Option<u64>,
    groups: Rc<[GroupId]>,
}

/// The socket between this gateway and the others.
pub struct PeerSocket {
    socket: Rc<UdpSocket>,
    sender: PeerSender,
    local_gateway: GatewayId,
    /// Each gateway, by the address from which it sends.
    gateways_by_address: HashMap<SocketAddr, GatewayId>,
    health_checks: Rc<SharedHealthChecks>,
    known_groups: RefCell<KnownGroups>,
    dependencies: Dependencies,
}

impl PeerSocket {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// The address can't be bound, for example while an older process of this gateway still uses
    /// it.
    pub fn open(peers: &Peers, dependencies: Dependencies) -> Result<Rc<Self>, PeerSocketError> {
        let socket = bind(peers.listen_address).map_err(|source| PeerSocketError {
            address: peers.listen_address,
            source,
        })?;
        let socket = Rc::new(socket);
        // An older process had the address until now. What it granted to other gateways, or
        // recorded for them, is not known to this process, which the two services have to allow
        // for.
        if let Some(leases) = &dependencies.services.leases {
            leases.on_socket_opened();
        }
        if let Some(write_intents) = &dependencies.services.write_intents {
            write_intents.on_socket_opened();
        }
        let sender = PeerSender::new(Rc::clone(&socket), peers.broadcast_address);
        let health_checks = SharedHealthChecks::new(peers, sender.clone(), &dependencies);
        Ok(Rc::new(PeerSocket {
            socket,
            sender,
            local_gateway: peers.local_gateway,
            gateways_by_address: gateways_by_address(&peers.gateway_addresses),
            health_checks: Rc::new(health_checks),
            known_groups: RefCell::default(),
            dependencies,
        }))
    }

    /// Receives datagrams and does the services' work, for ever.
    pub async fn run(self: Rc<Self>) {
        let services = &self.dependencies.services;
        let mut next_turn = std::pin::pin!(self.next_turn(0));
        loop {
            let wait = self.advance_services();
            tokio::select! {
                () = &mut next_turn => {
                    let received = self.receive_waiting();
                    next_turn.set(self.next_turn(received));
                }
                () = services.write_intent_send_requested() => {}
                () = services.drain_send_requested() => {}
                () = services.endpoint_watch_send_requested() => {}
                () = sleep(wait) => {}
            }
        }
    }

    /// Waits for the next turn, after one in which so many datagrams were received.
    async fn next_turn(&self, received: usize) {
        if received > 0 {
            sleep(RECEIVE_INTERVAL).await;
        } else {
            self.datagram_ready().await;
        }
    }

    /// Waits until a datagram comes. The runtime watches the socket only meanwhile: else each
    /// datagram would wake it, also between two turns.
    async fn datagram_ready(&self) {
        let watched = self.socket.try_clone();
        match watched.and_then(tokio::net::UdpSocket::from_std) {
            // An error is reported by the call that receives.
            Ok(watched) => drop(watched.readable().await),
            Err(_) => sleep(RECEIVE_INTERVAL).await,
        }
    }

    /// Receives the datagrams that are waiting, as many as one turn takes, and returns how many
    /// there were.
    fn receive_waiting(&self) -> usize {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        for received in 0..MAX_DATAGRAMS_PER_TURN {
            match self.socket.recv_from(&mut buffer) {
                Ok((length, from)) => self.receive(&buffer[..length], from),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return received,
                // The system reports on this call that an earlier datagram was not delivered.
                Err(_) => increment(&self.dependencies.metrics.gossip.ignored),
            }
        }
        MAX_DATAGRAMS_PER_TURN
    }

    /// Does the work of all services that is due, and returns the time until some service has work
    /// again.
    fn advance_services(&self) -> Duration {
        let mut wait = IDLE_WAIT;
        if self.dependencies.share_health_checks {
            let groups = self.groups_in_service();
            wait = wait.min(self.advance_leases(&groups));
            wait = wait.min(self.advance_drains());
            wait = wait.min(self.advance_endpoint_watch());
            wait = wait.min(self.advance_site_failover());
            wait = wait.min(self.health_checks.start_due_rounds());
        }
        wait = wait.min(self.advance_membership());
        wait.min(self.advance_write_intents())
    }

    /// The groups with hosts in service. The schedule of health checks learns of them when they
    /// change.
    fn groups_in_service(&self) -> Rc<[GroupId]> {
        let upstream = &self.dependencies.upstream;
        let version = Some(upstream.groups_version());
        let mut known = self.known_groups.borrow_mut();
        if known.version != version {
            known.version = version;
            known.groups = upstream.groups_in_service().into();
            self.health_checks.update_groups(&known.groups);
        }
        Rc::clone(&known.groups)
    }

    fn advance_leases(&self, groups: &[GroupId]) -> Duration {
        let services = &self.dependencies.services;
        let Some(leases) = &services.leases else {
            return IDLE_WAIT;
        };
        let datagrams = leases.advance(services.leased_tasks(groups).into_iter());
        let sent = &self.dependencies.metrics.leases.sent;
        self.sender.send_all(datagrams, sent);
        until(leases.due())
    }

    fn advance_drains(&self) -> Duration {
        let Some(drains) = &self.dependencies.services.drains else {
            return IDLE_WAIT;
        };
        let sent = &self.dependencies.metrics.drains.sent;
        self.sender.send_all(drains.advance(), sent);
        drains.due()
    }

    fn advance_endpoint_watch(&self) -> Duration {
        let Some(endpoint_watch) = &self.dependencies.services.endpoint_watch else {
            return IDLE_WAIT;
        };
        if let Some(heartbeat) = endpoint_watch.heartbeat() {
            let sent = &self.dependencies.metrics.endpoint_watch.heartbeats;
            self.sender.broadcast(&heartbeat, sent);
        }
        endpoint_watch.due()
    }

    fn advance_site_failover(&self) -> Duration {
        let Some(site_failover) = &self.dependencies.services.site_failover else {
            return IDLE_WAIT;
        };
        let sent = &self.dependencies.metrics.site_failover.sent;
        self.sender.send_all(site_failover.advance(), sent);
        site_failover.due()
    }

    fn advance_membership(&self) -> Duration {
        let Some(membership) = &self.dependencies.services.membership else {
            return IDLE_WAIT;
        };
        let sent = &self.dependencies.metrics.membership.sent;
        self.sender.send_all(membership.advance(), sent);
        until(membership.due())
    }

    fn advance_write_intents(&self) -> Duration {
        let Some(write_intents) = &self.dependencies.services.write_intents else {
            return IDLE_WAIT;
        };
        let sent = &self.dependencies.metrics.write_intents.sent;
        self.sender.send_all(write_intents.advance(), sent);
        until(write_intents.due())
    }

    /// Releases all leases, and announces to a few other gateways that this one stops.
    pub fn leave(&self) {
        let metrics = &self.dependencies.metrics;
        if let Some(leases) = &self.dependencies.services.leases {
            let datagrams = leases.release_all();
            self.sender.send_all(datagrams, &metrics.leases.sent);
        }
        if let Some(membership) = &self.dependencies.services.membership {
            let datagrams = membership.leave();
            self.sender.send_all(datagrams, &metrics.membership.sent);
        }
    }

    /// Receives a datagram of another gateway.
    fn receive(&self, datagram: &[u8], from: SocketAddr) {
        let Some(&gateway) = self.gateways_by_address.get(&from) else {
            // A datagram from an address outside the list must not make a member of an unknown
            // process.
            ignore_datagram(&self.dependencies.metrics, from, &UNKNOWN_SENDER);
            return;
        };
        // A datagram to all gateways may also reach its sender.
        if gateway == self.local_gateway {
            return;
        }
        match &self.dependencies.services.membership {
            Some(membership) => self.dispatch(datagram, gateway, from, membership),
            // All other services need membership.
            None => self.health_checks.receive(datagram, gateway, from),
        }
    }

    /// Hands a datagram to the service of its protocol, and sends what the service answers. A
    /// datagram for a service that is off is ignored.
    fn dispatch(
        &self,
        datagram: &[u8],
        gateway: GatewayId,
        from: SocketAddr,
        membership: &MembershipService,
    ) {
        let metrics = &self.dependencies.metrics;
        let services = &self.dependencies.services;
        match Protocol::of(datagram) {
            Protocol::Membership => {
                let answers = membership.receive(datagram, gateway);
                self.sender.send_all(answers, &metrics.membership.sent);
            }
            Protocol::Leases => match &services.leases {
                Some(leases) => {
                    let answers = leases.receive(datagram, gateway);
                    self.sender.send_all(answers, &metrics.leases.sent);
                }
                // Without leases the datagram is treated as health-check results, and ignored as
                // malformed.
                None => self.health_checks.receive(datagram, gateway, from),
            },
            Protocol::WriteIntents => {
                if let Some(write_intents) = &services.write_intents {
                    let answers = write_intents.receive(datagram, gateway);
                    let sent = &metrics.write_intents.sent;
                    self.sender.send_all(answers, sent);
                }
            }
            Protocol::Drains => {
                if let Some(drains) = &services.drains {
                    let answers = drains.receive(datagram, gateway);
                    self.sender.send_all(answers, &metrics.drains.sent);
                }
            }
            Protocol::EndpointWatch => {
                if let Some(endpoint_watch) = &services.endpoint_watch {
                    if membership.accepts_from(gateway) {
                        endpoint_watch.receive(datagram, gateway);
                    }
                }
            }
            Protocol::SiteFailover => {
                if let Some(site_failover) = &services.site_failover {
                    if membership.accepts_from(gateway) {
                        site_failover.receive(datagram, gateway);
                    }
                }
            }
            Protocol::HealthChecks => self.health_checks.receive(datagram, gateway, from),
        }
    }
}

/// Counts and logs a datagram that is ignored.
pub fn ignore_datagram(metrics: &Metrics, from: SocketAddr, reason: &dyn Display) {
    increment(&metrics.gossip.ignored);
    log!("a datagram from {from} is ignored: {reason}");
}

/// The gateways of the fleet's list, by their addresses.
fn gateways_by_address(addresses: &[SocketAddr]) -> HashMap<SocketAddr, GatewayId> {
    let gateways = (0..).map(GatewayId);
    addresses.iter().copied().zip(gateways).collect()
}

fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// The time until an instant; zero if it has passed.
fn until(instant: Instant) -> Duration {
    instant.saturating_duration_since(Instant::now())
}
