//! Database hosts: the registry of hosts, the connections to them, attempts and health checks.

mod attempt;
mod connection;
mod drains;
mod exchange;
mod health_check;
mod host;
mod host_lookup;
mod host_table;
mod load_report;
mod pool;
mod reachability;
mod registry;
mod reply;
mod response_stream;

pub use attempt::{AttemptResult, OutgoingStatement, SendDeadline, Statement};
pub use health_check::{Fence, HealthCheck};
pub use host_table::GroupMember;
pub use pool::IDLE_CLOSE_INTERVAL;
pub use registry::Upstream;
pub use response_stream::{StreamChunk, StreamedAnswer};
