//! Drain commands, the order among those for one host, and their effect on a set of hosts.

use irisrouter_cluster_types::{GatewayId, HostId, UnixMilliseconds};
use std::collections::BTreeSet;

/// Whether a host is to serve requests.
///
/// The order of the variants decides between two commands of the same time and gateway: `Drained` wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DesiredState {
    /// The host is to be back in service.
    InService,
    /// The host is to be out of service.
    Drained,
}

/// An operator's command for one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainCommand {
    /// The host.
    pub host: HostId,
    /// Whether the host is to serve requests.
    pub desired_state: DesiredState,
    /// When the command was issued: later than every command for this host that its gateway knew.
    pub issued_at: UnixMilliseconds,
    /// The gateway at which it was issued.
    pub issued_by: GatewayId,
}

/// What orders the commands for one host: the greater one wins.
///
/// The later command wins; of two commands of the same millisecond, the one of the gateway with the higher number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    /// See [`DrainCommand::issued_at`].
    pub issued_at: UnixMilliseconds,
    /// See [`DrainCommand::issued_by`].
    pub issued_by: GatewayId,
    /// See [`DrainCommand::desired_state`].
    pub desired_state: DesiredState,
}

impl DrainCommand {
    /// The place of this command among all commands for its host.
    #[must_use]
    pub const fn precedence(&self) -> Precedence {
        Precedence {
            issued_at: self.issued_at,
            issued_by: self.issued_by,
            desired_state: self.desired_state,
        }
    }

    /// Whether the host is to be out of service.
    #[must_use]
    pub const fn drains(&self) -> bool {
        matches!(self.desired_state, DesiredState::Drained)
    }
}

/// The hosts of one set that commands take out of service.
///
/// `hosts_in_service` are the hosts of the set that the endpoint list has in service, and `command_for` returns the command
/// that holds for a host. Commands never empty a set: two operators may each drain one of a set's two hosts at the same
/// moment, and then the host of the latest command stays in service, at every gateway the same one.
#[must_use]
pub fn hosts_to_drain(
    hosts_in_service: &[HostId],
    command_for: impl Fn(HostId) -> Option<DrainCommand>,
) -> BTreeSet<HostId> {
    let commands: Vec<DrainCommand> = hosts_in_service
        .iter()
        .filter_map(|&host| command_for(host))
        .filter(DrainCommand::drains)
        .collect();
    let mut drained: BTreeSet<HostId> = commands.iter().map(|command| command.host).collect();
    if drained.len() == hosts_in_service.len() {
        let latest = commands
            .iter()
            .max_by_key(|command| (command.precedence(), command.host));
        if let Some(latest) = latest {
            drained.remove(&latest.host);
        }
    }
    drained
}
