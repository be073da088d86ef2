//! What this gateway tells the others of database hosts, and what it hears from them.
//!
//! Who asks which set when is `irisrouter_gossip::duty`'s matter, the datagrams are `irisrouter_gossip::message`'s. What
//! is heard goes to the decision module as findings; a host that the own list has not named stays unknown.

use super::backend::Backend;
use super::config::Peers;
use super::counters::{count, Counters};
use super::log::log;
use super::membership::Members;
use super::router::Mailbox;
use super::{duration, Clock};
use irisrouter::api::{Event, Finding, GroupId, MemberId, Outcome, Report};
use irisrouter_gossip::{duty::Duties, message};
use std::cell::RefCell;
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
    /// Who of the gateways is there, where the operators turned it on.
    members: Option<Rc<Members>>,
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
        members: Option<Rc<Members>>,
    ) -> Result<Rc<Self>, String> {
        let at = |e| format!("cannot listen on {}: {e}", peers.listen);
        let socket = std::net::UdpSocket::bind(peers.listen).map_err(at)?;
        socket.set_nonblocking(true).map_err(at)?;
        let socket = UdpSocket::from_std(socket).map_err(at)?;
        let senders = peers.each.iter().zip(0..).map(|(&a, n)| (a, n)).collect();
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
            members,
        }))
    }

    /// Hears and asks for ever.
    pub async fn run(self: Rc<Self>) {
        let mut datagram = [0; ROOM];
        loop {
            let now = self.clock.now();
            let mut pause = IDLE;
            if self.share {
                self.duties.borrow_mut().sets(now, &self.backend.serving_groups());
                let due = self.duties.borrow_mut().due(now);
                for set in due {
                    spawn_local(Rc::clone(&self).ask(set));
                }
                let next = self.duties.borrow().next();
                pause = next.map_or(IDLE, |at| duration(at - now).min(IDLE));
            }
            if let Some(members) = &self.members {
                let sends = members.tick();
                self.send_all(sends).await;
                pause = pause.min(members.due().saturating_duration_since(Instant::now()));
            }
            tokio::select! {
                heard = self.socket.recv_from(&mut datagram) => match heard {
                    Ok((length, from)) => {
                        let sends = self.hear(&datagram[..length], from);
                        self.send_all(sends).await;
                    }
                    // A datagram that could not be delivered is told so on the next call.
                    Err(_) => count(&self.counters.unheard),
                },
                () = sleep(pause) => {}
            }
        }
    }

    /// Tells a few others that this gateway stops.
    pub async fn leave(&self) {
        if let Some(members) = &self.members {
            self.send_all(members.leave()).await;
        }
    }

    /// Sends what membership asked for. Lost is lost: SWIM counts on it.
    async fn send_all(&self, sends: Vec<(SocketAddr, Vec<u8>)>) {
        for (at, bytes) in sends {
            if self.socket.send_to(&bytes, at).await.is_ok() {
                count(&self.counters.members_sent);
            }
        }
    }

    /// Another gateway's datagram; returns what membership is to send.
    fn hear(&self, datagram: &[u8], from: SocketAddr) -> Vec<(SocketAddr, Vec<u8>)> {
        let now = self.clock.now();
        let by = self.senders.get(&from).copied();
        if by == Some(self.peers.me) {
            // What goes to all may come back.
            return Vec::new();
        }
        if let (Some(members), true) = (&self.members, irisrouter_membership::is_membership(datagram)) {
            // Danger guarded against: a datagram from an address outside the list would make a member of nobody.
            return match by {
                Some(by) => members.hear(datagram, by),
                None => {
                    count(&self.counters.unheard);
                    log!("a membership datagram from {from} is not used: no gateway's address");
                    Vec::new()
                }
            };
        }
        if let (Some(members), Some(by)) = (&self.members, by) {
            if !members.counts(by) {
                // Findings of a gateway held to be down stop counting at once.
                count(&self.counters.unheard);
                return Vec::new();
            }
        }
        let read = by
            .ok_or("no gateway's address".to_string())
            .and_then(|by| message::decode(datagram, now).map(|m| (by, m)).map_err(|e| format!("{e:?}")));
        let (by, told) = match read {
            Ok(read) => read,
            Err(why) => {
                count(&self.counters.unheard);
                log!("a datagram from {from} is not used: {why}");
                return Vec::new();
            }
        };
        count(&self.counters.heard);
        // No word is of the future, whatever the clocks say.
        let at = told.at.min(now);
        let mut found = Vec::with_capacity(told.findings.len());
        for f in &told.findings {
            let Some((member, set)) = self.backend.numbered(f.host) else { continue };
            self.duties.borrow_mut().heard(set, by, at);
            let position = f.position.map(|p| p.min(at));
            let report = Report { position, primary: Some(f.primary), inflight: None, in_use: f.in_use };
            found.push(Finding { member, at, report });
        }
        if !found.is_empty() {
            self.mailbox.post(Event::Found(found));
        }
        Vec::new()
    }

    /// Probes the hosts of a set, and tells what they say.
    async fn ask(self: Rc<Self>, set: i64) {
        let mut out = JoinSet::new();
        for member in self.backend.serving(GroupId(set)) {
            let of = Rc::clone(&self);
            out.spawn_local(async move { of.probe(member).await });
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

    async fn probe(&self, member: MemberId) -> Option<Finding> {
        let event = self.backend.probe(member).await;
        let found = match &event {
            Event::Probed { outcome: Outcome::Ok, report: Some(report), .. } => {
                Some(Finding { member, at: self.clock.now(), report: *report })
            }
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
            Some(message::Finding { host, position, primary: f.report.primary?, in_use })
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
