//! The settings object as the platform writes it: its JSON keys, without any derived values.
//!
//! The names of the structs must not change, because they are part of the error texts that operators see for a
//! malformed object.

use crate::routing::{TimeDelta, Timestamp};
use serde::Deserialize;

/// One request class.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct WireClass {
    pub(super) name: String,
    pub(super) aim_ns: TimeDelta,
    #[serde(default)]
    #[serde(rename = "AimStretch")]
    pub(super) objective_stretch: Option<f64>,
    pub(super) deadline_ns: TimeDelta,
    pub(super) effect: String,
    pub(super) group: String,
    #[serde(rename = "LateWorth")]
    pub(super) late_weight: f64,
    pub(super) window_ns: TimeDelta,
    #[serde(rename = "Worth")]
    pub(super) priority_weight: f64,
}

/// Costs, as shares of the total priority weight.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct WirePenalties {
    pub(super) probe: f64,
}

/// Limits of the platform, and the features that it permits.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct WireBounds {
    pub(super) cancel: bool,
    #[serde(default)]
    pub(super) peers: bool,
    pub(super) connect_timeout_ns: TimeDelta,
    pub(super) max_retry_after_ns: TimeDelta,
    pub(super) idle_close_ns: TimeDelta,
    pub(super) most_tries: u32,
    pub(super) probes: bool,
    pub(super) retry_after: bool,
    #[serde(rename = "SecondCopies")]
    pub(super) hedged_requests: bool,
}

/// How members replicate, and how they report roles and positions.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct WireDomain {
    pub(super) catch_up_wait_ns: TimeDelta,
    pub(super) class_bound_ns: Vec<TimeDelta>,
    pub(super) freshness: Vec<String>,
    pub(super) position_zero_ns: Timestamp,
    pub(super) role_in_list: String,
    pub(super) server_checks: String,
    pub(super) session_marks: String,
    pub(super) stamps: bool,
}

/// Values of the rules that apply to every gateway.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct WireRules {
    pub(super) cold_ns: TimeDelta,
    pub(super) drain_grace_ns: TimeDelta,
    pub(super) overload_factor: f64,
    #[serde(rename = "StartCapacity")]
    pub(super) initial_capacity: f64,
    pub(super) tip_after_ns: TimeDelta,
    #[serde(default)]
    #[serde(rename = "DrainBindsAlone")]
    pub(super) only_listed_drains_bind: Option<bool>,
}

/// How load reports arrive, and which values they contain.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct WireLoadInfo {
    pub(super) how: String,
    pub(super) fields: Vec<String>,
}

/// One tenant.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct WireTenant {
    pub(super) name: String,
    pub(super) quota_per_s: f64,
}

/// The settings object.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct BootInfo {
    pub(super) balancers: u32,
    #[serde(default)]
    pub(super) me: u32,
    pub(super) classes: Vec<WireClass>,
    pub(super) bounds: WireBounds,
    pub(super) domain: WireDomain,
    pub(super) rules: WireRules,
    pub(super) load_info: WireLoadInfo,
    pub(super) membership_mode: String,
    pub(super) my_zone: String,
    #[serde(rename = "OverShareWorth")]
    pub(super) over_quota_weight: f64,
    pub(super) penalties: WirePenalties,
    pub(super) round_ns: TimeDelta,
    pub(super) tenants: Vec<WireTenant>,
    pub(super) zones: Vec<String>,
}
