//! Follows plans, on every gateway.

use crate::{ClassIndex, Plan, Settings, SiteIndex};
use irisrouter_cluster_types::{Milliseconds, Timestamp};

/// Whether a plan admits a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request is admitted.
    Admitted,
    /// The request is shed.
    Rejected {
        /// How long its client is to wait before it retries.
        retry_after: Milliseconds,
    },
}

/// A plan, and when it was received.
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
    /// A follower that has received no plan.
    #[must_use]
    pub const fn new(settings: &Settings) -> Self {
        Self {
            latest: None,
            plan_expiry: settings.plan_expiry,
        }
    }

    /// Receives a plan, from this gateway's planner or from another gateway. Returns whether it is
    /// followed from now on: a plan that is not later than the one followed is ignored, whoever
    /// sent it.
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

    /// The plan in force. There is none where no plan was received, where the latest one changes
    /// nothing, or where it has expired. A gateway that is cut off follows the latest plan until
    /// then.
    #[must_use]
    pub fn plan_in_force(&self, now: Timestamp) -> Option<&Plan> {
        let latest = self.latest.as_ref()?;
        let expires_at = latest.received_at.saturating_add(self.plan_expiry);
        (now < expires_at && latest.plan.in_force()).then_some(&latest.plan)
    }

    /// Whether a request of this class is admitted. `draw` is uniform in [0, 1): every gateway
    /// admits the same share of its own requests, so that all gateways together admit the plan's
    /// share.
    ///
    /// The retry delay is one to two times the plan's, by the same draw, so that clients rejected
    /// together do not retry together.
    #[must_use]
    pub fn admit(&self, now: Timestamp, class: ClassIndex, draw: f64) -> Admission {
        let Some(plan) = self.plan_in_force(now) else {
            return Admission::Admitted;
        };
        let share = plan.admitted_share_of(class);
        if draw < share {
            return Admission::Admitted;
        }
        // A rejected request's draw is uniform in [share, 1): scaled to [0, 1] it serves as a
        // second draw.
        let spread = ((draw - share) / (1.0 - share).max(f64::EPSILON)).clamp(0.0, 1.0);
        let retry_after_ms = (plan.retry_after.0 as f64 * (1.0 + spread)) as u32;
        Admission::Rejected {
            retry_after: Milliseconds(u64::from(retry_after_ms)),
        }
    }

    /// This gateway's part of the budget of a site, in requests per second; none where no plan
    /// limits it.
    #[must_use]
    pub fn gateway_budget_per_s(&self, now: Timestamp, site: SiteIndex) -> Option<f64> {
        let plan = self.plan_in_force(now)?;
        let site_plan = plan.site(site)?;
        Some(site_plan.budget_per_s / f64::from(plan.gateway_count.max(1)))
    }
}
