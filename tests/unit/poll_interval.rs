//! Timing of the calls to discovery.

use super::{
    PollPacer, MAX_RETRY_DELAY, MAX_SHARED_RETRY_DELAY, SHARED_HOLD, SHARED_START_INTERVAL,
};
use std::time::Duration;

/// Maximum time from a change at a reachable discovery service until a gateway knows it.
const CHANGE_DEADLINE: Duration = Duration::from_secs(6);

/// Guards against gateways that overload a shared service by calling it at the same time and in a busy loop, and
/// against a gateway that delays the first call to its own agent.
#[test]
fn polls_of_a_shared_service_are_rare_and_spread_and_those_of_an_agent_start_at_once() {
    let sharing_gateways = Some(48);
    let mut pacers: Vec<PollPacer> = (0..48).map(PollPacer::new).collect();
    let mut first_delays: Vec<Duration> = pacers
        .iter_mut()
        .map(|pacer| pacer.first_delay(sharing_gateways))
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
        let pauses: Vec<Duration> = (0..12)
            .map(|_| pacer.retry_delay(sharing_gateways))
            .collect();
        assert!(
            pauses[0] >= SHARED_START_INTERVAL * 24
                && pauses[11] >= MAX_SHARED_RETRY_DELAY / 2
                && pauses[11] <= MAX_SHARED_RETRY_DELAY
        );
        pacer.record_answer();
        assert!(
            pacer.retry_delay(sharing_gateways) <= SHARED_START_INTERVAL * 48
                && pacer.call_limits(sharing_gateways).hold >= SHARED_HOLD / 2
        );
    }
    let mut agent_pacer = PollPacer::new(1);
    assert_eq!(agent_pacer.first_delay(None), Duration::ZERO);
    assert!((0..20).all(|_| agent_pacer.retry_delay(None) <= MAX_RETRY_DELAY));
}

/// Guards against holds and pauses that add up to more than the deadline for knowing a change. In the worst case a
/// watch breaks at the moment it begins, and one more call then fails, is refused or is never answered.
#[test]
fn change_is_known_within_its_deadline_after_a_broken_watch_and_a_failed_call() {
    for seed in 0..200 {
        let mut pacer = PollPacer::new(seed);
        pacer.record_answer();
        let watch_timeout = pacer.call_limits(None).answer_timeout;
        let first_pause = pacer.retry_delay(None);
        let second_call = pacer.call_limits(None);
        assert_eq!(
            second_call.hold,
            Duration::ZERO,
            "missed changes arrive at once"
        );
        let worst_case = watch_timeout
            + first_pause
            + second_call.answer_timeout
            + pacer.retry_delay(None)
            + pacer.call_limits(None).answer_timeout;
        assert!(
            worst_case <= CHANGE_DEADLINE,
            "a watch and a call without an answer, then an answered call: {worst_case:?}"
        );
    }
}
