//! The signals of the process: SIGTERM and SIGINT stop it, SIGUSR1 prints the counters, SIGHUP reloads the
//! configuration.

use crate::net::admin::counter_report::CounterReport;
use crate::net::lifecycle::reload::ConfigReloader;
use crate::net::lifecycle::StartupError;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// All signals that the gateway handles.
pub struct Signals {
    /// The signals that stop the gateway.
    pub termination: TerminationSignals,
    /// The signals that operators send to a running gateway.
    pub operator: OperatorSignals,
}

/// SIGTERM and SIGINT.
pub struct TerminationSignals {
    terminate: Signal,
    interrupt: Signal,
}

/// SIGUSR1 and SIGHUP.
pub struct OperatorSignals {
    print_counters: Signal,
    reload: Signal,
}

impl Signals {
    /// Installs the handlers. From then on none of these signals ends the process by its default action.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system refuses a handler.
    pub fn catch() -> Result<Self, StartupError> {
        let catch = |kind| signal(kind).map_err(StartupError::Signals);
        Ok(Self {
            termination: TerminationSignals {
                terminate: catch(SignalKind::terminate())?,
                interrupt: catch(SignalKind::interrupt())?,
            },
            operator: OperatorSignals {
                print_counters: catch(SignalKind::user_defined1())?,
                reload: catch(SignalKind::hangup())?,
            },
        })
    }
}

impl TerminationSignals {
    /// Waits for SIGTERM or SIGINT.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

impl OperatorSignals {
    /// Handles SIGUSR1 and SIGHUP until the process ends, also during a shutdown, which a SIGHUP must not interrupt.
    pub async fn handle(mut self, counters: CounterReport, mut reloader: ConfigReloader) {
        loop {
            tokio::select! {
                _ = self.print_counters.recv() => counters.print(),
                _ = self.reload.recv() => reloader.reload(),
            }
        }
    }
}
