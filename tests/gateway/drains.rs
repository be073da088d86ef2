//! Drains of the gateway and of a database host.

use crate::harness::discovery::{Discovery, EndpointList};
use crate::harness::gateway::Gateway;
use crate::harness::host::{reply_with_row, Host, HostReply};
use crate::harness::manual_host::{read_query, send_authentication_ok, ManualHost};
use crate::harness::messages::{
    query_message, read_query_message, slow_query_message, startup_message, statement,
};
use insta::assert_snapshot;
use serde_json::json;
use std::io::{Read, Write};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Guards against a gateway drain that keeps clients connected or interrupts their requests, and against a gateway that
/// cannot be activated again.
#[test]
fn evacuated_gateway_closes_clients_after_their_answers_until_activated() {
    let host = Host::start("s-1", true, |_, text| {
        if text.contains("slow") {
            std::thread::sleep(Duration::from_millis(600));
        }
        HostReply::Row("a1b2")
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let mut gateway = Gateway::start(&discovery, &[&host]);
    let mut idle = gateway.client();
    let mut busy = gateway.client();
    let slow = slow_query_message(9_000);
    busy.send(&[slow, query_message("")].concat());
    host.wait_for_event("slow");
    assert_snapshot!(gateway.call_console("readyz\n"), @"+OK ready");
    assert_snapshot!(gateway.call_console("evacuate\r\n"), @"+OK clients are sent away");
    assert_snapshot!(gateway.call_console("evacuate\n"), @"+OK clients are sent away");
    assert_snapshot!(gateway.call_console("readyz\n"), @"-ERR drained");
    let mut new = gateway.connect();
    new.send(&[startup_message(), query_message(&statement("once", 9_000))].concat());
    new.read_until_ready();
    assert!(
        new.read_until_ready().contains("a1b2"),
        "requests of new clients are still served"
    );
    assert_eq!(new.read_until_ready(), "closed");
    assert_eq!(idle.read_until_ready(), "closed");
    assert!(
        busy.read_until_ready().contains("a1b2"),
        "the open request is finished"
    );
    assert_snapshot!(busy.read_until_ready(), @r"
    ErrorResponse SERROR VERROR C57P03 Mclients are sent away
    ReadyForQuery
    ");
    assert_eq!(busy.read_until_ready(), "closed");
    assert_snapshot!(gateway.call_console("activate\n"), @"+OK clients are welcome");
    let mut back = gateway.client();
    assert!(back.query("").starts_with("Empty"));
    assert!(back.query(&statement("once", 9_000)).contains("a1b2"));
    gateway.signal("-TERM");
    gateway.wait_for_log("stopping");
    assert_snapshot!(gateway.call_console("readyz\n"), @"-ERR stopping");
    assert_snapshot!(gateway.call_console("activate\n"), @"-ERR stopping");
    assert_eq!(gateway.exit_code(), Some(0));
}

/// Guards against an `evacuate` that never ends for a client which always has requests outstanding, and against requests
/// that were read and get no answer when it does.
#[test]
fn evacuated_gateway_disconnects_clients_that_always_have_requests_outstanding() {
    const DISCONNECTED_WITHIN: Duration = Duration::from_secs(4);
    let host = Host::start("s-1", true, |_, _| {
        std::thread::sleep(Duration::from_millis(10));
        HostReply::Row("a1b2")
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let request_ids = AtomicU32::new(0);
    let next_request =
        || read_query_message(&format!("{:x}", request_ids.fetch_add(1, Ordering::SeqCst)));
    let answered: usize = std::thread::scope(|scope| {
        let clients: Vec<_> = [2, 10, 50]
            .map(|outstanding| {
                let mut client = gateway.client();
                scope.spawn(move || {
                    (0..outstanding).for_each(|_| client.send(&next_request()));
                    let mut answered = 0;
                    while client.read_until_ready().ends_with("ReadyForQuery") {
                        answered += 1;
                        // Fails once the gateway has closed the connection.
                        let _ = client.stream.write_all(&next_request());
                    }
                    answered
                })
            })
            .into_iter()
            .collect();
        std::thread::sleep(Duration::from_millis(300));
        let called = Instant::now();
        gateway.call_console("evacuate\n");
        let answered = clients
            .into_iter()
            .map(|client| client.join().unwrap())
            .sum();
        let elapsed = called.elapsed();
        assert!(elapsed < DISCONNECTED_WITHIN, "{elapsed:?}");
        answered
    });
    let statements = host.statements().len();
    assert_eq!(answered, statements, "answers and statements at the host");
}

/// Guards against closing a connection that has unread input: the close would reset the connection and discard the last
/// answer.
#[test]
fn connection_closed_by_the_gateway_reads_crossing_input_without_a_reset() {
    let host = Host::start("s-1", true, reply_with_row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut idle = gateway.client();
    assert!(idle.query(&statement("once", 9_000)).contains("a1b2"));
    gateway.call_console("evacuate\n");
    assert_eq!(idle.read_until_ready(), "closed");
    // The gateway has closed its sending side; now the client sends more than one buffer of input.
    let before = host.statements().len();
    for _ in 0..20 {
        idle.send(&read_query_message("1111").repeat(40));
        std::thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(
        idle.stream
            .read(&mut [0])
            .expect("end of connection, not a reset"),
        0
    );
    assert_eq!(
        host.statements().len(),
        before,
        "input received after the close is not forwarded"
    );
}

/// Guards against a health check that was scheduled before its host drained, and whose connection is established
/// afterwards.
#[test]
fn health_check_is_not_sent_when_its_host_drains_during_connect() {
    let manual_host = ManualHost::start();
    let discovery = Discovery::start(vec![manual_host.entry("in_service")]);
    let gateway = Gateway::start_with_config(&discovery, &[], |config| {
        config["known"]["members"] = json!([manual_host.entry("in_service")]);
        config["settings"]["Bounds"]["ConnectTimeoutNs"] = json!(20_000_000_000u64);
    });
    // A write while the primary is unknown makes the gateway check all hosts.
    let mut client = gateway.client();
    client.send(&query_message(&statement("order", 9_000)));
    let mut late = manual_host.accept();
    discovery.publish(EndpointList::Members(json!([
        manual_host.entry("terminating")
    ])));
    send_authentication_ok(&mut late);
    assert_eq!(
        read_query(&mut late),
        None,
        "no health check to a draining host"
    );
}

/// Guards against requests that get no attempt because reading from their client has ended during a drain.
#[test]
fn request_completed_after_reading_has_ended_is_sent_when_its_connection_comes_up_late() {
    const READING_ENDED: Duration = Duration::from_millis(1_200);
    const LATE_CONNECTION: Duration = Duration::from_millis(200);
    let manual_host = ManualHost::start();
    let discovery = Discovery::start(vec![manual_host.entry("in_service")]);
    let gateway = manual_host.start_gateway_without_health_checks(&discovery);
    let mut client = gateway.client();
    let request = read_query_message("1111");
    let (begin, rest) = request.split_at(request.len() / 2);
    client.send(begin);
    std::thread::sleep(Duration::from_millis(50));
    gateway.call_console("evacuate\n");
    std::thread::sleep(READING_ENDED);
    client.send(rest);
    let mut late = manual_host.accept();
    std::thread::sleep(LATE_CONNECTION);
    send_authentication_ok(&mut late);
    let seen = read_query(&mut late).expect("the request");
    assert!(seen.contains("id=1111"), "{seen}");
}
