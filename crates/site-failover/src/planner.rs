//! The planner, which makes failover plans on the gateway that holds the lease for planning.

use crate::site_tracker::SiteTracker;
use crate::{ClassIndex, Plan, PlanVersion, Settings, SettingsError};
use crate::{SiteIndex, SiteObservation, SitePlan, SiteState};
use irisrouter_cluster_types::{Epoch, Milliseconds, Timestamp};

/// Change of the state of a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SiteStateChange {
    /// Site whose state changed.
    pub site: SiteIndex,
    /// New state of the site.
    pub state: SiteState,
}

/// Decides which sites are lost or recovering, and makes plans.
#[derive(Debug, Clone)]
pub struct Planner {
    settings: Settings,
    sites: Vec<SiteTracker>,
    last_observed_at: Option<Timestamp>,
    /// Sequence number of the last plan.
    sequence: u32,
}

impl Planner {
    /// Creates a planner that has made no observations and assumes that all sites are up.
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

    /// Continues from a plan that another gateway made: the states of the sites are carried over
    /// when the lease moves to this gateway. Otherwise a recovering site would be treated as up,
    /// and would get its full load while its hosts are still in slow start.
    pub fn resume(&mut self, plan: &Plan) {
        for (tracker, site_plan) in self.sites.iter_mut().zip(&plan.sites) {
            tracker.resume(site_plan.state);
        }
    }

    /// Returns the state of a site; `None` if there is no such site.
    #[must_use]
    pub fn state(&self, site: SiteIndex) -> Option<SiteState> {
        self.sites.get(site.0).map(SiteTracker::state)
    }

    /// Records the current observation of each site, by the site's index. Returns the changes of
    /// state that result.
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

    /// Makes the next plan from the latest observations.
    ///
    /// `epoch` is the fencing epoch of the lease that this gateway holds. `class_rates` contains
    /// the requests per second of each class, summed over all sites. `gateway_count` is the number
    /// of gateways that share the budgets.
    pub fn next_plan(&mut self, epoch: Epoch, class_rates: &[f64], gateway_count: u32) -> Plan {
        self.sequence = self.sequence.wrapping_add(1);
        let budgets: Vec<f64> = self
            .sites
            .iter()
            .map(|site| site.budget_per_s(&self.settings))
            .collect();
        let distributions = self.distribute_load(&budgets);
        let unplaced_load_per_s = self.unplaced_load_per_s(&distributions);
        Plan {
            version: PlanVersion {
                epoch,
                sequence: self.sequence,
            },
            gateway_count: gateway_count.max(1),
            sites: self.site_plans(budgets, distributions),
            admitted_share: self.shed_load(class_rates, unplaced_load_per_s),
            retry_after: self.retry_after(),
        }
    }

    /// Builds the part of the plan for each site from its budget and the distribution of its load.
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

    /// Returns for each site the distribution of its load: the share that each site serves.
    fn distribute_load(&self, budgets: &[f64]) -> Vec<Vec<f64>> {
        let mut distributions = vec![vec![0.0; self.sites.len()]; self.sites.len()];
        let mut remaining = budgets.to_vec();
        let all_up = self.all_up();
        // Each site first serves its own load, as far as its budget allows. Only the rest of its
        // budget is available to the load of other sites.
        for (site, tracker) in self.sites.iter().enumerate() {
            let load = tracker.load_per_s();
            // While all sites are up a plan has no effect, even if a site is overloaded.
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

    /// Assigns the load that exceeds a site's own budget to the other sites, in order of preference
    /// and as far as their remaining budgets allow.
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

    /// Returns the load that exceeds the budgets of all sites, in requests per second; 0 while all
    /// sites are up.
    fn unplaced_load_per_s(&self, distributions: &[Vec<f64>]) -> f64 {
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

    /// Returns the admitted share of each class if `unplaced_load_per_s` has to be shed. Classes
    /// are shed in the load-shedding order: a class is shed only after all earlier classes are shed
    /// completely.
    fn shed_load(&self, class_rates: &[f64], unplaced_load_per_s: f64) -> Vec<f64> {
        let mut admitted_share = vec![1.0; class_rates.len()];
        let mut remaining = unplaced_load_per_s;
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

    /// Returns the minimum retry delay of rejected clients: the longer of `lost_after` and
    /// `recovering_after`, or twice that time while a site is lost. Clients should retry when more
    /// capacity is available, which takes longer while a site is lost than while it recovers.
    fn retry_after(&self) -> Milliseconds {
        let confirmation_time = self.settings.lost_after.max(self.settings.recovering_after);
        let any_lost = self
            .sites
            .iter()
            .any(|site| site.state() == SiteState::Lost);
        let retry_after = if any_lost {
            confirmation_time * 2
        } else {
            confirmation_time
        };
        retry_after.min(Plan::MAX_RETRY_AFTER)
    }
}
