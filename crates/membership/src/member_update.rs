//! What one member reports about another.

use crate::serial_number::Incarnation;
use irisrouter_cluster_types::GatewayProcess;

/// A report about one member: "in this incarnation, this process is alive" or "is down".
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct MemberUpdate {
    /// The process of the member that the report is about.
    pub process: GatewayProcess,
    /// The incarnation that the report is about.
    pub incarnation: Incarnation,
    /// Whether the member is reported down; otherwise it is reported alive.
    pub down: bool,
}
