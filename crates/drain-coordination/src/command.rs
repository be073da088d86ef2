//! Drain commands, the order among those for one host, and their effect on a set of hosts.

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
    /// The number by which all gateways call the host.
    pub host: u32,
    /// Whether the host is to serve requests.
    pub desired_state: DesiredState,
    /// When the command was issued, in Unix milliseconds: later than every command for this host that its gateway knew.
    pub issued_at_ms: u64,
    /// The number of the gateway at which it was issued.
    pub issued_by: u32,
}

/// What orders the commands for one host: the greater one wins.
///
/// The later command wins; of two commands of the same millisecond, the one of the gateway with the higher number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    /// See [`DrainCommand::issued_at_ms`].
    pub issued_at_ms: u64,
    /// See [`DrainCommand::issued_by`].
    pub issued_by: u32,
    /// See [`DrainCommand::desired_state`].
    pub desired_state: DesiredState,
}

impl DrainCommand {
    /// The place of this command among all commands for its host.
    #[must_use]
    pub const fn precedence(&self) -> Precedence {
        Precedence {
            issued_at_ms: self.issued_at_ms,
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
    hosts_in_service: &[u32],
    command_for: impl Fn(u32) -> Option<DrainCommand>,
) -> BTreeSet<u32> {
    let commands: Vec<DrainCommand> = hosts_in_service
        .iter()
        .filter_map(|&host| command_for(host))
        .filter(DrainCommand::drains)
        .collect();
    let mut drained: BTreeSet<u32> = commands.iter().map(|command| command.host).collect();
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
