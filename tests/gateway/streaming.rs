//! Streaming of long values: the gateway forwards them while they arrive.

use crate::harness::client::{assert_incomplete_value, Client};
use crate::harness::discovery::Discovery;
use crate::harness::gateway::Gateway;
use crate::harness::host::{Host, HostReply};
use crate::harness::manual_host::{send_authentication_ok, ManualHost};
use crate::harness::messages::{query_message, statement};
use std::io::Read;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Guards against long values that are delayed, buffered as a whole, or read from a host faster than their client reads
/// them; and against a truncated value that is returned as a complete one, or whose request is retried after its first
/// bytes were forwarded.
#[test]
fn long_value_is_streamed_at_the_pace_of_its_client() {
    const LENGTH: usize = 30 << 20;
    // Length of RowDescription and of the part of DataRow before the value.
    const HEADER_LENGTH: usize = 33 + 11;
    // Number of bytes that a client can read while the host is paused.
    const FIRST_PART: usize = 100_000;
    let host = Host::start("s-1", true, |_, text| match text {
        _ if text.contains("half") => HostReply::TruncatedRow(LENGTH),
        _ if text.contains("long") => HostReply::PausedRow(LENGTH),
        _ => HostReply::Row("a1b2"),
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let long_value_query = |id: &str| {
        query_message(
            &statement("read", 9_000)
                .replace("7f3a", "long")
                .replace("9b1f", id),
        )
    };
    let read_first_part = |client: &mut Client| {
        let mut bytes = vec![0; FIRST_PART];
        client.stream.read_exact(&mut bytes).unwrap();
        assert!(
            bytes.ends_with(b"vvv"),
            "first half of the value while its host is paused"
        );
    };
    let mut whole = gateway.client();
    let mut leaving = gateway.client();
    let mut truncated = gateway.client();
    whole.send(&long_value_query("1"));
    read_first_part(&mut whole);
    // A client stops reading and then disconnects: its host can have sent no more than the buffers between them hold.
    leaving.send(&long_value_query("2"));
    read_first_part(&mut leaving);
    host.resume();
    drop(leaving);
    host.wait_for_event("closed");
    host.events
        .update(|s| assert!(!s.iter().any(|l| l.ends_with("sent")), "{s:?}"));
    // The other value arrives complete, and both client connections can be used again.
    let mut rest = vec![0; LENGTH + HEADER_LENGTH - FIRST_PART];
    whole.stream.read_exact(&mut rest).unwrap();
    assert!(rest.iter().all(|&b| b == b'v'));
    assert_eq!(
        whole.read_until_ready(),
        "CommandComplete SELECT 1\nReadyForQuery"
    );
    host.wait_for_event("sent");
    assert!(whole.query(&statement("read", 9_000)).contains("a1b2"));

    truncated.send(&query_message(
        &statement("read", 9_000).replace("7f3a", "half"),
    ));
    assert_incomplete_value(&truncated.read_until_ready());
    assert_eq!(
        host.statements()
            .iter()
            .filter(|s| s.contains("half"))
            .count(),
        1
    );
    gateway.signal("-USR1");
    gateway.wait_for_log(" served=4 truncated=2 ");
}

/// Guards against a long value that is cut off while its host hangs and would go on.
#[test]
fn long_value_is_whole_although_its_host_is_silent_for_a_while() {
    const LENGTH: usize = 200_000;
    const SILENCE: Duration = Duration::from_secs(11);
    let host = Host::start("s-1", true, |_, _| HostReply::PausedRow(LENGTH));
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.client();
    client.send(&query_message(&statement("read", 9_000)));
    host.wait_for_event("FROM");
    sleep(SILENCE);
    host.resume();
    let answer = client.read_until_ready();
    assert!(answer.ends_with("CommandComplete SELECT 1\nReadyForQuery"));
}

/// Guards against a stream that goes on at a silent host after its client has left.
#[test]
fn client_that_leaves_a_long_value_whose_host_is_silent_ends_the_attempt() {
    const LENGTH: usize = 200_000;
    let host = Host::start("s-1", true, |_, _| HostReply::PausedRow(LENGTH));
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.client();
    client.send(&query_message(&statement("read", 9_000)));
    client.stream.read_exact(&mut [0; LENGTH / 4]).unwrap();
    drop(client);
    gateway.wait_for_counter(" attempt_cancelled=1");
}

/// Guards against a final answer that waits for a large request to be written to a host that does not read it.
#[test]
fn answer_to_a_large_request_whose_host_reads_nothing_comes_in_time() {
    const TEXT_LENGTH: usize = 200_000;
    const WAIT: Duration = Duration::from_millis(600);
    const LATEST_ANSWER: Duration = Duration::from_millis(500);
    let manual_host = ManualHost::start();
    manual_host.limit_receive_buffer(4_096);
    let discovery = Discovery::start(vec![manual_host.entry("in_service")]);
    let gateway = manual_host.start_gateway_without_health_checks(&discovery);
    let mut client = gateway.client();
    let text = statement("read", WAIT.as_millis() as u64).replace("7f3a", &"0".repeat(TEXT_LENGTH));
    let started = Instant::now();
    client.send(&query_message(&text));
    let mut connection = manual_host.accept();
    send_authentication_ok(&mut connection);
    let answer = client.read_until_ready();
    let elapsed = started.elapsed();
    assert!(answer.starts_with("ErrorResponse SERROR"), "{answer}");
    assert!(elapsed <= WAIT + LATEST_ANSWER, "{elapsed:?}");
}
