//! Leases: which gateway of the fleet does which task. One gateway at a time holds the lease on a task, under a fencing
//! token, the epoch, that grows with every change of holder.
//!
//! A task is a number (`TaskId` of `irisrouter-cluster-types`), for example that of the health checks of a set of database hosts. The gateways alive
//! are its candidates, in the order of [`rendezvous::candidates`]. The first candidate claims the lease. The next two stand
//! by: they ask the voters now and then (a pre-vote, as in Raft), and claim the lease once it has expired. Whether a
//! claim succeeds is decided by a majority of the task's voters, which are at most five gateways of the fleet's list
//! ([`rendezvous::voters`], [`Voter`], [`Claim`]). A holder that is not the first candidate hands the lease over to the first
//! once that one has been alive for a while.
//!
//! A holder checks [`LeaseManager::fencing_token`] before each act, and the act carries the token. A database host that
//! remembers the latest token it saw refuses an older one. This is the only protection against an act that began before
//! the lease expired and arrives after it.
//!
//! The package does no I/O, reads no clock and starts no tasks: callers pass in datagrams and the time, and carry out the
//! [`Action`]s. It has the same shape as `irisrouter-membership`.

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
