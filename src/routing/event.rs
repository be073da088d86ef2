//! The interface of the decision module: settings, events, actions and ids as plain types.
//!
//! Nothing here decides anything. All times are nanoseconds on the batch clock.

use serde::{Deserialize, Serialize};

/// A point on the batch clock, or a length of time, in nanoseconds.
pub type Ns = i64;

/// A request that a client has handed to this proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A member (primary or replica) of some group; small numbers, given out in order of first mention.
#[derive(Deserialize, Serialize, Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberId(pub u32);

/// A group: one primary and its replicas.
#[derive(
    Deserialize, Serialize, Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord,
)]
pub struct GroupId(pub i64);

/// A zone, as an opaque number.
#[derive(
    Deserialize, Serialize, Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord,
)]
pub struct ZoneId(pub u32);

/// A session, as an opaque number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SessionId(pub u64);

impl SessionId {
    /// The same number for the same name, in every process (FNV-1a).
    pub fn of(name: &[u8]) -> Self {
        let step = |h: u64, &b: &u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
        SessionId(name.iter().fold(0xcbf2_9ce4_8422_2325, step))
    }
}

/// How recent the data behind an answer must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Any member will do.
    Any,
    /// Data no older than this when the request is sent.
    Bounded(Ns),
    /// All that the session has written.
    Session,
    /// All that was written before the request came in: the primary.
    Fresh,
    /// A write: only the primary takes it.
    Write,
}

/// Which members drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatScope {
    /// Every member.
    All,
    /// Members of the same zone.
    Zone,
    /// Members of the same group.
    Group,
}

/// What repeating a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Repeats are harmless.
    Safe,
    /// Repeats are dropped within a scope and a time.
    Keyed {
        /// Where repeats are dropped.
        scope: RepeatScope,
        /// For how long after the first attempt that may have run.
        window: Ns,
    },
    /// Must never run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Time within which an answer earns the full worth.
    pub aim: Ns,
    /// The aim grows by this multiple of the request's own work, where that is announced.
    pub aim_stretch: f64,
    /// Time that a client waits in all.
    pub deadline: Ns,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Share of the worth that an answer after the aim still earns.
    pub late_worth: f64,
    /// What a repeat may do.
    pub repeat: Repeat,
    /// How recent the data must be.
    pub freshness: Freshness,
}

/// What members do with a read for which they lag too far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerChecks {
    /// They answer from what they have.
    None,
    /// They turn it away at once.
    Refuse,
    /// They wait up to this long, then turn it away.
    Wait(Ns),
}

/// How the list of members tells roles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRole {
    /// Not at all.
    None,
    /// As it was at the start of the day.
    Static,
    /// Some seconds late.
    Late,
}

/// Where load reports arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// With answers and probes.
    Answers,
    /// With probes only.
    Probes,
    /// Nowhere.
    None,
}

/// What the deployment permits.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Attempts for one request at most.
    pub attempts: u32,
    /// Probes may be sent.
    pub probes: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// A request may have two attempts out at once.
    pub second_copies: bool,
    /// Clients hear the pause of a refusal.
    pub pauses: bool,
    /// Longest pause that clients honour.
    pub max_pause: Ns,
    /// A connection not established in this time has failed.
    pub connect_timeout: Ns,
}

/// Figures of the rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Sends to a draining or gone member must stop within this time.
    pub drain_grace: Ns,
    /// Only a listed drain binds; a member that is gone or missing may still be sent to.
    pub drain_binds_alone: bool,
    /// A member has warmed up after this time at the latest.
    pub cold_for: Ns,
    /// Share of its capacity with which a member starts at least.
    pub start_capacity: f64,
    /// A cold member sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long falls over.
    pub overload_window: Ns,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second, over all proxies, that count as within its share.
    pub quota_per_s: f64,
}

/// All that a router is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seed of this instance's random numbers.
    pub seed: u64,
    /// Number of proxies.
    pub proxies: u32,
    /// Zone of this proxy.
    pub zone: ZoneId,
    /// Least time between two batches.
    pub tick: Ns,
    /// Classes of requests; a request names its class by index.
    pub classes: Vec<Class>,
    /// Tenants; a request names its tenant by index.
    pub tenants: Vec<Tenant>,
    /// Worth of traffic beyond a tenant's share, as a part of its usual worth.
    pub over_share_worth: f64,
    /// What one probe for each request takes off the result, as a part of all worth.
    pub probe_price: f64,
    /// What is permitted.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: Rules,
    /// What members do with reads for which they lag too far.
    pub checks: ServerChecks,
    /// How the list tells roles.
    pub list_role: ListRole,
    /// Every answer carries a position.
    pub positions_in_answers: bool,
    /// Session reads carry the age of the session's last write (else it must be remembered).
    pub marks_carried: bool,
    /// Where load reports arrive.
    pub reports: Reports,
    /// Reports tell how many requests a member holds.
    pub load_told: bool,
    /// The list of members comes only when asked for.
    pub list_on_request: bool,
}

/// What the list says of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// In service.
    Ready,
    /// Finishing its work; nothing new to it.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of a list of members.
#[derive(Clone, Debug)]
pub struct ListEntry {
    /// The member.
    pub member: MemberId,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether it is in service.
    pub listed: Listed,
    /// The list takes it for the primary.
    pub primary: bool,
    /// Relative size.
    pub size: f64,
    /// When its process started, where that is not long ago.
    pub started: Option<Ns>,
}

/// A role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes writes; its data are current.
    Primary,
    /// Follows the primary's log.
    Replica,
}

/// What an answer tells of its member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Note {
    /// Its role.
    pub role: Role,
    /// A time up to which it has applied all commits; for a write, the commit.
    pub position: Option<Ns>,
}

/// A load report; as old as its sender says nothing of.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Position when the report was made.
    pub position: Option<Ns>,
    /// Whether it was primary then.
    pub primary: Option<bool>,
    /// Requests it held (waiting ones included where told).
    pub inflight: Option<f64>,
    /// Share of its cores that were in use.
    pub in_use: Option<f64>,
}

/// What another gateway's probe has found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    /// The member.
    pub member: MemberId,
    /// When it was found.
    pub at: Ns,
    /// What the member said of itself then.
    pub report: Report,
}

/// What of a plan for lost and returning sites binds a router; nothing, by default.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Planned {
    /// By class: the part of its requests that is admitted, 0 to 1; all of those that are not named.
    pub admitted: Vec<f64>,
    /// Zones whose members are led in, and the part of their capacity that they bear now, 0 to 1.
    pub ramps: Vec<(ZoneId, f64)>,
    /// Clients that are refused are to come again after this, and up to twice as long.
    pub pause: Option<Ns>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The member answered with an error; it may have run.
    Error,
    /// Turned away unseen: full or draining.
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
    Moot,
    /// Turned away untouched: wrong role or too far behind.
    Miss,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A list of members: complete, or changes only.
    List {
        /// It is complete: whoever is missing is gone.
        complete: bool,
        /// The entries.
        entries: Vec<ListEntry>,
    },
    /// The list could not be had, or its subscription broke.
    ListLost,
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
        /// When the client gives this try up.
        deadline: Ns,
        /// Announced work on a standard core.
        work: Option<Ns>,
        /// Its group.
        group: GroupId,
        /// Age of the session's last write; `None` when there was none or it is not carried.
        mark_age: Option<Ns>,
        /// The client says that it repeats.
        retry: bool,
    },
    /// A streamed answer has started: the attempt belongs to the client now.
    Streaming {
        /// The request.
        id: RequestId,
    },
    /// An attempt ended.
    Ended {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The member.
        member: MemberId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Ns,
        /// The request is finished.
        finished: bool,
        /// What the answer tells of its member.
        note: Option<Note>,
        /// A load report that came with it.
        report: Option<Report>,
    },
    /// The client has left.
    Left {
        /// The request.
        id: RequestId,
    },
    /// A probe ended.
    Probed {
        /// The member.
        member: MemberId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Ns,
        /// The load report.
        report: Option<Report>,
    },
    /// Members of a group were probed, by this gateway or another one.
    Found(Vec<Finding>),
    /// Another plan for lost and returning sites holds from now on.
    Planned(Planned),
    /// What another router has learnt.
    Learnt(Box<crate::state::Lore>),
    /// The settings have changed.
    Retuned {
        /// The new ones. A class under way keeps its index.
        settings: Box<Settings>,
        /// For each class the index, until now, of the one whose experience it goes on from.
        from: Vec<Option<usize>>,
    },
    /// A wake-up that was asked for.
    Wake,
}

/// What the router wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The member.
        member: MemberId,
        /// Time-out of the attempt.
        limit: Ns,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: turned away, trying again is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// Time the client should stay away; 0 for no advice.
        pause: Ns,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Probe a member.
    Probe {
        /// The member.
        member: MemberId,
    },
    /// Ask for a wake-up.
    Wake {
        /// After this time.
        after: Ns,
    },
    /// Ask for the list's changes from now on.
    Watch,
}
