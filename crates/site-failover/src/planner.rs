//! Makes failover plans, on the one gateway that holds the lease for it.

use crate::site_tracker::SiteTracker;
use crate::{ClassIndex, Plan, PlanVersion, Settings, SettingsError};
use crate::{SiteIndex, SiteObservation, SitePlan, SiteState};
use irisrouter_cluster_types::{Epoch, Milliseconds, Timestamp};

/// A site whose state changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SiteStateChange {
    /// The site.
    pub site: SiteIndex,
    /// Its new state.
    pub state: SiteState,
}

/// Decides which sites are lost or recovering, and makes plans.
#[derive(Debug, Clone)]
pub struct Planner {
    settings: Settings,
    sites: Vec<SiteTracker>,
    last_observed_at: Option<Timestamp>,
    /// The sequence number of the last plan.
    sequence: u32,
}

impl Planner {
    /// A planner that has observed nothing and takes all sites to be up.
    ///
    /// # Errors
    /// The settings do not pass [`Settings::check`].
    pub fn new(settings: Settings) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Self {
            sites: vec![SiteTracker::new(); settings.preferred_sites.len()],
            settings,
            last_observed_at: None,
            sequence: 0,
        })
    }

    /// Continues from a plan that another gateway made. When the lease changes hands, the states of
    /// the sites are carried over: a recovering site must not be taken for one that is up and warm.
    pub fn resume(&mut self, plan: &Plan) {
        for (tracker, site_plan) in self.sites.iter_mut().zip(&plan.sites) {
            tracker.resume(site_plan.state);
        }
    }

    /// The state of a site; none where there is no such site.
    #[must_use]
    pub fn state(&self, site: SiteIndex) -> Option<SiteState> {
        self.sites.get(site.0).map(SiteTracker::state)
    }

    /// Records what is observed now of each site, by the site's index. Returns the sites whose
    /// state changed.
    pub fn observe(
        &mut self,
        now: Timestamp,
        observations: &[SiteObservation],
    ) -> Vec<SiteStateChange> {
        let elapsed = self.last_observed_at.map_or(Milliseconds::ZERO, |last| {
            now.saturating_duration_since(last)
        });
        self.last_observed_at = Some(now);
        let mut changes = Vec::new();
        for (index, (tracker, &observation)) in self.sites.iter_mut().zip(observations).enumerate()
        {
            if let Some(state) = tracker.observe(now, elapsed, observation, &self.settings) {
                let site = SiteIndex(index);
                changes.push(SiteStateChange { site, state });
            }
        }
        changes
    }

    /// Makes the plan for the latest observations.
    ///
    /// `epoch` is the fencing epoch of the lease under which this gateway plans. `class_rates` are
    /// the requests per second of each class over all sites. `gateway_count` is the number of
    /// gateways that share the budgets.
    pub fn next_plan(&mut self, epoch: Epoch, class_rates: &[f64], gateway_count: u32) -> Plan {
        self.sequence = self.sequence.wrapping_add(1);
        let budgets: Vec<f64> = self
            .sites
            .iter()
            .map(|site| site.budget_per_s(&self.settings))
            .collect();
        let distributions = self.distribute_load(&budgets);
        let excess_per_s = self.excess_per_s(&distributions);
        Plan {
            version: PlanVersion {
                epoch,
                sequence: self.sequence,
            },
            gateway_count: gateway_count.max(1),
            sites: self.site_plans(budgets, distributions),
            admitted_share: self.shed_load(class_rates, excess_per_s),
            retry_after: self.retry_after(),
        }
    }

    /// The plan of each site, from its budget and the shares of its load that go to each site.
    fn site_plans(&self, budgets: Vec<f64>, distributions: Vec<Vec<f64>>) -> Vec<SitePlan> {
        let sites = self.sites.iter().zip(budgets).zip(distributions);
        sites
            .map(|((site, budget_per_s), load_distribution)| SitePlan {
                budget_per_s,
                state: site.state(),
                recovery_ramp: site.recovery_ramp(&self.settings),
                load_distribution,
            })
            .collect()
    }

    fn all_up(&self) -> bool {
        self.sites.iter().all(SiteTracker::is_up)
    }

    /// For each site, the shares of its load that go to each site.
    fn distribute_load(&self, budgets: &[f64]) -> Vec<Vec<f64>> {
        let mut distributions = vec![vec![0.0; self.sites.len()]; self.sites.len()];
        let mut remaining = budgets.to_vec();
        let all_up = self.all_up();
        // Each site first serves what it can of its own load; only what is left of its budget goes
        // to other sites.
        for (site, tracker) in self.sites.iter().enumerate() {
            let load = tracker.load_per_s();
            // While all sites are up a plan changes nothing, however busy they are.
            if all_up || load <= 0.0 {
                distributions[site][site] = 1.0;
                continue;
            }
            let served_locally = load.min(remaining[site]);
            distributions[site][site] = served_locally / load;
            remaining[site] -= served_locally;
        }
        if !all_up {
            for (site, distribution) in distributions.iter_mut().enumerate() {
                self.distribute_overflow(SiteIndex(site), distribution, &mut remaining);
            }
        }
        distributions
    }

    /// Assigns the load that a site can't serve itself to the other sites, in order of preference,
    /// as far as they have budget left.
    fn distribute_overflow(
        &self,
        site: SiteIndex,
        distribution: &mut [f64],
        remaining: &mut [f64],
    ) {
        let load = self.sites[site.0].load_per_s();
        let mut overflow = load * (1.0 - distribution.iter().sum::<f64>());
        if load <= 0.0 || overflow <= 0.0 {
            return;
        }
        let preferred = &self.settings.preferred_sites[site.0];
        let others = (0..remaining.len())
            .map(SiteIndex)
            .filter(|other| *other != site && !preferred.contains(other));
        for SiteIndex(target) in preferred.iter().copied().chain(others) {
            let moved = overflow.min(remaining[target]);
            distribution[target] += moved / load;
            remaining[target] -= moved;
            overflow -= moved;
        }
    }

    /// The load that no site has budget for, in requests per second; none while all sites are up.
    fn excess_per_s(&self, distributions: &[Vec<f64>]) -> f64 {
        if self.all_up() {
            return 0.0;
        }
        let placed: f64 = self
            .sites
            .iter()
            .zip(distributions)
            .map(|(site, distribution)| site.load_per_s() * distribution.iter().sum::<f64>())
            .sum();
        let load: f64 = self.sites.iter().map(SiteTracker::load_per_s).sum();
        (load - placed).max(0.0)
    }

    /// The admitted share of each class where `excess_per_s` has to be shed: all of the first class
    /// in the load-shedding order before any of the second.
    fn shed_load(&self, class_rates: &[f64], excess_per_s: f64) -> Vec<f64> {
        let mut admitted_share = vec![1.0; class_rates.len()];
        let mut remaining = excess_per_s;
        for &ClassIndex(class) in &self.settings.load_shedding_order {
            let Some(&rate) = class_rates.get(class).filter(|&&rate| rate > 0.0) else {
                continue;
            };
            let shed = remaining.min(rate);
            admitted_share[class] = 1.0 - shed / rate;
            remaining -= shed;
        }
        admitted_share
    }

    /// Rejected clients are to retry when more can be served: soon while a site recovers, later
    /// while one is lost.
    fn retry_after(&self) -> Milliseconds {
        let longest = self.settings.lost_after.max(self.settings.recovering_after);
        let any_lost = self
            .sites
            .iter()
            .any(|site| site.state() == SiteState::Lost);
        let retry_after = if any_lost { longest * 2 } else { longest };
        retry_after.min(Plan::MAX_RETRY_AFTER)
    }
}
