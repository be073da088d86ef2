//! Whether the gateway knows that a client is still connected.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// No attempt may start more than 0.1 s after its client has left. Half of that time is for starting the attempt.
const MAX_UNKNOWN_TIME: Duration = Duration::from_millis(50);

/// What the gateway knows about the presence of a client. The end of a client's connection arrives behind the client's
/// input, so that it cannot be noticed while some of that input is unread.
#[derive(Debug, Default)]
pub struct ClientPresence {
    /// Time since which the client may have sent input that has not been read. `None` if all of it was read.
    unread_since: Cell<Option<Instant>>,
}

impl ClientPresence {
    /// Records that the client may have sent input since this time that has not been read.
    pub fn input_left_unread(&self, since: Instant) {
        let earlier = self.unread_since.get();
        let since = earlier.map_or(since, |earlier| earlier.min(since));
        self.unread_since.set(Some(since));
    }

    /// Records that all input was read, or that its end would be visible, and that the connection has not ended.
    pub fn confirm_connected(&self) {
        self.unread_since.set(None);
    }

    /// Returns whether an attempt may be started for the client. It may not if the client can have left too long ago.
    pub fn allows_attempts(&self, now: Instant) -> bool {
        let unread_since = self.unread_since.get();
        unread_since.is_none_or(|since| now - since <= MAX_UNKNOWN_TIME)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/presence.rs"]
mod tests;
