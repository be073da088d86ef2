//! What is known of database hosts from outside: the endpoint list, and the role, position and load that hosts report.

use super::identifiers::{GroupId, MemberId, ZoneId};
use super::time::Timestamp;

/// The state that the endpoint list gives for a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// In service.
    Ready,
    /// Draining: it finishes its work and must get nothing new.
    Draining,
    /// Removed from service.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The member.
    pub member: MemberId,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether it is in service.
    pub state: EndpointState,
    /// Whether the list takes it for the primary.
    pub primary: bool,
    /// Capacity in relation to that of other members.
    pub size: f64,
    /// When its process started, if that is not long ago.
    pub started: Option<Timestamp>,
}

/// The role of a member in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes writes; its data are current.
    Primary,
    /// Follows the primary's log.
    Replica,
}

/// What an answer says of its member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicationStatus {
    /// Its role.
    pub role: Role,
    /// The time up to which it has applied all commits; for a write, the time of the commit.
    pub position: Option<Timestamp>,
}

/// A member's load report. It does not say how old it is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Position when the report was made.
    pub position: Option<Timestamp>,
    /// Whether it was primary then.
    pub primary: Option<bool>,
    /// Requests in flight there (queued ones included if the report counts them).
    pub in_flight: Option<f64>,
    /// Share of its cores in use, 0 to 1.
    pub cores_in_use: Option<f64>,
}

/// A health check result that gateways share: this gateway's own or another one's.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedHealthCheck {
    /// The member.
    pub member: MemberId,
    /// When the result was obtained.
    pub at: Timestamp,
    /// What the member reported then.
    pub report: LoadReport,
}
