//! What database hosts and discovery report: the endpoint list, and the role, position and load of
//! hosts.

use super::identifiers::{GroupId, MemberId, ZoneId};
use super::time::Timestamp;

/// State of a member in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// In service.
    Ready,
    /// Draining: the member finishes its work and must not get new requests.
    Draining,
    /// Removed from service.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The member.
    pub member: MemberId,
    /// Group of the member.
    pub group: GroupId,
    /// Zone of the member.
    pub zone: ZoneId,
    /// Whether the member is in service, draining or removed.
    pub state: EndpointState,
    /// Whether the list names the member as the primary.
    pub primary: bool,
    /// Capacity in relation to that of other members.
    pub size: f64,
    /// When the member's process started; `None` if that was long ago.
    pub started: Option<Timestamp>,
}

/// The role of a member in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts writes; its data are current.
    Primary,
    /// Applies the primary's log.
    Replica,
}

/// Role and position of a member as given in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicationStatus {
    /// Role of the member.
    pub role: Role,
    /// Time up to which the member has applied all commits; for a write, the time of its commit.
    pub position: Option<Timestamp>,
}

/// A member's load report. It does not include the time at which it was made.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Position of the member when the report was made.
    pub position: Option<Timestamp>,
    /// Whether the member was primary when the report was made.
    pub primary: Option<bool>,
    /// Number of requests in flight at the member, including queued ones if the report counts them.
    pub in_flight: Option<f64>,
    /// Share of the member's cores in use, 0 to 1.
    pub cores_in_use: Option<f64>,
}

/// A health check result that gateways share, obtained by this gateway or by another one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedHealthCheck {
    /// The member.
    pub member: MemberId,
    /// When the result was obtained.
    pub at: Timestamp,
    /// The member's report.
    pub report: LoadReport,
}
