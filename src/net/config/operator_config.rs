//! The operators' file: settings of irisrouter that are not part of the platform's configuration. It is a Jsonnet
//! template that is checked against a schema.
//!
//! The file is read at start from the path in `IRISROUTER_OPERATORS`. Without that variable every feature here is off
//! and costs nothing. If the file cannot be read or does not pass its checks, the gateway does not start and prints the
//! reason: an operator who enabled a feature must not get a gateway that silently runs without it.
//!
//! The keys of the file are an interface to operators. If a field here has another name, a serde attribute keeps the
//! key.

use irisrouter_cluster_types::Milliseconds;
use irisrouter_config::{Checked, Problem, Variables};
use irisrouter_site_failover::{ClassIndex, SiteIndex};
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::error::Error as StdError;
use std::path::Path;
use thiserror::Error;

/// Environment variable with the path of the operators' file.
pub const FILE_VARIABLE: &str = "IRISROUTER_OPERATORS";

/// Shortest ping period, in milliseconds: pings with a shorter period would overload the peer socket.
const SHORTEST_PING_PERIOD_MS: u64 = 10;
/// Fleet size for checks of values that do not depend on it: the smallest fleet in which a gateway has a peer.
const SMALLEST_FLEET: u32 = 2;

/// The operators' file.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorConfig {
    /// Membership: which gateways are alive (`docs/membership.md`).
    pub membership: MembershipConfig,
    /// Leases, and the features that depend on them (`docs/takeover.md`).
    #[serde(rename = "takeover")]
    pub leases: LeaseConfig,
    /// Site failover: which sites serve the load of a lost site, and how the site recovers (`docs/site-loss.md`).
    #[serde(rename = "sites")]
    pub site_failover: SiteFailoverConfig,
}

/// Failover of whole sites; needs leases. A site is a zone of the platform's settings.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct SiteFailoverConfig {
    /// Off by default; needs leases.
    pub enabled: bool,
    /// Capacity of a host of size one that is not in slow start, in requests of mean cost per second.
    pub capacity_per_s: f64,
    /// For each zone, the zones that take over its load, in order of preference. Zones that are not listed come last.
    #[serde(rename = "prefer")]
    pub preferred_zones: BTreeMap<String, Vec<String>>,
    /// Classes in the order in which their requests are shed. Classes that are not listed are never shed.
    #[serde(rename = "refuse")]
    pub load_shedding_order: Vec<String>,
    /// The share of a zone's capacity that a plan uses, above 0 and at most 1.
    #[serde(rename = "budget")]
    pub capacity_share: f64,
    /// A zone counts as lost once this share of its hosts, above 0 and at most 1, has been silent for `lost_after_ms`.
    #[serde(rename = "lost_part")]
    pub lost_host_share: f64,
    /// How long hosts are silent before their zone counts as lost, in milliseconds.
    pub lost_after_ms: u64,
    /// A lost zone counts as recovering once the share of its silent hosts has been below half of `lost_part` for this
    /// time, in milliseconds.
    #[serde(rename = "back_after_ms")]
    pub recovering_after_ms: u64,
    /// Share of its reads with which a recovering zone starts, above 0 and at most 1.
    #[serde(rename = "ramp_from")]
    pub recovery_ramp_start: f64,
    /// A recovering zone has all of its reads again after its hosts have answered for this time, in milliseconds.
    #[serde(rename = "ramp_ms")]
    pub recovery_ramp_ms: u64,
    /// Time for which a plan stays in force without being renewed, in milliseconds.
    #[serde(rename = "stale_ms")]
    pub plan_expiry_ms: u64,
}

impl Default for SiteFailoverConfig {
    fn default() -> Self {
        let core = irisrouter_site_failover::Settings::for_sites(1);
        Self {
            enabled: false,
            capacity_per_s: 0.0,
            preferred_zones: BTreeMap::new(),
            load_shedding_order: Vec::new(),
            capacity_share: core.capacity_share,
            lost_host_share: core.lost_host_share,
            lost_after_ms: core.lost_after.0,
            recovering_after_ms: core.recovering_after.0,
            recovery_ramp_start: core.recovery_ramp_start,
            recovery_ramp_ms: core.recovery_ramp_duration.0,
            plan_expiry_ms: core.plan_expiry.0,
        }
    }
}

impl SiteFailoverConfig {
    /// Returns the settings of the failover core for the zones and classes of the platform's configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if a zone or class is not in the platform's configuration, or the core refuses a value.
    pub fn for_zones(
        &self,
        zones: &[String],
        classes: &[String],
    ) -> Result<irisrouter_site_failover::Settings, OperatorConfigError> {
        let mut core = irisrouter_site_failover::Settings::for_sites(zones.len());
        for (zone, preferred) in &self.preferred_zones {
            let zone_index = index_of(zones, zone, "prefer")?;
            let path = format!("prefer/{zone}");
            let preferred_sites = indices_of(zones, preferred, &path)?;
            core.preferred_sites[zone_index] = preferred_sites.into_iter().map(SiteIndex).collect();
        }
        let shed_classes = indices_of(classes, &self.load_shedding_order, "refuse")?;
        core.load_shedding_order = shed_classes.into_iter().map(ClassIndex).collect();
        core.capacity_share = self.capacity_share;
        core.lost_host_share = self.lost_host_share;
        core.lost_after = Milliseconds(self.lost_after_ms);
        core.recovering_after = Milliseconds(self.recovering_after_ms);
        core.recovery_ramp_start = self.recovery_ramp_start;
        core.recovery_ramp_duration = Milliseconds(self.recovery_ramp_ms);
        core.plan_expiry = Milliseconds(self.plan_expiry_ms);
        core.check()
            .map_err(|error| OperatorConfigError::SiteFailover(error.into()))?;
        Ok(core)
    }
}

fn indices_of(
    known: &[String],
    names: &[String],
    path: &str,
) -> Result<Vec<usize>, OperatorConfigError> {
    names
        .iter()
        .map(|name| index_of(known, name, path))
        .collect()
}

fn index_of(known: &[String], name: &str, path: &str) -> Result<usize, OperatorConfigError> {
    let index = known.iter().position(|candidate| candidate == name);
    index.ok_or_else(|| OperatorConfigError::UnknownName {
        path: path.to_string(),
        name: name.to_string(),
        known: known.to_vec(),
    })
}

/// Leases, which build on membership, and the features that need a lease holder.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseConfig {
    /// Off by default; needs membership.
    pub enabled: bool,
    /// How long a holder keeps a lease without answers from a majority of its voters, in milliseconds.
    pub lease_ms: u64,
    /// Whether health checks carry the lease and its fencing token in an SQL comment, for hosts that refuse an older
    /// token. Other hosts may not understand the statement.
    #[serde(rename = "fence")]
    pub fence_health_checks: bool,
    /// Whether keyed writes are recorded at two other gateways before they are forwarded, so that retries can be looked
    /// up there.
    #[serde(rename = "writes")]
    pub write_intents: bool,
    /// Whether one gateway watches the endpoint list for all. Takes effect only if one discovery service answers all
    /// gateways.
    #[serde(rename = "list_watch")]
    pub shared_endpoint_watch: bool,
}

impl Default for LeaseConfig {
    fn default() -> Self {
        Self {
            enabled: false,
            lease_ms: 2_000,
            fence_health_checks: false,
            write_intents: false,
            shared_endpoint_watch: false,
        }
    }
}

/// Membership with the SWIM protocol over the peer socket.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipConfig {
    /// Off by default, because the platform charges for every datagram and no feature that is on by default needs
    /// membership.
    pub enabled: bool,
    /// Period in which one member is pinged, in milliseconds.
    #[serde(rename = "probe_period_ms")]
    pub ping_period_ms: u64,
    /// Longest pause of a process, in milliseconds, after which it can still refute the suspicion and is not declared
    /// dead.
    #[serde(rename = "stall_ms")]
    pub tolerated_pause_ms: u64,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            enabled: false,
            ping_period_ms: 1_000,
            tolerated_pause_ms: 2_000,
        }
    }
}

impl MembershipConfig {
    /// Returns the settings of the membership core for a fleet of this size.
    #[must_use]
    pub fn for_fleet(&self, fleet_size: u32) -> irisrouter_membership::Settings {
        irisrouter_membership::Settings::with_protocol_period(
            fleet_size,
            Milliseconds(self.ping_period_ms),
            Milliseconds(self.tolerated_pause_ms),
        )
    }
}

impl Checked for OperatorConfig {
    fn check(&self) -> Vec<Problem> {
        let problems = [
            self.check_ping_period(),
            self.check_leases_need_membership(),
            self.check_lease_settings(),
            self.check_site_failover_needs_leases(),
            self.check_site_capacity(),
            self.check_membership_settings(),
        ];
        problems.into_iter().flatten().collect()
    }
}

impl OperatorConfig {
    fn check_ping_period(&self) -> Option<Problem> {
        let too_short = self.membership.ping_period_ms < SHORTEST_PING_PERIOD_MS;
        too_short.then(|| {
            Problem::new(
                "/membership/probe_period_ms",
                "at least 10 ms: probes would crowd the socket",
            )
        })
    }

    fn check_leases_need_membership(&self) -> Option<Problem> {
        let dependency_missing = self.leases.enabled && !self.membership.enabled;
        dependency_missing.then(|| Problem::new("/takeover/enabled", "needs /membership/enabled"))
    }

    fn check_lease_settings(&self) -> Option<Problem> {
        let settings = irisrouter_leases::Settings {
            fleet: SMALLEST_FLEET,
            lease_duration: Milliseconds(self.leases.lease_ms),
        };
        let error = settings.check().err()?;
        Some(Problem::new("/takeover", error.to_string()))
    }

    fn check_site_failover_needs_leases(&self) -> Option<Problem> {
        let dependency_missing = self.site_failover.enabled && !self.leases.enabled;
        dependency_missing.then(|| Problem::new("/sites/enabled", "needs /takeover/enabled"))
    }

    fn check_site_capacity(&self) -> Option<Problem> {
        let capacity = self.site_failover.capacity_per_s;
        let is_valid = capacity > 0.0 && capacity.is_finite();
        let missing = self.site_failover.enabled && !is_valid;
        missing.then(|| {
            Problem::new(
                "/sites/capacity_per_s",
                "what a host of size one bears has to be given",
            )
        })
    }

    fn check_membership_settings(&self) -> Option<Problem> {
        let settings = self.membership.for_fleet(SMALLEST_FLEET);
        let error = settings.check().err()?;
        Some(Problem::new("/membership", error.to_string()))
    }
}

/// Why the operators' file cannot be used.
#[derive(Debug, Error)]
pub enum OperatorConfigError {
    /// The file cannot be read, evaluated or checked.
    #[error(transparent)]
    File(#[from] irisrouter_config::Error),
    /// The file names a zone or class that the platform's configuration does not have.
    #[error("/sites/{path}: the configuration has no {name}, only {}", .known.join(", "))]
    UnknownName {
        /// Path of the name within `sites`.
        path: String,
        /// The unknown name.
        name: String,
        /// The names in the platform's configuration.
        known: Vec<String>,
    },
    /// The settings of site failover are out of bounds.
    #[error("/sites/{0}")]
    SiteFailover(#[source] Box<dyn StdError>),
}

/// Reads the file that [`FILE_VARIABLE`] names, or returns the defaults if the variable is not set or empty.
///
/// # Errors
///
/// Returns an error if the file cannot be read, evaluated or checked. The error names the file, and the path and reason
/// of each problem.
pub fn load(
    variable: impl Fn(&str) -> Option<String>,
) -> Result<OperatorConfig, OperatorConfigError> {
    let Some(path) = variable(FILE_VARIABLE).filter(|path| !path.is_empty()) else {
        return Ok(OperatorConfig::default());
    };
    let config = irisrouter_config::load(Path::new(&path), &Variables::none())?;
    Ok(config)
}

#[cfg(test)]
#[path = "../../../tests/unit/operator_config.rs"]
mod tests;
