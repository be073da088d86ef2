//! Health checks shared between gateways: the rounds that this gateway runs for all, and the
//! results of the others.
//!
//! `irisrouter_gossip::health_check_schedule` decides when this gateway runs a round, and
//! `irisrouter_gossip::message` is the format of the results. Results go to the router as events. A
//! host that the gateway's own endpoint list does not name stays unknown, whatever other gateways
//! send about it.

use crate::net::cluster::leases::{LeaseService, LeasedTask};
use crate::net::cluster::membership::MembershipService;
use crate::net::cluster::peer_sender::PeerSender;
use crate::net::cluster::peer_socket::{ignore_datagram, Dependencies};
use crate::net::config::Peers;
use crate::net::duration;
use crate::net::metrics::{increment, Metrics};
use crate::net::router_task::RouterHandle;
use crate::net::upstream::{GroupMember, HealthCheck, Upstream};
use crate::net::Clock;
use irisrouter::routing::{
    Event, GroupId, LoadReport, MemberId, Outcome, SharedHealthCheck, TimeDelta, Timestamp,
};
use irisrouter_cluster_types::{Epoch, GatewayId};
use irisrouter_gossip::health_check_schedule::HealthCheckSchedule;
use irisrouter_gossip::message::{self, HealthCheckResult, Message};
use irisrouter_gossip::UnixNanoseconds;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{timeout_at, Instant};

/// How long the results of a round wait for one another before they are sent. Without this limit
/// one silent host would make the results of all the others old.
const RESULT_WAIT: Duration = Duration::from_millis(25);
/// How long this gateway waits before it looks for new groups, where no round is due earlier.
const IDLE_WAIT: Duration = Duration::from_millis(500);

/// Runs rounds of health checks, and shares their results with the other gateways.
pub struct SharedHealthChecks {
    schedule: RefCell<HealthCheckSchedule>,
    sender: PeerSender,
    membership: Option<Rc<MembershipService>>,
    leases: Option<Rc<LeaseService>>,
    router: Rc<RouterHandle>,
    upstream: Rc<Upstream>,
    metrics: Rc<Metrics>,
    clock: Clock,
}

/// The lease under which a round runs.
#[derive(Clone)]
struct RoundLease {
    leases: Rc<LeaseService>,
    group: GroupId,
    /// The fencing token that the lease had when the round started.
    token: Epoch,
}

impl RoundLease {
    /// The lease of a group's health checks; none where this gateway does not hold it.
    fn acquire(leases: &Rc<LeaseService>, group: GroupId) -> Option<Self> {
        let token = leases.fencing_token(LeasedTask::HealthChecks(group))?;
        Some(RoundLease {
            leases: Rc::clone(leases),
            group,
            token,
        })
    }

    /// Whether this gateway still holds the lease with the same token.
    fn is_held(&self) -> bool {
        let task = LeasedTask::HealthChecks(self.group);
        self.leases.fencing_token(task) == Some(self.token)
    }
}

impl SharedHealthChecks {
    /// Health checks without groups, and without rounds so far.
    pub fn new(peers: &Peers, sender: PeerSender, dependencies: &Dependencies) -> Self {
        let gateway_count = peers.gateway_addresses.len() as u32;
        SharedHealthChecks {
            schedule: RefCell::new(HealthCheckSchedule::new(peers.local_gateway, gateway_count)),
            sender,
            membership: dependencies.services.membership.clone(),
            leases: dependencies.services.leases.clone(),
            router: Rc::clone(&dependencies.router),
            upstream: Rc::clone(&dependencies.upstream),
            metrics: Rc::clone(&dependencies.metrics),
            clock: dependencies.clock,
        }
    }

    /// Replaces the groups whose hosts are checked.
    pub fn update_groups(&self, groups: &[GroupId]) {
        let now = unix_nanoseconds(self.clock.now());
        let group_numbers: Vec<i64> = groups.iter().map(|group| group.0).collect();
        let mut schedule = self.schedule.borrow_mut();
        schedule.update_groups(now, &group_numbers);
    }

    /// Starts the rounds that are due, and returns the time until the next one is.
    ///
    /// While this gateway is in the majority, those are the rounds of the groups whose lease it
    /// holds. In a minority, and where leases are off, they are the rounds that the schedule
    /// assigns by the results that arrived: when in doubt a group is checked by two gateways, never
    /// by none.
    pub fn start_due_rounds(self: &Rc<Self>) -> Duration {
        let now = unix_nanoseconds(self.clock.now());
        let mut schedule = self.schedule.borrow_mut();
        let leases = self.leases.as_ref().filter(|leases| leases.in_majority());
        let (due_groups, next_due) = match leases {
            Some(leases) => {
                let holds_lease = |group| {
                    let task = LeasedTask::HealthChecks(GroupId(group));
                    leases.fencing_token(task).is_some()
                };
                (
                    schedule.start_due_leased_rounds(now, holds_lease),
                    schedule.next_leased_due(holds_lease),
                )
            }
            None => (schedule.start_due_rounds(now), schedule.next_due()),
        };
        for group in due_groups.into_iter().map(GroupId) {
            let lease = leases.and_then(|leases| RoundLease::acquire(leases, group));
            spawn_local(Rc::clone(self).run_round(group, lease));
        }
        next_due.map_or(IDLE_WAIT, |next_due| {
            duration(TimeDelta::from_nanos((next_due - now).0))
        })
    }

    /// Checks the hosts of a group, and shares the results. Under a lease it stops once the lease
    /// is lost.
    async fn run_round(self: Rc<Self>, group: GroupId, lease: Option<RoundLease>) {
        let mut checks = JoinSet::new();
        for member in self.upstream.members_in_service(group) {
            let health_checks = Rc::clone(&self);
            let lease = lease.clone();
            checks.spawn_local(async move { health_checks.check(member, lease).await });
        }
        let mut deadline = Instant::now() + RESULT_WAIT;
        while !checks.is_empty() {
            let mut results = Vec::new();
            while let Ok(Some(result)) = timeout_at(deadline, checks.join_next()).await {
                results.extend(result.ok().flatten());
            }
            // Later results are shared as they arrive.
            deadline = Instant::now() + RESULT_WAIT;
            if !results.is_empty() {
                self.share(&results);
                self.router.post(Event::SharedHealthChecks(results));
            }
        }
    }

    /// Checks one host. Returns what it answered, if it did.
    async fn check(
        &self,
        member: MemberId,
        lease: Option<RoundLease>,
    ) -> Option<SharedHealthCheck> {
        // A process that was suspended in the middle of a round continues the round when it
        // resumes, though another gateway may hold the lease by then.
        if lease.as_ref().is_some_and(|lease| !lease.is_held()) {
            return None;
        }
        let fence = lease
            .as_ref()
            .and_then(|lease| lease.leases.health_check_fence(lease.group, lease.token));
        let HealthCheck { event, fenced } =
            self.upstream.health_check_with_fence(member, fence).await;
        if let Some(lease) = lease.filter(|_| fenced) {
            let datagrams = lease.leases.token_rejected(lease.group);
            self.sender.send_all(datagrams, &self.metrics.leases.sent);
        }
        let result = match &event {
            Event::HealthChecked {
                outcome: Outcome::Ok,
                report: Some(report),
                ..
            } => Some(SharedHealthCheck {
                member,
                at: self.clock.now(),
                report: *report,
            }),
            _ => None,
        };
        self.router.post(event);
        result
    }

    /// Sends results to all gateways. A result that is lost only delays what the others know: they
    /// run rounds of their own when none arrive.
    fn share(&self, results: &[SharedHealthCheck]) {
        let checked_at = unix_nanoseconds(self.clock.now());
        for chunk in results.chunks(message::MAX_RESULTS) {
            let results: Vec<HealthCheckResult> = chunk
                .iter()
                .filter_map(|result| self.to_message_result(result))
                .collect();
            if !results.is_empty() {
                let datagram = message::encode(&Message {
                    checked_at,
                    results,
                });
                self.sender.broadcast(&datagram, &self.metrics.gossip.sent);
            }
        }
    }

    /// The result as it is sent; none for a host that has been removed, or that did not report its
    /// role.
    fn to_message_result(&self, result: &SharedHealthCheck) -> Option<HealthCheckResult> {
        Some(HealthCheckResult {
            host: self.upstream.fleet_host_id(result.member)?,
            position: result.report.position.map(unix_nanoseconds),
            primary: result.report.primary?,
            cores_in_use: result.report.cores_in_use,
        })
    }

    /// Receives the results of gateway `gateway`, which sent them from address `from`.
    pub fn receive(&self, datagram: &[u8], gateway: GatewayId, from: SocketAddr) {
        let now = self.clock.now();
        if let Some(membership) = &self.membership {
            if !membership.accepts_from(gateway) {
                // Results of a gateway that is held to be down stop counting at once.
                increment(&self.metrics.gossip.ignored);
                return;
            }
        }
        match message::decode(datagram, unix_nanoseconds(now)) {
            Ok(message) => self.apply(&message, gateway, now),
            Err(error) => ignore_datagram(&self.metrics, from, &error),
        }
    }

    /// Hands results to the router, and records the rounds that they come from.
    fn apply(&self, message: &Message, gateway: GatewayId, now: Timestamp) {
        increment(&self.metrics.gossip.received);
        // Clocks differ a little: no result counts as made in the future.
        let checked_at = timestamp(message.checked_at).min(now);
        let mut results = Vec::with_capacity(message.results.len());
        let mut last_group = None;
        for result in &message.results {
            let Some(GroupMember { member, group }) = self.upstream.member_by_fleet_id(result.host)
            else {
                continue;
            };
            // The results of a round are of one group.
            if last_group.replace(group) != Some(group) {
                let mut schedule = self.schedule.borrow_mut();
                schedule.record_round(group.0, gateway, unix_nanoseconds(checked_at));
            }
            results.push(SharedHealthCheck {
                member,
                at: checked_at,
                report: LoadReport {
                    position: (result.position).map(|position| timestamp(position).min(checked_at)),
                    primary: Some(result.primary),
                    in_flight: None,
                    cores_in_use: result.cores_in_use,
                },
            });
        }
        if !results.is_empty() {
            self.router.post(Event::SharedHealthChecks(results));
        }
    }
}

/// An instant of the router's clock as the shared results carry it.
fn unix_nanoseconds(instant: Timestamp) -> UnixNanoseconds {
    UnixNanoseconds(instant.as_nanos())
}

/// An instant of a shared result on the router's clock: both count Unix time.
fn timestamp(instant: UnixNanoseconds) -> Timestamp {
    Timestamp::from_nanos(instant.0)
}
