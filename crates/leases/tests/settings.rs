//! Tests of the limits of the settings. Operators see the error messages when their file is rejected.

use irisrouter_cluster_types::Milliseconds;
use irisrouter_leases::Settings;

fn rejection(lease_ms: u64) -> Option<String> {
    let settings = Settings {
        fleet: 5,
        lease_duration: Milliseconds(lease_ms),
    };
    settings.check().err().map(|error| error.to_string())
}

#[test]
fn lease_outside_its_limits_is_refused_with_field_and_reason() {
    let too_short =
        "lease_ms: at least 100: renewals of shorter leases would overload the peer socket";
    let too_long =
        "lease_ms: at most 60000: the task of a dead holder waits that long for another holder";
    assert_eq!(rejection(99).as_deref(), Some(too_short));
    assert_eq!(rejection(100), None);
    assert_eq!(rejection(60_000), None);
    assert_eq!(rejection(60_001).as_deref(), Some(too_long));
}
