//! Settings of leases, and the intervals derived from them.

use irisrouter_cluster_types::Milliseconds;
use thiserror::Error;

/// The shortest lease duration that is accepted.
const MIN_LEASE_DURATION: Milliseconds = Milliseconds(100);
/// The longest lease duration that is accepted.
const MAX_LEASE_DURATION: Milliseconds = Milliseconds(60_000);

/// Settings of leases, the same at all gateways of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Number of gateways in the fleet's list.
    pub fleet: u32,
    /// Duration of a lease: the time from a voter's grant until the grant expires.
    pub lease_duration: Milliseconds,
}

/// A setting that is out of its range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{field}: {reason}")]
pub struct SettingsError {
    /// The name of the setting in the operators' file.
    pub field: &'static str,
    /// The limit that the setting violates, and the reason for the limit.
    pub reason: &'static str,
}

/// The duration of a grant as its voter counts it, and the margin by which its holder shortens it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Time from a voter's grant until the grant expires.
    pub duration: Milliseconds,
    /// Time that the holder subtracts from the duration, because clocks run at different rates.
    pub margin: Milliseconds,
}

impl Settings {
    /// Returns the terms of each lease. The margin of a tenth of the duration allows for clock rates that differ by up
    /// to a tenth.
    #[must_use]
    pub fn terms(&self) -> LeaseTerms {
        LeaseTerms {
            duration: self.lease_duration,
            margin: self.lease_duration / 10,
        }
    }

    /// Returns the interval between two rounds of requests to the voters, both for claims and for renewals. With 30 %
    /// of the datagrams lost, each voter grants every second round on average, because both the request and the grant
    /// have to arrive.
    #[must_use]
    pub fn request_interval(&self) -> Milliseconds {
        self.lease_duration / 5
    }

    /// Returns the delay between the claims of two candidates of consecutive ranks.
    #[must_use]
    pub fn candidate_delay(&self) -> Milliseconds {
        self.lease_duration / 5
    }

    /// Returns how long before the end of its lease a holder starts to renew it. A lease ends nine tenths of the lease
    /// duration after the latest round of requests that a majority granted, so the renewal starts three tenths of the
    /// lease duration after that round.
    #[must_use]
    pub fn renewal_lead(&self) -> Milliseconds {
        self.lease_duration * 6 / 10
    }

    /// Returns how long another gateway must have been the first candidate before the holder hands the lease over. The
    /// delay prevents brief changes in the view of the fleet from moving leases.
    #[must_use]
    pub fn handover_delay(&self) -> Milliseconds {
        self.lease_duration * 2
    }

    /// Returns the maximum time from the death of a holder until its task has another holder, provided that a majority
    /// of the voters and two of the first three candidates are running and reach each other. It is the sum of the
    /// remaining time of the lease, the delay of the third candidate, and the time for two claims.
    #[must_use]
    pub fn takeover_bound(&self) -> Milliseconds {
        self.lease_duration * 2 + self.candidate_delay() * 2
    }

    /// Checks that each setting is in its range.
    ///
    /// # Errors
    /// A setting is out of its range.
    pub fn check(&self) -> Result<(), SettingsError> {
        let field = "lease_ms";
        if self.lease_duration < MIN_LEASE_DURATION {
            let reason = "at least 100: renewals of shorter leases would overload the peer socket";
            return Err(SettingsError { field, reason });
        }
        if self.lease_duration > MAX_LEASE_DURATION {
            let reason =
                "at most 60000: the task of a dead holder waits that long for another holder";
            return Err(SettingsError { field, reason });
        }
        Ok(())
    }
}
