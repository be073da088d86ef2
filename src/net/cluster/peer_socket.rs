//! What this gateway tells the others of database hosts, and what it hears from them.
//!
//! Who asks which set when is `irisrouter_gossip::health_check_schedule`'s matter, the datagrams are `irisrouter_gossip::message`'s. What
//! is heard goes to the decision module as findings; a host that the own list has not named stays unknown.

use crate::net::cluster::drains::DrainService;
use crate::net::cluster::endpoint_watch::EndpointWatchService;
use crate::net::cluster::leases::{LeaseService, LeasedTask};
use crate::net::cluster::membership::MembershipService;
use crate::net::cluster::site_failover::SiteFailoverService;
use crate::net::cluster::write_intents::WriteIntentService;
use crate::net::config::Peers;
use crate::net::log::log;
use crate::net::metrics::{increment, Metrics};
use crate::net::router_task::RouterHandle;
use crate::net::upstream::Upstream;
use crate::net::{duration, Clock};
use irisrouter::routing::{Event, GroupId, LoadReport, MemberId, Outcome, SharedHealthCheck};
use irisrouter_gossip::{health_check_schedule::HealthCheckSchedule, message};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, timeout_at, Instant};

/// A round is told once all its hosts have answered, or after this time. Danger: one that is silent would make the word
/// of all the others old.
const ROUND: Duration = Duration::from_millis(25);
/// How often the sets are looked up where none is due.
const IDLE: Duration = Duration::from_millis(500);
/// One more than the longest datagram: what is longer shows.
const ROOM: usize = message::LONGEST + 1;

/// What a core asked to be sent, by the addresses of the gateways.
pub struct Outbox {
    each: Vec<SocketAddr>,
    out: RefCell<Vec<OutgoingDatagram>>,
}

/// A datagram, and where it goes.
pub type OutgoingDatagram = (SocketAddr, Vec<u8>);

impl Outbox {
    /// For the gateways at these addresses, by their numbers.
    pub const fn new(each: Vec<SocketAddr>) -> Self {
        Outbox {
            each,
            out: RefCell::new(Vec::new()),
        }
    }

    /// One more, to the gateway with this number; nobody outside the list is sent anything.
    pub fn push(&self, to: u32, datagram: Vec<u8>) {
        if let Some(&at) = self.each.get(to as usize) {
            self.out.borrow_mut().push((at, datagram));
        }
    }

    /// What is to be sent now.
    pub fn take(&self) -> Vec<OutgoingDatagram> {
        self.out.take()
    }

    /// Nothing is to be sent.
    pub fn is_empty(&self) -> bool {
        self.out.borrow().is_empty()
    }
}

/// What the operators may have turned on.
#[derive(Clone, Default)]
pub struct ClusterServices {
    /// Who of the gateways is there.
    pub membership: Option<Rc<MembershipService>>,
    /// Who owns what.
    pub leases: Option<Rc<LeaseService>>,
    /// Writes in hand.
    pub write_intents: Option<Rc<WriteIntentService>>,
    /// Drains of database hosts, with leases.
    pub drains: Option<Rc<DrainService>>,
    /// One watch of the list for all, likewise.
    pub endpoint_watch: Option<Rc<EndpointWatchService>>,
    /// Plans for lost sites, likewise.
    pub site_failover: Option<Rc<SiteFailoverService>>,
}

/// The part of this gateway.
pub struct PeerSocket {
    socket: UdpSocket,
    peers: Peers,
    /// The numbers of the gateways, by the address from which each sends.
    senders: HashMap<SocketAddr, u32>,
    duties: RefCell<HealthCheckSchedule>,
    router: Rc<RouterHandle>,
    upstream: Rc<Upstream>,
    metrics: Rc<Metrics>,
    clock: Clock,
    /// Whether hosts are probed for all and findings told; without it the socket carries membership alone.
    share: bool,
    fleet: ClusterServices,
}

impl PeerSocket {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn open(
        peers: Peers,
        (router, upstream, metrics): (Rc<RouterHandle>, Rc<Upstream>, Rc<Metrics>),
        clock: Clock,
        share: bool,
        fleet: ClusterServices,
    ) -> Result<Rc<Self>, String> {
        let at = |e| format!("cannot listen on {}: {e}", peers.listen_address);
        let socket = std::net::UdpSocket::bind(peers.listen_address).map_err(at)?;
        socket.set_nonblocking(true).map_err(at)?;
        let socket = UdpSocket::from_std(socket).map_err(at)?;
        let senders = peers
            .gateway_addresses
            .iter()
            .zip(0..)
            .map(|(&a, n)| (a, n))
            .collect();
        // Danger guarded against: what this gateway granted or kept for others with the process before this one, which had
        // the address until now, is not known here.
        fleet.leases.iter().for_each(|o| o.on_socket_opened());
        fleet
            .write_intents
            .iter()
            .for_each(|h| h.on_socket_opened());
        let duties = RefCell::new(HealthCheckSchedule::new(
            peers.local_number,
            peers.gateway_addresses.len() as u32,
        ));
        Ok(Rc::new(PeerSocket {
            socket,
            peers,
            senders,
            duties,
            router,
            upstream,
            metrics,
            clock,
            share,
            fleet,
        }))
    }

    /// Hears and asks for ever.
    pub async fn run(self: Rc<Self>) {
        let mut datagram = [0; ROOM];
        loop {
            let mut pause = IDLE;
            if self.share {
                let sets = self.upstream.groups_in_service();
                if let Some(leases) = &self.fleet.leases {
                    let drains = self
                        .fleet
                        .drains
                        .iter()
                        .flat_map(|d| d.drains_to_coordinate())
                        .map(LeasedTask::HostDrain);
                    let list = self
                        .fleet
                        .endpoint_watch
                        .iter()
                        .map(|_| LeasedTask::EndpointWatch);
                    let plan = self
                        .fleet
                        .site_failover
                        .iter()
                        .map(|_| LeasedTask::SiteFailover);
                    let sets = sets.iter().copied().map(LeasedTask::HealthChecks);
                    let sends = leases.advance(sets.chain(drains).chain(list).chain(plan));
                    self.send_all(sends, &self.metrics.leases.sent).await;
                    pause = pause.min(leases.due().saturating_duration_since(Instant::now()));
                }
                if let Some(drains) = &self.fleet.drains {
                    let sends = drains.advance();
                    self.send_all(sends, &self.metrics.drains.sent).await;
                    pause = pause.min(drains.due());
                }
                if let Some(endpoint_watch) = &self.fleet.endpoint_watch {
                    if let Some(beat) = endpoint_watch.heartbeat() {
                        self.send_all(
                            vec![(self.peers.broadcast_address, beat)],
                            &self.metrics.endpoint_watch.heartbeats,
                        )
                        .await;
                    }
                    pause = pause.min(endpoint_watch.due());
                }
                if let Some(site_failover) = &self.fleet.site_failover {
                    let sends = site_failover.advance();
                    self.send_all(sends, &self.metrics.site_failover.sent).await;
                    pause = pause.min(site_failover.due());
                }
                pause = pause.min(self.begin_rounds(&sets));
            }
            if let Some(membership) = &self.fleet.membership {
                let sends = membership.advance();
                self.send_all(sends, &self.metrics.membership.sent).await;
                pause = pause.min(membership.due().saturating_duration_since(Instant::now()));
            }
            if let Some(write_intents) = &self.fleet.write_intents {
                let sends = write_intents.advance();
                self.send_all(sends, &self.metrics.write_intents.sent).await;
                pause = pause.min(
                    write_intents
                        .due()
                        .saturating_duration_since(Instant::now()),
                );
            }
            tokio::select! {
                heard = self.socket.recv_from(&mut datagram) => match heard {
                    Ok((length, from)) => {
                        let (sends, sent) = self.hear(&datagram[..length], from);
                        self.send_all(sends, sent).await;
                    }
                    // A datagram that could not be delivered is told so on the next call.
                    Err(_) => increment(&self.metrics.gossip.ignored),
                },
                () = woken(self.fleet.write_intents.as_deref()) => {}
                () = said(self.fleet.drains.as_deref()) => {}
                () = listed(self.fleet.endpoint_watch.as_deref()) => {}
                () = sleep(pause) => {}
            }
        }
    }

    /// Asks the sets that are due; returns the time until the next one is. On the larger side of a cut those are the
    /// sets that this gateway owns; on the small side, and where ownership is off, those whose turn has come by what was
    /// heard: doubt costs a second probe, never none.
    fn begin_rounds(self: &Rc<Self>, sets: &[i64]) -> Duration {
        let now = self.clock.now();
        let mut duties = self.duties.borrow_mut();
        duties.sets(now, sets);
        let leases = self.fleet.leases.as_ref().filter(|o| o.in_majority());
        let (due, next) = match leases {
            Some(leases) => {
                let owns = |set| {
                    leases
                        .fencing_token(LeasedTask::HealthChecks(set))
                        .is_some()
                };
                (duties.due_of(now, owns), duties.next_of(owns))
            }
            None => (duties.due(now), duties.next()),
        };
        for set in due {
            let token = leases.and_then(|o| o.fencing_token(LeasedTask::HealthChecks(set)));
            spawn_local(Rc::clone(self).ask(set, token));
        }
        next.map_or(IDLE, |at| duration(at - now))
    }

    /// Gives up what is owned, and tells a few others that this gateway stops.
    pub async fn leave(&self) {
        if let Some(leases) = &self.fleet.leases {
            self.send_all(leases.release_all(), &self.metrics.leases.sent)
                .await;
        }
        if let Some(membership) = &self.fleet.membership {
            self.send_all(membership.leave(), &self.metrics.membership.sent)
                .await;
        }
    }

    /// Sends what a core asked for. Lost is lost: membership and leases count on it.
    async fn send_all(&self, sends: Vec<OutgoingDatagram>, sent: &Cell<u64>) {
        for (at, bytes) in sends {
            if self.socket.send_to(&bytes, at).await.is_ok() {
                increment(sent);
            }
        }
    }

    /// Another gateway's datagram; returns what is to be sent for it, and where that is counted.
    fn hear(&self, datagram: &[u8], from: SocketAddr) -> (Vec<OutgoingDatagram>, &Cell<u64>) {
        let c = &self.metrics;
        let by = self.senders.get(&from).copied();
        match (&self.fleet.membership, &self.fleet.leases) {
            // What goes to all may come back.
            _ if by == Some(self.peers.local_number) => (Vec::new(), &c.membership.sent),
            // Danger guarded against: a datagram from an address outside the list would make a member of nobody.
            (Some(_), _) if by.is_none() => {
                increment(&c.gossip.ignored);
                log!("a datagram from {from} is not used: no gateway's address");
                (Vec::new(), &c.membership.sent)
            }
            (Some(membership), _) if irisrouter_membership::recognizes(datagram) => (
                by.map_or_else(Vec::new, |by| membership.receive(datagram, by)),
                &c.membership.sent,
            ),
            (Some(_), _) if irisrouter_write_intents::recognizes(datagram) => {
                let sends = self
                    .fleet
                    .write_intents
                    .as_ref()
                    .zip(by)
                    .map_or_else(Vec::new, |(h, by)| h.receive(datagram, by));
                (sends, &c.write_intents.sent)
            }
            (Some(_), _) if irisrouter_drain_coordination::recognizes(datagram) => {
                let sends = self
                    .fleet
                    .drains
                    .as_ref()
                    .zip(by)
                    .map_or_else(Vec::new, |(d, by)| d.receive(datagram, by));
                (sends, &c.drains.sent)
            }
            (Some(membership), _) if irisrouter_endpoint_watch::recognizes(datagram) => {
                let watch = self
                    .fleet
                    .endpoint_watch
                    .as_ref()
                    .zip(by)
                    .filter(|(_, by)| membership.accepts_from(*by));
                watch
                    .iter()
                    .for_each(|(watch, by)| watch.receive(datagram, *by));
                (Vec::new(), &c.endpoint_watch.heartbeats)
            }
            (Some(membership), _) if irisrouter_site_failover::recognizes(datagram) => {
                let site_failover = self
                    .fleet
                    .site_failover
                    .as_ref()
                    .zip(by)
                    .filter(|(_, by)| membership.accepts_from(*by));
                site_failover
                    .iter()
                    .for_each(|(site_failover, by)| site_failover.receive(datagram, *by));
                (Vec::new(), &c.site_failover.sent)
            }
            (_, Some(leases)) if irisrouter_leases::recognizes(datagram) => (
                by.map_or_else(Vec::new, |by| leases.receive(datagram, by)),
                &c.leases.sent,
            ),
            _ => {
                self.find(datagram, from, by);
                (Vec::new(), &c.gossip.sent)
            }
        }
    }

    /// Another gateway's findings.
    fn find(&self, datagram: &[u8], from: SocketAddr, by: Option<u32>) {
        let now = self.clock.now();
        if let (Some(membership), Some(by)) = (&self.fleet.membership, by) {
            if !membership.accepts_from(by) {
                // Findings of a gateway held to be down stop counting at once.
                increment(&self.metrics.gossip.ignored);
                return;
            }
        }
        let read = by.ok_or("no gateway's address".to_string()).and_then(|by| {
            message::decode(datagram, now)
                .map(|m| (by, m))
                .map_err(|e| format!("{e:?}"))
        });
        let (by, told) = match read {
            Ok(read) => read,
            Err(why) => {
                increment(&self.metrics.gossip.ignored);
                log!("a datagram from {from} is not used: {why}");
                return;
            }
        };
        increment(&self.metrics.gossip.received);
        // No word is of the future, whatever the clocks say.
        let at = told.at.min(now);
        let mut found = Vec::with_capacity(told.findings.len());
        for f in &told.findings {
            let Some((member, set)) = self.upstream.member_by_fleet_id(f.host) else {
                continue;
            };
            self.duties.borrow_mut().heard(set, by, at);
            let position = f.position.map(|p| p.min(at));
            let report = LoadReport {
                position,
                primary: Some(f.primary),
                in_flight: None,
                cores_in_use: f.in_use,
            };
            found.push(SharedHealthCheck { member, at, report });
        }
        if !found.is_empty() {
            self.router.post(Event::SharedHealthChecks(found));
        }
    }

    /// Probes the hosts of a set, and tells what they say; under a token only as long as that holds.
    async fn ask(self: Rc<Self>, set: i64, token: Option<u64>) {
        let mut out = JoinSet::new();
        for member in self.upstream.members_in_service(GroupId(set)) {
            let of = Rc::clone(&self);
            out.spawn_local(async move { of.probe(member, set, token).await });
        }
        let mut by = Instant::now() + ROUND;
        while !out.is_empty() {
            let mut found = Vec::new();
            while let Ok(Some(answer)) = timeout_at(by, out.join_next()).await {
                found.extend(answer.ok().flatten());
            }
            // Those that are late are told as they come.
            by = Instant::now() + ROUND;
            if !found.is_empty() {
                self.tell(&found).await;
                self.router.post(Event::SharedHealthChecks(found));
            }
        }
    }

    async fn probe(
        &self,
        member: MemberId,
        set: i64,
        token: Option<u64>,
    ) -> Option<SharedHealthCheck> {
        let owned = self.fleet.leases.as_ref().zip(token);
        // Danger guarded against: a process that was stopped in the middle of a round goes on with it when it is back.
        if owned.is_some_and(|(leases, token)| {
            leases.fencing_token(LeasedTask::HealthChecks(set)) != Some(token)
        }) {
            return None;
        }
        let fence = owned.and_then(|(leases, token)| leases.health_check_fence(set, token));
        let (event, fenced) = self.upstream.health_check_with_fence(member, fence).await;
        if let (true, Some((leases, _))) = (fenced, owned) {
            self.send_all(leases.token_rejected(set), &self.metrics.leases.sent)
                .await;
        }
        let found = match &event {
            Event::HealthChecked {
                outcome: Outcome::Ok,
                report: Some(report),
                ..
            } => Some(SharedHealthCheck {
                member,
                at: self.clock.now(),
                report: *report,
            }),
            _ => None,
        };
        self.router.post(event);
        found
    }

    async fn tell(&self, found: &[SharedHealthCheck]) {
        let at = self.clock.now();
        let finding = |f: &SharedHealthCheck| {
            let (host, _) = self.upstream.fleet_host_id(f.member)?;
            let (position, cores_in_use) = (f.report.position, f.report.cores_in_use);
            Some(message::Finding {
                host,
                position,
                primary: f.report.primary?,
                in_use: cores_in_use,
            })
        };
        for part in found.chunks(message::MOST) {
            let findings: Vec<_> = part.iter().filter_map(finding).collect();
            if !findings.is_empty() {
                let datagram = message::encode(&message::Message { at, findings });
                // Lost is as late as the network makes it: others ask for themselves.
                if self
                    .socket
                    .send_to(&datagram, self.peers.broadcast_address)
                    .await
                    .is_ok()
                {
                    increment(&self.metrics.gossip.sent);
                }
            }
        }
    }
}

/// Until a word is said to the fleet; never, where that is off.
async fn said(drains: Option<&DrainService>) {
    match drains {
        Some(drains) => drains.send_requested().await,
        None => std::future::pending().await,
    }
}

/// Until the own list has news; never, where nobody is told of it.
async fn listed(watch: Option<&EndpointWatchService>) {
    match watch {
        Some(watch) => watch.send_requested().await,
        None => std::future::pending().await,
    }
}

/// Until a write is to be noted or asked after; never, where that is off.
async fn woken(write_intents: Option<&WriteIntentService>) {
    match write_intents {
        Some(write_intents) => write_intents.send_requested().await,
        None => std::future::pending().await,
    }
}
