//! The voter role of this gateway: its promises for all tasks that it votes on.

use crate::codec::{LeaseMessage, MessageKind};
use crate::manager::MAX_TASKS;
use crate::{rendezvous, Settings, Vote, Voter};
use irisrouter_cluster_types::{Epoch, GatewayId, GatewayProcess, Milliseconds, TaskId, Timestamp};
use std::collections::BTreeMap;

/// A voter's state for a task may be evicted once no promise has been in force for the duration of this many leases.
const IDLE_LEASES_BEFORE_EVICTION: u64 = 10;

/// The state of this gateway as a voter, by task.
pub(crate) struct VoterRole {
    local: GatewayId,
    settings: Settings,
    started: Timestamp,
    voters: BTreeMap<TaskId, Voter>,
}

impl VoterRole {
    /// Creates the voter role of a process that started at `started`.
    pub(crate) const fn new(local: GatewayId, settings: Settings, started: Timestamp) -> Self {
        Self {
            local,
            settings,
            started,
            voters: BTreeMap::new(),
        }
    }

    /// Records that the process began to receive requests only at `now`. Drops all promises and restarts the time
    /// during which nothing is granted.
    pub(crate) fn restart(&mut self, now: Timestamp) {
        self.started = now;
        self.voters.clear();
    }

    /// Returns this gateway's vote on a request or a pre-vote. Returns `None` if it is not a voter of the task, or if
    /// it has reached the limit of tasks.
    pub(crate) fn vote(
        &mut self,
        now: Timestamp,
        claimant: GatewayProcess,
        message: &LeaseMessage,
    ) -> Option<LeaseMessage> {
        let lease = self.settings.lease_duration;
        let voter = self.voter(now, message.task)?;
        let vote = match message.kind {
            MessageKind::PreVote => voter.pre_vote(now, claimant),
            _ => voter.request(now, lease, claimant, message.epoch),
        };
        Some(vote_message(message, vote))
    }

    /// Ends the promise to a holder that releases its epoch.
    pub(crate) fn release(
        &mut self,
        now: Timestamp,
        holder: GatewayProcess,
        task: TaskId,
        epoch: Epoch,
    ) {
        if let Some(voter) = self.voters.get_mut(&task) {
            voter.release(now, holder, epoch);
        }
    }

    fn voter(&mut self, now: Timestamp, task: TaskId) -> Option<&mut Voter> {
        if !rendezvous::voters(task, self.settings.fleet).contains(&self.local) {
            return None;
        }
        if !self.voters.contains_key(&task) && !self.ensure_capacity(now) {
            return None;
        }
        let new = Voter::new(self.started, self.settings.lease_duration);
        Some(self.voters.entry(task).or_insert(new))
    }

    /// Returns whether one more task fits the limit. If necessary, evicts tasks that have been idle for a long time
    /// first.
    fn ensure_capacity(&mut self, now: Timestamp) -> bool {
        if self.voters.len() < MAX_TASKS {
            return true;
        }
        let idle_since =
            now.saturating_sub(self.settings.lease_duration * IDLE_LEASES_BEFORE_EVICTION);
        self.voters.retain(|_, voter| !voter.is_idle(idle_since));
        self.voters.len() < MAX_TASKS
    }
}

/// Returns the message that carries the vote on a request or a pre-vote.
fn vote_message(request: &LeaseMessage, vote: Vote) -> LeaseMessage {
    match vote {
        Vote::Vacant { latest_epoch } => LeaseMessage {
            kind: MessageKind::Vacant,
            epoch: latest_epoch,
            ..*request
        },
        Vote::Granted { previous } => LeaseMessage {
            kind: MessageKind::Granted,
            holder: previous,
            remaining: Milliseconds::ZERO,
            ..*request
        },
        Vote::Refused {
            latest_epoch,
            holder,
            remaining,
        } => LeaseMessage {
            kind: MessageKind::Refused,
            epoch: latest_epoch,
            holder,
            remaining,
            ..*request
        },
    }
}
