//! The storm detector: thresholds, causes and their changes.

use super::{
    infer_cause, Arrival, GroupStatus, RequestKind, StormCause, StormChange, StormDetector,
};
use crate::decaying_count::DecayingCount;
use crate::{Nanos, MILLISECOND, SECOND};

fn long_running() -> GroupStatus {
    GroupStatus {
        uptime: 60 * SECOND,
        ..GroupStatus::default()
    }
}

/// Records 200 requests per second for a duration, every `retry_interval`-th of which is a retry (0 for no retries),
/// and evaluates the detector every 50 ms. Returns the changes with their times.
fn send_requests(
    detector: &mut StormDetector,
    from: Nanos,
    duration: Nanos,
    retry_interval: u64,
    status: &GroupStatus,
) -> Vec<(Nanos, StormChange)> {
    let mut changes = Vec::new();
    let mut n = 0;
    for t in (from..from + duration).step_by(5 * MILLISECOND as usize) {
        n += 1;
        let is_retry = retry_interval > 0 && n % retry_interval == 0;
        let kind = if is_retry {
            RequestKind::Retry
        } else {
            RequestKind::First
        };
        detector.record_request(t, kind, Arrival::OnTime);
        if n % 10 == 0 {
            changes.extend(detector.evaluate(t, status).map(|c| (t, c)));
        }
    }
    changes
}

#[test]
fn storm_starts_with_its_cause_and_ends_once() {
    let mut detector = StormDetector::default();
    assert!(
        send_requests(&mut detector, 0, 5 * SECOND, 20, &long_running()).is_empty(),
        "one retry in twenty requests is no storm"
    );
    let silent = GroupStatus {
        primary_unavailable: true,
        ..long_running()
    };
    let started = send_requests(&mut detector, 5 * SECOND, 3 * SECOND, 2, &silent);
    assert_eq!(started.len(), 1);
    assert!(
        matches!(started[0], (t, StormChange::Started { cause: StormCause::PrimaryUnavailable, .. }) if t < 6 * SECOND),
        "{started:?}"
    );
    assert!(detector.strength(8 * SECOND) > 0.6);
    let ended = send_requests(
        &mut detector,
        8 * SECOND,
        10 * SECOND,
        0,
        &GroupStatus {
            members_in_slow_start: 1,
            ..long_running()
        },
    );
    assert_eq!(ended.len(), 1);
    assert!(
        matches!(ended[0].1, StormChange::Ended { peak_strength, .. } if peak_strength > 0.6),
        "{ended:?}"
    );
    assert_eq!(detector.strength(18 * SECOND), 0.0);
}

#[test]
fn storm_continues_when_the_retry_rate_is_between_the_thresholds() {
    let mut detector = StormDetector::default();
    assert_eq!(
        send_requests(&mut detector, 0, 2 * SECOND, 3, &long_running()).len(),
        1
    );
    let mut t = 2 * SECOND;
    for retry_interval in [7, 12, 7, 12, 7, 12] {
        assert!(
            send_requests(&mut detector, t, SECOND, retry_interval, &long_running()).is_empty(),
            "{retry_interval}"
        );
        t += SECOND;
    }
    assert!(detector.is_storm());
}

#[test]
fn many_first_attempts_are_no_storm() {
    let mut detector = StormDetector::default();
    for t in (0..5 * SECOND).step_by(MILLISECOND as usize) {
        detector.record_request(t, RequestKind::First, Arrival::OnTime);
        assert_eq!(
            detector.evaluate(
                t,
                &GroupStatus {
                    latency_ratio: 3.0,
                    ..long_running()
                }
            ),
            None
        );
    }
}

#[test]
fn cause_changes_only_on_stronger_evidence() {
    let cause_of = |status: GroupStatus| {
        infer_cause(&GroupStatus {
            uptime: 60 * SECOND,
            ..status
        })
    };
    assert_eq!(
        cause_of(GroupStatus {
            members_in_slow_start: 2,
            latency_ratio: 2.0,
            ..long_running()
        }),
        StormCause::SlowStart
    );
    assert_eq!(
        cause_of(GroupStatus {
            latency_ratio: 2.0,
            ..long_running()
        }),
        StormCause::Slowdown
    );
    assert_eq!(infer_cause(&GroupStatus::default()), StormCause::Restart);
    assert_eq!(cause_of(long_running()), StormCause::Unknown);
    let mut detector = StormDetector::default();
    send_requests(
        &mut detector,
        0,
        2 * SECOND,
        2,
        &GroupStatus {
            latency_ratio: 2.0,
            ..long_running()
        },
    );
    let changed = send_requests(
        &mut detector,
        2 * SECOND,
        SECOND,
        2,
        &GroupStatus {
            primary_unavailable: true,
            ..long_running()
        },
    );
    assert!(
        matches!(
            changed[..],
            [(
                _,
                StormChange::CauseChanged {
                    cause: StormCause::PrimaryUnavailable
                }
            )]
        ),
        "{changed:?}"
    );
    let back = send_requests(
        &mut detector,
        3 * SECOND,
        SECOND,
        2,
        &GroupStatus {
            members_in_slow_start: 1,
            ..long_running()
        },
    );
    assert!(back.is_empty(), "weaker evidence does not change the cause");
}

#[test]
fn few_requests_are_not_judged_and_a_clock_that_goes_back_changes_nothing() {
    let mut detector = StormDetector::default();
    (0..5).for_each(|_| detector.record_request(SECOND, RequestKind::Retry, Arrival::Early));
    assert_eq!(
        (
            detector.retry_fraction(SECOND),
            detector.evaluate(SECOND, &long_running())
        ),
        (None, None)
    );
    assert!((detector.early_fraction(SECOND) - 1.0).abs() < 1e-9);
    let mut count = DecayingCount::default();
    count.add(10 * SECOND, 4.0);
    count.add(5 * SECOND, 4.0);
    assert_eq!(count.value_at(10 * SECOND), 8.0);
    assert!((count.value_at(11 * SECOND) - 4.0).abs() < 1e-9);
}
