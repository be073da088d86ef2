//! The platform's settings object and list, as a gateway in the laboratory finds them: made from a scenario, and read by
//! the gateway's own code in both ways of running, so that both ways give it the same.

use crate::scenario::Scenario;
use irisrouter::platform_settings::{PlatformSettings, PlatformSettingsError};
use irisrouter_simulation::spec::{Checks, ClassSpec, Need};
use serde_json::{json, Value};

/// The zone in which all hosts of the laboratory stand.
pub const ZONE: &str = "lab-1";

fn ns(ms: f64) -> i64 {
    irisrouter_simulation::ms(ms)
}

fn class(c: &ClassSpec, window_s: f64) -> Value {
    let write = c.need == Need::Write;
    json!({
        "Name": c.name,
        "AimNs": ns(c.aim_ms),
        "DeadlineNs": ns(c.deadline_ms),
        "Effect": if write { "dedup" } else { "retryable" },
        "Group": if write { "cell" } else { "all" },
        "LateWorth": c.late_worth,
        "WindowNs": ns(window_s * 1000.0),
        "Worth": c.worth,
        "Streamed": false,
    })
}

/// The settings object of a scenario.
pub fn object(s: &Scenario) -> Value {
    let (w, g) = (&s.world, &s.gateway);
    let freshness = |c: &ClassSpec| match c.need {
        Need::Any => "eventual",
        Need::Bounded => "lag_bound",
        Need::Session => "causal",
        Need::Fresh => "strong",
        Need::Write => "mutate",
    };
    let checks = match w.hosts.checks {
        Checks::None => "none",
        Checks::Refuse => "bounce",
        Checks::Wait => "await",
    };
    json!({
        "Balancers": w.gateways,
        "Bounds": {
            "Cancel": g.cancel,
            "ConnectTimeoutNs": ns(g.connect_ms),
            "IdleCloseNs": ns(w.hosts.idle_close_s * 1000.0),
            "MaxRetryAfterNs": ns(g.longest_pause_ms),
            "MostTries": g.attempts,
            "Probes": g.probes,
            "RetryAfter": g.pauses,
            "SecondCopies": g.second_copies,
        },
        "Classes": w.classes.iter().map(|c| class(c, w.sets.window_s)).collect::<Vec<_>>(),
        "Domain": {
            "CatchUpWaitNs": ns(w.hosts.wait_ms),
            "ClassBoundNs": w.classes.iter().map(|c| ns(c.bound_ms)).collect::<Vec<_>>(),
            "Freshness": w.classes.iter().map(freshness).collect::<Vec<_>>(),
            "PositionZeroNs": 0,
            "RoleInList": "none",
            "ServerChecks": checks,
            "SessionMarks": "brought",
            "Stamps": false,
        },
        "LoadInfo": { "How": "probe", "Fields": ["x0", "x1", "load_share"] },
        "MembershipMode": "push",
        "MyZone": ZONE,
        "OverShareWorth": 0.1,
        "Penalties": { "Probe": g.probe_price },
        "RoundNs": ns(g.tick_ms),
        "Tenants": [],
        "Zones": [ZONE],
        "Rules": {
            "ColdNs": ns(w.rules.told_cold_s * 1000.0),
            "DrainGraceNs": ns(w.rules.drain_grace_ms),
            "OverloadFactor": w.rules.tip_multiple,
            "StartCapacity": w.rules.told_cold_start,
            "TipAfterNs": ns(w.rules.tip_s * 1000.0),
        },
    })
}

/// The settings of a scenario as a gateway reads them.
///
/// # Errors
/// The gateway would refuse them.
pub fn load(scenario: &Scenario, seed: u64) -> Result<PlatformSettings, PlatformSettingsError> {
    PlatformSettings::parse(&object(scenario), seed)
}
