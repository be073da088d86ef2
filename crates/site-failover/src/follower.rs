//! The following of plans, by every gateway.

use crate::{Millis, Plan, Settings};

/// The plan that a gateway follows.
#[derive(Debug, Clone)]
pub struct Follower {
    plan: Option<(Millis, Plan)>,
    stale_ms: u64,
}

impl Follower {
    /// None yet: all is as without plans.
    #[must_use]
    pub const fn new(settings: &Settings) -> Self {
        Self {
            plan: None,
            stale_ms: settings.stale_ms,
        }
    }

    /// A plan was made or heard. Returns whether it is followed from now on: an older one is not, whoever says it.
    pub fn heard(&mut self, now: Millis, plan: Plan) -> bool {
        let key = |p: &Plan| (p.epoch, p.number);
        let later = self
            .plan
            .as_ref()
            .is_none_or(|(_, known)| key(&plan) > key(known));
        if later {
            self.plan = Some((now, plan));
        }
        later
    }

    /// The plan in force; none where nothing was heard, where all is as usual, or where it is too old. A gateway that is cut
    /// off goes on with the last one until then.
    #[must_use]
    pub fn plan(&self, now: Millis) -> Option<&Plan> {
        let (at, plan) = self.plan.as_ref()?;
        (now < at.saturating_add(self.stale_ms) && plan.in_force()).then_some(plan)
    }

    /// Whether a request of a class is admitted; else the pause that its client is told, in milliseconds. `draw` is even in
    /// [0, 1): all gateways admit the same part, each of its own requests, so that the sum is the plan's.
    ///
    /// # Errors
    /// The pause: between one and two of the plan's, by the same draw, so that those refused together do not come again
    /// together.
    pub fn admit(&self, now: Millis, class: usize, draw: f64) -> Result<(), u32> {
        let Some(plan) = self.plan(now) else {
            return Ok(());
        };
        let part = plan.admitted.get(class).copied().unwrap_or(1.0);
        if draw < part {
            return Ok(());
        }
        // What is left of the draw is even again.
        let spread = ((draw - part) / (1.0 - part).max(f64::EPSILON)).clamp(0.0, 1.0);
        Err((f64::from(plan.pause_ms) * (1.0 + spread)) as u32)
    }

    /// This gateway's part of what may be sent to a site, a second; none where no plan binds it.
    #[must_use]
    pub fn share(&self, now: Millis, site: usize) -> Option<f64> {
        let plan = self.plan(now)?;
        let of = plan.sites.get(site)?;
        Some(of.budget / f64::from(plan.gateways.max(1)))
    }
}
