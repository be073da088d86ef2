//! Settings of a router: request classes, limits and rules of the deployment.

use super::identifiers::ZoneId;
use super::time::TimeDelta;

/// How recent the data behind an answer must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Any member will do.
    Any,
    /// Data no older than this when the request is sent.
    BoundedStaleness(TimeDelta),
    /// All that the session has written.
    Session,
    /// All that was written before the request came in: the primary.
    Strong,
    /// A write: only the primary takes it.
    Write,
}

/// Which members drop duplicates of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every member.
    All,
    /// Members of the same zone.
    Zone,
    /// Members of the same group.
    Group,
}

/// What sending a request more than once may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats are harmless.
    Idempotent,
    /// Requests carry an idempotency key: repeats are dropped within a scope and a time.
    Keyed {
        /// Where repeats are dropped.
        scope: DeduplicationScope,
        /// For how long after the first attempt that may have run.
        window: TimeDelta,
    },
    /// Must never run twice.
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Time within which an answer earns the full priority weight.
    pub latency_objective: TimeDelta,
    /// The objective grows by this multiple of the request's own work, where that is announced.
    pub objective_stretch: f64,
    /// Time that a client waits in all.
    pub deadline: TimeDelta,
    /// Value of an answer within the latency objective.
    pub priority_weight: f64,
    /// Share of the weight that an answer after the objective still earns, 0 to 1.
    pub late_weight: f64,
    /// What a repeat may do.
    pub idempotency: Idempotency,
    /// How recent the data must be.
    pub freshness: Freshness,
}

/// What members do with a read for which their data are too old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalenessCheck {
    /// They answer from what they have.
    None,
    /// They reject it at once.
    Reject,
    /// They wait up to this long, then reject it.
    Wait(TimeDelta),
}

/// Whether the endpoint list gives roles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleInEndpointList {
    /// Not at all.
    None,
    /// As they were at the start of the day.
    Static,
    /// Some seconds late.
    Late,
}

/// Where load reports arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// With answers and health checks.
    Answers,
    /// With health checks only.
    HealthChecks,
    /// Nowhere.
    None,
}

/// What the deployment permits.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Attempts for one request at most.
    pub max_attempts: u32,
    /// Health checks may be sent.
    pub health_checks: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// A request may be hedged: have two attempts in flight at once.
    pub hedged_requests: bool,
    /// Rejected clients are told when to retry.
    pub retry_after: bool,
    /// Longest `retry_after` that clients honour.
    pub max_retry_after: TimeDelta,
    /// A connection that is not established in this time has failed.
    pub connect_timeout: TimeDelta,
}

/// Figures of the rules that bind every gateway.
#[derive(Clone, Debug)]
pub struct SafetyRules {
    /// Sends to a draining or removed member must stop within this time.
    pub drain_grace: TimeDelta,
    /// Only a listed drain binds; a member that is removed or missing may still be sent to.
    pub only_listed_drains_bind: bool,
    /// A member has warmed up after this time at the latest.
    pub warm_up_time: TimeDelta,
    /// Share of its capacity with which a cold member starts at least, 0 to 1.
    pub initial_capacity: f64,
    /// A cold member that is sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long falls over.
    pub overload_window: TimeDelta,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second, over all gateways, that count as within its quota.
    pub quota_per_s: f64,
}

/// All that a router is given at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seed of this instance's random numbers.
    pub seed: u64,
    /// Number of gateways.
    pub gateway_count: u32,
    /// Zone of this gateway.
    pub zone: ZoneId,
    /// Least time between two batches.
    pub tick: TimeDelta,
    /// Classes of requests; a request names its class by index.
    pub classes: Vec<RequestClass>,
    /// Tenants; a request names its tenant by index.
    pub tenants: Vec<Tenant>,
    /// Weight of traffic beyond a tenant's quota, as a part of its usual weight.
    pub over_quota_weight: f64,
    /// What one health check for each request costs, as a part of all weight.
    pub health_check_price: f64,
    /// What is permitted.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: SafetyRules,
    /// What members do with reads for which their data are too old.
    pub staleness_check: StalenessCheck,
    /// Whether the endpoint list gives roles.
    pub role_in_endpoint_list: RoleInEndpointList,
    /// Every answer carries a position.
    pub positions_in_answers: bool,
    /// Session reads carry the age of the session's last write (else it must be remembered).
    pub last_write_age_carried: bool,
    /// Where load reports arrive.
    pub load_report_source: LoadReportSource,
    /// Load reports count the requests in flight at a member.
    pub in_flight_reported: bool,
    /// The endpoint list comes only when asked for.
    pub endpoint_list_on_request: bool,
}
