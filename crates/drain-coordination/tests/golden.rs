//! Golden tests of the datagrams by which gateways coordinate the drains of database hosts.
//!
//! The tests pin the exact bytes of every kind of message, the results of decoding these bytes and malformed ones, the
//! task ids of drains, and the precedence of commands. A fleet is upgraded one gateway at a time, so gateways of the
//! old and the new version exchange these datagrams, and have to agree on the coordinator of a drain and on the current
//! command for a host: a change of a single byte or number would leave a host in service at some gateways, or complete
//! a drain too early. A refactoring must leave every literal in this file unchanged; an intended change of
//! the format needs a new first byte.
//!
//! Expected bytes are written as groups of hex digits, one group per field of the layout; white space is ignored.

use irisrouter_cluster_types::{Epoch, GatewayId, HostId, TaskId, UnixMilliseconds};
use irisrouter_drain_coordination::codec::{
    decode, encode, Message, MessageKind, WireError, MAGIC, MAX_DATAGRAM_BYTES, MAX_MESSAGES,
};
use irisrouter_drain_coordination::{recognizes, task_id, DesiredState, DrainCommand, Precedence};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

// Test values: all pinned messages are built in this section.

fn command(desired_state: DesiredState) -> DrainCommand {
    DrainCommand {
        host: HostId(0x0102_0304),
        desired_state,
        issued_at: UnixMilliseconds(0x1112_1314_1516_1718),
        issued_by: GatewayId(0x2122_2324),
    }
}

/// Builds a message about a command that drains its host.
fn message(kind: MessageKind) -> Message {
    Message {
        kind,
        command: command(DesiredState::Drained),
        epoch: Epoch(0x3132_3334_3536_3738),
        count: 0x4142_4344,
    }
}

/// Builds a message about a command that returns its host to service.
fn return_message(kind: MessageKind) -> Message {
    Message {
        command: command(DesiredState::InService),
        ..message(kind)
    }
}

/// Builds a message as it is sent by a gateway that is not the coordinator.
fn without_epoch_and_count(kind: MessageKind) -> Message {
    Message {
        epoch: Epoch(0),
        count: 0,
        ..message(kind)
    }
}

fn with_largest_numbers() -> Message {
    let command = DrainCommand {
        host: HostId(u32::MAX),
        desired_state: DesiredState::Drained,
        issued_at: UnixMilliseconds(u64::MAX),
        issued_by: GatewayId(u32::MAX),
    };
    Message {
        kind: MessageKind::Completion,
        command,
        epoch: Epoch(u64::MAX),
        count: u32::MAX,
    }
}

/// Builds `count` messages whose numbers all differ.
fn distinct_messages(count: u32) -> Vec<Message> {
    let kinds = [
        MessageKind::Announcement,
        MessageKind::Report,
        MessageKind::Completion,
    ];
    let numbered_message = |i: u32| Message {
        kind: kinds[i as usize % kinds.len()],
        command: DrainCommand {
            host: HostId(0x0100_0000 + i),
            desired_state: if i % 2 == 1 {
                DesiredState::Drained
            } else {
                DesiredState::InService
            },
            issued_at: UnixMilliseconds(0x1100_0000_0000_0000 + u64::from(i)),
            issued_by: GatewayId(0x2100_0000 + i),
        },
        epoch: Epoch(0x3100_0000_0000_0000 + u64::from(i)),
        count: 0x4100_0000 + i,
    };
    (0..count).map(numbered_message).collect()
}

// Helpers.

fn without_whitespace(expected: &str) -> String {
    expected.split_whitespace().collect()
}

/// Asserts that these messages are encoded as the `expected` hex digits, and that the bytes are decoded as `decoded`.
#[track_caller]
fn assert_bytes_and_decoded(messages: &[Message], expected: &str, decoded: &[Message]) {
    let bytes = encode(messages);
    assert_eq!(hex(&bytes), without_whitespace(expected));
    assert_eq!(decode(&bytes).as_deref(), Ok(decoded));
}

#[track_caller]
fn assert_bytes(messages: &[Message], expected: &str) {
    assert_bytes_and_decoded(messages, expected, messages);
}

#[track_caller]
fn assert_rejected(bytes: &[u8], expected: WireError, text: &str) {
    let error = decode(bytes).expect_err("the datagram is rejected");
    assert_eq!(
        (error, error.to_string().as_str()),
        (expected, text),
        "{}",
        hex(bytes)
    );
}

// Encoded bytes.

#[test]
fn bounds_and_first_byte_keep_their_values() {
    assert_eq!((MAX_DATAGRAM_BYTES, MAX_MESSAGES, MAGIC), (256, 8, 0xe1));
}

#[test]
fn announcement_keeps_its_bytes() {
    let expected = "e1 01  00 01 01020304 1112131415161718 21222324 3132333435363738 41424344";
    assert_bytes(&[message(MessageKind::Announcement)], expected);
}

#[test]
fn report_keeps_its_bytes() {
    let expected = "e1 01  01 01 01020304 1112131415161718 21222324 3132333435363738 41424344";
    assert_bytes(&[message(MessageKind::Report)], expected);
}

#[test]
fn completion_keeps_its_bytes() {
    let expected = "e1 01  02 01 01020304 1112131415161718 21222324 3132333435363738 41424344";
    assert_bytes(&[message(MessageKind::Completion)], expected);
}

#[test]
fn messages_of_a_host_that_returns_to_service_keep_their_bytes() {
    assert_bytes(
        &[
            return_message(MessageKind::Announcement),
            return_message(MessageKind::Report),
            return_message(MessageKind::Completion),
        ],
        "e1 03
        00 00 01020304 1112131415161718 21222324 3132333435363738 41424344
        01 00 01020304 1112131415161718 21222324 3132333435363738 41424344
        02 00 01020304 1112131415161718 21222324 3132333435363738 41424344",
    );
}

#[test]
fn announcement_without_coordinator_keeps_its_bytes() {
    let expected = "e1 01  00 01 01020304 1112131415161718 21222324 0000000000000000 00000000";
    assert_bytes(
        &[without_epoch_and_count(MessageKind::Announcement)],
        expected,
    );
}

#[test]
fn message_with_the_largest_numbers_keeps_its_bytes() {
    let expected = "e1 01  02 01 ffffffff ffffffffffffffff ffffffff ffffffffffffffff ffffffff";
    assert_bytes(&[with_largest_numbers()], expected);
}

#[test]
fn datagram_without_messages_keeps_its_bytes() {
    assert_bytes(&[], "e1 00");
}

#[test]
fn longest_datagram_keeps_its_bytes_and_messages_beyond_it_are_left_out() {
    assert_bytes_and_decoded(
        &distinct_messages(10),
        "e1 08
        00 00 01000000 1100000000000000 21000000 3100000000000000 41000000
        01 01 01000001 1100000000000001 21000001 3100000000000001 41000001
        02 00 01000002 1100000000000002 21000002 3100000000000002 41000002
        00 01 01000003 1100000000000003 21000003 3100000000000003 41000003
        01 00 01000004 1100000000000004 21000004 3100000000000004 41000004
        02 01 01000005 1100000000000005 21000005 3100000000000005 41000005
        00 00 01000006 1100000000000006 21000006 3100000000000006 41000006
        01 01 01000007 1100000000000007 21000007 3100000000000007 41000007",
        &distinct_messages(8),
    );
}

// Rejected datagrams.

#[test]
fn empty_datagram_is_rejected_as_short() {
    assert_rejected(&[], WireError::Short, "the datagram ends inside a field");
}

#[test]
fn other_first_byte_is_rejected_as_another_kind_or_version() {
    assert_rejected(
        &[0xe2],
        WireError::Version(0xe2),
        "first byte 0xe2 is of another kind or version",
    );
    let mut bytes = encode(&distinct_messages(2));
    bytes[0] = 0xf1;
    assert_rejected(
        &bytes,
        WireError::Version(0xf1),
        "first byte 0xf1 is of another kind or version",
    );
}

#[test]
fn datagram_cut_anywhere_is_rejected_as_short() {
    let bytes = encode(&distinct_messages(2));
    for end in 0..bytes.len() {
        assert_rejected(
            &bytes[..end],
            WireError::Short,
            "the datagram ends inside a field",
        );
    }
}

#[test]
fn trailing_bytes_are_rejected_as_long() {
    let text = "the datagram is longer than what it says";
    assert_rejected(
        &[encode(&distinct_messages(2)), vec![0]].concat(),
        WireError::Long,
        text,
    );
    assert_rejected(
        &[encode(&distinct_messages(2)), vec![0; 30]].concat(),
        WireError::Long,
        text,
    );
    assert_rejected(
        &[encode(&distinct_messages(8)), vec![0]].concat(),
        WireError::Long,
        text,
    );
}

#[test]
fn unknown_kind_is_rejected_with_its_number() {
    let mut bytes = encode(&distinct_messages(2));
    for (kind, text) in [(3, "unknown kind 3"), (255, "unknown kind 255")] {
        bytes[2 + 30] = kind;
        assert_rejected(&bytes, WireError::Unknown("kind", kind), text);
    }
}

#[test]
fn unknown_state_is_rejected_with_its_number() {
    let mut bytes = encode(&distinct_messages(2));
    for (state, text) in [(2, "unknown state 2"), (255, "unknown state 255")] {
        bytes[2 + 30 + 1] = state;
        assert_rejected(&bytes, WireError::Unknown("state", state), text);
    }
}

#[test]
fn count_that_differs_from_the_number_of_messages_is_rejected() {
    let mut bytes = encode(&distinct_messages(2));
    for count in [3, 9, 255] {
        bytes[1] = count;
        assert_rejected(&bytes, WireError::Short, "the datagram ends inside a field");
    }
    bytes[1] = 1;
    assert_rejected(
        &bytes,
        WireError::Long,
        "the datagram is longer than what it says",
    );
}

#[test]
fn one_message_above_the_maximum_is_rejected_as_long() {
    let mut bytes = [encode(&distinct_messages(8)), vec![0; 30]].concat();
    bytes[1] = 9;
    assert_rejected(
        &bytes,
        WireError::Long,
        "the datagram is longer than what it says",
    );
}

#[test]
fn datagram_of_drains_is_recognized_by_the_high_half_of_its_first_byte() {
    assert!(recognizes(&[0xe1]) && recognizes(&[0xe0]) && recognizes(&[0xef, 0x00]));
    assert!(
        !recognizes(&[])
            && !recognizes(&[0x01, 0xe1])
            && !recognizes(&[0xd1])
            && !recognizes(&[0xf1])
    );
}

// Values that have to be the same at all gateways.

#[test]
fn drain_task_ids_keep_their_values() {
    assert_eq!(task_id(HostId(0)), TaskId(0x4452_4149_0000_0000));
    assert_eq!(task_id(HostId(7)), TaskId(0x4452_4149_0000_0007));
    assert_eq!(task_id(HostId(0x00ab_cdef)), TaskId(0x4452_4149_00ab_cdef));
    assert_eq!(task_id(HostId(u32::MAX)), TaskId(0x4452_4149_ffff_ffff));
}

#[test]
fn commands_are_ordered_by_time_then_by_gateway_then_by_state() {
    let expected = Precedence {
        issued_at: UnixMilliseconds(0x1112_1314_1516_1718),
        issued_by: GatewayId(0x2122_2324),
        desired_state: DesiredState::Drained,
    };
    assert_eq!(command(DesiredState::Drained).precedence(), expected);
    let ascending_commands = [
        DrainCommand {
            issued_at: UnixMilliseconds(1),
            issued_by: GatewayId(9),
            ..command(DesiredState::Drained)
        },
        DrainCommand {
            issued_at: UnixMilliseconds(2),
            issued_by: GatewayId(3),
            ..command(DesiredState::Drained)
        },
        DrainCommand {
            issued_at: UnixMilliseconds(2),
            issued_by: GatewayId(4),
            ..command(DesiredState::InService)
        },
        DrainCommand {
            issued_at: UnixMilliseconds(2),
            issued_by: GatewayId(4),
            ..command(DesiredState::Drained)
        },
        DrainCommand {
            issued_at: UnixMilliseconds(3),
            issued_by: GatewayId(0),
            ..command(DesiredState::InService)
        },
    ];
    assert!(ascending_commands
        .windows(2)
        .all(|pair| pair[0].precedence() < pair[1].precedence()));
}
