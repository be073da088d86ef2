//! The arrival times of a client's bytes.

use super::*;
use proptest::prelude::*;
use std::time::Duration;

proptest! {
    /// Guards against a request whose deadline counts from the arrival of a byte other than its last. Such an error can
    /// occur when the reads split a burst of messages at any place and the messages are then consumed one by one.
    #[test]
    fn message_arrives_with_the_read_that_holds_its_last_byte(
        messages in prop::collection::vec(1_usize..60, 1..40),
        cuts in prop::collection::vec(1_usize..80, 1..80),
    ) {
        let start = Instant::now();
        let at = |read: usize| start + Duration::from_millis(read as u64);
        let total: usize = messages.iter().sum();
        let mut times = ReadTimes::default();
        let mut ends = Vec::new();
        let mut received = 0;
        for read in 0.. {
            let length = cuts[read % cuts.len()].min(total - received);
            received += length;
            times.record(length, at(read));
            ends.push(received);
            if received == total {
                break;
            }
        }
        let mut end = 0;
        for length in messages {
            end += length;
            let read = ends.iter().position(|&read_end| read_end >= end).unwrap();
            let arrived = times.arrival_of(length).unwrap();
            if ends.len() <= MAX_READS {
                prop_assert_eq!(arrived, at(read));
            } else {
                prop_assert!(arrived <= at(read));
            }
            times.consume(length);
        }
        prop_assert_eq!(times.arrival_of(1), None);
    }
}

#[test]
fn read_count_is_bounded_and_arrival_times_are_never_later_than_recorded() {
    let start = Instant::now();
    let mut times = ReadTimes::default();
    for read in 0..10 * MAX_READS {
        times.record(1, start + Duration::from_millis(read as u64));
    }
    assert!(times.reads.len() <= MAX_READS);
    for read in 0..10 * MAX_READS {
        let arrived = times.arrival_of(1).unwrap();
        assert!(arrived <= start + Duration::from_millis(read as u64));
        times.consume(1);
    }
    assert_eq!(times.arrival_of(1), None);
}

#[test]
fn forgetting_the_last_bytes_keeps_the_times_of_earlier_ones() {
    let start = Instant::now();
    let at = |read: u64| start + Duration::from_millis(read);
    let mut times = ReadTimes::default();
    for read in 0..4 {
        times.record(10, at(read));
    }
    times.forget_last(15);
    assert_eq!(times.arrival_of(25), Some(at(2)));
    assert_eq!(times.arrival_of(26), None);
    times.consume(20);
    times.record(10, at(9));
    assert_eq!(times.arrival_of(5), Some(at(2)));
    assert_eq!(times.arrival_of(6), Some(at(9)));
    times.forget_last(15);
    assert_eq!(times.arrival_of(1), None);
}
