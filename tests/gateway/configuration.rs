//! The configuration file, as read at startup and after SIGHUP.

use crate::harness::client::Client;
use crate::harness::discovery::{Discovery, EndpointList};
use crate::harness::gateway::{base_settings, start_with_invalid_config, Gateway};
use crate::harness::host::{no_reply_to_slow, reply_with_row, Host, HostReply};
use crate::harness::messages::{slow_query_message, statement};
use insta::assert_snapshot;
use serde_json::{json, Value};

/// Guards against a SIGHUP that ends the process, interrupts requests, keeps the old discovery server, or applies an
/// older list from the new one.
#[test]
fn reload_with_a_new_discovery_address_fetches_the_whole_list_and_keeps_newer_drains() {
    let one = Host::start("s-1", true, no_reply_to_slow);
    let two = Host::start("s-2", false, reply_with_row);
    let both = |phase: &str| json!([one.entry("in_service", 0), two.entry(phase, 0)]);
    let old = Discovery::start(vec![]);
    let new = Discovery::start(vec![one.entry("in_service", 0)]);
    let mut gateway = Gateway::start(&old, &[&one, &two]);
    old.publish(EndpointList::Members(both("terminating")));
    let mut client = gateway.client();
    let mut busy = gateway.client();
    busy.send(&slow_query_message(4_000));
    one.wait_for_event("slow");

    // The environment still names the old address, but the configuration file takes precedence. The `known` list of the
    // file is older than the list that discovery has published.
    let mut config = gateway.config.clone();
    config["discovery"] = json!(new.address.to_string());
    config["known"]["members"] = both("in_service");
    config["limits"]["sockets"] = json!(500);
    new.set(1, EndpointList::Members(both("in_service")));
    gateway.reload(&config.to_string());
    new.requests.wait_for("the whole list", |c| {
        (c.first()? == "0: /discovery/hosts").then_some(())
    });
    new.requests.wait_for("what is newer", |c| {
        c.get(1)?.contains("from=2&").then_some(())
    });
    gateway.wait_for_log("what waits for the next start: limits");
    let before = two.statements().len();
    for _ in 0..10 {
        assert!(client.query(&statement("read", 9_000)).contains("a1b2"));
    }
    assert_eq!(
        two.statements().len(),
        before,
        "an older list must not undo a drain"
    );

    // From here on, neither an invalid file nor the old discovery server has any effect.
    old.set(9, EndpointList::Members(json!([])));
    for unusable in ["{", "", "{}"] {
        gateway.reload(unusable);
    }
    gateway.wait_for_log("the old configuration holds");
    new.set(2, EndpointList::Members(both("in_service")));
    new.publish(EndpointList::Members(both("in_service")));
    while two.statements().len() == before {
        assert!(client.query(&statement("read", 9_000)).contains("a1b2"));
    }
    assert!(
        busy.read_until_ready().contains("XX000"),
        "the open request ends at its deadline and not before"
    );

    gateway.signal("-TERM");
    gateway.wait_for_log("stopping");
    gateway.signal("-HUP");
    gateway.reload(&config.to_string());
    assert!(client.query(&statement("read", 9_000)).contains("a1b2"));
    assert_eq!(gateway.exit_code(), Some(0));
}

/// Variants of a valid configuration that must be rejected. Each also names another discovery server, so that the test
/// can tell whether any part of it was applied.
fn invalid_files(good: &Value, discovery: &Discovery) -> Vec<String> {
    let invalid = |path: &str, value: Value| {
        let mut config = good.clone();
        config["discovery"] = json!(discovery.address.to_string());
        let (parent, key) = path.rsplit_once('/').unwrap();
        let object = config.pointer_mut(parent).unwrap().as_object_mut().unwrap();
        match value.is_null() {
            true => drop(object.remove(key).unwrap()),
            false => drop(object.insert(key.to_string(), value)),
        }
        config.to_string()
    };
    let valid_text = good.to_string();
    vec![
        invalid("/settings/Classes/0/DeadlineNs", json!(0)),
        invalid("/settings/Classes/3/DeadlineNs", json!(-5)),
        invalid("/settings/Bounds/MostTries", json!(0)),
        invalid("/settings/Classes/0/Name", json!("own")),
        invalid("/settings/Classes/3/WindowNs", json!(null)),
        invalid("/settings/Bounds/IdleCloseNs", json!(null)),
        invalid("/settings/LoadInfo/Fields", json!(null)),
        invalid("/settings", json!(null)),
        invalid("/listen", json!(null)),
        invalid("/limits", json!(null)),
        valid_text[..valid_text.len() / 2].to_string(),
        String::new(),
    ]
}

/// Guards against new settings that take effect only after a restart, that change the class of an open request, or that
/// are applied in part when the file is invalid.
#[test]
fn reload_applies_settings_to_new_requests_and_ignores_invalid_files() {
    let script = |_, text: &str| {
        if text.contains("slow") {
            HostReply::NoReply
        } else {
            HostReply::Error("25006")
        }
    };
    let host = Host::start("s-1", true, script);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.client();
    let mut busy = gateway.client();
    busy.send(&slow_query_message(6_000));
    host.wait_for_event("slow");

    let changed = |adjust: &dyn Fn(&mut Value)| {
        let mut config = gateway.config.clone();
        adjust(&mut config);
        config
    };
    let good = changed(&|config| {
        let classes = config["settings"]["Classes"].as_array_mut().unwrap();
        classes[1]["Name"] = json!("new");
        classes[2]["DeadlineNs"] = json!(300_000_000);
        config["settings"]["Bounds"]["MostTries"] = json!(2);
    });
    gateway.reload(&good.to_string());
    gateway.wait_for_log("configuration read again");
    let count_attempts = |client: &mut Client, class: &str| {
        let before = host.statements().len();
        let answer = client.query(&statement(class, 19_000));
        (host.statements().len() - before, answer)
    };
    let (attempts, answer) = count_attempts(&mut client, "new");
    assert!(
        attempts == 2 && answer.contains("C53300"),
        "attempt limit of the new settings: {attempts} {answer}"
    );
    assert!(client
        .query(&statement("order", 9_000))
        .contains("an unknown class"));

    // The discovery server that the invalid files name must not be called.
    let unused_discovery = Discovery::start(vec![]);
    let files = invalid_files(&good, &unused_discovery);
    for (n, file) in files.iter().enumerate() {
        gateway.reload(file);
        gateway.log.wait_for(file, |log| {
            let rejections = log
                .iter()
                .filter(|line| line.contains("the old configuration holds"))
                .count();
            assert!(!log.iter().any(|line| line.contains("newly")), "{file}");
            (rejections > n).then_some(())
        });
    }
    assert_eq!(
        count_attempts(&mut client, "new").0,
        2,
        "the last valid file stays in effect as a whole"
    );
    unused_discovery
        .requests
        .update(|c| assert!(c.is_empty(), "{c:?}"));
    // The new settings give the class a deadline of 0.3 s, but the open request keeps the deadline with which it
    // started.
    assert!(client
        .query(&statement("once", 9_000).replace("7f3a", "slow"))
        .starts_with("ErrorResponse"));
    busy.stream.set_nonblocking(true).unwrap();
    assert!(busy.stream.peek(&mut [0]).is_err());
    busy.stream.set_nonblocking(false).unwrap();
    assert!(busy.read_until_ready().contains("XX000"));
}

#[test]
fn invalid_configuration_is_reported_and_ends_the_start() {
    let valid = json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1", "settings": base_settings()});
    let with_value = |key: &str, value: Value| {
        let mut config = valid.clone();
        config[key] = value;
        config.to_string()
    };
    let bad = [
        "{".to_string(),
        with_value("listen", json!(null)),
        with_value("discovery", json!("nowhere")),
        with_value("seed", json!("xyz")),
        with_value("settings", json!({})),
        with_value("limits", json!({"sockets": 10})),
    ];
    let errors = bad.map(|config| {
        let failure = start_with_invalid_config(&config);
        assert_eq!(failure.exit_code, Some(1), "{}", failure.stderr);
        failure.stderr
    });
    assert_snapshot!(errors.join(""), @r"
    irisrouter: CONFIG: EOF while parsing an object at line 1 column 1
    irisrouter: CONFIG: no address: neither BALANCER_LISTEN nor the configuration has one
    irisrouter: CONFIG: BALANCER_DISCOVERY: nowhere: invalid socket address syntax
    irisrouter: CONFIG: seed xyz: invalid digit found in string
    irisrouter: CONFIG: settings: missing field `Balancers`
    irisrouter: 10 descriptors are too few
    ");
}
