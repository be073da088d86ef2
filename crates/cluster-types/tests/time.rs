//! Tests of the arithmetic on instants and durations.

use irisrouter_cluster_types::{Milliseconds, Timestamp, UnixMilliseconds};
use std::time::Duration;

#[test]
fn the_time_since_a_later_instant_is_zero() {
    let (early, late) = (Timestamp::from_millis(200), Timestamp::from_millis(1_000));
    assert_eq!(late.saturating_duration_since(early), Milliseconds(800));
    assert_eq!(early.saturating_duration_since(late), Milliseconds::ZERO);
    let (early, late) = (UnixMilliseconds(200), UnixMilliseconds(1_000));
    assert_eq!(late.saturating_duration_since(early), Milliseconds(800));
    assert_eq!(early.saturating_duration_since(late), Milliseconds::ZERO);
}

#[test]
fn instants_saturate_at_both_ends_of_the_clock() {
    let length = Milliseconds(300);
    let instant = Timestamp::from_millis(200);
    assert_eq!(instant.saturating_sub(length), Timestamp::ZERO);
    assert_eq!(Timestamp::MAX.saturating_add(length), Timestamp::MAX);
    assert_eq!(instant + length, Timestamp::from_millis(500));
}

#[test]
fn durations_are_divided_in_whole_milliseconds() {
    assert_eq!(Milliseconds(101) / 5, Milliseconds(20));
    assert_eq!(Milliseconds(20) * 6, Milliseconds(120));
    assert_eq!(Duration::from(Milliseconds(20)), Duration::from_millis(20));
}

#[test]
fn durations_saturate_at_the_longest() {
    let longest = Milliseconds(u64::MAX);
    assert_eq!(Milliseconds(7).saturating_mul(3), Milliseconds(21));
    assert_eq!(longest.saturating_mul(2), longest);
    assert_eq!(
        Milliseconds(7).saturating_add(Milliseconds(3)),
        Milliseconds(10)
    );
    assert_eq!(longest.saturating_add(Milliseconds(1)), longest);
}

#[test]
fn wall_clock_at_the_origin_is_the_wall_clock_less_the_time_since_the_origin() {
    let now = Timestamp::from_millis(300);
    assert_eq!(now.since_origin(), Milliseconds(300));
    let unix_now = UnixMilliseconds(1_000);
    let origin = unix_now.saturating_sub(now.since_origin());
    assert_eq!(origin, UnixMilliseconds(700));
    assert_eq!(origin + now.since_origin(), unix_now);
    let before_unix_epoch = UnixMilliseconds(200).saturating_sub(now.since_origin());
    assert_eq!(before_unix_epoch, UnixMilliseconds(0));
}
