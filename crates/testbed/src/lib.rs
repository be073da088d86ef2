//! The laboratory: fleets of gateways in front of a model of the world, in virtual time and on loopback, with faults,
//! figures, comparisons and reports. `docs/testbed.md` says why it is as it is.

#![forbid(unsafe_code)]
#![allow(clippy::too_many_lines, clippy::wildcard_imports)]
#![warn(missing_docs)]

pub mod cluster;
pub mod compare;
pub mod demo;
pub mod figures;
pub mod gateway;
pub mod loopback;
pub mod report;
pub mod scenario;
pub mod settings;
pub mod virtual_run;
