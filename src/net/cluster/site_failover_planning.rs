//! Planning of site failover on the gateway that holds the planning lease.
//!
//! The planner decides the state of each site from the sums of the load reports, once more than
//! half of the alive gateways have sent one. Plans are sent as long as they change anything, and a
//! few times after that.

use crate::net::cluster::site_failover::SiteNames;
use crate::net::cluster::site_failover_status::state_label;
use crate::net::log::log;
use irisrouter_cluster_types::{Epoch, GatewayId, Milliseconds, Timestamp};
use irisrouter_site_failover::load_report::{SiteLoadReport, SiteLoadReports};
use irisrouter_site_failover::{Plan, Planner, Settings, SettingsError};
use std::cell::{Cell, RefCell};

/// Load reports older than this are removed, so that a gateway that stopped reporting is no longer
/// counted.
const REPORT_EXPIRY: Milliseconds = Milliseconds(3_000);
/// Start value of the countdown that limits how often an inactive plan is sent. An inactive plan
/// changes nothing. Each one decrements the countdown, and is sent if the result is above 0. It is
/// sent several times because datagrams may be lost: a gateway that receives none of them follows
/// the last active plan until that plan expires.
const INACTIVE_PLAN_COUNTDOWN: u32 = 6;

/// The planner of this gateway, with the load reports that it works from.
pub struct Planning {
    planner: RefCell<Planner>,
    reports: RefCell<SiteLoadReports>,
    /// The epoch under which this gateway last planned.
    last_epoch: Cell<Epoch>,
    /// Countdown from [`INACTIVE_PLAN_COUNTDOWN`], restarted by each plan that changes anything.
    inactive_plan_countdown: Cell<u32>,
    /// Capacity of a host of size 1 that is not in slow start, in requests per second.
    capacity_per_s: f64,
}

/// The state of this gateway from which a plan is made.
pub struct PlanningInput<'a> {
    /// The current time.
    pub now: Timestamp,
    /// The epoch of the planning lease that this gateway holds.
    pub epoch: Epoch,
    /// The number of alive gateways, including this one.
    pub alive_count: usize,
    /// The plan that this gateway follows, if any.
    pub plan_in_force: Option<&'a Plan>,
    /// The sum of the sizes of the hosts in each zone, in the order of [`SiteNames::zones`].
    pub zone_sizes: &'a [f64],
    /// The names of the sites and classes.
    pub names: &'a SiteNames,
}

impl Planning {
    /// Creates the planning state, without any load reports.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid.
    pub fn new(settings: Settings, capacity_per_s: f64) -> Result<Self, SettingsError> {
        Ok(Self {
            planner: RefCell::new(Planner::new(settings)?),
            reports: RefCell::default(),
            last_epoch: Cell::default(),
            inactive_plan_countdown: Cell::new(0),
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

    /// Makes the next plan. Returns `None` if at most half of the alive gateways have reported, or
    /// if enough inactive plans have been sent.
    pub fn next_plan(&self, input: &PlanningInput<'_>) -> Option<Plan> {
        let reports = self.reports.borrow();
        // Otherwise a gateway that has just acquired the lease would decide the state of sites from
        // its own observations alone.
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
        let inactive_plan_countdown = if plan.in_force() {
            INACTIVE_PLAN_COUNTDOWN
        } else {
            self.inactive_plan_countdown.get().saturating_sub(1)
        };
        self.inactive_plan_countdown.set(inactive_plan_countdown);
        (inactive_plan_countdown > 0).then_some(plan)
    }

    /// Passes the sums of all reports to the planner, and logs the sites whose state changed.
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
