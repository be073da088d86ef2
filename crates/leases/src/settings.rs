//! Settings of leases, and the intervals derived from them.

use crate::Millis;
use thiserror::Error;

/// The shortest lease, in milliseconds.
const MIN_LEASE_MS: u64 = 100;
/// The longest lease, in milliseconds.
const MAX_LEASE_MS: u64 = 60_000;

/// Settings; times in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Number of gateways in the fleet's list.
    pub fleet: u32,
    /// How long a voter's grant runs.
    pub lease_ms: u64,
}

/// A setting that is out of its range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{field}: {reason}")]
pub struct SettingsError {
    /// The field of [`Settings`].
    pub field: &'static str,
    /// The range, and why it is so.
    pub reason: &'static str,
}

/// How long a grant runs at its voter, and by how much less at its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// How long a voter's grant runs.
    pub length: Millis,
    /// What the holder takes off, for clocks that run at different rates.
    pub margin: Millis,
}

impl Settings {
    /// The terms of each lease. The margin of a tenth covers clocks that run at rates up to a tenth apart.
    #[must_use]
    pub const fn terms(&self) -> LeaseTerms {
        LeaseTerms {
            length: self.lease_ms,
            margin: self.lease_ms / 10,
        }
    }

    /// The time between two rounds of requests to the voters, both while claiming a lease and while renewing it. With 30 %
    /// of the datagrams lost, each voter grants every second round.
    #[must_use]
    pub const fn request_interval_ms(&self) -> u64 {
        self.lease_ms / 5
    }

    /// The time between the claims of the first candidate, the second and the third.
    #[must_use]
    pub const fn candidate_delay_ms(&self) -> u64 {
        self.lease_ms / 5
    }

    /// How long before the end of its lease a holder begins to renew it: when three tenths of the lease have passed since
    /// the last round that a majority granted.
    #[must_use]
    pub const fn renewal_lead_ms(&self) -> u64 {
        self.lease_ms * 6 / 10
    }

    /// How long another gateway has to be the first candidate before the holder hands the lease over to it. A view of the
    /// fleet that changes for a moment moves no lease.
    #[must_use]
    pub const fn handover_delay_ms(&self) -> u64 {
        2 * self.lease_ms
    }

    /// Within this time of its holder's death a task has another holder, while a majority of its voters and two of its first
    /// three candidates run and reach each other. The sum of what is left of the lease, the third candidate's delay, and
    /// two tries at a claim.
    #[must_use]
    pub const fn takeover_bound_ms(&self) -> u64 {
        2 * self.lease_ms + 2 * self.candidate_delay_ms()
    }

    /// Checks the settings.
    ///
    /// # Errors
    /// A setting is out of its range.
    pub fn check(&self) -> Result<(), SettingsError> {
        let field = "lease_ms";
        if self.lease_ms < MIN_LEASE_MS {
            let reason = "at least 100, or renewals would crowd the socket";
            return Err(SettingsError { field, reason });
        }
        if self.lease_ms > MAX_LEASE_MS {
            let reason = "at most 60000, as a duty without its owner waits that long";
            return Err(SettingsError { field, reason });
        }
        Ok(())
    }
}
