//! The pace at which discovery is called.

use super::*;

/// A change counts as told so long after discovery had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);

/// Guards against a herd that calls in step and without end, and against one gateway that is slow to hear.
#[test]
fn a_herd_calls_rarely_and_apart_and_an_agent_is_called_at_once() {
    let herd = Some(48);
    let mut paces: Vec<Pace> = (0..48).map(Pace::new).collect();
    let mut firsts: Vec<Duration> = paces.iter_mut().map(|p| p.first(herd)).collect();
    firsts.sort();
    let crowd = |from: Duration| {
        firsts
            .iter()
            .filter(|&&f| f >= from && f < from + EACH * 8)
            .count()
    };
    assert!(firsts.iter().all(|&f| crowd(f) < 16), "{firsts:?}");
    for p in &mut paces {
        let pauses: Vec<Duration> = (0..12).map(|_| p.failed(herd)).collect();
        assert!(
            pauses[0] >= EACH * 24 && pauses[11] >= SHARED_MOST / 2 && pauses[11] <= SHARED_MOST
        );
        p.answered();
        assert!(p.failed(herd) <= EACH * 48 && p.allowed(herd).hold >= HOLD_SHARED / 2);
    }
    let mut one = Pace::new(1);
    assert_eq!(one.first(None), Duration::ZERO);
    assert!((0..20).all(|_| one.failed(None) <= PAUSE_MOST));
}

/// Guards against holds and pauses that add up to more than the time after which a change counts as told: a watch that
/// breaks in the instant in which it begins, and then one more call that fails, is refused or is never answered.
#[test]
fn a_broken_watch_and_one_more_failed_call_take_less_than_the_time_until_a_change_counts_as_told() {
    for seed in 0..200 {
        let mut p = Pace::new(seed);
        p.answered();
        let watch = p.allowed(None).silence;
        let pause = p.failed(None);
        let again = p.allowed(None);
        assert_eq!(again.hold, Duration::ZERO, "what was missed comes at once");
        let two = watch + pause + again.silence + p.failed(None) + p.allowed(None).silence;
        assert!(two <= TOLD, "a silent watch and a silent call: {two:?}");
    }
}
