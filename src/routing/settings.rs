//! Settings of a router: request classes, limits and rules of the deployment.

use super::identifiers::ZoneId;
use super::time::TimeDelta;

/// How recent the data behind an answer must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Data of any age, so that any member can serve the request.
    Any,
    /// Data that are no older than this when the request is sent.
    BoundedStaleness(TimeDelta),
    /// All earlier writes of the same session.
    Session,
    /// All writes before the arrival of the request; only the primary can serve it.
    Strong,
    /// The request is a write; only the primary can serve it.
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

/// Whether a request may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats are harmless.
    Idempotent,
    /// Requests carry an idempotency key, by which members drop repeats.
    Keyed {
        /// Which members drop repeats.
        scope: DeduplicationScope,
        /// How long members drop repeats, from the first attempt that may have run.
        window: TimeDelta,
    },
    /// The request must never run twice.
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Time from the arrival of the request within which an answer has the full priority weight.
    pub latency_objective: TimeDelta,
    /// Multiple of the request's announced work by which the latency objective is extended.
    pub objective_stretch: f64,
    /// Total time that a client waits for an answer.
    pub deadline: TimeDelta,
    /// Value of an answer within the latency objective.
    pub priority_weight: f64,
    /// Share of the priority weight that an answer after the latency objective still has, 0 to 1.
    pub late_weight: f64,
    /// Whether repeats are harmless.
    pub idempotency: Idempotency,
    /// How recent the data behind the answer must be.
    pub freshness: Freshness,
}

/// What members do with a read for which their data are too old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalenessCheck {
    /// The member answers the read from the data that it has.
    None,
    /// The member rejects the read at once.
    Reject,
    /// The member waits up to this long for recent enough data, then rejects the read.
    Wait(TimeDelta),
}

/// Which roles of the members the endpoint list gives, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleInEndpointList {
    /// The endpoint list gives no roles.
    None,
    /// The endpoint list gives the initial roles of the members, and never updates these roles.
    Static,
    /// The endpoint list gives current roles, some seconds late.
    Late,
}

/// Messages with which the load reports of members arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// With answers and health checks.
    Answers,
    /// With health checks only.
    HealthChecks,
    /// Members report no load.
    None,
}

/// What the deployment permits gateways to do.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Whether health checks may be sent.
    pub health_checks: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether a request may be hedged, that is, have two attempts in flight at once.
    pub hedged_requests: bool,
    /// Whether a rejection tells the client when to retry.
    pub retry_after: bool,
    /// Longest `retry_after` that clients honour.
    pub max_retry_after: TimeDelta,
    /// A connection that is not established in this time has failed.
    pub connect_timeout: TimeDelta,
}

/// Parameters of the safety rules that bind every gateway.
#[derive(Clone, Debug)]
pub struct SafetyRules {
    /// Sends to a draining or removed member must stop within this time.
    pub drain_grace: TimeDelta,
    /// Whether only a listed drain ends sending to a member. If so, a member that is removed or
    /// missing may still be sent requests.
    pub only_listed_drains_bind: bool,
    /// Time from the start of a process by which the member has its full capacity.
    pub warm_up_time: TimeDelta,
    /// Minimum share of its capacity that a member has when its process starts, 0 to 1.
    pub initial_capacity: f64,
    /// Multiple of its current capacity that overloads a member in slow start. The member fails if
    /// it is sent more than this for the `overload_window`.
    pub overload_multiple: f64,
    /// Time for which a member in slow start withstands such an overload.
    pub overload_window: TimeDelta,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second, over all gateways, up to which the tenant is within its quota.
    pub quota_per_s: f64,
}

/// Settings of a router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seed of this router's random numbers.
    pub seed: u64,
    /// Number of gateways.
    pub gateway_count: u32,
    /// Zone of this gateway.
    pub zone: ZoneId,
    /// Minimum time between two batches.
    pub tick: TimeDelta,
    /// Classes of requests; a request names its class by index.
    pub classes: Vec<RequestClass>,
    /// Tenants; a request names its tenant by index.
    pub tenants: Vec<Tenant>,
    /// Weight of a request beyond its tenant's quota, as a share of its usual weight.
    pub over_quota_weight: f64,
    /// Cost of sending one health check for each request, as a share of the total priority weight.
    pub health_check_price: f64,
    /// What the deployment permits.
    pub limits: Limits,
    /// Parameters of the safety rules.
    pub rules: SafetyRules,
    /// What members do with reads for which their data are too old.
    pub staleness_check: StalenessCheck,
    /// Whether the endpoint list gives roles.
    pub role_in_endpoint_list: RoleInEndpointList,
    /// Whether every answer carries a position.
    pub positions_in_answers: bool,
    /// Whether session reads carry the age of the session's last write. Otherwise the router must
    /// remember it.
    pub last_write_age_carried: bool,
    /// Where load reports arrive.
    pub load_report_source: LoadReportSource,
    /// Whether load reports give the number of requests in flight at the member.
    pub in_flight_reported: bool,
    /// Whether the endpoint list is sent only after a subscription.
    pub endpoint_list_on_request: bool,
}
