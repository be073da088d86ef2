//! Timers and the size of the fleet.

use irisrouter_cluster_types::Milliseconds;

/// How long a gateway announces a command before its operator gets the answer that no quorum follows it.
const REPLICATION_TIMEOUT: Milliseconds = Milliseconds(2_000);
/// Rounds of announcements in the duration of a lease.
const ROUNDS_PER_LEASE: u64 = 5;

/// Settings of drain coordination.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Gateways in the fleet's list, whether they run or not.
    pub fleet_size: u32,
    /// Time between two rounds in which gateways that have not reported "no requests in flight" are asked again.
    pub round_interval: Milliseconds,
    /// Time between two announcements to all gateways, idle ones included: a gateway that starts again learns of a drain
    /// within this time.
    pub refresh_interval: Milliseconds,
    /// Time for which a new command is announced before its operator gets the answer that no quorum follows it.
    pub replication_timeout: Milliseconds,
}

impl Settings {
    /// The settings of a fleet of this size whose leases run for `lease_duration`.
    #[must_use]
    pub const fn for_lease(fleet_size: u32, lease_duration: Milliseconds) -> Self {
        Self {
            fleet_size,
            round_interval: Milliseconds(lease_duration.0 / ROUNDS_PER_LEASE),
            refresh_interval: lease_duration,
            replication_timeout: REPLICATION_TIMEOUT,
        }
    }

    /// Gateways that make a majority of the fleet's list.
    pub(crate) const fn quorum(&self) -> usize {
        self.fleet_size as usize / 2 + 1
    }
}
