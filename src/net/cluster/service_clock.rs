//! The clock of a cluster service: the time that its package is given, and the sleep until the package has work.

use irisrouter_cluster_types::{Milliseconds, Timestamp};
use std::time::Duration;
use tokio::time::Instant;

/// The longest time until a service is advanced again, also where its package has no work until later.
pub const MAX_SLEEP: Milliseconds = Milliseconds(60_000);

/// The monotonic clock of one cluster service. Its origin is the start of the service.
#[derive(Debug, Clone, Copy)]
pub struct ServiceClock {
    origin: Instant,
}

impl ServiceClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The time since the start, in whole milliseconds: what a package is given as the time.
    pub fn now(&self) -> Timestamp {
        let elapsed_ms = self.origin.elapsed().as_millis();
        Timestamp::from_millis(u64::try_from(elapsed_ms).unwrap_or(u64::MAX))
    }

    /// The instant at which work is due: now where `due` has passed, and at most [`MAX_SLEEP`] from now.
    pub fn instant_of(&self, due: Timestamp) -> Instant {
        let now = self.now();
        self.origin + Duration::from_millis(now.as_millis()) + Self::time_until(now, due)
    }

    /// The time from `now` until work is due: none where `due` has passed, and at most [`MAX_SLEEP`].
    pub fn time_until(now: Timestamp, due: Timestamp) -> Duration {
        due.saturating_duration_since(now).min(MAX_SLEEP).into()
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/service_clock.rs"]
mod tests;
