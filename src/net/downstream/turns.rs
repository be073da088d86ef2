//! Turns: how much a connection does before the others, and the runtime's timers, have their turn.
//!
//! All tasks share one thread. A client can send messages that the gateway answers by itself faster than the gateway
//! processes them, so that its connection never waits for input. A connection therefore ends its turn after a bounded
//! amount of work, and connections that have ended a turn begin the next one one after the other.

use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::yield_now;
use tokio::time::Instant;

/// Maximum number of messages that are processed in one turn.
const MAX_TURN_MESSAGES: usize = 64;
/// Number of bytes read after which a turn ends.
const MAX_TURN_BYTES: usize = 64 * 1024;
/// Time after which a turn ends.
const MAX_TURN_TIME: Duration = Duration::from_millis(1);

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
pub struct TurnQueue {
    first_in_queue: Semaphore,
}

impl Default for TurnQueue {
    fn default() -> Self {
        TurnQueue {
            first_in_queue: Semaphore::new(1),
        }
    }
}

impl TurnQueue {
    /// Waits for the next turn, in the order of the calls. Between two turns the runtime polls its sockets and timers,
    /// and runs all other tasks that are ready.
    pub(super) async fn next_turn(&self) {
        // The semaphore is never closed, so that acquiring it does not fail.
        let first = self.first_in_queue.acquire().await;
        // Tasks that yield run again only after the runtime has polled its sockets and timers.
        yield_now().await;
        drop(first);
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/turns.rs"]
mod tests;
