//! The lease service: passes datagrams, the current time and the membership view to the lease manager of
//! `irisrouter_leases`, and carries out the manager's actions.
//!
//! Each acquisition or loss of a lease is logged in one line and counted.

use crate::net::cluster::membership::MembershipService;
use crate::net::cluster::outbox::{Outbox, OutgoingDatagram};
use crate::net::log::log;
use crate::net::metrics::{increment, Metrics};
use crate::net::unix_milliseconds;
use crate::net::upstream::Fence;
use irisrouter::routing::GroupId;
use irisrouter_cluster_types::{
    Epoch, GatewayId, HostId, Milliseconds, TaskId, Timestamp, UnixMilliseconds,
};
use irisrouter_leases::{
    Action, HeldLease, LeaseChange, LeaseManager, PartitionSide, Settings, SettingsError,
};
use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum time between two calls of [`LeaseService::advance`].
const MAX_ADVANCE_INTERVAL: Milliseconds = Milliseconds(60_000);

/// A task that one gateway performs for the whole fleet, under a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeasedTask {
    /// The health checks of the hosts of a group.
    HealthChecks(GroupId),
    /// The drain of a host.
    HostDrain(HostId),
    /// The watch of the endpoint list.
    EndpointWatch,
    /// The planning of site failover.
    SiteFailover,
}

impl LeasedTask {
    /// Returns the id of the task, which is the same at every gateway. The health checks of a group have the id of the
    /// group.
    const fn id(self) -> TaskId {
        match self {
            Self::HealthChecks(GroupId(group)) => TaskId(group as u64),
            Self::HostDrain(host) => irisrouter_drain_coordination::task_id(host),
            Self::EndpointWatch => irisrouter_endpoint_watch::TASK_ID,
            Self::SiteFailover => irisrouter_site_failover::TASK_ID,
        }
    }

    /// Returns the task with this id.
    fn from_id(id: TaskId) -> Self {
        if id == irisrouter_endpoint_watch::TASK_ID {
            return Self::EndpointWatch;
        }
        if id == irisrouter_site_failover::TASK_ID {
            return Self::SiteFailover;
        }
        // The lower 32 bits of the id of a drain are the id of the host.
        let host = HostId(id.0 as u32);
        if irisrouter_drain_coordination::task_id(host) == id {
            return Self::HostDrain(host);
        }
        Self::HealthChecks(GroupId(id.0 as i64))
    }
}

impl fmt::Display for LeasedTask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HealthChecks(GroupId(group)) => write!(f, "the health checks of set {group}"),
            Self::HostDrain(host) => write!(f, "the drain of host {host}"),
            Self::EndpointWatch => write!(f, "the endpoint watch"),
            Self::SiteFailover => write!(f, "the site failover plan"),
        }
    }
}

/// The lease service of one gateway.
pub struct LeaseService {
    manager: RefCell<LeaseManager>,
    membership: Rc<MembershipService>,
    origin: Instant,
    outbox: Outbox,
    metrics: Rc<Metrics>,
    /// Whether health checks carry the fencing token to the database hosts.
    fencing_enabled: bool,
}

impl LeaseService {
    /// Starts the service with no lease held. `gateways` has the address of each gateway, indexed by gateway id;
    /// `fencing_enabled` is whether health checks carry the fencing token.
    ///
    /// # Errors
    ///
    /// Returns an error if the length of a lease is out of its allowed range.
    pub fn new(
        membership: Rc<MembershipService>,
        gateways: Vec<SocketAddr>,
        lease_ms: u64,
        fencing_enabled: bool,
        metrics: Rc<Metrics>,
    ) -> Result<Self, SettingsError> {
        let settings = Settings {
            fleet: gateways.len() as u32,
            lease_duration: Milliseconds(lease_ms),
        };
        let manager = LeaseManager::new(membership.local_process(), settings, Timestamp::ZERO)?;
        log!("leases: on, with leases of {lease_ms} ms");
        Ok(Self {
            manager: RefCell::new(manager),
            membership,
            origin: Instant::now(),
            outbox: Outbox::new(gateways),
            metrics,
            fencing_enabled,
        })
    }

    fn now(&self) -> Timestamp {
        let elapsed = self.origin.elapsed().as_millis();
        Timestamp::from_millis(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// Records that this process receives datagrams from now on. An older process of this gateway may have granted
    /// leases until now, so this process grants none for the length of a lease.
    pub fn on_socket_opened(&self) {
        self.manager.borrow_mut().on_socket_opened(self.now());
    }

    /// Processes a lease datagram from gateway `from`. Returns the datagrams to send.
    pub fn receive(&self, datagram: &[u8], from: GatewayId) -> Vec<OutgoingDatagram> {
        let now = self.now();
        let mut manager = self.manager.borrow_mut();
        match manager.receive(now, from, datagram) {
            Ok(()) => increment(&self.metrics.leases.received),
            Err(error) => {
                increment(&self.metrics.leases.rejected);
                log!("leases: a datagram from gateway {from} is ignored: {error}");
            }
        }
        self.carry_out_actions(&mut manager)
    }

    /// Updates the view of the fleet and the list of tasks, and does the work that is due. Returns the datagrams to
    /// send.
    pub fn advance(&self, tasks: impl Iterator<Item = LeasedTask>) -> Vec<OutgoingDatagram> {
        let now = self.now();
        let alive = self.membership.alive();
        let side = if alive.majority {
            PartitionSide::Majority
        } else {
            PartitionSide::Minority
        };
        let tasks: Vec<TaskId> = tasks.map(LeasedTask::id).collect();
        let mut manager = self.manager.borrow_mut();
        manager.update_view(now, &alive.gateways, side);
        manager.set_tasks(now, &tasks);
        manager.advance(now, UnixMilliseconds(unix_milliseconds()));
        self.carry_out_actions(&mut manager)
    }

    /// Returns when [`LeaseService::advance`] is to be called next, at most [`MAX_ADVANCE_INTERVAL`] from now.
    pub fn due(&self) -> Instant {
        let now = self.now();
        let due = self.manager.borrow().next_due();
        let latest = now + MAX_ADVANCE_INTERVAL;
        self.origin + Duration::from(due.max(now).min(latest).since_origin())
    }

    /// Returns whether this gateway was in the majority partition at the last call of [`LeaseService::advance`].
    pub fn in_majority(&self) -> bool {
        self.manager.borrow().side() == PartitionSide::Majority
    }

    /// Returns the fencing token under which this gateway may perform a task now, or `None` if it does not hold the
    /// lease. Callers must ask again before each action instead of storing the result, because the lease may expire.
    pub fn fencing_token(&self, task: LeasedTask) -> Option<Epoch> {
        self.manager.borrow().fencing_token(self.now(), task.id())
    }

    /// Returns the fence that a health check of a group carries, or `None` if fencing is off.
    pub fn health_check_fence(&self, group: GroupId, epoch: Epoch) -> Option<Fence> {
        let task = LeasedTask::HealthChecks(group).id();
        self.fencing_enabled.then_some(Fence { task, epoch })
    }

    /// Records that a database host rejected the fencing token of a group's health check. This gateway then no longer
    /// holds the lease. Returns the datagrams to send.
    pub fn token_rejected(&self, group: GroupId) -> Vec<OutgoingDatagram> {
        increment(&self.metrics.leases.fenced);
        let mut manager = self.manager.borrow_mut();
        manager.token_rejected(self.now(), LeasedTask::HealthChecks(group).id());
        self.carry_out_actions(&mut manager)
    }

    /// Releases all leases because this gateway stops; it claims none any more. Returns the datagrams to send.
    pub fn stop(&self) -> Vec<OutgoingDatagram> {
        let mut manager = self.manager.borrow_mut();
        manager.stop(self.now());
        self.carry_out_actions(&mut manager)
    }

    /// Returns the held leases as one line for the console, with one entry for each lease: `group:epoch`,
    /// `drain-host:epoch`, `list:epoch` or `plan:epoch`.
    pub fn status_line(&self) -> String {
        let held = self.manager.borrow().held_leases(self.now());
        let tasks: Vec<String> = held.iter().map(format_held_lease).collect();
        format!("duties owned={} {}", tasks.len(), tasks.join(" "))
    }

    fn carry_out_actions(&self, manager: &mut LeaseManager) -> Vec<OutgoingDatagram> {
        for action in manager.drain_actions() {
            match action {
                Action::Send { to, bytes } => self.outbox.push(to, bytes),
                Action::Acquired {
                    task,
                    epoch,
                    change,
                } => {
                    increment(&self.metrics.leases.acquired);
                    let (task, reason) = (LeasedTask::from_id(task), change_reason(change));
                    log!("leases: this gateway holds the lease on {task} under epoch {epoch} ({reason})");
                }
                Action::Lost {
                    task,
                    epoch,
                    change,
                } => {
                    increment(&self.metrics.leases.lost);
                    let (task, reason) = (LeasedTask::from_id(task), change_reason(change));
                    log!("leases: this gateway no longer holds the lease on {task} under epoch {epoch} ({reason})");
                }
            }
        }
        self.outbox.take()
    }
}

/// Formats one held lease for the console.
fn format_held_lease(held: &HeldLease) -> String {
    let epoch = held.epoch;
    match LeasedTask::from_id(held.task) {
        LeasedTask::HealthChecks(GroupId(group)) => format!("{group}:{epoch}"),
        LeasedTask::HostDrain(host) => format!("drain-{host}:{epoch}"),
        LeasedTask::EndpointWatch => format!("list:{epoch}"),
        LeasedTask::SiteFailover => format!("plan:{epoch}"),
    }
}

/// Describes for the log why a lease was acquired or lost.
fn change_reason(change: LeaseChange) -> String {
    match change {
        LeaseChange::Vacant => "it was vacant".into(),
        LeaseChange::TakenOver(previous) => format!(
            "taken over from gateway {}, generation {}",
            previous.gateway, previous.generation
        ),
        LeaseChange::Expired => "it expired before it was renewed".into(),
        LeaseChange::Superseded => "superseded by a later epoch".into(),
        LeaseChange::HandedOver(gateway) => {
            format!("handed over to gateway {gateway}, the first candidate")
        }
        LeaseChange::Stopped => "this gateway stops, or is in a minority partition".into(),
        LeaseChange::TaskRemoved => "the task no longer exists".into(),
    }
}
