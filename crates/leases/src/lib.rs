//! Leases, which assign each task of the fleet to one gateway. At most one gateway at a time holds the lease on a task.
//! The epoch of the lease serves as its fencing token and increases with every change of holder.
//!
//! A task is identified by a number (`TaskId` of `irisrouter-cluster-types`), for example the health checks of a set of
//! database hosts. Its candidates are the gateways that are alive, in the order of [`rendezvous::candidates`]. The
//! first candidate claims the lease. The next two are on standby: they periodically ask the voters whether the lease is
//! vacant (a pre-vote, as in Raft), and claim it once it has expired. A claim succeeds when a majority of the task's
//! voters grant it. The voters are at most five gateways of the fleet's list ([`rendezvous::voters`], [`Voter`],
//! [`Claim`]). A holder that is not the first candidate hands the lease over to the first candidate after
//! [`Settings::handover_delay`].
//!
//! A holder checks [`LeaseManager::fencing_token`] before each operation, and sends the token with the operation. A
//! database host that remembers the latest token it has seen rejects operations with an older one. This is the only
//! protection against an operation that was started before the lease expired and arrives after that.
//!
//! The package does no I/O, reads no clock and spawns no async tasks: callers pass in datagrams and the time, and carry
//! out the [`Action`]s. `irisrouter-membership` is structured in the same way.

mod action;
mod claim;
pub mod codec;
mod manager;
mod outbox;
pub mod rendezvous;
mod settings;
mod task_state;
mod voter;
mod voter_role;

pub use action::{Action, LeaseChange};
pub use claim::Claim;
pub use codec::recognizes;
pub use manager::{HeldLease, LeaseManager, PartitionSide};
pub use settings::{LeaseTerms, Settings, SettingsError};
pub use voter::{Vote, Voter};
