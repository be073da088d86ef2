//! Error types of the membership core.

use crate::codec::WireError;
use crate::settings::SettingsError;
use irisrouter_cluster_types::GatewayId;
use thiserror::Error;

/// Why a [`crate::Membership`] can't be created.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum MembershipError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// This gateway is not in the fleet's list.
    #[error("gateway number {gateway} is outside a fleet of {fleet_size} gateways, which are numbered from 0")]
    OutsideFleet {
        /// This gateway.
        gateway: GatewayId,
        /// The number of gateways in the list.
        fleet_size: u32,
    },
}

/// Why a datagram was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ReceiveError {
    /// The datagram can't be decoded.
    #[error("undecodable membership datagram: {0}")]
    Undecodable(#[from] WireError),
    /// The source of the datagram is not in the fleet's list, or is this gateway itself.
    #[error("source {0} is not another gateway of the fleet")]
    UnknownSource(GatewayId),
    /// The datagram is addressed to another gateway, which is given here.
    #[error("addressed to gateway {0}")]
    WrongDestination(GatewayId),
}
