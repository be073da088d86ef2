//! The operators' console: each call, and the exact text of its answer.

use crate::harness::{
    discovery::Discovery,
    host::{Host, HostReply},
    TEST_TIMEOUT,
};
use crate::program::{configuration, Folder, Nowhere, Program, POLL_INTERVAL};
use insta::assert_snapshot;
use serde_json::{json, Value};
use std::net::{SocketAddr, UdpSocket};
use std::thread::{scope, sleep};
use std::time::Instant;

/// Returns the configuration of the first of `gateways` gateways, in the first of two zones, and the socket that
/// receives the datagrams addressed to all gateways. The other gateways never answer.
pub fn fleet_configuration(nowhere: &Nowhere, gateways: usize) -> (Value, UdpSocket) {
    let all = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut config = configuration(nowhere.address());
    // No other gateway uses the first address; nothing listens at the others.
    let mut peers = vec!["127.0.0.1:0".to_string()];
    peers.extend((1..gateways).map(|n| format!("127.0.1.{n}:1")));
    config["peer_listen"] = json!("127.0.0.1:0");
    config["peers"] = json!(peers);
    config["peers_all"] = json!(all.local_addr().unwrap().to_string());
    let settings = &mut config["settings"];
    settings["Balancers"] = json!(gateways);
    settings["Me"] = json!(0);
    settings["Bounds"]["Peers"] = json!(true);
    settings["Zones"] = json!(["a", "b"]);
    (config, all)
}

fn start(folder: &Folder, config: &Value, operators: &str) -> Program {
    let config = folder.write_file("config.json", &config.to_string());
    let operators = folder.write_file("operators.jsonnet", operators);
    Program::start(
        &[
            ("BALANCER_CONFIG", &config),
            ("IRISROUTER_OPERATORS", &operators),
        ],
        None,
    )
}

const ALL_FEATURES_ON: &str = "{
    membership: { enabled: true, probe_period_ms: 200, stall_ms: 500 },
    takeover: { enabled: true, lease_ms: 500 },
    sites: { enabled: true, capacity_per_s: 100 },
}";

fn reply_with_row(_: usize, _: &str) -> HostReply {
    HostReply::Row("a1b2")
}

/// Repeats the call until its answer fulfils the condition, and returns that answer.
fn call_until(program: &Program, call: &str, condition: impl Fn(&str) -> bool) -> String {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        let answer = program.call(call);
        if condition(&answer) {
            return answer;
        }
        assert!(Instant::now() < deadline, "timed out: {call}: {answer}");
        sleep(POLL_INTERVAL);
    }
}

/// The text with each run of digits replaced by N.
fn without_digits(text: &str) -> String {
    let mut out = String::new();
    for c in text.chars() {
        match c {
            c if !c.is_ascii_digit() => out.push(c),
            _ if !out.ends_with('N') => out.push('N'),
            _ => {}
        }
    }
    out
}

#[test]
fn answers_of_all_calls_with_all_features_off() {
    let (folder, nowhere) = (Folder::new(), Nowhere::new());
    let program = Program::with(&folder, &configuration(nowhere.address()));
    let _ = program.address();
    let calls = [
        "readyz\n",
        "members\n",
        "duties\n",
        "plan\n",
        "drains\n",
        "drain s-1\n",
        "undrain s-1\n",
        "drain \n",
        "activate\n",
        "evacuate\n",
        "readyz\n",
        "activate\r\n",
        "readyz\r\n",
    ];
    let answers = calls.map(|call| format!("{call:?} {:?}", program.call(call)));
    assert_snapshot!(answers.join("\n"), @r#"
    "readyz\n" "+OK ready\n"
    "members\n" "-ERR membership is off\n"
    "duties\n" "-ERR takeover is off\n"
    "plan\n" "-ERR site plans are off\n"
    "drains\n" "-ERR takeover is off\n"
    "drain s-1\n" "-ERR takeover is off\n"
    "undrain s-1\n" "-ERR takeover is off\n"
    "drain \n" "-ERR takeover is off\n"
    "activate\n" "+OK clients are welcome\n"
    "evacuate\n" "+OK clients are sent away\n"
    "readyz\n" "-ERR drained\n"
    "activate\r\n" "+OK clients are welcome\n"
    "readyz\r\n" "+OK ready\n"
    "#);
    assert_eq!(
        program.rest_of_line("irisrouter: console: clients are sent"),
        " away"
    );
    assert_eq!(
        program.rest_of_line("irisrouter: console: clients are wel"),
        "come"
    );
}

#[test]
fn an_unknown_call_is_answered_with_the_list_of_calls() {
    let (folder, nowhere) = (Folder::new(), Nowhere::new());
    let program = Program::with(&folder, &configuration(nowhere.address()));
    let unknown = program.call("help\n");
    let calls =
        "readyz, evacuate, activate, members, duties, plan, drains, drain HOST or undrain HOST";
    assert_eq!(unknown, format!("-ERR unknown call: {calls}\n"));
    for call in [
        "\n",
        "drain\n",
        "undrain\n",
        "DRAIN s-1\n",
        " readyz\n",
        "readyz \n",
        "drains s-1\n",
        "\u{fffd}\n",
    ] {
        assert_eq!(program.call(call), unknown, "{call:?}");
    }
    // Only the first line is answered, whatever follows it.
    assert_eq!(program.call("help\nreadyz\n"), unknown);
}

#[test]
fn a_line_of_127_bytes_is_read_and_one_of_128_is_too_long() {
    let (folder, nowhere) = (Folder::new(), Nowhere::new());
    let program = Program::with(&folder, &configuration(nowhere.address()));
    assert_eq!(
        program.call(&format!("drain {}\n", "x".repeat(121))),
        "-ERR takeover is off\n"
    );
    assert_eq!(
        program.call(&format!("drain {}\n", "x".repeat(122))),
        "-ERR the line is too long\n"
    );
}

/// A process that inherits its listener waits for discovery for up to one second before it accepts clients.
#[test]
fn a_process_that_waits_for_discovery_answers_starting_and_then_ready() {
    // On a busy machine that second may have passed before the first call arrives.
    let found = (0..10).any(|_| {
        let folder = Folder::new();
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let silent = Discovery::start(vec![]);
        silent.published.update(|p| p.revision = 0);
        let config = folder.write_file("config.json", &configuration(silent.address).to_string());
        let variables = [
            ("BALANCER_CONFIG", &*config),
            ("BALANCER_PASSED_SOCKET", "3"),
        ];
        let program = Program::start(&variables, Some(&listener));
        let first = program.call("readyz\n");
        let ready = call_until(&program, "readyz\n", |a| a != "-ERR starting\n");
        assert_eq!(ready, "+OK ready\n");
        first == "-ERR starting\n"
    });
    assert!(found, "no process answered that it starts");
}

#[test]
fn a_stopping_process_answers_stopping_whether_it_was_active_or_drained() {
    let (folder, nowhere) = (Folder::new(), Nowhere::new());
    for before in ["activate\n", "evacuate\n"] {
        let program = Program::with(&folder, &configuration(nowhere.address()));
        // The stopping process waits for its clients to disconnect, up to a time limit.
        let _client = program.client();
        program.call(before);
        program.signal("-TERM");
        assert_eq!(program.rest_of_line("irisrouter: stop"), "ping");
        assert_eq!(program.call("readyz\n"), "-ERR stopping\n");
        assert_eq!(program.call("activate\n"), "-ERR stopping\n");
        assert_eq!(program.call("evacuate\n"), "+OK clients are sent away\n");
        assert_eq!(program.call("readyz\n"), "-ERR stopping\n");
        assert_eq!(program.wait_for_exit().0, Some(0));
    }
}

/// Sets the list that the gateway knows from its start to these hosts.
fn set_known_hosts(config: &mut Value, hosts: &[(&str, SocketAddr, &str, f64)]) {
    let members = hosts.iter().map(|(id, at, zone, size)| {
        json!({"id": id, "host_port": at.to_string(), "locality": zone, "cell": 2, "phase": "in_service", "size": size})
    });
    config["known"] =
        json!({"revision": 1, "complete": true, "members": members.collect::<Vec<_>>()});
}

#[test]
fn a_single_gateway_with_all_features_on_answers_with_its_members_and_duties_and_no_plan() {
    let (folder, nowhere) = (Folder::new(), Nowhere::new());
    let host = Host::start("s-1", true, reply_with_row);
    let (mut config, _all) = fleet_configuration(&nowhere, 1);
    set_known_hosts(&mut config, &[("s-1", host.address, "a", 1.0)]);
    let program = start(&folder, &config, ALL_FEATURES_ON);
    let members = program.call("members\n");
    let expected =
        "+OK membership reachable=N of N majority=true alone=true answered=N/N N:alive/N/N/Ns/-\n";
    assert_eq!(without_digits(&members), expected);
    assert!(
        members.starts_with("+OK membership reachable=1 of 1 "),
        "{members}"
    );
    let owned = call_until(&program, "duties\n", |a| {
        a.starts_with("+OK duties owned=2 ")
    });
    assert_eq!(without_digits(&owned), "+OK duties owned=N N:N plan:N\n");
    assert!(
        owned.starts_with("+OK duties owned=2 2:"),
        "the set of the list: {owned}"
    );
    assert_eq!(program.call("plan\n"), "+OK plan none in force\n");
    assert_eq!(program.call("drains\n"), "+OK drains\n");
    assert_eq!(
        program.call("drain s-9\n"),
        "-ERR the list names no host s-9\n"
    );
    assert_eq!(program.call("undrain \n"), "-ERR the list names no host \n");
    assert_eq!(
        program.call("drain s-1\n"),
        "-ERR s-1 is the last host of its set in service\n"
    );
}

#[test]
fn a_host_is_drained_and_put_back_by_a_single_gateway() {
    let (folder, nowhere) = (Folder::new(), Nowhere::new());
    let hosts = [
        Host::start("s-1", true, reply_with_row),
        Host::start("s-2", false, reply_with_row),
    ];
    let (mut config, _all) = fleet_configuration(&nowhere, 1);
    set_known_hosts(
        &mut config,
        &[
            ("s-1", hosts[0].address, "a", 1.0),
            ("s-2", hosts[1].address, "b", 1.0),
        ],
    );
    let program = start(&folder, &config, ALL_FEATURES_ON);
    let answer = program.call("drain s-2\n");
    assert_eq!(
        answer,
        "+OK s-2 is to be out of service; 1 of 1 gateways follow\n"
    );
    let done = call_until(&program, "drains\n", |a| a.contains("done"));
    assert_eq!(done, "+OK drains s-2:done,unheard=0\n");
    assert_eq!(
        program.call("drain s-1\n"),
        "-ERR s-1 is the last host of its set in service\n"
    );
    assert_eq!(
        program.call("undrain s-2\r\n"),
        "+OK s-2 is to be back in service; 1 of 1 gateways follow\n"
    );
    let back = call_until(&program, "drains\n", |a| a.contains("back"));
    assert_eq!(back, "+OK drains s-2:back\n");
    assert_eq!(
        program.call("drain s-1\n"),
        "+OK s-1 is to be out of service; 1 of 1 gateways follow\n"
    );
    let both = call_until(&program, "drains\n", |a| {
        a.contains("done") && a.contains("back")
    });
    let mut words: Vec<&str> = both.trim_end().split(' ').skip(2).collect();
    words.sort_unstable();
    assert_eq!(words, ["s-1:done,unheard=0", "s-2:back"]);
}

#[test]
fn a_host_with_an_open_request_is_listed_as_draining_with_the_number_of_open_requests() {
    let (folder, nowhere) = (Folder::new(), Nowhere::new());
    let slow = |_, text: &str| {
        if text.contains("slow") {
            HostReply::NoReply
        } else {
            HostReply::Row("a1b2")
        }
    };
    let hosts = [
        Host::start("s-1", true, slow),
        Host::start("s-2", false, reply_with_row),
    ];
    let (mut config, _all) = fleet_configuration(&nowhere, 1);
    set_known_hosts(
        &mut config,
        &[
            ("s-1", hosts[0].address, "a", 1.0),
            ("s-2", hosts[1].address, "b", 1.0),
        ],
    );
    let program = start(&folder, &config, ALL_FEATURES_ON);
    let mut client = program.client();
    // A keyed write is sent to the primary and stays open there.
    client.send(&crate::harness::messages::query_message(
        &crate::harness::messages::statement("order", 15_000).replace("7f3a", "slow"),
    ));
    hosts[0].wait_for_event("slow");
    assert_eq!(
        program.call("drain s-1\n"),
        "+OK s-1 is to be out of service; 1 of 1 gateways follow\n"
    );
    let answer = call_until(&program, "drains\n", |a| a.contains("draining,open=1"));
    assert_eq!(answer, "+OK drains s-1:draining,open=1,unheard=0\n");
}

#[test]
fn a_drain_command_without_a_majority_is_reported_as_such_and_a_second_command_replaces_it() {
    let (folder, nowhere) = (Folder::new(), Nowhere::new());
    let hosts = [
        Host::start("s-1", true, reply_with_row),
        Host::start("s-2", false, reply_with_row),
    ];
    let (mut config, _all) = fleet_configuration(&nowhere, 3);
    set_known_hosts(
        &mut config,
        &[
            ("s-1", hosts[0].address, "a", 1.0),
            ("s-2", hosts[1].address, "b", 1.0),
        ],
    );
    let program = start(&folder, &config, ALL_FEATURES_ON);
    let (first, second) = scope(|s| {
        let first = s.spawn(|| program.call("drain s-2\n"));
        program.rest_of_line("drains: s-2 is taken out of service by the command of gateway 0");
        let second = program.call("undrain s-2\n");
        (first.join().unwrap(), second)
    });
    assert_eq!(first, "-ERR another word on that host came in between\n");
    let expected = "-ERR s-2 is to be back in service; 1 of 3 gateways follow, which is no majority: it holds \
                there, and goes on being told\n";
    assert_eq!(second, expected);
    assert_eq!(program.call("drains\n"), "+OK drains s-2:elsewhere\n");
    let members = call_until(&program, "members\n", |a| a.contains("majority=false"));
    let expected =
        "+OK membership reachable=N of N majority=false alone=true answered=N/N N:alive/N/N/Ns/-\n";
    assert_eq!(without_digits(&members), expected);
    assert!(
        members.starts_with("+OK membership reachable=1 of 3 "),
        "{members}"
    );
    assert_eq!(program.call("duties\n"), "+OK duties owned=0 \n");
}

/// Also guards against changed defaults of site plans: a budget of 0.85 and a ramp from 0.15.
#[test]
fn a_zone_whose_hosts_are_silent_is_lost_in_the_plan() {
    let (folder, nowhere) = (Folder::new(), Nowhere::new());
    let (host, silent) = (Host::start("s-1", true, reply_with_row), Nowhere::new());
    let (mut config, _all) = fleet_configuration(&nowhere, 1);
    set_known_hosts(
        &mut config,
        &[
            ("s-1", host.address, "a", 1.0),
            ("s-2", silent.address(), "b", 2.0),
        ],
    );
    let program = start(&folder, &config, ALL_FEATURES_ON);
    // The first plan that names the zone, which the gateway follows as soon as it is made.
    let plan = call_until(&program, "plan\n", |a| a.contains("b=lost"));
    let (head, rest) = plan.split_once(" a=").unwrap();
    assert_eq!(without_digits(head), "+OK plan N.N");
    assert_eq!(
        rest,
        "up,budget=85,ramp=1.00,goes=a:1.00 b=lost,budget=0,ramp=0.15,goes=b:1.00 admits= pause=2000ms\n"
    );
}
