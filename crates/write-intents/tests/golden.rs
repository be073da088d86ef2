//! Golden tests of the datagrams by which gateways note writes in hand and ask for them.
//!
//! Pinned are the exact bytes of every kind of item, what the decoder says of these bytes and of malformed ones, the
//! numbers of keys, and the gateways that keep a key. A fleet is upgraded one gateway at a time, so gateways of the old and
//! the new version exchange these datagrams with each other, and one that gets a repeat has to ask the gateways with which
//! another has noted it: a change of a single byte or number would lose notes, and a write could run twice. A refactoring
//! must leave every literal in this file as it is; a wanted change of the format needs a new first byte.
//!
//! Literals are groups of hex digits, one group for each field of the layout; the white space between them means nothing.

use irisrouter_write_intents::codec::{
    decode, encode, Item, Kind, WireError, ITEMS, MAGIC, MAX_DATAGRAM_BYTES,
};
use irisrouter_write_intents::{
    number, order, recognizes, Action, IntentStore, ASK_AMONG, KEEPERS, NOTE_AMONG, SILENT,
};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

// Values: all items that are pinned here are built in this part of the file.

const KEY: u64 = 0x0102_0304_0506_0708;
const AT: u64 = 0x1112_1314_1516_1718;

fn item(kind: Kind) -> Item {
    Item {
        kind,
        key: KEY,
        at: AT,
    }
}

/// As it is sent where the kind has no time.
fn without_time(kind: Kind) -> Item {
    Item {
        at: 0,
        ..item(kind)
    }
}

fn with_largest_numbers() -> Item {
    Item {
        kind: Kind::Known,
        key: u64::MAX,
        at: u64::MAX,
    }
}

/// Items that differ in every field.
fn many(count: u64) -> Vec<Item> {
    let kinds = [
        Kind::Note,
        Kind::Noted,
        Kind::Ask,
        Kind::Known,
        Kind::Unknown,
        Kind::Forget,
    ];
    let one = |i: u64| Item {
        kind: kinds[i as usize % kinds.len()],
        key: 0x0100_0000_0000_0000 + i,
        at: 0x1100_0000_0000_0000 + i,
    };
    (0..count).map(one).collect()
}

/// Gateway 2 in a fleet of nine, and what it sends by this time: to whom, and the bytes.
fn sent(core: &mut IntentStore, now: u64) -> Vec<(u32, String)> {
    core.advance(now);
    let datagram = |action| match action {
        Action::Send { to, bytes } => Some((to, hex(&bytes))),
        Action::Ended { .. } => None,
    };
    core.drain().filter_map(datagram).collect()
}

fn gateway() -> IntentStore {
    IntentStore::new(2, 0)
}

const GATEWAYS: [u32; 9] = [0, 1, 2, 3, 4, 5, 6, 7, 8];

// Helpers.

fn literal(expected: &str) -> String {
    expected.split_whitespace().collect()
}

/// A datagram of these items has these bytes, and is `read` from them.
#[track_caller]
fn pins_as(items: &[Item], expected: &str, read: &[Item]) {
    let bytes = encode(items);
    assert_eq!(hex(&bytes), literal(expected));
    assert_eq!(decode(&bytes).as_deref(), Ok(read));
}

#[track_caller]
fn pins(items: &[Item], expected: &str) {
    pins_as(items, expected, items);
}

#[track_caller]
fn refuses(bytes: &[u8], expected: WireError, text: &str) {
    let why = decode(bytes).expect_err("it is refused");
    assert_eq!(
        (why, why.to_string().as_str()),
        (expected, text),
        "{}",
        hex(bytes)
    );
}

/// This datagram to each of these gateways.
fn to_each(gateways: &[u32], datagram: &str) -> Vec<(u32, String)> {
    gateways.iter().map(|&to| (to, literal(datagram))).collect()
}

// The bytes.

#[test]
fn bounds_and_first_byte_keep_their_values() {
    assert_eq!((MAX_DATAGRAM_BYTES, ITEMS, MAGIC), (256, 14, 0xc1));
}

#[test]
fn note_item_keeps_its_bytes() {
    pins(
        &[item(Kind::Note)],
        "c1 01  00 0102030405060708 1112131415161718",
    );
}

#[test]
fn noted_item_keeps_its_bytes() {
    pins(
        &[item(Kind::Noted)],
        "c1 01  01 0102030405060708 1112131415161718",
    );
}

#[test]
fn ask_item_keeps_its_bytes() {
    pins(
        &[item(Kind::Ask)],
        "c1 01  02 0102030405060708 1112131415161718",
    );
    pins(
        &[without_time(Kind::Ask)],
        "c1 01  02 0102030405060708 0000000000000000",
    );
}

#[test]
fn known_item_keeps_its_bytes() {
    pins(
        &[item(Kind::Known)],
        "c1 01  03 0102030405060708 1112131415161718",
    );
}

#[test]
fn unknown_item_keeps_its_bytes() {
    pins(
        &[item(Kind::Unknown)],
        "c1 01  04 0102030405060708 1112131415161718",
    );
    pins(
        &[without_time(Kind::Unknown)],
        "c1 01  04 0102030405060708 0000000000000000",
    );
}

#[test]
fn forget_item_keeps_its_bytes() {
    pins(
        &[item(Kind::Forget)],
        "c1 01  05 0102030405060708 1112131415161718",
    );
    pins(
        &[without_time(Kind::Forget)],
        "c1 01  05 0102030405060708 0000000000000000",
    );
}

#[test]
fn item_with_the_largest_numbers_keeps_its_bytes() {
    pins(
        &[with_largest_numbers()],
        "c1 01  03 ffffffffffffffff ffffffffffffffff",
    );
}

#[test]
fn datagram_without_items_keeps_its_bytes() {
    pins(&[], "c1 00");
}

#[test]
fn longest_datagram_keeps_its_bytes_and_items_beyond_it_are_left_out() {
    pins_as(
        &many(16),
        "c1 0e
        00 0100000000000000 1100000000000000
        01 0100000000000001 1100000000000001
        02 0100000000000002 1100000000000002
        03 0100000000000003 1100000000000003
        04 0100000000000004 1100000000000004
        05 0100000000000005 1100000000000005
        00 0100000000000006 1100000000000006
        01 0100000000000007 1100000000000007
        02 0100000000000008 1100000000000008
        03 0100000000000009 1100000000000009
        04 010000000000000a 110000000000000a
        05 010000000000000b 110000000000000b
        00 010000000000000c 110000000000000c
        01 010000000000000d 110000000000000d",
        &many(14),
    );
}

// What is refused.

#[test]
fn empty_datagram_is_refused_as_short() {
    refuses(&[], WireError::Short, "the datagram ends inside a field");
}

#[test]
fn other_first_byte_is_refused_as_another_kind_or_version() {
    refuses(
        &[0xc2],
        WireError::Version(0xc2),
        "first byte 0xc2 is of another kind or version",
    );
    let mut bytes = encode(&many(2));
    bytes[0] = 0xb1;
    refuses(
        &bytes,
        WireError::Version(0xb1),
        "first byte 0xb1 is of another kind or version",
    );
}

#[test]
fn datagram_cut_anywhere_is_refused_as_short() {
    let bytes = encode(&many(2));
    for end in 0..bytes.len() {
        refuses(
            &bytes[..end],
            WireError::Short,
            "the datagram ends inside a field",
        );
    }
}

#[test]
fn trailing_bytes_are_refused_as_long() {
    let text = "the datagram is longer than what it says";
    refuses(&[encode(&many(2)), vec![0]].concat(), WireError::Long, text);
    refuses(
        &[encode(&many(2)), vec![0; 17]].concat(),
        WireError::Long,
        text,
    );
    refuses(
        &[encode(&many(14)), vec![0]].concat(),
        WireError::Long,
        text,
    );
}

#[test]
fn unknown_kind_is_refused_with_its_number() {
    let mut bytes = encode(&many(2));
    for (kind, text) in [(6, "unknown kind 6"), (255, "unknown kind 255")] {
        bytes[2 + 17] = kind;
        refuses(&bytes, WireError::Unknown("kind", kind), text);
    }
}

#[test]
fn count_other_than_the_items_that_follow_is_refused() {
    let mut bytes = encode(&many(2));
    for count in [3, 15, 255] {
        bytes[1] = count;
        refuses(&bytes, WireError::Short, "the datagram ends inside a field");
    }
    bytes[1] = 1;
    refuses(
        &bytes,
        WireError::Long,
        "the datagram is longer than what it says",
    );
}

#[test]
fn one_item_more_than_fit_is_refused_as_long() {
    let mut bytes = [encode(&many(14)), vec![0; 17]].concat();
    bytes[1] = 15;
    refuses(
        &bytes,
        WireError::Long,
        "the datagram is longer than what it says",
    );
}

#[test]
fn datagram_of_writes_in_hand_is_told_by_the_high_half_of_its_first_byte() {
    assert!(recognizes(&[0xc1]) && recognizes(&[0xc0]) && recognizes(&[0xcf, 0x00]));
    assert!(
        !recognizes(&[])
            && !recognizes(&[0x01, 0xc1])
            && !recognizes(&[0xb1])
            && !recognizes(&[0xd1])
    );
}

// Numbers on which all gateways agree.

#[test]
fn numbers_of_keys_keep_their_values() {
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
        assert_eq!(number(set, key), expected, "set {set}, key {key:?}");
    }
}

#[test]
fn order_of_gateways_for_a_key_keeps_its_members_places() {
    let orders: [(u64, [u32; 9], [u32; 5]); 5] = [
        (
            0,
            [8, 3, 7, 2, 0, 4, 6, 5, 1],
            [17, 3, 65_536, 250, 4_000_000_000],
        ),
        (
            1,
            [4, 7, 2, 3, 8, 6, 5, 0, 1],
            [250, 17, 3, 4_000_000_000, 65_536],
        ),
        (
            KEY,
            [1, 5, 6, 4, 8, 3, 0, 7, 2],
            [65_536, 17, 3, 4_000_000_000, 250],
        ),
        (
            0x9dd2_eacf_3b3b_1c55,
            [0, 2, 8, 3, 6, 4, 1, 7, 5],
            [250, 3, 4_000_000_000, 17, 65_536],
        ),
        (
            u64::MAX,
            [5, 3, 8, 0, 1, 4, 2, 6, 7],
            [3, 4_000_000_000, 17, 250, 65_536],
        ),
    ];
    for (key, of_nine, with_gaps) in orders {
        assert_eq!(order(key, &GATEWAYS), of_nine, "key {key:#x}");
        assert_eq!(
            order(key, &[4, 8, 0, 7, 1, 6, 2, 5, 3]),
            of_nine,
            "key {key:#x}, in another order"
        );
        assert_eq!(
            order(key, &[4_000_000_000, 3, 250, 17, 65_536]),
            with_gaps,
            "key {key:#x}"
        );
    }
    assert_eq!(order(KEY, &[]), [0; 0]);
}

#[test]
fn numbers_of_keepers_keep_their_values() {
    assert_eq!((KEEPERS, NOTE_AMONG, ASK_AMONG, SILENT), (2, 4, 6, 1));
}

/// The order of the nine is [1, 5, 6, 4, 8, 3, 0, 7, 2].
#[test]
fn note_goes_to_the_first_two_keepers_and_then_to_one_more_each_time_up_to_four() {
    let note = "c1 01  00 0102030405060708 1112131415161718";
    let mut core = gateway();
    core.note(0, KEY, AT, &GATEWAYS);
    assert_eq!(sent(&mut core, 0), to_each(&[1, 5], note));
    assert_eq!(sent(&mut core, 10), to_each(&[1, 5, 6], note));
    assert_eq!(sent(&mut core, 20), to_each(&[1, 4, 5, 6], note));
    assert_eq!(sent(&mut core, 30), to_each(&[1, 4, 5, 6], note));
}

#[test]
fn question_goes_to_the_first_six_keepers() {
    let mut core = gateway();
    core.ask(0, KEY, &GATEWAYS);
    let ask = "c1 01  02 0102030405060708 0000000000000000";
    assert_eq!(sent(&mut core, 0), to_each(&[1, 3, 4, 5, 6, 8], ask));
}

#[test]
fn word_that_a_write_never_ran_goes_to_the_first_four_keepers() {
    let mut core = gateway();
    core.forget(KEY, &GATEWAYS);
    let forget = "c1 01  05 0102030405060708 0000000000000000";
    assert_eq!(sent(&mut core, 0), to_each(&[1, 4, 5, 6], forget));
}
