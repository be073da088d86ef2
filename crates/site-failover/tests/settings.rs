//! Tests of the validation of the settings.

use irisrouter_cluster_types::Milliseconds;
use irisrouter_site_failover::{ClassIndex, Settings, SettingsError, SiteIndex};

/// Applies a change that makes valid settings invalid, and returns the error of their check.
fn check_error_after(change: impl FnOnce(&mut Settings)) -> SettingsError {
    let mut settings = Settings {
        preferred_sites: vec![vec![SiteIndex(2)], vec![], vec![]],
        load_shedding_order: vec![ClassIndex(0), ClassIndex(1)],
        capacity_share: 0.8,
        ..Settings::for_sites(3)
    };
    assert_eq!(settings.check(), Ok(()), "valid before the change");
    change(&mut settings);
    settings.check().expect_err("the settings are invalid")
}

/// Asserts that settings are rejected with this field and error message. Operators see the message,
/// which has to start with the field.
#[track_caller]
fn assert_rejected(change: impl FnOnce(&mut Settings), field: &str, text: &str) {
    let error = check_error_after(change);
    assert_eq!(error.field, field);
    assert_eq!(error.to_string(), text);
    assert_eq!(text.split(':').next(), Some(field));
}

#[test]
fn settings_check_names_the_field_when_sites_or_classes_are_invalid() {
    let unknown_site = "prefer: site 1 names itself, or one that is not there";
    assert_rejected(
        |s| s.preferred_sites[1] = vec![SiteIndex(1)],
        "prefer",
        unknown_site,
    );
    assert_rejected(
        |s| s.preferred_sites[1] = vec![SiteIndex(3)],
        "prefer",
        unknown_site,
    );
    assert_rejected(
        |s| s.preferred_sites.clear(),
        "prefer",
        "prefer: 1 to 8 sites, not 0",
    );
    assert_rejected(
        |s| s.preferred_sites = vec![vec![]; 9],
        "prefer",
        "prefer: 1 to 8 sites, not 9",
    );
    assert_rejected(
        |s| s.load_shedding_order = vec![ClassIndex(99)],
        "refuse",
        "refuse: class 99 is beyond 16",
    );
    assert_rejected(
        |s| s.load_shedding_order = vec![ClassIndex(0), ClassIndex(16)],
        "refuse",
        "refuse: class 16 is beyond 16",
    );
}

#[test]
fn settings_check_names_the_field_when_a_share_or_time_is_out_of_range() {
    assert_rejected(
        |s| s.capacity_share = 0.0,
        "budget",
        "budget: over 0, at most 1",
    );
    assert_rejected(
        |s| s.capacity_share = 1.5,
        "budget",
        "budget: over 0, at most 1",
    );
    assert_rejected(
        |s| s.lost_host_share = 0.0,
        "lost_part",
        "lost_part: over 0, at most 1",
    );
    assert_rejected(
        |s| s.recovery_ramp_start = f64::NAN,
        "ramp_from",
        "ramp_from: over 0, at most 1",
    );
    assert_rejected(
        |s| s.recovery_min_answered_share = -1.0,
        "ramp_answers",
        "ramp_answers: over 0, at most 1",
    );
    assert_rejected(
        |s| s.recovery_ramp_duration = Milliseconds::ZERO,
        "ramp_ms",
        "ramp_ms: must be greater than zero",
    );
}
