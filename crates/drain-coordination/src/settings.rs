//! Timers and the size of the fleet.

use crate::Millis;

/// How long a gateway announces a command before its operator gets the answer that no quorum follows it.
const REPLICATION_TIMEOUT_MS: Millis = 2_000;

/// Settings of drain coordination; times in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Gateways in the fleet's list, whether they run or not.
    pub fleet_size: u32,
    /// Time between two rounds in which gateways that have not reported "no requests in flight" are asked again.
    pub round_interval_ms: Millis,
    /// Time between two announcements to all gateways, idle ones included: a gateway that starts again learns of a drain
    /// within this time.
    pub refresh_interval_ms: Millis,
    /// Time for which a new command is announced before its operator gets the answer that no quorum follows it.
    pub replication_timeout_ms: Millis,
}

impl Settings {
    /// The settings of a fleet of this size whose leases run for `lease_ms` milliseconds.
    #[must_use]
    pub const fn for_lease(fleet_size: u32, lease_ms: Millis) -> Self {
        Self {
            fleet_size,
            round_interval_ms: lease_ms / 5,
            refresh_interval_ms: lease_ms,
            replication_timeout_ms: REPLICATION_TIMEOUT_MS,
        }
    }

    /// Gateways that make a majority of the fleet's list.
    pub(crate) const fn quorum(&self) -> usize {
        self.fleet_size as usize / 2 + 1
    }
}
