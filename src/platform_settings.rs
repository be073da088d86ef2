//! The settings object of the platform, read once into the module's [`Settings`] and the names behind its numbers.
//!
//! The simulator hands it over in its first message and a gateway finds it in its configuration, so both read
//! it here.

use crate::routing::*;
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireClass {
    name: String,
    aim_ns: i64,
    #[serde(default)]
    #[serde(rename = "AimStretch")]
    objective_stretch: Option<f64>,
    deadline_ns: i64,
    effect: String,
    group: String,
    #[serde(rename = "LateWorth")]
    late_weight: f64,
    window_ns: i64,
    #[serde(rename = "Worth")]
    priority_weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WirePenalties {
    probe: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireBounds {
    cancel: bool,
    #[serde(default)]
    peers: bool,
    connect_timeout_ns: i64,
    max_retry_after_ns: i64,
    idle_close_ns: i64,
    most_tries: u32,
    probes: bool,
    retry_after: bool,
    #[serde(rename = "SecondCopies")]
    hedged_requests: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireDomain {
    catch_up_wait_ns: i64,
    class_bound_ns: Vec<i64>,
    freshness: Vec<String>,
    position_zero_ns: i64,
    role_in_list: String,
    server_checks: String,
    session_marks: String,
    stamps: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireRules {
    cold_ns: i64,
    drain_grace_ns: i64,
    overload_factor: f64,
    #[serde(rename = "StartCapacity")]
    initial_capacity: f64,
    tip_after_ns: i64,
    #[serde(default)]
    #[serde(rename = "DrainBindsAlone")]
    only_listed_drains_bind: Option<bool>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireLoadInfo {
    how: String,
    fields: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireTenant {
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct BootInfo {
    balancers: u32,
    #[serde(default)]
    me: u32,
    classes: Vec<WireClass>,
    bounds: WireBounds,
    domain: WireDomain,
    rules: WireRules,
    load_info: WireLoadInfo,
    membership_mode: String,
    my_zone: String,
    #[serde(rename = "OverShareWorth")]
    over_quota_weight: f64,
    penalties: WirePenalties,
    round_ns: i64,
    tenants: Vec<WireTenant>,
    zones: Vec<String>,
}

/// Names given out as small numbers, in order of first mention.
#[derive(Clone, Debug, Default)]
pub struct NameTable(Vec<String>);

impl NameTable {
    /// The names, by their numbers.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(String::as_str)
    }

    /// The number of a name that has been mentioned.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.0.iter().position(|n| n == name)
    }

    /// The number of a name, a new one at its first mention.
    pub fn number(&mut self, name: &str) -> usize {
        self.find(name).unwrap_or_else(|| {
            self.0.push(name.to_string());
            self.0.len() - 1
        })
    }
}

/// What the settings object says, beyond what the module needs to know.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The module's part.
    pub settings: Settings,
    /// Names of the classes, by their index in the settings.
    pub classes: NameTable,
    /// Names of the tenants, by their index in the settings.
    pub tenants: NameTable,
    /// Names of the zones.
    pub zones: NameTable,
    /// This gateway's number among those of its tier.
    pub me: u32,
    /// Gateways may send one another datagrams, and hosts may be probed, which is what they tell of.
    pub share: bool,
    /// Gateways may send one another datagrams at all (the platform's `Bounds.Peers`), however many they are.
    pub peers_allowed: bool,
    /// Hosts may be probed (`Bounds.Probes`).
    pub probes_allowed: bool,
    /// Gateways of this tier.
    pub balancers: u32,
    /// Clock time from which the simulator reckons positions.
    pub position_zero: Nanos,
    /// A database host closes a connection that has stood idle for this long at the latest.
    pub idle_close: Nanos,
}

/// The keys that may be absent: the platform's page names no others.
pub const OPTIONAL: [&str; 2] = ["AimStretch", "DrainBindsAlone"];
/// From so many gateways on, one that probes for all is worth the datagrams. Fewer each see enough themselves.
const MANY: u32 = 16;
/// No time in the settings is longer. Danger: sums of two times would overflow.
const LONGEST: Nanos = 86_400_000_000_000;
/// And no tick is shorter. Danger: with none, a held request would be looked at without end.
const SHORTEST_TICK: Nanos = 1_000_000;

impl PlatformSettings {
    /// Reads the settings object.
    pub fn parse(json: &serde_json::Value, seed: u64) -> Result<Self, String> {
        let info = BootInfo::deserialize(json).map_err(|e| e.to_string())?;
        Self::new(seed, &info)
    }

    pub(crate) fn new(seed: u64, info: &BootInfo) -> Result<Self, String> {
        let mut zones = NameTable(info.zones.clone());
        Ok(PlatformSettings {
            settings: settings(seed, info, &mut zones)?,
            classes: NameTable(info.classes.iter().map(|c| c.name.clone()).collect()),
            tenants: NameTable(info.tenants.iter().map(|t| t.name.clone()).collect()),
            zones,
            me: info.me,
            share: info.bounds.peers && info.bounds.probes && info.balancers >= MANY,
            peers_allowed: info.bounds.peers,
            probes_allowed: info.bounds.probes,
            balancers: info.balancers,
            position_zero: info.domain.position_zero_ns,
            idle_close: info.bounds.idle_close_ns,
        })
    }
}

/// Figures with which nothing could be answered, or not twice the same.
fn check(b: &BootInfo) -> Result<(), String> {
    let time = |what: &str, ns: Nanos| match ns {
        1..=LONGEST => Ok(()),
        _ => Err(format!("{what} is {ns} ns")),
    };
    for (i, c) in b.classes.iter().enumerate() {
        time(&format!("the deadline of class {}", c.name), c.deadline_ns)?;
        time(&format!("the aim of class {}", c.name), c.aim_ns)?;
        if c.name.is_empty() || b.classes[..i].iter().any(|other| other.name == c.name) {
            return Err(format!("two classes or none of the name {}", c.name));
        }
    }
    time("the time to connect", b.bounds.connect_timeout_ns)?;
    time("the time to close idle connections", b.bounds.idle_close_ns)?;
    if b.bounds.most_tries == 0 || b.classes.is_empty() || b.balancers == 0 {
        return Err("no attempts, no classes or no gateways".into());
    }
    Ok(())
}

/// A time that may be none, and is never so long that sums of it overflow: beyond a day it is a day.
fn some_time(ns: Nanos) -> Nanos {
    ns.clamp(0, LONGEST)
}

fn settings(seed: u64, b: &BootInfo, zones: &mut NameTable) -> Result<Settings, String> {
    let d = &b.domain;
    check(b)?;
    let mut classes = Vec::new();
    for (i, c) in b.classes.iter().enumerate() {
        let bound = d.class_bound_ns.get(i).copied().unwrap_or(0);
        let freshness = match d.freshness.get(i).map(String::as_str) {
            Some("mutate") => Freshness::Write,
            Some("strong") => Freshness::Strong,
            Some("causal") => Freshness::Session,
            Some("lag_bound") => Freshness::BoundedStaleness(some_time(bound)),
            Some("eventual") => Freshness::Any,
            other => return Err(format!("unknown freshness {other:?} of class {}", c.name)),
        };
        let scope = match c.group.as_str() {
            "zone" => DeduplicationScope::Zone,
            "cell" => DeduplicationScope::Group,
            _ => DeduplicationScope::All,
        };
        let idempotency = match c.effect.as_str() {
            "retryable" => Idempotency::Idempotent,
            "dedup" => Idempotency::Keyed {
                scope,
                window: some_time(c.window_ns),
            },
            "fragile" => Idempotency::NotIdempotent,
            other => return Err(format!("unknown effect {other} of class {}", c.name)),
        };
        classes.push(RequestClass {
            latency_objective: c.aim_ns,
            objective_stretch: c.objective_stretch.unwrap_or(0.0),
            deadline: c.deadline_ns,
            priority_weight: c.priority_weight,
            late_weight: c.late_weight,
            idempotency,
            freshness,
        });
    }
    Ok(Settings {
        seed,
        gateway_count: b.balancers,
        zone: ZoneId(zones.number(&b.my_zone) as u32),
        tick: b.round_ns.clamp(SHORTEST_TICK, LONGEST),
        classes,
        tenants: b
            .tenants
            .iter()
            .map(|t| Tenant {
                quota_per_s: t.quota_per_s,
            })
            .collect(),
        over_quota_weight: b.over_quota_weight,
        health_check_price: b.penalties.probe,
        limits: Limits {
            max_attempts: b.bounds.most_tries,
            health_checks: b.bounds.probes,
            cancellation: b.bounds.cancel,
            hedged_requests: b.bounds.hedged_requests,
            retry_after: b.bounds.retry_after,
            max_retry_after: some_time(b.bounds.max_retry_after_ns),
            connect_timeout: b.bounds.connect_timeout_ns,
        },
        rules: SafetyRules {
            drain_grace: some_time(b.rules.drain_grace_ns),
            only_listed_drains_bind: b.rules.only_listed_drains_bind.unwrap_or(false),
            warm_up_time: some_time(b.rules.cold_ns),
            initial_capacity: b.rules.initial_capacity.clamp(0.0, 1.0),
            overload_multiple: b.rules.overload_factor.max(0.0),
            overload_window: some_time(b.rules.tip_after_ns),
        },
        staleness_check: match d.server_checks.as_str() {
            "bounce" => StalenessCheck::Reject,
            "await" => StalenessCheck::Wait(d.catch_up_wait_ns),
            "none" => StalenessCheck::None,
            other => return Err(format!("unknown server checks {other}")),
        },
        role_in_endpoint_list: match d.role_in_list.as_str() {
            "trailing" => RoleInEndpointList::Late,
            "static" => RoleInEndpointList::Static,
            _ => RoleInEndpointList::None,
        },
        positions_in_answers: d.stamps,
        last_write_age_carried: d.session_marks == "brought",
        load_report_source: match b.load_info.how.as_str() {
            "answers" => LoadReportSource::Answers,
            "probe" => LoadReportSource::HealthChecks,
            _ => LoadReportSource::None,
        },
        in_flight_reported: b
            .load_info
            .fields
            .iter()
            .any(|f| f == "concurrent" || f == "depth"),
        endpoint_list_on_request: b.membership_mode == "ask",
    })
}
