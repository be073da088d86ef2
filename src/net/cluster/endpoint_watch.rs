//! The endpoint-watch service, which runs the watcher of `irisrouter_endpoint_watch` on this gateway: one gateway
//! watches the endpoint list for the whole fleet.
//!
//! The service passes heartbeats, the current time, this gateway's lease and the revision of its list to the watcher.
//! Discovery asks the service how to poll the endpoint list next, and the peer socket asks it for heartbeats to send.

use crate::net::cluster::leases::{LeaseService, LeasedTask};
use crate::net::cluster::membership::MembershipService;
use crate::net::cluster::service_clock::ServiceClock;
use crate::net::endpoint_list::ListPosition;
use crate::net::log::log;
use crate::net::metrics::{increment, Metrics};
use crate::net::upstream::Upstream;
use irisrouter_cluster_types::{Epoch, GatewayId, Milliseconds};
use irisrouter_endpoint_watch::{
    codec, EndpointWatcher, LocalState, PollDecision, Revision, Settings, MAX_HOSTS_OUT_OF_SERVICE,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Maximum time until a waiting gateway decides again how to poll, because it may have acquired the lease of the watch
/// meanwhile.
const DECISION_INTERVAL: Duration = Duration::from_millis(200);
/// How discovery requests the endpoint list from the discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollKind {
    /// A long poll: the discovery service answers when the list changes.
    Watch,
    /// The discovery service answers immediately.
    Fetch,
}

/// Which gateway watches the list for this one, as logged.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Role {
    /// This gateway watches the list, for the fleet or only for itself.
    Watching,
    /// Another gateway watches the list.
    Waiting,
}

/// The endpoint-watch service of one gateway.
pub struct EndpointWatchService {
    watcher: RefCell<EndpointWatcher>,
    membership: Rc<MembershipService>,
    leases: Rc<LeaseService>,
    upstream: Rc<Upstream>,
    metrics: Rc<Metrics>,
    clock: ServiceClock,
    /// The last logged role, so that only changes are logged.
    role: Cell<Option<Role>>,
    /// Notified when a heartbeat was accepted, so that discovery decides again how to poll.
    heartbeat_received: Notify,
    /// Notified when this gateway's own poll has ended, because a heartbeat may be due then.
    call_ended: Notify,
}

impl EndpointWatchService {
    /// Starts the service without any received heartbeat.
    pub fn new(
        membership: Rc<MembershipService>,
        leases: Rc<LeaseService>,
        upstream: Rc<Upstream>,
        lease_ms: u64,
        metrics: Rc<Metrics>,
    ) -> Self {
        let settings = Settings::for_lease(Milliseconds(lease_ms));
        log!("endpoint watch: on, one gateway watches the endpoint list for all");
        Self {
            watcher: RefCell::new(EndpointWatcher::new(settings)),
            membership,
            leases,
            upstream,
            metrics,
            clock: ServiceClock::start(),
            role: Cell::new(None),
            heartbeat_received: Notify::new(),
            call_ended: Notify::new(),
        }
    }

    /// Returns the fencing token of the watch, or `None` if this gateway does not hold its lease.
    fn fencing_token(&self) -> Option<Epoch> {
        self.leases.fencing_token(LeasedTask::EndpointWatch)
    }

    /// Returns the state of this gateway that the watcher's decisions depend on.
    fn local_state(&self, revision: Option<Revision>, needs_full_list: bool) -> LocalState {
        let local_gateway = self.membership.local_gateway();
        let gateways_before = self
            .membership
            .alive_or_suspect_gateways()
            .into_iter()
            .filter(|&gateway| gateway < local_gateway);
        LocalState {
            fencing_token: self.fencing_token(),
            revision,
            needs_full_list,
            rank: gateways_before.count() as u64,
        }
    }

    /// Processes a heartbeat datagram from gateway `from`.
    pub fn receive(&self, datagram: &[u8], from: GatewayId) {
        let heartbeat = match codec::decode(datagram) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                increment(&self.metrics.gossip.ignored);
                log!("endpoint watch: a datagram from gateway {from} is ignored: {error}");
                return;
            }
        };
        let is_accepted = self.watcher.borrow_mut().receive_heartbeat(
            self.clock.now(),
            heartbeat.epoch,
            heartbeat.revision,
        );
        if is_accepted {
            self.upstream
                .apply_watch_heartbeat(heartbeat.revision, heartbeat.hosts_out_of_service);
            self.heartbeat_received.notify_one();
        }
    }

    /// Returns the encoded heartbeat to broadcast, or `None` if none is due.
    pub fn heartbeat(&self) -> Option<Vec<u8>> {
        let local = self.local_state(Some(self.upstream.revision()), false);
        let hosts_out_of_service = || self.upstream.out_of_service(MAX_HOSTS_OUT_OF_SERVICE);
        let heartbeat = self.watcher.borrow_mut().due_heartbeat(
            self.clock.now(),
            local,
            hosts_out_of_service,
        )?;
        Some(codec::encode(&heartbeat))
    }

    /// Returns the time until a heartbeat may be due.
    pub fn due(&self) -> Duration {
        let now = self.clock.now();
        let holds_lease = self.fencing_token().is_some();
        let next_heartbeat_at = self.watcher.borrow().next_heartbeat_at(now, holds_lease);
        ServiceClock::time_until(now, next_heartbeat_at)
    }

    /// Waits until a poll of the list has ended, because a heartbeat may be due then.
    pub async fn send_requested(&self) {
        self.call_ended.notified().await;
    }

    /// Records that this gateway's own poll has ended, and whether it was answered.
    pub fn call_ended(&self, answered: bool) {
        self.watcher.borrow_mut().record_call(answered);
        self.call_ended.notify_one();
    }

    /// Waits until this gateway is to poll the list, and returns how it polls.
    pub async fn wait_for_poll(&self, position: &ListPosition) -> PollKind {
        loop {
            let delay = match self.decide_poll(position) {
                PollDecision::Watch => return self.start_watch(),
                PollDecision::Fetch => return self.start_fetch(),
                PollDecision::Wait(delay) => Duration::from(delay),
            };
            self.log_role(Role::Waiting);
            let delay = delay.min(DECISION_INTERVAL);
            // Whether a heartbeat arrived or the timeout expired, the gateway decides again.
            let _ = timeout(delay, self.heartbeat_received.notified()).await;
        }
    }

    /// Waits until another gateway watches a list that is at least as new as this gateway's, so that this gateway's own
    /// watch is no longer needed.
    pub async fn superseded(&self, position: &ListPosition) {
        loop {
            self.heartbeat_received.notified().await;
            let local = self.local_state(position.revision, position.needs_full_list);
            if self.watcher.borrow().is_superseded(self.clock.now(), local) {
                return;
            }
        }
    }

    /// Returns how this gateway is to poll the list now, or `None` if it is to wait first.
    pub fn next_poll(&self, position: &ListPosition) -> Option<PollKind> {
        match self.decide_poll(position) {
            PollDecision::Watch => Some(self.start_watch()),
            PollDecision::Fetch => Some(self.start_fetch()),
            PollDecision::Wait(_) => None,
        }
    }

    fn decide_poll(&self, position: &ListPosition) -> PollDecision {
        let local = self.local_state(position.revision, position.needs_full_list);
        self.watcher
            .borrow_mut()
            .decide_poll(self.clock.now(), local)
    }

    fn start_watch(&self) -> PollKind {
        self.log_role(Role::Watching);
        PollKind::Watch
    }

    fn start_fetch(&self) -> PollKind {
        increment(&self.metrics.endpoint_watch.fetches);
        PollKind::Fetch
    }

    /// Logs the role of this gateway if it differs from the last logged one, or is the first.
    fn log_role(&self, role: Role) {
        if self.role.replace(Some(role)) == Some(role) {
            return;
        }
        match (role, self.fencing_token()) {
            (Role::Waiting, _) => {
                log!("endpoint watch: another gateway watches the endpoint list for this one");
            }
            (Role::Watching, Some(epoch)) => {
                log!(
                    "endpoint watch: this gateway watches the endpoint list for all, epoch {epoch}"
                );
            }
            (Role::Watching, None) => {
                log!("endpoint watch: no heartbeat of a watcher, this gateway watches the endpoint list for itself");
            }
        }
    }
}
