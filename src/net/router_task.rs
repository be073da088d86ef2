//! The sole owner of the module's [`Router`]: feeds it events and hands on its actions.
//!
//! Events are posted when they happen; those that are ready together enter in one batch.

use super::backend::Backend;
use super::{duration, Clock};
use irisrouter::api::*;
use irisrouter::decide::Router;
use irisrouter::state::Lore;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep_until, Instant};

/// What the module wants done for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start an attempt.
    Send {
        /// Where.
        member: MemberId,
        /// Its time-out.
        limit: Ns,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Its number.
        attempt: u32,
    },
    /// Final answer: trying again is harmless.
    Refuse {
        /// The pause that the client should keep.
        pause: Ns,
    },
    /// Final answer: nothing is promised.
    Fail,
}

/// The way to the router: events in, orders out.
#[derive(Default)]
pub struct Mailbox {
    events: RefCell<Vec<Event>>,
    ready: Notify,
    requests: RefCell<HashMap<RequestId, UnboundedSender<Order>>>,
    next: Cell<u64>,
    asked: RefCell<Vec<oneshot::Sender<Lore>>>,
}

impl Mailbox {
    /// Something happened.
    pub fn post(&self, event: Event) {
        self.events.borrow_mut().push(event);
        self.ready.notify_one();
    }

    /// What the module has learnt.
    pub async fn lore(&self) -> Lore {
        let (sender, lore) = oneshot::channel();
        self.asked.borrow_mut().push(sender);
        self.ready.notify_one();
        lore.await.unwrap_or_default()
    }

    /// An id for a request that comes in, and the orders for it.
    pub fn open(&self) -> (RequestId, UnboundedReceiver<Order>) {
        let id = RequestId(self.next.get());
        self.next.set(id.0 + 1);
        let (orders, receiver) = unbounded_channel();
        self.requests.borrow_mut().insert(id, orders);
        (id, receiver)
    }

    /// Nothing more is done for this request.
    pub fn close(&self, id: RequestId) {
        self.requests.borrow_mut().remove(&id);
    }

    /// Requests that are not over, attempts of answered ones included.
    pub fn open_requests(&self) -> usize {
        self.requests.borrow().len()
    }

    fn order(&self, id: RequestId, order: Order) {
        // A request that is over takes no orders: its task has told the module of each attempt.
        if let Some(orders) = self.requests.borrow().get(&id) {
            let _ = orders.send(order);
        }
    }
}

/// Runs the module for ever.
pub async fn drive(mut router: Router, mailbox: Rc<Mailbox>, backend: Rc<Backend>, clock: Clock) {
    let mut wake: Option<Instant> = None;
    loop {
        let due = wake;
        tokio::select! {
            () = mailbox.ready.notified() => {}
            () = async { sleep_until(due.unwrap_or_else(Instant::now)).await }, if due.is_some() => {
                wake = None;
                mailbox.events.borrow_mut().push(Event::Wake);
            }
        }
        for asked in mailbox.asked.take() {
            let _ = asked.send(router.lore());
        }
        let events = mailbox.events.take();
        if events.is_empty() {
            continue;
        }
        for action in router.batch(clock.now(), &events) {
            match action {
                Action::Send { id, member, limit } => {
                    mailbox.order(id, Order::Send { member, limit })
                }
                Action::Cancel { id, attempt } => mailbox.order(id, Order::Cancel { attempt }),
                Action::Refuse { id, pause } => mailbox.order(id, Order::Refuse { pause }),
                Action::Fail { id } => mailbox.order(id, Order::Fail),
                Action::Probe { member } => {
                    let (mailbox, backend) = (Rc::clone(&mailbox), Rc::clone(&backend));
                    tokio::task::spawn_local(
                        async move { mailbox.post(backend.probe(member).await) },
                    );
                }
                // Only the earliest is kept: the module asks again at each wake-up while it needs one.
                Action::Wake { after } => {
                    let at = Instant::now() + duration(after);
                    wake = Some(wake.map_or(at, |w| w.min(at)));
                }
                // The list is watched from the start.
                Action::Watch => {}
            }
        }
    }
}
