//! Database hosts: which there are, connections to them, attempts and health checks.

mod registry;

pub use registry::*;
