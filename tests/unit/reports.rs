//! Load reports of database hosts, as they are read.

use super::*;

#[test]
fn a_report_keeps_the_milliseconds_of_its_position() {
    for ms in [
        1_767_225_600_123i64,
        1_767_225_600_001,
        1_767_225_600_999,
        1_900_000_000_007,
    ] {
        let text = format!("x0={}.{:03},x1=1,load_share=0.61", ms / 1_000, ms % 1_000);
        let r = report(&text, ms * NS_PER_MS);
        assert_eq!(
            r,
            LoadReport {
                position: Some(ms * NS_PER_MS),
                primary: Some(true),
                cores_in_use: Some(0.61),
                ..LoadReport::default()
            }
        );
    }
    assert_eq!(report("nonsense,x0=,=1,inflight=7", 0).in_flight, Some(7.0));
}

/// Guards against numbers that overflow, and against a position that no later one can take back.
#[test]
fn a_report_that_cannot_be_true_tells_nothing() {
    let now = 1_767_225_600_000 * NS_PER_MS;
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
            report(&format!("x0={x0},x1=7,inflight=-3"), now),
            LoadReport::default(),
            "{x0}"
        );
    }
    assert_eq!(position(i64::MAX, now), None);
    assert_eq!(
        report("x0=1767225600,inflight=1e300", now).position,
        Some(now)
    );
}
