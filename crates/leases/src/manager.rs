//! The leases of one gateway in its three roles: holder, claimant and voter.

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

/// Maximum number of tasks that a gateway keeps state for as a claimant, and separately as a voter. Without this limit,
/// datagrams that name more and more tasks would exhaust the memory.
pub(crate) const MAX_TASKS: usize = 4_096;

/// The side of a network partition that a gateway is on, according to its view of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartitionSide {
    /// The gateway reaches more than half of the fleet, itself included.
    Majority,
    /// The gateway reaches at most half of the fleet, itself included.
    Minority,
}

/// A lease that this gateway holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// The task.
    pub task: TaskId,
    /// The epoch of the lease, which is the fencing token.
    pub epoch: Epoch,
}

/// The leases of one gateway, as holder, claimant and voter.
pub struct LeaseManager {
    local: GatewayProcess,
    settings: Settings,
    tasks: BTreeMap<TaskId, TaskState>,
    voter_role: VoterRole,
    alive_gateways: Vec<GatewayId>,
    side: PartitionSide,
    /// Time at which this gateway entered a minority partition. `None` in a majority partition, and again once all
    /// leases have been released.
    minority_entered_at: Option<Timestamp>,
    /// Whether this gateway is stopping, and therefore claims no lease any more.
    stopped: bool,
    /// Wall clock time at the origin of the caller's clock.
    clock_origin: UnixMilliseconds,
    last_pre_vote_round: u16,
    outbox: Outbox,
    actions: Vec<Action>,
}

impl LeaseManager {
    /// Creates the manager of a gateway that holds no lease. `started` is the current time.
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
            alive_gateways: vec![local.gateway],
            side: PartitionSide::Minority,
            minority_entered_at: None,
            stopped: false,
            clock_origin: UnixMilliseconds::default(),
            last_pre_vote_round: 0,
            outbox: Outbox::default(),
            actions: Vec::new(),
        })
    }

    /// Records that this process began to receive datagrams at `now`, rather than when it called [`LeaseManager::new`].
    /// As a voter it grants nothing for the duration of one lease from `now`, because an older process of the same
    /// gateway may have granted leases until then.
    pub fn on_socket_opened(&mut self, now: Timestamp) {
        self.voter_role.restart(now);
    }

    /// Updates the view of the fleet: the gateways that are alive, including this one, and the side of a network
    /// partition. In a minority partition this gateway claims no lease, and releases all its leases after the duration
    /// of one lease.
    pub fn update_view(
        &mut self,
        now: Timestamp,
        alive_gateways: &[GatewayId],
        side: PartitionSide,
    ) {
        if self.alive_gateways == alive_gateways && self.side == side {
            return;
        }
        self.alive_gateways = alive_gateways.to_vec();
        self.side = side;
        for (&task, state) in &mut self.tasks {
            state.candidacy = Candidacy::new(task, &self.alive_gateways, self.local.gateway);
        }
        // Leases are not released immediately. Otherwise a view that changes briefly, because datagrams are lost, would
        // take all leases from their holders. The voters prevent a second holder in any case.
        self.minority_entered_at = match side {
            PartitionSide::Majority => None,
            PartitionSide::Minority => self.minority_entered_at.or(Some(now)),
        };
    }

    /// Returns the side of a network partition that this gateway is on, according to the latest view.
    #[must_use]
    pub const fn side(&self) -> PartitionSide {
        self.side
    }

    /// Replaces the list of tasks. The leases on removed tasks are released. Claims for new tasks start with the next
    /// [`LeaseManager::advance`].
    pub fn set_tasks(&mut self, now: Timestamp, tasks: &[TaskId]) {
        let known = self.tasks.keys().copied();
        let removed_tasks: Vec<TaskId> = known.filter(|task| !tasks.contains(task)).collect();
        for task in removed_tasks {
            self.relinquish(now, task, LeaseChange::TaskRemoved);
            self.tasks.remove(&task);
        }
        for &task in tasks.iter().take(MAX_TASKS) {
            if self.tasks.contains_key(&task) {
                continue;
            }
            let candidacy = Candidacy::new(task, &self.alive_gateways, self.local.gateway);
            let state = TaskState::new(task, now, self.settings, candidacy);
            self.tasks.insert(task, state);
        }
    }

    /// Returns the fencing token under which this gateway may perform a task at `now`, or `None` if it does not hold
    /// the lease. Callers must call this before each operation and must not store the result.
    #[must_use]
    pub fn fencing_token(&self, now: Timestamp, task: TaskId) -> Option<Epoch> {
        let state = self.tasks.get(&task)?;
        state.announced_token(now, self.settings.terms())
    }

    /// Gives up the lease on a task because a database host rejected its token: the host has seen a later one, so
    /// another gateway has acquired the lease.
    pub fn token_rejected(&mut self, now: Timestamp, task: TaskId) {
        self.relinquish(now, task, LeaseChange::Superseded);
    }

    /// Releases all leases because the gateway stops. From now on it claims none; as a voter it goes on.
    pub fn stop(&mut self, now: Timestamp) {
        self.stopped = true;
        self.release_all(now);
    }

    /// Releases all leases because the gateway stops or is in a minority partition.
    fn release_all(&mut self, now: Timestamp) {
        let tasks: Vec<TaskId> = self.tasks.keys().copied().collect();
        for task in tasks {
            self.relinquish(now, task, LeaseChange::Stopped);
        }
        self.pack_outbox();
    }

    /// Processes a datagram from gateway `from`.
    ///
    /// # Errors
    /// The datagram can't be decoded. The state is unchanged in this case.
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

    /// Performs the work that is due at `now`. `unix_now` is the wall clock time. It is the lower limit for new epochs,
    /// so that epochs increase even if all voters have lost their state.
    pub fn advance(&mut self, now: Timestamp, unix_now: UnixMilliseconds) {
        self.clock_origin = unix_now.saturating_sub(now.since_origin());
        if self.minority_deadline().is_some_and(|due| now >= due) {
            self.minority_entered_at = None;
            self.release_all(now);
        }
        let due = self.tasks.iter().filter(|(_, state)| state.next_due <= now);
        let due: Vec<TaskId> = due.map(|(&task, _)| task).collect();
        for task in due {
            self.process_due_task(now, task);
        }
        self.pack_outbox();
    }

    /// Returns the time at which [`LeaseManager::advance`] next has work to do, or [`Timestamp::MAX`] if there is none.
    #[must_use]
    pub fn next_due(&self) -> Timestamp {
        let tasks = self.tasks.values().map(|state| state.next_due);
        tasks
            .chain(self.minority_deadline())
            .min()
            .unwrap_or(Timestamp::MAX)
    }

    /// Returns the time at which all leases are released because this gateway is in a minority partition. `None` if no
    /// such release is pending.
    fn minority_deadline(&self) -> Option<Timestamp> {
        self.minority_entered_at
            .map(|since| since + self.settings.lease_duration)
    }

    /// Removes and returns the actions that the caller has to carry out, in order.
    pub fn drain_actions(&mut self) -> std::vec::Drain<'_, Action> {
        self.actions.drain(..)
    }

    /// Returns the leases that this gateway holds at `now`, in ascending order of task id.
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
