//! Clients that pipeline requests: each request that the gateway has accepted gets its answer, in order.

use crate::harness::client::{assert_incomplete_value, Client};
use crate::harness::discovery::Discovery;
use crate::harness::gateway::Gateway;
use crate::harness::host::{no_reply_to_slow, row_reply, Host, HostReply};
use crate::harness::manual_host::{read_query, send_authentication_ok, ManualHost};
use crate::harness::messages::{query_message, read_query_message, startup_message, statement};
use serde_json::json;
use std::io::Write;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Minimum time from SIGTERM until the platform kills the gateway, for settings whose deadlines are 3 s or longer.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);
/// Size of the largest value that a client writes in these tests, in bytes.
const LARGEST_VALUE: usize = 64 * 1024;

/// A keyed write whose value has `value_length` bytes.
fn write_message(id: &str, value_length: usize, wait_ms: u64) -> Vec<u8> {
    let value = "0".repeat(value_length);
    query_message(&format!(
        "INSERT INTO entries (ref, payload) VALUES ('{id}', '{value}') RETURNING payload \
         /* id={id},c=order,d={wait_ms},k={id},cluster=2 */"
    ))
}

/// A client of a gateway that has found the primary of the group. On a busy machine, a first write with a short deadline
/// would be rejected before the primary is found.
fn client_of_known_primary(gateway: &Gateway) -> Client {
    let mut client = gateway.client();
    let answer = client_answer(&mut client, &write_message("first", 10, 20_000));
    assert!(answer.contains("DataRow a1b2"), "{answer}");
    client
}

/// Reads `count` answers; the last one may be the end of the connection.
fn read_answers(client: &mut Client, count: usize) -> Vec<String> {
    (0..count).map(|_| client.read_until_ready()).collect()
}

/// Guards against a read-ahead limit that ends the connection: the requests behind an unanswered one would get no
/// answer (incident 8131).
#[test]
fn large_writes_behind_an_unanswered_one_all_get_their_answers() {
    let host = Host::start("s-1", true, no_reply_to_slow);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = client_of_known_primary(&gateway);
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

/// Guards against closing connections with unanswered requests when the pipelined requests of many clients exceed the
/// shared message memory.
#[test]
fn requests_sent_ahead_beyond_the_shared_memory_all_get_their_answers() {
    const CLIENTS: usize = 40;
    const WRITES: usize = 3;
    let host = Host::start("s-1", true, no_reply_to_slow);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    // A quarter of the memory is for messages: 4 MiB. The clients send 7.5 MiB ahead.
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

/// Guards against a request received before SIGTERM that keeps its original deadline, which is later than the kill: the
/// requests behind it on its connection would get no answer either.
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

/// A read with the given request id, whose client waits for `wait_ms`.
fn read_query_with_wait(id: &str, wait_ms: u64) -> Vec<u8> {
    query_message(&statement("read", wait_ms).replace("9b1f", id))
}

/// Guards against measuring the deadline of a pipelined request from the moment at which it is dispatched: it would be
/// answered after its client has stopped waiting, and its host would be given more time than the client has.
#[test]
fn deadline_of_a_pipelined_request_counts_from_its_last_byte_and_not_from_its_dispatch() {
    let manual_host = ManualHost::start();
    let discovery = Discovery::start(vec![manual_host.entry("in_service")]);
    let gateway = manual_host.start_gateway_without_health_checks(&discovery);
    let mut client = gateway.client();
    let sent = Instant::now();
    // The first request gets no answer, the second one expires before it can be dispatched, and the third has used up
    // part of its time by then.
    client.send(
        &[
            read_query_with_wait("01", 600),
            read_query_with_wait("02", 300),
            read_query_with_wait("03", 9_000),
        ]
        .concat(),
    );
    let mut first = manual_host.accept();
    send_authentication_ok(&mut first);
    read_query(&mut first).expect("the request that gets no answer");
    assert!(client
        .read_until_ready()
        .starts_with("ErrorResponse SERROR"));
    let second = client.read_until_ready();
    assert!(second.contains("C53300"), "{second}");
    let waited = sent.elapsed();
    let mut third = manual_host.accept();
    send_authentication_ok(&mut third);
    let seen = read_query(&mut third).expect("the third request");
    assert!(
        seen.contains("id=03"),
        "the expired second request must not be sent: {seen}"
    );
    let remaining_ms = seen.split_once("d=").unwrap().1.split(',').next().unwrap();
    let forwarded_wait = Duration::from_millis(remaining_ms.parse().unwrap());
    assert!(
        forwarded_wait + waited <= Duration::from_millis(9_150),
        "{forwarded_wait:?} forwarded after {waited:?}"
    );
    gateway.wait_for_counter(" expired=1 ");
}

/// Guards against waits that are zero, negative or not valid numbers in a request behind another one: such a request
/// gets the same answer as on its own, and no attempt.
#[test]
fn pipelined_requests_with_zero_or_invalid_waits_are_answered_as_on_their_own() {
    let host = Host::start("s-1", true, no_reply_to_slow);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let messages: Vec<Vec<u8>> = ["0", "-1", "NaN", "1e300"]
        .iter()
        .map(|wait| statement("read", 7).replace("d=7", &format!("d={wait}")))
        .map(|text| query_message(&text))
        .collect();
    let mut alone = gateway.client();
    let expected: Vec<String> = messages
        .iter()
        .map(|message| client_answer(&mut alone, message))
        .collect();
    let mut client = client_of_known_primary(&gateway);
    client.send(&[write_message("slow", 10, 300), messages.concat()].concat());
    assert!(client.read_until_ready().contains("CXX000"));
    assert_eq!(read_answers(&mut client, messages.len()), expected);
    assert!(host.statements().is_empty(), "{:?}", host.statements());
}

/// Guards against measuring the deadline of a request that arrives in two pieces from the first piece.
#[test]
fn deadline_of_a_request_in_pieces_counts_from_the_last_piece() {
    let host = Host::start("s-1", true, no_reply_to_slow);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = client_of_known_primary(&gateway);
    let message = read_query_with_wait("02", 300);
    client.send(&[&write_message("slow", 10, 600)[..], &message[..20]].concat());
    let first = client.read_until_ready();
    assert!(first.contains("CXX000"), "{first}");
    client.send(&message[20..]);
    let answer = client.read_until_ready();
    assert!(answer.contains("DataRow a1b2"), "{answer}");
}

/// Guards against closing the connection or dropping an answer when the memory for large messages runs out in the
/// middle of a message: that message is rejected, and the next one is served.
#[test]
fn message_without_buffer_memory_is_rejected_and_its_connection_stays_open() {
    let host = Host::start("s-1", true, no_reply_to_slow);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    // A quarter of the memory is for messages: 256 KiB, less than the statement needs with its copies.
    let limit_memory = |config: &mut serde_json::Value| config["limits"]["memory_mb"] = json!(1);
    let gateway = Gateway::start_with_config(&discovery, &[&host], limit_memory);
    let mut client = gateway.client();
    for round in 0..3 {
        let large = client_answer(
            &mut client,
            &write_message(&format!("{round}"), 200_000, 9_000),
        );
        assert!(
            large.contains("C53300") && large.ends_with("ReadyForQuery"),
            "{large}"
        );
        let small = client_answer(
            &mut client,
            &read_query_with_wait(&format!("a{round}"), 9_000),
        );
        assert!(small.contains("DataRow a1b2"), "{small}");
    }
    gateway.wait_for_counter(" no_memory=3 ");
}

fn client_answer(client: &mut Client, message: &[u8]) -> String {
    client.send(message);
    client.read_until_ready()
}

/// Guards against missing the disconnect of a client that has sent more than is read ahead: an attempt would be started
/// for a client that is no longer connected.
#[test]
fn disconnect_behind_more_than_is_read_ahead_is_detected() {
    let manual_host = ManualHost::start();
    let discovery = Discovery::start(vec![manual_host.entry("in_service")]);
    let gateway = manual_host.start_gateway_without_health_checks(&discovery);
    let mut leaving = gateway.client();
    leaving.send(&read_query_message("1111"));
    let mut late = manual_host.accept();
    let message = write_message("2222", LARGEST_VALUE, 9_000);
    // More than the gateway buffers, than it discards at full speed, and than the socket buffers hold.
    for _ in 0..190 {
        leaving.send(&message);
    }
    drop(leaving);
    gateway.wait_for_counter(" client_gone=1 ");
    send_authentication_ok(&mut late);
    let mut other = gateway.client();
    // The connection has to be idle in the pool before it can serve the next request.
    std::thread::sleep(Duration::from_millis(50));
    other.send(&read_query_message("3333"));
    let seen = read_query(&mut late).expect("a query on the reused connection");
    assert!(
        seen.contains("id=3333"),
        "query sent for a disconnected client: {seen}"
    );
}

/// Guards against queries beyond the read-ahead limit that get no answer, or one out of order.
#[test]
fn queries_beyond_the_read_ahead_limit_are_rejected_in_order() {
    let host = Host::start("s-1", true, no_reply_to_slow);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = client_of_known_primary(&gateway);
    client.send(&write_message("slow", 10, 1_500));
    host.wait_for_event("slow");
    for number in 0..30 {
        client.send(&write_message(
            &format!("{number:04x}"),
            LARGEST_VALUE,
            9_000,
        ));
    }
    let answers = read_answers(&mut client, 31);
    let is_row = |answer: &&String| answer.contains("DataRow a1b2");
    let rows = answers[1..].iter().take_while(is_row).count();
    assert!(
        rows >= 15,
        "at least a mebibyte must be read ahead: {answers:?}"
    );
    for answer in &answers[1 + rows..] {
        assert!(
            answer.contains("C53300") && answer.ends_with("ReadyForQuery"),
            "{answers:?}"
        );
    }
    assert!(
        client_answer(&mut client, &read_query_with_wait("ffff", 9_000)).contains("DataRow a1b2")
    );
}

/// Guards against dropping the messages behind a protocol violation without counting them, and against dropping the
/// answers to the requests before it.
#[test]
fn queries_behind_a_protocol_violation_are_counted_and_those_before_it_answered() {
    let host = Host::start("s-1", true, no_reply_to_slow);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = client_of_known_primary(&gateway);
    client.send(
        &[
            write_message("slow", 10, 300),
            read_query_with_wait("02", 9_000),
            b"?\0\0\0\x04".to_vec(),
            read_query_with_wait("03", 9_000),
        ]
        .concat(),
    );
    assert!(client.read_until_ready().contains("CXX000"));
    assert!(client.read_until_ready().contains("DataRow a1b2"));
    let last = client.read_until_ready();
    assert!(last.starts_with("ErrorResponse SFATAL VFATAL C08P01") && last.ends_with("closed"));
    gateway.wait_for_log("ends the connection (ErrorSent), 1 queries unanswered: 03");
    gateway.wait_for_counter(" unanswered=1");
}

/// Guards against dropping a request that arrives while the gateway forwards a long answer and reads no input.
#[test]
fn requests_behind_a_long_answer_to_a_slow_client_are_answered() {
    let host = Host::start("s-1", true, |_, text| match text {
        text if text.contains("long") => HostReply::PausedRow(8 << 20),
        _ => HostReply::Row("a1b2"),
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.client();
    client.send(&query_message(
        &statement("read", 9_000).replace("7f3a", "long"),
    ));
    for number in 0..6 {
        client.send(&write_message(
            &format!("{number:04x}"),
            LARGEST_VALUE,
            9_000,
        ));
    }
    host.resume();
    let answers = read_answers(&mut client, 7);
    assert!(answers[0].contains("DataRow vvvv"));
    for answer in &answers[1..] {
        assert!(answer.ends_with("ReadyForQuery"), "{answer}");
    }
}

/// Guards against a client that keeps its connection open from SIGTERM until the kill by pipelining requests without
/// pause: the gateway closes the connection earlier, and answers each request that was sent more than `CROSSING` before
/// the close.
#[test]
fn client_that_never_stops_sending_gets_its_answers_before_the_kill() {
    const CROSSING: Duration = Duration::from_millis(100);
    let host = Host::start("s-1", true, no_reply_to_slow);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.client();
    // The first request gets no answer from its host, so that many others queue behind it.
    client.send(&write_message("slow", 10, 9_000));
    host.wait_for_event("slow");
    let terminated = Instant::now();
    gateway.signal("-TERM");
    let mut writer = client.stream.try_clone().unwrap();
    let sending = std::thread::spawn(move || {
        let mut sent_at = Vec::new();
        for number in 0.. {
            if writer
                .write_all(&read_query_with_wait(&format!("{number:x}"), 9_000))
                .is_err()
                || terminated.elapsed() > 2 * EARLIEST_KILL
            {
                return sent_at;
            }
            sent_at.push(Instant::now());
            std::thread::sleep(Duration::from_micros(300));
        }
        sent_at
    });
    let mut answered = 0;
    while client.read_until_ready().ends_with("ReadyForQuery") {
        answered += 1;
    }
    let ended = Instant::now();
    assert!(
        ended < terminated + EARLIEST_KILL,
        "connection still open at the kill"
    );
    let sent_at = sending.join().unwrap();
    let expected = sent_at.iter().filter(|&&at| at + CROSSING < ended).count();
    assert!(
        answered > expected,
        "{answered} answers for {expected} requests"
    );
}

/// Guards against dropping queries that are pipelined behind the startup message on a connection beyond the connection
/// limit.
#[test]
fn queries_behind_the_startup_of_a_connection_beyond_the_limit_are_all_rejected() {
    let host = Host::start("s-1", true, no_reply_to_slow);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let limit_descriptors =
        |config: &mut serde_json::Value| config["limits"]["sockets"] = json!(70);
    let gateway = Gateway::start_with_config(&discovery, &[&host], limit_descriptors);
    // Four connections are allowed, and none is idle for long enough to be evicted.
    let mut busy: Vec<Client> = (0..4).map(|_| gateway.client()).collect();
    for (number, client) in busy.iter_mut().enumerate() {
        client.send(&write_message(&format!("slow{number}"), 10, 9_000));
    }
    let mut rejected = gateway.connect();
    rejected.send(
        &[
            startup_message(),
            read_query_with_wait("01", 9_000),
            read_query_with_wait("02", 9_000),
        ]
        .concat(),
    );
    assert!(rejected.read_until_ready().starts_with("AuthenticationOk"));
    for answer in read_answers(&mut rejected, 2) {
        assert!(
            answer.contains("C53300") && answer.ends_with("ReadyForQuery"),
            "{answer}"
        );
    }
    assert!(rejected.read_until_ready().contains("SFATAL VFATAL C53300"));
}

/// Guards against ending the connection when a value breaks off: the requests behind it would get no answer.
#[test]
fn requests_behind_a_value_that_breaks_off_are_answered() {
    const LENGTH: usize = 1 << 20;
    let host = Host::start("s-1", true, |_, text| match text {
        _ if text.contains("half") => HostReply::TruncatedRow(LENGTH),
        _ if text.contains("failed") => HostReply::RowBeforeError(LENGTH),
        _ => HostReply::Row("a1b2"),
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.client();
    for reference in ["half", "failed"] {
        let long_read = statement("read", 9_000).replace("7f3a", reference);
        client.send(
            &[
                query_message(&long_read),
                read_query_with_wait("02", 9_000),
                write_message("03", 10, 9_000),
                read_query_with_wait("04", 9_000),
            ]
            .concat(),
        );
        let answers = read_answers(&mut client, 4);
        assert_incomplete_value(&answers[0]);
        for answer in &answers[1..] {
            assert_eq!(
                answer, "RowDescription\nDataRow a1b2\nCommandComplete SELECT 1\nReadyForQuery",
                "{reference}"
            );
        }
    }
    gateway.wait_for_counter(" truncated=2 ");
}

/// Guards against a value whose host hangs while the gateway shuts down: the requests behind it would get no answer.
#[test]
fn requests_behind_a_value_whose_host_hangs_are_answered_before_the_kill_after_sigterm() {
    let host = Host::start("s-1", true, |_, text| match text {
        _ if text.contains("long") => HostReply::PausedRow(1 << 20),
        _ => HostReply::Row("a1b2"),
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.client();
    let long_read = query_message(&statement("read", 9_000).replace("7f3a", "long"));
    client.send(&[long_read, read_query_with_wait("02", 9_000)].concat());
    host.wait_for_event("long");
    let terminated = Instant::now();
    gateway.signal("-TERM");
    gateway.wait_for_log("stopping");
    client.send(&read_query_with_wait("03", 9_000));
    let answers = read_answers(&mut client, 3);
    let elapsed = terminated.elapsed();
    assert_incomplete_value(&answers[0]);
    for answer in &answers[1..] {
        assert!(answer.ends_with("ReadyForQuery"), "{answer}");
    }
    assert!(elapsed < EARLIEST_KILL, "{elapsed:?}");
}

/// Guards against a planned shutdown that breaks off a long value which its host still gives, for the sake of a query
/// behind it (second review, `shutdown-value`).
#[test]
fn value_that_its_host_still_gives_is_not_broken_off_for_a_query_behind_it() {
    const DEADLINE: Duration = Duration::from_millis(800);
    const EARLIEST_KILL: Duration = Duration::from_millis(1_500);
    const LENGTH: usize = 1 << 20;
    const PIECES: usize = 40;
    let manual_host = ManualHost::start();
    let discovery = Discovery::start(vec![manual_host.entry("in_service")]);
    let gateway = Gateway::start_with_config(&discovery, &[], |config| {
        config["known"]["members"] = json!([manual_host.entry("in_service")]);
        config["settings"]["Bounds"]["Probes"] = json!(false);
        for class in config["settings"]["Classes"].as_array_mut().unwrap() {
            class["DeadlineNs"] = json!(DEADLINE.as_nanos() as u64);
        }
    });
    let mut client = gateway.client();
    let queries = [
        read_query_with_wait("01", 800),
        read_query_with_wait("02", 800),
    ];
    client.send(&queries.concat());
    let mut host = manual_host.accept();
    send_authentication_ok(&mut host);
    read_query(&mut host).unwrap();
    let terminated = Instant::now();
    gateway.signal("-TERM");
    gateway.wait_for_log("stopping");
    // The last piece is given 50 ms before the kill is due.
    let pause = (EARLIEST_KILL - Duration::from_millis(50)) / PIECES as u32;
    let reply = row_reply(&"v".repeat(LENGTH), false);
    for (number, piece) in reply.chunks(reply.len().div_ceil(PIECES)).enumerate() {
        let due = terminated + pause * (number as u32 + 1);
        sleep(due.saturating_duration_since(Instant::now()));
        host.write_all(piece).unwrap();
    }
    let answer = client.read_until_ready();
    assert!(answer.contains("CommandComplete"), "{}", answer.len());
}

/// Guards against a client that takes the id of a request which waits behind another one on its connection: the waiting
/// request would be rejected, and the later one served.
#[test]
fn id_belongs_to_the_request_that_arrived_first_even_if_it_waits_for_its_turn() {
    let host = Host::start("s-1", true, no_reply_to_slow);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut owner = client_of_known_primary(&gateway);
    let mut other = gateway.client();
    let invalid = query_message(&statement("nosuch", 9_000).replace("9b1f", "ef01"));
    // Sent at once, so that all of them have been read when the first one reaches its host.
    let pipelined = [
        write_message("slow0", 10, 2_000),
        write_message("abcd", 10, 20_000),
        invalid,
        read_query_with_wait("aaaa", 20_000),
    ];
    owner.send(&pipelined.concat());
    host.wait_for_event("slow0");
    let taken = |answer: &str| answer.contains("C42601 Mthe id of a request that is open");
    let answer = client_answer(&mut other, &read_query_with_wait("abcd", 9_000));
    assert!(taken(&answer), "{answer}");
    let answer = client_answer(&mut other, &read_query_with_wait("ef01", 9_000));
    assert!(
        answer.contains("DataRow a1b2"),
        "an invalid request reserves nothing: {answer}"
    );
    let answers = read_answers(&mut owner, 4);
    assert!(answers[0].contains("CXX000"), "{answers:?}");
    assert!(answers[1].contains("DataRow a1b2"), "{answers:?}");
    assert!(
        answers[2].contains("C42601 Man unknown class"),
        "{answers:?}"
    );
    assert!(answers[3].contains("DataRow a1b2"), "{answers:?}");
    // Ids are released when their requests are answered, and when their connection ends.
    owner.send(&write_message("slow9", 10, 9_000));
    host.wait_for_event("slow9");
    owner.send(&read_query_with_wait("bbbb", 9_000));
    drop(owner);
    gateway.wait_for_counter(" client_gone=1 ");
    for id in ["abcd", "aaaa", "bbbb"] {
        let answer = client_answer(&mut other, &read_query_with_wait(id, 9_000));
        assert!(answer.contains("DataRow a1b2"), "{id}: {answer}");
    }
}
