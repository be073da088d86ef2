//! Hot restart: two processes of the gateway that run side by side, and the hand-over between them.

use crate::harness::discovery::{Discovery, EndpointList};
use crate::harness::gateway::{Gateway, InheritedSocket};
use crate::harness::host::{reply_with_row, Host, HostReply};
use crate::harness::messages::{query_message, slow_query_message, startup_message, statement};
use crate::harness::peers::join_sixteen_gateways;
use crate::harness::TEST_TIMEOUT;
use insta::assert_snapshot;
use serde_json::{json, Value};
use std::net::UdpSocket;
use std::time::Duration;

/// Guards against clients that are refused, reset or left without an answer while a new process replaces the old one.
#[test]
fn queued_clients_of_an_inherited_socket_are_served_by_the_next_process() {
    let host = Host::start("s-1", true, |_, text| {
        if text.contains("slow") {
            std::thread::sleep(Duration::from_millis(300));
        }
        HostReply::Row("a1b2")
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let socket = InheritedSocket::new();
    let mut old = Gateway::start_with_socket(Some(&socket), &discovery, &[&host], |_| {});
    assert_eq!(old.address, socket.listener.local_addr().unwrap());
    let mut busy = old.client();
    let mut idle = old.client();
    busy.send(&slow_query_message(9_000));
    host.wait_for_event("slow");
    old.signal("-TERM");
    old.wait_for_log("stopping");
    // At this point no process accepts connections.
    let mut queued = old.connect();
    queued.send(&[startup_message(), query_message(&statement("read", 9_000))].concat());
    assert!(busy.read_until_ready().contains("a1b2"));
    assert_eq!(
        (busy.read_until_ready(), idle.read_until_ready()),
        ("closed".into(), "closed".into())
    );
    assert_eq!(old.exit_code(), Some(0));
    let new = Gateway::start_with_socket(Some(&socket), &discovery, &[&host], |_| {});
    assert!(queued.read_until_ready().starts_with("AuthenticationOk"));
    assert!(queued.read_until_ready().contains("a1b2"));
    assert_snapshot!(new.call_console("readyz\n"), @"+OK ready");
}

/// Guards against a process that accepts clients before it has learned which hosts drain: it would send requests to a
/// draining host.
#[test]
fn new_process_is_ready_once_discovery_has_answered() {
    let host = Host::start("s-1", true, reply_with_row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let socket = InheritedSocket::new();
    let new = Gateway::start_with_socket(Some(&socket), &discovery, &[&host], |_| {});
    let called = discovery
        .requests
        .wait_for("a call", |c| c.first().cloned());
    assert_eq!(
        called, "0: /discovery/hosts",
        "the first request asks for the whole list, without a long poll"
    );
    discovery
        .requests
        .wait_for("a long poll for a newer list", |c| c.get(1).cloned());
    assert!((0..1_000_000).any(|_| new.call_console("readyz\n").starts_with("+OK")));
    // A silent discovery server delays the start only up to a time limit.
    let silent = Discovery::start_silent();
    let socket = InheritedSocket::new();
    let new = Gateway::start_with_socket(Some(&socket), &silent, &[&host], |_| {});
    assert!(new
        .client()
        .query(&statement("read", 9_000))
        .contains("a1b2"));
}

/// Guards against two processes that together hold twice the descriptors of one, and against a new process that undoes
/// a drain of which only the old process has been notified.
#[test]
fn new_process_receives_the_list_and_shares_descriptors_with_the_older() {
    let one = Host::start("s-1", true, reply_with_row);
    let two = Host::start("s-2", false, reply_with_row);
    let discovery = Discovery::start(vec![one.entry("in_service", 0), two.entry("in_service", 0)]);
    // 51 of 76 descriptors are for clients; a second process reserves 64 of its own.
    let limit_descriptors = |config: &mut Value| config["limits"]["sockets"] = json!(140);
    let socket = InheritedSocket::new();
    let mut old =
        Gateway::start_with_socket(Some(&socket), &discovery, &[&one, &two], limit_descriptors);
    discovery.publish(EndpointList::Members(json!([
        one.entry("in_service", 0),
        two.entry("terminating", 0)
    ])));
    assert!(old
        .client()
        .query(&statement("once", 9_000))
        .contains("a1b2"));
    // The new process has an older list, and its discovery server is silent.
    let silent = Discovery::start_silent();
    let second_socket = socket.with_new_listener();
    let new = Gateway::start_with_socket(
        Some(&second_socket),
        &silent,
        &[&one, &two],
        limit_descriptors,
    );
    new.wait_for_log("an older process hands over a list of 2");
    let mut rejected = new.connect();
    rejected.send(&startup_message());
    assert!(rejected.read_until_ready().contains("too many connections"));
    old.signal("-TERM");
    assert_eq!(old.exit_code(), Some(0));
    let before = two.statements().len();
    let mut client = new.accepted_client();
    for _ in 0..10 {
        assert!(client.query(&statement("read", 9_000)).contains("a1b2"));
    }
    assert_eq!(
        two.statements().len(),
        before,
        "a drain that is missing from the new process's own list"
    );
    // A third process receives the list from the second one.
    let last = Gateway::start_with_socket(Some(&second_socket), &silent, &[], limit_descriptors);
    last.wait_for_log("an older process hands over");
}

/// Guards against a new process that never shares results with its peers, because the old process holds the peer
/// address while both run.
#[test]
fn new_process_opens_its_peer_socket_once_the_older_has_ended() {
    let host = Host::start("s-1", true, reply_with_row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let socket = InheritedSocket::new();
    let peer = UdpSocket::bind("127.0.0.6:0").unwrap();
    peer.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut old = Gateway::start_with_socket(Some(&socket), &discovery, &[&host], |config| {
        join_sixteen_gateways(config, &peer)
    });
    let mut datagram = [0; 512];
    peer.recv_from(&mut datagram)
        .expect("a health check result from the old process");
    let own = old.config["peer_listen"].clone();
    let new = Gateway::start_with_socket(Some(&socket), &discovery, &[&host], |config| {
        join_sixteen_gateways(config, &peer);
        config["peers"][0] = own.clone();
        config["peer_listen"] = own;
    });
    new.wait_for_log("peer socket: not open yet");
    old.signal("-TERM");
    assert_eq!(old.exit_code(), Some(0));
    new.wait_for_log("peer socket: open at");
    peer.set_nonblocking(true).unwrap();
    while peer.recv_from(&mut datagram).is_ok() {}
    peer.set_nonblocking(false).unwrap();
    peer.recv_from(&mut datagram)
        .expect("a health check result from the new process");
}
