//! Health checks that gateways share: which gateway checks which group when, and the message that
//! carries the results.
//!
//! A group is one primary with its replicas. Within each period one gateway checks the hosts of a
//! group and sends the results to all the others, so that the number of health checks does not grow
//! with the number of gateways.
//!
//! The package does no I/O, reads no clock and uses no randomness: the time is an argument, in
//! nanoseconds of Unix time. Nothing here decides where a request goes. Decoded results are
//! untrusted: whoever uses one checks it against the hosts that the gateway's own endpoint list
//! names.

#![forbid(unsafe_code)]

pub mod health_check_schedule;
pub mod message;
mod time;

pub use time::{Nanoseconds, UnixNanoseconds};
