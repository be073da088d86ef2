//! Drain coordination: an operator's command takes a database host out of service, or returns it to service, at every
//! gateway.
//!
//! A [`DrainCommand`] requests that a host be drained or returned to service. The gateway at which an operator issues
//! the command announces it to all other gateways until a quorum of the fleet follows it; from then on every majority
//! of gateways contains one that knows the command. A gateway follows each command as soon as it receives it.
//!
//! Completing a command is a leased task (`irisrouter-leases`, [`task_id`]). The lease holder is the coordinator of the
//! command: it asks every gateway that membership does not report as down for its number of requests in flight at the
//! host, and declares the command complete once each of them has reported zero under the coordinator's epoch. When a
//! coordinator fails, the next lease holder asks all gateways again under its own epoch, and messages with an older
//! epoch are ignored.
//!
//! Of two commands for one host the later one wins, whichever gateway announces it, so that a gateway that rejoins
//! after a network partition cannot reinstate an old drain.
//!
//! The package does no I/O, reads no clock and starts no task: the caller passes datagrams and the time to
//! [`DrainCoordinator`] and carries out the [`Action`]s that it returns.

#![forbid(unsafe_code)]

mod action;
pub mod codec;
mod command;
mod command_log;
mod coordinator;
mod fleet;
mod outgoing;
mod progress;
mod settings;

pub use action::{Action, CompletionOrigin};
pub use codec::{recognizes, WireError};
pub use command::{hosts_to_drain, DesiredState, DrainCommand, Precedence};
pub use command_log::CommandLogError;
pub use coordinator::{DrainCoordinator, LocalState};
pub use progress::{CommandStatus, Completion, Progress, ReplicationProgress};
pub use settings::Settings;

use irisrouter_cluster_types::{HostId, TaskId};

/// Upper 32 bits of the task id of every drain ("DRAI" in ASCII). Task ids with these bits are greater than the number
/// of any database group that a platform assigns, so that the task ids of drains and groups never collide.
const TASK_ID_BASE: u64 = 0x4452_4149_0000_0000;

/// Returns the id of the leased task whose lease holder coordinates the drains of this host.
#[must_use]
pub const fn task_id(host: HostId) -> TaskId {
    TaskId(TASK_ID_BASE | host.0 as u64)
}
