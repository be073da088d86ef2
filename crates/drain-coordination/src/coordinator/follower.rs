//! Role of the follower: a gateway follows every command that it knows, and reports its number of requests in flight to
//! the gateways that announce a command.

use super::{DrainCoordinator, LocalState};
use crate::action::{Action, CompletionOrigin};
use crate::codec::{Message, NO_COORDINATOR};
use crate::command::DrainCommand;
use crate::progress::Completion;
use irisrouter_cluster_types::{GatewayId, Timestamp};
use std::cmp::Ordering;

impl DrainCoordinator {
    /// Makes this command the current one for its host, in place of any earlier one.
    pub(super) fn follow(&mut self, now: Timestamp, command: DrainCommand) {
        self.commands.insert(now, command);
        self.actions.push(Action::Follow(command));
    }

    /// Processes another gateway's announcement of a command: follows the command if it is new, and reports the number
    /// of requests in flight at its host.
    pub(super) fn receive_announcement(
        &mut self,
        now: Timestamp,
        from: GatewayId,
        message: Message,
        local: &impl LocalState,
    ) {
        let Message { command, epoch, .. } = message;
        if !self.follow_latest(now, from, command) {
            return;
        }
        let Some(state) = self.commands.state_mut(command.host) else {
            return;
        };
        if epoch != NO_COORDINATOR {
            if epoch < state.latest_epoch {
                return;
            }
            state.record_coordinator(now, epoch);
        }
        let requests_in_flight = local.requests_in_flight(command.host);
        let report = Message::report(command, epoch, requests_in_flight);
        self.outgoing.push(from, report);
    }

    /// Follows an announced command unless a later command for its host is known. Returns whether the announced command
    /// is the current one afterwards.
    fn follow_latest(&mut self, now: Timestamp, from: GatewayId, command: DrainCommand) -> bool {
        if let Some(known) = self.commands.command(command.host) {
            match known.precedence().cmp(&command.precedence()) {
                Ordering::Greater => {
                    // The sender knows only an older command: the reply announces the later one to it. The reply
                    // carries no epoch, because this gateway need not be the coordinator.
                    let later = Message::announcement(known, NO_COORDINATOR);
                    self.outgoing.push(from, later);
                    return false;
                }
                Ordering::Equal => return true,
                Ordering::Less => {}
            }
        }
        if self.commands.ensure_capacity(command.host).is_err() {
            return false;
        }
        self.follow(now, command);
        true
    }

    /// Processes a coordinator's message that a command is complete.
    pub(super) fn receive_completion(&mut self, now: Timestamp, message: Message) {
        let Message {
            command,
            epoch,
            count: unacknowledged,
            ..
        } = message;
        let Some(state) = self.commands.state_of(command) else {
            return;
        };
        if epoch < state.latest_epoch || epoch == NO_COORDINATOR {
            return;
        }
        state.record_coordinator(now, epoch);
        let completion = Completion {
            epoch,
            unacknowledged,
        };
        if state.completion.replace(completion).is_none() {
            self.actions.push(Action::Completed {
                command,
                completion,
                origin: CompletionOrigin::OtherGateway,
            });
        }
    }
}
