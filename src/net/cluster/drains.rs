//! The drain service, which runs the drain coordinator of `irisrouter_drain_coordination` on this gateway.
//!
//! The service passes datagrams, the current time, the membership view, this gateway's leases and its requests in
//! flight to the coordinator. It carries out the coordinator's actions: it queues datagrams for the peer socket, writes
//! log lines, and takes hosts out of service.

use crate::net::cluster::leases::{LeaseService, LeasedTask};
use crate::net::cluster::membership::MembershipService;
use crate::net::cluster::outbox::{Outbox, OutgoingDatagram};
use crate::net::cluster::service_clock::ServiceClock;
use crate::net::log::log;
use crate::net::metrics::{increment, Metrics};
use crate::net::unix_milliseconds;
use crate::net::upstream::Upstream;
use irisrouter_cluster_types::{Epoch, GatewayId, HostId, Milliseconds, UnixMilliseconds};
use irisrouter_drain_coordination::{
    Action, CommandLogError, CommandStatus, Completion, CompletionOrigin, DesiredState,
    DrainCommand, DrainCoordinator, LocalState, Progress, ReplicationProgress, Settings,
};
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{oneshot, Notify};

/// How far an operator's command was replicated. The console answers with its `Display` text.
#[derive(Debug)]
pub struct CommandReplication {
    host_name: String,
    desired_state: DesiredState,
    followers: usize,
    fleet_size: u32,
}

impl fmt::Display for CommandReplication {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = match self.desired_state {
            DesiredState::Drained => "out of",
            DesiredState::InService => "back in",
        };
        write!(
            formatter,
            "{} is to be {state} service; {} of {} gateways follow",
            self.host_name, self.followers, self.fleet_size
        )
    }
}

/// Error returned if an operator's command was rejected, or was not replicated to a majority of the gateways. The
/// console answers with its `Display` text.
#[derive(Debug, Error)]
pub enum DrainCommandError {
    /// The endpoint list has no host of this name.
    #[error("the list names no host {host_name}")]
    UnknownHost {
        /// Name of the host as the operator gave it.
        host_name: String,
    },
    /// Without this host its group would have no host in service.
    #[error("{host_name} is the last host of its set in service")]
    LastHostInGroup {
        /// Name of the host as the operator gave it.
        host_name: String,
    },
    /// Too many commands for other hosts are not complete yet.
    #[error(transparent)]
    CommandLog(#[from] CommandLogError),
    /// Another operator at this gateway issued a command for the host before a majority followed this one.
    #[error("another word on that host came in between")]
    Superseded,
    /// No majority of the gateways followed the command before the replication timeout. The command stays in force at
    /// the gateways that follow it, and continues to be announced.
    #[error("{0}, which is no majority: it holds there, and goes on being told")]
    NoMajority(CommandReplication),
}

/// Answers the coordinator's queries about the state of this gateway.
struct LocalGateway {
    leases: Rc<LeaseService>,
    upstream: Rc<Upstream>,
}

impl LocalState for LocalGateway {
    fn fencing_token(&self, host: HostId) -> Option<Epoch> {
        self.leases.fencing_token(LeasedTask::HostDrain(host))
    }

    fn requests_in_flight(&self, host: HostId) -> u32 {
        u32::try_from(self.upstream.requests_in_flight(host)).unwrap_or(u32::MAX)
    }
}

/// The drain service of one gateway.
pub struct DrainService {
    coordinator: RefCell<DrainCoordinator>,
    membership: Rc<MembershipService>,
    local_state: LocalGateway,
    clock: ServiceClock,
    outbox: Outbox,
    metrics: Rc<Metrics>,
    /// For each host, the sender to the operator who waits until a majority follows the command.
    waiting_operators: RefCell<HashMap<HostId, oneshot::Sender<ReplicationProgress>>>,
    /// Notified when an operator has issued a command, so that the peer socket sends it.
    command_issued: Notify,
}

impl DrainService {
    /// Starts the service without any drains. `gateways` has the address of each gateway, indexed by gateway id.
    pub fn new(
        membership: Rc<MembershipService>,
        leases: Rc<LeaseService>,
        upstream: Rc<Upstream>,
        gateways: Vec<SocketAddr>,
        lease_duration: Milliseconds,
        metrics: Rc<Metrics>,
    ) -> Self {
        let settings = Settings::for_lease(gateways.len() as u32, lease_duration);
        let coordinator = DrainCoordinator::new(membership.local_gateway(), settings);
        Self {
            coordinator: RefCell::new(coordinator),
            membership,
            local_state: LocalGateway { leases, upstream },
            clock: ServiceClock::start(),
            outbox: Outbox::new(gateways),
            metrics,
            waiting_operators: RefCell::default(),
            command_issued: Notify::new(),
        }
    }

    /// Returns the hosts whose drains need a coordinator.
    pub fn drains_to_coordinate(&self) -> Vec<HostId> {
        self.coordinator.borrow().drains_to_coordinate()
    }

    /// Processes a datagram from gateway `from`. Returns the datagrams to send.
    pub fn receive(&self, datagram: &[u8], from: GatewayId) -> Vec<OutgoingDatagram> {
        let mut coordinator = self.coordinator.borrow_mut();
        coordinator.update_fleet(self.membership.alive_or_suspect_processes());
        if let Err(error) = coordinator.receive(self.clock.now(), from, datagram, &self.local_state)
        {
            increment(&self.metrics.gossip.ignored);
            log!("drains: a datagram from gateway {from} is ignored: {error}");
        }
        self.carry_out_actions(&mut coordinator)
    }

    /// Does the work that is due. Returns the datagrams to send.
    pub fn advance(&self) -> Vec<OutgoingDatagram> {
        let mut coordinator = self.coordinator.borrow_mut();
        coordinator.update_fleet(self.membership.alive_or_suspect_processes());
        coordinator.advance(self.clock.now(), &self.local_state);
        self.carry_out_actions(&mut coordinator)
    }

    /// Returns the time until [`DrainService::advance`] has work due.
    pub fn due(&self) -> Duration {
        let now = self.clock.now();
        let next_due = self.coordinator.borrow().next_due(now);
        ServiceClock::time_until(now, next_due)
    }

    /// Waits until an operator has issued a command, so that [`DrainService::advance`] has work.
    pub async fn send_requested(&self) {
        self.command_issued.notified().await;
    }

    /// Issues an operator's command, and waits until a majority of the gateways follows it or the replication times
    /// out.
    ///
    /// # Errors
    ///
    /// Returns an error if the command is rejected or superseded, or if no majority of the gateways follows it in time.
    pub async fn command(
        &self,
        host_name: &str,
        desired_state: DesiredState,
    ) -> Result<CommandReplication, DrainCommandError> {
        let host = self.resolve_host(host_name, desired_state)?;
        let replicated = self.issue(host, desired_state)?;
        let progress = replicated
            .await
            .map_err(|_| DrainCommandError::Superseded)?;
        let replication = CommandReplication {
            host_name: host_name.to_string(),
            desired_state,
            followers: progress.followers,
            fleet_size: self.membership.fleet_size(),
        };
        if progress.majority {
            Ok(replication)
        } else {
            Err(DrainCommandError::NoMajority(replication))
        }
    }

    /// Issues a command at this gateway. Returns the receiver of its replication progress, on which the operator waits.
    fn issue(
        &self,
        host: HostId,
        desired_state: DesiredState,
    ) -> Result<oneshot::Receiver<ReplicationProgress>, CommandLogError> {
        let wall_clock = UnixMilliseconds(unix_milliseconds());
        self.coordinator
            .borrow_mut()
            .issue(self.clock.now(), wall_clock, host, desired_state)?;
        let (sender, receiver) = oneshot::channel();
        // A second command for the same host replaces the sender of the first, so that the first operator's receiver
        // returns an error.
        self.waiting_operators.borrow_mut().insert(host, sender);
        self.command_issued.notify_one();
        Ok(receiver)
    }

    /// Returns the host that an operator named, if the command is allowed for it.
    fn resolve_host(
        &self,
        host_name: &str,
        desired_state: DesiredState,
    ) -> Result<HostId, DrainCommandError> {
        let upstream = &self.local_state.upstream;
        let host = upstream
            .member_by_name(host_name)
            .and_then(|member| upstream.fleet_host_id(member))
            .ok_or_else(|| DrainCommandError::UnknownHost {
                host_name: host_name.to_string(),
            })?;
        if desired_state == DesiredState::Drained && !upstream.can_spare(host) {
            return Err(DrainCommandError::LastHostInGroup {
                host_name: host_name.to_string(),
            });
        }
        Ok(host)
    }

    /// Returns all drains as one line for the console, with one entry for each: `host:back`; `host:done` with the
    /// number of gateways that did not report; `host:draining` with the number of requests in flight and of gateways
    /// that have yet to report; or `host:elsewhere` if another gateway coordinates the drain.
    pub fn status_line(&self) -> String {
        let coordinator = self.coordinator.borrow();
        let drains: Vec<String> = coordinator
            .commands()
            .map(|status| self.drain_status(status))
            .collect();
        format!("drains {}", drains.join(" "))
            .trim_end()
            .to_string()
    }

    fn drain_status(&self, status: CommandStatus) -> String {
        let CommandStatus { command, progress } = status;
        let name = self.local_state.upstream.host_name(command.host);
        match progress {
            Progress::Completed(_) if !command.drains() => format!("{name}:back"),
            Progress::Completed(Completion { unacknowledged, .. }) => {
                format!("{name}:done,unheard={unacknowledged}")
            }
            Progress::Draining {
                requests_in_flight,
                unacknowledged,
            } => format!("{name}:draining,open={requests_in_flight},unheard={unacknowledged}"),
            Progress::NotCoordinator => format!("{name}:elsewhere"),
        }
    }

    fn carry_out_actions(&self, coordinator: &mut DrainCoordinator) -> Vec<OutgoingDatagram> {
        for action in coordinator.take_actions() {
            match action {
                Action::Send { to, bytes } => self.outbox.push(to, bytes),
                Action::Follow(command) => self.follow(command),
                Action::Replicated { host, progress } => self.send_progress(host, progress),
                Action::Completed {
                    command,
                    completion,
                    origin,
                } => self.record_completion(command, completion, origin),
            }
        }
        self.outbox.take()
    }

    fn follow(&self, command: DrainCommand) {
        let name = self.local_state.upstream.host_name(command.host);
        let change = match command.desired_state {
            DesiredState::Drained => "taken out of",
            DesiredState::InService => "put back into",
        };
        let issuer = command.issued_by;
        log!("drains: {name} is {change} service by the command of gateway {issuer}");
        self.local_state.upstream.apply_drain_command(command);
    }

    fn send_progress(&self, host: HostId, progress: ReplicationProgress) {
        if let Some(sender) = self.waiting_operators.borrow_mut().remove(&host) {
            // The send fails if the operator has closed the connection, which needs no handling.
            let _ = sender.send(progress);
        }
    }

    fn record_completion(
        &self,
        command: DrainCommand,
        completion: Completion,
        origin: CompletionOrigin,
    ) {
        let name = self.local_state.upstream.host_name(command.host);
        let result = match command.desired_state {
            DesiredState::Drained => "is drained, no gateway has requests in flight there",
            DesiredState::InService => "is back in service at all gateways",
        };
        let source = match origin {
            CompletionOrigin::ThisGateway => "completed here",
            CompletionOrigin::OtherGateway => "completion received",
        };
        if origin == CompletionOrigin::ThisGateway {
            increment(&self.metrics.drains.completed);
        }
        let Completion {
            epoch,
            unacknowledged,
        } = completion;
        log!("drains: {name} {result} ({source}, epoch {epoch}, {unacknowledged} gateways unacknowledged)");
    }
}
