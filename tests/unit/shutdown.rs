//! The schedule of a shutdown.

use super::*;

/// Guards against requests that are accepted when no time is left to answer them, and against times that suit only the
/// deadlines of one customer.
#[test]
fn schedule_leaves_the_last_request_time_for_its_answer_whatever_the_deadlines_are() {
    for ms in [
        1, 20, 150, 300, 500, 800, 1_000, 2_000, 2_999, 3_000, 12_000, 86_400_000,
    ] {
        let longest = Duration::from_millis(ms);
        let kill_at = longest.min(LONGEST_COUNTED_DEADLINE) + KILL_DELAY;
        let ShutdownSchedule {
            accept_all_until,
            accept_requests_until,
            answer_by,
            read_until,
        } = ShutdownSchedule::new(longest);
        assert!(
            accept_all_until >= Duration::from_millis(450)
                && accept_requests_until >= accept_all_until,
            "{ms} ms"
        );
        let left = answer_by - accept_requests_until;
        assert!(
            left >= longest.min(Duration::from_millis(400)),
            "{ms} ms: {left:?} for the last request"
        );
        assert!(
            answer_by < read_until && kill_at - read_until >= Duration::from_millis(40),
            "{ms} ms: read until {read_until:?} of {kill_at:?}"
        );
        let process_pause = Duration::from_millis(150);
        assert!(
            ms < 500 || kill_at - read_until > process_pause,
            "{ms} ms: {read_until:?}"
        );
        assert!(
            kill_at - answer_by >= Duration::from_millis(60),
            "{ms} ms: {answer_by:?} of {kill_at:?}"
        );
    }
}

/// Guards against a process that ends before the answers that it owes are due, and before the platform kills it: the
/// time for which it waits must not be a share of the time until the kill.
#[test]
fn process_with_open_requests_outlasts_the_earliest_kill_whatever_the_deadlines_are() {
    let started = Instant::now();
    for ms in [150, 300, 800, 1_000, 2_000, 3_000, 12_000, 30_000] {
        let longest = Duration::from_millis(ms);
        let schedule = ShutdownSchedule::new(longest);
        let kill_at = longest.min(LONGEST_COUNTED_DEADLINE) + KILL_DELAY;
        for accepted_until in [Duration::ZERO, schedule.accept_requests_until] {
            let exit = exit_deadline(started, started + accepted_until, longest) - started;
            assert!(exit > kill_at, "{ms} ms: {exit:?}");
            assert!(exit >= accepted_until + longest, "{ms} ms: {exit:?}");
        }
    }
}
