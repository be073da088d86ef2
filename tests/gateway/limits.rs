//! Limits on connections: idle ones, those beyond the limit, and those that send nothing.

use crate::harness::client::Client;
use crate::harness::discovery::Discovery;
use crate::harness::gateway::Gateway;
use crate::harness::host::{reply_with_row, Host, HostReply};
use crate::harness::messages::{query_message, startup_message, statement};
use insta::assert_snapshot;
use serde_json::{json, Value};
use std::io::Read;
use std::thread::sleep;
use std::time::{Duration, Instant};

#[test]
fn idle_upstream_connection_is_closed_before_its_host_closes_it() {
    let host = Host::start("s-1", true, reply_with_row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let short_idle_time =
        |config: &mut Value| config["settings"]["Bounds"]["IdleCloseNs"] = json!(1_000_000_000);
    let gateway = Gateway::start_with_config(&discovery, &[&host], short_idle_time);
    assert!(gateway
        .client()
        .query(&statement("read", 9_000))
        .contains("a1b2"));
    host.wait_for_event("closed");
}

#[test]
fn client_beyond_the_connection_limit_is_rejected_until_another_leaves() {
    let host = Host::start("s-1", true, |_, _| HostReply::NoReply);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let limit_descriptors = |config: &mut Value| config["limits"]["sockets"] = json!(70);
    let gateway = Gateway::start_with_config(&discovery, &[&host], limit_descriptors);
    let mut clients: Vec<Client> = (0..4).map(|_| gateway.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&query_message(
            &statement("read", 19_000).replace("9b1f", &n.to_string()),
        ));
    }
    let mut beyond = gateway.connect();
    beyond.send(&[startup_message(), query_message(&statement("read", 9_000))].concat());
    assert_snapshot!(beyond.read_until_ready(), @r"
    ErrorResponse SFATAL VFATAL C53300 Mtoo many connections D250
    closed
    ");
    // One client disconnects: another is accepted as soon as the gateway has noticed.
    clients.pop();
    let mut accepted = gateway.accepted_client();
    assert!(accepted.query("").starts_with("Empty"));
}

/// Guards against clients that send one query and stay connected: they would use up the connection limit, and new
/// clients would be rejected.
#[test]
fn longest_idle_client_is_evicted_at_the_connection_limit() {
    let host = Host::start("s-1", true, reply_with_row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let limit_descriptors = |config: &mut Value| config["limits"]["sockets"] = json!(70);
    let gateway = Gateway::start_with_config(&discovery, &[&host], limit_descriptors);
    let mut clients: Vec<Client> = (0..4).map(|_| gateway.client()).collect();
    clients
        .iter_mut()
        .for_each(|c| assert!(c.query(&statement("read", 9_000)).contains("a1b2")));
    assert!(
        clients[0].query("").starts_with("Empty"),
        "connected first, but not idle for longest"
    );
    let mut accepted = gateway.accepted_client();
    assert_eq!(
        clients.remove(1).stream.read(&mut [0]).unwrap(),
        0,
        "an idle client is closed without an error"
    );
    clients.push(
        accepted
            .query("")
            .starts_with("Empty")
            .then_some(accepted)
            .unwrap(),
    );
    clients
        .iter_mut()
        .for_each(|c| assert!(c.query(&statement("read", 9_000)).contains("a1b2")));
}

/// Guards against surges of clients that send one query and stay connected: they would use up the third of the
/// descriptors that all clients share before the connection limit is reached.
#[test]
fn idle_clients_are_evicted_below_the_limit_when_connections_surge() {
    let host = Host::start("s-1", true, reply_with_row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    // 38 connections are allowed, of which 20 are in use at normal load.
    let limit_descriptors = |config: &mut Value| config["limits"]["sockets"] = json!(120);
    let gateway = Gateway::start_with_config(&discovery, &[&host], limit_descriptors);
    let mut clients: Vec<Client> = (0..30).map(|_| gateway.client()).collect();
    clients
        .iter_mut()
        .for_each(|c| assert!(c.query(&statement("read", 9_000)).contains("a1b2")));
    let mut remaining = clients.split_off(10);
    for c in &mut clients {
        assert_eq!(
            c.stream.read(&mut [0]).unwrap(),
            0,
            "the clients that have been idle for longest are evicted"
        );
    }
    remaining
        .iter_mut()
        .for_each(|c| assert!(c.query(&statement("read", 9_000)).contains("a1b2")));
}

/// Guards against clients that send nothing or an incomplete message, and so hold their connections indefinitely.
#[test]
fn incomplete_client_message_times_out_with_an_error() {
    let host = Host::start("s-1", true, reply_with_row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut idle = gateway.client();
    let mut partial_query = gateway.client();
    let silent = gateway.connect();
    let mut partial_startup = gateway.connect();
    partial_query.send(&query_message(&statement("read", 9_000))[..20]);
    partial_startup.send(&startup_message()[..6]);
    let answers =
        [silent, partial_query, partial_startup].map(|mut client| client.read_until_ready());
    assert_snapshot!(answers.join("\n"), @r"
    ErrorResponse SFATAL VFATAL C08P01 Ma message that does not become whole
    closed
    ErrorResponse SFATAL VFATAL C08P01 Ma message that does not become whole
    closed
    ErrorResponse SFATAL VFATAL C08P01 Ma message that does not become whole
    closed
    ");
    assert!(
        idle.query(&statement("read", 9_000)).contains("a1b2"),
        "a client may be idle between two requests"
    );
}

/// Guards against clients that write slowly and hold their connections while quiet clients are evicted for them.
#[test]
fn client_that_stopped_in_a_message_is_evicted_before_one_that_is_quiet() {
    let host = Host::start("s-1", true, reply_with_row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    // 38 connections are allowed, of which 20 are in use at normal load.
    let limit_descriptors = |config: &mut Value| config["limits"]["sockets"] = json!(120);
    let gateway = Gateway::start_with_config(&discovery, &[&host], limit_descriptors);
    let mut quiet = gateway.client();
    let mut slow: Vec<Client> = (0..19).map(|_| gateway.client()).collect();
    let message = query_message(&statement("read", 9_000));
    let started = Instant::now();
    let mut sent = 0;
    // Each client writes a byte every 0.1 s for longer than a message may take in a crowd.
    while started.elapsed() < Duration::from_millis(2_200) {
        slow.iter_mut().for_each(|c| c.send(&message[sent..=sent]));
        sent += 1;
        assert!(quiet.query("").starts_with("Empty"));
        sleep(Duration::from_millis(100));
    }
    let mut later: Vec<Client> = (0..5).map(|_| gateway.client()).collect();
    assert!(quiet.query(&statement("read", 9_000)).contains("a1b2"));
    assert!(later[0].query("").starts_with("Empty"));
    // The others are ended later because they write nothing more.
    let answers = slow.iter_mut().map(Client::read_until_ready);
    let evicted = answers.filter(|answer| answer.contains("C53300"));
    assert_eq!(evicted.count(), later.len());
}

/// Guards against memory that grows with the clients that read long values slowly.
#[test]
fn clients_that_read_long_values_slowly_do_not_exceed_the_memory_limit() {
    const CLIENTS: usize = 300;
    const MEMORY_MB: u64 = 16;
    const VALUE_LENGTH: usize = 8 << 20;
    let host = Host::start("s-1", true, |_, _| HostReply::PausedRow(VALUE_LENGTH));
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start_with_config(&discovery, &[&host], |config| {
        config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 2_000});
        config["settings"]["Bounds"]["Probes"] = json!(false);
    });
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| gateway.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let id = format!("{number:04x}");
        client.send(&query_message(
            &statement("read", 19_000).replace("9b1f", &id),
        ));
    }
    let mut served = 0;
    for client in &mut clients {
        served += usize::from(client.read_byte() == b'T');
    }
    let peak_mb = gateway.peak_memory_kb() / 1_024;
    assert!(peak_mb < MEMORY_MB, "{peak_mb} MB for {served} values");
    assert!(served > 0);
}
