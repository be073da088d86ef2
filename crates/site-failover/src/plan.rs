//! The failover plan: what the planner sends to all gateways.

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
    pub epoch: u64,
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
    /// Rejected clients are told to retry after this time and up to twice as long, in milliseconds.
    /// The delay is random, so that clients rejected together do not retry together.
    pub retry_after_ms: u32,
}

impl Plan {
    /// Whether the plan changes anything: some site is not up, or some class is shed.
    #[must_use]
    pub fn in_force(&self) -> bool {
        let all_up = self.sites.iter().all(|site| site.state == SiteState::Up);
        let sheds_load = self.admitted_share.iter().any(|&share| share < 1.0);
        !all_up || sheds_load
    }
}
