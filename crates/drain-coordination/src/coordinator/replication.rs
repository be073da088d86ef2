//! Replication of a command that was issued at this gateway, until a quorum follows it and its operator has an answer.

use super::DrainCoordinator;
use crate::action::Action;
use crate::codec::{Message, NO_COORDINATOR};
use crate::progress::ReplicationProgress;
use irisrouter_cluster_types::{GatewayId, HostId, Timestamp};
use std::collections::BTreeSet;

/// The state of a command's replication.
pub(crate) struct Replication {
    /// When the operator gets the answer that no quorum follows.
    deadline: Timestamp,
    next_round_at: Timestamp,
    /// Gateways that follow the command, this one included.
    followers: BTreeSet<GatewayId>,
}

impl Replication {
    /// Remembers that a gateway follows the command.
    pub(super) fn record_follower(&mut self, gateway: GatewayId) {
        self.followers.insert(gateway);
    }
}

impl DrainCoordinator {
    /// Announces the command that holds for this host to the fleet from now on.
    pub(super) fn start_replication(&mut self, now: Timestamp, host: HostId) {
        let followers = BTreeSet::from([self.fleet.local_gateway()]);
        if let Some(state) = self.commands.state_mut(host) {
            state.replication = Some(Replication {
                deadline: now + self.settings.replication_timeout,
                next_round_at: now,
                followers,
            });
        }
    }

    /// Ends the replication of a host's command where a quorum follows it or its time is over; else announces it to the
    /// gateways that do not follow it yet, once a round.
    pub(super) fn replicate(&mut self, now: Timestamp, host: HostId) {
        let quorum = self.settings.quorum();
        let Some(state) = self.commands.state_mut(host) else {
            return;
        };
        let Some(replication) = &mut state.replication else {
            return;
        };
        let followers = replication.followers.len();
        let majority = followers >= quorum;
        if majority || now >= replication.deadline {
            state.replication = None;
            self.actions.push(Action::Replicated {
                host,
                progress: ReplicationProgress {
                    followers,
                    majority,
                },
            });
            return;
        }
        if now < replication.next_round_at {
            return;
        }
        replication.next_round_at = now + self.settings.round_interval;
        let announcement = Message::announcement(state.command, NO_COORDINATOR);
        for gateway in self.fleet.gateways() {
            if !replication.followers.contains(&gateway) {
                self.outgoing.push(gateway, announcement);
            }
        }
    }
}
