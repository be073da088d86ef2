//! Write intents: `irisrouter_write_intents` connected to this gateway.
//!
//! The store gets datagrams and the time. The tasks of requests record and look up keyed writes here, and wait for the
//! outcomes. The peer socket sends the resulting datagrams, and is woken for them.

use crate::net::cluster::membership::MembershipService;
use crate::net::cluster::outbox::{Outbox, OutgoingDatagram};
use crate::net::cluster::service_clock::ServiceClock;
use crate::net::log::log;
use crate::net::metrics::{increment, Metrics};
use irisrouter_cluster_types::{GatewayId, Timestamp, UnixMilliseconds};
use irisrouter_write_intents::{Action, IntentStore, KeyHash, OperationId, Outcome};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;

/// What is known of the earlier attempts of a write that may be a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierAttempt {
    /// The write was never sent.
    NeverSent,
    /// The write may have run from this time on.
    MayHaveRun(UnixMilliseconds),
    /// Too few of the gateways that would know have answered.
    Unproven,
}

/// The write intents of one gateway, and those that it holds as a replica of others.
pub struct WriteIntentService {
    store: RefCell<IntentStore>,
    membership: Rc<MembershipService>,
    clock: ServiceClock,
    metrics: Rc<Metrics>,
    /// The tasks that wait for the outcomes of records and look-ups.
    waiting: RefCell<HashMap<OperationId, oneshot::Sender<Outcome>>>,
    outbox: Outbox,
    datagrams_waiting: Notify,
    /// Whether clients mark their retries. Where they do not, any write may be one.
    clients_mark_retries: bool,
}

impl WriteIntentService {
    /// A gateway without any intents. `gateways` are the addresses of the fleet by number.
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
            )),
            membership,
            clock: ServiceClock::start(),
            metrics,
            waiting: RefCell::default(),
            outbox: Outbox::new(gateways),
            datagrams_waiting: Notify::new(),
            clients_mark_retries,
        }
    }

    /// This process receives datagrams from now on.
    pub fn on_socket_opened(&self) {
        self.store.borrow_mut().on_socket_opened(self.clock.now());
    }

    /// Whether a write may be one that another gateway has sent; `marked` where the client marked it as a retry.
    pub fn may_be_retry(&self, marked: bool) -> bool {
        marked || !self.clients_mark_retries
    }

    /// Records a write with its replicas before it is sent: it may run from `first_sent_at` on. Returns whether
    /// enough replicas acknowledged it.
    pub async fn record(&self, key: KeyHash, first_sent_at: UnixMilliseconds) -> bool {
        let gateways = self.gateways_up();
        let outcome = self
            .run_operation(|store, now| store.record(now, key, first_sent_at, &gateways))
            .await;
        let recorded = outcome == Some(Outcome::Recorded);
        increment(if recorded {
            &self.metrics.write_intents.recorded
        } else {
            &self.metrics.write_intents.not_recorded
        });
        recorded
    }

    /// Looks up at the replicas of a write whether it may have run.
    pub async fn look_up(&self, key: KeyHash) -> EarlierAttempt {
        let gateways = self.gateways_up();
        let outcome = self
            .run_operation(|store, now| store.look_up(now, key, &gateways))
            .await;
        let found = match outcome {
            Some(Outcome::MayHaveRunSince(first_sent_at)) => {
                EarlierAttempt::MayHaveRun(first_sent_at)
            }
            Some(Outcome::NeverSent) => EarlierAttempt::NeverSent,
            _ => EarlierAttempt::Unproven,
        };
        increment(match found {
            EarlierAttempt::MayHaveRun(_) => &self.metrics.write_intents.found,
            EarlierAttempt::NeverSent => &self.metrics.write_intents.never_sent,
            EarlierAttempt::Unproven => &self.metrics.write_intents.unproven,
        });
        found
    }

    /// Withdraws the intent of a write that never ran.
    pub fn withdraw(&self, key: KeyHash) {
        let gateways = self.gateways_up();
        self.call_store(|store, _| store.withdraw(key, &gateways));
    }

    /// Processes a datagram from gateway `from`; returns the datagrams to send.
    pub fn receive(&self, datagram: &[u8], from: GatewayId) -> Vec<OutgoingDatagram> {
        self.call_store(|store, now| {
            if let Err(error) = store.receive(now, from, datagram) {
                increment(&self.metrics.gossip.ignored);
                log!("write intents: a datagram from gateway {from} is ignored: {error}");
            }
        });
        self.outbox.take()
    }

    /// Does what is due; returns the datagrams to send.
    pub fn advance(&self) -> Vec<OutgoingDatagram> {
        self.call_store(|store, now| store.advance(now));
        self.outbox.take()
    }

    /// When [`WriteIntentService::advance`] has work next.
    pub fn due(&self) -> Instant {
        self.clock.instant_of(self.store.borrow().next_due())
    }

    /// Waits until there are datagrams to send.
    pub async fn send_requested(&self) {
        self.datagrams_waiting.notified().await;
    }

    /// The gateways that are alive or suspect.
    fn gateways_up(&self) -> Vec<GatewayId> {
        self.membership.not_down()
    }

    /// Starts a record or a look-up, and waits for its outcome.
    async fn run_operation(
        &self,
        start: impl FnOnce(&mut IntentStore, Timestamp) -> OperationId,
    ) -> Option<Outcome> {
        let (sender, outcome) = oneshot::channel();
        // The outcome may be there at once, so the sender is registered before the actions are carried out.
        self.call_store(|store, now| {
            let operation = start(store, now);
            self.waiting.borrow_mut().insert(operation, sender);
        });
        outcome.await.ok()
    }

    fn call_store(&self, call: impl FnOnce(&mut IntentStore, Timestamp)) {
        let mut store = self.store.borrow_mut();
        call(&mut store, self.clock.now());
        self.carry_out_actions(&mut store);
    }

    fn carry_out_actions(&self, store: &mut IntentStore) {
        for action in store.drain_actions() {
            match action {
                Action::Send { to, bytes } => self.outbox.push(to, bytes),
                Action::Ended { operation, outcome } => {
                    if let Some(waiting) = self.waiting.borrow_mut().remove(&operation) {
                        // A request that has ended meanwhile no longer waits for the outcome.
                        let _ = waiting.send(outcome);
                    }
                }
            }
        }
        if !self.outbox.is_empty() {
            self.datagrams_waiting.notify_one();
        }
    }
}
