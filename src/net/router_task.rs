//! The task that owns the [`Router`]: it feeds the router with events and carries out its actions.
//!
//! Tasks post events as they happen. Whenever the router task wakes up, the router processes all queued events in one
//! batch.

use crate::net::upstream::Upstream;
use crate::net::{duration, Clock};
use irisrouter::routing::{
    Action, Event, MemberId, RequestId, Router, RoutingSnapshot, SendPermit, Settings, TimeDelta,
    Timestamp,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep_until, Instant};

/// A command from the router to the task of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestCommand {
    /// Start an attempt.
    StartAttempt {
        /// Member that the attempt is sent to.
        member: MemberId,
        /// Timeout of the attempt.
        timeout: TimeDelta,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// Number of the attempt, counted from 0.
        attempt: u32,
    },
    /// Send the final answer that the request did not run, so that a retry is harmless.
    Reject {
        /// Time that the client is advised to wait before it retries; zero for no advice.
        retry_after: TimeDelta,
    },
    /// Send the final answer that the request failed and may have run.
    Fail,
}

/// A request that the router may send commands for.
pub struct RegisteredRequest {
    /// Id of the request in events and actions.
    pub id: RequestId,
    /// Commands of the router for this request, in order.
    pub commands: UnboundedReceiver<RequestCommand>,
}

/// Handle to the router task: accepts events for the router and delivers its commands to the requests.
///
/// The router task and all tasks that post events share it. All of them run on one thread and no borrow is held across
/// an await, so `Cell` and `RefCell` are sufficient.
pub struct RouterHandle {
    /// The router. Only [`run_router`] passes events to it.
    router: RefCell<Router>,
    /// Events that were posted and that the router task has not taken yet, in order.
    events: RefCell<Vec<Event>>,
    /// Wakes the router task.
    wakeup: Notify,
    /// Command channel of each registered request.
    command_senders: RefCell<HashMap<RequestId, UnboundedSender<RequestCommand>>>,
    next_request: Cell<u64>,
    snapshot_requests: RefCell<Vec<oneshot::Sender<RoutingSnapshot>>>,
}

impl RouterHandle {
    /// Creates a router with these settings, which processes its events once [`run_router`] runs.
    pub fn new(settings: Settings) -> Self {
        RouterHandle {
            router: RefCell::new(Router::new(settings)),
            events: RefCell::default(),
            wakeup: Notify::new(),
            command_senders: RefCell::default(),
            next_request: Cell::default(),
            snapshot_requests: RefCell::default(),
        }
    }

    /// Returns the permission to send an attempt now, or `None` if it must not be sent, see [`Router::permit_send`].
    pub fn permit_send(&self, now: Timestamp, id: RequestId, attempt: u32) -> Option<SendPermit> {
        self.router.borrow_mut().permit_send(now, id, attempt)
    }

    /// Posts an event, which the router processes in its next batch.
    pub fn post(&self, event: Event) {
        self.events.borrow_mut().push(event);
        self.wakeup.notify_one();
    }

    /// Returns a snapshot of what the router has observed. It is empty if the router task drops the request for it
    /// without an answer.
    pub async fn snapshot(&self) -> RoutingSnapshot {
        let (sender, snapshot) = oneshot::channel();
        self.snapshot_requests.borrow_mut().push(sender);
        self.wakeup.notify_one();
        snapshot.await.unwrap_or_default()
    }

    /// Registers a new request: assigns its id and opens its command channel.
    pub fn register(&self) -> RegisteredRequest {
        let id = RequestId(self.next_request.get());
        self.next_request.set(id.0 + 1);
        let (sender, commands) = unbounded_channel();
        self.command_senders.borrow_mut().insert(id, sender);
        RegisteredRequest { id, commands }
    }

    /// Removes a finished request, so that no further command is sent to it.
    pub fn unregister(&self, id: RequestId) {
        self.command_senders.borrow_mut().remove(&id);
    }

    /// Returns the number of registered requests, including answered ones that still have attempts in flight.
    pub fn open_requests(&self) -> usize {
        self.command_senders.borrow().len()
    }

    fn deliver(&self, id: RequestId, command: RequestCommand) {
        // Commands for an unregistered request are dropped: its task has already posted the end of each attempt.
        if let Some(sender) = self.command_senders.borrow().get(&id) {
            let _ = sender.send(command);
        }
    }

    fn answer_snapshot_requests(&self) {
        for sender in self.snapshot_requests.take() {
            let _ = sender.send(self.router.borrow().snapshot());
        }
    }
}

/// Runs the router; never returns.
pub async fn run_router(handle: Rc<RouterHandle>, upstream: Rc<Upstream>, clock: Clock) {
    let mut timer: Option<Instant> = None;
    loop {
        let deadline = timer;
        tokio::select! {
            () = handle.wakeup.notified() => {}
            () = async { sleep_until(deadline.unwrap_or_else(Instant::now)).await }, if deadline.is_some() => {
                timer = None;
                handle.events.borrow_mut().push(Event::TimerFired);
            }
        }
        handle.answer_snapshot_requests();
        let events = handle.events.take();
        if events.is_empty() {
            continue;
        }
        let actions = handle.router.borrow_mut().batch(clock.now(), &events);
        for action in actions {
            if let Some(requested) = carry_out(action, &handle, &upstream) {
                // Only the earliest timer is kept: each time a timer fires, the router sets another one if it needs it.
                timer = Some(timer.map_or(requested, |current| current.min(requested)));
            }
        }
    }
}

/// Executes one action. Returns the time of the timer that the action sets, if it sets one.
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
        // Nothing to do: the endpoint list is watched from startup on.
        Action::WatchEndpoints => {}
    }
    None
}
