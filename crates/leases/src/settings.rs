//! Settings of leases, and the intervals derived from them.

use irisrouter_cluster_types::Milliseconds;
use thiserror::Error;

/// The shortest lease.
const MIN_LEASE_LENGTH: Milliseconds = Milliseconds(100);
/// The longest lease.
const MAX_LEASE_LENGTH: Milliseconds = Milliseconds(60_000);

/// Settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Number of gateways in the fleet's list.
    pub fleet: u32,
    /// How long a voter's grant runs.
    pub lease_length: Milliseconds,
}

/// A setting that is out of its range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{field}: {reason}")]
pub struct SettingsError {
    /// The setting, by its name in the operators' file.
    pub field: &'static str,
    /// The range, and why it is so.
    pub reason: &'static str,
}

/// How long a grant runs at its voter, and by how much less at its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// How long a voter's grant runs.
    pub length: Milliseconds,
    /// What the holder takes off, for clocks that run at different rates.
    pub margin: Milliseconds,
}

impl Settings {
    /// The terms of each lease. The margin of a tenth covers clocks that run at rates up to a tenth apart.
    #[must_use]
    pub fn terms(&self) -> LeaseTerms {
        LeaseTerms {
            length: self.lease_length,
            margin: self.lease_length / 10,
        }
    }

    /// The time between two rounds of requests to the voters, both while claiming a lease and while renewing it. With 30 %
    /// of the datagrams lost, each voter grants every second round.
    #[must_use]
    pub fn request_interval(&self) -> Milliseconds {
        self.lease_length / 5
    }

    /// The time between the claims of the first candidate, the second and the third.
    #[must_use]
    pub fn candidate_delay(&self) -> Milliseconds {
        self.lease_length / 5
    }

    /// How long before the end of its lease a holder begins to renew it: when three tenths of the lease have passed since
    /// the last round that a majority granted.
    #[must_use]
    pub fn renewal_lead(&self) -> Milliseconds {
        self.lease_length * 6 / 10
    }

    /// How long another gateway has to be the first candidate before the holder hands the lease over to it. A view of the
    /// fleet that changes for a moment moves no lease.
    #[must_use]
    pub fn handover_delay(&self) -> Milliseconds {
        self.lease_length * 2
    }

    /// Within this time of its holder's death a task has another holder, while a majority of its voters and two of its first
    /// three candidates run and reach each other. The sum of what is left of the lease, the third candidate's delay, and
    /// two tries at a claim.
    #[must_use]
    pub fn takeover_bound(&self) -> Milliseconds {
        self.lease_length * 2 + self.candidate_delay() * 2
    }

    /// Checks the settings.
    ///
    /// # Errors
    /// A setting is out of its range.
    pub fn check(&self) -> Result<(), SettingsError> {
        let field = "lease_ms";
        if self.lease_length < MIN_LEASE_LENGTH {
            let reason = "at least 100, or renewals would crowd the socket";
            return Err(SettingsError { field, reason });
        }
        if self.lease_length > MAX_LEASE_LENGTH {
            let reason = "at most 60000, as a duty without its owner waits that long";
            return Err(SettingsError { field, reason });
        }
        Ok(())
    }
}
