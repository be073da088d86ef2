//! What this gateway tells the others of database hosts, and what it hears from them.
//!
//! Who asks which set when is `irisrouter_gossip::duty`'s matter, the datagrams are `irisrouter_gossip::message`'s. What
//! is heard goes to the decision module as findings; a host that the own list has not named stays unknown.

use super::backend::Backend;
use super::config::Peers;
use super::counters::{count, Counters};
use super::drains::Drains;
use super::duties::{Duty, Owners};
use super::inhand::Hand;
use super::listwatch::ListWatch;
use super::log::log;
use super::membership::Members;
use super::router::Mailbox;
use super::siteplan::Sites;
use super::{duration, Clock};
use irisrouter::api::{Event, Finding, GroupId, MemberId, Outcome, Report};
use irisrouter_gossip::{duty::Duties, message};
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
    out: RefCell<Vec<Sent>>,
}

/// A datagram, and where it goes.
pub type Sent = (SocketAddr, Vec<u8>);

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
    pub fn take(&self) -> Vec<Sent> {
        self.out.take()
    }

    /// Nothing is to be sent.
    pub fn is_empty(&self) -> bool {
        self.out.borrow().is_empty()
    }
}

/// What the operators may have turned on.
#[derive(Clone, Default)]
pub struct Fleet {
    /// Who of the gateways is there.
    pub members: Option<Rc<Members>>,
    /// Who owns what.
    pub owners: Option<Rc<Owners>>,
    /// Writes in hand.
    pub hand: Option<Rc<Hand>>,
    /// Drains of hosts, with ownership.
    pub drains: Option<Rc<Drains>>,
    /// One watch of the list for all, likewise.
    pub list: Option<Rc<ListWatch>>,
    /// Plans for lost sites, likewise.
    pub sites: Option<Rc<Sites>>,
}

/// The part of this gateway.
pub struct Sharing {
    socket: UdpSocket,
    peers: Peers,
    /// The numbers of the gateways, by the address from which each sends.
    senders: HashMap<SocketAddr, u32>,
    duties: RefCell<Duties>,
    mailbox: Rc<Mailbox>,
    backend: Rc<Backend>,
    counters: Rc<Counters>,
    clock: Clock,
    /// Whether hosts are probed for all and findings told; without it the socket carries membership alone.
    share: bool,
    fleet: Fleet,
}

impl Sharing {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn open(
        peers: Peers,
        (mailbox, backend, counters): (Rc<Mailbox>, Rc<Backend>, Rc<Counters>),
        clock: Clock,
        share: bool,
        fleet: Fleet,
    ) -> Result<Rc<Self>, String> {
        let at = |e| format!("cannot listen on {}: {e}", peers.listen);
        let socket = std::net::UdpSocket::bind(peers.listen).map_err(at)?;
        socket.set_nonblocking(true).map_err(at)?;
        let socket = UdpSocket::from_std(socket).map_err(at)?;
        let senders = peers.each.iter().zip(0..).map(|(&a, n)| (a, n)).collect();
        // Danger guarded against: what this gateway granted or kept for others with the process before this one, which had
        // the address until now, is not known here.
        fleet.owners.iter().for_each(|o| o.opened());
        fleet.hand.iter().for_each(|h| h.opened());
        let duties = RefCell::new(Duties::new(peers.me, peers.each.len() as u32));
        Ok(Rc::new(Sharing {
            socket,
            peers,
            senders,
            duties,
            mailbox,
            backend,
            counters,
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
                let sets = self.backend.serving_groups();
                if let Some(owners) = &self.fleet.owners {
                    let drains = self
                        .fleet
                        .drains
                        .iter()
                        .flat_map(|d| d.duties())
                        .map(Duty::Drain);
                    let list = self.fleet.list.iter().map(|_| Duty::ListWatch);
                    let plan = self.fleet.sites.iter().map(|_| Duty::SitePlan);
                    let sets = sets.iter().copied().map(Duty::Probing);
                    let sends = owners.tick(sets.chain(drains).chain(list).chain(plan));
                    self.send_all(sends, &self.counters.duties_sent).await;
                    pause = pause.min(owners.due().saturating_duration_since(Instant::now()));
                }
                if let Some(drains) = &self.fleet.drains {
                    let sends = drains.tick();
                    self.send_all(sends, &self.counters.drains_sent).await;
                    pause = pause.min(drains.due());
                }
                if let Some(list) = &self.fleet.list {
                    if let Some(beat) = list.tick() {
                        self.send_all(vec![(self.peers.all, beat)], &self.counters.list_beats)
                            .await;
                    }
                    pause = pause.min(list.due());
                }
                if let Some(sites) = &self.fleet.sites {
                    let sends = sites.tick();
                    self.send_all(sends, &self.counters.plans_sent).await;
                    pause = pause.min(sites.due());
                }
                pause = pause.min(self.begin_rounds(&sets));
            }
            if let Some(members) = &self.fleet.members {
                let sends = members.tick();
                self.send_all(sends, &self.counters.members_sent).await;
                pause = pause.min(members.due().saturating_duration_since(Instant::now()));
            }
            if let Some(hand) = &self.fleet.hand {
                let sends = hand.tick();
                self.send_all(sends, &self.counters.writes_sent).await;
                pause = pause.min(hand.due().saturating_duration_since(Instant::now()));
            }
            tokio::select! {
                heard = self.socket.recv_from(&mut datagram) => match heard {
                    Ok((length, from)) => {
                        let (sends, sent) = self.hear(&datagram[..length], from);
                        self.send_all(sends, sent).await;
                    }
                    // A datagram that could not be delivered is told so on the next call.
                    Err(_) => count(&self.counters.unheard),
                },
                () = woken(self.fleet.hand.as_deref()) => {}
                () = said(self.fleet.drains.as_deref()) => {}
                () = listed(self.fleet.list.as_deref()) => {}
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
        let owners = self.fleet.owners.as_ref().filter(|o| o.majority());
        let (due, next) = match owners {
            Some(owners) => {
                let owns = |set| owners.token(Duty::Probing(set)).is_some();
                (duties.due_of(now, owns), duties.next_of(owns))
            }
            None => (duties.due(now), duties.next()),
        };
        for set in due {
            let token = owners.and_then(|o| o.token(Duty::Probing(set)));
            spawn_local(Rc::clone(self).ask(set, token));
        }
        next.map_or(IDLE, |at| duration(at - now))
    }

    /// Gives up what is owned, and tells a few others that this gateway stops.
    pub async fn leave(&self) {
        if let Some(owners) = &self.fleet.owners {
            self.send_all(owners.stop(), &self.counters.duties_sent)
                .await;
        }
        if let Some(members) = &self.fleet.members {
            self.send_all(members.leave(), &self.counters.members_sent)
                .await;
        }
    }

    /// Sends what a core asked for. Lost is lost: membership and leases count on it.
    async fn send_all(&self, sends: Vec<Sent>, sent: &Cell<u64>) {
        for (at, bytes) in sends {
            if self.socket.send_to(&bytes, at).await.is_ok() {
                count(sent);
            }
        }
    }

    /// Another gateway's datagram; returns what is to be sent for it, and where that is counted.
    fn hear(&self, datagram: &[u8], from: SocketAddr) -> (Vec<Sent>, &Cell<u64>) {
        let c = &self.counters;
        let by = self.senders.get(&from).copied();
        match (&self.fleet.members, &self.fleet.owners) {
            // What goes to all may come back.
            _ if by == Some(self.peers.me) => (Vec::new(), &c.members_sent),
            // Danger guarded against: a datagram from an address outside the list would make a member of nobody.
            (Some(_), _) if by.is_none() => {
                count(&c.unheard);
                log!("a datagram from {from} is not used: no gateway's address");
                (Vec::new(), &c.members_sent)
            }
            (Some(members), _) if irisrouter_membership::is_membership(datagram) => (
                by.map_or_else(Vec::new, |by| members.hear(datagram, by)),
                &c.members_sent,
            ),
            (Some(_), _) if irisrouter_inhand::is_inhand(datagram) => {
                let sends = self
                    .fleet
                    .hand
                    .as_ref()
                    .zip(by)
                    .map_or_else(Vec::new, |(h, by)| h.hear(datagram, by));
                (sends, &c.writes_sent)
            }
            (Some(_), _) if irisrouter_drains::is_drains(datagram) => {
                let sends = self
                    .fleet
                    .drains
                    .as_ref()
                    .zip(by)
                    .map_or_else(Vec::new, |(d, by)| d.hear(datagram, by));
                (sends, &c.drains_sent)
            }
            (Some(members), _) if irisrouter_listwatch::is_listwatch(datagram) => {
                let list = self
                    .fleet
                    .list
                    .as_ref()
                    .zip(by)
                    .filter(|(_, by)| members.counts(*by));
                list.iter().for_each(|(list, by)| list.hear(datagram, *by));
                (Vec::new(), &c.list_beats)
            }
            (Some(members), _) if irisrouter_siteplan::is_siteplan(datagram) => {
                let sites = self
                    .fleet
                    .sites
                    .as_ref()
                    .zip(by)
                    .filter(|(_, by)| members.counts(*by));
                sites
                    .iter()
                    .for_each(|(sites, by)| sites.hear(datagram, *by));
                (Vec::new(), &c.plans_sent)
            }
            (_, Some(owners)) if irisrouter_duties::is_duties(datagram) => (
                by.map_or_else(Vec::new, |by| owners.hear(datagram, by)),
                &c.duties_sent,
            ),
            _ => {
                self.find(datagram, from, by);
                (Vec::new(), &c.told)
            }
        }
    }

    /// Another gateway's findings.
    fn find(&self, datagram: &[u8], from: SocketAddr, by: Option<u32>) {
        let now = self.clock.now();
        if let (Some(members), Some(by)) = (&self.fleet.members, by) {
            if !members.counts(by) {
                // Findings of a gateway held to be down stop counting at once.
                count(&self.counters.unheard);
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
                count(&self.counters.unheard);
                log!("a datagram from {from} is not used: {why}");
                return;
            }
        };
        count(&self.counters.heard);
        // No word is of the future, whatever the clocks say.
        let at = told.at.min(now);
        let mut found = Vec::with_capacity(told.findings.len());
        for f in &told.findings {
            let Some((member, set)) = self.backend.numbered(f.host) else {
                continue;
            };
            self.duties.borrow_mut().heard(set, by, at);
            let position = f.position.map(|p| p.min(at));
            let report = Report {
                position,
                primary: Some(f.primary),
                inflight: None,
                in_use: f.in_use,
            };
            found.push(Finding { member, at, report });
        }
        if !found.is_empty() {
            self.mailbox.post(Event::Found(found));
        }
    }

    /// Probes the hosts of a set, and tells what they say; under a token only as long as that holds.
    async fn ask(self: Rc<Self>, set: i64, token: Option<u64>) {
        let mut out = JoinSet::new();
        for member in self.backend.serving(GroupId(set)) {
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
                self.mailbox.post(Event::Found(found));
            }
        }
    }

    async fn probe(&self, member: MemberId, set: i64, token: Option<u64>) -> Option<Finding> {
        let owned = self.fleet.owners.as_ref().zip(token);
        // Danger guarded against: a process that was stopped in the middle of a round goes on with it when it is back.
        if owned.is_some_and(|(owners, token)| owners.token(Duty::Probing(set)) != Some(token)) {
            return None;
        }
        let fence = owned.and_then(|(owners, token)| owners.fence(set, token));
        let (event, fenced) = self.backend.probe_under(member, fence).await;
        if let (true, Some((owners, _))) = (fenced, owned) {
            self.send_all(owners.fenced(set), &self.counters.duties_sent)
                .await;
        }
        let found = match &event {
            Event::Probed {
                outcome: Outcome::Ok,
                report: Some(report),
                ..
            } => Some(Finding {
                member,
                at: self.clock.now(),
                report: *report,
            }),
            _ => None,
        };
        self.mailbox.post(event);
        found
    }

    async fn tell(&self, found: &[Finding]) {
        let at = self.clock.now();
        let finding = |f: &Finding| {
            let (host, _) = self.backend.told_as(f.member)?;
            let (position, in_use) = (f.report.position, f.report.in_use);
            Some(message::Finding {
                host,
                position,
                primary: f.report.primary?,
                in_use,
            })
        };
        for part in found.chunks(message::MOST) {
            let findings: Vec<_> = part.iter().filter_map(finding).collect();
            if !findings.is_empty() {
                let datagram = message::encode(&message::Message { at, findings });
                // Lost is as late as the network makes it: others ask for themselves.
                if self.socket.send_to(&datagram, self.peers.all).await.is_ok() {
                    count(&self.counters.told);
                }
            }
        }
    }
}

/// Until a word is said to the fleet; never, where that is off.
async fn said(drains: Option<&Drains>) {
    match drains {
        Some(drains) => drains.woken().await,
        None => std::future::pending().await,
    }
}

/// Until the own list has news; never, where nobody is told of it.
async fn listed(list: Option<&ListWatch>) {
    match list {
        Some(list) => list.woken().await,
        None => std::future::pending().await,
    }
}

/// Until a write is to be noted or asked after; never, where that is off.
async fn woken(hand: Option<&Hand>) {
    match hand {
        Some(hand) => hand.woken().await,
        None => std::future::pending().await,
    }
}
