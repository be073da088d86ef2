//! Public interface of drain coordination at one gateway, and the roles of the gateway for each command.
//!
//! A gateway replicates the commands that operators issue at it ([`replication`]), follows all commands that it knows
//! ([`follower`]), and coordinates the commands whose leases it holds ([`coordination`]).

mod coordination;
mod follower;
mod replication;

pub(crate) use coordination::Coordination;
pub(crate) use replication::Replication;

use crate::action::Action;
use crate::codec::{self, MessageKind, WireError};
use crate::command::{DesiredState, DrainCommand};
use crate::command_log::{CommandLog, CommandLogError};
use crate::fleet::Fleet;
use crate::outgoing::OutgoingMessages;
use crate::progress::CommandStatus;
use crate::settings::Settings;
use irisrouter_cluster_types::{
    Epoch, GatewayId, GatewayProcess, HostId, Milliseconds, Timestamp, UnixMilliseconds,
};

/// Current state of this gateway, supplied by the caller. The coordinator queries it anew in each step.
pub trait LocalState {
    /// Returns the fencing token under which this gateway may coordinate the drains of a host; `None` if it does not
    /// hold the lease.
    fn fencing_token(&self, host: HostId) -> Option<Epoch>;
    /// Returns the number of requests that this gateway has in flight at a host.
    fn requests_in_flight(&self, host: HostId) -> u32;
}

/// Drain coordination at one gateway: all drain commands known to it, and its part in replicating and completing them.
pub struct DrainCoordinator {
    settings: Settings,
    fleet: Fleet,
    commands: CommandLog,
    outgoing: OutgoingMessages,
    actions: Vec<Action>,
}

impl DrainCoordinator {
    /// Creates the coordinator of a gateway that knows no command yet.
    #[must_use]
    pub fn new(local_gateway: GatewayId, settings: Settings) -> Self {
        Self {
            settings,
            fleet: Fleet::new(local_gateway),
            commands: CommandLog::default(),
            outgoing: OutgoingMessages::new(local_gateway),
            actions: Vec::new(),
        }
    }

    /// Replaces the view of the fleet. `processes` are those of the gateways that membership does not report as down.
    pub fn update_fleet(&mut self, processes: impl IntoIterator<Item = GatewayProcess>) {
        self.fleet.replace(processes);
    }

    /// Issues an operator's command at this gateway. The command takes effect at this gateway immediately.
    /// [`Action::Replicated`] is returned later, once a quorum follows the command or
    /// [`Settings::replication_timeout`] has elapsed.
    ///
    /// # Errors
    /// [`CommandLogError::Full`] if the log is full of commands for other hosts that still need a coordinator.
    pub fn issue(
        &mut self,
        now: Timestamp,
        wall_clock: UnixMilliseconds,
        host: HostId,
        desired_state: DesiredState,
    ) -> Result<(), CommandLogError> {
        self.commands.ensure_capacity(host)?;
        // The clocks of gateways differ, but the new command has to win over the one that this gateway knows.
        let issued_at = match self.commands.command(host) {
            Some(earlier) => wall_clock.max(earlier.issued_at + Milliseconds(1)),
            None => wall_clock,
        };
        let command = DrainCommand {
            host,
            desired_state,
            issued_at,
            issued_by: self.fleet.local_gateway(),
        };
        self.follow(now, command);
        self.start_replication(now, host);
        Ok(())
    }

    /// Returns the hosts whose commands need a coordinator: those that are to be out of service, and those whose return
    /// to service is not complete.
    #[must_use]
    pub fn drains_to_coordinate(&self) -> Vec<HostId> {
        self.commands
            .states()
            .filter(|state| state.needs_coordinator())
            .map(|state| state.command.host)
            .collect()
    }

    /// Returns the current command for each host, and its progress, in ascending order of the hosts.
    pub fn commands(&self) -> impl Iterator<Item = CommandStatus> + '_ {
        self.commands.states().map(|state| CommandStatus {
            command: state.command,
            progress: state.progress(&self.fleet),
        })
    }

    /// Processes a datagram received from gateway `from`.
    ///
    /// # Errors
    /// The datagram is malformed. The state is unchanged in this case.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: GatewayId,
        datagram: &[u8],
        local: &impl LocalState,
    ) -> Result<(), WireError> {
        for message in codec::decode(datagram)? {
            match message.kind {
                MessageKind::Announcement => self.receive_announcement(now, from, message, local),
                MessageKind::Report => self.receive_report(now, from, message, local),
                MessageKind::Completion => self.receive_completion(now, message),
            }
        }
        self.flush();
        Ok(())
    }

    /// Processes the time-outs, announcement rounds and lease changes that are due at `now`.
    pub fn advance(&mut self, now: Timestamp, local: &impl LocalState) {
        let hosts: Vec<HostId> = self.commands.hosts().collect();
        for host in hosts {
            self.replicate(now, host);
            self.coordinate(now, host, local);
            self.announce_to_candidates(now, host);
        }
        self.flush();
    }

    /// Returns the time by which [`DrainCoordinator::advance`] has to be called next, or [`Timestamp::MAX`] if no
    /// command is known. It may be called earlier.
    #[must_use]
    pub fn next_due(&self, now: Timestamp) -> Timestamp {
        if self.commands.is_empty() {
            return Timestamp::MAX;
        }
        now + self.settings.round_interval / 2
    }

    /// Removes and returns the pending actions, in the order in which the caller has to carry them out.
    pub fn take_actions(&mut self) -> std::vec::Drain<'_, Action> {
        self.actions.drain(..)
    }

    /// Packs the messages of this step into datagrams, and adds the actions that send them.
    fn flush(&mut self) {
        self.actions.extend(self.outgoing.take_datagrams());
    }
}
