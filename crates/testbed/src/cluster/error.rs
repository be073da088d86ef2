//! The errors of running a cluster of gateways.

use super::MAX_GATEWAYS;
use crate::sockets::SocketError;
use std::io;
use std::path::PathBuf;
use std::sync::mpsc::RecvError;

/// Why a cluster or one of its gateways could not be run.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The plan has no gateway, more than [`MAX_GATEWAYS`], or no zone.
    #[error("a cluster needs 1 to {MAX_GATEWAYS} gateways and at least one zone; the plan has {gateways} gateways")]
    PlanSize {
        /// Number of gateways of the plan.
        gateways: usize,
    },
    /// A file or directory of the run could not be written.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file or directory.
        path: PathBuf,
        /// The system's reason.
        source: io::Error,
    },
    /// The runtime for asynchronous tasks could not be created.
    #[error("cannot create the runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The thread of the stand-ins ended before it had started them.
    #[error("the thread of the stand-ins ended before it had started them: {0}")]
    StandIns(#[source] RecvError),
    /// A socket of a stand-in or the relay could not be created.
    #[error(transparent)]
    Socket(#[from] SocketError),
    /// The gateway's program could not be started.
    #[error("cannot start {}: {source}", program.display())]
    Spawn {
        /// Path of the program.
        program: PathBuf,
        /// The system's reason.
        source: io::Error,
    },
    /// The standard error of a gateway's process, to which it logs, is not available.
    #[error("the standard error of the gateway's process is not available")]
    NoLog,
    /// A gateway did not log both its addresses in time.
    #[error("gateway {gateway} does not listen in time; its log:\n{log}")]
    NotListening {
        /// Number of the gateway.
        gateway: usize,
        /// The lines of its log, each indented and followed by a line break.
        log: String,
    },
    /// The gateways' views of one another did not agree in time.
    #[error("the gateways' views of one another do not agree in time")]
    ViewsDiffer,
    /// The lease of a set was not acquired by any gateway in time.
    #[error("the lease of a set was not acquired in time")]
    NoLeaseHolder,
    /// A worker thread panicked in one of several parallel runs.
    #[error("a thread of a parallel run panicked")]
    Panicked,
}
