//! Defaults, keys and checks of the operators' file.

use super::*;

fn names(all: &[&str]) -> Vec<String> {
    all.iter().map(ToString::to_string).collect()
}

fn paths(config: &OperatorConfig) -> Vec<String> {
    config
        .check()
        .into_iter()
        .map(|problem| problem.path)
        .collect()
}

#[test]
fn config_without_the_variable_turns_everything_off() {
    let config = load(|_| None).expect("defaults");
    assert_eq!(config, OperatorConfig::default());
    assert!(!OperatorConfig::default().membership.enabled);
}

#[test]
fn deployed_file_reads_as_the_defaults() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/operators.jsonnet");
    let config = load(|_| Some(path.to_string())).expect("the deploy file reads");
    assert_eq!(config, OperatorConfig::default());
}

#[test]
fn file_with_an_unknown_field_is_refused_by_name() {
    let file =
        std::env::temp_dir().join(format!("irisrouter-operators-test-{}", std::process::id()));
    std::fs::write(
        &file,
        "{ membership: { enabled: true, probe_period_ms: 5, colour: 1 } }",
    )
    .expect("write");
    let error = load(|_| Some(file.to_string_lossy().into_owned())).expect_err("refused");
    let _ = std::fs::remove_file(&file);
    assert!(error.to_string().contains("colour"), "{error}");
}

/// Guards against a changed key, because the keys are an interface to operators: each must set its field.
#[test]
fn file_with_every_key_is_read_into_the_fields() {
    let file = std::env::temp_dir().join(format!("irisrouter-all-keys-{}", std::process::id()));
    let text = "{ membership: { enabled: true, probe_period_ms: 200, stall_ms: 1500 },
        takeover: { enabled: true, lease_ms: 1800, fence: true, writes: true, list_watch: true },
        sites: { enabled: true, capacity_per_s: 90, prefer: { a: ['b'] }, refuse: ['report'], budget: 0.7,
          lost_part: 0.6, lost_after_ms: 1100, back_after_ms: 1200, ramp_from: 0.2, ramp_ms: 1300, stale_ms: 1400 } }";
    std::fs::write(&file, text).expect("write");
    let config = load(|_| Some(file.to_string_lossy().into_owned())).expect("all keys are known");
    let _ = std::fs::remove_file(&file);
    let expected = OperatorConfig {
        membership: MembershipConfig {
            enabled: true,
            ping_period_ms: 200,
            tolerated_pause_ms: 1_500,
        },
        leases: LeaseConfig {
            enabled: true,
            lease_ms: 1_800,
            fence_health_checks: true,
            write_intents: true,
            shared_endpoint_watch: true,
        },
        site_failover: SiteFailoverConfig {
            enabled: true,
            capacity_per_s: 90.0,
            preferred_zones: BTreeMap::from([("a".to_string(), names(&["b"]))]),
            load_shedding_order: names(&["report"]),
            capacity_share: 0.7,
            lost_host_share: 0.6,
            lost_after_ms: 1_100,
            recovering_after_ms: 1_200,
            recovery_ramp_start: 0.2,
            recovery_ramp_ms: 1_300,
            plan_expiry_ms: 1_400,
        },
    };
    assert_eq!(config, expected);
}

#[test]
fn leases_without_membership_or_with_a_short_lease_are_refused() {
    let leases = LeaseConfig {
        enabled: true,
        lease_ms: 50,
        ..LeaseConfig::default()
    };
    let config = OperatorConfig {
        leases,
        ..OperatorConfig::default()
    };
    assert_eq!(paths(&config), ["/takeover/enabled", "/takeover"]);
}

#[test]
fn site_failover_without_capacity_or_with_unknown_names_is_refused() {
    let site_failover = SiteFailoverConfig {
        enabled: true,
        load_shedding_order: vec!["report".into()],
        ..SiteFailoverConfig::default()
    };
    let config = OperatorConfig {
        site_failover: site_failover.clone(),
        ..OperatorConfig::default()
    };
    assert_eq!(paths(&config), ["/sites/enabled", "/sites/capacity_per_s"]);
    let zones = names(&["a", "b"]);
    let classes = names(&["read", "report"]);
    let settings = site_failover.for_zones(&zones, &classes).expect("known");
    assert_eq!(settings.load_shedding_order, [ClassIndex(1)]);
    let error = site_failover
        .for_zones(&zones, &names(&["read"]))
        .expect_err("no such class");
    assert_eq!(
        error.to_string(),
        "/sites/refuse: the configuration has no report, only read"
    );
    let preferred_zones = BTreeMap::from([("a".to_string(), names(&["c"]))]);
    let site_failover = SiteFailoverConfig {
        preferred_zones,
        ..site_failover
    };
    let error = site_failover
        .for_zones(&zones, &classes)
        .expect_err("no such zone");
    assert_eq!(
        error.to_string(),
        "/sites/prefer/a: the configuration has no c, only a, b"
    );
}

#[test]
fn ping_period_scales_all_intervals_and_suspicion_outlasts_the_tolerated_pause() {
    let membership = MembershipConfig {
        enabled: true,
        ping_period_ms: 200,
        tolerated_pause_ms: 1_000,
    };
    let settings = membership.for_fleet(5);
    assert_eq!(
        (
            settings.protocol_period,
            settings.ping_timeout,
            settings.gossip_interval
        ),
        (Milliseconds(200), Milliseconds(60), Milliseconds(40))
    );
    assert!(settings.suspicion >= Milliseconds(1_600) && settings.check().is_ok());
    let config = OperatorConfig {
        membership: MembershipConfig {
            ping_period_ms: 5,
            ..membership
        },
        ..OperatorConfig::default()
    };
    assert_eq!(paths(&config)[0], "/membership/probe_period_ms");
}
