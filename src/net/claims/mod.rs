//! Claims: the state that all processes of one gateway share while a hot restart lasts: the ids of open requests, and the
//! position of the last write of any session.
//!
//! A process that shares its claims keeps them in a file in the shared directory, its claim table. To claim an id, it
//! takes a lock on the directory, searches the tables of the other processes, and enters the id into its own. Exactly
//! one process therefore gets an id, none of them waits for another one to run, and the tables of a process that has
//! ended can still be read. A process that is alone shares nothing and pays nothing.
//!
//! - `table`: the claim table of one process
//! - `directory`: the shared directory, its lock, and its generation, by which processes notice newer ones
//! - `others`: what this process knows of the tables of the other processes
//! - `registry`: [`Claims`], which joins the other processes, claims, publishes and releases

mod directory;
mod others;
mod registry;
mod table;

pub use registry::{ClaimError, ClaimPurpose, Claims, OpenClaim, REFRESH_INTERVAL, RETENTION};
pub use table::ClaimKey;
