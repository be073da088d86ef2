//! Why a run on loopback failed.

use super::MAX_REQUESTS_PER_S;
use crate::sockets::SocketError;
use irisrouter::platform_settings::PlatformSettingsError;
use std::fmt;
use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;

/// Why a run on loopback could not start, or ended early.
#[derive(Debug, thiserror::Error)]
pub enum LoopbackError {
    /// A gateway would refuse the scenario's settings.
    #[error(transparent)]
    Settings(#[from] PlatformSettingsError),
    /// Gateways and hosts would need more connections than one machine carries.
    #[error("{gateways} gateways times {hosts} hosts are too many for one machine")]
    TooManyConnections {
        /// Number of gateways.
        gateways: u32,
        /// Number of hosts.
        hosts: u32,
    },
    /// The load is higher than one machine carries.
    #[error("{per_s:.0} requests a second are too many for one machine, {MAX_REQUESTS_PER_S:.0} at most")]
    TooManyRequests {
        /// Requests a second.
        per_s: f64,
    },
    /// The system gave no runtime for asynchronous tasks.
    #[error("no runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A stand-in or the relay has no socket.
    #[error(transparent)]
    Socket(#[from] SocketError),
    /// A file or folder of the run could not be written.
    #[error("{}: {source}", path.display())]
    File {
        /// Its path.
        path: PathBuf,
        /// The system's reason.
        source: io::Error,
    },
    /// The gateway's program could not be started.
    #[error("cannot start the gateway {}: {source}", program.display())]
    Spawn {
        /// The program.
        program: PathBuf,
        /// The system's reason.
        source: io::Error,
    },
    /// The standard error of a gateway's process can't be read.
    #[error("a gateway without a log")]
    NoLog,
    /// A gateway did not start, or ended by itself.
    #[error("the gateway {name} {failure}; its last log lines:\n{}", indented(log))]
    Gateway {
        /// Its name.
        name: String,
        /// What became of it.
        failure: GatewayFailure,
        /// The last lines of its log.
        log: Vec<String>,
    },
}

/// What became of a gateway that failed.
#[derive(Debug)]
pub enum GatewayFailure {
    /// Its process ended before it listened.
    EndedAtStart(ProcessEnd),
    /// Its process did not listen in time.
    NotListening,
    /// Its process ended during the run.
    EndedByItself(ProcessEnd),
}

impl fmt::Display for GatewayFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::EndedAtStart(end) => write!(f, "ended at its start ({end})"),
            Self::NotListening => f.write_str("does not listen"),
            Self::EndedByItself(end) => write!(f, "ended by itself ({end})"),
        }
    }
}

/// How a process ended: its status, or why that is unknown.
#[derive(Debug)]
pub struct ProcessEnd(pub io::Result<ExitStatus>);

impl fmt::Display for ProcessEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Ok(status) => status.fmt(f),
            Err(error) => error.fmt(f),
        }
    }
}

fn indented(log: &[String]) -> String {
    if log.is_empty() {
        return "  (it said nothing)".to_string();
    }
    let lines: Vec<String> = log.iter().map(|line| format!("  {line}")).collect();
    lines.join("\n")
}
