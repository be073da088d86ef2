//! Reports about the state of members, which datagrams carry.

use crate::serial_number::Incarnation;
use irisrouter_cluster_types::GatewayProcess;

/// A report that a process is alive or down in a given incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct MemberUpdate {
    /// The reported member and the generation of its process.
    pub process: GatewayProcess,
    /// The incarnation for which the report holds.
    pub incarnation: Incarnation,
    /// Whether the member is reported down; otherwise it is reported alive.
    pub down: bool,
}
