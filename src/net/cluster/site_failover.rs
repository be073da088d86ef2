//! The shell of site failover: reports what this gateway observes of sites, plans while it holds
//! the lease for that, and follows the plan in force.
//!
//! Every gateway sends load reports to the gateways that may hold the planning lease. The one that
//! holds it sums the reports up and sends its plan to all gateways. Every gateway follows the
//! latest plan: it hands the plan to the router as [`FailoverDirectives`].

use crate::net::cluster::leases::{LeaseService, LeasedTask};
use crate::net::cluster::membership::MembershipService;
use crate::net::cluster::outbox::{Outbox, OutgoingDatagram};
use crate::net::cluster::site_failover_status::{console_line, log_line, state_label};
use crate::net::config::Peers;
use crate::net::log::log;
use crate::net::metrics::{increment, Metrics};
use crate::net::request::classes::Classes;
use crate::net::router_task::RouterHandle;
use crate::net::upstream::Upstream;
use irisrouter::routing::{Event, FailoverDirectives, RecoveryRamp, TimeDelta};
use irisrouter_leases::rendezvous;
use irisrouter_site_failover::codec::{self, Message};
use irisrouter_site_failover::load_report::{SiteLoadReport, SiteLoadReports};
use irisrouter_site_failover::{Follower, Plan, Planner, Settings, SettingsError, TASK_ID};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time between two load reports, and between two plans.
const PERIOD_MS: u64 = 500;
/// A gateway whose latest load report is older than this is not counted.
const REPORT_EXPIRY_MS: u64 = 3_000;
/// Load reports go to this many gateways: the first candidates for the planning lease, any of which
/// may come to hold it.
const REPORT_RECEIVERS: usize = 3;
/// How often a plan that is over is still sent, as datagrams may be lost. A gateway that receives
/// none of them follows the last plan until it expires.
const CLOSING_PLANS: u32 = 6;

/// The names behind the indexes of sites and classes.
pub struct SiteNames {
    /// The zones, in the order of the settings. Each is a site.
    pub zones: Vec<String>,
    /// The request classes, in the order of the settings.
    pub classes: Vec<String>,
    /// The index of this gateway's site.
    pub local_site: u8,
}

/// What the operators set.
pub struct SiteFailoverConfig {
    /// The settings of plans.
    pub settings: Settings,
    /// What a warm host of size one bears, in requests per second.
    pub capacity_per_s: f64,
}

/// The parts of the gateway that the service works with.
pub struct Dependencies {
    /// Which gateways are alive.
    pub membership: Rc<MembershipService>,
    /// Which gateway plans.
    pub leases: Rc<LeaseService>,
    /// The database hosts, and what is observed of them.
    pub upstream: Rc<Upstream>,
    /// The slots of the request classes.
    pub classes: Rc<Classes>,
    /// Receives the directives of the plan in force.
    pub router: Rc<RouterHandle>,
    /// Counters.
    pub metrics: Rc<Metrics>,
}

/// Planning, on the gateway that holds the lease for it.
struct Planning {
    planner: RefCell<Planner>,
    reports: RefCell<SiteLoadReports>,
    /// The epoch under which this gateway last planned.
    epoch: Cell<u64>,
    /// How often a plan that is over is still to be sent.
    closing_plans: Cell<u32>,
    /// What a warm host of size one bears, in requests per second.
    capacity_per_s: f64,
}

/// What was last handed on of the plan in force, so that only changes are handed on.
#[derive(Default)]
struct Published {
    directives: RefCell<FailoverDirectives>,
    log_line: RefCell<String>,
}

/// Site failover on one gateway.
pub struct SiteFailoverService {
    dependencies: Dependencies,
    names: SiteNames,
    planning: Planning,
    follower: RefCell<Follower>,
    published: Published,
    /// Requests since the last load report, by the slots of their classes.
    arrived_by_slot: RefCell<Vec<u16>>,
    /// When the last load report was made, in milliseconds since the start.
    last_report_at: Cell<u64>,
    started_at: Instant,
    outbox: Outbox,
    /// The address that reaches all gateways.
    broadcast_address: SocketAddr,
}

impl SiteFailoverService {
    /// A gateway that has received no plan.
    ///
    /// # Errors
    ///
    /// The settings do not pass their checks.
    pub fn new(
        dependencies: Dependencies,
        names: SiteNames,
        config: SiteFailoverConfig,
        peers: &Peers,
    ) -> Result<Self, SettingsError> {
        let follower = Follower::new(&config.settings);
        let planner = Planner::new(config.settings)?;
        dependencies.upstream.enable_reachability_reports();
        log!("site failover: on, for {}", names.zones.join(", "));
        Ok(Self {
            dependencies,
            names,
            planning: Planning {
                planner: RefCell::new(planner),
                reports: RefCell::default(),
                epoch: Cell::new(0),
                closing_plans: Cell::new(0),
                capacity_per_s: config.capacity_per_s,
            },
            follower: RefCell::new(follower),
            published: Published::default(),
            arrived_by_slot: RefCell::default(),
            last_report_at: Cell::new(0),
            started_at: Instant::now(),
            outbox: Outbox::new(peers.gateway_addresses.clone()),
            broadcast_address: peers.broadcast_address,
        })
    }

    /// Milliseconds since the start.
    fn now(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Counts a request of the class in this slot.
    pub fn request_arrived(&self, slot: usize) {
        let mut arrived = self.arrived_by_slot.borrow_mut();
        if arrived.len() <= slot {
            arrived.resize(slot + 1, 0);
        }
        arrived[slot] = arrived[slot].saturating_add(1);
    }

    /// Receives a datagram of gateway `from`.
    pub fn receive(&self, datagram: &[u8], from: u32) {
        match codec::decode(datagram) {
            Ok(Message::SiteLoadReport(report)) => {
                let mut reports = self.planning.reports.borrow_mut();
                reports.record(self.now(), from, report);
            }
            Ok(Message::Plan(plan)) => {
                increment(&self.dependencies.metrics.site_failover.received);
                self.follow(plan);
            }
            Err(error) => {
                increment(&self.dependencies.metrics.gossip.ignored);
                log!("site failover: a datagram from gateway {from} is ignored: {error}");
            }
        }
    }

    /// Reports and plans once a period. Returns the datagrams to send.
    pub fn advance(&self) -> Vec<OutgoingDatagram> {
        let now = self.now();
        let last_report_at = self.last_report_at.get();
        if now < last_report_at + PERIOD_MS {
            return Vec::new();
        }
        self.last_report_at.set(now);
        let period_ms = u16::try_from(now - last_report_at).unwrap_or(u16::MAX);
        let report = self.take_load_report(period_ms);
        let alive = self.dependencies.membership.alive().gateways;
        self.queue_load_report(&report, &alive);
        self.record_own_report(now, report);
        let mut datagrams = self.outbox.take();
        if let Some(plan) = self.plan_if_leased(now, alive.len()) {
            increment(&self.dependencies.metrics.site_failover.planned);
            datagrams.push(OutgoingDatagram {
                to: self.broadcast_address,
                bytes: codec::encode_plan(&plan),
            });
            self.follow(plan);
        }
        // Also when no plan was received: the plan in force may have expired.
        self.publish_plan_in_force();
        datagrams
    }

    /// The time until [`SiteFailoverService::advance`] has work.
    pub fn due(&self) -> Duration {
        let due_at = self.last_report_at.get() + PERIOD_MS;
        Duration::from_millis(due_at.saturating_sub(self.now()))
    }

    /// What this gateway observed since the last load report. The counts start over.
    fn take_load_report(&self, period_ms: u16) -> SiteLoadReport {
        let counts = self.arrived_by_slot.take();
        let slot_classes = self.dependencies.classes.names();
        let arrived_of_class = |class: &String| {
            slot_classes
                .iter()
                .zip(&counts)
                .filter(|(slot_class, _)| *slot_class == class)
                .map(|(_, &count)| count)
                .fold(0, u16::saturating_add)
        };
        let upstream = &self.dependencies.upstream;
        SiteLoadReport {
            site: self.names.local_site,
            period_ms,
            arrived: self.names.classes.iter().map(arrived_of_class).collect(),
            sites: upstream.take_reachability(&self.names.zones),
        }
    }

    /// Queues the load report to the candidates for the planning lease.
    fn queue_load_report(&self, report: &SiteLoadReport, alive: &[u32]) {
        let datagram = codec::encode_load_report(report);
        let local_gateway = self.local_gateway();
        let receivers = rendezvous::candidates(TASK_ID, alive)
            .into_iter()
            .take(REPORT_RECEIVERS)
            .filter(|&gateway| gateway != local_gateway);
        for receiver in receivers {
            self.outbox.push(receiver, datagram.clone());
        }
    }

    fn record_own_report(&self, now: u64, report: SiteLoadReport) {
        let mut reports = self.planning.reports.borrow_mut();
        reports.record(now, self.local_gateway(), report);
        reports.remove_before(now.saturating_sub(REPORT_EXPIRY_MS));
    }

    fn local_gateway(&self) -> u32 {
        self.dependencies.membership.local_node().number
    }

    /// Plans if this gateway holds the lease for it.
    fn plan_if_leased(&self, now: u64, alive_count: usize) -> Option<Plan> {
        let leases = &self.dependencies.leases;
        let epoch = leases.fencing_token(LeasedTask::SiteFailover)?;
        self.make_plan(now, epoch, alive_count)
    }

    /// The plan to send: one while it changes anything, and a few times after that.
    fn make_plan(&self, now: u64, epoch: u64, alive_count: usize) -> Option<Plan> {
        let planning = &self.planning;
        let reports = planning.reports.borrow();
        // A gateway that has just acquired the lease would judge sites by its own observations
        // alone.
        if 2 * reports.gateway_count() <= alive_count {
            return None;
        }
        let mut planner = planning.planner.borrow_mut();
        if planning.epoch.get() != epoch {
            if let Some(plan) = self.follower.borrow().plan_in_force(now) {
                planner.resume(plan);
            }
        }
        self.observe_sites(now, &mut planner, &reports);
        let class_rates = reports.class_rates(self.names.classes.len());
        let plan = planner.next_plan(epoch, &class_rates, alive_count as u32);
        let closing_plans = if plan.in_force() {
            CLOSING_PLANS
        } else {
            planning.closing_plans.get().saturating_sub(1)
        };
        planning.epoch.set(epoch);
        planning.closing_plans.set(closing_plans);
        (closing_plans > 0).then_some(plan)
    }

    /// Feeds the planner with the sums of all reports, and logs changes of state.
    fn observe_sites(&self, now: u64, planner: &mut Planner, reports: &SiteLoadReports) {
        let zones = &self.names.zones;
        let sizes = self.dependencies.upstream.capacity_by_zone(zones);
        let capacities_per_s: Vec<f64> = sizes
            .into_iter()
            .map(|size| size * self.planning.capacity_per_s)
            .collect();
        for change in planner.observe(now, &reports.observe_sites(&capacities_per_s)) {
            log!(
                "site failover: site {} is {}, by the load reports of {} gateways",
                zones[change.site],
                state_label(change.state),
                reports.gateway_count()
            );
        }
    }

    /// Follows a plan if it is later than the one followed so far.
    fn follow(&self, plan: Plan) {
        let is_followed = self.follower.borrow_mut().receive(self.now(), plan);
        if is_followed {
            self.publish_plan_in_force();
        }
    }

    /// Hands the plan in force to the router, and writes it to the log, where it differs from the
    /// last one.
    fn publish_plan_in_force(&self) {
        let follower = self.follower.borrow();
        let plan = follower.plan_in_force(self.now());
        let directives = plan.map_or_else(FailoverDirectives::default, |plan| {
            self.failover_directives(plan)
        });
        if *self.published.directives.borrow() != directives {
            let event = Event::FailoverDirectivesChanged(directives.clone());
            self.dependencies.router.post(event);
            self.published.directives.replace(directives);
        }
        let log_line = log_line(plan, &self.names);
        if *self.published.log_line.borrow() != log_line {
            log!("site failover: {log_line}");
            self.published.log_line.replace(log_line);
        }
    }

    /// The directives of a plan, by the slots of classes and the ids of zones.
    fn failover_directives(&self, plan: &Plan) -> FailoverDirectives {
        let slot_classes = self.dependencies.classes.names();
        let admitted_share = |slot_class: &String| {
            let class = self
                .names
                .classes
                .iter()
                .position(|name| name == slot_class);
            class
                .and_then(|class| plan.admitted_share.get(class))
                .copied()
                .unwrap_or(1.0)
        };
        let upstream = &self.dependencies.upstream;
        let sites = self.names.zones.iter().zip(&plan.sites);
        FailoverDirectives {
            admitted_share: slot_classes.iter().map(admitted_share).collect(),
            recovery_ramps: sites
                .filter(|(_, site)| site.recovery_ramp < 1.0)
                .map(|(zone, site)| RecoveryRamp {
                    zone: upstream.zone_id(zone),
                    share: site.recovery_ramp,
                })
                .collect(),
            retry_after: Some(TimeDelta::from_millis(i64::from(plan.retry_after_ms))),
        }
    }

    /// The plan in force as one line, for the console.
    pub fn status_line(&self) -> String {
        let follower = self.follower.borrow();
        console_line(follower.plan_in_force(self.now()), &self.names)
    }
}
