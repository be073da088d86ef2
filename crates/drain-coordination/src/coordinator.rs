//! The drains of one gateway: its public interface, and the parts that it plays for each command.
//!
//! A gateway replicates the commands that were issued at it ([`replication`]), follows all commands that it knows
//! ([`follower`]), and coordinates those whose leases it holds ([`coordination`]).

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

/// What the coordinator asks its caller about this gateway, in each step anew.
pub trait LocalState {
    /// The fencing token under which this gateway may coordinate a host's drain now; none without the lease.
    fn fencing_token(&self, host: HostId) -> Option<Epoch>;
    /// Requests that this gateway has in flight at a host.
    fn requests_in_flight(&self, host: HostId) -> u32;
}

/// All drain commands, as one gateway knows them.
pub struct DrainCoordinator {
    settings: Settings,
    fleet: Fleet,
    commands: CommandLog,
    outgoing: OutgoingMessages,
    actions: Vec<Action>,
}

impl DrainCoordinator {
    /// A gateway that knows of no command yet.
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

    /// Takes the view of membership: the processes of the gateways that are not held to be down.
    pub fn update_fleet(&mut self, processes: impl IntoIterator<Item = GatewayProcess>) {
        self.fleet.replace(processes);
    }

    /// An operator issues a command at this gateway. It holds here at once; [`Action::Replicated`] follows once a quorum
    /// follows it, or after [`Settings::replication_timeout`].
    ///
    /// # Errors
    /// Commands for too many other hosts are not complete yet.
    pub fn issue(
        &mut self,
        now: Timestamp,
        wall_clock: UnixMilliseconds,
        host: HostId,
        desired_state: DesiredState,
    ) -> Result<(), CommandLogError> {
        self.commands.make_room(host)?;
        // The clocks of gateways differ: this command is to win over the one that this gateway knows in any case.
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

    /// The hosts whose drains need a coordinator: those that are to be out of service, and those whose return has not
    /// reached all gateways.
    #[must_use]
    pub fn drains_to_coordinate(&self) -> Vec<HostId> {
        self.commands
            .states()
            .filter(|state| state.needs_coordinator())
            .map(|state| state.command.host)
            .collect()
    }

    /// All commands that hold, in ascending order of their hosts, with how far each is.
    pub fn commands(&self) -> impl Iterator<Item = CommandStatus> + '_ {
        self.commands.states().map(|state| CommandStatus {
            command: state.command,
            progress: state.progress(&self.fleet),
        })
    }

    /// Takes a datagram from gateway `from`.
    ///
    /// # Errors
    /// The datagram can't be read; nothing is changed then.
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

    /// Does what is due by `now`.
    pub fn advance(&mut self, now: Timestamp, local: &impl LocalState) {
        let hosts: Vec<HostId> = self.commands.hosts().collect();
        for host in hosts {
            self.replicate(now, host);
            self.coordinate(now, host, local);
            self.announce_to_candidates(now, host);
        }
        self.flush();
    }

    /// When [`DrainCoordinator::advance`] next has work; it may be called earlier.
    #[must_use]
    pub fn next_due(&self, now: Timestamp) -> Timestamp {
        if self.commands.is_empty() {
            return Timestamp::MAX;
        }
        now + self.settings.round_interval / 2
    }

    /// Removes and returns what the caller is to do, in order.
    pub fn take_actions(&mut self) -> std::vec::Drain<'_, Action> {
        self.actions.drain(..)
    }

    /// Packs the messages of this step into datagrams.
    fn flush(&mut self) {
        self.actions.extend(self.outgoing.take_datagrams());
    }
}
