//! The environment of a gateway under test: the program as a process, with clients, database hosts and discovery played
//! by the test, all on ephemeral loopback ports. The harness waits for conditions and never for a fixed duration;
//! [`TEST_TIMEOUT`] only ends a test that has failed.

pub mod client;
pub mod discovery;
pub mod gateway;
pub mod host;
pub mod manual_host;
pub mod messages;
pub mod monitor;
pub mod peers;
pub mod scripted_discovery;

use std::time::Duration;

/// Time after which a condition that is still unmet fails its test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
