//! Replication of a command that was issued at this gateway: the gateway announces the command until a quorum follows
//! it or the replication timeout has elapsed, and then answers the operator.

use super::DrainCoordinator;
use crate::action::Action;
use crate::codec::{Message, NO_COORDINATOR};
use crate::progress::ReplicationProgress;
use irisrouter_cluster_types::{GatewayId, HostId, Timestamp};
use std::collections::BTreeSet;

/// State of the replication of one command.
pub(crate) struct Replication {
    /// Time at which the operator gets the answer that no quorum follows the command.
    deadline: Timestamp,
    next_round_at: Timestamp,
    /// Gateways that follow the command, including this one.
    followers: BTreeSet<GatewayId>,
}

impl Replication {
    /// Records that a gateway follows the command.
    pub(super) fn record_follower(&mut self, gateway: GatewayId) {
        self.followers.insert(gateway);
    }
}

impl DrainCoordinator {
    /// Starts the replication of the current command for this host.
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

    /// Ends the replication of a host's command if a quorum follows the command or the replication timeout has elapsed.
    /// Otherwise announces the command, once per round, to the gateways that do not follow it yet.
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
