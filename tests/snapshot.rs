//! The JSON format of routing snapshots, which one version of the gateway hands to the next.
#![allow(clippy::unwrap_used)]

use irisrouter::routing::{MemberId, RoutingSnapshot};
use serde_json::{json, Value};

/// A snapshot as version 0.1.0 wrote it, with all keys.
const WRITTEN_BY_EARLIER_VERSION: &str = include_str!("fixtures/routing_snapshot.json");

fn read(document: &Value) -> RoutingSnapshot {
    serde_json::from_value(document.clone()).unwrap()
}

fn written(snapshot: &RoutingSnapshot) -> Value {
    serde_json::to_value(snapshot).unwrap()
}

#[test]
fn snapshot_of_an_earlier_version_is_written_back_unchanged() {
    let snapshot: RoutingSnapshot = serde_json::from_str(WRITTEN_BY_EARLIER_VERSION).unwrap();
    let text = serde_json::to_string_pretty(&snapshot).unwrap();
    assert_eq!(text, WRITTEN_BY_EARLIER_VERSION.trim_end());
}

#[test]
fn missing_keys_are_read_as_zero_false_or_null() {
    let defaults = json!({
        "group": 0, "zone": 0, "size": 0.0, "gone": false, "drained": false, "gone_at": 0,
        "started": null, "position": 0, "lag": 0, "lag_at": 0, "primary_at": 0, "replica_at": 0,
        "slowness": 0.0, "answers": 0.0, "heard": 0, "outstanding": 0, "others": 0.0,
        "told_at": 0, "in_use": 0.0, "shed": 0.0, "limit": 0.0, "cut_at": 0, "free_at": 0,
        "silent_since": null, "patience": 0, "fails": 0, "suspect_until": 0, "errors": 0.0,
        "shuns": 0, "shun_until": 0, "probe_at": 0, "probe_out": false, "well_since": 0,
    });
    let snapshot = read(&json!({ "members": [[7, {}]] }));
    let expected = json!({ "members": [[7, defaults]], "usual": [], "told": [] });
    assert_eq!(written(&snapshot), expected);
    assert_eq!(
        written(&read(&json!({}))),
        json!({ "members": [], "usual": [], "told": [] })
    );
}

#[test]
fn each_key_alone_is_kept_and_the_others_are_read_as_defaults() {
    let document: Value = serde_json::from_str(WRITTEN_BY_EARLIER_VERSION).unwrap();
    let record = document["members"][0][1].as_object().unwrap();
    let defaults = written(&read(&json!({ "members": [[0, {}]] })))["members"][0][1].clone();
    for (key, value) in record {
        let snapshot = read(&json!({ "members": [[0, { key: value }]] }));
        let mut expected = defaults.clone();
        expected[key] = value.clone();
        assert_eq!(written(&snapshot)["members"][0][1], expected, "{key}");
        assert_ne!(
            *value, defaults[key],
            "{key} of the fixture must differ from the default"
        );
    }
}

#[test]
fn unknown_keys_of_a_later_version_are_ignored() {
    let snapshot = read(&json!({ "members": [[7, { "later": 1 }]], "later": [2] }));
    assert_eq!(snapshot.members.len(), 1);
}

#[test]
fn renumbered_snapshot_leaves_out_members_and_classes_without_a_number() {
    let mut snapshot = read(&json!({
        "members": [[0, { "limit": 1.0 }], [1, { "limit": 2.0 }], [2, { "limit": 3.0 }]],
        "usual": [10.0, 20.0, 30.0],
        "told": [1.0, 2.0, 3.0],
    }));
    snapshot.renumber(
        vec![Some(MemberId(5)), None, Some(MemberId(4))],
        vec![Some(3), None, Some(0)],
    );
    let document = written(&snapshot);
    assert_eq!(document["members"][0][0], 5);
    assert_eq!(document["members"][0][1]["limit"], 1.0);
    assert_eq!(document["members"][1][0], 4);
    assert_eq!(document["members"][1][1]["limit"], 3.0);
    assert_eq!(document["members"].as_array().unwrap().len(), 2);
    assert_eq!(document["usual"], json!([30.0, 0.0, 0.0, 10.0]));
    assert_eq!(document["told"], json!([3.0, 0.0, 0.0, 1.0]));
}

fn is_accepted(document: &str) -> bool {
    serde_json::from_str::<RoutingSnapshot>(document).is_ok()
}

/// If a snapshot is rejected, the new version starts without the state of the old one, so this must
/// not change unnoticed.
#[test]
fn duplicate_keys_and_values_of_wrong_types_are_rejected_and_positional_values_accepted() {
    let member = |record: &str| format!(r#"{{"members": [[7, {record}]]}}"#);
    assert!(is_accepted(&member(
        r#"{"lag": 1, "later": 1, "later": 2}"#
    )));
    assert!(!is_accepted(&member(r#"{"lag": 1, "lag": 1}"#)));
    for value in [r#""1""#, "1.5", "null", "[1]", "9223372036854775808"] {
        assert!(!is_accepted(&member(&format!(r#"{{"lag": {value}}}"#))));
        assert!(!is_accepted(&member(&format!(r#"{{"lag_at": {value}}}"#))));
    }
    assert!(!is_accepted(&member(r#"{"outstanding": -1}"#)));
    assert!(!is_accepted(&member(r#"{"gone": 1}"#)));
    assert!(!is_accepted(r#"{"members": [[7]]}"#));
    assert!(!is_accepted(r#"{"members": [[7, {}, {}]]}"#));
    assert!(!is_accepted(r#"{"members": [{"id": 7, "member": {}}]}"#));
    let positional = read(&json!({ "members": [[7, [3, 2, 1.5, true, false, 9]]] }));
    let record = &written(&positional)["members"][0][1];
    assert_eq!(record["group"], 3);
    assert_eq!(record["gone"], true);
    assert_eq!(record["gone_at"], 9);
    assert_eq!(record["position"], 0);
}
