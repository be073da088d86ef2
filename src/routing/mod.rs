//! Routing decisions: which member serves a request, and whether the request is retried or
//! rejected.
//!
//! [`Router`] is a state machine without I/O and without a clock: its inputs are [`Event`]s and the
//! current time, its outputs are [`Action`]s. The same router runs in the gateway, in the
//! simulator's adapter and in the testbed.
//!
//! The decisions are in `router`, `selection`, `admission`, `send_check` and `retry` (the `policy`
//! files of `deploy/balancer.toml`). The other modules hold the state that decisions are based on: `fleet`
//! has the estimates for members, groups and classes, and `request` has the unfinished requests.

mod action;
mod admission;
mod concurrency_limit;
mod endpoint;
mod event;
mod fleet;
mod fleet_updates;
mod group;
mod health_check;
mod health_check_dispatch;
mod health_check_queue;
mod identifiers;
mod latency;
mod load;
mod member;
mod outlier;
mod replication;
mod request;
mod retry;
mod retry_budget;
mod router;
mod selection;
mod selection_schedule;
mod send_check;
mod session_commits;
mod settings;
mod slow_start;
mod snapshot;
mod time;
mod timer;

pub use action::Action;
pub use endpoint::{
    Endpoint, EndpointState, LoadReport, ReplicationStatus, Role, SharedHealthCheck,
};
pub use event::{Event, FailoverDirectives, Outcome, RecoveryRamp, StreamEnd};
pub use identifiers::{GroupId, MemberId, RequestId, SessionId, ZoneId};
pub use member::Member;
pub use router::Router;
pub use send_check::SendPermit;
pub use session_commits::latest_commit_position;
pub use settings::{
    DeduplicationScope, Freshness, Idempotency, Limits, LoadReportSource, RequestClass,
    RoleInEndpointList, SafetyRules, Settings, StalenessCheck, Tenant,
};
pub use snapshot::{RoutingSnapshot, SnapshotMember};
pub use time::{TimeDelta, Timestamp};
