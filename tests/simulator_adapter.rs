//! The adapter's replies to the simulator: expected replies to a request and its end, and errors for malformed input.

use irisrouter::simulator::Adapter;
use serde_json::{json, Value};

fn boot_info() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"AimNs": 500000000, "DeadlineNs": 2000000000, "Effect": effect, "Group": "all", "LateWorth": 0.0,
            "Name": name, "Streamed": false, "WindowNs": 5000000000i64, "Worth": 1.0})
    };
    json!({
        "Balancers": 3, "Classes": [class("look", "retryable"), class("pay", "fragile")],
        "Bounds": {"Cancel": true, "ConnectTimeoutNs": 250000000, "IdleCloseNs": 30000000000i64, "MaxRetryAfterNs": 2000000000, "MostTries": 8,
            "Probes": true, "RetryAfter": true, "SecondCopies": true},
        "Domain": {"CatchUpWaitNs": 0, "ClassBoundNs": [0, 0], "Freshness": ["eventual", "mutate"],
            "PositionZeroNs": 1000, "RoleInList": "static", "ServerChecks": "bounce", "SessionMarks": "brought",
            "Stamps": true},
        "LoadInfo": {"How": "probe", "Fields": []}, "MembershipMode": "push", "MyZone": "a", "OverShareWorth": 0.1,
        "Penalties": {"Probe": 0.0}, "RoundNs": 5000000, "Tenants": [], "Zones": ["a"], "SomethingNew": {"skipped": [1, 2]},
        "Rules": {"ColdNs": 17000000000i64, "DrainGraceNs": 500000000, "OverloadFactor": 4.0, "StartCapacity": 0.17,
            "TipAfterNs": 1000000000},
    })
}

fn start_adapter() -> Adapter {
    let mut adapter = Adapter::new();
    let entry = |member: &str, primary: i64| {
        json!({"Member": member, "Area": "a", "GenerationHw": "x", "Db": 4, "Status": "Ready", "Primary": primary,
            "Nominal": 1, "SinceNs": null})
    };
    let line = json!({"TNs": 9000000000i64, "frame": 1, "happened": [
        {"Init": {"I": 0, "InitSeed": 77, "BootInfo": boot_info()}},
        {"Catalog": {"SetId": 2, "NodesList": [entry("h1:1", 1), entry("h2:2", 0)]}},
        {"View": {"I": 0, "SetId": 2, "Rev": 1, "Form": "warm_copy"}},
        {"Catalog": {"SetId": 2, "NodesList": []}},
    ]});
    let reply: Value =
        serde_json::from_str(&adapter.answer_line(&line.to_string()).expect("reply"))
            .expect("json");
    assert_eq!(reply["frame"], 1);
    adapter
}

fn send_events(adapter: &mut Adapter, now_ns: i64, happened: Value) -> Vec<Value> {
    let line = json!({"TNs": now_ns, "frame": 2, "happened": happened}).to_string();
    let reply: Value =
        serde_json::from_str(&adapter.answer_line(&line).expect("reply")).expect("json");
    reply["output"].as_array().expect("output").clone()
}

fn request(call: &str, class: &str) -> Value {
    json!({"Req": {"I": 0, "Call": call, "TierClass": class, "Team": null, "Sess": null,
        "ClientDeadlineNs": 11000000000i64, "WorkNs": null, "Shard": 4, "TokenAgeMs": null, "Retry": false,
        "Mutates": class == "pay"}})
}

#[test]
fn request_starts_an_attempt_and_fails_when_the_attempt_times_out() {
    let mut adapter = start_adapter();
    let output = send_events(&mut adapter, 9001000000, json!([request("r/1", "pay")]));
    let expected =
        json!({"CallOut": {"I": 0, "Call": "r/1", "Member": "h1:1", "LimitNs": 1999000000}});
    assert!(output.contains(&expected), "{output:?}");
    let end = json!({"ReportBack": {"I": 0, "Call": "r/1", "SeqNo": 0, "Member": "h1:1", "Disposition": 3,
        "LagNs": 5, "DoneFlag": false, "Stand": 0, "Metrics": null}});
    let output = send_events(&mut adapter, 9002000000, json!([end.clone()]));
    assert_eq!(
        output,
        vec![json!({"DropRequest": {"I": 0, "Call": "r/1"}})]
    );
    // A repeated end of the attempt, a request that has ended and an unknown instance are ignored.
    let late =
        json!([end, {"Vanished": {"I": 0, "Call": "r/1"}}, {"Vanished": {"I": 9, "Call": "x"}}]);
    assert_eq!(
        send_events(&mut adapter, 9003000000, late),
        Vec::<Value>::new()
    );
}

#[test]
fn instance_restarted_in_a_batch_sends_no_requests_of_the_killed_one() {
    let mut adapter = start_adapter();
    let events = json!([request("r/2", "look"), {"Kill": {"I": 0}},
        {"Init": {"I": 0, "InitSeed": -3, "BootInfo": boot_info()}}]);
    let output = send_events(&mut adapter, 9001000000, events);
    assert!(
        !output.iter().any(|action| action.get("CallOut").is_some()),
        "{output:?}"
    );
}

#[test]
fn malformed_input_is_an_error_that_names_the_fault() {
    for line in [
        "",
        "{",
        "{\"TNs\":1}",
        "{\"TNs\":1,\"frame\":1,\"happened\":[{\"Nonsense\":{}}]}",
    ] {
        let error = Adapter::new()
            .answer_line(line)
            .expect_err("an error")
            .to_string();
        assert!(error.starts_with("malformed batch"), "{error}");
    }
    let mut adapter = start_adapter();
    let line =
        json!({"TNs": 9001000000i64, "frame": 2, "happened": [request("r/3", "unheard-of")]});
    assert!(adapter
        .answer_line(&line.to_string())
        .expect_err("an error")
        .to_string()
        .contains("unknown class"));
}
