//! This gateway as a voter: its promises on all tasks that it votes on.

use crate::codec::{LeaseMessage, MessageKind};
use crate::manager::MAX_TASKS;
use crate::{rendezvous, Settings, Vote, Voter};
use irisrouter_cluster_types::{Epoch, GatewayId, GatewayProcess, Milliseconds, TaskId, Timestamp};
use std::collections::BTreeMap;

/// After this number of leases without a promise a voter's memory of a task may be dropped to make room.
const IDLE_LEASES: u64 = 10;

/// This gateway as a voter.
pub(crate) struct VoterRole {
    local: GatewayId,
    settings: Settings,
    started: Timestamp,
    voters: BTreeMap<TaskId, Voter>,
}

impl VoterRole {
    /// A voter whose process started at `started`.
    pub(crate) const fn new(local: GatewayId, settings: Settings, started: Timestamp) -> Self {
        Self {
            local,
            settings,
            started,
            voters: BTreeMap::new(),
        }
    }

    /// The process receives requests only from `now` on: the time without grants starts again.
    pub(crate) fn restart(&mut self, now: Timestamp) {
        self.started = now;
        self.voters.clear();
    }

    /// This gateway's vote on a request or a pre-vote. None where it is no voter of the task, or remembers too many tasks.
    pub(crate) fn vote(
        &mut self,
        now: Timestamp,
        claimant: GatewayProcess,
        message: &LeaseMessage,
    ) -> Option<LeaseMessage> {
        let lease = self.settings.lease_length;
        let voter = self.voter(now, message.task)?;
        let vote = match message.kind {
            MessageKind::PreVote => voter.pre_vote(now, claimant),
            _ => voter.request(now, lease, claimant, message.epoch),
        };
        Some(answer(message, vote))
    }

    /// A holder gives its epoch up.
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
        if !self.voters.contains_key(&task) && !self.make_room(now) {
            return None;
        }
        let new = Voter::new(self.started, self.settings.lease_length);
        Some(self.voters.entry(task).or_insert(new))
    }

    /// Whether there is room for one more task, if necessary after dropping those that have long been idle.
    fn make_room(&mut self, now: Timestamp) -> bool {
        if self.voters.len() < MAX_TASKS {
            return true;
        }
        let idle_since = now.saturating_sub(self.settings.lease_length * IDLE_LEASES);
        self.voters.retain(|_, voter| !voter.is_idle(idle_since));
        self.voters.len() < MAX_TASKS
    }
}

/// The message that carries a vote.
fn answer(question: &LeaseMessage, vote: Vote) -> LeaseMessage {
    match vote {
        Vote::Vacant { latest_epoch } => LeaseMessage {
            kind: MessageKind::Vacant,
            epoch: latest_epoch,
            ..*question
        },
        Vote::Granted { previous } => LeaseMessage {
            kind: MessageKind::Granted,
            holder: previous,
            remaining: Milliseconds::ZERO,
            ..*question
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
            ..*question
        },
    }
}
