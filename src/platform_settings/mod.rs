//! The settings object of the platform, converted into the router's [`Settings`] and tables of the names that the
//! router knows as numbers.
//!
//! The simulator sends the object in its first message, and a gateway has it in its configuration file. Both are parsed
//! here.

mod error;
mod name_table;
mod object;

pub use error::PlatformSettingsError;
pub use name_table::NameTable;
pub(crate) use object::BootInfo;

use crate::routing::{
    DeduplicationScope, Freshness, Idempotency, Limits, LoadReportSource, RequestClass,
    RoleInEndpointList, SafetyRules, Settings, StalenessCheck, Tenant, TimeDelta, Timestamp,
    ZoneId,
};
use object::{WireClass, WireDomain};
use serde::Deserialize;

/// Keys that may be absent. The platform documents all others as required.
pub const OPTIONAL_KEYS: [&str; 2] = ["AimStretch", "DrainBindsAlone"];
/// Minimum number of gateways for which shared health checks are worth their datagrams. In a smaller fleet each gateway
/// sees enough traffic of its own to judge the hosts.
const MIN_GATEWAYS_TO_SHARE: u32 = 16;
/// Longest time that the settings may contain, one day, so that the sum of two times does not overflow.
const MAX_TIME: TimeDelta = TimeDelta::from_secs(24 * 60 * 60);
/// Shortest tick. With a tick of zero the router would review a queued request endlessly.
const MIN_TICK: TimeDelta = TimeDelta::from_millis(1);

/// The values of the settings object: the router's settings, and those that the rest of the gateway needs.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The router's settings.
    pub settings: Settings,
    /// Names of the classes, by their index in the settings.
    pub classes: NameTable,
    /// Names of the tenants, by their index in the settings.
    pub tenants: NameTable,
    /// Names of the zones, by their number in the settings.
    pub zones: NameTable,
    /// Number of this gateway among the gateways of its tier.
    pub gateway_number: u32,
    /// Whether gateways share health checks. They do if they may send one another datagrams, hosts may be checked, and
    /// there are at least `MIN_GATEWAYS_TO_SHARE` gateways, so that sharing is worth the datagrams.
    pub shares_health_checks: bool,
    /// Whether gateways may send one another datagrams (the platform's `Bounds.Peers`), whatever their number.
    pub peers_allowed: bool,
    /// Whether hosts may be checked (`Bounds.Probes`).
    pub health_checks_allowed: bool,
    /// Clock time of position 0, from which the simulator counts positions.
    pub position_zero: Timestamp,
    /// Time after which a database host closes an idle connection at the latest.
    pub idle_close: TimeDelta,
}

impl PlatformSettings {
    /// Reads the settings object.
    ///
    /// # Errors
    ///
    /// Returns an error if the object is malformed, a value is out of range or unknown, or a router with these settings
    /// could serve no request.
    pub fn parse(json: &serde_json::Value, seed: u64) -> Result<Self, PlatformSettingsError> {
        let info = BootInfo::deserialize(json).map_err(PlatformSettingsError::Malformed)?;
        Self::new(seed, &info)
    }

    pub(crate) fn new(seed: u64, info: &BootInfo) -> Result<Self, PlatformSettingsError> {
        let mut zones = NameTable::from(info.zones.clone());
        let class_names: Vec<String> = info.classes.iter().map(|c| c.name.clone()).collect();
        let tenant_names: Vec<String> = info.tenants.iter().map(|t| t.name.clone()).collect();
        let bounds = &info.bounds;
        let enough_gateways = info.balancers >= MIN_GATEWAYS_TO_SHARE;
        Ok(PlatformSettings {
            settings: router_settings(seed, info, &mut zones)?,
            classes: NameTable::from(class_names),
            tenants: NameTable::from(tenant_names),
            zones,
            gateway_number: info.me,
            shares_health_checks: bounds.peers && bounds.probes && enough_gateways,
            peers_allowed: bounds.peers,
            health_checks_allowed: bounds.probes,
            position_zero: info.domain.position_zero_ns,
            idle_close: bounds.idle_close_ns,
        })
    }
}

/// Rejects values with which no request could be served, and classes that cannot be distinguished by their names.
fn check(info: &BootInfo) -> Result<(), PlatformSettingsError> {
    for (index, class) in info.classes.iter().enumerate() {
        let name = &class.name;
        check_time(format!("the deadline of class {name}"), class.deadline_ns)?;
        check_time(format!("the aim of class {name}"), class.aim_ns)?;
        let duplicate = info.classes[..index].iter().any(|c| c.name == *name);
        if name.is_empty() || duplicate {
            return Err(PlatformSettingsError::ClassName { name: name.clone() });
        }
    }
    let bounds = &info.bounds;
    check_time("the time to connect".into(), bounds.connect_timeout_ns)?;
    check_time(
        "the time to close idle connections".into(),
        bounds.idle_close_ns,
    )?;
    if bounds.most_tries == 0 || info.classes.is_empty() || info.balancers == 0 {
        return Err(PlatformSettingsError::NothingToServe);
    }
    Ok(())
}

/// Rejects a time that is not positive or longer than [`MAX_TIME`].
fn check_time(what: String, time: TimeDelta) -> Result<(), PlatformSettingsError> {
    if (TimeDelta::NANOSECOND..=MAX_TIME).contains(&time) {
        Ok(())
    } else {
        let nanoseconds = time.as_nanos();
        Err(PlatformSettingsError::TimeOutOfRange { what, nanoseconds })
    }
}

/// Limits a time that may be zero: a negative time becomes zero, and one longer than [`MAX_TIME`] becomes `MAX_TIME`,
/// so that sums do not overflow.
fn clamp_time(time: TimeDelta) -> TimeDelta {
    time.clamp(TimeDelta::ZERO, MAX_TIME)
}

fn router_settings(
    seed: u64,
    info: &BootInfo,
    zones: &mut NameTable,
) -> Result<Settings, PlatformSettingsError> {
    check(info)?;
    let classes = info.classes.iter().enumerate();
    let classes = classes
        .map(|(index, class)| request_class(class, index, &info.domain))
        .collect::<Result<_, _>>()?;
    let tenant = |quota_per_s| Tenant { quota_per_s };
    let reported = &info.load_info.fields;
    Ok(Settings {
        seed,
        gateway_count: info.balancers,
        zone: ZoneId(zones.find_or_insert(&info.my_zone) as u32),
        tick: info.round_ns.clamp(MIN_TICK, MAX_TIME),
        classes,
        tenants: info.tenants.iter().map(|t| tenant(t.quota_per_s)).collect(),
        over_quota_weight: info.over_quota_weight,
        health_check_price: info.penalties.probe,
        limits: limits(info),
        rules: safety_rules(info),
        staleness_check: staleness_check(&info.domain)?,
        role_in_endpoint_list: match info.domain.role_in_list.as_str() {
            "trailing" => RoleInEndpointList::Late,
            "static" => RoleInEndpointList::Static,
            _ => RoleInEndpointList::None,
        },
        positions_in_answers: info.domain.stamps,
        last_write_age_carried: info.domain.session_marks == "brought",
        load_report_source: match info.load_info.how.as_str() {
            "answers" => LoadReportSource::Answers,
            "probe" => LoadReportSource::HealthChecks,
            _ => LoadReportSource::None,
        },
        in_flight_reported: reported.iter().any(|f| f == "concurrent" || f == "depth"),
        endpoint_list_on_request: info.membership_mode == "ask",
    })
}

fn request_class(
    class: &WireClass,
    index: usize,
    domain: &WireDomain,
) -> Result<RequestClass, PlatformSettingsError> {
    Ok(RequestClass {
        latency_objective: class.aim_ns,
        objective_stretch: class.objective_stretch.unwrap_or(0.0),
        deadline: class.deadline_ns,
        priority_weight: class.priority_weight,
        late_weight: class.late_weight,
        freshness: freshness(class, index, domain)?,
        idempotency: idempotency(class)?,
    })
}

fn freshness(
    class: &WireClass,
    index: usize,
    domain: &WireDomain,
) -> Result<Freshness, PlatformSettingsError> {
    let bound = domain.class_bound_ns.get(index).copied();
    let bound = bound.unwrap_or(TimeDelta::ZERO);
    let freshness = domain.freshness.get(index);
    match freshness.map(String::as_str) {
        Some("mutate") => Ok(Freshness::Write),
        Some("strong") => Ok(Freshness::Strong),
        Some("causal") => Ok(Freshness::Session),
        Some("lag_bound") => Ok(Freshness::BoundedStaleness(clamp_time(bound))),
        Some("eventual") => Ok(Freshness::Any),
        _ => Err(PlatformSettingsError::UnknownFreshness {
            freshness: freshness.cloned(),
            class: class.name.clone(),
        }),
    }
}

fn idempotency(class: &WireClass) -> Result<Idempotency, PlatformSettingsError> {
    let scope = match class.group.as_str() {
        "zone" => DeduplicationScope::Zone,
        "cell" => DeduplicationScope::Group,
        _ => DeduplicationScope::All,
    };
    match class.effect.as_str() {
        "retryable" => Ok(Idempotency::Idempotent),
        "dedup" => Ok(Idempotency::Keyed {
            scope,
            window: clamp_time(class.window_ns),
        }),
        "fragile" => Ok(Idempotency::NotIdempotent),
        other => Err(PlatformSettingsError::UnknownEffect {
            effect: other.to_string(),
            class: class.name.clone(),
        }),
    }
}

fn limits(info: &BootInfo) -> Limits {
    let bounds = &info.bounds;
    Limits {
        max_attempts: bounds.most_tries,
        health_checks: bounds.probes,
        cancellation: bounds.cancel,
        hedged_requests: bounds.hedged_requests,
        retry_after: bounds.retry_after,
        max_retry_after: clamp_time(bounds.max_retry_after_ns),
        connect_timeout: bounds.connect_timeout_ns,
    }
}

fn safety_rules(info: &BootInfo) -> SafetyRules {
    let rules = &info.rules;
    SafetyRules {
        drain_grace: clamp_time(rules.drain_grace_ns),
        only_listed_drains_bind: rules.only_listed_drains_bind.unwrap_or(false),
        warm_up_time: clamp_time(rules.cold_ns),
        initial_capacity: rules.initial_capacity.clamp(0.0, 1.0),
        overload_multiple: rules.overload_factor.max(0.0),
        overload_window: clamp_time(rules.tip_after_ns),
    }
}

fn staleness_check(domain: &WireDomain) -> Result<StalenessCheck, PlatformSettingsError> {
    match domain.server_checks.as_str() {
        "bounce" => Ok(StalenessCheck::Reject),
        "await" => Ok(StalenessCheck::Wait(domain.catch_up_wait_ns)),
        "none" => Ok(StalenessCheck::None),
        other => Err(PlatformSettingsError::UnknownServerChecks(
            other.to_string(),
        )),
    }
}
