//! A shared watch of the endpoint list: one gateway watches the discovery service on behalf of the whole fleet.
//!
//! Watching is a leased task (`irisrouter-leases`, [`TASK_ID`]). The lease holder keeps a long poll open at the
//! discovery service. While the service answers its calls, it sends all other gateways a short [`Heartbeat`] with the
//! revision of its endpoint list and the hosts that this list marks as out of service. The other gateways keep no long
//! poll open. They stop sending requests to the hosts named in a heartbeat as soon as they receive it. They
//! fetch all other changes from the service themselves, one gateway after another. A heartbeat cannot carry these
//! changes, because a host's address is only valid for the gateway to which the service gave it, and a gateway sends
//! requests only to hosts on its own list.
//!
//! A gateway that receives no heartbeat for some time, or only heartbeats of a list older than its own, watches the
//! service itself, as all gateways do without this package.
//!
//! The package does no I/O, reads no clock and starts no task.

#![forbid(unsafe_code)]

pub mod codec;
mod heartbeat;
mod poll_decision;
mod revision;
mod settings;
mod watcher;

pub use codec::{recognizes, WireError};
pub use heartbeat::{Heartbeat, MAX_HOSTS_OUT_OF_SERVICE};
pub use poll_decision::{LocalState, PollDecision};
pub use revision::Revision;
pub use settings::Settings;
pub use watcher::EndpointWatcher;

use irisrouter_cluster_types::TaskId;

/// Id of the leased task for the watch ("WATCH" in ASCII). It is larger than any number that a platform assigns to a
/// group and than the task id of any drain, so that it does not collide with them.
pub const TASK_ID: TaskId = TaskId(0x5741_5443_4800_0000);
