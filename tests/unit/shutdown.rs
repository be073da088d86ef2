//! The times of a process that ends.

use super::*;

/// Guards against requests that are taken with no time left, and against times that belong to one customer's deadlines.
#[test]
fn what_is_taken_to_the_last_has_time_for_its_answer_whatever_the_deadlines_are() {
    for ms in [
        1, 20, 150, 300, 500, 800, 1_000, 2_000, 2_999, 3_000, 12_000, 86_400_000,
    ] {
        let longest = Duration::from_millis(ms);
        let killed = longest.min(LONGEST_COUNTED) + TO_KILL;
        let ShutdownSchedule {
            coming,
            taken_until,
            answer_by,
        } = ShutdownSchedule::new(longest);
        assert!(
            coming >= Duration::from_millis(450) && taken_until >= coming,
            "{ms} ms"
        );
        let left = answer_by - taken_until;
        assert!(
            left >= longest.min(Duration::from_millis(400)),
            "{ms} ms: {left:?} for the last"
        );
        assert!(
            killed - answer_by >= Duration::from_millis(60),
            "{ms} ms: {answer_by:?} of {killed:?}"
        );
    }
}
