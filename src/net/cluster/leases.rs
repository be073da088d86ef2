//! The shell of duties: the core of `irisrouter_duties` fed with datagrams, the time and membership's view, and its
//! actions carried out.
//!
//! Each change of owner is one log line and one count.

use super::counters::{count, Counters};
use super::log::log;
use super::membership::Members;
use super::peers::{Outbox, Sent};
use irisrouter_duties::{Action, Duties, Holder, Settings, Why};
use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// What one gateway does for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty {
    /// The probing of a set.
    Probing(i64),
    /// The drain of a host, by the number that gateways call it.
    Drain(u32),
    /// The watch of the list of database hosts.
    ListWatch,
    /// The plans for lost sites.
    SitePlan,
}

impl Duty {
    /// The same everywhere. A set's number as it is: the order and the voters need no more.
    const fn number(self) -> u64 {
        match self {
            Duty::Probing(set) => set as u64,
            Duty::Drain(host) => irisrouter_drains::duty(host),
            Duty::ListWatch => irisrouter_listwatch::DUTY,
            Duty::SitePlan => irisrouter_siteplan::DUTY,
        }
    }

    const fn of(number: u64) -> Self {
        if number == irisrouter_listwatch::DUTY {
            return Duty::ListWatch;
        }
        if number == irisrouter_siteplan::DUTY {
            return Duty::SitePlan;
        }
        let host = number as u32;
        if irisrouter_drains::duty(host) == number {
            return Duty::Drain(host);
        }
        Duty::Probing(number as i64)
    }
}

impl fmt::Display for Duty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Duty::Probing(set) => write!(f, "set {set}"),
            Duty::Drain(host) => write!(f, "the drain of host {host:06x}"),
            Duty::ListWatch => write!(f, "the watch of the list"),
            Duty::SitePlan => write!(f, "the planning for lost sites"),
        }
    }
}

/// The duties of one gateway.
pub struct Owners {
    core: RefCell<Duties>,
    members: Rc<Members>,
    start: Instant,
    out: Outbox,
    counters: Rc<Counters>,
    /// Probes carry the token.
    fence: bool,
}

impl Owners {
    /// A gateway that owns nothing yet.
    ///
    /// # Errors
    ///
    /// The settings do not pass their checks.
    pub fn new(
        members: Rc<Members>,
        each: Vec<SocketAddr>,
        lease_ms: u64,
        fence: bool,
        counters: Rc<Counters>,
    ) -> Result<Self, String> {
        let me = members.me();
        let me = Holder {
            number: me.number,
            generation: me.generation,
        };
        let core = Duties::new(
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
            members,
            start: Instant::now(),
            out: Outbox::new(each),
            counters,
            fence,
        })
    }

    fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// This process hears others from now on.
    pub fn opened(&self) {
        self.core.borrow_mut().opened(self.now());
    }

    /// Takes a datagram of duties from gateway `from`; returns what is to be sent.
    pub fn hear(&self, datagram: &[u8], from: u32) -> Vec<Sent> {
        let now = self.now();
        let mut core = self.core.borrow_mut();
        match core.receive(now, from, datagram) {
            Ok(()) => count(&self.counters.duties_heard),
            Err(why) => {
                count(&self.counters.duties_refused);
                log!("duties: a datagram from gateway {from} is not used: {why}");
            }
        }
        self.carry_out(&mut core)
    }

    /// Brings the view and the duties up to date and does what is due; returns what is to be sent.
    pub fn tick(&self, duties: impl Iterator<Item = Duty>) -> Vec<Sent> {
        let now = self.now();
        let (alive, majority) = self.members.alive();
        let mut core = self.core.borrow_mut();
        core.view(now, &alive, majority);
        let duties: Vec<u64> = duties.map(Duty::number).collect();
        core.duties(now, &duties);
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        core.advance(now, u64::try_from(unix.as_millis()).unwrap_or(0));
        self.carry_out(&mut core)
    }

    /// When [`Owners::tick`] has work next.
    pub fn due(&self) -> Instant {
        let (due, now) = (self.core.borrow().next_due(), self.now());
        self.start + Duration::from_millis(due.max(now).min(now + 60_000))
    }

    /// This gateway is on the larger side of a cut, as of the last tick.
    pub fn majority(&self) -> bool {
        self.core.borrow().majority()
    }

    /// The token under which this gateway may do a duty now; to be asked before each act.
    pub fn token(&self, duty: Duty) -> Option<u64> {
        self.core.borrow().token(self.now(), duty.number())
    }

    /// What a probe of a set carries, where hosts check it.
    pub fn fence(&self, set: i64, token: u64) -> Option<(u64, u64)> {
        self.fence.then_some((Duty::Probing(set).number(), token))
    }

    /// A host refused the token of a set; returns what is to be sent.
    pub fn fenced(&self, set: i64) -> Vec<Sent> {
        count(&self.counters.duties_fenced);
        let mut core = self.core.borrow_mut();
        core.fenced(self.now(), Duty::Probing(set).number());
        self.carry_out(&mut core)
    }

    /// Gives everything up, as the gateway stops; returns what is to be sent.
    pub fn stop(&self) -> Vec<Sent> {
        let mut core = self.core.borrow_mut();
        core.stop(self.now());
        self.carry_out(&mut core)
    }

    /// What is owned, as one line: `set:epoch` each, `drain-host:epoch`, `list:epoch`, `plan:epoch`.
    pub fn line(&self) -> String {
        let owned = self.core.borrow().owned(self.now());
        let owned: Vec<String> = (owned.iter())
            .map(|(duty, epoch)| match Duty::of(*duty) {
                Duty::Probing(set) => format!("{set}:{epoch}"),
                Duty::Drain(host) => format!("drain-{host:06x}:{epoch}"),
                Duty::ListWatch => format!("list:{epoch}"),
                Duty::SitePlan => format!("plan:{epoch}"),
            })
            .collect();
        format!("duties owned={} {}", owned.len(), owned.join(" "))
    }

    fn carry_out(&self, core: &mut Duties) -> Vec<Sent> {
        for action in core.drain() {
            match action {
                Action::Send { to, bytes } => self.out.push(to, bytes),
                Action::Owned { duty, epoch, why } => {
                    count(&self.counters.duties_taken);
                    let duty = Duty::of(duty);
                    log!(
                        "duties: {duty} is this gateway's under epoch {epoch} ({})",
                        words(why)
                    );
                }
                Action::Lost { duty, epoch, why } => {
                    count(&self.counters.duties_lost);
                    let duty = Duty::of(duty);
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

fn words(why: Why) -> String {
    match why {
        Why::Free => "it was free".into(),
        Why::TakenOver(h) => format!("after gateway {}, generation {}", h.number, h.generation),
        Why::RanOut => "its lease ran out".into(),
        Why::Outbid => "a later epoch was seen".into(),
        Why::HandedOver(n) => format!("handed over to gateway {n}, first in its order"),
        Why::Stopped => "this gateway stops, or is on the small side of a cut".into(),
        Why::Gone => "there is no such duty any more".into(),
    }
}
