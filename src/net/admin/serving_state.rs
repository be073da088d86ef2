//! What this process is doing with clients: one value, set by the console and the signals and read by the front.

use tokio::sync::watch;

/// From serving on, in the order in which a process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingMode {
    /// Not yet ready for clients.
    Starting,
    /// Clients are welcome.
    Serving,
    /// Clients are sent away, until somebody calls them back.
    Drained,
    /// After SIGTERM, for as long as clients are served on the connections that they have.
    Stopping,
    /// After SIGTERM: clients are sent away, for good.
    Closing,
}

impl ServingMode {
    /// A connection ends between two requests.
    pub fn sends_away(self) -> bool {
        matches!(self, ServingMode::Drained | ServingMode::Closing)
    }
}

/// The mode of the process. Danger: with a flag each for the console, the front and the signals, two of them could
/// say that clients are welcome and the third turn them away.
pub struct ServingState(watch::Sender<ServingMode>);

impl Default for ServingState {
    fn default() -> Self {
        ServingState(watch::Sender::new(ServingMode::Starting))
    }
}

impl ServingState {
    /// The present mode.
    pub fn get(&self) -> ServingMode {
        *self.0.borrow()
    }

    /// Follows the mode.
    pub fn watch(&self) -> watch::Receiver<ServingMode> {
        self.0.subscribe()
    }

    /// Clients can be served from now on.
    pub fn ready(&self) {
        self.step(&[ServingMode::Starting], ServingMode::Serving);
    }

    /// Sends clients away. It may be said again, and at any time: a process that stops does so anyway.
    pub fn evacuate(&self) {
        self.step(
            &[ServingMode::Starting, ServingMode::Serving],
            ServingMode::Drained,
        );
    }

    /// Calls them back, unless the process has begun to stop.
    pub fn activate(&self) -> bool {
        self.step(&[ServingMode::Drained], ServingMode::Serving);
        matches!(self.get(), ServingMode::Serving | ServingMode::Starting)
    }

    /// The process stops. One that is drained does not call its clients back for that.
    pub fn stop(&self) {
        self.step(
            &[ServingMode::Starting, ServingMode::Serving],
            ServingMode::Stopping,
        );
        self.step(&[ServingMode::Drained], ServingMode::Closing);
    }

    /// Nobody is served any more but those whose requests are under way.
    pub fn close(&self) {
        self.0.send_replace(ServingMode::Closing);
    }

    fn step(&self, from: &[ServingMode], to: ServingMode) {
        self.0.send_if_modified(|mode| {
            let steps = from.contains(mode);
            if steps {
                *mode = to;
            }
            steps
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a drain that is undone by the end of the process, and an end that is undone by the console.
    #[test]
    fn a_drain_ends_when_it_is_said_and_a_stop_never() {
        let serving_state = ServingState::default();
        serving_state.ready();
        serving_state.evacuate();
        serving_state.evacuate();
        assert_eq!(serving_state.get(), ServingMode::Drained);
        serving_state.ready();
        assert_eq!(serving_state.get(), ServingMode::Drained);
        assert!(serving_state.activate() && serving_state.activate());
        assert_eq!(serving_state.get(), ServingMode::Serving);
        serving_state.evacuate();
        serving_state.stop();
        assert!(!serving_state.activate());
        serving_state.evacuate();
        assert_eq!(serving_state.get(), ServingMode::Closing);
    }
}
