//! Whether the process serves clients: one value, set by the console and the signals and read by the connections.

use tokio::sync::watch;

/// What the process does with clients. After `Serving`, in the order in which a process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingMode {
    /// Not ready for clients yet.
    Starting,
    /// Clients are served.
    Serving,
    /// Clients are disconnected between requests, until an operator activates the gateway again.
    Drained,
    /// After SIGTERM, while clients are still served on the connections that they have.
    Stopping,
    /// After SIGTERM: clients are disconnected for good.
    Closing,
}

impl ServingMode {
    /// Whether connections are ended between two requests.
    pub fn disconnects_clients(self) -> bool {
        matches!(self, ServingMode::Drained | ServingMode::Closing)
    }
}

/// The mode of the process. It is one value and not a flag each for the console, the connections and the signals:
/// flags could disagree, and clients be invited by one and disconnected by another.
pub struct ServingState(watch::Sender<ServingMode>);

impl Default for ServingState {
    fn default() -> Self {
        ServingState(watch::Sender::new(ServingMode::Starting))
    }
}

impl ServingState {
    /// The present mode.
    pub fn mode(&self) -> ServingMode {
        *self.0.borrow()
    }

    /// Notifies of every change of the mode.
    pub fn subscribe(&self) -> watch::Receiver<ServingMode> {
        self.0.subscribe()
    }

    /// Clients can be served from now on. A drain by the console during the start stays in force.
    pub fn mark_ready(&self) {
        self.transition(&[ServingMode::Starting], ServingMode::Serving);
    }

    /// Disconnects clients. May be repeated, and may come at any time; a process that stops does so anyway.
    pub fn evacuate(&self) {
        self.transition(
            &[ServingMode::Starting, ServingMode::Serving],
            ServingMode::Drained,
        );
    }

    /// Undoes a drain. Returns whether clients are or will be served, which they are not once the process stops.
    pub fn activate(&self) -> bool {
        self.transition(&[ServingMode::Drained], ServingMode::Serving);
        matches!(self.mode(), ServingMode::Serving | ServingMode::Starting)
    }

    /// The process stops. A drained one does not serve its clients again because of that.
    pub fn stop(&self) {
        self.transition(
            &[ServingMode::Starting, ServingMode::Serving],
            ServingMode::Stopping,
        );
        self.transition(&[ServingMode::Drained], ServingMode::Closing);
    }

    /// From now on only requests that are in flight are served.
    pub fn close(&self) {
        self.0.send_replace(ServingMode::Closing);
    }

    /// Changes the mode to `to` if it is one of `from`; receivers are notified only of a change.
    fn transition(&self, from: &[ServingMode], to: ServingMode) {
        self.0.send_if_modified(|mode| {
            let changes = from.contains(mode);
            if changes {
                *mode = to;
            }
            changes
        });
    }
}

#[cfg(test)]
#[path = "../../tests/unit/serving_state.rs"]
mod tests;
