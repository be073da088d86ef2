//! Golden tests of the heartbeat that the watcher of the endpoint list sends to the other gateways of its fleet.
//!
//! The tests pin the exact bytes of a heartbeat, the decoder's result for these bytes and for malformed ones, and the
//! id of the leased task for the watch. A fleet is upgraded one gateway at a time, so that gateways of the old and the
//! new version exchange these datagrams and must agree on which gateway watches. A change of a single byte or of the
//! task id would make half of the fleet watch for itself, or send requests to hosts that are out of service. A
//! refactoring must leave every literal in this file as it is; an intended change of the format needs a new first byte.
//!
//! Literals are groups of hex digits, one group for each field of the layout; white space between the groups is
//! ignored.

use irisrouter_cluster_types::{Epoch, HostId, TaskId};
use irisrouter_endpoint_watch::codec::{decode, encode, WireError, MAGIC, MAX_DATAGRAM_BYTES};
use irisrouter_endpoint_watch::{
    recognizes, Heartbeat, Revision, MAX_HOSTS_OUT_OF_SERVICE, TASK_ID,
};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

// Values: this section builds all heartbeats that the tests pin.

fn heartbeat(hosts: &[u32]) -> Heartbeat {
    Heartbeat {
        epoch: Epoch(0x0102_0304_0506_0708),
        revision: Revision(0x1112_1314_1516_1718),
        hosts_out_of_service: hosts.iter().copied().map(HostId).collect(),
    }
}

fn with_two_hosts() -> Heartbeat {
    heartbeat(&[0x2122_2324, 0x00fe_dcba])
}

fn with_largest_numbers() -> Heartbeat {
    Heartbeat {
        epoch: Epoch(u64::MAX),
        revision: Revision(u64::MAX),
        hosts_out_of_service: vec![HostId(u32::MAX)],
    }
}

fn with_smallest_numbers() -> Heartbeat {
    Heartbeat {
        epoch: Epoch(1),
        revision: Revision(0),
        hosts_out_of_service: vec![HostId(0)],
    }
}

fn with_epoch_0() -> Heartbeat {
    Heartbeat {
        epoch: Epoch(0),
        ..with_two_hosts()
    }
}

fn with_many_hosts(count: u32) -> Heartbeat {
    heartbeat(&(0..count).map(|i| 0x2100_0000 + i).collect::<Vec<_>>())
}

// Helpers.

fn literal(expected: &str) -> String {
    expected.split_whitespace().collect()
}

/// Asserts that a heartbeat is encoded as the expected bytes, and that these are decoded as `read`.
#[track_caller]
fn assert_encoding_and_decoding(heartbeat: &Heartbeat, expected: &str, read: &Heartbeat) {
    let bytes = encode(heartbeat);
    assert_eq!(hex(&bytes), literal(expected));
    assert_eq!(decode(&bytes).as_ref(), Ok(read));
}

#[track_caller]
fn assert_encoding(heartbeat: &Heartbeat, expected: &str) {
    assert_encoding_and_decoding(heartbeat, expected, heartbeat);
}

#[track_caller]
fn assert_rejected(bytes: &[u8], expected: WireError, text: &str) {
    let error = decode(bytes).expect_err("a decoding error");
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
        (MAX_DATAGRAM_BYTES, MAX_HOSTS_OUT_OF_SERVICE, MAGIC),
        (256, 59, 0xf1)
    );
}

#[test]
fn heartbeat_with_hosts_out_of_service_keeps_its_bytes() {
    assert_encoding(
        &with_two_hosts(),
        "f1 0102030405060708 1112131415161718 02 21222324 00fedcba",
    );
}

#[test]
fn heartbeat_without_hosts_out_of_service_keeps_its_bytes() {
    assert_encoding(&heartbeat(&[]), "f1 0102030405060708 1112131415161718 00");
}

#[test]
fn heartbeat_with_the_largest_and_the_smallest_numbers_keeps_its_bytes() {
    assert_encoding(
        &with_largest_numbers(),
        "f1 ffffffffffffffff ffffffffffffffff 01 ffffffff",
    );
    assert_encoding(
        &with_smallest_numbers(),
        "f1 0000000000000001 0000000000000000 01 00000000",
    );
}

#[test]
fn longest_heartbeat_keeps_its_bytes_and_hosts_beyond_it_are_left_out() {
    assert_encoding_and_decoding(
        &with_many_hosts(61),
        "f1 0102030405060708 1112131415161718 3b
        21000000 21000001 21000002 21000003 21000004 21000005 21000006 21000007 21000008 21000009
        2100000a 2100000b 2100000c 2100000d 2100000e 2100000f 21000010 21000011 21000012 21000013
        21000014 21000015 21000016 21000017 21000018 21000019 2100001a 2100001b 2100001c 2100001d
        2100001e 2100001f 21000020 21000021 21000022 21000023 21000024 21000025 21000026 21000027
        21000028 21000029 2100002a 2100002b 2100002c 2100002d 2100002e 2100002f 21000030 21000031
        21000032 21000033 21000034 21000035 21000036 21000037 21000038 21000039 2100003a",
        &with_many_hosts(59),
    );
}

// Rejected datagrams. No test covers an unknown kind, because a heartbeat datagram has no kind field.

#[test]
fn empty_datagram_is_rejected_as_short() {
    assert_rejected(&[], WireError::Short, "the datagram ends inside a field");
}

#[test]
fn other_first_byte_is_rejected_as_another_kind_or_version() {
    assert_rejected(
        &[0xf2],
        WireError::Version(0xf2),
        "first byte 0xf2 is of another kind or version",
    );
    let mut bytes = encode(&with_two_hosts());
    bytes[0] = 0xe1;
    assert_rejected(
        &bytes,
        WireError::Version(0xe1),
        "first byte 0xe1 is of another kind or version",
    );
}

#[test]
fn heartbeat_under_epoch_0_is_encoded_and_rejected_for_its_value() {
    let bytes = encode(&with_epoch_0());
    assert_eq!(
        hex(&bytes),
        literal("f1 0000000000000000 1112131415161718 02 21222324 00fedcba")
    );
    assert_rejected(
        &bytes,
        WireError::Value("an epoch of nobody"),
        "an epoch of nobody can't be so",
    );
}

#[test]
fn truncated_datagram_is_rejected_as_short() {
    let bytes = encode(&with_two_hosts());
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
        &[encode(&with_two_hosts()), vec![0]].concat(),
        WireError::Long,
        text,
    );
    assert_rejected(
        &[encode(&with_two_hosts()), vec![0; 4]].concat(),
        WireError::Long,
        text,
    );
    assert_rejected(
        &[encode(&with_many_hosts(59)), vec![0]].concat(),
        WireError::Long,
        text,
    );
}

#[test]
fn count_other_than_the_hosts_that_follow_is_rejected() {
    let mut bytes = encode(&with_two_hosts());
    for count in [3, 60, 255] {
        bytes[17] = count;
        assert_rejected(&bytes, WireError::Short, "the datagram ends inside a field");
    }
    bytes[17] = 1;
    assert_rejected(
        &bytes,
        WireError::Long,
        "the datagram is longer than what it says",
    );
}

#[test]
fn one_host_too_many_is_rejected_as_long() {
    let mut bytes = [encode(&with_many_hosts(59)), vec![0; 4]].concat();
    bytes[17] = 60;
    assert_rejected(
        &bytes,
        WireError::Long,
        "the datagram is longer than what it says",
    );
}

#[test]
fn datagram_of_the_watch_is_recognized_by_the_high_half_of_its_first_byte() {
    assert!(recognizes(&[0xf1]) && recognizes(&[0xf0]) && recognizes(&[0xff, 0x00]));
    assert!(!recognizes(&[]) && !recognizes(&[0x01, 0xf1]) && !recognizes(&[0xe1]));
}

// Numbers on which all gateways agree.

#[test]
fn task_id_of_the_watch_keeps_its_value() {
    assert_eq!(TASK_ID, TaskId(0x5741_5443_4800_0000));
}
