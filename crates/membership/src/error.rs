//! The errors of the core.

use crate::codec::WireError;
use crate::settings::SettingsError;
use thiserror::Error;

/// Why a [`crate::Membership`] can't be created.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum MembershipError {
    /// The settings do not pass their check.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The number of this gateway is not in the fleet's list.
    #[error("number {number} lies outside a fleet of {fleet_size}")]
    OutsideFleet {
        /// The number of this gateway.
        number: u32,
        /// The number of gateways in the list.
        fleet_size: u32,
    },
}

/// Why a datagram was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ReceiveError {
    /// It can't be decoded.
    #[error("undecodable membership datagram: {0}")]
    Undecodable(#[from] WireError),
    /// Its source is not in the fleet's list, or has the number of this member.
    #[error("source {0} is not another gateway of the fleet")]
    UnknownSource(u32),
    /// It is addressed to the member with this number.
    #[error("addressed to gateway {0}")]
    WrongDestination(u32),
}
