//! Shutdown on SIGTERM.

use crate::harness::client::Client;
use crate::harness::discovery::Discovery;
use crate::harness::gateway::{Gateway, InheritedSocket};
use crate::harness::host::{no_reply_to_slow, Host, HostReply};
use crate::harness::manual_host::{read_query, send_authentication_ok, ManualHost};
use crate::harness::messages::{query_message, slow_query_message, statement};
use insta::assert_snapshot;
use serde_json::json;
use std::io::Read;
use std::thread::sleep;
use std::time::{Duration, Instant};

#[test]
fn new_clients_are_served_and_open_requests_finished_after_sigterm() {
    let host = Host::start("s-1", true, no_reply_to_slow);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let mut gateway = Gateway::start(&discovery, &[&host]);
    let mut idle = gateway.client();
    let mut busy = gateway.client();
    busy.send(&slow_query_message(3_000));
    host.wait_for_event("slow");
    gateway.signal("-TERM");
    gateway.wait_for_log("stopping");
    assert!(
        gateway
            .client()
            .query(&statement("once", 9_000))
            .contains("a1b2"),
        "new connections are still accepted"
    );
    assert!(
        idle.query(&statement("once", 9_000)).contains("a1b2"),
        "existing connections are still served"
    );
    assert_eq!(
        idle.stream.read(&mut [0]).unwrap(),
        0,
        "closed once no request is open"
    );
    let last = busy.read_until_ready();
    assert!(
        last.starts_with("ErrorResponse SERROR VERROR CXX000"),
        "the open request is finished before its connection is closed: {last}"
    );
    assert_eq!(gateway.exit_code(), Some(0));
    let counters = gateway.log.wait_for("the counters", |l| {
        l.iter().find(|l| l.contains("counters")).cloned()
    });
    let counts: Vec<&str> = counters
        .split(' ')
        .filter(|c| !c.starts_with("health_checks") && !c.starts_with("upstream_opened"))
        .collect();
    assert_snapshot!(counts.join(" "), @"irisrouter: counters received=3 served=2 truncated=0 rejected=0 failed=1 client_gone=0 malformed=0 gossip_sent=0 gossip_received=0 datagrams_ignored=0 downstream_accepted=3 downstream_rejected=0 downstream_evicted=0 attempt_ok=2 attempt_timed_out=1");
}

/// Guards against requests that get no answer because of a shutdown (one that its host does not answer, one that waits
/// for a connection, one whose last bytes arrive late), and against a second signal that interrupts them.
#[test]
fn unanswered_waiting_and_late_requests_are_answered_after_sigterm() {
    let manual_host = ManualHost::start();
    let discovery = Discovery::start(vec![manual_host.entry("in_service")]);
    let mut gateway = Gateway::start_with_config(&discovery, &[], |config| {
        config["known"]["members"] = json!([manual_host.entry("in_service")]);
        config["settings"]["Bounds"]["Probes"] = json!(false);
        // All deadlines are short, because the longest deadline determines the duration of a shutdown.
        for class in config["settings"]["Classes"].as_array_mut().unwrap() {
            class["DeadlineNs"] = json!(400_000_000);
        }
    });
    let mut clients: Vec<Client> = (0..3).map(|_| gateway.client()).collect();
    let numbered_query =
        |n: usize| query_message(&statement("read", 400).replace("9b1f", &n.to_string()));
    clients[0].send(&numbered_query(0));
    let mut unanswered = manual_host.accept();
    send_authentication_ok(&mut unanswered);
    read_query(&mut unanswered).expect("the request that gets no answer");
    gateway.signal("-TERM");
    gateway.wait_for_log("stopping");
    gateway.signal("-TERM");
    gateway.signal("-HUP");
    clients[1].send(&numbered_query(1));
    let _not_established = manual_host.accept();
    let mut last = gateway.client();
    // Sends part of the query now, and the rest once the other two requests have their answers.
    let bytes = numbered_query(2);
    last.send(&bytes[..20]);
    for client in &mut clients[..2] {
        let answer = client.read_until_ready();
        assert!(
            answer.contains("C53300") || answer.contains("CXX000"),
            "{answer}"
        );
    }
    last.send(&bytes[20..]);
    let answer = last.read_until_ready();
    assert!(
        answer.starts_with("ErrorResponse") || answer.contains("DataRow"),
        "{answer}"
    );
    let mut idle = clients.pop().unwrap();
    assert_eq!(idle.read_until_ready(), "closed");
    assert_eq!(gateway.exit_code(), Some(0));
    gateway
        .log
        .update(|l| assert!(!l.iter().any(|l| l.contains(" received=0")), "{l:?}"));
}

/// Guards against the older process of a hot restart that ends before the answer of a request which it took after
/// SIGTERM (review case 6), and with it the client's connection.
#[test]
fn older_process_of_a_hot_restart_answers_what_it_takes_after_sigterm() {
    const DEADLINE: Duration = Duration::from_millis(1_500);
    // SIGKILL is due 0.7 s after the longest deadline.
    const EARLIEST_KILL: Duration = Duration::from_millis(2_200);
    let host = Host::start("s-1", true, no_reply_to_slow);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let socket = InheritedSocket::new();
    let start = || {
        Gateway::start_with_socket(Some(&socket), &discovery, &[&host], |config| {
            for class in config["settings"]["Classes"].as_array_mut().unwrap() {
                class["DeadlineNs"] = json!(DEADLINE.as_nanos() as u64);
            }
        })
    };
    let mut older = start();
    let mut client = older.client();
    assert!(client.query(&statement("once", 1_500)).contains("a1b2"));
    let _newer = start();
    let terminated = Instant::now();
    older.signal("-TERM");
    older.wait_for_log("stopping");
    sleep(Duration::from_millis(200));
    client.send(&slow_query_message(1_500));
    let answer = client.read_until_ready();
    assert!(
        answer.starts_with("ErrorResponse SERROR VERROR CXX000"),
        "{answer}"
    );
    assert!(terminated.elapsed() < EARLIEST_KILL);
    assert_eq!(older.exit_code(), Some(0));
}

/// Guards against the older process of a hot restart that ends in the middle of a value which its host still gives
/// (review case 6, second variant).
#[test]
fn older_process_of_a_hot_restart_does_not_cut_off_a_value_before_the_kill() {
    const DEADLINE: Duration = Duration::from_millis(800);
    const EARLIEST_KILL: Duration = Duration::from_millis(1_500);
    let host = Host::start("s-1", true, |_, text| match text {
        _ if text.contains("long") => HostReply::PausedRow(1 << 20),
        _ => HostReply::Row("a1b2"),
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let socket = InheritedSocket::new();
    let older = Gateway::start_with_socket(Some(&socket), &discovery, &[&host], |config| {
        for class in config["settings"]["Classes"].as_array_mut().unwrap() {
            class["DeadlineNs"] = json!(DEADLINE.as_nanos() as u64);
        }
    });
    let mut client = older.client();
    let long_read = statement("read", 800).replace("7f3a", "long");
    client.send(&query_message(&long_read));
    host.wait_for_event("long");
    let terminated = Instant::now();
    older.signal("-TERM");
    older.wait_for_log("stopping");
    sleep(EARLIEST_KILL.saturating_sub(terminated.elapsed()));
    host.resume();
    let answer = client.read_until_ready();
    assert!(answer.contains("CommandComplete"), "{}", answer.len());
}
