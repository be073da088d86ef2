//! Timers of the watch.

use crate::Millis;

/// Time between the fetches of two gateways for one change of the list: the service does not answer all of them at once.
const FETCH_STAGGER_MS: Millis = 20;
/// Time between two fetches of one gateway while the service does not have the announced revision yet.
const REFETCH_INTERVAL_MS: Millis = 1_000;

/// Settings of the watch; times in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Time between two heartbeats.
    pub heartbeat_interval_ms: Millis,
    /// Time without a heartbeat after which a gateway watches for itself.
    pub silence_timeout_ms: Millis,
    /// Time between the fetches of two gateways for one change.
    pub fetch_stagger_ms: Millis,
    /// Time between two fetches of one gateway, where the service does not have the announced revision yet.
    pub refetch_interval_ms: Millis,
}

impl Settings {
    /// The settings of a fleet whose leases run for `lease_ms` milliseconds.
    ///
    /// The silence timeout is longer than the bound of a lease's takeover, so that the death of a watcher does not make the
    /// whole fleet watch.
    #[must_use]
    pub const fn for_lease(lease_ms: Millis) -> Self {
        Self {
            heartbeat_interval_ms: lease_ms / 5,
            silence_timeout_ms: 4 * lease_ms,
            fetch_stagger_ms: FETCH_STAGGER_MS,
            refetch_interval_ms: REFETCH_INTERVAL_MS,
        }
    }
}
