//! All leases of one gateway, as holder, claimant and voter.

mod answers;
mod claims;

use crate::codec::{self, LeaseMessage, MessageKind, WireError};
use crate::outbox::Outbox;
use crate::task_state::{Candidacy, TaskState};
use crate::voter_role::VoterRole;
use crate::{Action, LeaseChange, Settings, SettingsError};
use irisrouter_cluster_types::{
    Epoch, GatewayId, GatewayProcess, TaskId, Timestamp, UnixMilliseconds,
};
use std::collections::BTreeMap;

/// How many tasks a gateway remembers as a claimant, and how many as a voter. Without this bound, datagrams that name
/// ever new tasks would fill the memory.
pub(crate) const MAX_TASKS: usize = 4_096;

/// Which side of a network partition a gateway is on, by its view of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartitionSide {
    /// It reaches more than half of the fleet.
    Majority,
    /// It reaches at most half of the fleet.
    Minority,
}

/// A lease that this gateway holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// The task.
    pub task: TaskId,
    /// The fencing token.
    pub epoch: Epoch,
}

/// All leases of one gateway.
pub struct LeaseManager {
    local: GatewayProcess,
    settings: Settings,
    tasks: BTreeMap<TaskId, TaskState>,
    voter_role: VoterRole,
    alive: Vec<GatewayId>,
    side: PartitionSide,
    /// Since when this gateway has been in a minority partition, until it has released all leases for that.
    minority_since: Option<Timestamp>,
    /// The wall clock's time at the origin of the caller's clock.
    clock_origin: UnixMilliseconds,
    last_pre_vote_round: u16,
    outbox: Outbox,
    actions: Vec<Action>,
}

impl LeaseManager {
    /// A gateway that holds no lease; `started` is now.
    ///
    /// # Errors
    /// A setting is out of its range.
    pub fn new(
        local: GatewayProcess,
        settings: Settings,
        started: Timestamp,
    ) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Self {
            local,
            settings,
            tasks: BTreeMap::new(),
            voter_role: VoterRole::new(local.gateway, settings, started),
            alive: vec![local.gateway],
            side: PartitionSide::Minority,
            minority_since: None,
            clock_origin: UnixMilliseconds::default(),
            last_pre_vote_round: 0,
            outbox: Outbox::default(),
            actions: Vec::new(),
        })
    }

    /// This process receives datagrams from now on, and not since [`LeaseManager::new`]. As a voter it grants nothing for
    /// the length of a lease, as an older process of the same gateway may have granted until now.
    pub fn on_socket_opened(&mut self, now: Timestamp) {
        self.voter_role.restart(now);
    }

    /// Updates the view of the fleet: the gateways alive, this one included, and the side of a network partition. In a
    /// minority partition no lease is claimed, and all that are held are released after the length of a lease.
    pub fn update_view(&mut self, now: Timestamp, alive: &[GatewayId], side: PartitionSide) {
        if self.alive == alive && self.side == side {
            return;
        }
        self.alive = alive.to_vec();
        self.side = side;
        for (&task, state) in &mut self.tasks {
            state.candidacy = Candidacy::new(task, &self.alive, self.local.gateway);
        }
        // Leases are not released at once: a view that changes for a moment, under loss, would take all leases from their
        // holders. It is the voters that prevent a second holder, not this.
        self.minority_since = match side {
            PartitionSide::Majority => None,
            PartitionSide::Minority => self.minority_since.or(Some(now)),
        };
    }

    /// The side of a network partition that this gateway is on, by the last view.
    #[must_use]
    pub const fn side(&self) -> PartitionSide {
        self.side
    }

    /// Replaces the list of tasks. New ones are claimed from the next [`LeaseManager::advance`] on.
    pub fn set_tasks(&mut self, now: Timestamp, tasks: &[TaskId]) {
        let known = self.tasks.keys().copied();
        let removed: Vec<TaskId> = known.filter(|task| !tasks.contains(task)).collect();
        for task in removed {
            self.give_up(now, task, LeaseChange::TaskRemoved);
            self.tasks.remove(&task);
        }
        for &task in tasks.iter().take(MAX_TASKS) {
            if self.tasks.contains_key(&task) {
                continue;
            }
            let candidacy = Candidacy::new(task, &self.alive, self.local.gateway);
            let state = TaskState::new(task, now, self.settings, candidacy);
            self.tasks.insert(task, state);
        }
    }

    /// The fencing token under which this gateway may act on a task at this moment; none where it does not hold the lease.
    /// Ask before each act, and do not store the answer.
    #[must_use]
    pub fn fencing_token(&self, now: Timestamp, task: TaskId) -> Option<Epoch> {
        let state = self.tasks.get(&task)?;
        state.announced_token(now, self.settings.terms())
    }

    /// A database host refused the token of a task: a later one has been there, so the lease held here is over.
    pub fn token_rejected(&mut self, now: Timestamp, task: TaskId) {
        self.give_up(now, task, LeaseChange::Superseded);
    }

    /// Releases all leases, as the gateway stops or is in a minority partition.
    pub fn release_all(&mut self, now: Timestamp) {
        let tasks: Vec<TaskId> = self.tasks.keys().copied().collect();
        for task in tasks {
            self.give_up(now, task, LeaseChange::Stopped);
        }
        self.pack_outbox();
    }

    /// Processes a datagram from gateway `from`.
    ///
    /// # Errors
    /// The datagram can't be decoded; then nothing is changed.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: GatewayId,
        datagram: &[u8],
    ) -> Result<(), WireError> {
        let datagram = codec::decode(datagram)?;
        let sender = GatewayProcess {
            gateway: from,
            generation: datagram.sender_generation,
        };
        for message in datagram.messages {
            self.process_message(now, sender, &message);
        }
        self.pack_outbox();
        Ok(())
    }

    fn process_message(&mut self, now: Timestamp, sender: GatewayProcess, message: &LeaseMessage) {
        match message.kind {
            MessageKind::Request | MessageKind::PreVote => {
                if let Some(vote) = self.voter_role.vote(now, sender, message) {
                    self.outbox.push(sender.gateway, vote);
                }
            }
            MessageKind::Released => {
                self.voter_role
                    .release(now, sender, message.task, message.epoch);
            }
            MessageKind::Offered => self.process_offer(now, message),
            MessageKind::Granted | MessageKind::Refused | MessageKind::Vacant => {
                self.process_answer(now, sender.gateway, message);
            }
        }
    }

    /// Does what is due by `now`. `unix_now` is the wall clock, from which epochs continue where all voters have
    /// forgotten theirs.
    pub fn advance(&mut self, now: Timestamp, unix_now: UnixMilliseconds) {
        self.clock_origin = unix_now.saturating_sub(now.since_origin());
        if self.minority_deadline().is_some_and(|due| now >= due) {
            self.minority_since = None;
            self.release_all(now);
        }
        let due = self.tasks.iter().filter(|(_, state)| state.next_due <= now);
        let due: Vec<TaskId> = due.map(|(&task, _)| task).collect();
        for task in due {
            self.process_due_task(now, task);
        }
        self.pack_outbox();
    }

    /// When [`LeaseManager::advance`] next has work; [`Timestamp::MAX`] for never.
    #[must_use]
    pub fn next_due(&self) -> Timestamp {
        let tasks = self.tasks.values().map(|state| state.next_due);
        tasks
            .chain(self.minority_deadline())
            .min()
            .unwrap_or(Timestamp::MAX)
    }

    /// When all leases are released for being in a minority partition.
    fn minority_deadline(&self) -> Option<Timestamp> {
        self.minority_since
            .map(|since| since + self.settings.lease_length)
    }

    /// What the caller has to do, in order.
    pub fn drain_actions(&mut self) -> std::vec::Drain<'_, Action> {
        self.actions.drain(..)
    }

    /// The leases held at this moment, in the order of the tasks' numbers.
    #[must_use]
    pub fn held_leases(&self, now: Timestamp) -> Vec<HeldLease> {
        let tasks = self.tasks.keys();
        tasks
            .filter_map(|&task| {
                let epoch = self.fencing_token(now, task)?;
                Some(HeldLease { task, epoch })
            })
            .collect()
    }

    fn pack_outbox(&mut self) {
        self.outbox.pack(self.local.generation, &mut self.actions);
    }
}
