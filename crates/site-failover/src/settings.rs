//! Settings of site failover, which operators configure, and their validation.

use crate::{ClassIndex, SiteIndex, MAX_CLASSES, MAX_SITES};
use irisrouter_cluster_types::Milliseconds;
use thiserror::Error;

/// Settings of site failover.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// For each site, by its index, the sites that take over its load, in order of preference.
    /// Sites that are not listed come last, in ascending order of their indexes.
    pub preferred_sites: Vec<Vec<SiteIndex>>,
    /// Classes in the order in which they are shed. A plan never sheds a class that is not listed.
    pub load_shedding_order: Vec<ClassIndex>,
    /// Share of a site's capacity that a plan may assign, 0 to 1. The rest is a reserve for load
    /// that the plan does not anticipate.
    pub capacity_share: f64,
    /// Share of a site's hosts, 0 to 1, that have to be silent for the site to be lost. The site is
    /// lost once at least this share has been silent for `lost_after`.
    pub lost_host_share: f64,
    /// Time for which at least `lost_host_share` of a site's hosts has to be silent before the site
    /// is lost.
    pub lost_after: Milliseconds,
    /// Time for which the share of silent hosts has to be below half of `lost_host_share` before a
    /// lost site is recovering. The two thresholds differ so that a site does not flap between the
    /// states.
    pub recovering_after: Milliseconds,
    /// Share of its capacity, 0 to 1, with which a recovering site starts.
    pub recovery_ramp_start: f64,
    /// Duration of the recovery ramp. Time during which too few of the site's requests are answered
    /// (see `recovery_min_answered_share`) does not count.
    pub recovery_ramp_duration: Milliseconds,
    /// Minimum share of its requests, 0 to 1, that a recovering site has to answer for its ramp to
    /// advance.
    pub recovery_min_answered_share: f64,
    /// Time from the receipt of a plan until it expires. Routing then continues as without a plan.
    pub plan_expiry: Milliseconds,
}

impl Settings {
    /// Returns the default settings for this number of sites. The recovery ramp follows the
    /// platform's figures for hosts in slow start: 0.15 of their capacity at first, all of it after
    /// 14 s.
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
    /// The first setting that is not valid, by its key in the operators' file.
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

/// Checks that a share is greater than 0 and at most 1. NaN fails the check.
fn check_share(field: &'static str, share: f64) -> Result<(), SettingsError> {
    if share > 0.0 && share <= 1.0 {
        Ok(())
    } else {
        Err(SettingsError::new(field, InvalidSetting::NotAShare))
    }
}

/// Error returned if a setting is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{field}: {reason}")]
pub struct SettingsError {
    /// Key of the setting in the operators' file.
    pub field: &'static str,
    /// Reason why its value is not valid.
    pub reason: InvalidSetting,
}

impl SettingsError {
    const fn new(field: &'static str, reason: InvalidSetting) -> Self {
        Self { field, reason }
    }
}

/// Reason why the value of a setting is not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum InvalidSetting {
    /// There are no sites, or more than [`MAX_SITES`]. Contains the number of sites.
    #[error("1 to {max} sites, not {0}", max = MAX_SITES)]
    SiteCount(usize),
    /// The preferred sites of this site include the site itself, or a site that does not exist.
    #[error("site {0} names itself, or one that is not there")]
    PreferredSite(SiteIndex),
    /// The index of this class is not below [`MAX_CLASSES`].
    #[error("class {0} is beyond {max}", max = MAX_CLASSES)]
    UnknownClass(ClassIndex),
    /// The value is not a share greater than 0 and at most 1.
    #[error("over 0, at most 1")]
    NotAShare,
    /// The value is zero.
    #[error("must be greater than zero")]
    Zero,
}
