//! Settings of drain coordination: the size of the fleet, and intervals.

use irisrouter_cluster_types::Milliseconds;

/// Default of [`Settings::replication_timeout`].
const REPLICATION_TIMEOUT: Milliseconds = Milliseconds(2_000);
/// Number of announcement rounds per lease duration.
const ROUNDS_PER_LEASE: u64 = 5;

/// Settings of drain coordination.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Number of gateways in the fleet's list, including those that are down.
    pub fleet_size: u32,
    /// Interval at which a command is announced again to the gateways that have not acknowledged it: those that do not
    /// follow a new command yet, and those that have not reported zero requests in flight to the coordinator.
    pub round_interval: Milliseconds,
    /// Interval at which the coordinator announces a command to all gateways, including those that have reported zero
    /// requests in flight. A restarted gateway receives the command within this interval.
    pub refresh_interval: Milliseconds,
    /// Time from the issue of a command until its operator gets the answer that no quorum follows it.
    pub replication_timeout: Milliseconds,
}

impl Settings {
    /// Returns the settings for a fleet of `fleet_size` gateways whose leases last `lease_duration`.
    #[must_use]
    pub const fn for_lease(fleet_size: u32, lease_duration: Milliseconds) -> Self {
        Self {
            fleet_size,
            round_interval: Milliseconds(lease_duration.0 / ROUNDS_PER_LEASE),
            refresh_interval: lease_duration,
            replication_timeout: REPLICATION_TIMEOUT,
        }
    }

    /// Returns the number of gateways that form a majority of the fleet's list.
    pub(crate) const fn quorum(&self) -> usize {
        self.fleet_size as usize / 2 + 1
    }
}
