//! The platform's configuration file and the environment: what is accepted, and the messages for what is rejected.

use crate::harness::gateway::base_settings;
use crate::program::{configuration, outcome, refusal, Folder, Nowhere, Program};
use insta::assert_snapshot;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// The exact outcome of starting with a configuration of this text.
fn exact_outcome_of_text(text: &str) -> String {
    let folder = Folder::new();
    let path = folder.write_file("config.json", text);
    outcome(&folder, &[("BALANCER_CONFIG", &path)])
}

/// The outcome of starting with a configuration of this text, with the names of Rust structs replaced by NAME. One test
/// below checks all of these names.
fn outcome_of_text(text: &str) -> String {
    let exact_outcome = exact_outcome_of_text(text);
    let Some((before, after)) = exact_outcome.split_once("expected struct ") else {
        return exact_outcome;
    };
    let name = after
        .find(|c: char| !c.is_ascii_alphanumeric())
        .unwrap_or(after.len());
    format!("{before}expected struct NAME{}", &after[name..])
}

/// A complete configuration. Its text always has the same length, because error messages name places in it by column.
fn valid_configuration() -> Value {
    configuration(SocketAddr::from(([127, 0, 0, 1], 1)))
}

/// The outcome of starting with a configuration in which one value is replaced, or removed if `value` is `None`.
fn with(pointer: &str, value: Option<Value>) -> String {
    let mut config = valid_configuration();
    set(&mut config, pointer, value);
    outcome_of_text(&config.to_string())
}

fn set(config: &mut Value, pointer: &str, value: Option<Value>) {
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    match (config.pointer_mut(parent).unwrap(), value) {
        (Value::Object(object), Some(value)) => drop(object.insert(key.into(), value)),
        (Value::Object(object), None) => drop(object.remove(key).expect(pointer)),
        (Value::Array(array), Some(value)) => array[key.parse::<usize>().unwrap()] = value,
        (other, value) => panic!("{pointer}: {value:?} in {other}"),
    }
}

/// A line for each of these changes, with the outcome of starting with it.
fn outcome_of_each(changes: Vec<(&str, Option<Value>)>) -> String {
    let lines = changes.into_iter().map(|(pointer, value)| {
        let what = value
            .as_ref()
            .map_or("missing".to_string(), ToString::to_string);
        format!("{pointer} {what}: {}", with(pointer, value).trim_end())
    });
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn a_missing_path_or_an_unreadable_file_is_refused() {
    let folder = Folder::new();
    let bytes = folder.path_of("bytes.json");
    std::fs::write(&bytes, b"{\"name\": \"\xff\"}").unwrap();
    let mut outcomes = vec![refusal(&folder, &[])];
    for path in [
        String::new(),
        folder.path_of("missing.json"),
        folder.path_of(""),
        bytes,
    ] {
        outcomes.push(refusal(&folder, &[("BALANCER_CONFIG", &path)]));
    }
    assert_snapshot!(outcomes.join(""), @r#"
    irisrouter: BALANCER_CONFIG is not set
    irisrouter: cannot read : No such file or directory (os error 2)
    irisrouter: cannot read FOLDER/missing.json: No such file or directory (os error 2)
    irisrouter: cannot read FOLDER/: Is a directory (os error 21)
    irisrouter: cannot read FOLDER/bytes.json: stream did not contain valid UTF-8
    "#);
}

#[test]
fn a_file_that_is_not_json_or_not_an_object_is_refused_with_the_place_of_the_error() {
    let texts = [
        "",
        "{\n  \"name\": \"n0\",\n}",
        "{} {}",
        "null",
        "[]",
        "\"n0\"",
        "{\"seed\": \"1\", \"seed\": \"2\"}",
    ];
    let outcomes = texts.map(|text| format!("{text:?}: {}", outcome_of_text(text).trim_end()));
    assert_snapshot!(outcomes.join("\n"), @r#"
    "": irisrouter: FOLDER/config.json: EOF while parsing a value at line 1 column 0
    "{\n  \"name\": \"n0\",\n}": irisrouter: FOLDER/config.json: trailing comma at line 3 column 1
    "{} {}": irisrouter: FOLDER/config.json: missing field `seed` at line 1 column 2
    "null": irisrouter: FOLDER/config.json: invalid type: null, expected struct NAME at line 1 column 4
    "[]": irisrouter: FOLDER/config.json: invalid length 0, expected struct NAME with 11 elements at line 1 column 2
    "\"n0\"": irisrouter: FOLDER/config.json: invalid type: string "n0", expected struct NAME at line 1 column 4
    "{\"seed\": \"1\", \"seed\": \"2\"}": irisrouter: FOLDER/config.json: duplicate field `seed` at line 1 column 20
    "#);
}

#[test]
fn each_key_of_the_file_that_is_missing_is_refused_or_has_a_default() {
    let keys = [
        "name",
        "listen",
        "discovery",
        "console",
        "seed",
        "limits",
        "settings",
    ];
    let paths = keys.map(|key| format!("/{key}"));
    assert_snapshot!(outcome_of_each(paths.iter().map(|p| (p.as_str(), None)).collect()), @r#"
    /name missing: starts
    /listen missing: irisrouter: FOLDER/config.json: no address: neither BALANCER_LISTEN nor the configuration has one
    /discovery missing: irisrouter: FOLDER/config.json: no address: neither BALANCER_DISCOVERY nor the configuration has one
    /console missing: starts
    /seed missing: irisrouter: FOLDER/config.json: missing field `seed` at line 1 column 1505
    /limits missing: starts
    /settings missing: irisrouter: FOLDER/config.json: missing field `settings` at line 1 column 154
    "#);
}

#[test]
fn a_value_of_the_file_of_another_type_is_refused() {
    let changes = vec![
        ("/name", Some(json!(7))),
        ("/listen", Some(json!(["127.0.0.1:0"]))),
        ("/discovery", Some(json!({}))),
        ("/console", Some(json!(true))),
        ("/seed", Some(json!(8))),
        ("/limits", Some(json!([]))),
        ("/limits", Some(json!(null))),
        ("/limits/sockets", Some(json!("1024"))),
        ("/limits/sockets", Some(json!(-1))),
        ("/limits/sockets", Some(json!(100.5))),
        ("/limits/memory_mb", Some(json!(1e30))),
        ("/peer_listen", Some(json!(1))),
        ("/peers_all", Some(json!([]))),
        ("/known", Some(json!([]))),
        (
            "/known",
            Some(json!({"revision": -1, "complete": true, "members": []})),
        ),
        ("/known", Some(json!({"complete": true, "members": []}))),
        ("/known", Some(json!({"revision": 1, "members": []}))),
        ("/known", Some(json!({"revision": 1, "complete": true}))),
        (
            "/known",
            Some(json!({"revision": 1, "complete": true, "members": [{}]})),
        ),
        ("/settings", Some(json!("none"))),
        ("/settings", Some(json!(null))),
        ("/unknown", Some(json!(1))),
    ];
    assert_snapshot!(outcome_of_each(changes), @r#"
    /name 7: irisrouter: FOLDER/config.json: invalid type: integer `7`, expected a string at line 1 column 124
    /listen ["127.0.0.1:0"]: irisrouter: FOLDER/config.json: invalid type: sequence, expected a string at line 1 column 102
    /discovery {}: irisrouter: FOLDER/config.json: invalid type: map, expected a string at line 1 column 37
    /console true: irisrouter: FOLDER/config.json: invalid type: boolean `true`, expected a string at line 1 column 15
    /seed 8: irisrouter: FOLDER/config.json: invalid type: integer `8`, expected a string at line 1 column 136
    /limits []: irisrouter: FOLDER/config.json: invalid length 0, expected struct NAME with 2 elements at line 1 column 62
    /limits null: irisrouter: FOLDER/config.json: invalid type: null, expected struct NAME at line 1 column 64
    /limits/sockets "1024": irisrouter: FOLDER/config.json: invalid type: string "1024", expected usize at line 1 column 93
    /limits/sockets -1: irisrouter: FOLDER/config.json: invalid value: integer `-1`, expected usize at line 1 column 89
    /limits/sockets 100.5: irisrouter: FOLDER/config.json: invalid type: floating point `100.5`, expected usize at line 1 column 92
    /limits/memory_mb 1e+30: irisrouter: FOLDER/config.json: invalid type: floating point `1e+30`, expected usize at line 1 column 78
    /peer_listen 1: irisrouter: FOLDER/config.json: invalid type: integer `1`, expected a string at line 1 column 143
    /peers_all []: irisrouter: FOLDER/config.json: invalid type: sequence, expected a string at line 1 column 140
    /known []: irisrouter: FOLDER/config.json: invalid length 0, expected struct NAME with 3 elements at line 1 column 61
    /known {"complete":true,"members":[],"revision":-1}: irisrouter: FOLDER/config.json: invalid value: integer `-1`, expected u64 at line 1 column 102
    /known {"complete":true,"members":[]}: irisrouter: FOLDER/config.json: missing field `revision` at line 1 column 89
    /known {"members":[],"revision":1}: irisrouter: FOLDER/config.json: missing field `complete` at line 1 column 86
    /known {"complete":true,"revision":1}: irisrouter: FOLDER/config.json: missing field `members` at line 1 column 89
    /known {"complete":true,"members":[{}],"revision":1}: irisrouter: FOLDER/config.json: missing field `id` at line 1 column 89
    /settings "none": irisrouter: FOLDER/config.json: settings: invalid type: string "none", expected struct NAME
    /settings null: irisrouter: FOLDER/config.json: settings: invalid type: null, expected struct NAME
    /unknown 1: starts
    "#);
}

#[test]
fn each_key_of_a_host_of_the_list_is_needed_or_has_a_default() {
    let host = json!({"id": "s-1", "host_port": "127.0.0.1:1", "locality": "a", "cell": 2, "phase": "in_service",
        "size": 1.0, "up_since_ms": 0, "access": "reader", "flavor": "m"});
    let known = |host: Value| Some(json!({"revision": 1, "complete": true, "members": [host]}));
    let mut outcomes = vec![format!(
        "whole: {}",
        with("/known", known(host.clone())).trim_end()
    )];
    for key in host.as_object().unwrap().keys() {
        let mut without = host.clone();
        without.as_object_mut().unwrap().remove(key);
        outcomes.push(format!(
            "without {key}: {}",
            with("/known", known(without)).trim_end()
        ));
    }
    let others = [
        ("id", json!(1)),
        ("host_port", json!("localhost:1")),
        ("locality", json!(null)),
        ("cell", json!("2")),
        ("cell", json!(2.0)),
        ("phase", json!("InService")),
        ("phase", json!("terminating")),
        ("phase", json!("terminated")),
        ("size", json!("1")),
        ("up_since_ms", json!(null)),
        ("access", json!(null)),
        ("access", json!(1)),
    ];
    for (key, value) in others {
        let mut other = host.clone();
        other[key] = value.clone();
        outcomes.push(format!(
            "{key} {value}: {}",
            with("/known", known(other)).trim_end()
        ));
    }
    assert_snapshot!(outcomes.join("\n"), @r#"
    whole: starts
    without access: starts
    without cell: irisrouter: FOLDER/config.json: missing field `cell` at line 1 column 219
    without flavor: starts
    without host_port: irisrouter: FOLDER/config.json: missing field `host_port` at line 1 column 202
    without id: irisrouter: FOLDER/config.json: missing field `id` at line 1 column 217
    without locality: starts
    without phase: irisrouter: FOLDER/config.json: missing field `phase` at line 1 column 207
    without size: starts
    without up_since_ms: starts
    id 1: irisrouter: FOLDER/config.json: invalid type: integer `1`, expected a string at line 1 column 160
    host_port "localhost:1": irisrouter: FOLDER/config.json: invalid socket address syntax at line 1 column 153
    locality null: irisrouter: FOLDER/config.json: invalid type: null, expected a string at line 1 column 180
    cell "2": irisrouter: FOLDER/config.json: invalid type: string "2", expected i64 at line 1 column 116
    cell 2.0: irisrouter: FOLDER/config.json: invalid type: floating point `2.0`, expected i64 at line 1 column 116
    phase "InService": irisrouter: FOLDER/config.json: unknown variant `InService`, expected one of `in_service`, `terminating`, `terminated` at line 1 column 199
    phase "terminating": starts
    phase "terminated": starts
    size "1": irisrouter: FOLDER/config.json: invalid type: string "1", expected f64 at line 1 column 211
    up_since_ms null: irisrouter: FOLDER/config.json: invalid type: null, expected f64 at line 1 column 230
    access null: starts
    access 1: irisrouter: FOLDER/config.json: invalid type: integer `1`, expected a string at line 1 column 98
    "#);
}

#[test]
fn an_invalid_address_in_the_file_or_the_environment_is_refused_with_the_name_of_its_variable() {
    let mut outcomes = Vec::new();
    for key in ["listen", "discovery", "console"] {
        for bad in ["", "127.0.0.1", "localhost:5432", "127.0.0.1:65536"] {
            outcomes.push(format!(
                "{key} {bad:?}: {}",
                with(&format!("/{key}"), Some(json!(bad))).trim_end()
            ));
        }
    }
    let (folder, nowhere) = (Folder::new(), Nowhere::new());
    let path = folder.write_file("config.json", &configuration(nowhere.address()).to_string());
    for name in ["BALANCER_LISTEN", "BALANCER_DISCOVERY", "BALANCER_CONSOLE"] {
        // A variable with an empty value counts as unset.
        for value in ["", "nowhere"] {
            let outcome_text = outcome(&folder, &[("BALANCER_CONFIG", &path), (name, value)]);
            outcomes.push(format!("{name}={value:?}: {}", outcome_text.trim_end()));
        }
    }
    let mut bare = configuration(nowhere.address());
    for key in ["listen", "discovery", "console", "name"] {
        bare.as_object_mut().unwrap().remove(key);
    }
    let path = folder.write_file("config.json", &bare.to_string());
    outcomes.push(outcome(
        &folder,
        &[
            ("BALANCER_CONFIG", &path),
            ("BALANCER_LISTEN", "127.0.0.1:0"),
        ],
    ));
    let all = [
        ("BALANCER_CONFIG", &*path),
        ("BALANCER_LISTEN", "127.0.0.1:0"),
        ("BALANCER_DISCOVERY", &nowhere.address().to_string()),
        ("BALANCER_CONSOLE", "127.0.0.1:0"),
        ("BALANCER_NAME", "n7"),
    ];
    outcomes.push(outcome(&folder, &all));
    assert_snapshot!(outcomes.join("\n"), @r#"
    listen "": irisrouter: FOLDER/config.json: BALANCER_LISTEN: : invalid socket address syntax
    listen "127.0.0.1": irisrouter: FOLDER/config.json: BALANCER_LISTEN: 127.0.0.1: invalid socket address syntax
    listen "localhost:5432": irisrouter: FOLDER/config.json: BALANCER_LISTEN: localhost:5432: invalid socket address syntax
    listen "127.0.0.1:65536": irisrouter: FOLDER/config.json: BALANCER_LISTEN: 127.0.0.1:65536: invalid socket address syntax
    discovery "": irisrouter: FOLDER/config.json: BALANCER_DISCOVERY: : invalid socket address syntax
    discovery "127.0.0.1": irisrouter: FOLDER/config.json: BALANCER_DISCOVERY: 127.0.0.1: invalid socket address syntax
    discovery "localhost:5432": irisrouter: FOLDER/config.json: BALANCER_DISCOVERY: localhost:5432: invalid socket address syntax
    discovery "127.0.0.1:65536": irisrouter: FOLDER/config.json: BALANCER_DISCOVERY: 127.0.0.1:65536: invalid socket address syntax
    console "": irisrouter: FOLDER/config.json: BALANCER_CONSOLE: : invalid socket address syntax
    console "127.0.0.1": irisrouter: FOLDER/config.json: BALANCER_CONSOLE: 127.0.0.1: invalid socket address syntax
    console "localhost:5432": irisrouter: FOLDER/config.json: BALANCER_CONSOLE: localhost:5432: invalid socket address syntax
    console "127.0.0.1:65536": irisrouter: FOLDER/config.json: BALANCER_CONSOLE: 127.0.0.1:65536: invalid socket address syntax
    BALANCER_LISTEN="": starts
    BALANCER_LISTEN="nowhere": irisrouter: FOLDER/config.json: BALANCER_LISTEN: nowhere: invalid socket address syntax
    BALANCER_DISCOVERY="": starts
    BALANCER_DISCOVERY="nowhere": irisrouter: FOLDER/config.json: BALANCER_DISCOVERY: nowhere: invalid socket address syntax
    BALANCER_CONSOLE="": starts
    BALANCER_CONSOLE="nowhere": irisrouter: FOLDER/config.json: BALANCER_CONSOLE: nowhere: invalid socket address syntax
    irisrouter: FOLDER/config.json: no address: neither BALANCER_DISCOVERY nor the configuration has one

    starts
    "#);
    // The environment supplies all values that the file lacks.
    let program = Program::start(&all, None);
    assert!(program
        .rest_of_line("irisrouter: n7 listens on ")
        .starts_with("127.0.0.1:"));
    assert_eq!(program.call("readyz\n"), "+OK ready\n");
}

#[test]
fn an_address_that_is_in_use_or_a_socket_that_was_not_passed_is_refused() {
    let (folder, taken) = (
        Folder::new(),
        std::net::TcpListener::bind("127.0.0.1:0").unwrap(),
    );
    let at = taken.local_addr().unwrap().to_string();
    let path = folder.write_file(
        "config.json",
        &configuration(taken.local_addr().unwrap()).to_string(),
    );
    let config = ("BALANCER_CONFIG", &*path);
    let messages = [
        refusal(&folder, &[config, ("BALANCER_LISTEN", &at)]),
        refusal(&folder, &[config, ("BALANCER_CONSOLE", &at)]),
        refusal(&folder, &[config, ("BALANCER_PASSED_SOCKET", "3")]),
    ];
    assert_snapshot!(messages.join("").replace(&at, "TAKEN"), @r#"
    irisrouter: cannot listen on TAKEN: Address already in use (os error 98)
    irisrouter: cannot listen on TAKEN: Address already in use (os error 98)
    irisrouter: cannot listen on 127.0.0.1:0: fd 3 is not a socket
    "#);
}

#[test]
fn limits_too_small_to_serve_are_refused_and_large_ones_are_taken() {
    let sockets = [0, 64, 66, 67, 1_000_000].map(|n| ("/limits/sockets", Some(json!(n))));
    let memory = [0, 1, 1_000_000].map(|n| ("/limits/memory_mb", Some(json!(n))));
    assert_snapshot!(outcome_of_each([&sockets[..], &memory].concat()), @r#"
    /limits/sockets 0: irisrouter: 0 descriptors are too few
    /limits/sockets 64: irisrouter: 64 descriptors are too few
    /limits/sockets 66: irisrouter: 66 descriptors are too few
    /limits/sockets 67: starts
    /limits/sockets 1000000: starts
    /limits/memory_mb 0: starts
    /limits/memory_mb 1: starts
    /limits/memory_mb 1000000: starts
    "#);
}

#[test]
fn a_seed_is_up_to_16_hexadecimal_digits() {
    let seeds = [
        "",
        "0",
        "ffffffffffffffff",
        "8C1F30D27A5BE964",
        "10000000000000000",
        "0x1",
        "-1",
        " 1",
    ];
    assert_snapshot!(outcome_of_each(seeds.map(|s| ("/seed", Some(json!(s)))).into()), @r#"
    /seed "": irisrouter: FOLDER/config.json: seed : cannot parse integer from empty string
    /seed "0": starts
    /seed "ffffffffffffffff": starts
    /seed "8C1F30D27A5BE964": starts
    /seed "10000000000000000": irisrouter: FOLDER/config.json: seed 10000000000000000: number too large to fit in target type
    /seed "0x1": irisrouter: FOLDER/config.json: seed 0x1: invalid digit found in string
    /seed "-1": irisrouter: FOLDER/config.json: seed -1: invalid digit found in string
    /seed " 1": irisrouter: FOLDER/config.json: seed  1: invalid digit found in string
    "#);
}

/// Collects the paths of all keys of the settings. The first entry of a list stands for all of its entries.
fn keys_of(value: &Value, at: &str, all: &mut Vec<String>) {
    match value {
        Value::Object(object) => object.iter().for_each(|(key, value)| {
            let at = format!("{at}/{key}");
            all.push(at.clone());
            keys_of(value, &at, all);
        }),
        Value::Array(array) if array.first().is_some_and(Value::is_object) => {
            keys_of(&array[0], &format!("{at}/0"), all);
        }
        _ => {}
    }
}

/// The settings with all optional keys present.
fn settings_with_optional_keys() -> Value {
    let mut whole = base_settings();
    whole["Me"] = json!(0);
    whole["Bounds"]["Peers"] = json!(false);
    whole["Rules"]["DrainBindsAlone"] = json!(false);
    whole["Classes"][0]["AimStretch"] = json!(0.0);
    whole["Tenants"] = json!([{"Name": "t", "QuotaPerS": 5.0}]);
    whole
}

/// Compares a line for each key: the outcome of settings without it, and of settings in which its value has the wrong
/// type.
#[test]
fn each_key_of_the_settings_that_is_missing_or_of_another_type_has_the_outcome_of_the_fixture() {
    let mut whole = valid_configuration();
    whole["settings"] = settings_with_optional_keys();
    assert_eq!(outcome_of_text(&whole.to_string()), "starts");
    let mut keys = Vec::new();
    keys_of(&whole["settings"], "/settings", &mut keys);
    let mut lines = Vec::new();
    for key in keys {
        let was = whole.pointer(&key).unwrap().clone();
        let other = if was.is_string() {
            json!(5)
        } else {
            json!("five")
        };
        for (what, value) in [("missing", None), ("of another type", Some(other))] {
            let mut changed = whole.clone();
            set(&mut changed, &key, value);
            lines.push(format!(
                "{key} {what}: {}\n",
                outcome_of_text(&changed.to_string()).trim_end()
            ));
        }
    }
    crate::program::assert_equals_fixture("settings-keys.txt", &lines.concat());
}

/// Checks the names of Rust structs in error messages. They appear in the log although they mean nothing to its reader.
#[test]
fn a_value_that_is_not_an_object_is_refused_with_the_name_of_its_rust_struct() {
    let names = [
        "/limits",
        "/known",
        "/settings",
        "/settings/Bounds",
        "/settings/Domain",
        "/settings/LoadInfo",
        "/settings/Penalties",
        "/settings/Rules",
        "/settings/Classes/0",
    ];
    let mut outcomes = vec![exact_outcome_of_text("5")];
    outcomes.extend(names.map(|pointer| {
        let mut config = valid_configuration();
        set(&mut config, pointer, Some(json!(5)));
        exact_outcome_of_text(&config.to_string())
    }));
    let mut config = valid_configuration();
    config["settings"]["Tenants"] = json!([5]);
    outcomes.push(exact_outcome_of_text(&config.to_string()));
    assert_snapshot!(outcomes.join(""), @r#"
    irisrouter: FOLDER/config.json: invalid type: integer `5`, expected struct File at line 1 column 1
    irisrouter: FOLDER/config.json: invalid type: integer `5`, expected struct Limits at line 1 column 61
    irisrouter: FOLDER/config.json: invalid type: integer `5`, expected struct List at line 1 column 60
    irisrouter: FOLDER/config.json: settings: invalid type: integer `5`, expected struct BootInfo
    irisrouter: FOLDER/config.json: settings: invalid type: integer `5`, expected struct WireBounds
    irisrouter: FOLDER/config.json: settings: invalid type: integer `5`, expected struct WireDomain
    irisrouter: FOLDER/config.json: settings: invalid type: integer `5`, expected struct WireLoadInfo
    irisrouter: FOLDER/config.json: settings: invalid type: integer `5`, expected struct WirePenalties
    irisrouter: FOLDER/config.json: settings: invalid type: integer `5`, expected struct WireRules
    irisrouter: FOLDER/config.json: settings: invalid type: integer `5`, expected struct WireClass
    irisrouter: FOLDER/config.json: settings: invalid type: integer `5`, expected struct WireTenant
    "#);
}

#[test]
fn settings_with_which_no_request_could_be_answered_are_refused_with_the_reason() {
    let day = 86_400_000_000_000i64;
    let changes = vec![
        ("/settings/Balancers", Some(json!(0))),
        ("/settings/Balancers", Some(json!(-1))),
        ("/settings/Classes", Some(json!([]))),
        ("/settings/Classes/0/Name", Some(json!(""))),
        ("/settings/Classes/1/Name", Some(json!("read"))),
        ("/settings/Classes/0/DeadlineNs", Some(json!(0))),
        ("/settings/Classes/0/DeadlineNs", Some(json!(day))),
        ("/settings/Classes/0/DeadlineNs", Some(json!(day + 1))),
        ("/settings/Classes/0/AimNs", Some(json!(-1))),
        ("/settings/Classes/0/Effect", Some(json!("idempotent"))),
        ("/settings/Classes/0/Group", Some(json!("any other word"))),
        ("/settings/Bounds/ConnectTimeoutNs", Some(json!(0))),
        ("/settings/Bounds/IdleCloseNs", Some(json!(day + 1))),
        ("/settings/Bounds/MostTries", Some(json!(0))),
        (
            "/settings/Domain/Freshness",
            Some(json!(["eventual", "mutate", "mutate"])),
        ),
        ("/settings/Domain/Freshness/0", Some(json!("fresh"))),
        ("/settings/Domain/ServerChecks", Some(json!("strict"))),
        ("/settings/Domain/RoleInList", Some(json!("any other word"))),
        (
            "/settings/Domain/SessionMarks",
            Some(json!("any other word")),
        ),
        ("/settings/LoadInfo/How", Some(json!("any other word"))),
        ("/settings/MembershipMode", Some(json!("any other word"))),
        ("/settings/RoundNs", Some(json!(0))),
        ("/settings/MyZone", Some(json!("another"))),
        ("/settings/Zones", Some(json!([]))),
    ];
    assert_snapshot!(outcome_of_each(changes), @r#"
    /settings/Balancers 0: irisrouter: FOLDER/config.json: settings: no attempts, no classes or no gateways
    /settings/Balancers -1: irisrouter: FOLDER/config.json: settings: invalid value: integer `-1`, expected u32
    /settings/Classes []: irisrouter: FOLDER/config.json: settings: no attempts, no classes or no gateways
    /settings/Classes/0/Name "": irisrouter: FOLDER/config.json: settings: two classes or none of the name
    /settings/Classes/1/Name "read": irisrouter: FOLDER/config.json: settings: two classes or none of the name read
    /settings/Classes/0/DeadlineNs 0: irisrouter: FOLDER/config.json: settings: the deadline of class read is 0 ns
    /settings/Classes/0/DeadlineNs 86400000000000: starts
    /settings/Classes/0/DeadlineNs 86400000000001: irisrouter: FOLDER/config.json: settings: the deadline of class read is 86400000000001 ns
    /settings/Classes/0/AimNs -1: irisrouter: FOLDER/config.json: settings: the aim of class read is -1 ns
    /settings/Classes/0/Effect "idempotent": irisrouter: FOLDER/config.json: settings: unknown effect idempotent of class read
    /settings/Classes/0/Group "any other word": starts
    /settings/Bounds/ConnectTimeoutNs 0: irisrouter: FOLDER/config.json: settings: the time to connect is 0 ns
    /settings/Bounds/IdleCloseNs 86400000000001: irisrouter: FOLDER/config.json: settings: the time to close idle connections is 86400000000001 ns
    /settings/Bounds/MostTries 0: irisrouter: FOLDER/config.json: settings: no attempts, no classes or no gateways
    /settings/Domain/Freshness ["eventual","mutate","mutate"]: irisrouter: FOLDER/config.json: settings: unknown freshness None of class own
    /settings/Domain/Freshness/0 "fresh": irisrouter: FOLDER/config.json: settings: unknown freshness Some("fresh") of class read
    /settings/Domain/ServerChecks "strict": irisrouter: FOLDER/config.json: settings: unknown server checks strict
    /settings/Domain/RoleInList "any other word": starts
    /settings/Domain/SessionMarks "any other word": starts
    /settings/LoadInfo/How "any other word": starts
    /settings/MembershipMode "any other word": starts
    /settings/RoundNs 0: starts
    /settings/MyZone "another": starts
    /settings/Zones []: starts
    "#);
}

#[test]
fn invalid_peers_are_logged_and_the_gateway_starts_without_them() {
    let nowhere = Nowhere::new();
    let folder = Folder::new();
    let whole = {
        let mut c = configuration(nowhere.address());
        c["peer_listen"] = json!("127.0.0.1:0");
        c["peers"] = json!(vec!["127.0.0.1:1"; 16]);
        c["peers_all"] = json!("127.0.0.1:1");
        c["settings"]["Balancers"] = json!(16);
        c["settings"]["Me"] = json!(0);
        c["settings"]["Bounds"]["Peers"] = json!(true);
        c
    };
    let changes = [
        ("/peers", None),
        ("/peers", Some(json!("127.0.0.1:1"))),
        ("/peers", Some(json!(["127.0.0.1:1"]))),
        ("/peers/3", Some(json!("nowhere"))),
        ("/settings/Me", Some(json!(16))),
        ("/peer_listen", Some(json!("nowhere"))),
        ("/peers_all", Some(json!("nowhere"))),
    ];
    let messages = changes.map(|(pointer, value)| {
        let mut changed = whole.clone();
        set(&mut changed, pointer, value);
        let program = Program::with(&folder, &changed);
        program.rest_of_line("irisrouter: nothing is shared with other gateways: ")
    });
    assert_snapshot!(messages.join("\n"), @r#"
    peers: invalid type: null, expected a sequence
    peers: invalid type: string "127.0.0.1:1", expected a sequence
    peers: 1 addresses for 16 gateways, this one's number is 0
    peers: invalid socket address syntax
    peers: 16 addresses for 16 gateways, this one's number is 16
    peer_listen: nowhere: invalid socket address syntax
    peers_all: nowhere: invalid socket address syntax
    "#);
}

/// The configuration files that are read after SIGHUP, one after the other: thirteen invalid ones and eight valid ones.
fn reloaded_files(config: &Value, elsewhere: &str) -> Vec<String> {
    let changed = |pointer: &str, value: Option<Value>| {
        let mut changed = config.clone();
        set(&mut changed, pointer, value);
        changed.to_string()
    };
    let none = || -> Option<Value> { None };
    vec![
        "{".to_string(),
        String::new(),
        "{}".to_string(),
        changed("/name", none()),
        changed("/listen", none()),
        changed("/discovery", none()),
        changed("/limits", none()),
        changed("/discovery", Some(json!("nowhere"))),
        changed("/seed", Some(json!("xyz"))),
        changed("/settings/Bounds/MostTries", none()),
        changed("/settings/Bounds/MostTries", Some(json!(0))),
        changed("/settings/Classes/3/WindowNs", none()),
        changed("/settings/Classes", Some(json!({}))),
        config.to_string(),
        changed("/discovery", Some(json!(elsewhere))),
        changed("/name", Some(json!("n1"))),
        changed(
            "/known",
            Some(json!({"revision": 3, "complete": true, "members": []})),
        ),
        changed("/console", none()),
        changed("/limits/sockets", Some(json!(500))),
        changed("/seed", Some(json!("1"))),
        changed("/listen", Some(json!("nowhere"))),
    ]
}

/// Makes the program read each file, and waits until its log has an outcome for each.
fn reload_each(program: &Program, folder: &Folder, files: &[String]) {
    for (n, file) in files.iter().enumerate() {
        folder.write_file("config.json", file);
        program.signal("-HUP");
        program.stderr.wait_for("the outcome of the file", |s| {
            // The log drops lines beyond 20 per second.
            assert!(!s.ended && !s.text.contains("left out"), "{}", s.text);
            let outcomes = ["the old configuration holds", "configuration read again"];
            let reported = s
                .text
                .lines()
                .filter(|l| outcomes.iter().any(|outcome| l.contains(outcome)))
                .count();
            (reported > n).then_some(())
        });
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
}

#[test]
fn after_sighup_an_invalid_file_is_logged_with_its_reason_and_a_valid_one_with_the_keys_that_need_a_restart(
) {
    let (folder, nowhere, elsewhere) = (Folder::new(), Nowhere::new(), Nowhere::new());
    let config = configuration(nowhere.address());
    let program = Program::with(&folder, &config);
    let _ = program.address();
    let files = reloaded_files(&config, &elsewhere.address().to_string());
    reload_each(&program, &folder, &files);
    program.rest_of_line("what waits for the next start: listen");
    let log = program.stderr.update(|s| s.text.clone());
    let log = log
        .lines()
        .skip_while(|l| !l.contains("listens on"))
        .skip(1);
    let log: Vec<&str> = log.filter(|l| !l.contains("discovery: ")).collect();
    let log = log
        .join("\n")
        .replace(folder.path().to_str().unwrap(), "FOLDER");
    let log = log
        .replace(&nowhere.address().to_string(), "OLD")
        .replace(&elsewhere.address().to_string(), "NEW");
    assert_snapshot!(log, @r#"
    irisrouter: the old configuration holds: FOLDER/config.json: EOF while parsing an object at line 1 column 1
    irisrouter: the old configuration holds: FOLDER/config.json: EOF while parsing a value at line 1 column 0
    irisrouter: the old configuration holds: FOLDER/config.json: missing field `seed` at line 1 column 2
    irisrouter: the old configuration holds: FOLDER/config.json: name is missing
    irisrouter: the old configuration holds: FOLDER/config.json: listen is missing
    irisrouter: the old configuration holds: FOLDER/config.json: discovery is missing
    irisrouter: the old configuration holds: FOLDER/config.json: limits is missing
    irisrouter: the old configuration holds: FOLDER/config.json: BALANCER_DISCOVERY: nowhere: invalid socket address syntax
    irisrouter: the old configuration holds: FOLDER/config.json: seed xyz: invalid digit found in string
    irisrouter: the old configuration holds: FOLDER/config.json: MostTries is missing
    irisrouter: the old configuration holds: FOLDER/config.json: settings: no attempts, no classes or no gateways
    irisrouter: the old configuration holds: FOLDER/config.json: WindowNs is missing
    irisrouter: the old configuration holds: FOLDER/config.json: an object or a list is missing
    irisrouter: configuration read again: discovery at OLD, as before
    irisrouter: configuration read again: discovery at NEW, newly
    irisrouter: configuration read again: discovery at OLD, newly
    irisrouter: what waits for the next start: name
    irisrouter: configuration read again: discovery at OLD, as before
    irisrouter: what waits for the next start: known
    irisrouter: configuration read again: discovery at OLD, as before
    irisrouter: what waits for the next start: console
    irisrouter: configuration read again: discovery at OLD, as before
    irisrouter: what waits for the next start: limits
    irisrouter: configuration read again: discovery at OLD, as before
    irisrouter: what waits for the next start: seed
    irisrouter: configuration read again: discovery at OLD, as before
    irisrouter: what waits for the next start: listen
    "#);
    assert_eq!(program.call("readyz\n"), "+OK ready\n");
}
