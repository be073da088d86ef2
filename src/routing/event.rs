//! Events: what the router learns from its caller.

use super::endpoint::{Endpoint, LoadReport, ReplicationStatus, SharedHealthCheck};
use super::identifiers::{GroupId, MemberId, RequestId, SessionId, ZoneId};
use super::settings::Settings;
use super::snapshot::RoutingSnapshot;
use super::time::{TimeDelta, Timestamp};

/// What a site-failover plan asks of a router; nothing, by default.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FailoverDirectives {
    /// By class: the share of its requests that is admitted, 0 to 1. Classes beyond the end are admitted in full.
    pub admitted_share: Vec<f64>,
    /// The zones on a recovery ramp.
    pub recovery_ramps: Vec<RecoveryRamp>,
    /// Rejected clients are to retry after this, and up to twice as long.
    pub retry_after: Option<TimeDelta>,
}

/// The recovery ramp of a zone that is back after its loss.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryRamp {
    /// The zone.
    pub zone: ZoneId,
    /// Share of its capacity that it bears now, 0 to 1.
    pub share: f64,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The member answered with an error; it may have run.
    Error,
    /// Rejected by the member before it ran: the member is full or draining.
    Full,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// Connection lost; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Rejected by the member before it ran: the member has the wrong role, or its data are too old.
    Unsuitable,
}

impl Outcome {
    /// Whether the outcome proves that the request did not run at the member.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Unsuitable
        )
    }
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list, or changes to it.
    EndpointList {
        /// It is complete: members that are missing have been removed.
        complete: bool,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// The endpoint list could not be fetched, or its watch broke.
    EndpointListLost,
    /// A request came in.
    Request {
        /// Its id.
        id: RequestId,
        /// Its class, an index into the settings.
        class: usize,
        /// Its tenant, an index into the settings.
        tenant: Option<usize>,
        /// Its session.
        session: Option<SessionId>,
        /// When the client stops waiting for this try.
        deadline: Timestamp,
        /// Announced work on a standard core.
        work: Option<TimeDelta>,
        /// Its group.
        group: GroupId,
        /// Age of the session's last write; `None` when there was none or it is not carried.
        last_write_age: Option<TimeDelta>,
        /// The client says that this is a retry.
        retry: bool,
    },
    /// A streamed answer has started: the attempt belongs to the client now.
    Streaming {
        /// The request.
        id: RequestId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The member.
        member: MemberId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was started.
        elapsed: TimeDelta,
        /// The request is finished.
        finished: bool,
        /// What the answer says of its member.
        status: Option<ReplicationStatus>,
        /// A load report that came with it.
        report: Option<LoadReport>,
    },
    /// The client is gone.
    ClientGone {
        /// The request.
        id: RequestId,
    },
    /// A health check ended.
    HealthChecked {
        /// The member.
        member: MemberId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: TimeDelta,
        /// The load report.
        report: Option<LoadReport>,
    },
    /// Members of a group were checked, by this gateway or another one.
    SharedHealthChecks(Vec<SharedHealthCheck>),
    /// Other directives of the site-failover plan hold from now on.
    FailoverDirectivesChanged(FailoverDirectives),
    /// What another router of this gateway has learnt.
    SnapshotReceived(Box<RoutingSnapshot>),
    /// The settings have changed.
    SettingsChanged {
        /// The new ones. A class under way keeps its index.
        settings: Box<Settings>,
        /// For each class the index, until now, of the class whose measurements it goes on from.
        measurements_from: Vec<Option<usize>>,
    },
    /// A timer that was asked for has fired.
    TimerFired,
}
