//! Timestamps and time deltas: arithmetic, overflow and JSON.

use irisrouter::routing::{TimeDelta, Timestamp};
use serde_json::json;

fn at(nanoseconds: i64) -> Timestamp {
    Timestamp::from_nanos(nanoseconds)
}

fn length(nanoseconds: i64) -> TimeDelta {
    TimeDelta::from_nanos(nanoseconds)
}

#[test]
fn difference_of_timestamps_leads_from_one_to_the_other() {
    assert_eq!(at(1_000) - at(300), length(700));
    assert_eq!(at(300) - at(1_000), length(-700));
    assert_eq!(at(300) + length(700), at(1_000));
    assert_eq!(at(1_000) - length(700), at(300));
    let mut now = at(300);
    now += length(700);
    assert_eq!(now, at(1_000));
}

#[test]
fn lengths_are_added_multiplied_and_divided_in_whole_nanoseconds() {
    assert_eq!(length(7) + length(5), length(12));
    assert_eq!(length(5) - length(7), length(-2));
    assert_eq!(length(7) * 3, length(21));
    assert_eq!(3 * length(7), length(21));
    assert_eq!(length(7) / 2, length(3));
    assert_eq!(length(-7) / 2, length(-3), "rounded towards zero");
    assert_eq!(length(7) / length(2), 3, "whole times");
    assert_eq!(TimeDelta::from_millis(2), length(2_000_000));
    assert_eq!(TimeDelta::from_secs(2), length(2_000_000_000));
}

#[test]
fn maximum_is_later_than_any_other_timestamp_and_saturating_arithmetic_stays_there() {
    assert!(Timestamp::MIN < Timestamp::ZERO && Timestamp::ZERO < Timestamp::MAX);
    assert_eq!(Timestamp::MAX.saturating_add(length(1)), Timestamp::MAX);
    assert_eq!(Timestamp::MIN.saturating_add(length(-1)), Timestamp::MIN);
    assert_eq!(at(5).saturating_add(length(2)), at(7));
    assert_eq!(at(5).saturating_since(Timestamp::MIN), TimeDelta::MAX);
    assert_eq!(at(5).saturating_since(at(7)), length(-2));
}

#[test]
fn fractions_are_truncated_and_numbers_out_of_range_saturate() {
    assert_eq!(TimeDelta::from_nanos_f64(1.9), length(1));
    assert_eq!(TimeDelta::from_nanos_f64(-1.9), length(-1));
    assert_eq!(TimeDelta::from_nanos_f64(1e300), TimeDelta::MAX);
    assert_eq!(TimeDelta::from_nanos_f64(f64::INFINITY), TimeDelta::MAX);
    assert_eq!(TimeDelta::from_nanos_f64(f64::NAN), TimeDelta::ZERO);
    assert!((length(1_500).as_nanos_f64() - 1_500.0).abs() < f64::EPSILON);
}

#[test]
fn json_is_the_plain_number_of_nanoseconds() {
    assert_eq!(json!([at(-5), length(7)]), json!([-5, 7]));
    assert_eq!(
        serde_json::from_value::<Timestamp>(json!(-5)).ok(),
        Some(at(-5))
    );
    assert_eq!(
        serde_json::from_value::<TimeDelta>(json!(7)).ok(),
        Some(length(7))
    );
    for malformed in [json!(1.5), json!("7"), json!([7]), json!(null)] {
        let instant = serde_json::from_value::<Timestamp>(malformed.clone());
        let number = serde_json::from_value::<i64>(malformed.clone());
        assert_eq!(
            instant.err().map(|error| error.to_string()),
            number.err().map(|error| error.to_string()),
            "{malformed} is rejected as it is for a plain number"
        );
        assert!(serde_json::from_value::<TimeDelta>(malformed).is_err());
    }
}
