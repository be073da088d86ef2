//! Why a cluster of gateways could not be run.

use super::MAX_GATEWAYS;
use crate::sockets::SocketError;
use std::io;
use std::path::PathBuf;
use std::sync::mpsc::RecvError;

/// Why a cluster could not be started, or one of its gateways.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The plan has no gateway, too many, or no zone.
    #[error("1 to {MAX_GATEWAYS} gateways and a zone at least, not {gateways}")]
    PlanSize {
        /// Number of gateways of the plan.
        gateways: usize,
    },
    /// A file or folder of the run could not be written.
    #[error("{}: {source}", path.display())]
    File {
        /// Its path.
        path: PathBuf,
        /// The system's reason.
        source: io::Error,
    },
    /// The system gave no runtime for asynchronous tasks.
    #[error("no runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The thread of the stand-ins ended before it had started them.
    #[error("no stand-ins: {0}")]
    StandIns(#[source] RecvError),
    /// A stand-in or the relay has no socket.
    #[error(transparent)]
    Socket(#[from] SocketError),
    /// The gateway's program could not be started.
    #[error("cannot start {}: {source}", program.display())]
    Spawn {
        /// The program.
        program: PathBuf,
        /// The system's reason.
        source: io::Error,
    },
    /// The standard error of a gateway's process can't be read.
    #[error("a gateway without a log")]
    NoLog,
    /// A gateway did not listen in time.
    #[error("gateway {gateway} does not listen; it said:\n{log}")]
    NotListening {
        /// Its number.
        gateway: usize,
        /// The lines of its log, each indented and ended.
        log: String,
    },
    /// The gateways' views of one another did not become one in time.
    #[error("the fleet does not see itself whole")]
    ViewsDiffer,
    /// A set had no holder of its lease in time.
    #[error("a set has no owner")]
    NoLeaseHolder,
    /// A thread that ran one of several runs panicked.
    #[error("a run panicked")]
    Panicked,
}
