//! The shell of drains: the core of `irisrouter_drain_coordination` fed with datagrams, the time, membership's view and what this
//! gateway owns and has open, and its actions carried out.

use crate::net::cluster::leases::{LeaseService, LeasedTask};
use crate::net::cluster::membership::MembershipService;
use crate::net::cluster::peer_socket::{Outbox, OutgoingDatagram};
use crate::net::log::log;
use crate::net::metrics::{increment, Metrics};
use crate::net::unix_milliseconds;
use crate::net::upstream::Upstream;
use irisrouter_drain_coordination::{
    Action, DrainCommand, DrainCoordinator as Core, Progress, Settings, Surroundings,
};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;

/// What the core looks at while it works.
struct Around {
    leases: Rc<LeaseService>,
    upstream: Rc<Upstream>,
}

impl Surroundings for Around {
    fn token(&self, host: u32) -> Option<u64> {
        self.leases.fencing_token(LeasedTask::HostDrain(host))
    }

    fn open(&self, host: u32) -> u32 {
        u32::try_from(self.upstream.requests_in_flight(host)).unwrap_or(u32::MAX)
    }
}

/// The drains of database hosts, as one gateway knows them.
pub struct DrainService {
    core: RefCell<Core>,
    membership: Rc<MembershipService>,
    around: Around,
    start: Instant,
    out: Outbox,
    metrics: Rc<Metrics>,
    /// Operators who wait for word of a host.
    waiting: RefCell<HashMap<u32, oneshot::Sender<(usize, bool)>>>,
    wake: Notify,
}

impl DrainService {
    /// A gateway that knows of no drain yet.
    pub fn new(
        (membership, leases, upstream): (Rc<MembershipService>, Rc<LeaseService>, Rc<Upstream>),
        each: Vec<SocketAddr>,
        lease_ms: u64,
        metrics: Rc<Metrics>,
    ) -> Self {
        let core = Core::new(
            membership.local_node().number,
            Settings::paced(each.len() as u32, lease_ms),
        );
        Self {
            core: RefCell::new(core),
            membership,
            around: Around { leases, upstream },
            start: Instant::now(),
            out: Outbox::new(each),
            metrics,
            waiting: RefCell::default(),
            wake: Notify::new(),
        }
    }

    fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// The drains that have to have an owner.
    pub fn drains_to_coordinate(&self) -> Vec<u32> {
        self.core.borrow().duties()
    }

    /// Takes a datagram from gateway `from`; returns what is to be sent.
    pub fn receive(&self, datagram: &[u8], from: u32) -> Vec<OutgoingDatagram> {
        let mut core = self.core.borrow_mut();
        core.view(self.membership.not_down_with_generations());
        if let Err(why) = core.receive(self.now(), from, datagram, &self.around) {
            increment(&self.metrics.gossip.ignored);
            log!("drains: a datagram from gateway {from} is not used: {why}");
        }
        self.carry_out(&mut core)
    }

    /// Does what is due; returns what is to be sent.
    pub fn advance(&self) -> Vec<OutgoingDatagram> {
        let mut core = self.core.borrow_mut();
        core.view(self.membership.not_down_with_generations());
        core.advance(self.now(), &self.around);
        self.carry_out(&mut core)
    }

    /// How long [`DrainService::advance`] has no work.
    pub fn due(&self) -> Duration {
        let now = self.now();
        Duration::from_millis(
            self.core
                .borrow()
                .next_due(now)
                .saturating_sub(now)
                .min(60_000),
        )
    }

    /// Waits until an operator has said something.
    pub async fn send_requested(&self) {
        self.wake.notified().await;
    }

    /// An operator's word: a host is to be out of service, or back. What came of it, in words.
    ///
    /// # Errors
    ///
    /// Why it does not hold, or that too few gateways have heard of it so far.
    pub async fn command(&self, name: &str, out: bool) -> Result<String, String> {
        let upstream = &self.around.upstream;
        let member = upstream
            .member_by_name(name)
            .ok_or_else(|| format!("the list names no host {name}"))?;
        let (host, _) = upstream
            .fleet_host_id(member)
            .ok_or_else(|| format!("the list names no host {name}"))?;
        if out && !upstream.can_spare(host) {
            return Err(format!("{name} is the last host of its set in service"));
        }
        self.core
            .borrow_mut()
            .say(self.now(), unix_milliseconds(), host, out)?;
        let (tell, told) = oneshot::channel();
        // A second operator who speaks of the same host meanwhile takes the first one's place.
        self.waiting.borrow_mut().insert(host, tell);
        self.wake.notify_one();
        let (by, majority) = told
            .await
            .map_err(|_| "another word on that host came in between".to_string())?;
        let to_be = if out { "out of" } else { "back in" };
        let heard = format!(
            "{name} is to be {to_be} service; {by} of {} gateways follow",
            self.membership.fleet_size()
        );
        if majority {
            return Ok(heard);
        }
        Err(format!(
            "{heard}, which is no majority: it holds there, and goes on being told"
        ))
    }

    /// All drains as one line: `host:back`, `host:done` with the gateways that were not heard, `host:draining` with what is
    /// still open and who has yet to answer, or `host:elsewhere` where another gateway sees it through.
    pub fn status_line(&self) -> String {
        let core = self.core.borrow();
        let words = core.words().map(|(word, progress)| {
            let name = self.around.upstream.host_name(word.host);
            match progress {
                Progress::Done(_) if !word.out => format!("{name}:back"),
                Progress::Done(unheard) => format!("{name}:done,unheard={unheard}"),
                Progress::Draining { open, unheard } => {
                    format!("{name}:draining,open={open},unheard={unheard}")
                }
                Progress::Elsewhere => format!("{name}:elsewhere"),
            }
        });
        let words: Vec<String> = words.collect();
        format!("drains {}", words.join(" ")).trim_end().to_string()
    }

    fn carry_out(&self, core: &mut Core) -> Vec<OutgoingDatagram> {
        for action in core.drain() {
            match action {
                Action::Send { to, bytes } => self.out.push(to, bytes),
                Action::Follow(word) => {
                    let (name, by) = (self.around.upstream.host_name(word.host), word.by);
                    let how = if word.out {
                        "taken out of"
                    } else {
                        "put back into"
                    };
                    log!("drains: {name} is {how} service on the word of gateway {by}");
                    self.around.upstream.apply_drain_command(word);
                }
                Action::Said { host, by, majority } => {
                    if let Some(operator) = self.waiting.borrow_mut().remove(&host) {
                        let _ = operator.send((by, majority));
                    }
                }
                Action::Done {
                    word,
                    epoch,
                    unheard,
                    own,
                } => self.done(word, epoch, unheard, own),
            }
        }
        self.out.take()
    }

    fn done(&self, word: DrainCommand, epoch: u64, unheard: u32, own: bool) {
        let name = self.around.upstream.host_name(word.host);
        let who = if own { "found here" } else { "told" };
        if own {
            increment(&self.metrics.drains.completed);
        }
        if word.out {
            log!("drains: {name} is drained, nobody has anything open there ({who}, epoch {epoch}, {unheard} gateways not heard)");
        } else {
            log!("drains: {name} is back everywhere ({who}, epoch {epoch}, {unheard} gateways not heard)");
        }
    }
}
