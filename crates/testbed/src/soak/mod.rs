//! A soak of real gateways: random clients and random faults, drawn from a seed, up to a SIGTERM of every gateway and the
//! SIGKILL behind it at the earliest time that the platform allows. Clients go on until then. What the clients, the hosts
//! and the logs saw is checked against the rules on answers, without knowledge of the gateway's insides.
//!
//! [`plan`] draws, [`run`] plays, [`check`] judges.

pub mod check;
mod client;
mod connection;
pub mod overload;
pub mod plan;
pub mod records;
pub mod run;
pub mod summary;
mod timeline;
