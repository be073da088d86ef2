//! The site-failover service: reports the load that arrives at this gateway and the reachability of
//! the sites, makes failover plans while this gateway holds the planning lease, and follows the
//! plan in force.
//!
//! Every gateway sends load reports to the first candidates for the planning lease. The holder of
//! the lease adds up the reports and broadcasts its plan. Every gateway follows the latest plan by
//! passing it to the router as [`FailoverDirectives`].

use crate::net::cluster::leases::{LeaseService, LeasedTask};
use crate::net::cluster::membership::MembershipService;
use crate::net::cluster::outbox::{Outbox, OutgoingDatagram};
use crate::net::cluster::service_clock::ServiceClock;
use crate::net::cluster::site_failover_planning::{Planning, PlanningInput};
use crate::net::cluster::site_failover_status::{console_line, log_line};
use crate::net::config::Peers;
use crate::net::log::log;
use crate::net::metrics::{increment, Metrics};
use crate::net::router_task::RouterHandle;
use crate::net::upstream::Upstream;
use irisrouter::routing::{Event, FailoverDirectives, RecoveryRamp, TimeDelta};
use irisrouter_cluster_types::{GatewayId, Milliseconds, Timestamp};
use irisrouter_leases::rendezvous;
use irisrouter_site_failover::codec::{self, Message};
use irisrouter_site_failover::load_report::SiteLoadReport;
use irisrouter_site_failover::{
    ClassIndex, Follower, Plan, Settings, SettingsError, SiteIndex, TASK_ID,
};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time between two load reports, and between two plans.
const REPORT_PERIOD: Milliseconds = Milliseconds(500);
/// Number of candidates for the planning lease that receive load reports. It is more than one, so
/// that the next holder already has reports when the lease changes hands.
const REPORT_RECEIVERS: usize = 3;

/// The names of the sites and classes, which plans and load reports refer to by index.
pub struct SiteNames {
    /// Names of the zones in the order of the settings. Each zone is a site.
    pub zones: Vec<String>,
    /// Names of the request classes in the order of the settings.
    pub classes: Vec<String>,
    /// This gateway's site.
    pub local_site: SiteIndex,
}

/// Settings of site failover that the operators choose.
pub struct SiteFailoverConfig {
    /// Settings of the planner and of the followers.
    pub settings: Settings,
    /// Capacity of a host of size 1 that is not in slow start, in requests per second.
    pub capacity_per_s: f64,
}

/// Maps the router's class slots to the names of the request classes.
///
/// The class in a slot changes with the platform's settings. Plans and load reports therefore
/// identify a class by its index in [`SiteNames::classes`], not by its slot.
pub trait ClassSlots {
    /// Returns the name of the class in each slot. The name is empty if the current settings have
    /// no class in the slot.
    fn class_names_by_slot(&self) -> Vec<String>;
}

/// The parts of the gateway that the service depends on.
pub struct Dependencies {
    /// Reports which gateways are alive.
    pub membership: Rc<MembershipService>,
    /// Decides which gateway makes the plans.
    pub leases: Rc<LeaseService>,
    /// The database hosts, their sizes and their reachability.
    pub upstream: Rc<Upstream>,
    /// The names of the request classes by slot.
    pub class_slots: Rc<dyn ClassSlots>,
    /// Receives the directives of the plan in force.
    pub router: Rc<RouterHandle>,
    /// Counters of plans and datagrams.
    pub metrics: Rc<Metrics>,
}

/// Requests that arrived at this gateway since its last load report.
#[derive(Default)]
struct LocalLoad {
    /// Number of requests that arrived, by the slot of their class.
    arrived_by_slot: RefCell<Vec<u16>>,
    /// When the last load report was made.
    last_report_at: Cell<Timestamp>,
}

/// The directives and the log line that were last published, so that only changes are published.
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
    local_load: LocalLoad,
    clock: ServiceClock,
    outbox: Outbox,
    /// The address that reaches all gateways.
    broadcast_address: SocketAddr,
}

impl SiteFailoverService {
    /// Starts the service without any received plan.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid.
    pub fn new(
        dependencies: Dependencies,
        names: SiteNames,
        config: SiteFailoverConfig,
        peers: &Peers,
    ) -> Result<Self, SettingsError> {
        let follower = Follower::new(&config.settings);
        let planning = Planning::new(config.settings, config.capacity_per_s)?;
        dependencies.upstream.enable_reachability_reports();
        log!("site failover: on, for {}", names.zones.join(", "));
        Ok(Self {
            dependencies,
            names,
            planning,
            follower: RefCell::new(follower),
            published: Published::default(),
            local_load: LocalLoad::default(),
            clock: ServiceClock::start(),
            outbox: Outbox::new(peers.gateway_addresses.clone()),
            broadcast_address: peers.broadcast_address,
        })
    }

    /// Counts an arrived request of the class in this slot.
    pub fn request_arrived(&self, slot: usize) {
        let mut arrived = self.local_load.arrived_by_slot.borrow_mut();
        if arrived.len() <= slot {
            arrived.resize(slot + 1, 0);
        }
        arrived[slot] = arrived[slot].saturating_add(1);
    }

    /// Processes a datagram from gateway `from`.
    pub fn receive(&self, datagram: &[u8], from: GatewayId) {
        match codec::decode(datagram) {
            Ok(Message::SiteLoadReport(report)) => {
                self.planning.record_report(self.clock.now(), from, report);
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

    /// Sends a load report and makes a plan once every [`REPORT_PERIOD`]. Returns the datagrams to
    /// send.
    pub fn advance(&self) -> Vec<OutgoingDatagram> {
        let now = self.clock.now();
        let last_report_at = self.local_load.last_report_at.get();
        if now < last_report_at + REPORT_PERIOD {
            return Vec::new();
        }
        self.local_load.last_report_at.set(now);
        let period = now.saturating_duration_since(last_report_at);
        let report = self.take_load_report(period.min(SiteLoadReport::MAX_PERIOD));
        let alive = self.dependencies.membership.alive().gateways;
        self.queue_load_report(&report, &alive);
        self.planning
            .record_report(now, self.local_gateway(), report);
        self.planning.remove_expired_reports(now);
        let mut datagrams = self.outbox.take();
        if let Some(plan) = self.plan_if_leased(now, alive.len()) {
            increment(&self.dependencies.metrics.site_failover.planned);
            datagrams.push(OutgoingDatagram {
                to: self.broadcast_address,
                bytes: codec::encode_plan(&plan),
            });
            self.follow(plan);
        }
        // Called even if no plan was received, because the plan in force may have expired.
        self.publish_plan_in_force();
        datagrams
    }

    /// Returns the time until [`SiteFailoverService::advance`] has work due.
    pub fn due(&self) -> Duration {
        let due_at = self.local_load.last_report_at.get() + REPORT_PERIOD;
        ServiceClock::time_until(self.clock.now(), due_at)
    }

    /// Returns the load report for the time since the last one, and resets the counts.
    fn take_load_report(&self, period: Milliseconds) -> SiteLoadReport {
        let counts = self.local_load.arrived_by_slot.take();
        let slot_classes = self.dependencies.class_slots.class_names_by_slot();
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
            period,
            arrived: self.names.classes.iter().map(arrived_of_class).collect(),
            sites: upstream.take_reachability(&self.names.zones),
        }
    }

    /// Queues the load report to the first candidates for the planning lease, except this gateway.
    fn queue_load_report(&self, report: &SiteLoadReport, alive: &[GatewayId]) {
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

    fn local_gateway(&self) -> GatewayId {
        self.dependencies.membership.local_gateway()
    }

    /// Makes a plan if this gateway holds the planning lease. Returns the plan if it is to be sent.
    fn plan_if_leased(&self, now: Timestamp, alive_count: usize) -> Option<Plan> {
        let leases = &self.dependencies.leases;
        let epoch = leases.fencing_token(LeasedTask::SiteFailover)?;
        let upstream = &self.dependencies.upstream;
        self.planning.next_plan(&PlanningInput {
            now,
            epoch,
            alive_count,
            plan_in_force: self.follower.borrow().plan_in_force(now),
            zone_sizes: &upstream.capacity_by_zone(&self.names.zones),
            names: &self.names,
        })
    }

    /// Follows a plan if it is later than the latest plan received so far.
    fn follow(&self, plan: Plan) {
        let is_newer = self.follower.borrow_mut().receive(self.clock.now(), plan);
        if is_newer {
            self.publish_plan_in_force();
        }
    }

    /// Posts the directives of the plan in force to the router and logs the plan, each only if it
    /// differs from the one last published.
    fn publish_plan_in_force(&self) {
        let follower = self.follower.borrow();
        let plan = follower.plan_in_force(self.clock.now());
        let directives = plan.map_or_else(FailoverDirectives::default, |plan| {
            self.failover_directives(plan)
        });
        if *self.published.directives.borrow() != directives {
            let event = Event::FailoverDirectivesChanged(directives.clone());
            self.dependencies.router.post(event);
            self.published.directives.replace(directives);
        }
        let line = log_line(plan, &self.names);
        if *self.published.log_line.borrow() != line {
            log!("site failover: {line}");
            self.published.log_line.replace(line);
        }
    }

    /// Converts a plan to directives, which refer to classes by slot and to zones by the router's
    /// zone id.
    fn failover_directives(&self, plan: &Plan) -> FailoverDirectives {
        let slot_classes = self.dependencies.class_slots.class_names_by_slot();
        let admitted_share = |slot_class: &String| {
            let class = self
                .names
                .classes
                .iter()
                .position(|name| name == slot_class);
            class.map_or(1.0, |class| plan.admitted_share_of(ClassIndex(class)))
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
            retry_after: Some(TimeDelta::from_millis(plan.retry_after.0 as i64)),
        }
    }

    /// Returns the plan in force as one line for the console.
    pub fn status_line(&self) -> String {
        let follower = self.follower.borrow();
        console_line(follower.plan_in_force(self.clock.now()), &self.names)
    }
}
