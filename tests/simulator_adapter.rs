//! The adapter's replies to the simulator: expected replies to a request and its end, and errors for malformed input.

use irisrouter::simulator::Adapter;
use serde_json::{json, Value};

fn boot() -> Value {
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

fn start() -> Adapter {
    let mut a = Adapter::new();
    let entry = |m: &str, p: i64| {
        json!({"Member": m, "Area": "a", "GenerationHw": "x", "Db": 4, "Status": "Ready", "Primary": p,
            "Nominal": 1, "SinceNs": null})
    };
    let line = json!({"TNs": 9000000000i64, "frame": 1, "happened": [
        {"Init": {"I": 0, "InitSeed": 77, "BootInfo": boot()}},
        {"Catalog": {"SetId": 2, "NodesList": [entry("h1:1", 1), entry("h2:2", 0)]}},
        {"View": {"I": 0, "SetId": 2, "Rev": 1, "Form": "warm_copy"}},
        {"Catalog": {"SetId": 2, "NodesList": []}},
    ]});
    let reply: Value =
        serde_json::from_str(&a.line(&line.to_string()).expect("reply")).expect("json");
    assert_eq!(reply["frame"], 1);
    a
}

fn ask(a: &mut Adapter, t: i64, happened: Value) -> Vec<Value> {
    let line = json!({"TNs": t, "frame": 2, "happened": happened}).to_string();
    let reply: Value = serde_json::from_str(&a.line(&line).expect("reply")).expect("json");
    reply["output"].as_array().expect("output").clone()
}

fn request(call: &str, class: &str) -> Value {
    json!({"Req": {"I": 0, "Call": call, "TierClass": class, "Team": null, "Sess": null,
        "ClientDeadlineNs": 11000000000i64, "WorkNs": null, "Shard": 4, "TokenAgeMs": null, "Retry": false,
        "Mutates": class == "pay"}})
}

#[test]
fn a_request_goes_out_and_its_end_comes_back() {
    let mut a = start();
    let out = ask(&mut a, 9001000000, json!([request("r/1", "pay")]));
    let golden =
        json!({"CallOut": {"I": 0, "Call": "r/1", "Member": "h1:1", "LimitNs": 1999000000}});
    assert!(out.contains(&golden), "{out:?}");
    let end = json!({"ReportBack": {"I": 0, "Call": "r/1", "SeqNo": 0, "Member": "h1:1", "Disposition": 3,
        "LagNs": 5, "DoneFlag": false, "Stand": 0, "Metrics": null}});
    let out = ask(&mut a, 9002000000, json!([end.clone()]));
    assert_eq!(out, vec![json!({"DropRequest": {"I": 0, "Call": "r/1"}})]);
    // A repeated end of the attempt, a request that has ended and an unknown instance are ignored.
    let late =
        json!([end, {"Vanished": {"I": 0, "Call": "r/1"}}, {"Vanished": {"I": 9, "Call": "x"}}]);
    assert_eq!(ask(&mut a, 9003000000, late), Vec::<Value>::new());
}

#[test]
fn a_killed_instance_forgets_and_starts_again_in_one_batch() {
    let mut a = start();
    let events = json!([request("r/2", "look"), {"Kill": {"I": 0}},
        {"Init": {"I": 0, "InitSeed": -3, "BootInfo": boot()}}]);
    let out = ask(&mut a, 9001000000, events);
    assert!(!out.iter().any(|o| o.get("CallOut").is_some()), "{out:?}");
}

#[test]
fn malformed_input_is_told_plainly() {
    for line in [
        "",
        "{",
        "{\"TNs\":1}",
        "{\"TNs\":1,\"frame\":1,\"happened\":[{\"Nonsense\":{}}]}",
    ] {
        let error = Adapter::new().line(line).expect_err("an error").to_string();
        assert!(error.starts_with("malformed batch"), "{error}");
    }
    let mut a = start();
    let line =
        json!({"TNs": 9001000000i64, "frame": 2, "happened": [request("r/3", "unheard-of")]});
    assert!(a
        .line(&line.to_string())
        .expect_err("an error")
        .to_string()
        .contains("unknown class"));
}
