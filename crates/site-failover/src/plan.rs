//! The failover plan: what the planner sends to all gateways.

use crate::{ClassIndex, SiteIndex};
use irisrouter_cluster_types::{Epoch, Milliseconds};

/// The state of a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SiteState {
    /// The site serves normally.
    Up,
    /// Most of its hosts are silent.
    Lost,
    /// Its hosts answer again, and it takes load along the recovery ramp.
    Recovering,
}

/// Orders plans: a plan of a later epoch replaces any plan of an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanVersion {
    /// The fencing epoch of the lease under which the plan was made.
    pub epoch: Epoch,
    /// The plan's sequence number under that epoch.
    pub sequence: u32,
}

/// What a plan says about one site.
#[derive(Debug, Clone, PartialEq)]
pub struct SitePlan {
    /// The load that all gateways together may send to the site, in requests per second.
    pub budget_per_s: f64,
    /// The state of the site.
    pub state: SiteState,
    /// The share of their usual reads that the site's hosts take, 0 to 1: 1 while it is up, the
    /// start of the recovery ramp while it is lost.
    pub recovery_ramp: f64,
    /// Where the site's own load goes: a share for each site, this one included. The shares add up
    /// to at most 1; what is missing to 1 is shed.
    pub load_distribution: Vec<f64>,
}

/// A failover plan.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Orders this plan among all plans.
    pub version: PlanVersion,
    /// The number of gateways that share the budgets.
    pub gateway_count: u32,
    /// The plan of each site, by the site's index.
    pub sites: Vec<SitePlan>,
    /// The share of each class that is admitted, 0 to 1, by the class's index.
    pub admitted_share: Vec<f64>,
    /// Rejected clients are told to retry after this time and up to twice as long, at most
    /// [`Plan::MAX_RETRY_AFTER`]. The delay is random, so that clients rejected together do not
    /// retry together.
    pub retry_after: Milliseconds,
}

impl Plan {
    /// The longest retry delay that a plan can carry.
    pub const MAX_RETRY_AFTER: Milliseconds = Milliseconds(u32::MAX as u64);

    /// Whether the plan changes anything: some site is not up, or some class is shed.
    #[must_use]
    pub fn in_force(&self) -> bool {
        let all_up = self.sites.iter().all(|site| site.state == SiteState::Up);
        let sheds_load = self.admitted_share.iter().any(|&share| share < 1.0);
        !all_up || sheds_load
    }

    /// What the plan says about a site; none where it does not cover the site.
    #[must_use]
    pub fn site(&self, site: SiteIndex) -> Option<&SitePlan> {
        self.sites.get(site.0)
    }

    /// The share of a class that is admitted: all of it where the plan does not cover the class.
    #[must_use]
    pub fn admitted_share_of(&self, class: ClassIndex) -> f64 {
        self.admitted_share.get(class.0).copied().unwrap_or(1.0)
    }
}
