//! The shell of plans for lost sites: the core of `irisrouter_site_failover` fed with what this gateway sees of sites and what
//! others tell, and the plan in force handed to the decision module.
//!
//! Each gateway tallies; whoever owns the planning sums the tallies up and tells its plan to all; all follow the latest.

use crate::net::cluster::leases::{LeaseService, LeasedTask};
use crate::net::cluster::membership::MembershipService;
use crate::net::cluster::peer_socket::{Outbox, OutgoingDatagram};
use crate::net::log::log;
use crate::net::metrics::{increment, Metrics};
use crate::net::request::classes::Classes;
use crate::net::router_task::RouterHandle;
use crate::net::upstream::Upstream;
use irisrouter::routing::{Event, FailoverDirectives, Nanos};
use irisrouter_site_failover::codec::{self, Message};
use irisrouter_site_failover::load_report::{SiteLoadReport, SiteLoadReports};
use irisrouter_site_failover::{Follower, Plan, Planner, Settings, State, TASK_ID};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Between two tallies, and two plans.
const PERIOD_MS: u64 = 500;
/// A gateway that has said nothing for so long is not counted.
const FORGET_MS: u64 = 3_000;
/// Those that may come to own the planning are told: the first so many of its order.
const TOLD: usize = 3;
/// A plan that is over is told so often: a gateway that heard none of these goes on with the last one until it is stale.
const OVER: u32 = 6;
const NS_PER_MS: Nanos = 1_000_000;

/// What the operators' names stand for here.
pub struct Names {
    /// The zones, in the settings' order: a site each.
    pub zones: Vec<String>,
    /// The classes, likewise.
    pub classes: Vec<String>,
    /// This gateway's site.
    pub mine: u8,
}

/// The parts of the gateway that it works with.
pub struct Around {
    /// Who is there.
    pub membership: Rc<MembershipService>,
    /// Who owns the planning.
    pub leases: Rc<LeaseService>,
    /// What is seen of hosts.
    pub upstream: Rc<Upstream>,
    /// The classes' slots.
    pub classes: Rc<Classes>,
    /// The way to the decision module.
    pub router: Rc<RouterHandle>,
    /// Counts.
    pub metrics: Rc<Metrics>,
}

/// Plans for lost sites, as one gateway makes and follows them.
pub struct SiteFailoverService {
    around: Around,
    names: Names,
    /// Requests a second that a host of size one bears.
    capacity_per_s: f64,
    planner: RefCell<Planner>,
    follower: RefCell<Follower>,
    tallies: RefCell<SiteLoadReports>,
    /// Requests by slot since the last tally, and when that was.
    arrived: RefCell<Vec<u16>>,
    tallied: Cell<u64>,
    /// The epoch under which the planner here last planned, and how often it still says that its plan is over.
    planning: Cell<(u64, u32)>,
    /// What the decision module was told last, and what of it the log.
    posted: RefCell<FailoverDirectives>,
    logged: RefCell<String>,
    start: Instant,
    out: Outbox,
    all: SocketAddr,
}

impl SiteFailoverService {
    /// A gateway that knows of no plan yet.
    ///
    /// # Errors
    ///
    /// The settings do not pass their check.
    pub fn new(
        around: Around,
        names: Names,
        (settings, capacity_per_s): (Settings, f64),
        (each, all): (Vec<SocketAddr>, SocketAddr),
    ) -> Result<Self, String> {
        let follower = RefCell::new(Follower::new(&settings));
        let planner = RefCell::new(Planner::new(settings)?);
        around.upstream.enable_reachability_reports();
        log!("site plan: on, for {}", names.zones.join(", "));
        Ok(Self {
            around,
            names,
            capacity_per_s,
            planner,
            follower,
            tallies: RefCell::default(),
            arrived: RefCell::default(),
            tallied: Cell::new(0),
            planning: Cell::new((0, 0)),
            posted: RefCell::default(),
            logged: RefCell::default(),
            start: Instant::now(),
            out: Outbox::new(each),
            all,
        })
    }

    fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// A request of the class in this slot has come.
    pub fn request_arrived(&self, slot: usize) {
        let mut arrived = self.arrived.borrow_mut();
        if arrived.len() <= slot {
            arrived.resize(slot + 1, 0);
        }
        arrived[slot] = arrived[slot].saturating_add(1);
    }

    /// Takes a datagram of gateway `from`.
    pub fn receive(&self, datagram: &[u8], from: u32) {
        match codec::decode(datagram) {
            Ok(Message::SiteLoadReport(load_report)) => {
                self.tallies
                    .borrow_mut()
                    .heard(self.now(), from, load_report)
            }
            Ok(Message::Plan(plan)) => {
                increment(&self.around.metrics.site_failover.received);
                self.follow(plan);
            }
            Err(why) => {
                increment(&self.around.metrics.gossip.ignored);
                log!("site plan: a datagram from gateway {from} is not used: {why}");
            }
        }
    }

    /// Does what is due; returns what is to be sent.
    pub fn advance(&self) -> Vec<OutgoingDatagram> {
        let (now, last) = (self.now(), self.tallied.get());
        if now < last + PERIOD_MS {
            return Vec::new();
        }
        self.tallied.set(now);
        let load_report = self.load_report(u16::try_from(now - last).unwrap_or(u16::MAX));
        let bytes = codec::encode_tally(&load_report);
        let me = self.around.membership.local_node().number;
        let alive = self.around.membership.alive().gateways;
        let first = irisrouter_leases::rendezvous::candidates(TASK_ID, &alive);
        for to in first.into_iter().take(TOLD).filter(|&to| to != me) {
            self.out.push(to, bytes.clone());
        }
        let mut tallies = self.tallies.borrow_mut();
        tallies.heard(now, me, load_report);
        tallies.forget(now.saturating_sub(FORGET_MS));
        let planned = self
            .around
            .leases
            .fencing_token(LeasedTask::SiteFailover)
            .and_then(|e| self.plan(now, e, &tallies, alive.len()));
        drop(tallies);
        let mut sends = self.out.take();
        if let Some(plan) = planned {
            increment(&self.around.metrics.site_failover.planned);
            sends.push((self.all, codec::encode(&plan)));
            self.follow(plan);
        }
        // Also where nothing was heard: a plan may have become too old.
        self.tell_module();
        sends
    }

    /// How long [`SiteFailoverService::advance`] has no work.
    pub fn due(&self) -> Duration {
        Duration::from_millis((self.tallied.get() + PERIOD_MS).saturating_sub(self.now()))
    }

    /// What this gateway saw since the last tally.
    fn load_report(&self, period_ms: u16) -> SiteLoadReport {
        let by_slot = self.arrived.take();
        let slots = self.around.classes.names();
        let of = |name: &String| {
            let slots = slots.iter().zip(&by_slot).filter(|(n, _)| *n == name);
            slots.map(|(_, &count)| count).fold(0, u16::saturating_add)
        };
        let arrived = self.names.classes.iter().map(of).collect();
        let sites = self.around.upstream.take_reachability(&self.names.zones);
        SiteLoadReport {
            site: self.names.mine,
            period_ms,
            arrived,
            sites,
        }
    }

    /// The plan, where this gateway makes one: while some site is not as usual, and a few times after that.
    fn plan(&self, now: u64, epoch: u64, tallies: &SiteLoadReports, alive: usize) -> Option<Plan> {
        // Danger guarded against: one that has just come to plan would judge sites by its own view alone.
        if 2 * tallies.gateways() <= alive {
            return None;
        }
        let mut planner = self.planner.borrow_mut();
        let (last, over) = self.planning.get();
        if last != epoch {
            if let Some(plan) = self.follower.borrow().plan(now) {
                planner.resume(plan);
            }
        }
        let capacity = self.around.upstream.capacity_by_zone(&self.names.zones);
        let capacity: Vec<f64> = capacity
            .into_iter()
            .map(|size| size * self.capacity_per_s)
            .collect();
        for (site, state) in planner.observe(now, &tallies.seen(&capacity)) {
            log!(
                "site plan: site {} is {} by what {} gateways tell",
                self.names.zones[site],
                word(state),
                tallies.gateways()
            );
        }
        let plan = planner.plan(
            epoch,
            &tallies.classes(self.names.classes.len()),
            alive as u32,
        );
        let over = if plan.in_force() {
            OVER
        } else {
            over.saturating_sub(1)
        };
        self.planning.set((epoch, over));
        (over > 0).then_some(plan)
    }

    fn follow(&self, plan: Plan) {
        if self.follower.borrow_mut().heard(self.now(), plan) {
            self.tell_module();
        }
    }

    /// Hands the plan in force to the decision module, where it is another than the last.
    fn tell_module(&self) {
        let follower = self.follower.borrow();
        let plan = follower.plan(self.now());
        let planned = plan.map_or_else(FailoverDirectives::default, |p| self.planned(p));
        if *self.posted.borrow() != planned {
            self.around
                .router
                .post(Event::FailoverDirectivesChanged(planned.clone()));
            self.posted.replace(planned);
        }
        let words = plan.map_or_else(|| "none is in force".into(), |p| self.words(p));
        if *self.logged.borrow() != words {
            log!("site plan: {words}");
            self.logged.replace(words);
        }
    }

    fn planned(&self, plan: &Plan) -> FailoverDirectives {
        let slots = self.around.classes.names();
        let part = |name: &String| {
            let class = self.names.classes.iter().position(|n| n == name);
            class
                .and_then(|c| plan.admitted.get(c))
                .copied()
                .unwrap_or(1.0)
        };
        let sites = self
            .names
            .zones
            .iter()
            .zip(&plan.sites)
            .filter(|(_, s)| s.ramp < 1.0);
        FailoverDirectives {
            admitted_share: slots.iter().map(part).collect(),
            recovery_ramps: sites
                .map(|(zone, s)| (self.around.upstream.zone_id(zone), s.ramp))
                .collect(),
            retry_after: Some(Nanos::from(plan.pause_ms) * NS_PER_MS),
        }
    }

    /// What of a plan is one event: the states of sites, and which classes are refused at all.
    fn words(&self, plan: &Plan) -> String {
        let sites = self
            .names
            .zones
            .iter()
            .zip(&plan.sites)
            .map(|(zone, s)| format!("{zone} {}", word(s.state)));
        let refused = self
            .names
            .classes
            .iter()
            .zip(&plan.admitted)
            .filter(|(_, &a)| a < 1.0)
            .map(|(n, _)| n.as_str());
        let (sites, refused): (Vec<String>, Vec<&str>) = (sites.collect(), refused.collect());
        let refused = if refused.is_empty() {
            "nothing".into()
        } else {
            refused.join(", ")
        };
        format!(
            "followed under epoch {}: {}; refuses of {refused}",
            plan.epoch,
            sites.join(", ")
        )
    }

    /// The plan in force as one line: of each site its state, budget and ramp and where its load goes, what is admitted of
    /// each class that is not admitted whole, and the pause.
    pub fn status_line(&self) -> String {
        let follower = self.follower.borrow();
        let Some(plan) = follower.plan(self.now()) else {
            return "plan none in force".into();
        };
        let zones = &self.names.zones;
        let site = |(zone, s): (&String, &irisrouter_site_failover::SitePlan)| {
            let goes = zones.iter().zip(&s.goes).filter(|(_, &part)| part > 0.0);
            let goes: Vec<String> = goes.map(|(to, part)| format!("{to}:{part:.2}")).collect();
            format!(
                "{zone}={},budget={:.0},ramp={:.2},goes={}",
                word(s.state),
                s.budget,
                s.ramp,
                goes.join("+")
            )
        };
        let sites: Vec<String> = zones.iter().zip(&plan.sites).map(site).collect();
        let classes = self
            .names
            .classes
            .iter()
            .zip(&plan.admitted)
            .filter(|(_, &a)| a < 1.0);
        let classes: Vec<String> = classes.map(|(name, a)| format!("{name}:{a:.2}")).collect();
        let (epoch, number, pause) = (plan.epoch, plan.number, plan.pause_ms);
        format!(
            "plan {epoch}.{number} {} admits={} pause={pause}ms",
            sites.join(" "),
            classes.join("+")
        )
    }
}

const fn word(state: State) -> &'static str {
    match state {
        State::Up => "up",
        State::Lost => "lost",
        State::Returning => "returning",
    }
}
