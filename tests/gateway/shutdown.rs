//! Shutdown on SIGTERM.

use crate::harness::client::Client;
use crate::harness::discovery::Discovery;
use crate::harness::gateway::Gateway;
use crate::harness::host::{no_reply_to_slow, Host};
use crate::harness::manual_host::{read_query, send_authentication_ok, ManualHost};
use crate::harness::messages::{query_message, slow_query_message, statement};
use insta::assert_snapshot;
use serde_json::json;
use std::io::Read;

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
