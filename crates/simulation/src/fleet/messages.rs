//! What goes between gateways and the fleet: statements and probes in, answers and events out.

use crate::endpoint_list::ListEntry;
use crate::host::Report;
use crate::{GatewayId, HostId, Ns, SetId};

/// A statement as a host gets it.
#[derive(Clone, Debug)]
pub struct Query {
    /// Names it to its sender.
    pub ticket: u64,
    /// Who sent it.
    pub gateway: GatewayId,
    /// Its class, by its place in the settings.
    pub class: usize,
    /// Its work on a core.
    pub work: Ns,
    /// Its idempotency key, on a write.
    pub key: Option<u64>,
    /// The commit that its session has to see; 0 for none.
    pub mark: Ns,
    /// When the gateway sent it.
    pub sent: Ns,
    /// When the request came to the gateway.
    pub arrived: Ns,
}

/// What a host answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A row.
    Row,
    /// An error; it may have had an effect.
    Error,
    /// Turned away unseen.
    Full,
    /// Turned away untouched: the wrong role, or too far behind.
    Miss,
}

/// What an answer tells of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// It is the primary.
    pub primary: bool,
    /// Up to when it has applied all commits; of a write that went through, its commit.
    pub position: Ns,
}

/// What became of something handed to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The host has it.
    Accepted,
    /// The connection is reset, or refused.
    Reset,
    /// The host does not answer, neither now nor later.
    NoResponse,
}

/// What a probe finds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeResult {
    /// A report.
    Report(Report),
    /// No connection.
    Refused,
    /// The host does not answer, neither now nor later.
    NoResponse,
}

/// What comes out of a fleet.
#[derive(Clone, Debug)]
pub enum Output {
    /// A host answers.
    Answered {
        /// What.
        ticket: u64,
        /// To whom.
        gateway: GatewayId,
        /// Who.
        host: HostId,
        /// How.
        answer: Answer,
        /// What it tells of itself.
        note: ReplicaStatus,
        /// Work that it did for it.
        work: Ns,
    },
    /// A connection is up.
    Connected {
        /// Which.
        ticket: u64,
        /// To whom.
        host: HostId,
    },
    /// All connections to a host are reset.
    ConnectionsReset {
        /// Which.
        host: HostId,
    },
    /// A gateway receives a changed entry of the host list.
    ListUpdated {
        /// Who.
        gateway: GatewayId,
        /// What.
        entry: ListEntry,
    },
    /// A gateway is killed, or starts again.
    Gateway {
        /// Which.
        gateway: GatewayId,
        /// It starts.
        up: bool,
    },
    /// This part of the datagrams is lost from now on.
    DatagramsLost(f64),
    /// A fault begins or ends.
    Fault {
        /// Its place in the settings.
        index: usize,
        /// It begins.
        begins: bool,
        /// The hosts that it strikes.
        hosts: Vec<HostId>,
    },
    /// A set has another primary, or none.
    Primary {
        /// Which set.
        set: SetId,
        /// Its primary.
        host: Option<HostId>,
    },
    /// A cold host was sent too much work and its process died.
    HostOverloaded {
        /// Which.
        host: HostId,
    },
}
