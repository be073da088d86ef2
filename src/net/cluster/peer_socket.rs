//! The UDP socket between gateways: receives datagrams and passes them to the cluster services, and
//! sends the datagrams that the services produce.

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

/// Longest time between two calls of [`PeerSocket::advance_services`], even if no service has work
/// due earlier.
const MAX_ADVANCE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two receive batches. During this time the datagrams of a burst collect in the
/// socket's buffer, so that one batch receives them together. It is short compared with the age at
/// which health-check results become useless.
const RECEIVE_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of datagrams received in one batch. Client requests are served between two
/// batches.
const MAX_DATAGRAMS_PER_BATCH: usize = 64;
/// One byte more than the longest valid datagram, so that a longer datagram is rejected as too long
/// instead of being truncated to a valid length.
const RECEIVE_BUFFER_BYTES: usize = message::MAX_DATAGRAM_BYTES + 1;
const UNLISTED_ADDRESS: &str = "the address is not in the list of gateways";

/// The parts of the gateway that the peer socket depends on.
#[derive(Clone)]
pub struct Dependencies {
    /// The router task, to which the results of health checks are posted.
    pub router: Rc<RouterHandle>,
    /// The connections to the database hosts, used to run health checks.
    pub upstream: Rc<Upstream>,
    /// Counters of sent, received and ignored datagrams.
    pub metrics: Rc<Metrics>,
    /// The clock that timestamps health checks, in Unix time.
    pub clock: Clock,
    /// The cluster services that are turned on.
    pub services: ClusterServices,
    /// Whether this gateway runs rounds of health checks and shares the results. If it does not, it
    /// advances only membership and write intents; datagrams received from other gateways are
    /// processed in either case.
    pub share_health_checks: bool,
}

/// Error returned if the peer socket cannot be opened.
#[derive(Debug, Error)]
#[error("cannot listen on {address}: {source}")]
pub struct PeerSocketError {
    address: SocketAddr,
    source: io::Error,
}

/// The protocol of a datagram, recognized by the first byte.
enum Protocol {
    Membership,
    Leases,
    WriteIntents,
    Drains,
    EndpointWatch,
    SiteFailover,
    /// Health-check results, and every datagram that no other protocol recognizes.
    HealthChecks,
}

impl Protocol {
    fn recognize(datagram: &[u8]) -> Self {
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

/// Cached list of the groups that have hosts in service.
#[derive(Default)]
struct CachedGroups {
    /// The [`Upstream::groups_version`] of the cached list; `None` before the list is first read.
    version: Option<u64>,
    groups: Rc<[GroupId]>,
}

/// The UDP socket through which this gateway exchanges datagrams with the others.
pub struct PeerSocket {
    socket: Rc<UdpSocket>,
    sender: PeerSender,
    local_gateway: GatewayId,
    /// Maps the address from which a gateway sends to the gateway.
    gateways_by_address: HashMap<SocketAddr, GatewayId>,
    health_checks: Rc<SharedHealthChecks>,
    cached_groups: RefCell<CachedGroups>,
    dependencies: Dependencies,
}

impl PeerSocket {
    /// Binds the socket to the listen address of `peers`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound, for example because an older process of
    /// this gateway still uses it.
    pub fn open(peers: &Peers, dependencies: Dependencies) -> Result<Rc<Self>, PeerSocketError> {
        let socket = bind(peers.listen_address).map_err(|source| PeerSocketError {
            address: peers.listen_address,
            source,
        })?;
        let socket = Rc::new(socket);
        // An older process of this gateway may have used the address until now. It may have granted
        // leases to other gateways or recorded write intents for them, which this process does not
        // know. Both services have to allow for that, so they are notified that the socket is open.
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
            cached_groups: RefCell::default(),
            dependencies,
        }))
    }

    /// Receives datagrams and advances the services. Never returns.
    pub async fn run(self: Rc<Self>) {
        let services = &self.dependencies.services;
        let mut next_batch = std::pin::pin!(self.wait_for_next_batch(0));
        loop {
            let time_until_due = self.advance_services();
            tokio::select! {
                () = &mut next_batch => {
                    let received = self.receive_batch();
                    next_batch.set(self.wait_for_next_batch(received));
                }
                () = services.write_intent_send_requested() => {}
                () = services.drain_send_requested() => {}
                () = services.endpoint_watch_send_requested() => {}
                () = sleep(time_until_due) => {}
            }
        }
    }

    /// Waits until the next batch of datagrams may be received, given the number of datagrams
    /// received in the last batch.
    async fn wait_for_next_batch(&self, received: usize) {
        if received > 0 {
            sleep(RECEIVE_INTERVAL).await;
        } else {
            self.wait_for_datagram().await;
        }
    }

    /// Waits until a datagram arrives. The socket is registered with the async runtime only during
    /// this wait; otherwise every datagram would wake the runtime, even between two batches.
    async fn wait_for_datagram(&self) {
        let cloned_socket = self.socket.try_clone();
        match cloned_socket.and_then(tokio::net::UdpSocket::from_std) {
            // If the socket has an error, the next `recv_from` returns it.
            Ok(cloned_socket) => drop(cloned_socket.readable().await),
            Err(_) => sleep(RECEIVE_INTERVAL).await,
        }
    }

    /// Receives the datagrams in the socket's buffer, at most [`MAX_DATAGRAMS_PER_BATCH`], and
    /// returns their number.
    fn receive_batch(&self) -> usize {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        for received in 0..MAX_DATAGRAMS_PER_BATCH {
            match self.socket.recv_from(&mut buffer) {
                Ok((length, from)) => self.receive(&buffer[..length], from),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return received,
                // The operating system reports an undelivered earlier datagram as an error of
                // `recv_from`.
                Err(_) => increment(&self.dependencies.metrics.gossip.ignored),
            }
        }
        MAX_DATAGRAMS_PER_BATCH
    }

    /// Does the work that is due in all services, and returns the time until the next service has
    /// work due.
    fn advance_services(&self) -> Duration {
        let mut time_until_due = MAX_ADVANCE_INTERVAL;
        if self.dependencies.share_health_checks {
            let groups = self.groups_in_service();
            time_until_due = time_until_due.min(self.advance_leases(&groups));
            time_until_due = time_until_due.min(self.advance_drains());
            time_until_due = time_until_due.min(self.advance_endpoint_watch());
            time_until_due = time_until_due.min(self.advance_site_failover());
            time_until_due = time_until_due.min(self.health_checks.start_due_rounds());
        }
        time_until_due = time_until_due.min(self.advance_membership());
        time_until_due.min(self.advance_write_intents())
    }

    /// Returns the groups that have hosts in service, and passes them to the schedule of health
    /// checks if they have changed.
    fn groups_in_service(&self) -> Rc<[GroupId]> {
        let upstream = &self.dependencies.upstream;
        let version = Some(upstream.groups_version());
        let mut cached = self.cached_groups.borrow_mut();
        if cached.version != version {
            cached.version = version;
            cached.groups = upstream.groups_in_service().into();
            self.health_checks.update_groups(&cached.groups);
        }
        Rc::clone(&cached.groups)
    }

    fn advance_leases(&self, groups: &[GroupId]) -> Duration {
        let services = &self.dependencies.services;
        let Some(leases) = &services.leases else {
            return MAX_ADVANCE_INTERVAL;
        };
        let datagrams = leases.advance(services.leased_tasks(groups).into_iter());
        let sent = &self.dependencies.metrics.leases.sent;
        self.sender.send_all(datagrams, sent);
        time_until(leases.due())
    }

    fn advance_drains(&self) -> Duration {
        let Some(drains) = &self.dependencies.services.drains else {
            return MAX_ADVANCE_INTERVAL;
        };
        let sent = &self.dependencies.metrics.drains.sent;
        self.sender.send_all(drains.advance(), sent);
        drains.due()
    }

    fn advance_endpoint_watch(&self) -> Duration {
        let Some(endpoint_watch) = &self.dependencies.services.endpoint_watch else {
            return MAX_ADVANCE_INTERVAL;
        };
        if let Some(heartbeat) = endpoint_watch.heartbeat() {
            let sent = &self.dependencies.metrics.endpoint_watch.heartbeats;
            self.sender.broadcast(&heartbeat, sent);
        }
        endpoint_watch.due()
    }

    fn advance_site_failover(&self) -> Duration {
        let Some(site_failover) = &self.dependencies.services.site_failover else {
            return MAX_ADVANCE_INTERVAL;
        };
        let sent = &self.dependencies.metrics.site_failover.sent;
        self.sender.send_all(site_failover.advance(), sent);
        site_failover.due()
    }

    fn advance_membership(&self) -> Duration {
        let Some(membership) = &self.dependencies.services.membership else {
            return MAX_ADVANCE_INTERVAL;
        };
        let sent = &self.dependencies.metrics.membership.sent;
        self.sender.send_all(membership.advance(), sent);
        time_until(membership.due())
    }

    fn advance_write_intents(&self) -> Duration {
        let Some(write_intents) = &self.dependencies.services.write_intents else {
            return MAX_ADVANCE_INTERVAL;
        };
        let sent = &self.dependencies.metrics.write_intents.sent;
        self.sender.send_all(write_intents.advance(), sent);
        time_until(write_intents.due())
    }

    /// Releases all leases, and announces to a few other gateways that this gateway stops.
    pub fn leave(&self) {
        let metrics = &self.dependencies.metrics;
        if let Some(leases) = &self.dependencies.services.leases {
            let datagrams = leases.stop();
            self.sender.send_all(datagrams, &metrics.leases.sent);
        }
        if let Some(membership) = &self.dependencies.services.membership {
            let datagrams = membership.leave();
            self.sender.send_all(datagrams, &metrics.membership.sent);
        }
    }

    /// Processes a datagram, if it was sent by another gateway of the fleet.
    fn receive(&self, datagram: &[u8], from: SocketAddr) {
        let Some(&gateway) = self.gateways_by_address.get(&from) else {
            // Without this check, an unknown process could become a member of the fleet by sending
            // a datagram.
            ignore_datagram(&self.dependencies.metrics, from, &UNLISTED_ADDRESS);
            return;
        };
        // A broadcast datagram may also be delivered to its sender.
        if gateway == self.local_gateway {
            return;
        }
        match &self.dependencies.services.membership {
            Some(membership) => self.dispatch(datagram, gateway, from, membership),
            // All other services depend on membership, so they are off too.
            None => self.health_checks.receive(datagram, gateway, from),
        }
    }

    /// Passes a datagram to the service of its protocol, and sends the service's answers. A
    /// datagram for a service that is turned off is ignored.
    fn dispatch(
        &self,
        datagram: &[u8],
        gateway: GatewayId,
        from: SocketAddr,
        membership: &MembershipService,
    ) {
        let metrics = &self.dependencies.metrics;
        let services = &self.dependencies.services;
        match Protocol::recognize(datagram) {
            Protocol::Membership => {
                let answers = membership.receive(datagram, gateway);
                self.sender.send_all(answers, &metrics.membership.sent);
            }
            Protocol::Leases => match &services.leases {
                Some(leases) => {
                    let answers = leases.receive(datagram, gateway);
                    self.sender.send_all(answers, &metrics.leases.sent);
                }
                // Decoding the datagram as health-check results fails, so that it is counted and
                // logged as ignored.
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

/// Counts and logs an ignored datagram.
pub fn ignore_datagram(metrics: &Metrics, from: SocketAddr, reason: &dyn Display) {
    increment(&metrics.gossip.ignored);
    log!("a datagram from {from} is ignored: {reason}");
}

/// Maps each address of the fleet's list to the gateway with that index.
fn gateways_by_address(addresses: &[SocketAddr]) -> HashMap<SocketAddr, GatewayId> {
    let gateways = (0..).map(GatewayId);
    addresses.iter().copied().zip(gateways).collect()
}

fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Returns the time until an instant, or zero if the instant has passed.
fn time_until(instant: Instant) -> Duration {
    instant.saturating_duration_since(Instant::now())
}
