//! Log of the commands that a gateway knows: the current command for each host, and its progress.

use crate::codec::NO_COORDINATOR;
use crate::command::DrainCommand;
use crate::coordinator::{Coordination, Replication};
use crate::fleet::Fleet;
use crate::progress::{Completion, Progress};
use irisrouter_cluster_types::{Epoch, HostId, Timestamp};
use std::collections::BTreeMap;
use thiserror::Error;

/// Maximum number of hosts with a command. The limit bounds the memory in use when datagrams name ever new hosts.
const MAX_COMMANDS: usize = 256;

/// Error returned if the log cannot store a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CommandLogError {
    /// The log is full of commands for other hosts, none of which may be evicted.
    #[error("{limit} hosts are spoken of already")]
    Full {
        /// Maximum number of hosts with a command.
        limit: usize,
    },
}

/// Current command for one host, and its progress.
pub(crate) struct CommandState {
    pub(crate) command: DrainCommand,
    /// Latest known epoch of the lease on the host's drain, from a coordinator's message or from the lease of this
    /// gateway. [`NO_COORDINATOR`] if none is known.
    pub(crate) latest_epoch: Epoch,
    /// Time at which a coordinator last sent a message, or this gateway last coordinated the command. It starts at the
    /// time at which the command became known, and restarts when the command is announced to the lease candidates.
    pub(crate) coordinator_seen_at: Timestamp,
    pub(crate) completion: Option<Completion>,
    /// `Some` while an operator who issued the command at this gateway waits for an answer.
    pub(crate) replication: Option<Replication>,
    /// `Some` while this gateway coordinates the command.
    pub(crate) coordination: Option<Coordination>,
}

impl CommandState {
    /// Returns whether the command needs a coordinator: always if it drains the host, because gateways that restart
    /// have to receive it; until it is complete if it returns the host to service.
    pub(crate) fn needs_coordinator(&self) -> bool {
        self.command.drains() || self.completion.is_none()
    }

    /// Records the epoch of a coordinator: of one that sent a message, or of this gateway if it coordinates the
    /// command.
    pub(crate) fn record_coordinator(&mut self, now: Timestamp, epoch: Epoch) {
        self.latest_epoch = epoch;
        self.coordinator_seen_at = now;
    }

    /// Returns the progress of the command as known to this gateway.
    pub(crate) fn progress(&self, fleet: &Fleet) -> Progress {
        match (self.completion, &self.coordination) {
            (Some(completion), _) => Progress::Completed(completion),
            (None, Some(coordination)) => Progress::Draining {
                requests_in_flight: coordination.requests_in_flight(),
                unacknowledged: coordination.unacknowledged(fleet),
            },
            (None, None) => Progress::NotCoordinator,
        }
    }
}

/// Current commands and their progress, by host.
#[derive(Default)]
pub(crate) struct CommandLog {
    by_host: BTreeMap<HostId, CommandState>,
}

impl CommandLog {
    /// Returns whether the log contains no command.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }

    /// Returns the hosts that have a command, in ascending order.
    pub(crate) fn hosts(&self) -> impl Iterator<Item = HostId> + '_ {
        self.by_host.keys().copied()
    }

    /// Returns the current commands and their progress, in ascending order of their hosts.
    pub(crate) fn states(&self) -> impl Iterator<Item = &CommandState> {
        self.by_host.values()
    }

    /// Returns the current command for a host.
    pub(crate) fn command(&self, host: HostId) -> Option<DrainCommand> {
        self.by_host.get(&host).map(|state| state.command)
    }

    /// Returns the state of the current command for a host.
    pub(crate) fn state(&self, host: HostId) -> Option<&CommandState> {
        self.by_host.get(&host)
    }

    /// Returns a mutable reference to the state of the current command for a host.
    pub(crate) fn state_mut(&mut self, host: HostId) -> Option<&mut CommandState> {
        self.by_host.get_mut(&host)
    }

    /// Returns the state of exactly this command; `None` if it is not the current command for its host.
    pub(crate) fn state_of(&mut self, command: DrainCommand) -> Option<&mut CommandState> {
        self.by_host
            .get_mut(&command.host)
            .filter(|state| state.command == command)
    }

    /// Makes this command the current one for its host.
    pub(crate) fn insert(&mut self, now: Timestamp, command: DrainCommand) {
        // All commands for a host share one leased task, so the latest epoch is carried over to the new command.
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

    /// Ensures that a command for this host can be inserted. If the log is full and has no command for the host, evicts
    /// the oldest completed command that returned a host to service.
    ///
    /// # Errors
    /// [`CommandLogError::Full`] if no command may be evicted.
    pub(crate) fn ensure_capacity(&mut self, host: HostId) -> Result<(), CommandLogError> {
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
