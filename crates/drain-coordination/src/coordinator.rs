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
use crate::progress::Progress;
use crate::settings::Settings;
use crate::Millis;

/// What the coordinator asks its caller about this gateway, in each step anew.
pub trait LocalState {
    /// The fencing token under which this gateway may coordinate a host's drain now; none without the lease.
    fn fencing_token(&self, host: u32) -> Option<u64>;
    /// Requests that this gateway has in flight at a host.
    fn requests_in_flight(&self, host: u32) -> u32;
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
    /// A gateway with this number that knows of no command yet.
    #[must_use]
    pub fn new(local_gateway: u32, settings: Settings) -> Self {
        Self {
            settings,
            fleet: Fleet::new(local_gateway),
            commands: CommandLog::default(),
            outgoing: OutgoingMessages::new(local_gateway),
            actions: Vec::new(),
        }
    }

    /// Takes the view of membership: the gateways that are not held to be down, with the generations of their processes.
    pub fn update_fleet(&mut self, generations: impl IntoIterator<Item = (u32, u16)>) {
        self.fleet.replace(generations);
    }

    /// An operator issues a command at this gateway. It holds here at once; [`Action::Replicated`] follows once a quorum
    /// follows it, or after [`Settings::replication_timeout_ms`].
    ///
    /// # Errors
    /// Commands for too many other hosts are not complete yet.
    pub fn issue(
        &mut self,
        now: Millis,
        unix_ms: u64,
        host: u32,
        desired_state: DesiredState,
    ) -> Result<(), CommandLogError> {
        self.commands.make_room(host)?;
        let issued_at_ms = match self.commands.command(host) {
            Some(earlier) => unix_ms.max(earlier.issued_at_ms + 1),
            None => unix_ms,
        };
        let command = DrainCommand {
            host,
            desired_state,
            issued_at_ms,
            issued_by: self.fleet.local_gateway(),
        };
        self.follow(now, command);
        self.start_replication(now, host);
        Ok(())
    }

    /// The hosts whose drains need a coordinator: those that are to be out of service, and those whose return has not
    /// reached all gateways.
    #[must_use]
    pub fn drains_to_coordinate(&self) -> Vec<u32> {
        self.commands
            .states()
            .filter(|state| state.needs_coordinator())
            .map(|state| state.command.host)
            .collect()
    }

    /// All commands that hold, in ascending order of their hosts, with how far each is.
    pub fn commands(&self) -> impl Iterator<Item = (DrainCommand, Progress)> + '_ {
        self.commands
            .states()
            .map(|state| (state.command, state.progress(&self.fleet)))
    }

    /// Takes a datagram from gateway `from`.
    ///
    /// # Errors
    /// The datagram can't be read; nothing is changed then.
    pub fn receive(
        &mut self,
        now: Millis,
        from: u32,
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
    pub fn advance(&mut self, now: Millis, local: &impl LocalState) {
        let hosts: Vec<u32> = self.commands.hosts().collect();
        for host in hosts {
            self.replicate(now, host);
            self.coordinate(now, host, local);
            self.announce_to_candidates(now, host);
        }
        self.flush();
    }

    /// When [`DrainCoordinator::advance`] next has work; it may be called earlier.
    #[must_use]
    pub fn next_due(&self, now: Millis) -> Millis {
        if self.commands.is_empty() {
            return Millis::MAX;
        }
        now + self.settings.round_interval_ms / 2
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
