//! What happened in a simulated run, for the checks of tests and for measurements.

use crate::decision_digest::DecisionDigest;
use irisrouter_cluster_types::{GatewayId, GatewayProcess, Timestamp};
use irisrouter_membership::codec::{KINDS, KIND_OFFSET};
use irisrouter_membership::{Action, Incarnation, LivenessChange, ReceiveError};

/// What one member sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SentTraffic {
    /// Datagrams.
    pub datagrams: u64,
    /// Bytes of these datagrams.
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

/// A member learnt that it was held down, and refuted it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refutation {
    /// When.
    pub at: Timestamp,
    /// The member.
    pub member: GatewayId,
    /// Its new incarnation.
    pub incarnation: Incarnation,
}

/// A member learnt that the fleet knew a later generation of it, and continued as the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Renewal {
    /// When.
    pub at: Timestamp,
    /// The process that it continues as.
    pub process: GatewayProcess,
}

/// A datagram that a member rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RejectedDatagram {
    /// When.
    pub at: Timestamp,
    /// The member that rejected it.
    pub member: GatewayId,
    /// Why.
    pub error: ReceiveError,
}

/// Everything that is recorded of a run.
#[derive(Debug, Clone)]
pub struct NetworkRecord {
    /// What each member sent, by the number of its gateway.
    pub sent: Vec<SentTraffic>,
    /// Datagrams sent by all members, by the kind of their message (ping 0 to leave 7).
    pub sent_by_kind: [u64; KINDS],
    /// Every change of every view.
    pub changes: Vec<ObservedChange>,
    /// Every refutation.
    pub refutations: Vec<Refutation>,
    /// Every renewal.
    pub renewals: Vec<Renewal>,
    /// Every datagram that was rejected.
    pub rejections: Vec<RejectedDatagram>,
    /// The digest of all decisions.
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
