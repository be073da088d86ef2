//! The write-intent service, which runs the intent store of `irisrouter_write_intents` on this gateway.
//!
//! The service passes datagrams and the current time to the store. Request tasks record and look up keyed writes
//! through the service, and wait for the outcomes. The service wakes the peer socket when there are datagrams to send.

use crate::net::cluster::membership::MembershipService;
use crate::net::cluster::outbox::{Outbox, OutgoingDatagram};
use crate::net::cluster::service_clock::ServiceClock;
use crate::net::log::log;
use crate::net::metrics::{increment, Metrics};
use crate::net::unix_milliseconds;
use irisrouter_cluster_types::{GatewayId, Timestamp, UnixMilliseconds};
use irisrouter_write_intents::{
    Action, IntentStore, KeyHash, OperationId, Outcome, SequenceNumber,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep, Instant};

const MICROSECONDS_PER_MILLISECOND: u64 = 1_000;
/// How long a record waits until this process knows other gateways. After it the attempt ends as not sent.
const FLEET_WAIT: Duration = Duration::from_millis(300);
/// Interval between two checks whether other gateways are known.
const FLEET_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time from the opening of the peer socket after which this gateway counts as the only one that runs, if it has met no
/// other one.
const JOIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of looking up whether an earlier attempt of a write may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierAttempt {
    /// No earlier attempt was sent to a host.
    NeverSent,
    /// An earlier attempt may have been executed at this time or later.
    MayHaveRun(UnixMilliseconds),
    /// Unknown, because too few of the gateways that store the write's intent have answered.
    Unproven,
}

/// The write-intent service of one gateway. It stores the gateway's own intents, and replicas of the intents of other
/// gateways.
pub struct WriteIntentService {
    store: RefCell<IntentStore>,
    membership: Rc<MembershipService>,
    clock: ServiceClock,
    metrics: Rc<Metrics>,
    /// Senders to the request tasks that wait for the outcome of a record or look-up.
    pending_operations: RefCell<HashMap<OperationId, oneshot::Sender<Outcome>>>,
    outbox: Outbox,
    datagrams_queued: Notify,
    /// Whether clients mark their retries. If they do not, any write may be a retry.
    clients_mark_retries: bool,
    /// When the peer socket was opened; `None` while it is not open. During a hot restart the older process has its
    /// address.
    socket_opened_at: Cell<Option<Instant>>,
}

impl WriteIntentService {
    /// Starts the service without any intents. `gateways` has the address of each gateway, indexed by gateway id.
    pub fn new(
        membership: Rc<MembershipService>,
        gateways: Vec<SocketAddr>,
        clients_mark_retries: bool,
        metrics: Rc<Metrics>,
    ) -> Self {
        log!(
            "write intents: on, keyed writes are recorded with other gateways before they are sent"
        );
        Self {
            store: RefCell::new(IntentStore::new(
                membership.local_gateway(),
                Timestamp::ZERO,
                first_sequence_number(),
            )),
            membership,
            clock: ServiceClock::start(),
            metrics,
            pending_operations: RefCell::default(),
            outbox: Outbox::new(gateways),
            datagrams_queued: Notify::new(),
            clients_mark_retries,
            socket_opened_at: Cell::new(None),
        }
    }

    /// Records that this process receives datagrams from now on. Intents that were replicated to an older process of
    /// this gateway are not known to this one, so it does not report a write as unknown until they have expired.
    pub fn on_socket_opened(&self) {
        self.store.borrow_mut().on_socket_opened(self.clock.now());
        self.socket_opened_at.set(Some(Instant::now()));
    }

    /// Returns whether this process knows which other gateways run. Until it does, it has no replicas for its intents.
    fn knows_fleet(&self) -> bool {
        let Some(opened_at) = self.socket_opened_at.get() else {
            return false;
        };
        let local = self.membership.local_gateway();
        let gateways = self.alive_or_suspect_gateways();
        let knows_another = gateways.iter().any(|&gateway| gateway != local);
        knows_another || self.membership.fleet_size() <= 1 || opened_at.elapsed() >= JOIN_TIMEOUT
    }

    /// Waits until this process knows which other gateways run. Returns whether it does.
    async fn wait_for_fleet(&self) -> bool {
        let deadline = Instant::now() + FLEET_WAIT;
        while !self.knows_fleet() {
            if Instant::now() >= deadline {
                return false;
            }
            sleep(FLEET_CHECK_INTERVAL).await;
        }
        true
    }

    /// Returns whether a write may be a retry of a write that another gateway has sent. `marked_as_retry` is whether
    /// the client marked the write as a retry.
    pub fn may_be_retry(&self, marked_as_retry: bool) -> bool {
        marked_as_retry || !self.clients_mark_retries
    }

    /// Returns the number of a new intent.
    pub fn new_intent(&self) -> SequenceNumber {
        self.store.borrow_mut().new_intent()
    }

    /// Records the intent of a write at its replicas before the write is sent; the write may be executed from
    /// `first_sent_at` on. Returns whether enough replicas acknowledged the intent; none are enough only if no other
    /// gateway runs.
    pub async fn record(
        &self,
        intent: SequenceNumber,
        key: KeyHash,
        first_sent_at: UnixMilliseconds,
    ) -> bool {
        if !self.wait_for_fleet().await {
            increment(&self.metrics.write_intents.not_recorded);
            return false;
        }
        let gateways = self.alive_or_suspect_gateways();
        let outcome = self
            .run_operation(|store, now| store.record(now, intent, key, first_sent_at, &gateways))
            .await;
        let recorded = outcome == Some(Outcome::Recorded);
        increment(if recorded {
            &self.metrics.write_intents.recorded
        } else {
            &self.metrics.write_intents.not_recorded
        });
        recorded
    }

    /// Asks the replicas of a write's intent whether an earlier attempt may have been executed.
    pub async fn look_up(&self, key: KeyHash) -> EarlierAttempt {
        let gateways = self.alive_or_suspect_gateways();
        let outcome = self
            .run_operation(|store, now| store.look_up(now, key, &gateways))
            .await;
        let earlier_attempt = match outcome {
            Some(Outcome::MayHaveRunSince(first_sent_at)) => {
                EarlierAttempt::MayHaveRun(first_sent_at)
            }
            Some(Outcome::NeverSent) => EarlierAttempt::NeverSent,
            _ => EarlierAttempt::Unproven,
        };
        increment(match earlier_attempt {
            EarlierAttempt::MayHaveRun(_) => &self.metrics.write_intents.found,
            EarlierAttempt::NeverSent => &self.metrics.write_intents.never_sent,
            EarlierAttempt::Unproven => &self.metrics.write_intents.unproven,
        });
        earlier_attempt
    }

    /// Withdraws the intent of a write that was never executed.
    pub fn withdraw(&self, intent: SequenceNumber, key: KeyHash) {
        let gateways = self.alive_or_suspect_gateways();
        self.update_store(|store, now| store.withdraw(now, intent, key, &gateways));
    }

    /// Processes a datagram from gateway `from`. Returns the datagrams to send.
    pub fn receive(&self, datagram: &[u8], from: GatewayId) -> Vec<OutgoingDatagram> {
        self.update_store(|store, now| {
            if let Err(error) = store.receive(now, from, datagram) {
                increment(&self.metrics.gossip.ignored);
                log!("write intents: a datagram from gateway {from} is ignored: {error}");
            }
        });
        self.outbox.take()
    }

    /// Does the work that is due. Returns the datagrams to send.
    pub fn advance(&self) -> Vec<OutgoingDatagram> {
        self.update_store(|store, now| store.advance(now));
        self.outbox.take()
    }

    /// Returns when [`WriteIntentService::advance`] is to be called next.
    pub fn due(&self) -> Instant {
        self.clock.instant_of(self.store.borrow().next_due())
    }

    /// Waits until there are datagrams to send.
    pub async fn send_requested(&self) {
        self.datagrams_queued.notified().await;
    }

    /// Returns the gateways that are alive or suspect.
    fn alive_or_suspect_gateways(&self) -> Vec<GatewayId> {
        self.membership.alive_or_suspect_gateways()
    }

    /// Starts a record or a look-up, and waits for its outcome.
    async fn run_operation(
        &self,
        start: impl FnOnce(&mut IntentStore, Timestamp) -> OperationId,
    ) -> Option<Outcome> {
        let (sender, outcome) = oneshot::channel();
        // The store may decide the outcome immediately, so the sender is registered before the actions are carried out.
        self.update_store(|store, now| {
            let operation = start(store, now);
            self.pending_operations
                .borrow_mut()
                .insert(operation, sender);
        });
        outcome.await.ok()
    }

    fn update_store(&self, call: impl FnOnce(&mut IntentStore, Timestamp)) {
        let mut store = self.store.borrow_mut();
        call(&mut store, self.clock.now());
        self.carry_out_actions(&mut store);
    }

    fn carry_out_actions(&self, store: &mut IntentStore) {
        for action in store.drain_actions() {
            match action {
                Action::Send { to, bytes } => self.outbox.push(to, bytes),
                Action::Ended { operation, outcome } => {
                    if let Some(sender) = self.pending_operations.borrow_mut().remove(&operation) {
                        // The send fails if the request has ended meanwhile, which needs no handling.
                        let _ = sender.send(outcome);
                    }
                }
            }
        }
        if !self.outbox.is_empty() {
            self.datagrams_queued.notify_one();
        }
    }
}

/// Returns the number of this process's first intent: the Unix time in microseconds, which is larger than the numbers of
/// earlier processes, because a gateway begins fewer than a million intents and look-ups a second.
fn first_sequence_number() -> SequenceNumber {
    SequenceNumber(unix_milliseconds().saturating_mul(MICROSECONDS_PER_MILLISECOND))
}
