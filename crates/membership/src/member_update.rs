//! What one member reports about another.

use crate::node::Node;

/// A report about one member: "in this incarnation, this process is alive" or "is down".
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct MemberUpdate {
    /// The member and its process that the report is about.
    pub node: Node,
    /// The incarnation that the report is about.
    pub incarnation: u16,
    /// Whether the member is reported down; otherwise it is reported alive.
    pub down: bool,
}
