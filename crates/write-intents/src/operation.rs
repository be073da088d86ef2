//! A record operation or a look-up of this gateway that is in progress.

use crate::codec::{IntentMessage, MessageKind};
use crate::replicas::{LOOKUP_CANDIDATES, RECORD_CANDIDATES, REPLICAS};
use crate::{KeyHash, OperationId, Outcome, SequenceNumber};
use irisrouter_cluster_types::{GatewayId, Milliseconds, Timestamp, UnixMilliseconds};

/// Maximum number of gateways that may leave a look-up unanswered without making it inconclusive. One, for the gateway
/// that died.
pub const MAX_SILENT: usize = 1;
/// Interval at which a message is sent again to the gateways that have not answered it.
const RESEND_INTERVAL: Milliseconds = Milliseconds(10);
/// Time from the start of a look-up after which it ends even if up to [`MAX_SILENT`] gateways have not answered.
const SILENCE_TIMEOUT: Milliseconds = Milliseconds(40);
/// Time from the start of an operation after which a record operation has failed and a look-up is inconclusive.
const OPERATION_TIMEOUT: Milliseconds = Milliseconds(120);

/// The purpose of an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Records at the replicas that a write may have run from `first_sent_at` on.
    Record {
        intent: SequenceNumber,
        first_sent_at: UnixMilliseconds,
    },
    /// Determines whether a write may have run.
    LookUp,
}

impl Purpose {
    /// Returns the maximum number of gateways to which the operation is sent.
    pub(crate) const fn candidates(self) -> usize {
        match self {
            Self::Record { .. } => RECORD_CANDIDATES,
            Self::LookUp => LOOKUP_CANDIDATES,
        }
    }

    /// Returns the outcome of an operation that too few gateways answer, or that exceeds the limit of operations.
    pub(crate) const fn failure_outcome(self) -> Outcome {
        match self {
            Self::Record { .. } => Outcome::NotRecorded,
            Self::LookUp => Outcome::Unproven,
        }
    }
}

/// Whether this gateway knows all records that it has received within [`RETENTION`](crate::RETENTION).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LocalRecords {
    /// All of these records are known.
    Complete,
    /// This process was started so recently that records of an earlier process may be lost.
    MayBeIncomplete,
}

/// A record operation or a look-up in progress.
pub(crate) struct Operation {
    pub(crate) id: OperationId,
    pub(crate) key: KeyHash,
    pub(crate) purpose: Purpose,
    pub(crate) next_send: Timestamp,
    /// The gateways to which the operation may be sent, in the replica order of the key.
    candidates: Vec<GatewayId>,
    /// Number of `candidates` to which the operation has been sent, from the first one on.
    asked_count: usize,
    answered_by: Vec<GatewayId>,
    started: Timestamp,
    local_records: LocalRecords,
}

impl Operation {
    /// Creates an operation that starts at `now`.
    pub(crate) const fn new(
        id: OperationId,
        key: KeyHash,
        purpose: Purpose,
        candidates: Vec<GatewayId>,
        now: Timestamp,
        local_records: LocalRecords,
    ) -> Self {
        Self {
            id,
            key,
            purpose,
            next_send: now,
            candidates,
            asked_count: 0,
            answered_by: Vec::new(),
            started: now,
            local_records,
        }
    }

    /// Returns the message that is due at `now` and its destinations, or `None` if no message is due. A record is first
    /// sent to two gateways, and to one more with each repetition because one of them may be dead. A look-up is sent to
    /// all candidates.
    pub(crate) fn due_message(&mut self, now: Timestamp) -> Option<OutgoingMessage> {
        if self.next_send > now {
            return None;
        }
        self.next_send = now + RESEND_INTERVAL;
        let wanted = match self.purpose {
            Purpose::Record { .. } if self.asked_count == 0 => REPLICAS,
            Purpose::Record { .. } => self.asked_count + 1,
            Purpose::LookUp => self.candidates.len(),
        };
        self.asked_count = wanted.min(self.candidates.len());
        let asked = self.candidates[..self.asked_count].iter().copied();
        Some(OutgoingMessage {
            to: asked
                .filter(|gateway| !self.answered_by.contains(gateway))
                .collect(),
            message: self.message(),
        })
    }

    /// Returns whether this operation records the intent with this number.
    pub(crate) fn records(&self, number: SequenceNumber) -> bool {
        matches!(self.purpose, Purpose::Record { intent, .. } if intent == number)
    }

    /// Returns the number that the operation's messages and their answers carry.
    const fn message_number(&self) -> SequenceNumber {
        match self.purpose {
            Purpose::Record { intent, .. } => intent,
            Purpose::LookUp => self.id.0,
        }
    }

    fn message(&self) -> IntentMessage {
        match self.purpose {
            Purpose::Record {
                intent,
                first_sent_at,
            } => IntentMessage {
                kind: MessageKind::Record,
                number: intent,
                key: self.key,
                first_sent_at,
            },
            Purpose::LookUp => IntentMessage::new(MessageKind::LookUp, self.id.0, self.key),
        }
    }

    /// Processes the answer of a gateway, and returns the outcome if the answer decides it. Answers to other operations
    /// and answers of gateways that are not candidates are ignored.
    pub(crate) fn process_answer(
        &mut self,
        from: GatewayId,
        answer: &IntentMessage,
    ) -> Option<Outcome> {
        let is_expected = self.message_number() == answer.number && self.key == answer.key;
        if !is_expected || !self.candidates.contains(&from) {
            return None;
        }
        let decided = match (answer.kind, self.purpose) {
            (MessageKind::Found, Purpose::LookUp) => {
                Some(Outcome::MayHaveRunSince(answer.first_sent_at))
            }
            (MessageKind::NotFound, Purpose::LookUp) => None,
            (MessageKind::Acknowledged, Purpose::Record { first_sent_at, .. })
                if first_sent_at == answer.first_sent_at =>
            {
                None
            }
            _ => return None,
        };
        if !self.answered_by.contains(&from) {
            self.answered_by.push(from);
        }
        // An answer decides the outcome regardless of its arrival time, so the timeouts are not evaluated here.
        decided.or_else(|| self.outcome(self.started))
    }

    /// Returns the outcome if the answers and the timeouts decide it at `now`.
    pub(crate) fn outcome(&self, now: Timestamp) -> Option<Outcome> {
        let elapsed = now.saturating_duration_since(self.started);
        let decided = match self.purpose {
            Purpose::Record { .. } => self.record_outcome(),
            Purpose::LookUp => self.look_up_outcome(elapsed),
        };
        // After the timeout the operation fails. This holds even if there is only one other gateway and it is dead,
        // because without its answer nothing proves that the write was recorded, or that it was never sent.
        let timed_out = elapsed >= OPERATION_TIMEOUT;
        decided.or(timed_out.then_some(self.purpose.failure_outcome()))
    }

    fn record_outcome(&self) -> Option<Outcome> {
        let needed = REPLICAS.min(self.candidates.len());
        (self.answered_by.len() >= needed).then_some(Outcome::Recorded)
    }

    fn look_up_outcome(&self, elapsed: Milliseconds) -> Option<Outcome> {
        // If the local gateway may have lost records, it counts as one more gateway that does not answer.
        let local_silence = usize::from(self.local_records == LocalRecords::MayBeIncomplete);
        let silent = self.candidates.len() - self.answered_by.len() + local_silence;
        let silence_is_tolerable = silent <= MAX_SILENT && !self.answered_by.is_empty();
        let never_sent = silent == 0 || (elapsed >= SILENCE_TIMEOUT && silence_is_tolerable);
        never_sent.then_some(Outcome::NeverSent)
    }
}

/// A message and the gateways to which it is sent.
pub(crate) struct OutgoingMessage {
    pub(crate) to: Vec<GatewayId>,
    pub(crate) message: IntentMessage,
}
