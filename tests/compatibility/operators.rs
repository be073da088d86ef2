//! The operators' file: what is accepted, and the messages for what is rejected.

use crate::console::fleet_configuration;
use crate::program::{configuration, outcome, refusal, Folder, Nowhere, Program};
use insta::assert_snapshot;
use serde_json::{json, Value};

const ALL_KEYS: &str = include_str!("fixtures/operators-all-keys.jsonnet");
/// Section, key, default value, and a value of the wrong type, for every key.
const KEYS: [(&str, &str, &str, &str); 19] = [
    ("membership", "enabled", "false", "'yes'"),
    ("membership", "probe_period_ms", "1000", "'1s'"),
    ("membership", "stall_ms", "2000", "2.5"),
    ("takeover", "enabled", "false", "0"),
    ("takeover", "lease_ms", "2000", "true"),
    ("takeover", "fence", "false", "null"),
    ("takeover", "writes", "false", "[]"),
    ("takeover", "list_watch", "false", "{}"),
    ("sites", "enabled", "false", "'on'"),
    ("sites", "capacity_per_s", "0", "'100'"),
    ("sites", "prefer", "{}", "['a']"),
    ("sites", "refuse", "[]", "'read'"),
    ("sites", "budget", "0.85", "'85%'"),
    ("sites", "lost_part", "0.6", "true"),
    ("sites", "lost_after_ms", "1000", "-1"),
    ("sites", "back_after_ms", "1000", "1.5"),
    ("sites", "ramp_from", "0.15", "null"),
    ("sites", "ramp_ms", "14000", "'14s'"),
    ("sites", "stale_ms", "60000", "[]"),
];

/// Returns a folder with a configuration that starts a gateway, the address of its discovery, and the path of the
/// configuration.
fn folder_with_configuration() -> (Folder, Nowhere, String) {
    let (folder, nowhere) = (Folder::new(), Nowhere::new());
    let path = folder.write_file("config.json", &configuration(nowhere.address()).to_string());
    (folder, nowhere, path)
}

/// The error message for a file of this text, without the prefix that all such messages share.
fn error_for(text: &str) -> String {
    let (folder, _nowhere, config) = folder_with_configuration();
    let path = folder.write_file("operators.jsonnet", text);
    let stderr = refusal(
        &folder,
        &[
            ("BALANCER_CONFIG", &config),
            ("IRISROUTER_OPERATORS", &path),
        ],
    );
    let rest = stderr
        .strip_prefix("irisrouter: FOLDER/operators.jsonnet: ")
        .expect(&stderr);
    assert!(
        stderr.ends_with('\n') && !stderr.ends_with("\n\n"),
        "{stderr:?}"
    );
    rest.trim_end().to_string()
}

#[test]
fn a_file_that_sets_every_key_to_a_value_other_than_its_default_is_accepted() {
    for (section, key, _, _) in KEYS {
        let (_, rest) = ALL_KEYS.split_once(&format!("  {section}: {{")).unwrap();
        let (body, _) = rest.split_once("\n  },").unwrap();
        assert!(body.contains(&format!("\n    {key}: ")), "{section}/{key}");
    }
    let (folder, nowhere) = (Folder::new(), Nowhere::new());
    let (config, _all) = fleet_configuration(&nowhere, 1);
    let config = folder.write_file("config.json", &config.to_string());
    let path = folder.write_file("operators.jsonnet", ALL_KEYS);
    let program = Program::start(
        &[
            ("BALANCER_CONFIG", &config),
            ("IRISROUTER_OPERATORS", &path),
        ],
        None,
    );
    let _ = program.address();
    let started = program.stderr.update(|s| s.text.clone());
    let usual = ["listens on", "operators call", "discovery: "];
    let lines = started
        .lines()
        .filter(|l| usual.iter().all(|u| !l.contains(u)));
    let generation = program.rest_of_line("generation ");
    let lines: Vec<&str> = lines.collect();
    assert_snapshot!(lines.join("\n").replace(&generation, "GENERATION"), @r#"
    irisrouter: membership: on, gateway 0 of 1, generation GENERATION
    irisrouter: write intents: on, keyed writes are recorded with other gateways before they are sent
    irisrouter: leases: on, with leases of 500 ms
    irisrouter: site failover: on, for a, b
    irisrouter: endpoint watch: off, as the endpoint list is pushed to each gateway
    "#);
}

#[test]
fn a_file_with_every_key_at_its_default_a_file_without_keys_and_no_file_start_the_same_gateway() {
    let sections = ["membership", "takeover", "sites"].map(|section| {
        let keys = KEYS
            .iter()
            .filter(|k| k.0 == section)
            .map(|(_, key, default, _)| format!("{key}: {default}"));
        format!("{section}: {{ {} }}", keys.collect::<Vec<_>>().join(", "))
    });
    let texts = [
        format!("{{ {} }}", sections.join(", ")),
        "{}".to_string(),
        "{ membership: {}, takeover: {}, sites: {} }".to_string(),
        "local on = false; { membership: { enabled: on } }".to_string(),
        "function(on=false) { membership: { enabled: on } }".to_string(),
        include_str!("../../deploy/operators.jsonnet").to_string(),
    ];
    let (folder, nowhere) = (Folder::new(), Nowhere::new());
    let (config, _all) = fleet_configuration(&nowhere, 1);
    let config = folder.write_file("config.json", &config.to_string());
    let files = texts.iter().enumerate();
    let files: Vec<String> = files
        .map(|(n, text)| folder.write_file(&format!("{n}.jsonnet"), text))
        .collect();
    // An empty variable names no file.
    for path in files.iter().map(String::as_str).chain([""]) {
        let program = Program::start(
            &[("BALANCER_CONFIG", &config), ("IRISROUTER_OPERATORS", path)],
            None,
        );
        let _ = program.address();
        let stderr = program.stderr.update(|s| s.text.clone());
        // The program may already have failed to connect to discovery, because nothing listens there.
        let lines = stderr.lines().filter(|l| !l.contains("discovery: "));
        let lines: Vec<&str> = lines.map(|l| l.rsplit_once(' ').unwrap().0).collect();
        assert_eq!(
            lines,
            ["irisrouter: operators call", "irisrouter: n0 listens on"],
            "{path}"
        );
    }
}

/// Guards against a changed default: the messages for a feature that lacks another one, or has only one value of a
/// pair, would change with it.
#[test]
fn features_that_need_others_are_refused_with_all_that_is_missing() {
    let texts = [
        "{ takeover: { enabled: true } }",
        "{ sites: { enabled: true } }",
        "{ sites: { enabled: true }, membership: { enabled: true }, takeover: { enabled: true } }",
        "{ sites: { enabled: true, capacity_per_s: 1 }, takeover: { enabled: true } }",
    ];
    assert_snapshot!(texts.map(error_for).join("\n"), @r#"
    not taken:
      /takeover/enabled: needs /membership/enabled
    not taken:
      /sites/enabled: needs /takeover/enabled
      /sites/capacity_per_s: what a host of size one bears has to be given
    not taken:
      /sites/capacity_per_s: what a host of size one bears has to be given
    not taken:
      /takeover/enabled: needs /membership/enabled
    "#);
}

#[test]
fn a_misspelt_key_is_named_with_its_place() {
    let mut messages = Vec::new();
    for section in ["membership", "takeover", "sites"] {
        messages.push(error_for(&format!("{{ {section}s: {{}} }}")));
    }
    for (section, key, default, _) in KEYS {
        messages.push(error_for(&format!(
            "{{ {section}: {{ {key}_: {default} }} }}"
        )));
    }
    messages.push(error_for(
        "{ membership: { colour: 1, enabeld: true }, size: 2 }",
    ));
    assert_snapshot!(messages.join("\n"), @r#"
    not taken:
      (the whole): Additional properties are not allowed ('memberships' was unexpected)
    not taken:
      (the whole): Additional properties are not allowed ('takeovers' was unexpected)
    not taken:
      (the whole): Additional properties are not allowed ('sitess' was unexpected)
    not taken:
      /membership: Additional properties are not allowed ('enabled_' was unexpected)
    not taken:
      /membership: Additional properties are not allowed ('probe_period_ms_' was unexpected)
    not taken:
      /membership: Additional properties are not allowed ('stall_ms_' was unexpected)
    not taken:
      /takeover: Additional properties are not allowed ('enabled_' was unexpected)
    not taken:
      /takeover: Additional properties are not allowed ('lease_ms_' was unexpected)
    not taken:
      /takeover: Additional properties are not allowed ('fence_' was unexpected)
    not taken:
      /takeover: Additional properties are not allowed ('writes_' was unexpected)
    not taken:
      /takeover: Additional properties are not allowed ('list_watch_' was unexpected)
    not taken:
      /sites: Additional properties are not allowed ('enabled_' was unexpected)
    not taken:
      /sites: Additional properties are not allowed ('capacity_per_s_' was unexpected)
    not taken:
      /sites: Additional properties are not allowed ('prefer_' was unexpected)
    not taken:
      /sites: Additional properties are not allowed ('refuse_' was unexpected)
    not taken:
      /sites: Additional properties are not allowed ('budget_' was unexpected)
    not taken:
      /sites: Additional properties are not allowed ('lost_part_' was unexpected)
    not taken:
      /sites: Additional properties are not allowed ('lost_after_ms_' was unexpected)
    not taken:
      /sites: Additional properties are not allowed ('back_after_ms_' was unexpected)
    not taken:
      /sites: Additional properties are not allowed ('ramp_from_' was unexpected)
    not taken:
      /sites: Additional properties are not allowed ('ramp_ms_' was unexpected)
    not taken:
      /sites: Additional properties are not allowed ('stale_ms_' was unexpected)
    not taken:
      /membership: Additional properties are not allowed ('colour', 'enabeld' were unexpected)
      (the whole): Additional properties are not allowed ('size' was unexpected)
    "#);
}

#[test]
fn a_value_of_another_type_is_named_with_its_place_and_the_type_that_is_wanted() {
    let mut messages: Vec<String> = KEYS
        .iter()
        .map(|(section, key, _, wrong)| {
            error_for(&format!("{{ {section}: {{ {key}: {wrong} }} }}"))
        })
        .collect();
    let whole = [
        "[]",
        "'operators'",
        "null",
        "{ membership: true }",
        "{ takeover: [] }",
        "{ sites: null }",
        "{ sites: { prefer: { a: 'b' } } }",
        "{ sites: { prefer: { a: [1] } } }",
        "{ sites: { refuse: ['read', 2] } }",
    ];
    messages.extend(whole.map(error_for));
    assert_snapshot!(messages.join("\n"), @r#"
    not taken:
      /membership/enabled: "yes" is not of type "boolean"
    not taken:
      /membership/probe_period_ms: "1s" is not of type "integer"
    not taken:
      /membership/stall_ms: 2.5 is not of type "integer"
    not taken:
      /takeover/enabled: 0 is not of type "boolean"
    not taken:
      /takeover/lease_ms: true is not of type "integer"
    not taken:
      /takeover/fence: null is not of type "boolean"
    not taken:
      /takeover/writes: [] is not of type "boolean"
    not taken:
      /takeover/list_watch: {} is not of type "boolean"
    not taken:
      /sites/enabled: "on" is not of type "boolean"
    not taken:
      /sites/capacity_per_s: "100" is not of type "number"
    not taken:
      /sites/prefer: ["a"] is not of type "object"
    not taken:
      /sites/refuse: "read" is not of type "array"
    not taken:
      /sites/budget: "85%" is not of type "number"
    not taken:
      /sites/lost_part: true is not of type "number"
    not taken:
      /sites/lost_after_ms: -1 is less than the minimum of 0
    not taken:
      /sites/back_after_ms: 1.5 is not of type "integer"
    not taken:
      /sites/ramp_from: null is not of type "number"
    not taken:
      /sites/ramp_ms: "14s" is not of type "integer"
    not taken:
      /sites/stale_ms: [] is not of type "integer"
    not taken:
      (the whole): [] is not of type "object"
    not taken:
      (the whole): "operators" is not of type "object"
    not taken:
      (the whole): null is not of type "object"
    not taken:
      /membership: true is not of type "object"
    not taken:
      /takeover: [] is not of type "object"
    not taken:
      /sites: null is not of type "object"
    not taken:
      /sites/prefer/a: "b" is not of type "array"
    not taken:
      /sites/prefer/a/0: 1 is not of type "string"
    not taken:
      /sites/refuse/1: 2 is not of type "string"
    "#);
}

#[test]
fn a_value_out_of_bounds_is_named_with_its_bound() {
    let texts = [
        "{ membership: { probe_period_ms: 9 } }",
        "{ membership: { probe_period_ms: 0 } }",
        "{ membership: { probe_period_ms: -10 } }",
        "{ takeover: { lease_ms: 99 } }",
        "{ takeover: { lease_ms: 60001 } }",
        "{ takeover: { lease_ms: 1e30 } }",
        "{ membership: { enabled: true }, takeover: { enabled: true }, sites: { enabled: true, capacity_per_s: -1 } }",
    ];
    assert_snapshot!(texts.map(error_for).join("\n"), @r#"
    not taken:
      /membership/probe_period_ms: at least 10 ms: probes would crowd the socket
    not taken:
      /membership/probe_period_ms: at least 10 ms: probes would crowd the socket
      /membership: probe_period_ms: must be greater than zero
    not taken:
      /membership/probe_period_ms: -10 is less than the minimum of 0
    not taken:
      /takeover: lease_ms: at least 100: renewals of shorter leases would overload the peer socket
    not taken:
      /takeover: lease_ms: at most 60000: the task of a dead holder waits that long for another holder
    not taken:
      /takeover/lease_ms: invalid type: floating point `1e+30`, expected u64
    not taken:
      /sites/capacity_per_s: what a host of size one bears has to be given
    "#);
}

/// Checks that need the platform's configuration, or that are made only when plans for sites are on.
#[test]
fn sites_that_do_not_fit_the_configuration_stop_the_start_with_the_reason() {
    let (folder, nowhere) = (Folder::new(), Nowhere::new());
    let (config, _all) = fleet_configuration(&nowhere, 1);
    let config = folder.write_file("config.json", &config.to_string());
    let sites = [
        json!({"prefer": {"c": ["a"]}}),
        json!({"prefer": {"a": ["c"]}}),
        json!({"prefer": {"a": ["a"]}}),
        json!({"refuse": ["report"]}),
        json!({"budget": 0}),
        json!({"budget": 1.01}),
        json!({"lost_part": 0}),
        json!({"lost_part": 2}),
        json!({"ramp_from": -0.1}),
        json!({"ramp_from": 1.5}),
        json!({"ramp_ms": 0}),
    ];
    let messages = sites.map(|sites| {
        let mut site_settings = json!({"enabled": true, "capacity_per_s": 100});
        site_settings.as_object_mut()
            .unwrap()
            .extend(sites.as_object().unwrap().clone());
        let all =
            json!({"membership": {"enabled": true}, "takeover": {"enabled": true}, "sites": site_settings});
        let path = folder.write_file("operators.jsonnet", &all.to_string());
        let stderr = refusal(
            &folder,
            &[
                ("BALANCER_CONFIG", &config),
                ("IRISROUTER_OPERATORS", &path),
            ],
        );
        stderr.lines().last().unwrap().to_string()
    });
    assert_snapshot!(messages.join("\n"), @r#"
    irisrouter: /sites/prefer: the configuration has no c, only a, b
    irisrouter: /sites/prefer/a: the configuration has no c, only a, b
    irisrouter: /sites/prefer: site 0 names itself, or one that is not there
    irisrouter: /sites/refuse: the configuration has no report, only read, order, once, own
    irisrouter: /sites/budget: over 0, at most 1
    irisrouter: /sites/budget: over 0, at most 1
    irisrouter: /sites/lost_part: over 0, at most 1
    irisrouter: /sites/lost_part: over 0, at most 1
    irisrouter: /sites/ramp_from: over 0, at most 1
    irisrouter: /sites/ramp_from: over 0, at most 1
    irisrouter: /sites/ramp_ms: must be greater than zero
    "#);
    // With plans off none of these values is checked.
    let off: Value =
        json!({"sites": {"prefer": {"c": ["a"]}, "refuse": ["report"], "budget": 7, "ramp_ms": 0}});
    let path = folder.write_file("operators.jsonnet", &off.to_string());
    assert_eq!(
        outcome(
            &folder,
            &[
                ("BALANCER_CONFIG", &config),
                ("IRISROUTER_OPERATORS", &path)
            ]
        ),
        "starts"
    );
}

#[test]
fn an_unreadable_file_is_refused_with_its_path() {
    let (folder, _nowhere, config) = folder_with_configuration();
    let large = folder.write_file("large.jsonnet", &format!("{{}}{}", " ".repeat(4 << 20)));
    let text = folder.path_of("bytes.jsonnet");
    std::fs::write(&text, b"{ membership: '\xff\xfe' }").unwrap();
    let paths = [
        folder.path_of("missing.jsonnet"),
        folder.path_of(""),
        folder.path_of("config.json/below"),
        large,
        text,
    ];
    let messages = paths.map(|path| {
        refusal(
            &folder,
            &[
                ("BALANCER_CONFIG", &config),
                ("IRISROUTER_OPERATORS", &path),
            ],
        )
    });
    assert_snapshot!(messages.join(""), @r#"
    irisrouter: FOLDER/missing.jsonnet: No such file or directory (os error 2)
    irisrouter: FOLDER/: no file of 4194304 bytes at most
    irisrouter: FOLDER/config.json/below: Not a directory (os error 20)
    irisrouter: FOLDER/large.jsonnet: no file of 4194304 bytes at most
    irisrouter: FOLDER/bytes.jsonnet: imported file is not valid utf-8: "FOLDER/bytes.jsonnet"
    "#);
}

/// The text with each run of whitespace replaced by one space: the column width of a trace depends on the length of the
/// path.
fn without_columns(text: &str) -> String {
    let lines = text
        .lines()
        .map(|l| l.split_whitespace().collect::<Vec<_>>().join(" "));
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn a_file_that_is_not_jsonnet_or_fails_is_refused_with_the_place_of_the_error() {
    let texts = [
        "{ membership: ",
        "membership:\n  enabled: true\n",
        "{ membership: { enabled: on } }",
        "{ membership: error 'not yet' }",
        "import 'missing.libsonnet'",
        "{ membership: { enabled: 1 / 0 } }",
        "function(fleet) { membership: { enabled: fleet } }",
    ];
    let messages = texts.map(|text| format!("---\n{}", without_columns(&error_for(text))));
    assert_snapshot!(messages.join("\n"), @r#"
    ---
    syntax error, expected one of one of "(", "[", "{", <identifier>, <number>, <string>, <unary op>, <whitespace>, got "EOF"
    FOLDER/operators.jsonnet:1:15
    ---
    syntax error, expected one of one of "(", ".", "[", "{", <binary op>, <whitespace>, EOF, got ":"
    FOLDER/operators.jsonnet:1:11
    ---
    variable is not defined: on
    FOLDER/operators.jsonnet:1:26-29: variable <on>
    : field <enabled> manifestification
    : field <membership> manifestification
    ---
    runtime error: not yet
    FOLDER/operators.jsonnet:1:15-31: error statement
    : field <membership> manifestification
    ---
    can't resolve missing.libsonnet from FOLDER
    FOLDER/operators.jsonnet:1:1-28: import "missing.libsonnet"
    ---
    attempted to divide by zero
    : field <enabled> manifestification
    : field <membership> manifestification
    ---
    founction argument is not passed: fleet
    : during TLA call
    "#);
}

#[test]
fn a_file_with_infinite_recursion_is_refused_with_its_call_trace() {
    let message = without_columns(&error_for(
        "local f(x) = f(x + 1) + 1; { membership: { stall_ms: f(0) } }",
    ));
    let lines: Vec<&str> = message.lines().collect();
    assert_eq!(
        lines[0],
        "stack overflow, try to reduce recursion, or set --max-stack to bigger value"
    );
    let calls = lines
        .iter()
        .filter(|l| l.ends_with(": function <f> call"))
        .count();
    assert_eq!((calls, lines.len()), (179, 182), "{message}");
    assert_eq!(
        lines[180..],
        [
            ": field <stall_ms> manifestification",
            ": field <membership> manifestification"
        ]
    );
}

/// The evaluator panics on an empty file in a build with overflow checks, as this one is, so that its panic message
/// precedes the error.
#[test]
fn a_file_that_is_empty_is_refused() {
    let (folder, _nowhere, config) = folder_with_configuration();
    let path = folder.write_file("operators.jsonnet", "");
    let stderr = refusal(
        &folder,
        &[
            ("BALANCER_CONFIG", &config),
            ("IRISROUTER_OPERATORS", &path),
        ],
    );
    let last = stderr.lines().last().unwrap();
    assert_eq!(
        last, "irisrouter: FOLDER/operators.jsonnet: the evaluation broke down",
        "{stderr}"
    );
}
