//! Drain coordination: an operator's command takes a database host out of service, or returns it, at every gateway.
//!
//! A [`DrainCommand`] says that a host is to be drained or to be back in service. The gateway at which an operator issued
//! it announces it to all others until a quorum of the fleet follows it; from then on every majority of gateways contains
//! one that knows it. A gateway follows each command as soon as it knows it.
//!
//! Completing a command is a leased task (`irisrouter-leases`, [`task_id`]). The lease holder is the coordinator of the
//! command: it asks every gateway that membership does not hold to be down how many requests it has in flight at the host,
//! and declares the command complete once all of them have reported none under its epoch. When a coordinator dies, the
//! next lease holder asks all gateways again under its own epoch, and messages with an older epoch are ignored.
//!
//! Of two commands for one host the later one wins, whichever gateway announces it, so that a gateway that was cut off
//! cannot bring an old drain back.
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

/// The high half of the task id of every drain ("DRAI" in ASCII). It is above the number of any database set that a platform
/// assigns.
const TASK_ID_BASE: u64 = 0x4452_4149_0000_0000;

/// The task under which a host's drain is leased to its coordinator.
#[must_use]
pub const fn task_id(host: HostId) -> TaskId {
    TaskId(TASK_ID_BASE | host.0 as u64)
}
