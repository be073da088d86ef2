//! The fleet's watch of the endpoint list: `irisrouter_endpoint_watch` connected to this gateway.
//!
//! The watcher gets heartbeats, the time, this gateway's lease and the position of its list; discovery asks here what to
//! do next, and the peer socket asks for the heartbeat to send.

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

/// A gateway that waits decides anew after this time at most: it may have got the lease of the watch meanwhile.
const DECISION_INTERVAL: Duration = Duration::from_millis(200);
/// How discovery is to call for the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollKind {
    /// The service holds the call until there is a change.
    Watch,
    /// The service answers at once.
    Fetch,
}

/// Who watches for this gateway: for the log.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Role {
    /// This gateway, for all or for itself.
    Watching,
    /// Another gateway.
    Waiting,
}

/// The fleet's watch of the endpoint list, as one gateway takes part in it.
pub struct EndpointWatchService {
    watcher: RefCell<EndpointWatcher>,
    membership: Rc<MembershipService>,
    leases: Rc<LeaseService>,
    upstream: Rc<Upstream>,
    metrics: Rc<Metrics>,
    clock: ServiceClock,
    /// The role that was logged last.
    role: Cell<Option<Role>>,
    /// A heartbeat that counts has arrived: discovery decides anew.
    heartbeat_received: Notify,
    /// This gateway's own call has ended: a heartbeat may be due.
    call_ended: Notify,
}

impl EndpointWatchService {
    /// A gateway that has received no heartbeat.
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

    /// The fencing token of the watch, where this gateway holds its lease.
    fn fencing_token(&self) -> Option<Epoch> {
        self.leases.fencing_token(LeasedTask::EndpointWatch)
    }

    /// What this gateway knows of itself, with a list of this revision.
    fn local_state(&self, revision: Option<Revision>, needs_full_list: bool) -> LocalState {
        let local_gateway = self.membership.local_gateway();
        let lower_numbers = self
            .membership
            .not_down()
            .into_iter()
            .filter(|&gateway| gateway < local_gateway);
        LocalState {
            fencing_token: self.fencing_token(),
            revision,
            needs_full_list,
            rank: lower_numbers.count() as u64,
        }
    }

    /// Takes a heartbeat of gateway `from`.
    pub fn receive(&self, datagram: &[u8], from: GatewayId) {
        let heartbeat = match codec::decode(datagram) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                increment(&self.metrics.gossip.ignored);
                log!("endpoint watch: a datagram from gateway {from} is ignored: {error}");
                return;
            }
        };
        let counts = self.watcher.borrow_mut().receive_heartbeat(
            self.clock.now(),
            heartbeat.epoch,
            heartbeat.revision,
        );
        if counts {
            self.upstream
                .apply_watch_heartbeat(heartbeat.revision, heartbeat.hosts_out_of_service);
            self.heartbeat_received.notify_one();
        }
    }

    /// The heartbeat that all other gateways are to get now, where one is due.
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

    /// The time until [`EndpointWatchService::heartbeat`] may return one.
    pub fn due(&self) -> Duration {
        let now = self.clock.now();
        let holds_lease = self.fencing_token().is_some();
        let next = self.watcher.borrow().next_heartbeat_at(now, holds_lease);
        ServiceClock::time_until(now, next)
    }

    /// Waits until a call for the list has ended, so that a heartbeat may be due.
    pub async fn send_requested(&self) {
        self.call_ended.notified().await;
    }

    /// This gateway's own call was answered, or failed.
    pub fn call_ended(&self, answered: bool) {
        self.watcher.borrow_mut().record_call(answered);
        self.call_ended.notify_one();
    }

    /// Waits until this gateway is to call, and returns how.
    pub async fn wait_for_poll(&self, position: &ListPosition) -> PollKind {
        loop {
            let pause = match self.decide_poll(position) {
                PollDecision::Watch => return self.start_watch(),
                PollDecision::Fetch => return self.start_fetch(),
                PollDecision::Wait(pause) => Duration::from(pause),
            };
            self.log_role(Role::Waiting);
            let pause = pause.min(DECISION_INTERVAL);
            // A heartbeat and the end of the pause are alike: the gateway decides anew.
            let _ = timeout(pause, self.heartbeat_received.notified()).await;
        }
    }

    /// Waits until another gateway watches for this one, so that a watch of its own is of no use.
    pub async fn superseded(&self, position: &ListPosition) {
        loop {
            self.heartbeat_received.notified().await;
            let local = self.local_state(position.revision, position.needs_full_list);
            if self.watcher.borrow().is_superseded(self.clock.now(), local) {
                return;
            }
        }
    }

    /// How this gateway is to call now; none where it is to wait first.
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

    /// Logs one line where this gateway begins to wait, or to watch.
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
