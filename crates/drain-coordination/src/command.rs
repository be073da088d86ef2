//! Drain commands, the precedence among commands for one host, and the effect of commands on a group of hosts.

use irisrouter_cluster_types::{GatewayId, HostId, UnixMilliseconds};
use std::collections::BTreeSet;

/// State that a command requests for a host.
///
/// The order of the variants matters: of two commands with the same time and gateway, the one for `Drained` wins.
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
    /// Host that the command is for.
    pub host: HostId,
    /// State that the command requests for the host.
    pub desired_state: DesiredState,
    /// Time of issue by the clock of the issuing gateway, but at least 1 ms after every command for this host that the
    /// gateway knew.
    pub issued_at: UnixMilliseconds,
    /// Gateway at which the command was issued.
    pub issued_by: GatewayId,
}

/// Precedence of a command among all commands for its host: the command with the greatest precedence wins.
///
/// The later command has the greater precedence; of two commands issued in the same millisecond, the one whose gateway
/// has the higher id. The order of the fields implements this.
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
    /// Returns the precedence of this command among all commands for its host.
    #[must_use]
    pub const fn precedence(&self) -> Precedence {
        Precedence {
            issued_at: self.issued_at,
            issued_by: self.issued_by,
            desired_state: self.desired_state,
        }
    }

    /// Returns whether the command takes its host out of service.
    #[must_use]
    pub const fn drains(&self) -> bool {
        matches!(self.desired_state, DesiredState::Drained)
    }
}

/// Returns the hosts of one group that commands take out of service.
///
/// `hosts_in_service` are the group's hosts that are in service according to the endpoint list, and `command_for`
/// returns the current command for a host. Commands never drain all hosts of a group: if two operators drain the two
/// hosts of a group at the same time, the host of the command with the greatest precedence stays in service. All
/// gateways choose the same host, because precedence is the same everywhere.
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
