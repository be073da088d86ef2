//! Whether the process serves clients: one value, which the console and the signals set and the connections read.

use std::cell::Cell;
use tokio::sync::watch;
use tokio::time::Instant;

/// Whether, and how, the process serves clients. The modes after `Serving` are listed in the order in which a process
/// passes through them when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingMode {
    /// The process is starting and does not serve clients yet.
    Starting,
    /// Clients are served.
    Serving,
    /// Clients are disconnected between requests until an operator activates the gateway again.
    Drained,
    /// The process is shutting down and still serves clients while the schedule leaves time.
    Stopping,
    /// The process is shutting down and disconnects clients between requests.
    Closing,
}

impl ServingMode {
    /// Returns whether client connections are closed between two requests.
    pub fn disconnects_clients(self) -> bool {
        matches!(self, ServingMode::Drained | ServingMode::Closing)
    }
}

/// The mode of the process. It is one value because separate flags for the console, the connections and the signals
/// could disagree: clients could be accepted because of one flag and disconnected because of another.
pub struct ServingState {
    mode: watch::Sender<ServingMode>,
    /// Time since which clients are being disconnected; `None` while they are not.
    disconnecting_since: Cell<Option<Instant>>,
}

impl Default for ServingState {
    fn default() -> Self {
        ServingState {
            mode: watch::Sender::new(ServingMode::Starting),
            disconnecting_since: Cell::new(None),
        }
    }
}

impl ServingState {
    /// Returns the current mode.
    pub fn mode(&self) -> ServingMode {
        *self.mode.borrow()
    }

    /// Returns the time since which clients are being disconnected, or `None` while they are not.
    pub fn disconnecting_since(&self) -> Option<Instant> {
        self.disconnecting_since.get()
    }

    fn update_disconnecting_since(&self) {
        let since = self.disconnecting_since.get();
        let disconnects = self.mode().disconnects_clients();
        self.disconnecting_since
            .set(disconnects.then(|| since.unwrap_or_else(Instant::now)));
    }

    /// Returns a receiver that is notified of each change of the mode.
    pub fn subscribe(&self) -> watch::Receiver<ServingMode> {
        self.mode.subscribe()
    }

    /// Records that the process can serve clients. If the console drained it during the start, it stays drained.
    pub fn mark_ready(&self) {
        self.transition(&[ServingMode::Starting], ServingMode::Serving);
    }

    /// Drains the gateway: clients are disconnected between requests. May be called repeatedly and at any time; has no
    /// effect during a shutdown, which disconnects clients itself.
    pub fn evacuate(&self) {
        self.transition(
            &[ServingMode::Starting, ServingMode::Serving],
            ServingMode::Drained,
        );
    }

    /// Ends a drain. Returns whether clients are served, or will be after the start; `false` during a shutdown.
    pub fn activate(&self) -> bool {
        self.transition(&[ServingMode::Drained], ServingMode::Serving);
        matches!(self.mode(), ServingMode::Serving | ServingMode::Starting)
    }

    /// Records that the shutdown has begun. A drained process goes straight to `Closing`, so that the shutdown does not
    /// make it serve clients again.
    pub fn stop(&self) {
        self.transition(
            &[ServingMode::Starting, ServingMode::Serving],
            ServingMode::Stopping,
        );
        self.transition(&[ServingMode::Drained], ServingMode::Closing);
    }

    /// From this call on, only requests in flight are served.
    pub fn close(&self) {
        self.mode.send_replace(ServingMode::Closing);
        self.update_disconnecting_since();
    }

    /// Changes the mode to `to` if it is one of `from`. Receivers are notified only if the mode changes.
    fn transition(&self, from: &[ServingMode], to: ServingMode) {
        self.mode.send_if_modified(|mode| {
            let changes = from.contains(mode);
            if changes {
                *mode = to;
            }
            changes
        });
        self.update_disconnecting_since();
    }
}

#[cfg(test)]
#[path = "../../tests/unit/serving_state.rs"]
mod tests;
