//! The times at which discovery is called.

use super::{
    PollPacer, MAX_RETRY_DELAY, MAX_SHARED_RETRY_DELAY, SHARED_HOLD, SHARED_START_INTERVAL,
};
use std::time::Duration;

/// The gateway must know a change within this time after discovery has it and can be reached.
const CHANGE_DEADLINE: Duration = Duration::from_secs(6);

/// Guards against gateways that overload a shared discovery service because they call it at the same time or without
/// pause, and against a gateway that calls its own agent late.
#[test]
fn polls_of_a_shared_service_are_rare_and_spread_and_those_of_an_agent_start_at_once() {
    let shared_by = Some(48);
    let mut pacers: Vec<PollPacer> = (0..48).map(PollPacer::new).collect();
    let mut first_delays: Vec<Duration> = pacers
        .iter_mut()
        .map(|pacer| pacer.first_delay(shared_by))
        .collect();
    first_delays.sort();
    let starts_soon_after = |from: Duration| {
        first_delays
            .iter()
            .filter(|&&delay| delay >= from && delay < from + SHARED_START_INTERVAL * 8)
            .count()
    };
    assert!(
        first_delays
            .iter()
            .all(|&delay| starts_soon_after(delay) < 16),
        "{first_delays:?}"
    );
    for pacer in &mut pacers {
        let pauses: Vec<Duration> = (0..12).map(|_| pacer.retry_delay(shared_by)).collect();
        assert!(
            pauses[0] >= SHARED_START_INTERVAL * 24
                && pauses[11] >= MAX_SHARED_RETRY_DELAY / 2
                && pauses[11] <= MAX_SHARED_RETRY_DELAY
        );
        pacer.answered();
        assert!(
            pacer.retry_delay(shared_by) <= SHARED_START_INTERVAL * 48
                && pacer.call_limits(shared_by).hold >= SHARED_HOLD / 2
        );
    }
    let mut agent_pacer = PollPacer::new(1);
    assert_eq!(agent_pacer.first_delay(None), Duration::ZERO);
    assert!((0..20).all(|_| agent_pacer.retry_delay(None) <= MAX_RETRY_DELAY));
}

/// Guards against time limits and pauses that add up to more than [`CHANGE_DEADLINE`]: in the worst case a watch breaks
/// at the moment when it begins, and the next call fails, is refused or is never answered.
#[test]
fn broken_watch_and_another_failed_call_leave_a_change_known_within_its_deadline() {
    for seed in 0..200 {
        let mut pacer = PollPacer::new(seed);
        pacer.answered();
        let watch = pacer.call_limits(None).silence;
        let pause = pacer.retry_delay(None);
        let next_call = pacer.call_limits(None);
        assert_eq!(
            next_call.hold,
            Duration::ZERO,
            "missed changes arrive at once"
        );
        let total = watch
            + pause
            + next_call.silence
            + pacer.retry_delay(None)
            + pacer.call_limits(None).silence;
        assert!(
            total <= CHANGE_DEADLINE,
            "a silent watch and a silent call: {total:?}"
        );
    }
}
