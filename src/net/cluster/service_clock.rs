//! The monotonic clock of a cluster service: gives the service's package the current time, and converts the package's
//! due times to sleep durations.

use irisrouter_cluster_types::{Milliseconds, Timestamp};
use std::time::Duration;
use tokio::time::Instant;

/// Longest sleep before a service is advanced again, even if its package has no work due by then.
pub const MAX_SLEEP: Milliseconds = Milliseconds(60_000);

/// The monotonic clock of one cluster service, counting from the start of the service.
#[derive(Debug, Clone, Copy)]
pub struct ServiceClock {
    origin: Instant,
}

impl ServiceClock {
    /// Creates a clock whose origin is now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the origin in whole milliseconds, in the type that the packages take as the current time.
    pub fn now(&self) -> Timestamp {
        let elapsed_ms = self.origin.elapsed().as_millis();
        Timestamp::from_millis(u64::try_from(elapsed_ms).unwrap_or(u64::MAX))
    }

    /// Converts a due time to an instant, which is no earlier than [`Self::now`] and at most [`MAX_SLEEP`] after it.
    pub fn instant_of(&self, due: Timestamp) -> Instant {
        let now = self.now();
        self.origin + Duration::from_millis(now.as_millis()) + Self::time_until(now, due)
    }

    /// Returns the time from `now` until `due`: zero if `due` has passed, and at most [`MAX_SLEEP`].
    pub fn time_until(now: Timestamp, due: Timestamp) -> Duration {
        due.saturating_duration_since(now).min(MAX_SLEEP).into()
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/service_clock.rs"]
mod tests;
