//! Hand-over between two versions: what a process sends to a newer one, and what it accepts from an older one.
//!
//! `fixtures/hand-over-document.json` is the unmodified line that a process of this version wrote in the deployment
//! below.

use crate::harness::{
    client::Client,
    discovery::Discovery,
    host::{Host, HostReply},
    messages::statement,
    TEST_TIMEOUT,
};
use crate::program::{configuration, Folder, Nowhere, Program, POLL_INTERVAL};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::{UnixListener, UnixStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread::{sleep, spawn};
use std::time::Instant;

const DOCUMENT: &str = include_str!("fixtures/hand-over-document.json");
/// File name of the hand-over socket, in the directory that TMPDIR names.
const SOCKET: &str = "irisrouter.sock";
/// Keys of a member's record that the newer process sets itself and does not take over.
const KEYS_NOT_TAKEN_OVER: [&str; 12] = [
    "group",
    "zone",
    "size",
    "gone",
    "drained",
    "gone_at",
    "outstanding",
    "free_at",
    "silent_since",
    "patience",
    "probe_at",
    "probe_out",
];

fn document() -> Value {
    serde_json::from_str(DOCUMENT).unwrap()
}

fn reply_with_row(_: usize, _: &str) -> HostReply {
    HostReply::Row("a1b2")
}

/// Three hosts: a replica, a primary of another zone that was started later, and one of another group that drains.
struct Deployment {
    hosts: [Host; 3],
}

impl Deployment {
    fn new() -> Self {
        let host = |id, primary| Host::start(id, primary, reply_with_row);
        Deployment {
            hosts: [host("s-1", false), host("s-2", true), host("s-3", false)],
        }
    }

    /// The members of the list in the order of the fixture.
    fn members(&self) -> Vec<Value> {
        let at = |n: usize| self.hosts[n].address.to_string();
        vec![
            json!({"id": "s-1", "host_port": at(0), "locality": "a", "cell": 2, "phase": "in_service", "size": 1.0,
                "up_since_ms": 0.0, "access": "reader"}),
            json!({"id": "s-2", "host_port": at(1), "locality": "b", "cell": 2, "phase": "in_service", "size": 2.5,
                "up_since_ms": 1_700_000_000_000.0, "access": null}),
            json!({"id": "s-3", "host_port": at(2), "locality": "a", "cell": 3, "phase": "terminating", "size": 0.5,
                "up_since_ms": 0.0, "access": null}),
        ]
    }

    /// The fixture with the host addresses of this run.
    fn document(&self) -> Value {
        let mut document = document();
        for (n, host) in self.hosts.iter().enumerate() {
            document["list"]["members"][n]["host_port"] = json!(host.address.to_string());
        }
        document
    }
}

/// The clients' socket and the shared folder that a platform passes to each process of a gateway.
struct Platform {
    folder: Folder,
    listener: TcpListener,
}

impl Platform {
    fn new() -> Self {
        Platform {
            folder: Folder::new(),
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
        }
    }

    fn start(&self, config: &Value) -> Program {
        let path = self.folder.write_file("config.json", &config.to_string());
        let folder = self.folder.path().to_str().unwrap();
        let variables = [
            ("BALANCER_CONFIG", &*path),
            ("BALANCER_PASSED_SOCKET", "3"),
            ("TMPDIR", folder),
        ];
        Program::start(&variables, Some(&self.listener))
    }

    /// Plays the older process: sends the document to the first process that connects. The returned channel yields the
    /// connection, on which the newer process reports what it holds.
    fn play_older(&self, document: &str) -> Receiver<BufReader<UnixStream>> {
        let listener = UnixListener::bind(self.folder.path_of(SOCKET)).unwrap();
        let (sender, connection) = channel();
        let line = format!("{document}\n");
        // The newer process waits for only half a second after it has connected.
        spawn(move || {
            let mut stream = listener.accept().unwrap().0;
            stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
            stream.write_all(line.as_bytes()).unwrap();
            let _ = sender.send(BufReader::new(stream));
        });
        connection
    }

    /// Plays the newer process: returns the line that is handed over, unmodified, and the connection on which it was
    /// received.
    fn play_newer(&self) -> (String, BufReader<UnixStream>) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            // Between two newer processes the socket accepts no connections for a moment.
            if let Ok(stream) = UnixStream::connect(self.folder.path_of(SOCKET)) {
                stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
                let mut stream = BufReader::new(stream);
                let mut line = String::new();
                if stream.read_line(&mut line).is_ok_and(|n| n > 0) {
                    return (line, stream);
                }
            }
            assert!(
                Instant::now() < deadline,
                "no process hands over a document"
            );
            sleep(POLL_INTERVAL);
        }
    }

    /// Requests hand-overs until a document fulfils the condition, and returns that document.
    fn wait_for_document(&self, what: &str, condition: impl Fn(&Value) -> bool) -> Value {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let document: Value = serde_json::from_str(&self.play_newer().0).unwrap();
            if condition(&document) {
                return document;
            }
            assert!(
                Instant::now() < deadline,
                "timed out waiting for {what}: {document}"
            );
            sleep(POLL_INTERVAL);
        }
    }
}

fn line_of(stream: &mut BufReader<UnixStream>) -> Value {
    let mut line = String::new();
    stream.read_line(&mut line).unwrap();
    serde_json::from_str(&line).unwrap()
}

/// The keys and the kinds of the values at every level. Integers and other numbers are different kinds.
fn shape(value: &Value) -> Value {
    match value {
        Value::Object(object) => object.iter().map(|(k, v)| (k.clone(), shape(v))).collect(),
        Value::Array(array) => array.iter().map(shape).collect(),
        Value::Number(n) if n.is_f64() => json!("a number"),
        Value::Number(_) => json!("a whole number"),
        Value::String(_) => json!("a text"),
        Value::Bool(_) => json!("yes or no"),
        Value::Null => json!("nothing"),
    }
}

/// Sends 5 reads, 3 keyed writes and one request that must not run twice.
fn send_requests(client: &mut Client) {
    for class in [
        "order", "read", "read", "once", "order", "read", "read", "order", "read",
    ] {
        let answer = client.query(&statement(class, 9_000));
        assert!(answer.contains("a1b2"), "{class}: {answer}");
    }
}

/// Runs a process until it has served some requests, and returns the document that it then writes, parsed and as text.
fn write_document() -> (Deployment, Value, String) {
    let deployment = Deployment::new();
    let discovery = Discovery::start(deployment.members());
    discovery.published.update(|p| p.revision = 7);
    let platform = Platform::new();
    let program = platform.start(&configuration(discovery.address));
    // The second request shows that the process has received the list.
    discovery
        .requests
        .wait_for("a second request", |c| c.get(1).cloned());
    let mut client = program.client();
    send_requests(&mut client);
    // The module records an answer a moment after the client has received it.
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        let line = platform.play_newer().0;
        let document: Value = serde_json::from_str(&line).unwrap();
        let all_counted = document["lore"]["told"] == json!([5.0, 3.0, 1.0, 0.0]);
        let is_idle = |n| {
            member(&document, n)["outstanding"] == json!(0)
                && member(&document, n)["probe_out"] == json!(false)
        };
        let settled = all_counted && (0..3).all(is_idle);
        if settled {
            return (deployment, document, line);
        }
        assert!(
            Instant::now() < deadline,
            "the document lacks some results: {document}"
        );
        sleep(POLL_INTERVAL);
    }
}

#[test]
fn the_document_handed_to_a_newer_process_has_the_keys_and_kinds_of_the_fixture_at_every_level() {
    let (_, document, line) = write_document();
    // The document is a single line.
    assert!(line.ends_with('\n') && line.matches('\n').count() == 1);
    let keys: Vec<&String> = document.as_object().unwrap().keys().collect();
    assert_eq!(keys, ["classes", "held", "list", "lore", "members"]);
    assert_eq!(
        shape(&document),
        shape(&self::document()),
        "what was written: {line}"
    );
}

#[test]
fn the_document_handed_to_a_newer_process_names_the_list_the_members_and_the_classes() {
    let (deployment, document, line) = write_document();
    let fixture = self::document();
    assert_eq!(
        document["list"],
        json!({"revision": 7, "complete": true, "members": deployment.members()})
    );
    assert_eq!(document["members"], json!(["s-1", "s-2", "s-3"]));
    assert_eq!(document["classes"], json!(["read", "order", "once", "own"]));
    for key in ["members", "classes"] {
        assert_eq!(fixture[key], document[key]);
    }
    for n in 0..3 {
        let (id, member) = (
            &document["lore"]["members"][n][0],
            &document["lore"]["members"][n][1],
        );
        assert_eq!(id, &json!(n));
        for key in [
            "group",
            "zone",
            "size",
            "gone",
            "drained",
            "gone_at",
            "started",
            "outstanding",
        ] {
            assert_eq!(
                member[key], fixture["lore"]["members"][n][1][key],
                "{key} of {n}: {line}"
            );
        }
    }
    // The second member is known to be the primary, and the first has reported that it is a replica.
    let of = |n: usize, key: &str| document["lore"]["members"][n][1][key].as_i64().unwrap();
    assert!(
        of(1, "primary_at") > of(1, "replica_at") && of(1, "position") > 0,
        "{line}"
    );
    assert!(of(0, "replica_at") > of(0, "primary_at"), "{line}");
    // One client, and 64 descriptors that every process reserves for itself.
    assert_eq!(document["held"]["clients"], json!(65));
    assert!(document["held"]["hosts"].as_u64().unwrap() >= 1);
    assert_eq!(document["held"]["memory"], json!(0));
}

#[test]
fn a_process_reports_to_a_newer_one_what_it_holds_with_the_keys_clients_hosts_and_memory() {
    let platform = Platform::new();
    let nowhere = Nowhere::new();
    let program = platform.start(&configuration(nowhere.address()));
    let (_, mut newer) = platform.play_newer();
    let whole = |clients: usize| json!({"clients": clients, "hosts": 0, "memory": 0});
    assert_eq!(line_of(&mut newer), whole(64));
    let _client = program.client();
    assert_eq!(line_of(&mut newer), whole(65));
}

/// Starts a process that is handed this document, while its discovery is down and it has no list of its own. It sends
/// no health checks, so that its knowledge of hosts stays as it was handed over.
fn start_with_document(
    platform: &Platform,
    nowhere: &Nowhere,
    document: &Value,
    change: impl FnOnce(&mut Value),
) -> (Program, BufReader<UnixStream>) {
    let connection = platform.play_older(&document.to_string());
    let mut config = configuration(nowhere.address());
    config["settings"]["Bounds"]["Probes"] = json!(false);
    change(&mut config);
    let program = platform.start(&config);
    let stream = connection.recv_timeout(TEST_TIMEOUT).unwrap();
    assert_eq!(
        program.rest_of_line("irisrouter: an older process hands over a list of "),
        "3"
    );
    (program, stream)
}

#[test]
fn a_process_whose_discovery_is_down_serves_from_the_list_and_the_roles_that_an_older_one_hands_over(
) {
    let (deployment, platform, nowhere) = (Deployment::new(), Platform::new(), Nowhere::new());
    let (program, _older) =
        start_with_document(&platform, &nowhere, &deployment.document(), |_| {});
    let mut client = program.client();
    // A write is sent to the primary at once, which is known only from the handed-over roles.
    assert!(client.query(&statement("order", 9_000)).contains("a1b2"));
    let seen = deployment.hosts.each_ref().map(|h| h.statements().len());
    assert_eq!(seen, [0, 1, 0]);
    for _ in 0..20 {
        assert!(client.query(&statement("read", 9_000)).contains("a1b2"));
    }
    let drained = client.query(&statement("read", 300).replace("cluster=2", "cluster=3"));
    assert!(
        drained.contains("C53300"),
        "the only host of its set drains: {drained}"
    );
    assert_eq!(deployment.hosts[2].statements().len(), 0);
    // Discovery is down, so that the document is the only source of the list.
    program.rest_of_line("discovery: no connection");
}

/// The part of a member's record that a newer process takes over.
fn taken_over(record: &Value) -> Value {
    let of = record
        .as_object()
        .unwrap()
        .iter()
        .filter(|(k, _)| !KEYS_NOT_TAKEN_OVER.contains(&k.as_str()));
    of.map(|(k, v)| (k.clone(), v.clone())).collect()
}

fn member(document: &Value, n: usize) -> &Value {
    &document["lore"]["members"][n][1]
}

#[test]
fn measurements_of_an_older_process_are_handed_on_unchanged_to_the_next_one() {
    let (deployment, platform, nowhere) = (Deployment::new(), Platform::new(), Nowhere::new());
    let given = deployment.document();
    let (_program, _older) = start_with_document(&platform, &nowhere, &given, |_| {});
    let next = platform.wait_for_document("the measurements of the older process", |d| {
        d["lore"]["told"] == given["lore"]["told"]
    });
    assert_eq!(next["list"], given["list"]);
    assert_eq!(next["members"], given["members"]);
    assert_eq!(next["classes"], given["classes"]);
    assert_eq!(next["lore"]["usual"], given["lore"]["usual"]);
    // The figures are measured ones, and not the initial zeros of a new member.
    assert!(given["lore"]["usual"][0] != given["lore"]["usual"][3]);
    for key in [
        "answers",
        "slowness",
        "position",
        "primary_at",
        "heard",
        "well_since",
    ] {
        assert!(member(&given, 1)[key].as_f64().unwrap() > 0.0, "{key}");
    }
    for n in 0..3 {
        assert_eq!(next["lore"]["members"][n][0], json!(n));
        assert_eq!(
            taken_over(member(&next, n)),
            taken_over(member(&given, n)),
            "member {n}"
        );
    }
}

/// Guards against a key that is written but not read: its value would restart at zero, which is the value of most
/// figures in the fixture.
#[test]
fn every_figure_of_a_member_that_a_newer_process_takes_over_has_the_value_handed_over() {
    let (deployment, platform, nowhere) = (Deployment::new(), Platform::new(), Nowhere::new());
    let mut given = deployment.document();
    let mut number = 0;
    for n in 0..3 {
        let record = given["lore"]["members"][n][1].as_object_mut().unwrap();
        for (key, value) in record.iter_mut().filter(|(key, _)| *key != "started") {
            number += 1;
            match value {
                Value::Bool(b) => *b = !*b,
                Value::Null => *value = json!(number),
                Value::Number(v) if v.is_f64() => *value = json!(f64::from(number) + 0.5),
                Value::Number(_) => *value = json!(number),
                other => panic!("{key}: {other}"),
            }
        }
    }
    given["lore"]["usual"] = json!([1001.5, 1002.5, 1003.5, 1004.5]);
    given["lore"]["told"] = json!([11.0, 12.0, 13.0, 14.0]);
    let (_program, _older) = start_with_document(&platform, &nowhere, &given, |_| {});
    let next = platform.wait_for_document("the measurements of the older process", |d| {
        d["lore"]["told"] == given["lore"]["told"]
    });
    assert_eq!(next["lore"]["usual"], given["lore"]["usual"]);
    let fixture = document();
    for n in 0..3 {
        assert_eq!(
            taken_over(member(&next, n)),
            taken_over(member(&given, n)),
            "member {n}"
        );
        // The keys that the newer process sets itself follow the list, and no request or health check is in flight yet.
        let listed = [
            "group",
            "zone",
            "size",
            "gone",
            "drained",
            "gone_at",
            "outstanding",
            "probe_out",
        ];
        for key in listed {
            assert_eq!(
                member(&next, n)[key],
                member(&fixture, n)[key],
                "{key} of member {n}"
            );
        }
        assert_eq!(member(&next, n)["silent_since"], json!(null));
        for key in ["free_at", "patience", "probe_at"] {
            assert_eq!(member(&next, n)[key], json!(0), "{key} of member {n}");
        }
    }
    let kinds = shape(&fixture["lore"]["members"][1][1]);
    assert!(
        KEYS_NOT_TAKEN_OVER
            .iter()
            .all(|key| kinds.get(key).is_some()),
        "{kinds}"
    );
}

#[test]
fn classes_in_another_order_in_the_newer_process_keep_the_figures_of_their_names() {
    let (deployment, platform, nowhere) = (Deployment::new(), Platform::new(), Nowhere::new());
    let given = deployment.document();
    let (_program, _older) = start_with_document(&platform, &nowhere, &given, |config| {
        let settings = &mut config["settings"];
        settings["Classes"].as_array_mut().unwrap().reverse();
        settings["Domain"]["Freshness"]
            .as_array_mut()
            .unwrap()
            .reverse();
    });
    let reversed = |key: &str| -> Value {
        given["lore"][key]
            .as_array()
            .unwrap()
            .iter()
            .rev()
            .cloned()
            .collect()
    };
    let next = platform.wait_for_document("the measurements of the older process", |d| {
        d["lore"]["told"] == reversed("told")
    });
    assert_eq!(next["classes"], json!(["own", "once", "order", "read"]));
    assert_eq!(next["lore"]["usual"], reversed("usual"));
}

#[test]
fn members_in_another_order_in_the_document_are_found_by_their_names() {
    let (deployment, platform, nowhere) = (Deployment::new(), Platform::new(), Nowhere::new());
    let mut given = deployment.document();
    given["members"].as_array_mut().unwrap().reverse();
    given["lore"]["members"].as_array_mut().unwrap().reverse();
    let (_program, _older) = start_with_document(&platform, &nowhere, &given, |_| {});
    let next = platform.wait_for_document("the measurements of the older process", |d| {
        d["lore"]["told"] == given["lore"]["told"]
    });
    assert_eq!(next["members"], json!(["s-1", "s-2", "s-3"]));
    for n in 0..3 {
        assert_eq!(
            taken_over(member(&next, n)),
            taken_over(member(&given, 2 - n)),
            "member {n}"
        );
    }
}

#[test]
fn an_outdated_list_of_an_older_process_is_not_taken_over_but_its_measurements_are() {
    let (deployment, platform, nowhere) = (Deployment::new(), Platform::new(), Nowhere::new());
    let given = deployment.document();
    let mut own = deployment.members();
    own[2]["phase"] = json!("in_service");
    let known = json!({"revision": 8, "complete": true, "members": own});
    let (_program, _older) =
        start_with_document(&platform, &nowhere, &given, |c| c["known"] = known.clone());
    let next = platform.wait_for_document("the measurements of the older process", |d| {
        d["lore"]["told"] == given["lore"]["told"]
    });
    assert_eq!(next["list"], known);
    assert_eq!(taken_over(member(&next, 1)), taken_over(member(&given, 1)));
}

#[test]
fn what_the_older_process_holds_is_counted_and_reported_to_the_next_one_under_each_key() {
    let (deployment, platform, nowhere) = (Deployment::new(), Platform::new(), Nowhere::new());
    let mut given = deployment.document();
    given["held"] = json!({"clients": 110, "hosts": 22, "memory": 3300});
    let (_program, mut older) = start_with_document(&platform, &nowhere, &given, |_| {});
    let next = platform.wait_for_document("what is held", |_| true);
    assert_eq!(
        next["held"],
        json!({"clients": 174, "hosts": 22, "memory": 3300})
    );
    // The new process reports to the older one what it holds itself.
    assert_eq!(
        line_of(&mut older),
        json!({"clients": 64, "hosts": 0, "memory": 0})
    );
    // From now on the older process reports what it holds.
    older
        .get_mut()
        .write_all(b"{\"clients\":7,\"hosts\":5,\"memory\":3}\n")
        .unwrap();
    let now = json!({"clients": 71, "hosts": 5, "memory": 3});
    assert_eq!(
        platform.wait_for_document("what is held now", |d| d["held"] == now)["held"],
        now
    );
    drop(older);
    let alone = json!({"clients": 64, "hosts": 0, "memory": 0});
    platform.wait_for_document("nothing held by a process that has ended", |d| {
        d["held"] == alone
    });
}

#[test]
fn what_a_newer_process_holds_is_counted_until_it_reports_another_amount() {
    let (platform, nowhere) = (Platform::new(), Nowhere::new());
    let program = platform.start(&configuration(nowhere.address()));
    let (_, mut newer) = platform.play_newer();
    let mut report_and_wait_for_answer = |line: &[u8], text: &str| {
        newer.get_mut().write_all(line).unwrap();
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !program.connect().1.contains(text) {
            assert!(Instant::now() < deadline, "timed out waiting for {text}");
            sleep(POLL_INTERVAL);
        }
    };
    report_and_wait_for_answer(
        b"{\"clients\":5000,\"hosts\":0,\"memory\":0}\n",
        "too many connections",
    );
    report_and_wait_for_answer(
        b"{\"clients\":0,\"hosts\":0,\"memory\":0}\n",
        "AuthenticationOk",
    );
}

#[test]
fn an_older_process_with_an_invalid_document_is_ignored_and_the_process_starts_alone() {
    for words in ["{\"list\": 5}", "HELLO", ""] {
        let (platform, nowhere) = (Platform::new(), Nowhere::new());
        let older = platform.play_older(words);
        let program = platform.start(&configuration(nowhere.address()));
        older
            .recv_timeout(TEST_TIMEOUT)
            .expect("a connection to the older process");
        let _: SocketAddr = program.address();
        let alone: Value = serde_json::from_str(&platform.play_newer().0).unwrap();
        assert_eq!(
            alone["list"],
            json!({"revision": 0, "complete": true, "members": []}),
            "{words}"
        );
        program
            .stderr
            .update(|s| assert!(!s.text.contains("hands over"), "{}", s.text));
    }
}
