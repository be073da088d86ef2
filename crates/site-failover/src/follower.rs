//! The follower, which applies the latest plan on every gateway.

use crate::{ClassIndex, Plan, Settings, SiteIndex};
use irisrouter_cluster_types::{Milliseconds, Timestamp};

/// Decision of a plan about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request is admitted.
    Admitted,
    /// The request is shed.
    Rejected {
        /// Time for which the client is to wait before it retries.
        retry_after: Milliseconds,
    },
}

/// Plan, with the time at which it was received.
#[derive(Debug, Clone)]
struct ReceivedPlan {
    received_at: Timestamp,
    plan: Plan,
}

/// Holds the latest plan that a gateway received, and applies it until it expires.
#[derive(Debug, Clone)]
pub struct Follower {
    latest: Option<ReceivedPlan>,
    plan_expiry: Milliseconds,
}

impl Follower {
    /// Creates a follower that has received no plan.
    #[must_use]
    pub const fn new(settings: &Settings) -> Self {
        Self {
            latest: None,
            plan_expiry: settings.plan_expiry,
        }
    }

    /// Processes a plan from this gateway's planner or from another gateway. Returns whether the
    /// plan is followed from now on: a plan whose version is not later than that of the latest plan
    /// is ignored, whichever gateway sent it.
    pub fn receive(&mut self, now: Timestamp, plan: Plan) -> bool {
        let is_later = self
            .latest
            .as_ref()
            .is_none_or(|latest| plan.version > latest.plan.version);
        if is_later {
            self.latest = Some(ReceivedPlan {
                received_at: now,
                plan,
            });
        }
        is_later
    }

    /// Returns the plan in force: the latest plan, unless it has no effect or has expired.
    /// Returns `None` in these cases, and if no plan has been received. A gateway that receives no
    /// further plans, because a network partition isolates it, follows the latest plan until it
    /// expires.
    #[must_use]
    pub fn plan_in_force(&self, now: Timestamp) -> Option<&Plan> {
        let latest = self.latest.as_ref()?;
        let expires_at = latest.received_at.saturating_add(self.plan_expiry);
        (now < expires_at && latest.plan.in_force()).then_some(&latest.plan)
    }

    /// Returns whether a request of this class is admitted. `draw` is a random number, uniform in
    /// [0, 1). Every gateway admits the plan's share of its own requests, so that all gateways
    /// together admit the plan's share.
    ///
    /// The retry delay is one to two times the plan's delay, depending on the same draw, so that
    /// clients rejected at the same time do not all retry at the same time.
    #[must_use]
    pub fn admit(&self, now: Timestamp, class: ClassIndex, draw: f64) -> Admission {
        let Some(plan) = self.plan_in_force(now) else {
            return Admission::Admitted;
        };
        let share = plan.admitted_share_of(class);
        if draw < share {
            return Admission::Admitted;
        }
        // The draw of a rejected request is uniform in [share, 1). Scaled to [0, 1] it serves as
        // the random number for the retry delay.
        let second_draw = ((draw - share) / (1.0 - share).max(f64::EPSILON)).clamp(0.0, 1.0);
        let retry_after_ms = (plan.retry_after.0 as f64 * (1.0 + second_draw)) as u32;
        Admission::Rejected {
            retry_after: Milliseconds(u64::from(retry_after_ms)),
        }
    }

    /// Returns this gateway's part of the budget of a site, in requests per second; `None` if no
    /// plan is in force or the plan does not cover the site.
    #[must_use]
    pub fn gateway_budget_per_s(&self, now: Timestamp, site: SiteIndex) -> Option<f64> {
        let plan = self.plan_in_force(now)?;
        let site_plan = plan.site(site)?;
        Some(site_plan.budget_per_s / f64::from(plan.gateway_count.max(1)))
    }
}
