//! Routing decisions: which member serves a request, whether it is retried, and what is rejected.
//!
//! [`Router`] is a state machine without I/O and without a clock: [`Event`]s and the time go in, [`Action`]s come out. The
//! same router runs in the gateway, in the simulator's adapter and in the testbed.

mod action;
mod endpoint;
mod event;
mod identifiers;
mod member;
mod router;
mod settings;

pub use action::Action;
pub use endpoint::{
    Endpoint, EndpointState, LoadReport, ReplicationStatus, Role, SharedHealthCheck,
};
pub use event::{Event, FailoverDirectives, Outcome};
pub use identifiers::{GroupId, MemberId, Nanos, RequestId, SessionId, ZoneId};
pub use member::{Member, RoutingSnapshot};
pub use router::Router;
pub use settings::{
    DeduplicationScope, Freshness, Idempotency, Limits, LoadReportSource, RequestClass,
    RoleInEndpointList, SafetyRules, Settings, StalenessCheck, Tenant,
};
