//! Golden tests of the datagrams of write intents: records, look-ups and their answers.
//!
//! The tests pin the exact bytes of every kind of message, the decoder's results for these bytes and for malformed
//! ones, the hashes of keys, and the replicas of a key. A fleet is upgraded one gateway at a time, so gateways of the
//! old and the new version exchange these datagrams, and a gateway that receives a retry has to ask the gateways at
//! which another gateway recorded the write. A change of a single byte or number would lose records, and a write could
//! run twice. A refactoring must leave every literal in this file unchanged. An intended change of the format needs a
//! new first byte; datagrams of version 1, which had no sequence numbers, are rejected.
//!
//! The literals are groups of hex digits, one group for each field of the layout. White space in them is ignored.

use irisrouter_cluster_types::{GatewayId, Timestamp, UnixMilliseconds};
use irisrouter_write_intents::codec::{
    decode, encode, IntentMessage, MessageKind, WireError, MAGIC, MAX_DATAGRAM_BYTES, MAX_MESSAGES,
};
use irisrouter_write_intents::{
    key_hash, recognizes, replica_order, Action, IntentStore, KeyHash, SequenceNumber,
    LOOKUP_CANDIDATES, MAX_SILENT, RECORD_CANDIDATES, REPLICAS,
};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

// Test values: the functions that build the messages and the store of the tests.

const NUMBER: SequenceNumber = SequenceNumber(0x2122_2324_2526_2728);
const KEY: KeyHash = KeyHash(0x0102_0304_0506_0708);
const FIRST_SENT_AT: UnixMilliseconds = UnixMilliseconds(0x1112_1314_1516_1718);

fn message(kind: MessageKind) -> IntentMessage {
    IntentMessage {
        kind,
        number: NUMBER,
        key: KEY,
        first_sent_at: FIRST_SENT_AT,
    }
}

/// Returns a message as it is sent if its kind carries no time.
fn without_time(kind: MessageKind) -> IntentMessage {
    IntentMessage {
        first_sent_at: UnixMilliseconds(0),
        ..message(kind)
    }
}

fn with_largest_numbers() -> IntentMessage {
    IntentMessage {
        kind: MessageKind::Found,
        number: SequenceNumber(u64::MAX),
        key: KeyHash(u64::MAX),
        first_sent_at: UnixMilliseconds(u64::MAX),
    }
}

/// Returns messages of all kinds in turn, whose other fields all differ.
fn distinct_messages(count: u64) -> Vec<IntentMessage> {
    let kinds = [
        MessageKind::Record,
        MessageKind::Acknowledged,
        MessageKind::LookUp,
        MessageKind::Found,
        MessageKind::NotFound,
        MessageKind::Withdraw,
    ];
    let message_at = |i: u64| IntentMessage {
        kind: kinds[i as usize % kinds.len()],
        number: SequenceNumber(0x2100_0000_0000_0000 + i),
        key: KeyHash(0x0100_0000_0000_0000 + i),
        first_sent_at: UnixMilliseconds(0x1100_0000_0000_0000 + i),
    };
    (0..count).map(message_at).collect()
}

/// Advances the store to `now`, and returns the destination and the bytes of each datagram that it sends.
fn sent_datagrams_at(store: &mut IntentStore, now: u64) -> Vec<(u32, String)> {
    store.advance(Timestamp::from_millis(now));
    let datagram = |action| match action {
        Action::Send { to, bytes } => Some((to.0, hex(&bytes))),
        Action::Ended { .. } => None,
    };
    store.drain_actions().filter_map(datagram).collect()
}

fn store_of_gateway_2() -> IntentStore {
    IntentStore::new(GatewayId(2), Timestamp::ZERO, NUMBER)
}

const GATEWAYS: [u32; 9] = [0, 1, 2, 3, 4, 5, 6, 7, 8];

fn gateways(numbers: &[u32]) -> Vec<GatewayId> {
    numbers.iter().copied().map(GatewayId).collect()
}

// Helpers.

fn without_whitespace(expected: &str) -> String {
    expected.split_whitespace().collect()
}

/// Asserts that the messages are encoded as `expected`, and that these bytes are decoded as the messages in `decoded`.
#[track_caller]
fn assert_encoded_and_decoded_as(
    messages: &[IntentMessage],
    expected: &str,
    decoded: &[IntentMessage],
) {
    let bytes = encode(messages);
    assert_eq!(hex(&bytes), without_whitespace(expected));
    assert_eq!(decode(&bytes).as_deref(), Ok(decoded));
}

#[track_caller]
fn assert_round_trip(messages: &[IntentMessage], expected: &str) {
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

/// Returns the same datagram for each of the gateways, as [`sent_datagrams_at`] returns it.
fn to_each(gateways: &[u32], datagram: &str) -> Vec<(u32, String)> {
    gateways
        .iter()
        .map(|&to| (to, without_whitespace(datagram)))
        .collect()
}

// Encoding.

#[test]
fn bounds_and_first_byte_keep_their_values() {
    assert_eq!((MAX_DATAGRAM_BYTES, MAX_MESSAGES, MAGIC), (256, 10, 0xc2));
}

#[test]
fn record_keeps_its_bytes() {
    assert_round_trip(
        &[message(MessageKind::Record)],
        "c2 01  00 2122232425262728 0102030405060708 1112131415161718",
    );
}

#[test]
fn acknowledgement_keeps_its_bytes() {
    assert_round_trip(
        &[message(MessageKind::Acknowledged)],
        "c2 01  01 2122232425262728 0102030405060708 1112131415161718",
    );
}

#[test]
fn look_up_keeps_its_bytes() {
    assert_round_trip(
        &[message(MessageKind::LookUp)],
        "c2 01  02 2122232425262728 0102030405060708 1112131415161718",
    );
    assert_round_trip(
        &[without_time(MessageKind::LookUp)],
        "c2 01  02 2122232425262728 0102030405060708 0000000000000000",
    );
}

#[test]
fn found_answer_keeps_its_bytes() {
    assert_round_trip(
        &[message(MessageKind::Found)],
        "c2 01  03 2122232425262728 0102030405060708 1112131415161718",
    );
}

#[test]
fn not_found_answer_keeps_its_bytes() {
    assert_round_trip(
        &[message(MessageKind::NotFound)],
        "c2 01  04 2122232425262728 0102030405060708 1112131415161718",
    );
    assert_round_trip(
        &[without_time(MessageKind::NotFound)],
        "c2 01  04 2122232425262728 0102030405060708 0000000000000000",
    );
}

#[test]
fn withdrawal_keeps_its_bytes() {
    assert_round_trip(
        &[message(MessageKind::Withdraw)],
        "c2 01  05 2122232425262728 0102030405060708 1112131415161718",
    );
    assert_round_trip(
        &[without_time(MessageKind::Withdraw)],
        "c2 01  05 2122232425262728 0102030405060708 0000000000000000",
    );
}

#[test]
fn message_with_the_largest_numbers_keeps_its_bytes() {
    assert_round_trip(
        &[with_largest_numbers()],
        "c2 01  03 ffffffffffffffff ffffffffffffffff ffffffffffffffff",
    );
}

#[test]
fn datagram_without_messages_keeps_its_bytes() {
    assert_round_trip(&[], "c2 00");
}

#[test]
fn longest_datagram_keeps_its_bytes_and_messages_beyond_it_are_left_out() {
    assert_encoded_and_decoded_as(
        &distinct_messages(12),
        "c2 0a
        00 2100000000000000 0100000000000000 1100000000000000
        01 2100000000000001 0100000000000001 1100000000000001
        02 2100000000000002 0100000000000002 1100000000000002
        03 2100000000000003 0100000000000003 1100000000000003
        04 2100000000000004 0100000000000004 1100000000000004
        05 2100000000000005 0100000000000005 1100000000000005
        00 2100000000000006 0100000000000006 1100000000000006
        01 2100000000000007 0100000000000007 1100000000000007
        02 2100000000000008 0100000000000008 1100000000000008
        03 2100000000000009 0100000000000009 1100000000000009",
        &distinct_messages(10),
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
        &[0xc1],
        WireError::Version(0xc1),
        "first byte 0xc1 is of another kind or version",
    );
    let mut bytes = encode(&distinct_messages(2));
    bytes[0] = 0xb1;
    assert_rejected(
        &bytes,
        WireError::Version(0xb1),
        "first byte 0xb1 is of another kind or version",
    );
}

#[test]
fn datagram_cut_anywhere_is_refused_as_short() {
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
fn trailing_bytes_are_refused_as_long() {
    let text = "the datagram is longer than what it says";
    assert_rejected(
        &[encode(&distinct_messages(2)), vec![0]].concat(),
        WireError::Long,
        text,
    );
    assert_rejected(
        &[encode(&distinct_messages(2)), vec![0; 25]].concat(),
        WireError::Long,
        text,
    );
    assert_rejected(
        &[encode(&distinct_messages(10)), vec![0]].concat(),
        WireError::Long,
        text,
    );
}

#[test]
fn unknown_kind_is_refused_with_its_number() {
    let mut bytes = encode(&distinct_messages(2));
    for (kind, text) in [(6, "unknown kind 6"), (255, "unknown kind 255")] {
        bytes[2 + 25] = kind;
        assert_rejected(&bytes, WireError::Unknown("kind", kind), text);
    }
}

#[test]
fn count_other_than_the_messages_that_follow_is_refused() {
    let mut bytes = encode(&distinct_messages(2));
    for count in [3, 11, 255] {
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
fn one_message_more_than_fits_is_refused_as_long() {
    let mut bytes = [encode(&distinct_messages(10)), vec![0; 25]].concat();
    bytes[1] = 11;
    assert_rejected(
        &bytes,
        WireError::Long,
        "the datagram is longer than what it says",
    );
}

#[test]
fn datagram_of_write_intents_is_recognized_by_the_high_half_of_its_first_byte() {
    assert!(
        recognizes(&[0xc2])
            && recognizes(&[0xc1])
            && recognizes(&[0xc0])
            && recognizes(&[0xcf, 0x00])
    );
    assert!(
        !recognizes(&[])
            && !recognizes(&[0x01, 0xc2])
            && !recognizes(&[0xb1])
            && !recognizes(&[0xd1])
    );
}

// Hashes and orders on which all gateways have to agree.

#[test]
fn hashes_of_keys_keep_their_values() {
    let numbers: [(i64, &[u8], u64); 10] = [
        (0, b"", 0x2d06_8005_38d3_94c2),
        (0, b"a", 0xe6c6_32b6_1e96_4e1f),
        (1, b"a", 0xd2f6_d099_6f37_a720),
        (42, b"order-17", 0xbe36_904c_c1f6_5d76),
        (-7, b"order-17", 0xb50e_f215_080b_62e6),
        (
            42,
            b"6f2a9d34-0b1c-4e5f-8a7b-c6d5e4f30219",
            0x8e3e_9848_6572_24d1,
        ),
        (42, &[b'k'; 100], 0x0562_b30a_ed23_7c61),
        (42, &[b'k'; 200], 0x324b_ea95_2838_bed7),
        (42, &[b'k'; 255], 0x7942_d9e0_e625_3411),
        (i64::MAX, b"\x00\xff", 0xd4e2_355d_0c22_9f06),
    ];
    for (set, key, expected) in numbers {
        assert_eq!(
            key_hash(set, key),
            KeyHash(expected),
            "set {set}, key {key:?}"
        );
    }
}

#[test]
fn replica_order_of_a_key_is_unchanged() {
    let orders: [(KeyHash, [u32; 9], [u32; 5]); 5] = [
        (
            KeyHash(0),
            [8, 3, 7, 2, 0, 4, 6, 5, 1],
            [17, 3, 65_536, 250, 4_000_000_000],
        ),
        (
            KeyHash(1),
            [4, 7, 2, 3, 8, 6, 5, 0, 1],
            [250, 17, 3, 4_000_000_000, 65_536],
        ),
        (
            KEY,
            [1, 5, 6, 4, 8, 3, 0, 7, 2],
            [65_536, 17, 3, 4_000_000_000, 250],
        ),
        (
            KeyHash(0x9dd2_eacf_3b3b_1c55),
            [0, 2, 8, 3, 6, 4, 1, 7, 5],
            [250, 3, 4_000_000_000, 17, 65_536],
        ),
        (
            KeyHash(u64::MAX),
            [5, 3, 8, 0, 1, 4, 2, 6, 7],
            [3, 4_000_000_000, 17, 250, 65_536],
        ),
    ];
    for (key, of_nine, with_gaps) in orders {
        assert_eq!(
            replica_order(key, &gateways(&GATEWAYS)),
            gateways(&of_nine),
            "key {:#x}",
            key.0
        );
        assert_eq!(
            replica_order(key, &gateways(&[4, 8, 0, 7, 1, 6, 2, 5, 3])),
            gateways(&of_nine),
            "key {:#x}, in another order",
            key.0
        );
        assert_eq!(
            replica_order(key, &gateways(&[4_000_000_000, 3, 250, 17, 65_536])),
            gateways(&with_gaps),
            "key {:#x}",
            key.0
        );
    }
    assert_eq!(replica_order(KEY, &[]), []);
}

#[test]
fn numbers_of_replicas_keep_their_values() {
    assert_eq!(
        (REPLICAS, RECORD_CANDIDATES, LOOKUP_CANDIDATES, MAX_SILENT),
        (2, 4, 6, 1)
    );
}

/// The replica order of the nine gateways is [1, 5, 6, 4, 8, 3, 0, 7, 2].
#[test]
fn record_goes_to_the_first_two_replicas_and_then_to_one_more_each_time_up_to_four() {
    let record = "c2 01  00 2122232425262728 0102030405060708 1112131415161718";
    let mut store = store_of_gateway_2();
    let intent = store.new_intent();
    store.record(
        Timestamp::ZERO,
        intent,
        KEY,
        FIRST_SENT_AT,
        &gateways(&GATEWAYS),
    );
    assert_eq!(sent_datagrams_at(&mut store, 0), to_each(&[1, 5], record));
    assert_eq!(
        sent_datagrams_at(&mut store, 10),
        to_each(&[1, 5, 6], record)
    );
    assert_eq!(
        sent_datagrams_at(&mut store, 20),
        to_each(&[1, 4, 5, 6], record)
    );
    assert_eq!(
        sent_datagrams_at(&mut store, 30),
        to_each(&[1, 4, 5, 6], record)
    );
}

#[test]
fn look_up_goes_to_the_first_six_replicas() {
    let mut store = store_of_gateway_2();
    store.look_up(Timestamp::ZERO, KEY, &gateways(&GATEWAYS));
    let look_up = "c2 01  02 2122232425262728 0102030405060708 0000000000000000";
    assert_eq!(
        sent_datagrams_at(&mut store, 0),
        to_each(&[1, 3, 4, 5, 6, 8], look_up)
    );
}

#[test]
fn withdrawal_goes_to_the_first_four_replicas() {
    let mut store = store_of_gateway_2();
    let intent = store.new_intent();
    store.withdraw(Timestamp::ZERO, intent, KEY, &gateways(&GATEWAYS));
    let withdrawal = "c2 01  05 2122232425262728 0102030405060708 0000000000000000";
    assert_eq!(
        sent_datagrams_at(&mut store, 0),
        to_each(&[1, 4, 5, 6], withdrawal)
    );
}
