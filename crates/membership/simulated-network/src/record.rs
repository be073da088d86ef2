//! The record of a simulated run, for assertions in tests and for measurements.

use crate::decision_digest::DecisionDigest;
use irisrouter_cluster_types::{GatewayId, GatewayProcess, Timestamp};
use irisrouter_membership::codec::{KINDS, KIND_OFFSET};
use irisrouter_membership::{Action, Incarnation, LivenessChange, ReceiveError};

/// The traffic sent by one member.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SentTraffic {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Total length of these datagrams, in bytes.
    pub bytes: u64,
}

/// A change in the view of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedChange {
    /// The member whose view changed.
    pub observer: GatewayId,
    /// The change.
    pub change: LivenessChange,
}

/// The refutation, by a member, of a report about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refutation {
    /// When the member refuted the report.
    pub at: Timestamp,
    /// The member that refuted the report.
    pub member: GatewayId,
    /// The new incarnation of the member.
    pub incarnation: Incarnation,
}

/// The change of a member to a later generation, after it received a report of a generation later than its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Renewal {
    /// When the member changed its generation.
    pub at: Timestamp,
    /// The member and its new generation.
    pub process: GatewayProcess,
}

/// A datagram that a member rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RejectedDatagram {
    /// When the datagram was delivered.
    pub at: Timestamp,
    /// The member that rejected the datagram.
    pub member: GatewayId,
    /// Why the member rejected the datagram.
    pub error: ReceiveError,
}

/// The record of a run.
#[derive(Debug, Clone)]
pub struct NetworkRecord {
    /// The traffic sent by each member, indexed by the gateway's number.
    pub sent: Vec<SentTraffic>,
    /// Number of datagrams sent by all members, indexed by the kind of the message: 0 (ping) to 7 (leave).
    pub sent_by_kind: [u64; KINDS],
    /// Every change of every view.
    pub changes: Vec<ObservedChange>,
    /// Every refutation.
    pub refutations: Vec<Refutation>,
    /// Every renewal.
    pub renewals: Vec<Renewal>,
    /// Every datagram that a running member rejected.
    pub rejections: Vec<RejectedDatagram>,
    /// The digest of all calls and actions so far.
    pub decisions: DecisionDigest,
}

impl NetworkRecord {
    pub(crate) fn new(fleet_size: u32) -> Self {
        Self {
            sent: vec![SentTraffic::default(); fleet_size as usize],
            sent_by_kind: [0; KINDS],
            changes: Vec::new(),
            refutations: Vec::new(),
            renewals: Vec::new(),
            rejections: Vec::new(),
            decisions: DecisionDigest::default(),
        }
    }

    /// Records an action of a member.
    pub(crate) fn record_action(&mut self, at: Timestamp, member: GatewayId, action: &Action) {
        match action {
            Action::Send { bytes, .. } => self.record_sent(member, bytes),
            Action::Changed(change) => self.changes.push(ObservedChange {
                observer: member,
                change: *change,
            }),
            Action::Refuted(incarnation) => self.refutations.push(Refutation {
                at,
                member,
                incarnation: *incarnation,
            }),
            Action::Renewed(process) => self.renewals.push(Renewal {
                at,
                process: *process,
            }),
        }
    }

    fn record_sent(&mut self, member: GatewayId, bytes: &[u8]) {
        if let Some(sent) = self.sent.get_mut(member.0 as usize) {
            sent.datagrams += 1;
            sent.bytes += bytes.len() as u64;
        }
        let kind = bytes.get(KIND_OFFSET).copied().map(usize::from);
        if let Some(sent) = kind.and_then(|kind| self.sent_by_kind.get_mut(kind)) {
            *sent += 1;
        }
    }
}
