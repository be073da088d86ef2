//! Timers of the watch.

use irisrouter_cluster_types::Milliseconds;

/// Time between the fetches of two gateways for the same change of the list, so that the service does not receive the
/// calls of all gateways at once.
const FETCH_STAGGER: Milliseconds = Milliseconds(20);
/// Time between two fetches of one gateway while the service does not return the announced revision yet.
const REFETCH_INTERVAL: Milliseconds = Milliseconds(1_000);

/// Settings of the watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Time between two heartbeats.
    pub heartbeat_interval: Milliseconds,
    /// Time since the last heartbeat after which a gateway watches the service itself.
    pub silence_timeout: Milliseconds,
    /// Time between the fetches of two gateways for the same change of the list.
    pub fetch_stagger: Milliseconds,
    /// Time between two fetches of one gateway while the service does not return the announced revision yet.
    pub refetch_interval: Milliseconds,
}

impl Settings {
    /// Returns the settings for a fleet whose leases have the duration `lease`.
    ///
    /// The silence timeout is longer than the maximum time until another gateway takes over the lease. Otherwise all
    /// gateways would start to watch the service when a watcher fails.
    #[must_use]
    pub const fn for_lease(lease: Milliseconds) -> Self {
        Self {
            heartbeat_interval: Milliseconds(lease.0 / 5),
            silence_timeout: Milliseconds(4 * lease.0),
            fetch_stagger: FETCH_STAGGER,
            refetch_interval: REFETCH_INTERVAL,
        }
    }
}
