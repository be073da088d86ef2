//! The wire protocol between clients, gateway and database hosts: forwarding, errors, malformed and incomplete messages.

use crate::harness::discovery::Discovery;
use crate::harness::gateway::Gateway;
use crate::harness::host::{no_reply_to_slow, reply_with_row, Host, HostReply};
use crate::harness::manual_host::{read_query, send_authentication_ok, ManualHost};
use crate::harness::messages::{query_message, startup_message, statement};
use insta::assert_snapshot;
use serde_json::json;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::thread::sleep;
use std::time::Duration;

/// The complete answer of a host: a row with the value `x`.
fn row_answer() -> Vec<u8> {
    let column = [&b"T\0\0\0\x20\0\x01payload\0"[..], &[0; 18]].concat();
    [
        &column[..],
        b"D\0\0\0\x0b\0\x01\0\0\0\x01x",
        b"C\0\0\0\x0dSELECT 1\0",
        b"Z\0\0\0\x05I",
    ]
    .concat()
}

#[test]
fn request_is_forwarded_byte_for_byte_and_its_row_is_returned() {
    let host = Host::start("s-1", true, reply_with_row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.connect();
    client.send(&[0, 0, 0, 8, 0x04, 0xd2, 0x16, 0x2f]);
    assert_eq!(client.read_byte(), b'N', "encryption is declined");
    // The first query follows the startup message in the same packet.
    let first = "SELECT payload FROM entries WHERE ref = 'it''s /* d=1 */' /* id=9b1f,x=1, c=read ,d=9000,cluster=2 */ ;";
    client.send(&[startup_message(), query_message(first)].concat());
    assert_snapshot!(client.read_until_ready(), @r"
    AuthenticationOk
    ReadyForQuery
    ");
    assert_snapshot!(client.read_until_ready(), @r"
    RowDescription
    DataRow a1b2
    CommandComplete SELECT 1
    ReadyForQuery
    ");
    assert_snapshot!(client.query(" ; "), @r"
    EmptyQueryResponse
    ReadyForQuery
    ");
    // Pipelined queries are answered in order, on the upstream connection that is already open.
    client.send(
        &[
            query_message(&statement("once", 9_000)),
            query_message(""),
            query_message(&statement("read", 9_000)),
        ]
        .concat(),
    );
    let answers: Vec<String> = (0..3).map(|_| client.read_until_ready()).collect();
    assert!(
        answers[0].contains("a1b2")
            && answers[1].starts_with("Empty")
            && answers[2].contains("a1b2")
    );
    let lines = host.statements();
    let seen: Vec<&str> = lines
        .iter()
        .map(|l| l.split_once(": ").unwrap().1)
        .collect();
    assert_snapshot!(seen.join("\n"), @r"
    SELECT payload FROM entries WHERE ref = 'it''s /* d=1 */' /* id=9b1f,x=1, c=read ,d=LEFT,cluster=2 */ ;
    SELECT payload FROM entries WHERE ref = '7f3a' /* id=9b1f,c=once,d=LEFT,k=5c0f,cluster=2 */
    SELECT payload FROM entries WHERE ref = '7f3a' /* id=9b1f,c=read,d=LEFT,k=5c0f,cluster=2 */
    ");
}

#[test]
fn invalid_input_is_answered_with_an_error_and_gateway_keeps_serving() {
    let host = Host::start("s-1", true, reply_with_row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.client();
    let good = statement("read", 9_000);
    let statements = [
        "SELECT 1".to_string(),
        good.replace("c=read", "c=unheard-of"),
        good.replace("c=read", "c=own,after=1e300"),
        good.replace("cluster=2", "cluster=77"),
        good.replace("cluster=2", "cluster=two"),
        good.replace("d=9000", "d=-1"),
        good.replace("d=9000", "d=NaN"),
        good.replace("id=9b1f,", ""),
        good.replace("k=5c0f", "d=5"),
        statement("order", 9_000).replace("k=5c0f,", ""),
        good.replace("*/", "*"),
    ];
    let answers: Vec<String> = statements.iter().map(|s| client.query(s)).collect();
    assert_snapshot!(answers.join("\n").replace("\nReadyForQuery", ""), @r"
    ErrorResponse SERROR VERROR C42601 Ma statement that does not end with its comment
    ErrorResponse SERROR VERROR C42601 Man unknown class
    ErrorResponse SERROR VERROR C42601 Mafter is a position that is not there yet
    ErrorResponse SERROR VERROR C42601 Man unknown cluster
    ErrorResponse SERROR VERROR C42601 Mno cluster in the comment
    ErrorResponse SERROR VERROR C42601 Md is no time in milliseconds
    ErrorResponse SERROR VERROR C42601 Md is no time in milliseconds
    ErrorResponse SERROR VERROR C42601 Mno id in the comment
    ErrorResponse SERROR VERROR C42601 Ma name that stands twice in the comment
    ErrorResponse SERROR VERROR C42601 Mno k in the comment of a keyed class
    ErrorResponse SERROR VERROR C42601 Ma statement that does not end with its comment
    ");
    // The extended protocol is rejected up to its Sync, and simple queries are served again after it.
    client.send(
        &[
            b"P\0\0\0\x08a\0b\0" as &[u8],
            b"B\0\0\0\x06a\0",
            b"S\0\0\0\x04",
        ]
        .concat(),
    );
    assert_snapshot!(client.read_until_ready(), @r"
    ErrorResponse SERROR VERROR C0A000 Monly simple queries are spoken here
    ReadyForQuery
    ");
    assert!(client.query(&good).contains("a1b2"));
    assert_protocol_violations_close_their_connection(&gateway);
    assert!(client.query(&good).contains("a1b2"));
}

/// Checks that protocol violations end the connection on which they arrive. The caller checks that the gateway still
/// serves other clients.
fn assert_protocol_violations_close_their_connection(gateway: &Gateway) {
    let violations: [&[u8]; 5] = [
        b"Q\0\0\0\x06xx",
        b"Q\0\0\0\x03",
        b"Q\x7f\xff\xff\xff",
        b"Q\0\0\0\x07x\0\0",
        b"?\0\0\0\x04",
    ];
    for violation in violations {
        let mut client = gateway.client();
        client.send(violation);
        let answer = client.read_until_ready();
        assert!(
            answer.starts_with("ErrorResponse SFATAL VFATAL C08P01"),
            "{answer}"
        );
        assert!(answer.ends_with("closed"));
    }
    for start in [
        b"\0\0\0\x01nonsense" as &[u8],
        b"GET / HTTP/1.1\r\n\r\n",
        b"\0\0\0\x08\0\x02\0\0",
    ] {
        let mut client = gateway.connect();
        client.send(start);
        assert!(client
            .read_until_ready()
            .starts_with("ErrorResponse SFATAL VFATAL C08P01"));
    }
    // A message truncated by the end of the connection.
    let mut truncated = gateway.client();
    truncated.send(&query_message(&statement("read", 9_000))[..20]);
    truncated.stream.shutdown(Shutdown::Both).unwrap();
}

#[test]
fn malformed_host_answer_is_retried_and_never_returned() {
    // Two columns, a wrong length, bytes that form no message, a completion without a row; then a valid row.
    let host = Host::start("s-1", true, |n, _| match n {
        0 => HostReply::Raw(b"D\0\0\0\x10\0\x02\0\0\0\x01x\0\0\0\x01yZ\0\0\0\x05I"),
        1 => HostReply::Raw(b"D\0\0\0\x0b\0\x01\0\0\0\x09xC\0\0\0\x0dSELECT 1\0Z\0\0\0\x05I"),
        2 => HostReply::Raw(b"!!!!!!!!!!!!"),
        3 => HostReply::Raw(b"C\0\0\0\x0dSELECT 0\0Z\0\0\0\x05I"),
        _ => HostReply::Row("true"),
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let answer = gateway.client().query(&statement("read", 9_000));
    assert!(answer.contains("DataRow true"), "{answer}");
    assert_eq!(host.statements().len(), 5);
}

/// Guards against returning a wrong value, the worst failure: bytes behind a valid answer must not be read as the
/// answer to the next request.
#[test]
fn duplicate_answer_is_not_returned_to_the_next_request() {
    let host = Host::start("s-1", true, |n, _| {
        if n % 2 == 0 {
            HostReply::DuplicateRow("first")
        } else {
            HostReply::Row("second")
        }
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.client();
    for n in 1..=5 {
        assert!(client.query(&statement("once", 9_000)).contains("first"));
        host.events.wait_for("the copy", |s| {
            (s.iter().filter(|l| *l == "copied").count() == n).then_some(())
        });
        let second = client.query(&statement("once", 9_000));
        assert!(second.contains("second"), "{second}");
    }
}

/// Guards against the row of one request that is returned to the next one: a host ends its answer without a row, and sends
/// the row when the next statement arrives on the connection.
#[test]
fn connection_whose_host_answered_with_ready_for_query_alone_is_not_used_again() {
    let host = Host::start("s-1", true, |n, _| match n {
        0 => HostReply::Raw(b"Z\0\0\0\x05I"),
        _ => HostReply::Row("late"),
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.client();
    let first = client.query(&statement("once", 9_000));
    assert!(first.contains("CXX000"), "{first}");
    // A connection rests for 10 ms before it is used again.
    sleep(Duration::from_millis(100));
    let _ = client.query(&statement("once", 9_000));
    let statements = host.statements();
    let connections: Vec<&str> = statements
        .iter()
        .filter_map(|statement| statement.split_once(':'))
        .map(|(connection, _)| connection)
        .collect();
    assert_eq!(connections.len(), 2);
    assert_ne!(connections[0], connections[1]);
}

/// Guards against forwarding an incomplete row as a complete one: the host stops after each byte of its answer in turn,
/// and closes or resets the connection.
#[test]
fn truncated_answer_is_a_row_only_once_its_last_message_is_complete() {
    let manual_host = ManualHost::start();
    let discovery = Discovery::start(vec![manual_host.entry("in_service")]);
    let gateway = Gateway::start_with_config(&discovery, &[], |config| {
        config["known"]["members"] = json!([manual_host.entry("in_service")]);
        config["settings"]["Bounds"]["Probes"] = json!(false);
        config["settings"]["Bounds"]["MostTries"] = json!(1);
        // The gateway avoids a host that breaks off an answer for a small multiple of this time.
        config["settings"]["Bounds"]["ConnectTimeoutNs"] = json!(100_000_000u64);
    });
    let whole = row_answer();
    let complete = whole.len() - 6;
    let mut client = gateway.client();
    for cut in 0..=whole.len() {
        let reset = cut % 2 == 1;
        client.send(&query_message(&statement("read", 9_000)));
        let mut host = manual_host.accept();
        send_authentication_ok(&mut host);
        read_query(&mut host).expect("the statement");
        host.write_all(&whole[..cut]).unwrap();
        if reset {
            // Gives the gateway time to read the bytes sent so far, because a reset discards data that is still unread.
            std::thread::sleep(Duration::from_millis(10));
            socket2::SockRef::from(&host)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
        drop(host);
        let answer = client.read_until_ready();
        let is_row = answer.contains("DataRow x") && answer.ends_with("ReadyForQuery");
        assert_eq!(
            is_row,
            cut >= complete,
            "{cut} bytes, reset {reset}: {answer}"
        );
        assert!(
            is_row || answer.starts_with("ErrorResponse"),
            "{cut} bytes: {answer}"
        );
    }
}

/// Guards against a request that has the id of another client's open request: a host would take both for the same
/// request.
#[test]
fn request_id_of_an_open_request_is_rejected_until_that_ends() {
    let host = Host::start("s-1", true, no_reply_to_slow);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut owner = gateway.client();
    let mut other = gateway.client();
    owner.send(&query_message(
        &statement("once", 9_000).replace("7f3a", "slow"),
    ));
    host.wait_for_event("slow");
    let answer = other.query(&statement("read", 9_000));
    assert!(
        answer.contains("C42601 Mthe id of a request that is open"),
        "{answer}"
    );
    assert_eq!(host.statements().len(), 1, "the duplicate reaches no host");
    drop(owner);
    host.wait_for_event("closed");
    assert!((0..1_000_000).any(|_| other.query(&statement("read", 9_000)).contains("a1b2")));
}

/// Guards against losing the error message: closing a connection that has unread input resets it.
#[test]
fn error_for_an_oversized_message_arrives_when_input_is_unread() {
    let host = Host::start("s-1", true, reply_with_row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.client();
    client.send(&[b"Q\x03\x93\x87\0" as &[u8], &vec![b'x'; 400_000]].concat());
    assert!(client
        .read_until_ready()
        .starts_with("ErrorResponse SFATAL VFATAL C08P01 Ma message is too large"));
    assert_eq!(
        client.stream.read(&mut [0]).unwrap(),
        0,
        "end of connection, not a reset"
    );
}
