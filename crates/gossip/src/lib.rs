//! What gateways tell one another of database hosts: the message, and who asks which set when.
//!
//! No I/O, no clock, no randomness: the time is an argument, in nanoseconds of Unix time. Nothing here decides where
//! a request goes, and nothing that is decoded here is trusted: whoever uses a finding checks it against what its own
//! list has named.

#![forbid(unsafe_code)]

pub mod health_check_schedule;
pub mod message;
