//! Clients that disconnect or send a cancel request: the effect on their queries and upstream connections.

use crate::harness::discovery::Discovery;
use crate::harness::gateway::Gateway;
use crate::harness::host::{Host, HostReply};
use crate::harness::manual_host::{read_query, send_authentication_ok, ManualHost};
use crate::harness::messages::{query_message, read_query_message, statement};
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// Completes the upstream connection that was opened for a client which has disconnected since, and checks that the
/// first query sent on it belongs to another client.
fn assert_only_the_next_request_is_sent(gateway: &Gateway, mut late: TcpStream) {
    send_authentication_ok(&mut late);
    let mut other = gateway.client();
    // The connection has to be idle in the pool before it can serve the next request.
    std::thread::sleep(Duration::from_millis(50));
    other.send(&read_query_message("2222"));
    let seen = read_query(&mut late).expect("a query on the reused connection");
    assert!(
        seen.contains("id=2222"),
        "query sent for a disconnected client: {seen}"
    );
}

/// Sends a cancel request on a separate connection, and waits until the gateway closes that connection.
fn send_cancel_request(gateway: &Gateway, key: &[u8]) {
    let mut client = gateway.connect();
    client.send(&[&[0, 0, 0, 16, 0x04, 0xd2, 0x16, 0x2e], key].concat());
    assert_eq!(
        client.read_until_ready(),
        "closed",
        "a cancel request gets no response"
    );
}

#[test]
fn upstream_connection_is_closed_and_not_reused_when_client_leaves() {
    let host = Host::start("s-1", true, |n, _| {
        if n == 0 {
            HostReply::NoReply
        } else {
            HostReply::Row("late")
        }
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut leaving = gateway.client();
    leaving.send(&query_message(&statement("once", 9_000)));
    host.events.wait_for("the statement", |s| {
        s.iter().any(|l| l.contains("c=once")).then_some(())
    });
    let connection = host.statements()[0].split_once(':').unwrap().0.to_string();
    // When the client leaves, its attempt is cancelled.
    drop(leaving);
    host.wait_for_event(&format!("{connection}: closed"));
    gateway.signal("-USR1");
    gateway.log.wait_for("the counters", |l| {
        l.iter()
            .any(|l| l.contains(" client_gone=1 "))
            .then_some(())
    });
    assert!(gateway
        .client()
        .query(&statement("read", 9_000).replace("9b1f", "2222"))
        .contains("late"));
    assert!(!host.statements()[1].starts_with(&format!("{connection}:")));
}

/// Guards against sending a request whose upstream connection is established only after its client has disconnected,
/// when the settings do not allow attempts to be cancelled.
#[test]
fn request_is_not_sent_when_client_leaves_during_connect() {
    let manual_host = ManualHost::start();
    let discovery = Discovery::start(vec![manual_host.entry("in_service")]);
    let gateway = manual_host.start_gateway_without_health_checks(&discovery);
    let mut leaving = gateway.client();
    leaving.send(&read_query_message("1111"));
    let late = manual_host.accept();
    drop(leaving);
    gateway.wait_for_counter(" client_gone=1 ");
    assert_only_the_next_request_is_sent(&gateway, late);
}

/// Guards against missing the disconnect of a client that has sent more bytes than the gateway reads ahead.
#[test]
fn client_that_leaves_behind_unread_input_is_detected() {
    let manual_host = ManualHost::start();
    let discovery = Discovery::start(vec![manual_host.entry("in_service")]);
    let gateway = manual_host.start_gateway_without_health_checks(&discovery);
    let mut leaving = gateway.client();
    leaving.send(&read_query_message("1111"));
    let late = manual_host.accept();
    let flood: Vec<u8> = (0..300_000 / read_query_message("1111").len())
        .flat_map(|n| read_query_message(&format!("{n:04x}")))
        .collect();
    leaving.send(&flood);
    drop(leaving);
    gateway.wait_for_counter(" client_gone=1 ");
    assert_only_the_next_request_is_sent(&gateway, late);
}

/// Guards against cancel requests that are ignored, that end a query of another client, or that do not stop the
/// cancelled query from being sent to a host.
#[test]
fn cancel_request_ends_the_open_query_of_its_key_and_no_other() {
    let manual_host = ManualHost::start();
    let discovery = Discovery::start(vec![manual_host.entry("in_service")]);
    let gateway = manual_host.start_gateway_without_health_checks(&discovery);
    let mut first = gateway.client();
    let mut second = gateway.client();
    assert!(
        first.cancel_key.len() == 8
            && second.cancel_key.len() == 8
            && first.cancel_key != second.cancel_key
    );
    // A cancel request that arrives while no query is open has no effect.
    send_cancel_request(&gateway, &first.cancel_key);
    assert!(first.query("").starts_with("Empty"));
    first.send(&read_query_message("1111"));
    let late = manual_host.accept();
    second.send(&read_query_message("3333"));
    let mut other = manual_host.accept();
    let wrong: Vec<u8> = first.cancel_key.iter().map(|b| b ^ 1).collect();
    (0..50).for_each(|_| send_cancel_request(&gateway, &wrong));
    send_cancel_request(&gateway, &first.cancel_key);
    let answer = first.read_until_ready();
    assert!(
        answer.contains("C57014") && answer.ends_with("ReadyForQuery"),
        "{answer}"
    );
    // The other query is still open, and the cancelled one is never sent.
    send_authentication_ok(&mut other);
    let seen = read_query(&mut other).expect("the query of the second client");
    assert!(seen.contains("id=3333"), "{seen}");
    assert_only_the_next_request_is_sent(&gateway, late);
    assert!(
        first.query("").starts_with("Empty"),
        "the client's connection stays usable"
    );
    for broken in [
        &b"\0\0\0\x08\x04\xd2\x16\x2e"[..],
        b"\0\0\0\x18\x04\xd2\x16\x2e0123456789abcdef",
    ] {
        let mut client = gateway.connect();
        client.send(broken);
        assert!(client
            .read_until_ready()
            .starts_with("ErrorResponse SFATAL VFATAL C08P01"));
    }
}

/// Guards against an attempt that keeps running after its query was cancelled, when the settings allow attempts to be
/// cancelled.
#[test]
fn cancelled_query_in_flight_ends_its_attempt() {
    let host = Host::start("s-1", true, |_, _| HostReply::NoReply);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.client();
    client.send(&query_message(&statement("once", 9_000)));
    host.wait_for_event("c=once");
    let connection = host.statements()[0].split_once(':').unwrap().0.to_string();
    send_cancel_request(&gateway, &client.cancel_key.clone());
    assert!(client.read_until_ready().contains("C57014"));
    host.wait_for_event(&format!("{connection}: closed"));
    assert_eq!(host.statements().len(), 1);
}

/// Guards against a request that runs twice when its id comes again after its client has left.
#[test]
fn id_whose_client_left_while_its_attempt_was_in_flight_is_not_run_again() {
    let host = Host::start("s-1", true, |n, _| {
        if n == 0 {
            HostReply::NoReply
        } else {
            HostReply::Row("a1b2")
        }
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut leaving = gateway.client();
    leaving.send(&query_message(&statement("once", 9_000)));
    host.wait_for_event("c=once");
    drop(leaving);
    host.wait_for_event("closed");
    let mut other = gateway.client();
    let answer = other.query(&statement("once", 9_000));
    assert!(answer.contains("C42601"), "{answer}");
    assert_eq!(host.statements().len(), 1);
}

/// Guards against an attempt for a client whose end stands behind input that the gateway does not read.
#[test]
fn client_that_leaves_behind_suspended_reading_gets_no_attempt() {
    const UNREAD_FOR: Duration = Duration::from_millis(200);
    let manual_host = ManualHost::start();
    let discovery = Discovery::start(vec![manual_host.entry("in_service")]);
    let gateway = manual_host.start_gateway_without_health_checks(&discovery);
    let mut leaving = gateway.client();
    leaving.send(&read_query_message("1111"));
    let late = manual_host.accept();
    let timeout = Some(Duration::from_millis(50));
    leaving.stream.set_write_timeout(timeout).unwrap();
    let many_queries = query_message("").repeat(100_000);
    while leaving.stream.write_all(&many_queries).is_ok() {}
    drop(leaving);
    std::thread::sleep(UNREAD_FOR);
    assert_only_the_next_request_is_sent(&gateway, late);
    gateway.wait_for_counter(" reading_suspended=1");
}
