//! The testbed: fleets of gateways in front of a model of the world, in virtual time and on loopback, with faults,
//! results, comparisons and reports. `docs/testbed.md` gives the reasons for its design.

pub mod cluster;
pub mod compare;
pub mod demo;
pub mod flood;
pub mod gateway;
pub mod loopback;
pub mod report;
pub mod results;
pub mod scenario;
pub mod settings;
pub mod soak;
pub mod sockets;
pub mod virtual_run;
