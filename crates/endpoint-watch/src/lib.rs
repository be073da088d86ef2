//! One watcher of the endpoint list for a whole fleet, where one discovery service answers all gateways.
//!
//! Watching is a leased task (`irisrouter-leases`, [`TASK_ID`]). The lease holder keeps a long poll open at the service.
//! While its calls are answered it sends all other gateways a short [`Heartbeat`] with the revision of its list and the
//! hosts that this list has out of service. The other gateways keep no long poll open. They send nothing to the hosts that
//! a heartbeat names, from the moment at which they receive it. Everything else they fetch from the service themselves,
//! one gateway after another: a host's address is only valid as the service gives it to the gateway that asks, and a host
//! that a gateway's own list has not named gets nothing.
//!
//! A gateway that receives no heartbeat for a while, or only heartbeats of a list older than its own, watches for itself,
//! as all gateways do without this package.
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

/// The task as which the watch is leased ("WATCH" in ASCII): it lies beyond any number that a platform gives a set,
/// and beyond the number of any drain.
pub const TASK_ID: TaskId = TaskId(0x5741_5443_4800_0000);
