//! The times of a process that has been told to end, from the settings as they are then. It owns the figures; who keeps them
//! is `main.rs` (what is taken) and `request.rs` (when the last answer is given).

use std::time::Duration;

/// The process is killed no sooner than so long after the longest deadline, and a deadline counts so much at most.
const TO_KILL: Duration = Duration::from_millis(700);
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// New connections come for 0.4 s after the signal: so long, and a little more, all that comes is taken.
const COMING: Duration = Duration::from_millis(500);
/// Nothing is taken any more so long before the kill, as far as that leaves [`COMING`].
const LAST_TAKEN: Duration = Duration::from_millis(800);
/// And what was taken has its answer so long before it, or at a third of what is left by then.
const LAST_ANSWER: Duration = Duration::from_millis(300);
const LAST_ANSWER_PART: u32 = 3;

/// Times since the signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// All that comes is taken until then at least.
    pub coming: Duration,
    /// And on connections that are open, until then.
    pub taken_until: Duration,
    /// What comes after the signal has its answer by then.
    pub answer_by: Duration,
}

impl ShutdownSchedule {
    /// Where this is the longest deadline of the classes that new requests find.
    pub fn new(longest: Duration) -> Self {
        let killed = longest.min(LONGEST_COUNTED) + TO_KILL;
        let taken_until = killed.saturating_sub(LAST_TAKEN).max(COMING);
        let left = LAST_ANSWER.min((killed - taken_until) / LAST_ANSWER_PART);
        ShutdownSchedule {
            coming: COMING,
            taken_until,
            answer_by: killed - left,
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/shutdown.rs"]
mod tests;
