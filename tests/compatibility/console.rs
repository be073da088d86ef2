//! The operators' console: every call, and the exact text of its answer.

use crate::harness::{
    discovery::Discovery,
    host::{Host, HostReply},
    TEST_TIMEOUT,
};
use crate::program::{configuration, Folder, Nowhere, Program, LOOK};
use insta::assert_snapshot;
use serde_json::{json, Value};
use std::net::{SocketAddr, UdpSocket};
use std::thread::{scope, sleep};
use std::time::Instant;

/// A configuration of the first of so many gateways, the others of which are silent, in the first of two zones; and the
/// socket that hears what is sent to all.
pub fn fleet(nowhere: &Nowhere, gateways: usize) -> (Value, UdpSocket) {
    let all = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut config = configuration(nowhere.address());
    // The own address is not asked for by anybody; nobody listens at the others.
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
    let config = folder.file("config.json", &config.to_string());
    let operators = folder.file("operators.jsonnet", operators);
    Program::start(
        &[
            ("BALANCER_CONFIG", &config),
            ("IRISROUTER_OPERATORS", &operators),
        ],
        None,
    )
}

const ON: &str = "{
    membership: { enabled: true, probe_period_ms: 200, stall_ms: 500 },
    takeover: { enabled: true, lease_ms: 500 },
    sites: { enabled: true, capacity_per_s: 100 },
}";

fn row(_: usize, _: &str) -> HostReply {
    HostReply::Row("a1b2")
}

/// The answer once it is as wanted.
fn call_until(program: &Program, call: &str, wanted: impl Fn(&str) -> bool) -> String {
    let by = Instant::now() + TEST_TIMEOUT;
    loop {
        let answer = program.call(call);
        if wanted(&answer) {
            return answer;
        }
        assert!(Instant::now() < by, "waited in vain: {call}: {answer}");
        sleep(LOOK);
    }
}

/// The text with every run of digits as N.
fn without_figures(text: &str) -> String {
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
fn with_all_features_off_each_call_has_its_text() {
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
fn an_unknown_call_is_told_which_calls_there_are() {
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
    // One line is answered, whatever follows it.
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

/// A process that inherits its listener waits for discovery for a second before it takes clients.
#[test]
fn a_process_that_waits_for_discovery_says_that_it_starts_and_then_that_it_is_ready() {
    // On a busy machine the second may be over before the first call comes in.
    let found = (0..10).any(|_| {
        let folder = Folder::new();
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let silent = Discovery::start(vec![]);
        silent.published.update(|p| p.revision = 0);
        let config = folder.file("config.json", &configuration(silent.address).to_string());
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
    assert!(found, "none said that it starts");
}

#[test]
fn a_process_that_stops_says_so_whether_it_serves_or_sends_clients_away() {
    let (folder, nowhere) = (Folder::new(), Nowhere::new());
    for before in ["activate\n", "evacuate\n"] {
        let program = Program::with(&folder, &configuration(nowhere.address()));
        // It stays for as long as a client does, within bounds.
        let _client = program.client();
        program.call(before);
        program.signal("-TERM");
        assert_eq!(program.rest_of_line("irisrouter: stop"), "ping");
        assert_eq!(program.call("readyz\n"), "-ERR stopping\n");
        assert_eq!(program.call("activate\n"), "-ERR stopping\n");
        assert_eq!(program.call("evacuate\n"), "+OK clients are sent away\n");
        assert_eq!(program.call("readyz\n"), "-ERR stopping\n");
        assert_eq!(program.end().0, Some(0));
    }
}

/// Hosts of two zones in a list that the gateway knows from its start.
fn with_hosts(config: &mut Value, hosts: &[(&str, SocketAddr, &str, f64)]) {
    let members = hosts.iter().map(|(id, at, zone, size)| {
        json!({"id": id, "host_port": at.to_string(), "locality": zone, "cell": 2, "phase": "in_service", "size": size})
    });
    config["known"] =
        json!({"revision": 1, "complete": true, "members": members.collect::<Vec<_>>()});
}

#[test]
fn a_gateway_alone_with_all_features_on_tells_its_members_its_duties_and_that_no_plan_is_in_force()
{
    let (folder, nowhere) = (Folder::new(), Nowhere::new());
    let host = Host::start("s-1", true, row);
    let (mut config, _all) = fleet(&nowhere, 1);
    with_hosts(&mut config, &[("s-1", host.address, "a", 1.0)]);
    let program = start(&folder, &config, ON);
    let members = program.call("members\n");
    let told =
        "+OK membership reachable=N of N majority=true alone=true answered=N/N N:alive/N/N/Ns/-\n";
    assert_eq!(without_figures(&members), told);
    assert!(
        members.starts_with("+OK membership reachable=1 of 1 "),
        "{members}"
    );
    let owned = call_until(&program, "duties\n", |a| {
        a.starts_with("+OK duties owned=2 ")
    });
    assert_eq!(without_figures(&owned), "+OK duties owned=N N:N plan:N\n");
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
fn a_host_is_drained_and_put_back_by_a_gateway_alone() {
    let (folder, nowhere) = (Folder::new(), Nowhere::new());
    let hosts = [
        Host::start("s-1", true, row),
        Host::start("s-2", false, row),
    ];
    let (mut config, _all) = fleet(&nowhere, 1);
    with_hosts(
        &mut config,
        &[
            ("s-1", hosts[0].address, "a", 1.0),
            ("s-2", hosts[1].address, "b", 1.0),
        ],
    );
    let program = start(&folder, &config, ON);
    let said = program.call("drain s-2\n");
    assert_eq!(
        said,
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
fn a_host_with_a_request_open_is_told_as_draining_with_their_number() {
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
        Host::start("s-2", false, row),
    ];
    let (mut config, _all) = fleet(&nowhere, 1);
    with_hosts(
        &mut config,
        &[
            ("s-1", hosts[0].address, "a", 1.0),
            ("s-2", hosts[1].address, "b", 1.0),
        ],
    );
    let program = start(&folder, &config, ON);
    let mut client = program.client();
    // A keyed write goes to the primary and stays there.
    client.send(&crate::harness::messages::query_message(
        &crate::harness::messages::statement("order", 15_000).replace("7f3a", "slow"),
    ));
    hosts[0].wait_for_event("slow");
    assert_eq!(
        program.call("drain s-1\n"),
        "+OK s-1 is to be out of service; 1 of 1 gateways follow\n"
    );
    let told = call_until(&program, "drains\n", |a| a.contains("draining,open=1"));
    assert_eq!(told, "+OK drains s-1:draining,open=1,unheard=0\n");
}

#[test]
fn a_word_that_no_majority_follows_is_told_as_such_and_a_second_word_takes_its_place() {
    let (folder, nowhere) = (Folder::new(), Nowhere::new());
    let hosts = [
        Host::start("s-1", true, row),
        Host::start("s-2", false, row),
    ];
    let (mut config, _all) = fleet(&nowhere, 3);
    with_hosts(
        &mut config,
        &[
            ("s-1", hosts[0].address, "a", 1.0),
            ("s-2", hosts[1].address, "b", 1.0),
        ],
    );
    let program = start(&folder, &config, ON);
    let (first, second) = scope(|s| {
        let first = s.spawn(|| program.call("drain s-2\n"));
        program.rest_of_line("drains: s-2 is taken out of service by the command of gateway 0");
        let second = program.call("undrain s-2\n");
        (first.join().unwrap(), second)
    });
    assert_eq!(first, "-ERR another word on that host came in between\n");
    let told = "-ERR s-2 is to be back in service; 1 of 3 gateways follow, which is no majority: it holds there, and goes on \
                being told\n";
    assert_eq!(second, told);
    assert_eq!(program.call("drains\n"), "+OK drains s-2:elsewhere\n");
    let members = call_until(&program, "members\n", |a| a.contains("majority=false"));
    let told =
        "+OK membership reachable=N of N majority=false alone=true answered=N/N N:alive/N/N/Ns/-\n";
    assert_eq!(without_figures(&members), told);
    assert!(
        members.starts_with("+OK membership reachable=1 of 3 "),
        "{members}"
    );
    assert_eq!(program.call("duties\n"), "+OK duties owned=0 \n");
}

/// Guards against other default figures of plans, too: a budget of 0.85 and a ramp from 0.15.
#[test]
fn a_zone_whose_hosts_are_silent_is_lost_in_the_plan_that_is_told() {
    let (folder, nowhere) = (Folder::new(), Nowhere::new());
    let (host, silent) = (Host::start("s-1", true, row), Nowhere::new());
    let (mut config, _all) = fleet(&nowhere, 1);
    with_hosts(
        &mut config,
        &[
            ("s-1", host.address, "a", 1.0),
            ("s-2", silent.address(), "b", 2.0),
        ],
    );
    let program = start(&folder, &config, ON);
    // The first plan that names it, which is followed as soon as it is made.
    let plan = call_until(&program, "plan\n", |a| a.contains("b=lost"));
    let (head, rest) = plan.split_once(" a=").unwrap();
    assert_eq!(without_figures(head), "+OK plan N.N");
    assert_eq!(
        rest,
        "up,budget=85,ramp=1.00,goes=a:1.00 b=lost,budget=0,ramp=0.15,goes=b:1.00 admits= pause=2000ms\n"
    );
}
