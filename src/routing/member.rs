//! State of one member of a group.

use super::concurrency_limit::ConcurrencyLimit;
use super::endpoint::{Endpoint, EndpointState};
use super::health_check::MemberHealthCheck;
use super::identifiers::{GroupId, ZoneId};
use super::latency::MemberLatency;
use super::load::MemberLoad;
use super::outlier::{ErrorEjection, Reachability};
use super::replication::Replication;
use super::snapshot::MemberRecord;
use super::time::Timestamp;
use serde::{Deserialize, Serialize};

/// State of a member. It is serialized as one flat object, see the snapshot module.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(from = "MemberRecord", into = "MemberRecord")]
pub struct Member {
    pub(super) identity: Identity,
    pub(super) service: Service,
    pub(super) replication: Replication,
    pub(super) latency: MemberLatency,
    pub(super) load: MemberLoad,
    pub(super) concurrency_limit: ConcurrencyLimit,
    pub(super) reachability: Reachability,
    pub(super) ejection: ErrorEjection,
    pub(super) health_check: MemberHealthCheck,
}

/// Group, zone and process of a member.
#[derive(Clone, Debug, Default)]
pub(super) struct Identity {
    /// Group of the member.
    pub(super) group: GroupId,
    /// Zone of the member.
    pub(super) zone: ZoneId,
    /// Capacity in relation to that of other members.
    pub(super) size: f64,
    /// When the member's process started, if that is known.
    pub(super) started: Option<Timestamp>,
}

/// Whether a member is in service according to the endpoint list.
#[derive(Clone, Debug, Default)]
pub(super) struct Service {
    /// Whether the member has been removed, or is missing from a complete list.
    pub(super) removed: bool,
    /// Whether the member is draining, or was when it was removed. A drain ends only when the
    /// member is listed as ready again.
    pub(super) draining: bool,
    /// When the member was removed; `Timestamp::MAX` while it is not.
    pub(super) removed_at: Timestamp,
}

/// Whether an endpoint list reports a new process of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProcessChange {
    /// The process is the last known one.
    Same,
    /// The process started later than the last known one.
    Restarted,
}

impl Member {
    /// Creates the state of a member that appears in the endpoint list for the first time.
    pub(super) fn new(endpoint: &Endpoint, limit: f64) -> Self {
        Member {
            identity: Identity {
                group: endpoint.group,
                zone: endpoint.zone,
                ..Identity::default()
            },
            service: Service {
                removed_at: Timestamp::MAX,
                ..Service::default()
            },
            latency: MemberLatency::initial(),
            concurrency_limit: ConcurrencyLimit {
                limit,
                ..ConcurrencyLimit::default()
            },
            ..Member::default()
        }
    }

    /// Applies the member's entry of the endpoint list.
    pub(super) fn apply_endpoint(&mut self, endpoint: &Endpoint, now: Timestamp) -> ProcessChange {
        let drained_before = self.service.draining;
        self.service.removed = endpoint.state == EndpointState::Removed;
        self.service.draining =
            endpoint.state == EndpointState::Draining || drained_before && self.service.removed;
        self.identity.size = endpoint.size;
        let restarted = endpoint.started > self.identity.started;
        if restarted {
            self.identity.started = endpoint.started;
            self.replication.process_started(endpoint.started);
            // Errors, shed load and failures of the old process are no evidence about the new one.
            self.ejection = ErrorEjection::default();
            self.load.shed_share = 0.0;
            self.reachability.record_answer(now);
        }
        if endpoint.primary {
            self.replication.listed_as_primary();
        }
        if restarted {
            ProcessChange::Restarted
        } else {
            ProcessChange::Same
        }
    }

    /// Returns whether the member's state may be dropped: it is removed, no request or health check
    /// is in flight there, and it was drained or was removed before `removal_cutoff`.
    pub(super) fn can_be_forgotten(&self, removal_cutoff: Timestamp) -> bool {
        let idle = self.load.in_flight == 0 && !self.health_check.outstanding;
        let settled = self.service.draining || self.service.removed_at < removal_cutoff;
        self.service.removed && idle && settled
    }

    /// Adopts another router's observations of the member. The state of this router's own requests
    /// in flight is kept.
    pub(super) fn merge(&mut self, other: &Member) {
        let other = other.clone();
        self.replication = other.replication;
        self.latency = other.latency;
        self.load = MemberLoad {
            in_flight: self.load.in_flight,
            ..other.load
        };
        self.concurrency_limit = ConcurrencyLimit {
            next_send_at: self.concurrency_limit.next_send_at,
            ..other.concurrency_limit
        };
        self.reachability = Reachability {
            silent_since: self.reachability.silent_since,
            silence_tolerance: self.reachability.silence_tolerance,
            ..other.reachability
        };
        self.ejection = other.ejection;
    }
}
