//! The clock of a run.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that is 0 at the start of the run.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_unix_ms: u64,
}

impl Clock {
    pub(super) fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            start_unix_ms: unix.as_millis() as u64,
        }
    }

    /// Milliseconds since the start of the run.
    #[must_use]
    pub fn now(&self) -> u64 {
        as_ms(self.start.elapsed())
    }

    /// Unix time in milliseconds; it advances with the monotonic clock.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        self.start_unix_ms + self.now()
    }
}

/// A duration in whole milliseconds.
pub(super) fn as_ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
