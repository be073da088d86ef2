//! The task that owns the [`Router`]: it feeds the router with events and carries out its actions.
//!
//! Events are posted when they happen; those that are ready together enter the router in one batch.

use crate::net::upstream::Upstream;
use crate::net::{duration, Clock};
use irisrouter::routing::{Action, Event, MemberId, RequestId, Router, RoutingSnapshot, TimeDelta};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep_until, Instant};

/// What the router wants done for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestCommand {
    /// Start an attempt.
    StartAttempt {
        /// The member that it goes to.
        member: MemberId,
        /// Its timeout.
        timeout: TimeDelta,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// Its number, from 0.
        attempt: u32,
    },
    /// Final answer: a retry is harmless.
    Reject {
        /// Time that the client should wait before it retries; zero for no advice.
        retry_after: TimeDelta,
    },
    /// Final answer: whether it ran is unknown.
    Fail,
}

/// A request that the router may send commands for.
pub struct RegisteredRequest {
    /// Its id in events and actions.
    pub id: RequestId,
    /// What the router wants done for it, in order.
    pub commands: UnboundedReceiver<RequestCommand>,
}

/// The way to the router: events in, commands out.
///
/// It is shared by the router task and by all tasks that post events. All of them run on one thread and no borrow lasts
/// across an await, so cells are enough.
#[derive(Default)]
pub struct RouterHandle {
    /// Posted and not yet taken by the router task, in order.
    events: RefCell<Vec<Event>>,
    /// Wakes the router task.
    ready: Notify,
    /// The commands of each request that is not over.
    requests: RefCell<HashMap<RequestId, UnboundedSender<RequestCommand>>>,
    next_request: Cell<u64>,
    snapshot_requests: RefCell<Vec<oneshot::Sender<RoutingSnapshot>>>,
}

impl RouterHandle {
    /// Posts an event; it enters the router with the next batch.
    pub fn post(&self, event: Event) {
        self.events.borrow_mut().push(event);
        self.ready.notify_one();
    }

    /// What the router has learnt; nothing, if its task has ended.
    pub async fn snapshot(&self) -> RoutingSnapshot {
        let (sender, snapshot) = oneshot::channel();
        self.snapshot_requests.borrow_mut().push(sender);
        self.ready.notify_one();
        snapshot.await.unwrap_or_default()
    }

    /// Gives a new request its id, and a queue for the commands for it.
    pub fn register(&self) -> RegisteredRequest {
        let id = RequestId(self.next_request.get());
        self.next_request.set(id.0 + 1);
        let (sender, commands) = unbounded_channel();
        self.requests.borrow_mut().insert(id, sender);
        RegisteredRequest { id, commands }
    }

    /// Ends the commands for a request that is over.
    pub fn unregister(&self, id: RequestId) {
        self.requests.borrow_mut().remove(&id);
    }

    /// Requests that are not over, including answered ones with attempts in flight.
    pub fn open_requests(&self) -> usize {
        self.requests.borrow().len()
    }

    fn deliver(&self, id: RequestId, command: RequestCommand) {
        // A request that is over takes no commands: its task has posted the end of each attempt.
        if let Some(commands) = self.requests.borrow().get(&id) {
            let _ = commands.send(command);
        }
    }

    fn answer_snapshot_requests(&self, router: &Router) {
        for requester in self.snapshot_requests.take() {
            let _ = requester.send(router.snapshot());
        }
    }
}

/// Runs the router; never returns.
pub async fn run_router(
    mut router: Router,
    handle: Rc<RouterHandle>,
    upstream: Rc<Upstream>,
    clock: Clock,
) {
    let mut timer: Option<Instant> = None;
    loop {
        let due = timer;
        tokio::select! {
            () = handle.ready.notified() => {}
            () = async { sleep_until(due.unwrap_or_else(Instant::now)).await }, if due.is_some() => {
                timer = None;
                handle.events.borrow_mut().push(Event::TimerFired);
            }
        }
        handle.answer_snapshot_requests(&router);
        let events = handle.events.take();
        if events.is_empty() {
            continue;
        }
        for action in router.batch(clock.now(), &events) {
            if let Some(requested) = carry_out(action, &handle, &upstream) {
                // Only the earliest timer is kept: the router asks again at each of them while it needs one.
                timer = Some(timer.map_or(requested, |set| set.min(requested)));
            }
        }
    }
}

/// Carries out one action; returns the timer that it asks for.
fn carry_out(
    action: Action,
    handle: &Rc<RouterHandle>,
    upstream: &Rc<Upstream>,
) -> Option<Instant> {
    match action {
        Action::StartAttempt {
            id,
            member,
            timeout,
        } => handle.deliver(id, RequestCommand::StartAttempt { member, timeout }),
        Action::CancelAttempt { id, attempt } => {
            handle.deliver(id, RequestCommand::CancelAttempt { attempt });
        }
        Action::Reject { id, retry_after } => {
            handle.deliver(id, RequestCommand::Reject { retry_after });
        }
        Action::Fail { id } => handle.deliver(id, RequestCommand::Fail),
        Action::HealthCheck { member } => {
            let (handle, upstream) = (Rc::clone(handle), Rc::clone(upstream));
            tokio::task::spawn_local(async move {
                let result = upstream.health_check(member).await;
                handle.post(result);
            });
        }
        Action::SetTimer { after } => return Some(Instant::now() + duration(after)),
        // The endpoint list is watched from the start.
        Action::WatchEndpoints => {}
    }
    None
}
