//! Golden tests of the datagrams with which gateways claim, grant and release leases.
//!
//! The tests pin the exact bytes of every kind of message, the decoder's results for these bytes and for malformed
//! ones, and the orders of a task's candidates and voters. A fleet is upgraded one gateway at a time, so gateways of
//! the old and the new version exchange these datagrams and have to determine the same candidates and voters. A change
//! of a single byte would leave tasks without a holder, and gateways that determine different voters could grant one
//! lease to two holders at once. A refactoring must leave every literal in this file unchanged. An intended change of
//! the format needs a new first byte.
//!
//! The literals are groups of hex digits, one group for each field of the layout. White space in them is ignored.

use irisrouter_cluster_types::{
    Epoch, GatewayId, GatewayProcess, Generation, Milliseconds, TaskId,
};
use irisrouter_leases::codec::{
    decode, encode, LeaseDatagram, LeaseMessage, MessageKind, WireError, MAGIC, MAX_DATAGRAM_BYTES,
    MAX_MESSAGES,
};
use irisrouter_leases::recognizes;
use irisrouter_leases::rendezvous::{candidates, voters, VOTERS};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

// Test values: the functions that build the messages of the tests.

/// Generation of the sender of all datagrams in these tests.
const GENERATION: Generation = Generation(0x0a0b);

fn message(kind: MessageKind) -> LeaseMessage {
    LeaseMessage {
        kind,
        task: TaskId(0x0102_0304_0506_0708),
        epoch: Epoch(0x1112_1314_1516_1718),
        round: 0x2122,
        holder: Some(GatewayProcess {
            gateway: GatewayId(0x3132_3334),
            generation: Generation(0x3536),
        }),
        remaining: Milliseconds(0x41_4243),
    }
}

/// Returns a message with no holder and no remaining time.
fn without_holder_and_remaining(kind: MessageKind) -> LeaseMessage {
    LeaseMessage {
        holder: None,
        remaining: Milliseconds::ZERO,
        ..message(kind)
    }
}

fn with_remaining(remaining_ms: u64) -> LeaseMessage {
    LeaseMessage {
        remaining: Milliseconds(remaining_ms),
        ..message(MessageKind::Refused)
    }
}

fn with_largest_numbers() -> LeaseMessage {
    LeaseMessage {
        kind: MessageKind::Vacant,
        task: TaskId(u64::MAX),
        epoch: Epoch(u64::MAX),
        round: u16::MAX,
        holder: Some(GatewayProcess {
            gateway: GatewayId(u32::MAX - 1),
            generation: Generation(u16::MAX),
        }),
        remaining: Milliseconds(0xff_ffff),
    }
}

/// Returns a message whose holder has the gateway id that encodes the absence of a holder.
fn with_holder_encoded_as_none() -> LeaseMessage {
    LeaseMessage {
        holder: Some(GatewayProcess {
            gateway: GatewayId(u32::MAX),
            generation: Generation(0x3536),
        }),
        ..message(MessageKind::Granted)
    }
}

/// Returns messages of all kinds in turn, whose other fields all differ. The ninth message has no holder.
fn distinct_messages(count: u32) -> Vec<LeaseMessage> {
    let kinds = [
        MessageKind::Request,
        MessageKind::Granted,
        MessageKind::Refused,
        MessageKind::Released,
        MessageKind::Offered,
        MessageKind::PreVote,
        MessageKind::Vacant,
    ];
    let message_at = |i: u32| LeaseMessage {
        kind: kinds[i as usize % kinds.len()],
        task: TaskId(0x0100_0000_0000_0000 + u64::from(i)),
        epoch: Epoch(0x1100_0000_0000_0000 + u64::from(i)),
        round: 0x2100 + i as u16,
        holder: Some(GatewayProcess {
            gateway: GatewayId(0x3100_0000 + i),
            generation: Generation(0x4100 + i as u16),
        })
        .filter(|_| i != 8),
        remaining: Milliseconds(u64::from(0x51_0000 + i)),
    };
    (0..count).map(message_at).collect()
}

// Helpers.

fn without_whitespace(expected: &str) -> String {
    expected.split_whitespace().collect()
}

/// Asserts that the messages are encoded as `expected`, and that these bytes are decoded as the messages in `decoded`.
#[track_caller]
fn assert_encoded_and_decoded_as(
    messages: &[LeaseMessage],
    expected: &str,
    decoded: &[LeaseMessage],
) {
    let bytes = encode(GENERATION, messages);
    assert_eq!(hex(&bytes), without_whitespace(expected));
    let expected = LeaseDatagram {
        sender_generation: GENERATION,
        messages: decoded.to_vec(),
    };
    assert_eq!(decode(&bytes), Ok(expected));
}

#[track_caller]
fn assert_round_trip(messages: &[LeaseMessage], expected: &str) {
    assert_encoded_and_decoded_as(messages, expected, messages);
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

// Encoding.

#[test]
fn bounds_and_first_byte_keep_their_values() {
    assert_eq!((MAX_DATAGRAM_BYTES, MAX_MESSAGES, MAGIC), (256, 9, 0xb1));
}

#[test]
fn request_keeps_its_bytes() {
    assert_round_trip(
        &[message(MessageKind::Request)],
        "b1 0a0b 01  00 0102030405060708 1112131415161718 2122 31323334 3536 414243",
    );
}

#[test]
fn granted_message_keeps_its_bytes() {
    assert_round_trip(
        &[message(MessageKind::Granted)],
        "b1 0a0b 01  01 0102030405060708 1112131415161718 2122 31323334 3536 414243",
    );
}

#[test]
fn refused_message_keeps_its_bytes() {
    assert_round_trip(
        &[message(MessageKind::Refused)],
        "b1 0a0b 01  02 0102030405060708 1112131415161718 2122 31323334 3536 414243",
    );
}

#[test]
fn released_message_keeps_its_bytes() {
    assert_round_trip(
        &[message(MessageKind::Released)],
        "b1 0a0b 01  03 0102030405060708 1112131415161718 2122 31323334 3536 414243",
    );
}

#[test]
fn offered_message_keeps_its_bytes() {
    assert_round_trip(
        &[message(MessageKind::Offered)],
        "b1 0a0b 01  04 0102030405060708 1112131415161718 2122 31323334 3536 414243",
    );
}

#[test]
fn pre_vote_keeps_its_bytes() {
    assert_round_trip(
        &[message(MessageKind::PreVote)],
        "b1 0a0b 01  05 0102030405060708 1112131415161718 2122 31323334 3536 414243",
    );
}

#[test]
fn vacant_message_keeps_its_bytes() {
    assert_round_trip(
        &[message(MessageKind::Vacant)],
        "b1 0a0b 01  06 0102030405060708 1112131415161718 2122 31323334 3536 414243",
    );
}

#[test]
fn message_without_holder_keeps_its_bytes() {
    assert_round_trip(
        &[without_holder_and_remaining(MessageKind::Request)],
        "b1 0a0b 01  00 0102030405060708 1112131415161718 2122 ffffffff 0000 000000",
    );
}

#[test]
fn message_with_the_largest_numbers_keeps_its_bytes() {
    let expected = "b1 0a0b 01  06 ffffffffffffffff ffffffffffffffff ffff fffffffe ffff ffffff";
    assert_round_trip(&[with_largest_numbers()], expected);
}

#[test]
fn remaining_time_beyond_24_bits_is_written_as_the_longest_one() {
    let expected = "b1 0a0b 01  02 0102030405060708 1112131415161718 2122 31323334 3536 ffffff";
    for remaining_ms in [0x100_0000, u64::from(u32::MAX), u64::MAX] {
        assert_encoded_and_decoded_as(
            &[with_remaining(remaining_ms)],
            expected,
            &[with_remaining(0xff_ffff)],
        );
    }
}

#[test]
fn holder_with_the_number_that_stands_for_none_is_read_as_none() {
    let decoded = LeaseMessage {
        holder: None,
        ..with_holder_encoded_as_none()
    };
    let expected = "b1 0a0b 01  01 0102030405060708 1112131415161718 2122 ffffffff 3536 414243";
    assert_encoded_and_decoded_as(&[with_holder_encoded_as_none()], expected, &[decoded]);
}

#[test]
fn datagram_without_messages_keeps_its_bytes() {
    assert_round_trip(&[], "b1 0a0b 00");
}

#[test]
fn longest_datagram_keeps_its_bytes_and_messages_beyond_it_are_left_out() {
    assert_encoded_and_decoded_as(
        &distinct_messages(11),
        "b1 0a0b 09
        00 0100000000000000 1100000000000000 2100 31000000 4100 510000
        01 0100000000000001 1100000000000001 2101 31000001 4101 510001
        02 0100000000000002 1100000000000002 2102 31000002 4102 510002
        03 0100000000000003 1100000000000003 2103 31000003 4103 510003
        04 0100000000000004 1100000000000004 2104 31000004 4104 510004
        05 0100000000000005 1100000000000005 2105 31000005 4105 510005
        06 0100000000000006 1100000000000006 2106 31000006 4106 510006
        00 0100000000000007 1100000000000007 2107 31000007 4107 510007
        01 0100000000000008 1100000000000008 2108 ffffffff 0000 510008",
        &distinct_messages(9),
    );
}

// Malformed datagrams.

#[test]
fn empty_datagram_is_refused_as_short() {
    assert_rejected(&[], WireError::Short, "the datagram ends inside a field");
}

#[test]
fn other_first_byte_is_refused_as_another_kind_or_version() {
    assert_rejected(
        &[0xb2],
        WireError::Version(0xb2),
        "first byte 0xb2 is of another kind or version",
    );
    let mut bytes = encode(GENERATION, &distinct_messages(2));
    bytes[0] = 0x01;
    assert_rejected(
        &bytes,
        WireError::Version(0x01),
        "first byte 0x01 is of another kind or version",
    );
}

#[test]
fn datagram_cut_anywhere_is_refused_as_short() {
    let bytes = encode(GENERATION, &distinct_messages(2));
    for end in 0..bytes.len() {
        assert_rejected(
            &bytes[..end],
            WireError::Short,
            "the datagram ends inside a field",
        );
    }
}

#[test]
fn trailing_bytes_are_refused_as_long() {
    let text = "the datagram is longer than what it says";
    assert_rejected(
        &[encode(GENERATION, &distinct_messages(2)), vec![0]].concat(),
        WireError::Long,
        text,
    );
    assert_rejected(
        &[encode(GENERATION, &distinct_messages(2)), vec![0; 28]].concat(),
        WireError::Long,
        text,
    );
    assert_rejected(
        &[encode(GENERATION, &distinct_messages(9)), vec![0]].concat(),
        WireError::Long,
        text,
    );
}

#[test]
fn unknown_kind_is_refused_with_its_number() {
    let mut bytes = encode(GENERATION, &distinct_messages(2));
    for (kind, text) in [(7, "unknown kind 7"), (255, "unknown kind 255")] {
        bytes[4 + 28] = kind;
        assert_rejected(&bytes, WireError::Unknown("kind", kind), text);
    }
}

#[test]
fn count_other_than_the_messages_that_follow_is_refused() {
    let mut bytes = encode(GENERATION, &distinct_messages(2));
    for count in [3, 10, 255] {
        bytes[3] = count;
        assert_rejected(&bytes, WireError::Short, "the datagram ends inside a field");
    }
    bytes[3] = 1;
    assert_rejected(
        &bytes,
        WireError::Long,
        "the datagram is longer than what it says",
    );
}

#[test]
fn one_message_more_than_fits_is_refused_as_long() {
    let mut bytes = [encode(GENERATION, &distinct_messages(9)), vec![0; 28]].concat();
    bytes[3] = 10;
    assert_rejected(
        &bytes,
        WireError::Long,
        "the datagram is longer than what it says",
    );
}

#[test]
fn datagram_of_leases_is_recognized_by_the_high_half_of_its_first_byte() {
    assert!(recognizes(&[0xb1]) && recognizes(&[0xb0]) && recognizes(&[0xbf, 0x00]));
    assert!(
        !recognizes(&[])
            && !recognizes(&[0x01, 0xb1])
            && !recognizes(&[0xa1])
            && !recognizes(&[0xc1])
    );
}

// Orders on which all gateways have to agree.

/// Returns the gateway ids of the candidates of a task, in order, if these gateways are alive.
fn candidate_numbers(task: u64, alive: &[u32]) -> Vec<u32> {
    let alive: Vec<GatewayId> = alive.iter().copied().map(GatewayId).collect();
    let order = candidates(TaskId(task), &alive);
    order.into_iter().map(|gateway| gateway.0).collect()
}

/// Returns the gateway ids of the voters of a task in a fleet of this size, in order.
fn voter_numbers(task: u64, fleet: u32) -> Vec<u32> {
    let order = voters(TaskId(task), fleet);
    order.into_iter().map(|gateway| gateway.0).collect()
}

/// Task ids: the health checks of groups 0, 1, 42 and -7, the drains of three hosts, the watch of the endpoint list,
/// the planning of site failover, and the largest possible id.
const TASKS: [u64; 10] = [
    0,
    1,
    42,
    0xffff_ffff_ffff_fff9,
    0x4452_4149_0000_0000,
    0x4452_4149_00ab_cdef,
    0x4452_4149_ffff_ffff,
    0x5741_5443_4800_0000,
    0x5349_5445_0000_0000,
    u64::MAX,
];

#[test]
fn candidates_of_a_task_among_seven_gateways_keep_their_order() {
    let expected = [
        [1, 0, 5, 3, 4, 2, 6],
        [6, 0, 1, 4, 5, 2, 3],
        [5, 2, 0, 4, 3, 1, 6],
        [0, 2, 6, 3, 1, 4, 5],
        [0, 6, 5, 1, 4, 3, 2],
        [1, 3, 4, 0, 2, 5, 6],
        [2, 6, 5, 3, 1, 4, 0],
        [1, 5, 2, 0, 6, 3, 4],
        [3, 0, 6, 2, 4, 1, 5],
        [3, 1, 5, 4, 2, 0, 6],
    ];
    for (task, expected) in TASKS.into_iter().zip(expected) {
        assert_eq!(
            candidate_numbers(task, &[0, 1, 2, 3, 4, 5, 6]),
            expected,
            "task {task:#x}"
        );
        assert_eq!(
            candidate_numbers(task, &[6, 2, 4, 0, 5, 3, 1]),
            expected,
            "task {task:#x}, named in another order"
        );
    }
}

#[test]
fn candidates_of_a_task_among_gateways_with_gaps_and_large_numbers_keep_their_order() {
    let expected = [
        [250, 3, 65_536, 4_000_000_000, 17],
        [17, 4_000_000_000, 65_536, 3, 250],
        [250, 4_000_000_000, 65_536, 17, 3],
        [250, 4_000_000_000, 65_536, 3, 17],
        [65_536, 17, 3, 4_000_000_000, 250],
        [65_536, 3, 4_000_000_000, 250, 17],
        [250, 3, 17, 4_000_000_000, 65_536],
        [250, 65_536, 17, 4_000_000_000, 3],
        [3, 17, 4_000_000_000, 250, 65_536],
        [3, 4_000_000_000, 17, 65_536, 250],
    ];
    for (task, expected) in TASKS.into_iter().zip(expected) {
        assert_eq!(
            candidate_numbers(task, &[4_000_000_000, 3, 250, 17, 65_536]),
            expected,
            "task {task:#x}"
        );
    }
    assert_eq!(candidate_numbers(42, &[]), [0; 0]);
}

#[test]
fn voters_of_a_task_in_a_fleet_of_300_keep_their_order() {
    let expected = [
        [279, 204, 138, 91, 97],
        [207, 291, 81, 285, 91],
        [239, 9, 207, 129, 157],
        [183, 243, 68, 59, 156],
        [212, 162, 121, 219, 131],
        [205, 188, 65, 206, 117],
        [22, 107, 244, 69, 106],
        [179, 23, 33, 166, 140],
        [82, 79, 232, 206, 251],
        [18, 170, 125, 191, 59],
    ];
    for (task, expected) in TASKS.into_iter().zip(expected) {
        assert_eq!(voter_numbers(task, 300), expected, "task {task:#x}");
    }
}

#[test]
fn voters_of_a_task_in_small_fleets_keep_their_order() {
    assert_eq!(VOTERS, 5);
    assert_eq!(voter_numbers(42, 0), [0; 0]);
    assert_eq!(voter_numbers(42, 1), [0]);
    assert_eq!(voter_numbers(42, 3), [1, 2, 0]);
    assert_eq!(voter_numbers(42, 5), [4, 1, 2, 3, 0]);
    assert_eq!(voter_numbers(42, 7), [4, 5, 1, 2, 3]);
    assert_eq!(voter_numbers(0x4452_4149_00ab_cdef, 7), [3, 1, 6, 0, 4]);
    assert_eq!(voter_numbers(0x5741_5443_4800_0000, 7), [5, 2, 6, 0, 3]);
    assert_eq!(voter_numbers(0x5349_5445_0000_0000, 7), [2, 0, 3, 6, 1]);
}
