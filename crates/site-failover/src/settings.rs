//! The operators' settings of site failover, and their checks.

use crate::{ClassIndex, SiteIndex, MAX_CLASSES, MAX_SITES};
use irisrouter_cluster_types::Milliseconds;
use thiserror::Error;

/// The operators' settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// For each site, by its index, the sites that take its load, in order of preference. Sites
    /// that are not named come last, by index.
    pub preferred_sites: Vec<Vec<SiteIndex>>,
    /// Classes in the order in which they are shed. A plan never sheds a class that is not named.
    pub load_shedding_order: Vec<ClassIndex>,
    /// Share of a site's capacity that a plan assigns, 0 to 1. The rest is a reserve for load that
    /// the plan does not foresee.
    pub capacity_share: f64,
    /// A site is lost once at least this share of its hosts, 0 to 1, has been silent for
    /// `lost_after`.
    pub lost_host_share: f64,
    /// How long that share of its hosts has to be silent.
    pub lost_after: Milliseconds,
    /// A lost site is recovering once less than half of `lost_host_share` has been silent for this
    /// time. The two thresholds differ so that a site does not flap between the states.
    pub recovering_after: Milliseconds,
    /// A recovering site begins with this share of its capacity, 0 to 1.
    pub recovery_ramp_start: f64,
    /// The length of the recovery ramp. Only the time during which the site's hosts answer counts.
    pub recovery_ramp_duration: Milliseconds,
    /// Share of its requests, 0 to 1, that a recovering site has to answer for its ramp to advance.
    pub recovery_min_answered_share: f64,
    /// A plan expires this long after it was received; routing then continues as without a plan.
    pub plan_expiry: Milliseconds,
}

impl Settings {
    /// The defaults for this number of sites. The recovery ramp follows the platform's figures for
    /// cold hosts: 0.15 of their capacity at first, all of it after 14 s.
    #[must_use]
    pub fn for_sites(site_count: usize) -> Self {
        Self {
            preferred_sites: vec![Vec::new(); site_count],
            load_shedding_order: Vec::new(),
            capacity_share: 0.85,
            lost_host_share: 0.6,
            lost_after: Milliseconds(1_000),
            recovering_after: Milliseconds(1_000),
            recovery_ramp_start: 0.15,
            recovery_ramp_duration: Milliseconds(14_000),
            recovery_min_answered_share: 0.9,
            plan_expiry: Milliseconds(60_000),
        }
    }

    /// Checks the settings.
    ///
    /// # Errors
    /// The first setting that is not valid, by the name that operators know it by.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_preferred_sites()?;
        self.check_load_shedding_order()?;
        check_share("budget", self.capacity_share)?;
        check_share("lost_part", self.lost_host_share)?;
        check_share("ramp_from", self.recovery_ramp_start)?;
        check_share("ramp_answers", self.recovery_min_answered_share)?;
        if self.recovery_ramp_duration == Milliseconds::ZERO {
            return Err(SettingsError::new("ramp_ms", InvalidSetting::Zero));
        }
        Ok(())
    }

    fn check_preferred_sites(&self) -> Result<(), SettingsError> {
        let site_count = self.preferred_sites.len();
        if site_count == 0 || site_count > MAX_SITES {
            let reason = InvalidSetting::SiteCount(site_count);
            return Err(SettingsError::new("prefer", reason));
        }
        for (index, preferred) in self.preferred_sites.iter().enumerate() {
            let site = SiteIndex(index);
            let is_invalid = |&other: &SiteIndex| other.0 >= site_count || other == site;
            if preferred.iter().any(is_invalid) {
                let reason = InvalidSetting::PreferredSite(site);
                return Err(SettingsError::new("prefer", reason));
            }
        }
        Ok(())
    }

    fn check_load_shedding_order(&self) -> Result<(), SettingsError> {
        let mut classes = self.load_shedding_order.iter();
        match classes.find(|class| class.0 >= MAX_CLASSES) {
            Some(&class) => {
                let reason = InvalidSetting::UnknownClass(class);
                Err(SettingsError::new("refuse", reason))
            }
            None => Ok(()),
        }
    }
}

/// Checks that a share is over 0 and at most 1. A value that is not a number fails the check.
fn check_share(field: &'static str, share: f64) -> Result<(), SettingsError> {
    if share > 0.0 && share <= 1.0 {
        Ok(())
    } else {
        Err(SettingsError::new(field, InvalidSetting::NotAShare))
    }
}

/// A setting that is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{field}: {reason}")]
pub struct SettingsError {
    /// The setting, by its key in the operators' file.
    pub field: &'static str,
    /// What is wrong with its value.
    pub reason: InvalidSetting,
}

impl SettingsError {
    const fn new(field: &'static str, reason: InvalidSetting) -> Self {
        Self { field, reason }
    }
}

/// What is wrong with the value of a setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum InvalidSetting {
    /// There are no sites, or more than [`MAX_SITES`]. Carries their number.
    #[error("1 to {max} sites, not {0}", max = MAX_SITES)]
    SiteCount(usize),
    /// This site prefers itself, or a site that does not exist.
    #[error("site {0} names itself, or one that is not there")]
    PreferredSite(SiteIndex),
    /// This class is not below [`MAX_CLASSES`].
    #[error("class {0} is beyond {max}", max = MAX_CLASSES)]
    UnknownClass(ClassIndex),
    /// The value is not a share over 0 and at most 1.
    #[error("over 0, at most 1")]
    NotAShare,
    /// The value is zero.
    #[error("must be greater than zero")]
    Zero,
}
