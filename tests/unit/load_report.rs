//! Parsing of the load reports of database hosts.

use super::*;

fn unix_milliseconds(milliseconds: i64) -> Timestamp {
    Timestamp::from_nanos(milliseconds * NANOSECONDS_PER_MILLISECOND)
}

#[test]
fn load_report_position_in_seconds_keeps_its_milliseconds() {
    for ms in [
        1_767_225_600_123i64,
        1_767_225_600_001,
        1_767_225_600_999,
        1_900_000_000_007,
    ] {
        let text = format!("x0={}.{:03},x1=1,load_share=0.61", ms / 1_000, ms % 1_000);
        let report = parse_load_report(&text, unix_milliseconds(ms));
        assert_eq!(
            report,
            LoadReport {
                position: Some(unix_milliseconds(ms)),
                primary: Some(true),
                cores_in_use: Some(0.61),
                ..LoadReport::default()
            }
        );
    }
    assert_eq!(
        parse_load_report("nonsense,x0=,=1,inflight=7", Timestamp::ZERO).in_flight,
        Some(7.0)
    );
}

/// Guards against numbers that overflow, and against a position in the future, which no later report could correct.
#[test]
fn load_report_values_that_cannot_be_true_are_left_out() {
    let now = unix_milliseconds(1_767_225_600_000);
    for x0 in [
        "1767225601",
        "1e300",
        "9e15",
        "-1e300",
        "-5",
        "NaN",
        "inf",
        "1767225600123999999999",
    ] {
        assert_eq!(
            parse_load_report(&format!("x0={x0},x1=7,inflight=-3"), now),
            LoadReport::default(),
            "{x0}"
        );
    }
    assert_eq!(position(i64::MAX, now), None);
    assert_eq!(
        parse_load_report("x0=1767225600,inflight=1e300", now).position,
        Some(now)
    );
}
