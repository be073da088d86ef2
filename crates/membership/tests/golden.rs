//! Golden tests of the datagrams of the membership protocol.
//!
//! The tests fix the exact bytes of every kind of datagram and of the updates that it carries, the result of decoding
//! these bytes and malformed ones, and the comparison of generations and incarnations. A fleet is upgraded one gateway
//! at a time, so gateways of the old and the new version exchange these datagrams: a change of a single byte would make
//! the two parts of the fleet declare each other down. A refactoring must leave every literal in this file unchanged;
//! an intended change of the format requires a new first byte.
//!
//! Literals are groups of hex digits, one group per field of the layout; white space in them is ignored.

use irisrouter_cluster_types::{GatewayId, GatewayProcess, Generation};
use irisrouter_membership::codec::{
    decode, encode, MAGIC, MAX_DATAGRAM_BYTES, MAX_HEADER_BYTES, MAX_UPDATES, UPDATE_BYTES,
};
use irisrouter_membership::serial_number::compare_serial;
use irisrouter_membership::{
    recognizes, Datagram, Incarnation, MemberUpdate, Message, SequenceNumber, WireError,
};
use std::cmp::Ordering;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

// Test data: the datagrams whose bytes are fixed.

fn datagram(message: Message, updates: Vec<MemberUpdate>) -> Datagram {
    Datagram {
        source: GatewayProcess {
            gateway: GatewayId(0x0102_0304),
            generation: Generation(0x0506),
        },
        incarnation: Incarnation(0x0708),
        destination: GatewayProcess {
            gateway: GatewayId(0x1112_1314),
            generation: Generation(0x1516),
        },
        message,
        updates,
    }
}

fn alive_update() -> MemberUpdate {
    MemberUpdate {
        process: GatewayProcess {
            gateway: GatewayId(0x4142_4344),
            generation: Generation(0x4546),
        },
        incarnation: Incarnation(0x4748),
        down: false,
    }
}

fn down_update() -> MemberUpdate {
    MemberUpdate {
        process: GatewayProcess {
            gateway: GatewayId(0x5152_5354),
            generation: Generation(0x5556),
        },
        incarnation: Incarnation(0x5758),
        down: true,
    }
}

/// Returns a datagram with one update of each state.
fn datagram_with_updates(message: Message) -> Datagram {
    datagram(message, vec![alive_update(), down_update()])
}

fn ping() -> Message {
    Message::Ping {
        sequence: SequenceNumber(0x2122),
    }
}

fn ack() -> Message {
    Message::Ack {
        sequence: SequenceNumber(0x2122),
    }
}

fn ping_req() -> Message {
    Message::PingRequest {
        sequence: SequenceNumber(0x2122),
        target: GatewayId(0x3132_3334),
    }
}

fn indirect_ack() -> Message {
    let target = GatewayProcess {
        gateway: GatewayId(0x3132_3334),
        generation: Generation(0x3536),
    };
    Message::IndirectAck {
        sequence: SequenceNumber(0x2122),
        target,
        incarnation: Incarnation(0x3738),
    }
}

fn join(list_from: Option<u32>) -> Message {
    let list_from = list_from.map(GatewayId);
    Message::Join { list_from }
}

fn all_messages() -> [Message; 9] {
    [
        ping(),
        ack(),
        ping_req(),
        indirect_ack(),
        join(Some(0x3132_3334)),
        join(None),
        Message::MemberList,
        Message::Gossip,
        Message::Leave,
    ]
}

fn datagram_with_largest_numbers() -> Datagram {
    let process = GatewayProcess {
        gateway: GatewayId(u32::MAX),
        generation: Generation(u16::MAX),
    };
    Datagram {
        source: process,
        incarnation: Incarnation(u16::MAX),
        destination: process,
        message: Message::IndirectAck {
            sequence: SequenceNumber(u16::MAX),
            target: process,
            incarnation: Incarnation(u16::MAX),
        },
        updates: vec![MemberUpdate {
            process,
            incarnation: Incarnation(u16::MAX),
            down: true,
        }],
    }
}

/// Returns `count` updates, of which no two have the same process or incarnation.
fn distinct_updates(count: u32) -> Vec<MemberUpdate> {
    let one = |i: u32| MemberUpdate {
        process: GatewayProcess {
            gateway: GatewayId(0x4100_0000 + i),
            generation: Generation(0x5100 + i as u16),
        },
        incarnation: Incarnation(0x6100 + i as u16),
        down: i % 2 == 1,
    };
    (0..count).map(one).collect()
}

// Assertions and their helpers.

/// Returns the offset of the update count in a datagram with this message.
fn update_count_offset(message: Message) -> usize {
    encode(&datagram(message, Vec::new())).len() - 1
}

fn without_white_space(expected: &str) -> String {
    expected.split_whitespace().collect()
}

/// Asserts that `sent` is encoded as the expected bytes, and that `decoded` is decoded from them.
#[track_caller]
fn assert_encodes_and_decodes_as(sent: &Datagram, expected: &str, decoded: &Datagram) {
    let bytes = encode(sent);
    assert_eq!(hex(&bytes), without_white_space(expected));
    assert_eq!(decode(&bytes).as_ref(), Ok(decoded));
}

#[track_caller]
fn assert_round_trip(sent: &Datagram, expected: &str) {
    assert_encodes_and_decodes_as(sent, expected, sent);
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
    assert_eq!(
        (
            MAX_DATAGRAM_BYTES,
            MAX_HEADER_BYTES,
            UPDATE_BYTES,
            MAX_UPDATES,
            MAGIC
        ),
        (256, 26, 9, 25, 0xa2)
    );
}

#[test]
fn ping_datagram_keeps_its_bytes() {
    assert_round_trip(
        &datagram_with_updates(ping()),
        "a2 01020304 0506 0708 11121314 1516  00 2122
        02  41424344 4546 4748 00  51525354 5556 5758 01",
    );
}

#[test]
fn ack_datagram_keeps_its_bytes() {
    assert_round_trip(
        &datagram_with_updates(ack()),
        "a2 01020304 0506 0708 11121314 1516  01 2122
        02  41424344 4546 4748 00  51525354 5556 5758 01",
    );
}

#[test]
fn ping_req_datagram_keeps_its_bytes() {
    assert_round_trip(
        &datagram_with_updates(ping_req()),
        "a2 01020304 0506 0708 11121314 1516  02 2122 31323334
        02  41424344 4546 4748 00  51525354 5556 5758 01",
    );
}

#[test]
fn indirect_ack_datagram_keeps_its_bytes() {
    assert_round_trip(
        &datagram_with_updates(indirect_ack()),
        "a2 01020304 0506 0708 11121314 1516  03 2122 31323334 3536 3738
        02  41424344 4546 4748 00  51525354 5556 5758 01",
    );
}

#[test]
fn join_datagram_that_requests_a_member_list_keeps_its_bytes() {
    assert_round_trip(
        &datagram_with_updates(join(Some(0x3132_3334))),
        "a2 01020304 0506 0708 11121314 1516  04 31323334
        02  41424344 4546 4748 00  51525354 5556 5758 01",
    );
    assert_round_trip(
        &datagram(join(Some(0)), Vec::new()),
        "a2 01020304 0506 0708 11121314 1516  04 00000000  00",
    );
}

#[test]
fn join_datagram_without_a_member_list_request_keeps_its_bytes() {
    assert_round_trip(
        &datagram_with_updates(join(None)),
        "a2 01020304 0506 0708 11121314 1516  04 ffffffff
        02  41424344 4546 4748 00  51525354 5556 5758 01",
    );
}

#[test]
fn join_datagram_for_a_list_from_the_largest_number_is_decoded_without_a_member_list_request() {
    assert_encodes_and_decodes_as(
        &datagram(join(Some(u32::MAX)), Vec::new()),
        "a2 01020304 0506 0708 11121314 1516  04 ffffffff  00",
        &datagram(join(None), Vec::new()),
    );
}

#[test]
fn member_list_datagram_keeps_its_bytes() {
    assert_round_trip(
        &datagram_with_updates(Message::MemberList),
        "a2 01020304 0506 0708 11121314 1516  05
        02  41424344 4546 4748 00  51525354 5556 5758 01",
    );
}

#[test]
fn gossip_datagram_keeps_its_bytes() {
    assert_round_trip(
        &datagram_with_updates(Message::Gossip),
        "a2 01020304 0506 0708 11121314 1516  06
        02  41424344 4546 4748 00  51525354 5556 5758 01",
    );
}

#[test]
fn leave_datagram_keeps_its_bytes() {
    assert_round_trip(
        &datagram_with_updates(Message::Leave),
        "a2 01020304 0506 0708 11121314 1516  07
        02  41424344 4546 4748 00  51525354 5556 5758 01",
    );
}

#[test]
fn datagram_without_updates_keeps_its_bytes() {
    assert_round_trip(
        &datagram(ping(), Vec::new()),
        "a2 01020304 0506 0708 11121314 1516  00 2122  00",
    );
    assert_round_trip(
        &datagram(Message::Leave, Vec::new()),
        "a2 01020304 0506 0708 11121314 1516  07  00",
    );
}

#[test]
fn datagram_with_the_largest_numbers_keeps_its_bytes() {
    assert_round_trip(
        &datagram_with_largest_numbers(),
        "a2 ffffffff ffff ffff ffffffff ffff  03 ffff ffffffff ffff ffff  01  ffffffff ffff ffff 01",
    );
}

#[test]
fn longest_datagram_keeps_its_bytes_and_further_updates_are_omitted() {
    assert_encodes_and_decodes_as(
        &datagram(indirect_ack(), distinct_updates(27)),
        "a2 01020304 0506 0708 11121314 1516  03 2122 31323334 3536 3738  19
        41000000 5100 6100 00  41000001 5101 6101 01  41000002 5102 6102 00  41000003 5103 6103 01
        41000004 5104 6104 00  41000005 5105 6105 01  41000006 5106 6106 00  41000007 5107 6107 01
        41000008 5108 6108 00  41000009 5109 6109 01  4100000a 510a 610a 00  4100000b 510b 610b 01
        4100000c 510c 610c 00  4100000d 510d 610d 01  4100000e 510e 610e 00  4100000f 510f 610f 01
        41000010 5110 6110 00  41000011 5111 6111 01  41000012 5112 6112 00  41000013 5113 6113 01
        41000014 5114 6114 00  41000015 5115 6115 01  41000016 5116 6116 00  41000017 5117 6117 01
        41000018 5118 6118 00",
        &datagram(indirect_ack(), distinct_updates(25)),
    );
}

#[test]
fn updates_beyond_the_limit_are_omitted_even_if_a_shorter_header_leaves_space_for_one_more() {
    let bytes = encode(&datagram(Message::MemberList, distinct_updates(26)));
    assert_eq!((bytes.len(), bytes[16]), (16 + 1 + 25 * 9, 25));
    assert_eq!(
        decode(&bytes),
        Ok(datagram(Message::MemberList, distinct_updates(25)))
    );
}

/// No gateway sends such a datagram, but it is within the length limit.
#[test]
fn datagram_with_one_update_more_than_the_limit_is_decoded() {
    let mut bytes = encode(&datagram(Message::MemberList, distinct_updates(25)));
    bytes[16] = 26;
    bytes.extend([0x41, 0, 0, 0x19, 0x51, 0x19, 0x61, 0x19, 0x01]);
    assert_eq!(bytes.len(), 251);
    assert_eq!(
        decode(&bytes),
        Ok(datagram(Message::MemberList, distinct_updates(26)))
    );
}

// Malformed datagrams.

#[test]
fn empty_datagram_is_rejected_as_short() {
    assert_rejected(&[], WireError::Short, "the datagram ends inside a field");
}

#[test]
fn different_first_byte_is_rejected_as_another_kind_or_version() {
    assert_rejected(
        &[0xa1],
        WireError::Version(0xa1),
        "first byte 0xa1 is of another kind or version",
    );
    let mut bytes = encode(&datagram_with_updates(ping()));
    bytes[0] = 0x01;
    assert_rejected(
        &bytes,
        WireError::Version(0x01),
        "first byte 0x01 is of another kind or version",
    );
}

#[test]
fn truncated_datagram_of_any_kind_is_rejected_as_short() {
    for message in all_messages() {
        let bytes = encode(&datagram_with_updates(message));
        for end in 0..bytes.len() {
            assert_rejected(
                &bytes[..end],
                WireError::Short,
                "the datagram ends inside a field",
            );
        }
    }
}

#[test]
fn trailing_bytes_are_rejected_as_long() {
    let text = "the datagram is longer than what it says";
    for message in all_messages() {
        assert_rejected(
            &[encode(&datagram_with_updates(message)), vec![0]].concat(),
            WireError::Long,
            text,
        );
        assert_rejected(
            &[encode(&datagram_with_updates(message)), vec![0; 9]].concat(),
            WireError::Long,
            text,
        );
    }
    assert_rejected(
        &[
            encode(&datagram(indirect_ack(), distinct_updates(25))),
            vec![0; 5],
        ]
        .concat(),
        WireError::Long,
        text,
    );
}

#[test]
fn unknown_kind_is_rejected_with_its_number() {
    let mut bytes = encode(&datagram_with_updates(Message::Gossip));
    for (kind, text) in [(8, "unknown kind 8"), (255, "unknown kind 255")] {
        bytes[15] = kind;
        assert_rejected(&bytes, WireError::Unknown("kind", kind), text);
    }
}

#[test]
fn unknown_state_of_an_update_is_rejected_with_its_number() {
    let mut bytes = encode(&datagram_with_updates(Message::Gossip));
    for (state, text) in [(2, "unknown state 2"), (255, "unknown state 255")] {
        bytes[16 + 1 + 8] = state;
        assert_rejected(&bytes, WireError::Unknown("state", state), text);
    }
}

#[test]
fn update_count_that_differs_from_the_number_of_updates_is_rejected() {
    for message in all_messages() {
        let mut bytes = encode(&datagram_with_updates(message));
        for count in [3, 26, 255] {
            bytes[update_count_offset(message)] = count;
            assert_rejected(&bytes, WireError::Short, "the datagram ends inside a field");
        }
        bytes[update_count_offset(message)] = 1;
        assert_rejected(
            &bytes,
            WireError::Long,
            "the datagram is longer than what it says",
        );
    }
}

#[test]
fn datagram_with_more_updates_than_fit_is_rejected_as_long() {
    let mut bytes = [
        encode(&datagram(indirect_ack(), distinct_updates(25))),
        vec![0; 9],
    ]
    .concat();
    bytes[26] = 26;
    assert_eq!(bytes.len(), 261);
    assert_rejected(
        &bytes,
        WireError::Long,
        "the datagram is longer than what it says",
    );
}

#[test]
fn membership_datagram_is_recognized_by_the_high_nibble_of_its_first_byte() {
    assert!(recognizes(&[0xa2]) && recognizes(&[0xa0]) && recognizes(&[0xaf, 0x00]));
    assert!(!recognizes(&[]) && !recognizes(&[0x01, 0xa2]) && !recognizes(&[0xb2]));
}

// Comparison of serial numbers, which must be the same in all gateways.

#[test]
fn generations_and_incarnations_are_compared_around_their_wrap() {
    let pairs = [
        (5, 5, Ordering::Equal),
        (6, 5, Ordering::Greater),
        (5, 6, Ordering::Less),
        (0, 0xffff, Ordering::Greater),
        (0xffff, 0, Ordering::Less),
        (0x7fff, 0, Ordering::Greater),
        // Two numbers that are 2^15 apart are each less than the other.
        (0x8000, 0, Ordering::Less),
        (0, 0x8000, Ordering::Less),
        (0x8001, 0, Ordering::Less),
    ];
    for (a, b, expected) in pairs {
        assert_eq!(compare_serial(a, b), expected, "{a:#x} and {b:#x}");
    }
}
