//! Golden tests of the health-check results that gateways share.
//!
//! They pin the exact bytes of the message, the decoder's results for these bytes and for malformed
//! ones, the ids of hosts, the order of gateways for a group, and the times at which their rounds
//! are due. A fleet is upgraded one gateway at a time, so gateways of the old and the new version
//! exchange these datagrams: after a change of a single byte or number they would misread each
//! other's results or check the same group twice. A refactoring must leave every literal in this
//! file unchanged; an intended change of the format needs a new version byte.
//!
//! A literal consists of groups of hex digits, one group for each field of the layout; the white
//! space between them is ignored.

use irisrouter_cluster_types::{GatewayId, HostId};
use irisrouter_gossip::health_check_schedule::HealthCheckSchedule;
use irisrouter_gossip::message::{
    decode, encode, host_id, DecodeError, HealthCheckResult, Message, MAX_DATAGRAM_BYTES,
    MAX_RESULTS,
};
use irisrouter_gossip::{Nanoseconds, UnixNanoseconds};

const MS: Nanoseconds = Nanoseconds(1_000_000);
const NANOSECOND: Nanoseconds = Nanoseconds(1);
const EPOCH: UnixNanoseconds = UnixNanoseconds(0);
/// As Unix milliseconds, this time has the lower 32 bits 0x32e2_9314.
const NOW: UnixNanoseconds = UnixNanoseconds(1_796_150_039_316 * 1_000_000);
/// As Unix milliseconds, this time has the lower 32 bits 0: the time field of a message has just
/// wrapped around.
const WRAP: UnixNanoseconds = UnixNanoseconds((418 << 32) * 1_000_000);

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

// Values: this section builds all messages and results that the tests pin.

fn message(checked_at: UnixNanoseconds, results: Vec<HealthCheckResult>) -> Message {
    Message {
        checked_at,
        results,
    }
}

/// A primary whose position is 1,929 ms (0x0789) behind and that uses 37 (0x25) hundredths of its
/// cores.
fn primary() -> HealthCheckResult {
    HealthCheckResult {
        host: HostId(0x12_3456),
        position: Some(NOW - 1_929 * MS),
        primary: true,
        cores_in_use: Some(0.37),
    }
}

/// A replica whose position is 31 ms (0x1f) behind and that uses 99 (0x63) hundredths of its cores.
fn replica() -> HealthCheckResult {
    HealthCheckResult {
        host: HostId(0xfe_dcba),
        position: Some(NOW - 31 * MS),
        primary: false,
        cores_in_use: Some(0.99),
    }
}

fn primary_and_replica() -> Message {
    message(NOW, vec![primary(), replica()])
}

fn host_with_unknown_values(primary: bool) -> HealthCheckResult {
    HealthCheckResult {
        host: HostId(0x00_abcd),
        position: None,
        primary,
        cores_in_use: None,
    }
}

/// A replica with known values.
fn replica_with(position: UnixNanoseconds, cores_in_use: f64) -> HealthCheckResult {
    HealthCheckResult {
        host: HostId(0x01_0203),
        position: Some(position),
        primary: false,
        cores_in_use: Some(cores_in_use),
    }
}

/// The same replica with values that may be unknown.
fn replica_with_optional(
    position: Option<UnixNanoseconds>,
    cores_in_use: Option<f64>,
) -> HealthCheckResult {
    HealthCheckResult {
        host: HostId(0x01_0203),
        position,
        primary: false,
        cores_in_use,
    }
}

/// Returns `count` results with different host ids, positions and shares of cores in use; every
/// second one is of a primary.
fn distinct_results(count: u32) -> Vec<HealthCheckResult> {
    let one = |i: u32| HealthCheckResult {
        host: HostId(0x0a_00ff + i * 0xff),
        position: Some(NOW - i64::from(0x1000 + i) * MS),
        primary: i % 2 == 1,
        cores_in_use: Some(f64::from(i + 1) / 100.0),
    };
    (0..count).map(one).collect()
}

/// Returns the gateways of a fleet in the order in which they are due to check a group that has not
/// been checked yet.
fn check_order(group: i64, gateways: u32) -> Vec<u32> {
    let due = |gateway: u32| first_round_due(group, gateway, gateways);
    let mut all: Vec<u32> = (0..gateways).collect();
    all.sort_by_key(|&gateway| due(gateway));
    all
}

/// Returns when `gateway` checks the group if no other gateway does, for a group that is added at
/// time 0.
fn first_round_due(group: i64, gateway: u32, gateways: u32) -> Option<Nanoseconds> {
    let mut schedule = HealthCheckSchedule::new(GatewayId(gateway), gateways);
    schedule.update_groups(EPOCH, &[group]);
    schedule.next_due().map(|due| due - EPOCH)
}

/// Returns when `gateway` checks the group next, in a fleet of three, after `last` has checked it
/// at time 0.
fn next_round_due(group: i64, gateway: u32, last: u32) -> Option<Nanoseconds> {
    let mut schedule = HealthCheckSchedule::new(GatewayId(gateway), 3);
    schedule.update_groups(EPOCH - 1_000 * MS, &[group]);
    schedule.record_round(group, GatewayId(last), EPOCH);
    schedule.next_due().map(|due| due - EPOCH)
}

// Helpers.

fn without_whitespace(expected: &str) -> String {
    expected.split_whitespace().collect()
}

/// Asserts that the message is encoded as the bytes `expected`, and that these decode to `decoded`
/// at the time of the checks.
#[track_caller]
fn assert_encoding(message: &Message, expected: &str, decoded: &Message) {
    let bytes = encode(message);
    assert_eq!(hex(&bytes), without_whitespace(expected));
    assert_eq!(decode(&bytes, message.checked_at).as_ref(), Ok(decoded));
}

// Encoded bytes.

#[test]
fn bounds_keep_their_values() {
    assert_eq!((MAX_DATAGRAM_BYTES, MAX_RESULTS), (256, 41));
}

#[test]
fn message_with_a_primary_and_a_replica_keeps_its_bytes() {
    assert_encoding(
        &primary_and_replica(),
        "01 32e29314  123456 0789 a5  fedcba 001f 63",
        &primary_and_replica(),
    );
}

#[test]
fn result_without_known_values_keeps_its_bytes() {
    let original = message(
        NOW,
        vec![
            host_with_unknown_values(false),
            host_with_unknown_values(true),
        ],
    );
    assert_encoding(
        &original,
        "01 32e29314  00abcd ffff 7f  00abcd ffff ff",
        &original,
    );
}

#[test]
fn result_with_the_least_and_the_largest_values_keeps_its_bytes() {
    let original = message(
        NOW,
        vec![
            replica_with(NOW, 0.0),
            replica_with(NOW - 65_534 * MS, 1.26),
        ],
    );
    assert_encoding(
        &original,
        "01 32e29314  010203 0000 00  010203 fffe 7e",
        &original,
    );
}

#[test]
fn position_beyond_the_range_of_the_field_is_written_as_unknown_or_as_no_lag() {
    let original = message(
        NOW,
        vec![
            replica_with(NOW - 65_535 * MS, 0.01),
            replica_with(EPOCH, 0.02),
            replica_with(NOW + 7 * MS, 0.03),
        ],
    );
    let decoded = vec![
        replica_with_optional(None, Some(0.01)),
        replica_with_optional(None, Some(0.02)),
        replica_with(NOW, 0.03),
    ];
    assert_encoding(
        &original,
        "01 32e29314  010203 ffff 01  010203 ffff 02  010203 0000 03",
        &message(NOW, decoded),
    );
}

#[test]
fn share_of_cores_beyond_the_range_of_the_field_is_clamped_and_one_that_is_not_finite_is_written_as_unknown(
) {
    let shares = [9.0, -0.5, 0.375, f64::NAN, f64::INFINITY, f64::NEG_INFINITY];
    let decoded = [Some(1.26), Some(0.0), Some(0.38), None, None, None];
    assert_encoding(
        &message(NOW, shares.iter().map(|&share| replica_with(NOW - 5 * MS, share)).collect()),
        "01 32e29314  010203 0005 7e  010203 0005 00  010203 0005 26  010203 0005 7f  010203 0005 7f  010203 0005 7f",
        &message(NOW, decoded.iter().map(|&share| replica_with_optional(Some(NOW - 5 * MS), share)).collect()),
    );
}

#[test]
fn times_are_written_in_whole_milliseconds_rounded_down() {
    let original = message(
        NOW + 999_999 * NANOSECOND,
        vec![
            replica_with(NOW + 999_999 * NANOSECOND, 0.5),
            replica_with(NOW - NANOSECOND, 0.5),
        ],
    );
    let decoded = message(
        NOW,
        vec![replica_with(NOW, 0.5), replica_with(NOW - MS, 0.5)],
    );
    assert_encoding(
        &original,
        "01 32e29314  010203 0000 32  010203 0001 32",
        &decoded,
    );
}

#[test]
fn host_id_beyond_24_bits_is_written_by_its_lower_24_bits() {
    let original = HealthCheckResult {
        host: HostId(0x1234_5678),
        ..replica()
    };
    let decoded = HealthCheckResult {
        host: HostId(0x34_5678),
        ..replica()
    };
    assert_encoding(
        &message(NOW, vec![original]),
        "01 32e29314  345678 001f 63",
        &message(NOW, vec![decoded]),
    );
}

#[test]
fn time_around_the_wrap_of_its_32_bits_keeps_its_bytes_and_is_read_as_the_nearest_one() {
    let before = message(WRAP - MS, vec![replica_with(WRAP - 18 * MS, 0.64)]);
    assert_encoding(&before, "01 ffffffff  010203 0011 40", &before);
    assert_eq!(
        decode(&encode(&before), WRAP + 4_000 * MS),
        Ok(before),
        "decoded after the wrap"
    );
    let after = message(WRAP, vec![replica_with(WRAP - 18 * MS, 0.64)]);
    assert_encoding(&after, "01 00000000  010203 0012 40", &after);
    assert_eq!(
        decode(&encode(&after), WRAP - 10 * MS),
        Ok(after),
        "by a clock that is behind the wrap"
    );
}

#[test]
fn longest_message_keeps_its_bytes_and_results_beyond_it_are_left_out() {
    assert_encoding(
        &message(NOW, distinct_results(43)),
        "01 32e29314
        0a00ff 1000 01  0a01fe 1001 82  0a02fd 1002 03  0a03fc 1003 84  0a04fb 1004 05  0a05fa 1005 86
        0a06f9 1006 07  0a07f8 1007 88  0a08f7 1008 09  0a09f6 1009 8a  0a0af5 100a 0b  0a0bf4 100b 8c
        0a0cf3 100c 0d  0a0df2 100d 8e  0a0ef1 100e 0f  0a0ff0 100f 90  0a10ef 1010 11  0a11ee 1011 92
        0a12ed 1012 13  0a13ec 1013 94  0a14eb 1014 15  0a15ea 1015 96  0a16e9 1016 17  0a17e8 1017 98
        0a18e7 1018 19  0a19e6 1019 9a  0a1ae5 101a 1b  0a1be4 101b 9c  0a1ce3 101c 1d  0a1de2 101d 9e
        0a1ee1 101e 1f  0a1fe0 101f a0  0a20df 1020 21  0a21de 1021 a2  0a22dd 1022 23  0a23dc 1023 a4
        0a24db 1024 25  0a25da 1025 a6  0a26d9 1026 27  0a27d8 1027 a8  0a28d7 1028 29",
        &message(NOW, distinct_results(41)),
    );
}

// Rejected datagrams. The texts of these errors are not pinned, because they are only logged.

#[test]
fn empty_datagram_is_refused_for_its_length() {
    assert_eq!(decode(&[], NOW), Err(DecodeError::Length));
}

#[test]
fn message_without_results_is_written_and_refused_for_its_length() {
    let bytes = encode(&message(NOW, Vec::new()));
    assert_eq!(hex(&bytes), without_whitespace("01 32e29314"));
    assert_eq!(decode(&bytes, NOW), Err(DecodeError::Length));
}

#[test]
fn other_first_byte_is_refused_as_another_version() {
    for first in [0x00, 0x02, 0x11, 0xa2, 0xb1, 0xff] {
        let mut bytes = encode(&primary_and_replica());
        bytes[0] = first;
        assert_eq!(
            decode(&bytes, NOW),
            Err(DecodeError::Version),
            "{first:#04x}"
        );
    }
    // The length is checked before the version.
    assert_eq!(decode(&[0x02], NOW), Err(DecodeError::Length));
    assert_eq!(decode(&[0x02; 257], NOW), Err(DecodeError::Length));
}

#[test]
fn datagram_cut_inside_a_result_is_refused_for_its_length() {
    let bytes = encode(&primary_and_replica());
    for end in (0..bytes.len()).filter(|&end| end != 11) {
        assert_eq!(
            decode(&bytes[..end], NOW),
            Err(DecodeError::Length),
            "{end} bytes"
        );
    }
}

/// The format has no count of results, so the truncated datagram cannot be distinguished from a
/// shorter message.
#[test]
fn datagram_cut_between_two_results_is_decoded_as_the_results_before_the_cut() {
    assert_eq!(
        decode(&encode(&primary_and_replica())[..11], NOW),
        Ok(message(NOW, vec![primary()]))
    );
}

#[test]
fn trailing_bytes_are_refused_for_their_length_unless_they_make_a_whole_result() {
    for more in 1..6 {
        let bytes = [encode(&primary_and_replica()), vec![0; more]].concat();
        assert_eq!(decode(&bytes, NOW), Err(DecodeError::Length), "{more} more");
    }
    let bytes = [
        encode(&primary_and_replica()),
        vec![0x01, 0x02, 0x03, 0x00, 0x05, 0x40],
    ]
    .concat();
    let decoded = message(
        NOW,
        vec![primary(), replica(), replica_with(NOW - 5 * MS, 0.64)],
    );
    assert_eq!(decode(&bytes, NOW), Ok(decoded));
}

#[test]
fn one_result_more_than_fit_is_refused_for_its_length() {
    let bytes = [
        encode(&message(NOW, distinct_results(41))),
        vec![0x01, 0x02, 0x03, 0x00, 0x05, 0x40],
    ]
    .concat();
    assert_eq!(bytes.len(), 257);
    assert_eq!(decode(&bytes, NOW), Err(DecodeError::Length));
}

#[test]
fn message_is_refused_as_old_after_five_seconds_and_as_future_more_than_20_ms_ahead() {
    let bytes = encode(&primary_and_replica());
    assert_eq!(decode(&bytes, NOW + 5_000 * MS), Ok(primary_and_replica()));
    assert_eq!(
        decode(&bytes, NOW + 5_000 * MS + NANOSECOND),
        Err(DecodeError::Old)
    );
    assert_eq!(decode(&bytes, NOW - 20 * MS), Ok(primary_and_replica()));
    assert_eq!(
        decode(&bytes, NOW - 20 * MS - NANOSECOND),
        Err(DecodeError::Future)
    );
}

// Values that are the same at all gateways.

#[test]
fn ids_of_hosts_keep_their_values() {
    let ids = [
        ("", 0x1c_9d44),
        ("a", 0x0c_29c8),
        ("db-0001", 0xb3_2533),
        ("db-0002", 0xb3_21cf),
        ("replica-eu-west-17", 0xfe_3773),
        ("pg/σύνολο-3", 0xf8_2ea7),
    ];
    for (name, expected) in ids {
        assert_eq!(host_id(name), HostId(expected), "{name:?}");
    }
}

#[test]
fn order_of_gateways_for_a_group_is_unchanged() {
    assert_eq!(check_order(0, 7), [3, 6, 0, 2, 1, 5, 4]);
    assert_eq!(check_order(1, 7), [1, 2, 6, 5, 3, 4, 0]);
    assert_eq!(check_order(42, 7), [1, 5, 3, 4, 0, 2, 6]);
    assert_eq!(check_order(-7, 7), [0, 5, 2, 4, 6, 3, 1]);
    assert_eq!(check_order(i64::MAX, 7), [4, 5, 0, 3, 6, 2, 1]);
    assert_eq!(check_order(42, 12), [1, 9, 8, 5, 7, 3, 4, 0, 2, 6, 10, 11]);
}

#[test]
fn first_rounds_of_gateways_for_a_new_group_are_60_ms_apart() {
    let due_times: Vec<_> = check_order(42, 4)
        .into_iter()
        .map(|gateway| first_round_due(42, gateway, 4))
        .collect();
    assert_eq!(
        due_times,
        [
            Some(Nanoseconds(0)),
            Some(60 * MS),
            Some(120 * MS),
            Some(180 * MS)
        ]
    );
}

#[test]
fn last_gateway_checks_a_group_again_after_200_ms_and_the_others_60_ms_after_one_another() {
    // The next due times follow the order [1, 0, 2], except that the gateway that ran the last
    // round comes first.
    assert_eq!(check_order(42, 3), [1, 0, 2]);
    assert_eq!(next_round_due(42, 2, 2), Some(200 * MS));
    assert_eq!(next_round_due(42, 1, 2), Some(260 * MS));
    assert_eq!(next_round_due(42, 0, 2), Some(320 * MS));
    assert_eq!(next_round_due(42, 2, 1), Some(380 * MS));
}
