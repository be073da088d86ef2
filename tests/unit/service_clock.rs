//! Tests of the clock of the cluster services.

use super::{ServiceClock, MAX_SLEEP};
use irisrouter_cluster_types::{Milliseconds, Timestamp};
use std::time::Duration;
use tokio::time::Instant;

const LONGEST_SLEEP: Duration = Duration::from_secs(60);

#[test]
fn clock_starts_at_zero_and_counts_whole_milliseconds() {
    let before = Instant::now();
    let clock = ServiceClock::start();
    std::thread::sleep(Duration::from_millis(3));
    let now = clock.now();
    let elapsed = u64::try_from(before.elapsed().as_millis()).expect("a short time");
    assert!(now >= Timestamp::from_millis(3), "{now:?}");
    assert!(now <= Timestamp::from_millis(elapsed), "{now:?}");
}

#[test]
fn time_until_due_work_is_between_zero_and_the_longest_sleep() {
    let now = Timestamp::from_millis(5_000);
    let time_until = |due_ms| ServiceClock::time_until(now, Timestamp::from_millis(due_ms));
    assert_eq!(time_until(0), Duration::ZERO);
    assert_eq!(time_until(4_999), Duration::ZERO);
    assert_eq!(time_until(5_000), Duration::ZERO);
    assert_eq!(time_until(5_001), Duration::from_millis(1));
    assert_eq!(time_until(64_999), Duration::from_millis(59_999));
    assert_eq!(time_until(65_000), LONGEST_SLEEP);
    assert_eq!(time_until(65_001), LONGEST_SLEEP);
    assert_eq!(time_until(u64::MAX), LONGEST_SLEEP);
    assert_eq!(Duration::from(MAX_SLEEP), LONGEST_SLEEP);
}

#[test]
fn instant_of_work_that_is_due_within_the_bound_is_that_many_milliseconds_after_the_start() {
    let clock = ServiceClock::start();
    let due = clock.now() + Milliseconds(30_000);
    let expected = clock.origin + Duration::from_millis(due.as_millis());
    assert_eq!(clock.instant_of(due), expected);
}

#[test]
fn instant_of_overdue_work_is_the_current_millisecond() {
    let clock = ServiceClock::start();
    std::thread::sleep(Duration::from_millis(3));
    let before = clock.now();
    let due = clock.instant_of(Timestamp::ZERO);
    let after = clock.now();
    assert!(due >= clock.origin + Duration::from_millis(before.as_millis()));
    assert!(due <= clock.origin + Duration::from_millis(after.as_millis()));
}

#[test]
fn instant_of_work_that_is_never_due_is_the_longest_sleep_away() {
    let clock = ServiceClock::start();
    let before = clock.now();
    let due = clock.instant_of(Timestamp::MAX);
    let after = clock.now();
    assert!(due >= clock.origin + Duration::from_millis(before.as_millis()) + LONGEST_SLEEP);
    assert!(due <= clock.origin + Duration::from_millis(after.as_millis()) + LONGEST_SLEEP);
}
