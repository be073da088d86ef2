//! Health checks shared between gateways: the schedule of which gateway checks which group and
//! when, and the message that carries the results.
//!
//! A group is one primary with its replicas. In each period one gateway checks the hosts of a group
//! and sends the results to all other gateways, so that the number of health checks does not grow
//! with the number of gateways.
//!
//! The package does no I/O, reads no clock and uses no randomness: the time is an argument, in
//! nanoseconds of Unix time. The package makes no routing decisions. Decoded results are untrusted:
//! the caller must ignore results of hosts that are not in the gateway's own endpoint list.

#![forbid(unsafe_code)]

pub mod health_check_schedule;
pub mod message;
mod time;

pub use time::{Nanoseconds, UnixNanoseconds};
