//! Planning of site failover, on the gateway that holds the lease for it.
//!
//! The planner judges sites by the sums of the load reports of more than half of the gateways that
//! are alive. Plans are sent while they change anything, and a few times after that.

use crate::net::cluster::site_failover::SiteNames;
use crate::net::cluster::site_failover_status::state_label;
use crate::net::log::log;
use irisrouter_cluster_types::{Epoch, GatewayId, Milliseconds, Timestamp};
use irisrouter_site_failover::load_report::{SiteLoadReport, SiteLoadReports};
use irisrouter_site_failover::{Plan, Planner, Settings, SettingsError};
use std::cell::{Cell, RefCell};

/// A gateway whose latest load report is older than this is not counted.
const REPORT_EXPIRY: Milliseconds = Milliseconds(3_000);
/// How often a plan that is over is still sent, as datagrams may be lost. A gateway that receives
/// none of them follows the last plan until it expires.
const CLOSING_PLANS: u32 = 6;

/// The planner of this gateway, and what it plans with.
pub struct Planning {
    planner: RefCell<Planner>,
    reports: RefCell<SiteLoadReports>,
    /// The epoch under which this gateway last planned.
    last_epoch: Cell<Epoch>,
    /// How often a plan that is over is still to be sent.
    closing_plans: Cell<u32>,
    /// What a warm host of size one bears, in requests per second.
    capacity_per_s: f64,
}

/// What this gateway knows when it is to plan.
pub struct PlanningInput<'a> {
    /// The time.
    pub now: Timestamp,
    /// The epoch of the lease under which this gateway plans.
    pub epoch: Epoch,
    /// How many gateways are alive, this one included.
    pub alive_count: usize,
    /// The plan that this gateway follows.
    pub plan_in_force: Option<&'a Plan>,
    /// The sums of the sizes of the hosts in each zone.
    pub zone_sizes: &'a [f64],
    /// The names behind the indexes of sites and classes.
    pub names: &'a SiteNames,
}

impl Planning {
    /// A gateway that has never planned and has no load report.
    ///
    /// # Errors
    ///
    /// The settings do not pass their checks.
    pub fn new(settings: Settings, capacity_per_s: f64) -> Result<Self, SettingsError> {
        Ok(Self {
            planner: RefCell::new(Planner::new(settings)?),
            reports: RefCell::default(),
            last_epoch: Cell::default(),
            closing_plans: Cell::new(0),
            capacity_per_s,
        })
    }

    /// Records the load report of a gateway.
    pub fn record_report(&self, now: Timestamp, gateway: GatewayId, report: SiteLoadReport) {
        self.reports.borrow_mut().record(now, gateway, report);
    }

    /// Removes the load reports that are too old to count.
    pub fn remove_expired_reports(&self, now: Timestamp) {
        let oldest = now.saturating_sub(REPORT_EXPIRY);
        self.reports.borrow_mut().remove_before(oldest);
    }

    /// The plan to send; none where too few gateways have reported, or a plan that changes nothing
    /// has been sent often enough.
    pub fn next_plan(&self, input: &PlanningInput<'_>) -> Option<Plan> {
        let reports = self.reports.borrow();
        // A gateway that has just acquired the lease would judge sites by its own observations
        // alone.
        if 2 * reports.gateway_count() <= input.alive_count {
            return None;
        }
        let mut planner = self.planner.borrow_mut();
        if self.last_epoch.replace(input.epoch) != input.epoch {
            if let Some(plan) = input.plan_in_force {
                planner.resume(plan);
            }
        }
        self.observe_sites(input, &mut planner, &reports);
        let class_rates = reports.class_rates(input.names.classes.len());
        let plan = planner.next_plan(input.epoch, &class_rates, input.alive_count as u32);
        let closing_plans = if plan.in_force() {
            CLOSING_PLANS
        } else {
            self.closing_plans.get().saturating_sub(1)
        };
        self.closing_plans.set(closing_plans);
        (closing_plans > 0).then_some(plan)
    }

    /// Feeds the planner with the sums of all reports, and logs changes of state.
    fn observe_sites(
        &self,
        input: &PlanningInput<'_>,
        planner: &mut Planner,
        reports: &SiteLoadReports,
    ) {
        let capacities_per_s: Vec<f64> = input
            .zone_sizes
            .iter()
            .map(|size| size * self.capacity_per_s)
            .collect();
        for change in planner.observe(input.now, &reports.observe_sites(&capacities_per_s)) {
            log!(
                "site failover: site {} is {}, by the load reports of {} gateways",
                input.names.zones[change.site.0],
                state_label(change.state),
                reports.gateway_count()
            );
        }
    }
}
