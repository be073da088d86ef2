//! The failover plan, which the planner sends to all gateways.

use crate::{ClassIndex, SiteIndex};
use irisrouter_cluster_types::{Epoch, Milliseconds};

/// State of a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SiteState {
    /// The site serves normally.
    Up,
    /// Most of the site's hosts are silent (see
    /// [`lost_host_share`](crate::Settings::lost_host_share)).
    Lost,
    /// The site's hosts answer again, and its load increases along the recovery ramp.
    Recovering,
}

/// Version of a plan, which orders plans: a plan of a later epoch replaces any plan of an earlier
/// epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanVersion {
    /// Fencing epoch of the lease under which the plan was made.
    pub epoch: Epoch,
    /// Sequence number of the plan, which orders the plans of the same epoch.
    pub sequence: u32,
}

/// Part of a plan that concerns one site.
#[derive(Debug, Clone, PartialEq)]
pub struct SitePlan {
    /// Maximum load that all gateways together may send to the site, in requests per second.
    pub budget_per_s: f64,
    /// State of the site.
    pub state: SiteState,
    /// Position on the recovery ramp: the share of their usual reads that the site's hosts take, 0
    /// to 1. It is 1 while the site is up, and `recovery_ramp_start` while it is lost.
    pub recovery_ramp: f64,
    /// Distribution of the site's own load: the share that each site serves, by the sites' indexes
    /// and including this site. The shares add up to at most 1; the remainder is shed.
    pub load_distribution: Vec<f64>,
}

/// A failover plan.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Version of the plan.
    pub version: PlanVersion,
    /// Number of gateways that share the budgets.
    pub gateway_count: u32,
    /// Part of the plan for each site, by the site's index.
    pub sites: Vec<SitePlan>,
    /// Admitted share of each class, 0 to 1, by the class's index.
    pub admitted_share: Vec<f64>,
    /// Minimum retry delay of rejected clients. The delay of each client is random between this
    /// time and twice this time, at most [`Plan::MAX_RETRY_AFTER`], so that clients rejected at the
    /// same time do not all retry at the same time.
    pub retry_after: Milliseconds,
}

impl Plan {
    /// Maximum retry delay that a plan can carry.
    pub const MAX_RETRY_AFTER: Milliseconds = Milliseconds(u32::MAX as u64);

    /// Returns whether the plan has any effect: some site is not up, or some class is shed.
    #[must_use]
    pub fn in_force(&self) -> bool {
        let all_up = self.sites.iter().all(|site| site.state == SiteState::Up);
        let sheds_load = self.admitted_share.iter().any(|&share| share < 1.0);
        !all_up || sheds_load
    }

    /// Returns the part of the plan for a site; `None` if the plan does not cover the site.
    #[must_use]
    pub fn site(&self, site: SiteIndex) -> Option<&SitePlan> {
        self.sites.get(site.0)
    }

    /// Returns the admitted share of a class; 1 if the plan does not cover the class.
    #[must_use]
    pub fn admitted_share_of(&self, class: ClassIndex) -> f64 {
        self.admitted_share.get(class.0).copied().unwrap_or(1.0)
    }
}
