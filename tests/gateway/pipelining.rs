//! Clients that send requests ahead of their answers: each request that the gateway has taken gets its answer, in order.

use crate::harness::client::Client;
use crate::harness::discovery::Discovery;
use crate::harness::gateway::Gateway;
use crate::harness::host::{no_reply_to_slow, Host};
use crate::harness::messages::{query_message, statement};
use serde_json::json;
use std::time::{Duration, Instant};

/// The platform kills a gateway no sooner than this after SIGTERM, with deadlines of 3 s and more.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);
/// Size of the largest value that a client writes, in bytes.
const LARGEST_VALUE: usize = 64 * 1024;

/// A keyed write of a value of this many bytes.
fn write_message(id: &str, value_length: usize, wait_ms: u64) -> Vec<u8> {
    let value = "0".repeat(value_length);
    query_message(&format!(
        "INSERT INTO entries (ref, payload) VALUES ('{id}', '{value}') RETURNING payload \
         /* id={id},c=order,d={wait_ms},k={id},cluster=2 */"
    ))
}

/// Reads this many answers; the last one may be the end of the connection.
fn read_answers(client: &mut Client, count: usize) -> Vec<String> {
    (0..count).map(|_| client.read_until_ready()).collect()
}

/// Guards against a limit on what is read ahead that ends the connection: the requests behind an unanswered one would get
/// no answer (incident 8131).
#[test]
fn large_writes_behind_an_unanswered_one_all_get_their_answers() {
    let host = Host::start("s-1", true, no_reply_to_slow);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.client();
    client.send(&write_message("slow", 10, 500));
    host.wait_for_event("slow");
    for number in 0..6 {
        client.send(&write_message(
            &format!("{number:04x}"),
            LARGEST_VALUE,
            9_000,
        ));
    }
    let answers = read_answers(&mut client, 7);
    assert!(
        answers[0].starts_with("ErrorResponse SERROR VERROR CXX000"),
        "{answers:?}"
    );
    for answer in &answers[1..] {
        assert!(answer.contains("DataRow a1b2"), "{answers:?}");
    }
}

/// Guards against the shared memory for messages ending connections on which answers are due: what many clients send
/// ahead is more than that memory holds.
#[test]
fn requests_sent_ahead_beyond_the_shared_memory_all_get_their_answers() {
    const CLIENTS: usize = 40;
    const WRITES: usize = 3;
    let host = Host::start("s-1", true, no_reply_to_slow);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    // A quarter of it is for messages: 4 MiB, and the clients send 7.5 MiB ahead.
    let limit_memory = |config: &mut serde_json::Value| config["limits"]["memory_mb"] = json!(16);
    let gateway = Gateway::start_with_config(&discovery, &[&host], limit_memory);
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| gateway.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&write_message(&format!("slow{number}"), 10, 2_000));
    }
    for (number, client) in clients.iter_mut().enumerate() {
        for write in 0..WRITES {
            let id = format!("{number:04x}{write}");
            client.send(&write_message(&id, LARGEST_VALUE, 9_000));
        }
    }
    for client in &mut clients {
        let answers = read_answers(client, 1 + WRITES);
        for answer in &answers {
            assert!(answer.ends_with("ReadyForQuery"), "{answers:?}");
        }
    }
}

/// Guards against a request from before SIGTERM that keeps its own deadline beyond the kill, and with it everything that
/// came behind it on its connection.
#[test]
fn requests_behind_an_unanswered_one_are_answered_before_the_kill_after_sigterm() {
    let host = Host::start("s-1", true, no_reply_to_slow);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.client();
    client.send(&query_message(
        &statement("once", 9_000).replace("7f3a", "slow"),
    ));
    host.wait_for_event("slow");
    let terminated = Instant::now();
    gateway.signal("-TERM");
    gateway.wait_for_log("stopping");
    client.send(&query_message(
        &statement("read", 9_000).replace("9b1f", "9b20"),
    ));
    let answers = read_answers(&mut client, 2);
    let elapsed = terminated.elapsed();
    for answer in &answers {
        assert!(answer.ends_with("ReadyForQuery"), "{answers:?}");
    }
    assert!(elapsed < EARLIEST_KILL, "{elapsed:?}: {answers:?}");
}
