//! The operators' file: settings of our own that the platform's configuration does not carry, as a Jsonnet template
//! checked against a schema (`irisrouter schema`-style errors with path and reason, from `irisrouter-config`).
//!
//! The file is read at start from the path in `IRISROUTER_OPERATORS`; without that variable every feature here is off
//! and costs nothing. A file that cannot be read or does not pass its checks stops the start with the reason: an
//! operator who asked for a feature must not get a gateway that silently runs without it.

use irisrouter_config::{Checked, Problem, Variables};
use schemars::JsonSchema;
use serde::Deserialize;
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
        Self { enabled: false, lease_ms: 2_000, fence: false, writes: false, list_watch: false }
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
        Self { enabled: false, probe_period_ms: 1_000, stall_ms: 2_000 }
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
            problems.push(Problem::new("/takeover/enabled", "needs /membership/enabled"));
        }
        let duties = irisrouter_duties::Settings { fleet: 2, lease_ms: takeover.lease_ms };
        if let Err(why) = duties.check() {
            problems.push(Problem::new("/takeover", why));
        }
        if let Err(why) = m.for_fleet(2).check() {
            problems.push(Problem::new("/membership", why));
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
        let dir = std::env::temp_dir().join(format!("irisrouter-operators-test-{}", std::process::id()));
        std::fs::write(&dir, "{ membership: { enabled: true, probe_period_ms: 5, colour: 1 } }")
            .expect("write");
        let why = load(|_| Some(dir.to_string_lossy().into_owned())).expect_err("refused");
        let _ = std::fs::remove_file(&dir);
        assert!(why.contains("colour"), "{why}");
    }

    #[test]
    fn takeover_needs_membership_and_a_lease_within_bounds() {
        let takeover = TakeoverSettings { enabled: true, lease_ms: 50, ..TakeoverSettings::default() };
        let bad = Operators { takeover, ..Operators::default() };
        let paths: Vec<String> = bad.check().into_iter().map(|p| p.path).collect();
        assert_eq!(paths, ["/takeover/enabled", "/takeover"]);
    }

    #[test]
    fn a_slower_probe_stretches_every_time_and_keeps_the_stall_short_of_death() {
        let m = MembershipSettings { enabled: true, probe_period_ms: 200, stall_ms: 1_000 };
        let s = m.for_fleet(5);
        assert_eq!((s.probe_period_ms, s.probe_rtt_ms, s.gossip_ms), (200, 60, 40));
        assert!(s.suspicion_ms >= 1_600 && s.check().is_ok());
        let bad =
            Operators { membership: MembershipSettings { probe_period_ms: 5, ..m }, ..Operators::default() };
        assert_eq!(bad.check()[0].path, "/membership/probe_period_ms");
    }
}
