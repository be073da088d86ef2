//! Turns: how much a connection does before the others, and the runtime's timers, have their turn.
//!
//! All tasks share one thread. A client can send messages that the gateway answers by itself faster than the gateway
//! processes them, so that its connection never waits for input. A connection therefore ends its turn after a bounded
//! amount of work, and connections that have ended a turn begin the next one in order, a few at a time.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::Instant;

/// Maximum number of messages that are processed in one turn.
const MAX_TURN_MESSAGES: usize = 64;
/// Number of bytes read after which a turn ends.
const MAX_TURN_BYTES: usize = 64 * 1024;
/// Time after which a turn ends.
const MAX_TURN_TIME: Duration = Duration::from_millis(1);

/// The part of the waiting connections that has its turn between two polls of the runtime, but at least one. It bounds
/// the wait in the queue where many connections wait and each poll takes long.
const QUEUE_DIVISOR: usize = 16;

/// The work that a connection has done in its current turn.
#[derive(Debug, Default)]
pub(super) struct Turn {
    /// Time of the first work in this turn.
    started_at: Option<Instant>,
    messages: usize,
    bytes: usize,
}

impl Turn {
    /// Records that a message is processed.
    pub(super) fn record_message(&mut self, now: Instant) {
        self.started_at.get_or_insert(now);
        self.messages += 1;
    }

    /// Records that bytes were read.
    pub(super) fn record_bytes(&mut self, length: usize, now: Instant) {
        self.started_at.get_or_insert(now);
        self.bytes += length;
    }

    /// Records that the connection has waited for input. Others have run during a wait, so that a new turn begins.
    pub(super) fn record_wait(&mut self, wait: Duration) {
        if wait >= MAX_TURN_TIME {
            *self = Turn::default();
        }
    }

    /// Returns whether a message was processed.
    pub(super) fn has_messages(&self) -> bool {
        self.messages > 0
    }

    /// Returns whether the turn has reached one of its limits.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        self.messages >= MAX_TURN_MESSAGES
            || self.bytes >= MAX_TURN_BYTES
            || self.duration(now) >= MAX_TURN_TIME
    }

    /// Returns the time since the first work in this turn.
    pub(super) fn duration(&self, now: Instant) -> Duration {
        let since_start = self.started_at.map(|started_at| now - started_at);
        since_start.unwrap_or_default()
    }
}

/// The queue of the connections that wait for their next turn.
#[derive(Default)]
pub struct TurnQueue {
    state: Rc<QueueState>,
}

#[derive(Default)]
struct QueueState {
    /// Number of connections that have left the queue and wait until the runtime has polled its sockets and timers.
    released: Cell<usize>,
    /// The connections in the queue, first come, first served.
    waiting: RefCell<VecDeque<oneshot::Sender<Release>>>,
}

/// The release of one connection from the queue, which ends when this is dropped.
struct Release {
    state: Rc<QueueState>,
}

impl TurnQueue {
    /// Waits for the next turn, in the order of the calls. Between two turns the runtime polls its sockets and timers,
    /// and other tasks that are ready run.
    pub(super) async fn next_turn(&self) {
        let (sender, released) = oneshot::channel();
        self.state.waiting.borrow_mut().push_back(sender);
        self.state.release_next();
        // The sender stays in the queue until it is used, so that receiving does not fail.
        let release = released.await;
        // Tasks that yield run again only after the runtime has polled its sockets and timers.
        yield_now().await;
        drop(release);
    }
}

impl QueueState {
    /// Releases as many connections as may be released at the same time.
    fn release_next(self: &Rc<Self>) {
        while let Some(sender) = self.pop_next() {
            self.released.set(self.released.get() + 1);
            let state = Rc::clone(self);
            // Where the connection has stopped waiting, the release is dropped, which ends it.
            let _ = sender.send(Release { state });
        }
    }

    /// Removes the first connection from the queue unless enough connections are released already.
    fn pop_next(&self) -> Option<oneshot::Sender<Release>> {
        let mut waiting = self.waiting.borrow_mut();
        while waiting.front().is_some_and(oneshot::Sender::is_closed) {
            waiting.pop_front();
        }
        let limit = (waiting.len() / QUEUE_DIVISOR).max(1);
        (self.released.get() < limit).then(|| waiting.pop_front())?
    }
}

impl Drop for Release {
    fn drop(&mut self) {
        self.state.released.set(self.state.released.get() - 1);
        self.state.release_next();
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/turns.rs"]
mod tests;
