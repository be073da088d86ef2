//! Messages between the gateways and the fleet: queries and probe results, answers and events.

use crate::endpoint_list::ListEntry;
use crate::host::Report;
use crate::{GatewayId, HostId, Ns, SetId};

/// A query as a host receives it.
#[derive(Clone, Debug)]
pub struct Query {
    /// Identifies the query to its sender.
    pub ticket: u64,
    /// Gateway that sent the query.
    pub gateway: GatewayId,
    /// Index of the query's class in the settings.
    pub class: usize,
    /// CPU time that the query needs, in nanoseconds on one core.
    pub work: Ns,
    /// Idempotency key of a write; `None` for a read.
    pub key: Option<u64>,
    /// Time of the commit that a session read must observe; 0 for none.
    pub mark: Ns,
    /// Time at which the gateway sent the query.
    pub sent: Ns,
    /// Time at which the request arrived at the gateway.
    pub arrived: Ns,
}

/// Answer of a host to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A row.
    Row,
    /// An error. The query may have had an effect.
    Error,
    /// Rejected before execution: the host drains, refuses requests, or has no free slot or queue entry.
    Full,
    /// Rejected before execution: the host is not the primary, or lags too far behind.
    Miss,
}

/// Status of the host that an answer carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Whether the host is the primary.
    pub primary: bool,
    /// Time up to which the host has applied all commits; for a successful write, the time of its commit.
    pub position: Ns,
}

/// Result of sending a query or a connection request to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The host received the message and answers later.
    Accepted,
    /// The connection is reset or refused.
    Reset,
    /// The message gets no response now. A host that hangs handles the query when it resumes.
    NoResponse,
}

/// Result of a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeResult {
    /// The host's load report.
    Report(Report),
    /// The connection is refused.
    Refused,
    /// The host does not respond.
    NoResponse,
}

/// Output of a fleet.
#[derive(Clone, Debug)]
pub enum Output {
    /// A host answers a query.
    Answered {
        /// Ticket of the query.
        ticket: u64,
        /// Gateway that sent the query.
        gateway: GatewayId,
        /// Host that answers.
        host: HostId,
        /// The answer.
        answer: Answer,
        /// Status of the host.
        note: ReplicaStatus,
        /// CPU time that the host spent on the query, in nanoseconds on one core.
        work: Ns,
    },
    /// A connection is established.
    Connected {
        /// Ticket that was passed to [`connect`](super::Fleet::connect).
        ticket: u64,
        /// Host of the connection.
        host: HostId,
    },
    /// All connections to a host are reset.
    ConnectionsReset {
        /// The host.
        host: HostId,
    },
    /// A gateway receives a changed entry of the endpoint list.
    ListUpdated {
        /// The gateway.
        gateway: GatewayId,
        /// The changed entry.
        entry: ListEntry,
    },
    /// A gateway is killed, or starts again.
    Gateway {
        /// The gateway.
        gateway: GatewayId,
        /// Whether the gateway starts; otherwise it is killed.
        up: bool,
    },
    /// From now on, this fraction of the datagrams is lost.
    DatagramsLost(f64),
    /// A fault begins or ends.
    Fault {
        /// Index of the fault in the settings.
        index: usize,
        /// Whether the fault begins; otherwise it ends.
        begins: bool,
        /// Hosts that the fault affects.
        hosts: Vec<HostId>,
    },
    /// A set has another primary, or none.
    Primary {
        /// The set.
        set: SetId,
        /// The new primary; `None` if the set has none.
        host: Option<HostId>,
    },
    /// A cold host was sent too much work and its process died.
    HostOverloaded {
        /// The host.
        host: HostId,
    },
}
