//! Tests that messages survive encoding and decoding, and that invalid datagrams are rejected.

use irisrouter_cluster_types::HostId;
use irisrouter_gossip::message::{
    decode, encode, DecodeError, HealthCheckResult, Message, MAX_DATAGRAM_BYTES, MAX_RESULTS,
};
use irisrouter_gossip::{Nanoseconds, UnixNanoseconds};
use proptest::prelude::*;

const MS: Nanoseconds = Nanoseconds(1_000_000);
const NOW: UnixNanoseconds = UnixNanoseconds(1_796_150_039_316 * 1_000_000);

fn result() -> impl Strategy<Value = HealthCheckResult> {
    (
        0u32..1 << 24,
        proptest::option::of(0i64..65_535),
        any::<bool>(),
        proptest::option::of(0u8..=126),
    )
        .prop_map(|(host, lag_ms, primary, hundredths)| HealthCheckResult {
            host: HostId(host),
            position: lag_ms.map(|lag_ms| NOW - lag_ms * MS),
            primary,
            cores_in_use: hundredths.map(|hundredths| f64::from(hundredths) / 100.0),
        })
}

proptest! {
    #[test]
    fn message_is_unchanged_when_encoded_and_decoded(
        results in proptest::collection::vec(result(), 1..=MAX_RESULTS),
        later_ms in 0i64..4_000,
    ) {
        let message = Message { checked_at: NOW, results };
        let datagram = encode(&message);
        prop_assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
        prop_assert_eq!(decode(&datagram, NOW + later_ms * MS), Ok(message));
    }

    #[test]
    fn decode_returns_no_position_in_the_future_for_any_bytes(
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
    ) {
        if let Ok(message) = decode(&bytes, NOW) {
            prop_assert!(message.results.len() <= MAX_RESULTS);
            prop_assert!(message.checked_at <= NOW + 20 * MS);
            prop_assert!(message.checked_at >= NOW - 5_000 * MS);
            for result in &message.results {
                prop_assert!(result.position.is_none_or(|position| position <= message.checked_at));
            }
        }
    }
}

#[test]
fn decode_rejects_datagrams_of_wrong_length_version_or_time() {
    let result = HealthCheckResult {
        host: HostId(7),
        position: Some(NOW),
        primary: true,
        cores_in_use: None,
    };
    let valid = encode(&Message {
        checked_at: NOW,
        results: vec![result],
    });
    for length in 0..valid.len() {
        assert_eq!(
            decode(&valid[..length], NOW),
            Err(DecodeError::Length),
            "{length} bytes"
        );
    }
    assert_eq!(decode(&[1; 257], NOW), Err(DecodeError::Length));
    let mut other_version = valid.clone();
    other_version[0] = 2;
    assert_eq!(decode(&other_version, NOW), Err(DecodeError::Version));
    let much_later = NOW + 6_000 * MS;
    assert_eq!(decode(&valid, much_later), Err(DecodeError::Old));
    let earlier = NOW - 60 * MS;
    assert_eq!(decode(&valid, earlier), Err(DecodeError::Future));
    assert!(
        decode(&valid, NOW - 10 * MS).is_ok(),
        "clocks differ a little"
    );
}

#[test]
fn encode_sends_unknown_when_values_are_not_finite_or_out_of_range() {
    let result = |position, cores_in_use| HealthCheckResult {
        host: HostId(1),
        position,
        primary: false,
        cores_in_use,
    };
    let results = vec![
        result(Some(NOW - 100_000 * MS), Some(f64::NAN)),
        result(Some(NOW + MS), Some(f64::INFINITY)),
    ];
    let message = Message {
        checked_at: NOW,
        results,
    };
    let decoded = decode(&encode(&message), NOW).expect("an encoded message decodes");
    assert_eq!(
        decoded.results,
        [result(None, None), result(Some(NOW), None)]
    );
}
