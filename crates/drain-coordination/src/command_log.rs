//! The commands that a gateway knows, one for each host, with how far each is.

use crate::codec::NO_COORDINATOR;
use crate::command::DrainCommand;
use crate::coordinator::{Coordination, Replication};
use crate::fleet::Fleet;
use crate::progress::{Completion, Progress};
use irisrouter_cluster_types::{Epoch, HostId, Timestamp};
use std::collections::BTreeMap;
use thiserror::Error;

/// Hosts for which commands are remembered: datagrams that name ever new hosts must not fill the memory.
const MAX_COMMANDS: usize = 256;

/// Why a command is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CommandLogError {
    /// Commands for so many other hosts are not complete yet.
    #[error("{limit} hosts are spoken of already")]
    Full {
        /// Hosts for which commands are remembered at most.
        limit: usize,
    },
}

/// The command that holds for one host, and how far it is.
pub(crate) struct CommandState {
    pub(crate) command: DrainCommand,
    /// The latest epoch of a coordinator that this gateway saw, or under which it coordinates itself.
    pub(crate) latest_epoch: Epoch,
    /// When a coordinator last sent a message or this gateway was it; before that, when the command became known.
    pub(crate) coordinator_seen_at: Timestamp,
    pub(crate) completion: Option<Completion>,
    /// Present while the operator who issued the command here waits for an answer.
    pub(crate) replication: Option<Replication>,
    /// Present while this gateway coordinates the command.
    pub(crate) coordination: Option<Coordination>,
}

impl CommandState {
    /// Whether a coordinator is needed: for every host that is to be out of service, and until the return of a host has
    /// reached all gateways.
    pub(crate) fn needs_coordinator(&self) -> bool {
        self.command.drains() || self.completion.is_none()
    }

    /// Remembers the epoch of a coordinator from which a message came, or under which this gateway coordinates.
    pub(crate) fn record_coordinator(&mut self, now: Timestamp, epoch: Epoch) {
        self.latest_epoch = epoch;
        self.coordinator_seen_at = now;
    }

    /// How far the command is, as this gateway knows.
    pub(crate) fn progress(&self, fleet: &Fleet) -> Progress {
        match (self.completion, &self.coordination) {
            (Some(completion), _) => Progress::Completed(completion),
            (None, Some(coordination)) => Progress::Draining {
                requests_in_flight: coordination.requests_in_flight(),
                unacknowledged: coordination.unacknowledged(fleet),
            },
            (None, None) => Progress::Elsewhere,
        }
    }
}

/// The commands that hold, by host.
#[derive(Default)]
pub(crate) struct CommandLog {
    by_host: BTreeMap<HostId, CommandState>,
}

impl CommandLog {
    /// Whether no command is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }

    /// The hosts in ascending order.
    pub(crate) fn hosts(&self) -> impl Iterator<Item = HostId> + '_ {
        self.by_host.keys().copied()
    }

    /// The commands in ascending order of their hosts.
    pub(crate) fn states(&self) -> impl Iterator<Item = &CommandState> {
        self.by_host.values()
    }

    /// The command that holds for a host.
    pub(crate) fn command(&self, host: HostId) -> Option<DrainCommand> {
        self.by_host.get(&host).map(|state| state.command)
    }

    /// The command that holds for a host and how far it is.
    pub(crate) fn state(&self, host: HostId) -> Option<&CommandState> {
        self.by_host.get(&host)
    }

    /// The command that holds for a host and how far it is, to be changed.
    pub(crate) fn state_mut(&mut self, host: HostId) -> Option<&mut CommandState> {
        self.by_host.get_mut(&host)
    }

    /// The state of exactly this command; none where another command holds for its host.
    pub(crate) fn state_of(&mut self, command: DrainCommand) -> Option<&mut CommandState> {
        self.by_host
            .get_mut(&command.host)
            .filter(|state| state.command == command)
    }

    /// Makes this command the one that holds for its host.
    pub(crate) fn insert(&mut self, now: Timestamp, command: DrainCommand) {
        // The leases of a host's drain, and so their epochs, go on from one command to the next.
        let latest_epoch = self
            .by_host
            .get(&command.host)
            .map_or(NO_COORDINATOR, |state| state.latest_epoch);
        let state = CommandState {
            command,
            latest_epoch,
            coordinator_seen_at: now,
            completion: None,
            replication: None,
            coordination: None,
        };
        self.by_host.insert(command.host, state);
    }

    /// Makes room for a command for this host: the oldest command that returned a host and is complete is forgotten.
    ///
    /// # Errors
    /// No command may be forgotten.
    pub(crate) fn make_room(&mut self, host: HostId) -> Result<(), CommandLogError> {
        if self.by_host.contains_key(&host) || self.by_host.len() < MAX_COMMANDS {
            return Ok(());
        }
        let oldest = self
            .by_host
            .values()
            .filter(|state| !state.needs_coordinator())
            .min_by_key(|state| state.command.issued_at)
            .map(|state| state.command.host)
            .ok_or(CommandLogError::Full {
                limit: MAX_COMMANDS,
            })?;
        self.by_host.remove(&oldest);
        Ok(())
    }
}
