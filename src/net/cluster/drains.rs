//! The drains of database hosts: `irisrouter_drain_coordination` connected to this gateway.
//!
//! The coordinator gets the datagrams, the time, the view of membership, this gateway's leases and its requests in flight.
//! Its actions are carried out here: datagrams for the peer socket, log lines, and the hosts taken out of service.

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

/// What became of an operator's command; its text is the console's answer.
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

/// Why an operator's command does not hold, or not at a majority of the gateways; its text is the console's answer.
#[derive(Debug, Error)]
pub enum DrainCommandError {
    /// The endpoint list has no host of this name.
    #[error("the list names no host {host_name}")]
    UnknownHost {
        /// The name that the operator gave.
        host_name: String,
    },
    /// Its set would have no host in service.
    #[error("{host_name} is the last host of its set in service")]
    LastHostOfSet {
        /// The name that the operator gave.
        host_name: String,
    },
    /// Commands for too many other hosts are not complete yet.
    #[error(transparent)]
    CommandLog(#[from] CommandLogError),
    /// Another operator issued a command for the host before a quorum followed this one.
    #[error("another word on that host came in between")]
    Superseded,
    /// In time no majority of the gateways followed; it holds at those that do, and goes on being announced.
    #[error("{0}, which is no majority: it holds there, and goes on being told")]
    NoMajority(CommandReplication),
}

/// What the coordinator asks about this gateway.
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

/// The drains of database hosts, as one gateway knows them.
pub struct DrainService {
    coordinator: RefCell<DrainCoordinator>,
    membership: Rc<MembershipService>,
    local: LocalGateway,
    clock: ServiceClock,
    outbox: Outbox,
    metrics: Rc<Metrics>,
    /// Operators who wait until a quorum follows their commands, by host.
    waiting_operators: RefCell<HashMap<HostId, oneshot::Sender<ReplicationProgress>>>,
    /// Wakes the peer socket once an operator has issued a command.
    command_issued: Notify,
}

impl DrainService {
    /// A gateway that knows of no drain yet; `gateways` are the addresses of the fleet's list.
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
            local: LocalGateway { leases, upstream },
            clock: ServiceClock::start(),
            outbox: Outbox::new(gateways),
            metrics,
            waiting_operators: RefCell::default(),
            command_issued: Notify::new(),
        }
    }

    /// The hosts whose drains need a coordinator.
    pub fn drains_to_coordinate(&self) -> Vec<HostId> {
        self.coordinator.borrow().drains_to_coordinate()
    }

    /// Takes a datagram from gateway `from`; returns what is to be sent.
    pub fn receive(&self, datagram: &[u8], from: GatewayId) -> Vec<OutgoingDatagram> {
        let mut coordinator = self.coordinator.borrow_mut();
        coordinator.update_fleet(self.membership.not_down_processes());
        if let Err(error) = coordinator.receive(self.clock.now(), from, datagram, &self.local) {
            increment(&self.metrics.gossip.ignored);
            log!("drains: a datagram from gateway {from} is ignored: {error}");
        }
        self.carry_out(&mut coordinator)
    }

    /// Does what is due; returns what is to be sent.
    pub fn advance(&self) -> Vec<OutgoingDatagram> {
        let mut coordinator = self.coordinator.borrow_mut();
        coordinator.update_fleet(self.membership.not_down_processes());
        coordinator.advance(self.clock.now(), &self.local);
        self.carry_out(&mut coordinator)
    }

    /// The time until [`DrainService::advance`] has work.
    pub fn due(&self) -> Duration {
        let now = self.clock.now();
        let next_due = self.coordinator.borrow().next_due(now);
        ServiceClock::time_until(now, next_due)
    }

    /// Waits until an operator has issued a command, so that [`DrainService::advance`] has work.
    pub async fn send_requested(&self) {
        self.command_issued.notified().await;
    }

    /// Carries out an operator's command, and waits until a majority of the gateways follows it.
    ///
    /// # Errors
    ///
    /// The command does not hold, or too few gateways follow it so far.
    pub async fn command(
        &self,
        host_name: &str,
        desired_state: DesiredState,
    ) -> Result<CommandReplication, DrainCommandError> {
        let host = self.host_to_command(host_name, desired_state)?;
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

    /// Issues a command at this gateway; returns the receiver of the answer to its operator.
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
        // A second operator with a command for the same host takes the first one's place, whose receiver then fails.
        self.waiting_operators.borrow_mut().insert(host, sender);
        self.command_issued.notify_one();
        Ok(receiver)
    }

    /// The host that an operator named, where the command may hold there.
    fn host_to_command(
        &self,
        host_name: &str,
        desired_state: DesiredState,
    ) -> Result<HostId, DrainCommandError> {
        let upstream = &self.local.upstream;
        let host = upstream
            .member_by_name(host_name)
            .and_then(|member| upstream.fleet_host_id(member))
            .ok_or_else(|| DrainCommandError::UnknownHost {
                host_name: host_name.to_string(),
            })?;
        if desired_state == DesiredState::Drained && !upstream.can_spare(host) {
            return Err(DrainCommandError::LastHostOfSet {
                host_name: host_name.to_string(),
            });
        }
        Ok(host)
    }

    /// All drains as one line: `host:back`, `host:done` with the gateways that did not report, `host:draining` with the
    /// requests in flight and the gateways that have yet to report, or `host:elsewhere` where another gateway coordinates.
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
        let name = self.local.upstream.host_name(command.host);
        match progress {
            Progress::Completed(_) if !command.drains() => format!("{name}:back"),
            Progress::Completed(Completion { unacknowledged, .. }) => {
                format!("{name}:done,unheard={unacknowledged}")
            }
            Progress::Draining {
                requests_in_flight,
                unacknowledged,
            } => format!("{name}:draining,open={requests_in_flight},unheard={unacknowledged}"),
            Progress::Elsewhere => format!("{name}:elsewhere"),
        }
    }

    fn carry_out(&self, coordinator: &mut DrainCoordinator) -> Vec<OutgoingDatagram> {
        for action in coordinator.take_actions() {
            match action {
                Action::Send { to, bytes } => self.outbox.push(to, bytes),
                Action::Follow(command) => self.follow(command),
                Action::Replicated { host, progress } => self.answer_operator(host, progress),
                Action::Completed {
                    command,
                    completion,
                    origin,
                } => self.report_completion(command, completion, origin),
            }
        }
        self.outbox.take()
    }

    fn follow(&self, command: DrainCommand) {
        let name = self.local.upstream.host_name(command.host);
        let change = match command.desired_state {
            DesiredState::Drained => "taken out of",
            DesiredState::InService => "put back into",
        };
        let issuer = command.issued_by;
        log!("drains: {name} is {change} service by the command of gateway {issuer}");
        self.local.upstream.apply_drain_command(command);
    }

    fn answer_operator(&self, host: HostId, progress: ReplicationProgress) {
        if let Some(operator) = self.waiting_operators.borrow_mut().remove(&host) {
            // An operator who has closed the connection needs no answer.
            let _ = operator.send(progress);
        }
    }

    fn report_completion(
        &self,
        command: DrainCommand,
        completion: Completion,
        origin: CompletionOrigin,
    ) {
        let name = self.local.upstream.host_name(command.host);
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
