//! The shell of duties: the core of `irisrouter_leases` fed with datagrams, the time and membership's view, and its
//! actions carried out.
//!
//! Each change of owner is one log line and one count.

use crate::net::cluster::membership::MembershipService;
use crate::net::cluster::peer_socket::{Outbox, OutgoingDatagram};
use crate::net::log::log;
use crate::net::metrics::{increment, Metrics};
use irisrouter_leases::{Action, Holder, LeaseChange, LeaseManager, Settings};
use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// What one gateway does for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeasedTask {
    /// The probing of a set.
    HealthChecks(i64),
    /// The drain of a host, by the number that gateways call it.
    HostDrain(u32),
    /// The watch of the list of database hosts.
    EndpointWatch,
    /// The plans for lost sites.
    SiteFailover,
}

impl LeasedTask {
    /// The same everywhere. A set's number as it is: the order and the voters need no more.
    const fn number(self) -> u64 {
        match self {
            LeasedTask::HealthChecks(set) => set as u64,
            LeasedTask::HostDrain(host) => irisrouter_drain_coordination::task_id(host),
            LeasedTask::EndpointWatch => irisrouter_endpoint_watch::TASK_ID,
            LeasedTask::SiteFailover => irisrouter_site_failover::TASK_ID,
        }
    }

    const fn of(number: u64) -> Self {
        if number == irisrouter_endpoint_watch::TASK_ID {
            return LeasedTask::EndpointWatch;
        }
        if number == irisrouter_site_failover::TASK_ID {
            return LeasedTask::SiteFailover;
        }
        let host = number as u32;
        if irisrouter_drain_coordination::task_id(host) == number {
            return LeasedTask::HostDrain(host);
        }
        LeasedTask::HealthChecks(number as i64)
    }
}

impl fmt::Display for LeasedTask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LeasedTask::HealthChecks(set) => write!(f, "set {set}"),
            LeasedTask::HostDrain(host) => write!(f, "the drain of host {host:06x}"),
            LeasedTask::EndpointWatch => write!(f, "the watch of the list"),
            LeasedTask::SiteFailover => write!(f, "the planning for lost sites"),
        }
    }
}

/// The duties of one gateway.
pub struct LeaseService {
    core: RefCell<LeaseManager>,
    membership: Rc<MembershipService>,
    start: Instant,
    out: Outbox,
    metrics: Rc<Metrics>,
    /// Probes carry the token.
    fence: bool,
}

impl LeaseService {
    /// A gateway that owns nothing yet.
    ///
    /// # Errors
    ///
    /// The settings do not pass their checks.
    pub fn new(
        membership: Rc<MembershipService>,
        each: Vec<SocketAddr>,
        lease_ms: u64,
        fence: bool,
        metrics: Rc<Metrics>,
    ) -> Result<Self, String> {
        let me = membership.local_node();
        let me = Holder {
            number: me.number,
            generation: me.generation,
        };
        let core = LeaseManager::new(
            me,
            Settings {
                fleet: each.len() as u32,
                lease_ms,
            },
            0,
        )?;
        log!("duties: on, with leases of {lease_ms} ms");
        Ok(Self {
            core: RefCell::new(core),
            membership,
            start: Instant::now(),
            out: Outbox::new(each),
            metrics,
            fence,
        })
    }

    fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// This process hears others from now on.
    pub fn on_socket_opened(&self) {
        self.core.borrow_mut().opened(self.now());
    }

    /// Takes a datagram of duties from gateway `from`; returns what is to be sent.
    pub fn receive(&self, datagram: &[u8], from: u32) -> Vec<OutgoingDatagram> {
        let now = self.now();
        let mut core = self.core.borrow_mut();
        match core.receive(now, from, datagram) {
            Ok(()) => increment(&self.metrics.leases.received),
            Err(why) => {
                increment(&self.metrics.leases.rejected);
                log!("duties: a datagram from gateway {from} is not used: {why}");
            }
        }
        self.carry_out(&mut core)
    }

    /// Brings the view and the duties up to date and does what is due; returns what is to be sent.
    pub fn advance(&self, duties: impl Iterator<Item = LeasedTask>) -> Vec<OutgoingDatagram> {
        let now = self.now();
        let alive = self.membership.alive();
        let mut core = self.core.borrow_mut();
        core.view(now, &alive.gateways, alive.majority);
        let duties: Vec<u64> = duties.map(LeasedTask::number).collect();
        core.duties(now, &duties);
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        core.advance(now, u64::try_from(unix.as_millis()).unwrap_or(0));
        self.carry_out(&mut core)
    }

    /// When [`LeaseService::advance`] has work next.
    pub fn due(&self) -> Instant {
        let (due, now) = (self.core.borrow().next_due(), self.now());
        self.start + Duration::from_millis(due.max(now).min(now + 60_000))
    }

    /// This gateway is on the larger side of a cut, as of the last tick.
    pub fn in_majority(&self) -> bool {
        self.core.borrow().majority()
    }

    /// The token under which this gateway may do a duty now; to be asked before each act.
    pub fn fencing_token(&self, duty: LeasedTask) -> Option<u64> {
        self.core.borrow().token(self.now(), duty.number())
    }

    /// What a probe of a set carries, where hosts check it.
    pub fn health_check_fence(&self, set: i64, token: u64) -> Option<(u64, u64)> {
        self.fence
            .then_some((LeasedTask::HealthChecks(set).number(), token))
    }

    /// A host refused the token of a set; returns what is to be sent.
    pub fn token_rejected(&self, set: i64) -> Vec<OutgoingDatagram> {
        increment(&self.metrics.leases.fenced);
        let mut core = self.core.borrow_mut();
        core.fenced(self.now(), LeasedTask::HealthChecks(set).number());
        self.carry_out(&mut core)
    }

    /// Gives everything up, as the gateway stops; returns what is to be sent.
    pub fn release_all(&self) -> Vec<OutgoingDatagram> {
        let mut core = self.core.borrow_mut();
        core.stop(self.now());
        self.carry_out(&mut core)
    }

    /// What is owned, as one line: `set:epoch` each, `drain-host:epoch`, `list:epoch`, `plan:epoch`.
    pub fn status_line(&self) -> String {
        let owned = self.core.borrow().owned(self.now());
        let owned: Vec<String> = (owned.iter())
            .map(|(duty, epoch)| match LeasedTask::of(*duty) {
                LeasedTask::HealthChecks(set) => format!("{set}:{epoch}"),
                LeasedTask::HostDrain(host) => format!("drain-{host:06x}:{epoch}"),
                LeasedTask::EndpointWatch => format!("list:{epoch}"),
                LeasedTask::SiteFailover => format!("plan:{epoch}"),
            })
            .collect();
        format!("duties owned={} {}", owned.len(), owned.join(" "))
    }

    fn carry_out(&self, core: &mut LeaseManager) -> Vec<OutgoingDatagram> {
        for action in core.drain() {
            match action {
                Action::Send { to, bytes } => self.out.push(to, bytes),
                Action::Owned { duty, epoch, why } => {
                    increment(&self.metrics.leases.acquired);
                    let duty = LeasedTask::of(duty);
                    log!(
                        "duties: {duty} is this gateway's under epoch {epoch} ({})",
                        words(why)
                    );
                }
                Action::Lost { duty, epoch, why } => {
                    increment(&self.metrics.leases.lost);
                    let duty = LeasedTask::of(duty);
                    log!(
                        "duties: {duty} is no longer this gateway's under epoch {epoch} ({})",
                        words(why)
                    );
                }
            }
        }
        self.out.take()
    }
}

fn words(why: LeaseChange) -> String {
    match why {
        LeaseChange::Vacant => "it was free".into(),
        LeaseChange::TakenOver(h) => {
            format!("after gateway {}, generation {}", h.number, h.generation)
        }
        LeaseChange::Expired => "its lease ran out".into(),
        LeaseChange::Superseded => "a later epoch was seen".into(),
        LeaseChange::HandedOver(n) => format!("handed over to gateway {n}, first in its order"),
        LeaseChange::Stopped => "this gateway stops, or is on the small side of a cut".into(),
        LeaseChange::TaskRemoved => "there is no such duty any more".into(),
    }
}
