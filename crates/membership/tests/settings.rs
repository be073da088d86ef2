//! The default settings, and the validation of settings.

use irisrouter_cluster_types::{GatewayId, GatewayProcess, Milliseconds, Timestamp};
use irisrouter_membership::{Membership, Settings};

#[test]
fn suspicion_grows_with_the_logarithm_of_the_fleet_and_outlasts_a_stall() {
    let small = Settings::for_fleet(5);
    let large = Settings::for_fleet(300);
    assert_eq!(small.suspicion, Milliseconds(5_000));
    assert_eq!(large.suspicion, Milliseconds(9_908));
    assert!(small.check().is_ok() && large.check().is_ok());
    let mut invalid = small.clone();
    invalid.suspicion = invalid.max_stall;
    let error = invalid.check().expect_err("the suspicion is too short");
    assert!(error.to_string().starts_with("suspicion_ms"));
}

/// These texts are shown to operators when membership does not start because of invalid settings.
#[test]
fn settings_errors_keep_their_texts() {
    let rejection_text = |change: fn(&mut Settings)| {
        let mut settings = Settings::for_fleet(5);
        change(&mut settings);
        let error = settings.check().expect_err("the settings are rejected");
        error.to_string()
    };
    let zero = "must be greater than zero";
    assert_eq!(
        rejection_text(|s| s.fleet_size = 0),
        format!("fleet: {zero}")
    );
    assert_eq!(
        rejection_text(|s| s.protocol_period = Milliseconds::ZERO),
        format!("probe_period_ms: {zero}")
    );
    assert_eq!(
        rejection_text(|s| s.ping_timeout = Milliseconds::ZERO),
        format!("probe_rtt_ms: {zero}")
    );
    assert_eq!(
        rejection_text(|s| s.indirect_pings = 0),
        format!("indirect_probes: {zero}")
    );
    assert_eq!(
        rejection_text(|s| s.suspicion = Milliseconds::ZERO),
        format!("suspicion_ms: {zero}")
    );
    assert_eq!(
        rejection_text(|s| s.rejoin_interval = Milliseconds::ZERO),
        format!("rejoin_ms: {zero}")
    );
    assert_eq!(
        rejection_text(|s| s.gossip_interval = Milliseconds::ZERO),
        format!("gossip_ms: {zero}")
    );
    assert_eq!(
        rejection_text(|s| s.gossip_fanout = 0),
        format!("gossip_fanout: {zero}")
    );
    assert_eq!(
        rejection_text(|s| s.ping_timeout = s.protocol_period),
        "probe_rtt_ms: must be shorter than probe_period_ms, or probes overlap"
    );
    assert_eq!(
        rejection_text(|s| s.gossip_interval = s.rejoin_interval + Milliseconds(1)),
        "gossip_ms: must not be longer than rejoin_ms, because joins back off from gossip_ms to rejoin_ms"
    );
    assert_eq!(
        rejection_text(|s| s.suspicion = s.max_stall),
        "suspicion_ms: must be longer than stall_ms, or a stalled gateway is declared down"
    );
}

#[test]
fn gateway_outside_the_fleet_is_rejected_with_its_text() {
    let outside = GatewayProcess::first(GatewayId(5));
    let created = Membership::new(outside, Settings::for_fleet(5), 1, Timestamp::ZERO);
    let error = created.err().map(|error| error.to_string());
    assert_eq!(
        error.as_deref(),
        Some("gateway number 5 is outside a fleet of 5 gateways, which are numbered from 0")
    );
}
