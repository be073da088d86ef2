//! Health checks shared between gateways: runs rounds of health checks on behalf of all gateways,
//! and receives the results of the rounds of others.
//!
//! `irisrouter_gossip::health_check_schedule` decides when this gateway runs a round, and
//! `irisrouter_gossip::message` encodes the results. Results are posted to the router as events.
//! Results for a host that is not in this gateway's own endpoint list are ignored.

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

/// How long the results of a round are collected before they are sent together. Without this limit,
/// one unresponsive host would delay the results of all other hosts of the group.
const RESULT_BATCH_INTERVAL: Duration = Duration::from_millis(25);
/// Time until this gateway checks for new groups, if no round is due earlier.
const GROUP_REFRESH_INTERVAL: Duration = Duration::from_millis(500);

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
    /// The fencing token of the lease at the start of the round.
    token: Epoch,
}

impl RoundLease {
    /// Returns the lease on the health checks of a group, or `None` if this gateway does not hold
    /// it.
    fn acquire(leases: &Rc<LeaseService>, group: GroupId) -> Option<Self> {
        let token = leases.fencing_token(LeasedTask::HealthChecks(group))?;
        Some(RoundLease {
            leases: Rc::clone(leases),
            group,
            token,
        })
    }

    /// Returns whether this gateway still holds the lease under the same fencing token.
    fn is_held(&self) -> bool {
        let task = LeasedTask::HealthChecks(self.group);
        self.leases.fencing_token(task) == Some(self.token)
    }
}

impl SharedHealthChecks {
    /// Creates the shared health checks, without any groups.
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
        let now = to_unix_nanoseconds(self.clock.now());
        let group_numbers: Vec<i64> = groups.iter().map(|group| group.0).collect();
        let mut schedule = self.schedule.borrow_mut();
        schedule.update_groups(now, &group_numbers);
    }

    /// Starts the rounds that are due, and returns the time until the next one is.
    ///
    /// While this gateway is in the majority partition, it runs the rounds of the groups whose
    /// leases it holds. In a minority partition, or if leases are off, it runs the rounds that the
    /// schedule assigns to it, which depend only on the results that arrived. Two gateways may then
    /// check the same group, but no group is left unchecked.
    pub fn start_due_rounds(self: &Rc<Self>) -> Duration {
        let now = to_unix_nanoseconds(self.clock.now());
        let mut schedule = self.schedule.borrow_mut();
        let leases = self.leases.as_ref().filter(|leases| leases.in_majority());
        let (due_groups, next_due) = match leases {
            Some(leases) => {
                let is_lease_held = |group| {
                    let task = LeasedTask::HealthChecks(GroupId(group));
                    leases.fencing_token(task).is_some()
                };
                (
                    schedule.start_due_leased_rounds(now, is_lease_held),
                    schedule.next_leased_due(is_lease_held),
                )
            }
            None => (schedule.start_due_rounds(now), schedule.next_due()),
        };
        for group in due_groups.into_iter().map(GroupId) {
            let lease = leases.and_then(|leases| RoundLease::acquire(leases, group));
            spawn_local(Rc::clone(self).run_round(group, lease));
        }
        next_due.map_or(GROUP_REFRESH_INTERVAL, |next_due| {
            duration(TimeDelta::from_nanos((next_due - now).0))
        })
    }

    /// Checks the hosts of a group, and shares the results. A round under a lease starts no further
    /// checks once the lease is lost.
    async fn run_round(self: Rc<Self>, group: GroupId, lease: Option<RoundLease>) {
        let mut checks = JoinSet::new();
        for member in self.upstream.members_in_service(group) {
            let health_checks = Rc::clone(&self);
            let lease = lease.clone();
            checks.spawn_local(async move { health_checks.check(member, lease).await });
        }
        let mut deadline = Instant::now() + RESULT_BATCH_INTERVAL;
        while !checks.is_empty() {
            let mut results = Vec::new();
            while let Ok(Some(result)) = timeout_at(deadline, checks.join_next()).await {
                results.extend(result.ok().flatten());
            }
            // Results that arrive after the first batch are sent in further batches of the same
            // duration.
            deadline = Instant::now() + RESULT_BATCH_INTERVAL;
            if !results.is_empty() {
                self.broadcast_results(&results);
                self.router.post(Event::SharedHealthChecks(results));
            }
        }
    }

    /// Checks one host. Returns the result if the host answered with a load report.
    async fn check(
        &self,
        member: MemberId,
        lease: Option<RoundLease>,
    ) -> Option<SharedHealthCheck> {
        // If the process was suspended during the round, another gateway may hold the lease by the
        // time that the round continues.
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

    /// Sends results to all gateways. Lost datagrams are not retransmitted, because a loss only
    /// delays what the other gateways know: those that receive no results run rounds of their own.
    fn broadcast_results(&self, results: &[SharedHealthCheck]) {
        let checked_at = to_unix_nanoseconds(self.clock.now());
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

    /// Converts a result to its message format. Returns `None` for a host that has been removed, or
    /// that did not report its role.
    fn to_message_result(&self, result: &SharedHealthCheck) -> Option<HealthCheckResult> {
        Some(HealthCheckResult {
            host: self.upstream.fleet_host_id(result.member)?,
            position: result.report.position.map(to_unix_nanoseconds),
            primary: result.report.primary?,
            cores_in_use: result.report.cores_in_use,
        })
    }

    /// Processes a datagram of health-check results that `gateway` sent from the address `from`.
    pub fn receive(&self, datagram: &[u8], gateway: GatewayId, from: SocketAddr) {
        let now = self.clock.now();
        if let Some(membership) = &self.membership {
            if !membership.accepts_from(gateway) {
                // Results of a gateway that is down in the membership view are not used.
                increment(&self.metrics.gossip.ignored);
                return;
            }
        }
        match message::decode(datagram, to_unix_nanoseconds(now)) {
            Ok(message) => self.apply_results(&message, gateway, now),
            Err(error) => ignore_datagram(&self.metrics, from, &error),
        }
    }

    /// Posts results to the router, and records their rounds in the schedule.
    fn apply_results(&self, message: &Message, gateway: GatewayId, now: Timestamp) {
        increment(&self.metrics.gossip.received);
        // The clocks of gateways differ, so a time in the future is replaced by the current time.
        let checked_at = to_timestamp(message.checked_at).min(now);
        let mut results = Vec::with_capacity(message.results.len());
        let mut last_group = None;
        for result in &message.results {
            let Some(GroupMember { member, group }) = self.upstream.member_by_fleet_id(result.host)
            else {
                continue;
            };
            // All results of one round are of the same group, so the round is recorded once.
            if last_group.replace(group) != Some(group) {
                let mut schedule = self.schedule.borrow_mut();
                schedule.record_round(group.0, gateway, to_unix_nanoseconds(checked_at));
            }
            results.push(SharedHealthCheck {
                member,
                at: checked_at,
                report: LoadReport {
                    position: (result.position)
                        .map(|position| to_timestamp(position).min(checked_at)),
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

/// Converts an instant of the router's clock to the type used in messages.
fn to_unix_nanoseconds(instant: Timestamp) -> UnixNanoseconds {
    UnixNanoseconds(instant.as_nanos())
}

/// Converts an instant from a message to the router's clock. Both count nanoseconds of Unix time.
fn to_timestamp(instant: UnixNanoseconds) -> Timestamp {
    Timestamp::from_nanos(instant.0)
}
