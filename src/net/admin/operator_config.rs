//! The operators' file: settings of our own that the platform's configuration does not carry, as a Jsonnet template
//! checked against a schema (`irisrouter schema`-style errors with path and reason, from `irisrouter-config`).
//!
//! The file is read at start from the path in `IRISROUTER_OPERATORS`; without that variable every feature here is off
//! and costs nothing. A file that cannot be read or does not pass its checks stops the start with the reason: an
//! operator who asked for a feature must not get a gateway that silently runs without it.

use irisrouter_config::{Checked, Problem, Variables};
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;

/// The variable that names the file.
pub const VARIABLE: &str = "IRISROUTER_OPERATORS";

/// The whole file.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Operators {
    /// Who of the gateways is there (`docs/membership.md`).
    pub membership: MembershipSettings,
    /// Who takes over what a gateway leaves (`docs/takeover.md`).
    pub takeover: TakeoverSettings,
    /// Where a lost site's load goes, and how its return is paced (`docs/site-loss.md`).
    pub sites: SitesSettings,
}

/// Plans for lost sites on top of takeover. A site is a zone of the platform's settings.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct SitesSettings {
    /// Off by default; needs takeover.
    pub enabled: bool,
    /// Requests of mean work a second that a warm host of size one bears.
    pub capacity_per_s: f64,
    /// By zone: the zones that take its load, in order; those that are not named come last.
    pub prefer: BTreeMap<String, Vec<String>>,
    /// Classes in the order in which they are refused; those that are not named never are.
    pub refuse: Vec<String>,
    /// Part of a zone's capacity that a plan gives out, 0 to 1.
    pub budget: f64,
    /// A zone is lost once this part of its hosts, 0 to 1, is silent for `lost_after_ms`.
    pub lost_part: f64,
    /// See there, in milliseconds.
    pub lost_after_ms: u64,
    /// It returns once fewer than half of that part are silent for so long, in milliseconds.
    pub back_after_ms: u64,
    /// A returning zone begins with this part of its reads, 0 to 1.
    pub ramp_from: f64,
    /// And has all of them after so many milliseconds in which its hosts answered.
    pub ramp_ms: u64,
    /// A plan of which nothing more is heard is followed for so long, in milliseconds.
    pub stale_ms: u64,
}

impl Default for SitesSettings {
    fn default() -> Self {
        let core = irisrouter_site_failover::Settings::for_sites(1);
        Self {
            enabled: false,
            capacity_per_s: 0.0,
            prefer: BTreeMap::new(),
            refuse: Vec::new(),
            budget: core.capacity_share,
            lost_part: core.lost_host_share,
            lost_after_ms: core.lost_after_ms,
            back_after_ms: core.recovering_after_ms,
            ramp_from: core.recovery_ramp_start,
            ramp_ms: core.recovery_ramp_ms,
            stale_ms: core.plan_expiry_ms,
        }
    }
}

impl SitesSettings {
    /// The core's settings, for the zones and classes of the platform's configuration.
    ///
    /// # Errors
    ///
    /// The path, and what is wrong there.
    pub fn for_zones(
        &self,
        zones: &[String],
        classes: &[String],
    ) -> Result<irisrouter_site_failover::Settings, String> {
        let number = |names: &[String], name: &String, path: &str| {
            let at = names.iter().position(|n| n == name);
            at.ok_or_else(|| {
                format!(
                    "/sites/{path}: the configuration has no {name}, only {}",
                    names.join(", ")
                )
            })
        };
        let mut core = irisrouter_site_failover::Settings::for_sites(zones.len());
        for (zone, others) in &self.prefer {
            let from = number(zones, zone, "prefer")?;
            let path = format!("prefer/{zone}");
            core.preferred_sites[from] = others
                .iter()
                .map(|o| number(zones, o, &path))
                .collect::<Result<_, _>>()?;
        }
        core.load_shedding_order = self
            .refuse
            .iter()
            .map(|c| number(classes, c, "refuse"))
            .collect::<Result<_, _>>()?;
        core.capacity_share = self.budget;
        core.lost_host_share = self.lost_part;
        core.lost_after_ms = self.lost_after_ms;
        core.recovering_after_ms = self.back_after_ms;
        core.recovery_ramp_start = self.ramp_from;
        core.recovery_ramp_ms = self.ramp_ms;
        core.plan_expiry_ms = self.stale_ms;
        core.check().map_err(|error| format!("/sites/{error}"))?;
        Ok(core)
    }
}

/// Takeover on top of membership.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct TakeoverSettings {
    /// Off by default; needs membership.
    pub enabled: bool,
    /// How long an owner holds a duty without word from a majority of its voters, in milliseconds.
    pub lease_ms: u64,
    /// Probes carry the duty and its epoch in a comment, for hosts that refuse an older one. Other hosts may not
    /// understand the statement.
    pub fence: bool,
    /// Keyed writes are noted with two other gateways before they leave, and repeats of them are asked after.
    pub writes: bool,
    /// One gateway watches the list of database hosts for all, where one service answers all of them.
    pub list_watch: bool,
}

impl Default for TakeoverSettings {
    fn default() -> Self {
        Self {
            enabled: false,
            lease_ms: 2_000,
            fence: false,
            writes: false,
            list_watch: false,
        }
    }
}

/// Membership by SWIM over the peer socket.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSettings {
    /// Off by default: the standing days' pages price every datagram, and nothing there asks for it yet.
    pub enabled: bool,
    /// One member is probed each period, in milliseconds.
    pub probe_period_ms: u64,
    /// A pause of a process this long, in milliseconds, ends in suspicion and refutation, not death.
    pub stall_ms: u64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            enabled: false,
            probe_period_ms: 1_000,
            stall_ms: 2_000,
        }
    }
}

impl MembershipSettings {
    /// The core's settings for a fleet of `fleet` gateways.
    #[must_use]
    pub fn for_fleet(&self, fleet: u32) -> irisrouter_membership::Settings {
        irisrouter_membership::Settings::paced(fleet, self.probe_period_ms, self.stall_ms)
    }
}

impl Checked for Operators {
    fn check(&self) -> Vec<Problem> {
        let m = &self.membership;
        let mut problems = Vec::new();
        if m.probe_period_ms < 10 {
            problems.push(Problem::new(
                "/membership/probe_period_ms",
                "at least 10 ms: probes would crowd the socket",
            ));
        }
        let takeover = &self.takeover;
        if takeover.enabled && !m.enabled {
            problems.push(Problem::new(
                "/takeover/enabled",
                "needs /membership/enabled",
            ));
        }
        let duties = irisrouter_leases::Settings {
            fleet: 2,
            lease_ms: takeover.lease_ms,
        };
        if let Err(why) = duties.check() {
            problems.push(Problem::new("/takeover", why.to_string()));
        }
        let sites = &self.sites;
        if sites.enabled && !takeover.enabled {
            problems.push(Problem::new("/sites/enabled", "needs /takeover/enabled"));
        }
        if sites.enabled && !(sites.capacity_per_s > 0.0 && sites.capacity_per_s.is_finite()) {
            problems.push(Problem::new(
                "/sites/capacity_per_s",
                "what a host of size one bears has to be given",
            ));
        }
        if let Err(why) = m.for_fleet(2).check() {
            problems.push(Problem::new("/membership", why.to_string()));
        }
        problems
    }
}

/// Reads the file that the variable names, or the defaults where it names none.
///
/// # Errors
///
/// The file can't be read, evaluated or checked; the error names the file and each place with its reason.
pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Operators, String> {
    match variable(VARIABLE).filter(|v| !v.is_empty()) {
        None => Ok(Operators::default()),
        Some(path) => {
            irisrouter_config::load(Path::new(&path), &Variables::none()).map_err(|e| e.to_string())
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn without_the_variable_all_is_off() {
        assert_eq!(load(|_| None), Ok(Operators::default()));
        assert!(!Operators::default().membership.enabled);
    }

    #[test]
    fn the_file_in_deploy_reads_and_keeps_membership_off() {
        let path = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/operators.jsonnet");
        let read = load(|_| Some(path.to_string())).expect("the deploy file reads");
        assert_eq!(read, Operators::default());
    }

    #[test]
    fn an_unknown_field_is_named_with_its_path() {
        let dir =
            std::env::temp_dir().join(format!("irisrouter-operators-test-{}", std::process::id()));
        std::fs::write(
            &dir,
            "{ membership: { enabled: true, probe_period_ms: 5, colour: 1 } }",
        )
        .expect("write");
        let why = load(|_| Some(dir.to_string_lossy().into_owned())).expect_err("refused");
        let _ = std::fs::remove_file(&dir);
        assert!(why.contains("colour"), "{why}");
    }

    #[test]
    fn takeover_needs_membership_and_a_lease_within_bounds() {
        let takeover = TakeoverSettings {
            enabled: true,
            lease_ms: 50,
            ..TakeoverSettings::default()
        };
        let bad = Operators {
            takeover,
            ..Operators::default()
        };
        let paths: Vec<String> = bad.check().into_iter().map(|p| p.path).collect();
        assert_eq!(paths, ["/takeover/enabled", "/takeover"]);
    }

    #[test]
    fn plans_for_sites_need_a_capacity_and_names_that_there_are() {
        let sites = SitesSettings {
            enabled: true,
            refuse: vec!["report".into()],
            ..SitesSettings::default()
        };
        let bad = Operators {
            sites: sites.clone(),
            ..Operators::default()
        };
        let paths: Vec<String> = bad.check().into_iter().map(|p| p.path).collect();
        assert_eq!(paths, ["/sites/enabled", "/sites/capacity_per_s"]);
        let names = |all: &[&str]| all.iter().map(ToString::to_string).collect::<Vec<_>>();
        let (zones, classes) = (names(&["a", "b"]), names(&["read", "report"]));
        assert_eq!(
            sites
                .for_zones(&zones, &classes)
                .map(|s| s.load_shedding_order),
            Ok(vec![1])
        );
        let why = sites
            .for_zones(&zones, &names(&["read"]))
            .expect_err("no such class");
        assert!(
            why.contains("/sites/refuse") && why.contains("report"),
            "{why}"
        );
        let prefer = BTreeMap::from([("a".to_string(), names(&["c"]))]);
        let why = SitesSettings { prefer, ..sites }
            .for_zones(&zones, &classes)
            .expect_err("no such zone");
        assert!(why.contains("/sites/prefer/a"), "{why}");
    }

    #[test]
    fn a_slower_probe_stretches_every_time_and_keeps_the_stall_short_of_death() {
        let m = MembershipSettings {
            enabled: true,
            probe_period_ms: 200,
            stall_ms: 1_000,
        };
        let s = m.for_fleet(5);
        assert_eq!(
            (
                s.protocol_period_ms,
                s.ping_timeout_ms,
                s.gossip_interval_ms
            ),
            (200, 60, 40)
        );
        assert!(s.suspicion_ms >= 1_600 && s.check().is_ok());
        let bad = Operators {
            membership: MembershipSettings {
                probe_period_ms: 5,
                ..m
            },
            ..Operators::default()
        };
        assert_eq!(bad.check()[0].path, "/membership/probe_period_ms");
    }
}
