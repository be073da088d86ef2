//! Timers of the watch.

use irisrouter_cluster_types::Milliseconds;

/// Time between the fetches of two gateways for one change of the list: the service does not answer all of them at once.
const FETCH_STAGGER: Milliseconds = Milliseconds(20);
/// Time between two fetches of one gateway while the service does not have the announced revision yet.
const REFETCH_INTERVAL: Milliseconds = Milliseconds(1_000);

/// Settings of the watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Time between two heartbeats.
    pub heartbeat_interval: Milliseconds,
    /// Time without a heartbeat after which a gateway watches for itself.
    pub silence_timeout: Milliseconds,
    /// Time between the fetches of two gateways for one change.
    pub fetch_stagger: Milliseconds,
    /// Time between two fetches of one gateway, where the service does not have the announced revision yet.
    pub refetch_interval: Milliseconds,
}

impl Settings {
    /// The settings of a fleet whose leases run for `lease`.
    ///
    /// The silence timeout is longer than the bound of a lease's takeover, so that the death of a watcher does not make the
    /// whole fleet watch.
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
