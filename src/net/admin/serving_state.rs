//! What this process is doing with clients: one value, set by the console and the signals and read by the front.

use tokio::sync::watch;

/// From serving on, in the order in which a process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
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

impl Mode {
    /// A connection ends between two requests.
    pub fn sends_away(self) -> bool {
        matches!(self, Mode::Drained | Mode::Closing)
    }
}

/// The mode of the process. Danger: with a flag each for the console, the front and the signals, two of them could
/// say that clients are welcome and the third turn them away.
pub struct Modes(watch::Sender<Mode>);

impl Default for Modes {
    fn default() -> Self {
        Modes(watch::Sender::new(Mode::Starting))
    }
}

impl Modes {
    /// The present mode.
    pub fn get(&self) -> Mode {
        *self.0.borrow()
    }

    /// Follows the mode.
    pub fn watch(&self) -> watch::Receiver<Mode> {
        self.0.subscribe()
    }

    /// Clients can be served from now on.
    pub fn ready(&self) {
        self.step(&[Mode::Starting], Mode::Serving);
    }

    /// Sends clients away. It may be said again, and at any time: a process that stops does so anyway.
    pub fn evacuate(&self) {
        self.step(&[Mode::Starting, Mode::Serving], Mode::Drained);
    }

    /// Calls them back, unless the process has begun to stop.
    pub fn activate(&self) -> bool {
        self.step(&[Mode::Drained], Mode::Serving);
        matches!(self.get(), Mode::Serving | Mode::Starting)
    }

    /// The process stops. One that is drained does not call its clients back for that.
    pub fn stop(&self) {
        self.step(&[Mode::Starting, Mode::Serving], Mode::Stopping);
        self.step(&[Mode::Drained], Mode::Closing);
    }

    /// Nobody is served any more but those whose requests are under way.
    pub fn close(&self) {
        self.0.send_replace(Mode::Closing);
    }

    fn step(&self, from: &[Mode], to: Mode) {
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
        let modes = Modes::default();
        modes.ready();
        modes.evacuate();
        modes.evacuate();
        assert_eq!(modes.get(), Mode::Drained);
        modes.ready();
        assert_eq!(modes.get(), Mode::Drained);
        assert!(modes.activate() && modes.activate());
        assert_eq!(modes.get(), Mode::Serving);
        modes.evacuate();
        modes.stop();
        assert!(!modes.activate());
        modes.evacuate();
        assert_eq!(modes.get(), Mode::Closing);
    }
}
