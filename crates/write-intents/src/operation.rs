//! A record or a look-up that this gateway has under way.

use crate::codec::{IntentMessage, MessageKind};
use crate::replicas::{LOOKUP_CANDIDATES, RECORD_CANDIDATES, REPLICAS};
use crate::{KeyHash, OperationId, Outcome};
use irisrouter_cluster_types::{GatewayId, Milliseconds, Timestamp, UnixMilliseconds};

/// In a look-up this many of the gateways asked may be silent: the gateway that died.
pub const MAX_SILENT: usize = 1;
/// A record or look-up is sent again after this time without an answer.
const RESEND_INTERVAL: Milliseconds = Milliseconds(10);
/// After this time, a gateway that has not answered a look-up counts as silent.
const SILENCE_TIMEOUT: Milliseconds = Milliseconds(40);
/// After this time a record has failed, and a look-up is unproven.
const OPERATION_TIMEOUT: Milliseconds = Milliseconds(120);

/// What an operation is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Record that a write may have run from this time on.
    Record { first_sent_at: UnixMilliseconds },
    /// Find out whether a write may have run.
    LookUp,
}

impl Purpose {
    /// How many gateways are candidates to be asked.
    pub(crate) const fn candidates(self) -> usize {
        match self {
            Self::Record { .. } => RECORD_CANDIDATES,
            Self::LookUp => LOOKUP_CANDIDATES,
        }
    }

    /// The outcome where too few gateways answer, or none can be asked.
    pub(crate) const fn failure(self) -> Outcome {
        match self {
            Self::Record { .. } => Outcome::NotRecorded,
            Self::LookUp => Outcome::Unproven,
        }
    }
}

/// Whether the records of an earlier process of this gateway may still matter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LocalMemory {
    /// All that this gateway recorded within the retention is known.
    Complete,
    /// The process was started less than the retention ago, and may have lost records.
    MayBeLost,
}

/// A record or a look-up under way.
pub(crate) struct Operation {
    pub(crate) id: OperationId,
    pub(crate) key: KeyHash,
    pub(crate) purpose: Purpose,
    pub(crate) next_send: Timestamp,
    /// The gateways to ask, the first replica first.
    candidates: Vec<GatewayId>,
    /// How many of `candidates` have been asked.
    asked: usize,
    answered: Vec<GatewayId>,
    started: Timestamp,
    local_memory: LocalMemory,
}

impl Operation {
    /// An operation that starts at `now`, among these gateways.
    pub(crate) const fn new(
        id: OperationId,
        key: KeyHash,
        purpose: Purpose,
        candidates: Vec<GatewayId>,
        now: Timestamp,
        local_memory: LocalMemory,
    ) -> Self {
        Self {
            id,
            key,
            purpose,
            next_send: now,
            candidates,
            asked: 0,
            answered: Vec::new(),
            started: now,
            local_memory,
        }
    }

    /// The message to send now, and to whom; nobody where none is due. A record is sent to two gateways first, and to one
    /// more each time, as one of them may be dead. A look-up is sent to all candidates.
    pub(crate) fn due_message(&mut self, now: Timestamp) -> Option<OutgoingMessage> {
        if self.next_send > now {
            return None;
        }
        self.next_send = now + RESEND_INTERVAL;
        let wanted = match self.purpose {
            Purpose::Record { .. } if self.asked == 0 => REPLICAS,
            Purpose::Record { .. } => self.asked + 1,
            Purpose::LookUp => self.candidates.len(),
        };
        self.asked = wanted.min(self.candidates.len());
        let asked = self.candidates[..self.asked].iter().copied();
        Some(OutgoingMessage {
            to: asked
                .filter(|gateway| !self.answered.contains(gateway))
                .collect(),
            message: self.message(),
        })
    }

    fn message(&self) -> IntentMessage {
        match self.purpose {
            Purpose::Record { first_sent_at } => IntentMessage {
                kind: MessageKind::Record,
                key: self.key,
                first_sent_at,
            },
            Purpose::LookUp => IntentMessage::new(MessageKind::LookUp, self.key),
        }
    }

    /// Processes the answer of a gateway, and returns the outcome if it is decided by that. Answers to other operations, and
    /// from gateways that are no candidates, are ignored.
    pub(crate) fn process_answer(
        &mut self,
        from: GatewayId,
        answer: &IntentMessage,
    ) -> Option<Outcome> {
        if self.key != answer.key || !self.candidates.contains(&from) {
            return None;
        }
        let decided = match (answer.kind, self.purpose) {
            (MessageKind::Found, Purpose::LookUp) => {
                Some(Outcome::MayHaveRunSince(answer.first_sent_at))
            }
            (MessageKind::NotFound, Purpose::LookUp) => None,
            (MessageKind::Acknowledged, Purpose::Record { first_sent_at })
                if first_sent_at == answer.first_sent_at =>
            {
                None
            }
            _ => return None,
        };
        if !self.answered.contains(&from) {
            self.answered.push(from);
        }
        // An answer decides by itself, and not by the time at which it arrives, so the outcome is that at the start.
        decided.or_else(|| self.outcome(self.started))
    }

    /// The outcome, if there is one by `now`.
    pub(crate) fn outcome(&self, now: Timestamp) -> Option<Outcome> {
        let waited = now.saturating_duration_since(self.started);
        let decided = match self.purpose {
            Purpose::Record { .. } => self.record_outcome(),
            Purpose::LookUp => self.look_up_outcome(waited),
        };
        // Where the only other gateway is dead or silent, nothing is proven to have been recorded.
        let timed_out = waited >= OPERATION_TIMEOUT;
        decided.or(timed_out.then_some(self.purpose.failure()))
    }

    fn record_outcome(&self) -> Option<Outcome> {
        let needed = REPLICAS.min(self.candidates.len());
        (self.answered.len() >= needed).then_some(Outcome::Recorded)
    }

    fn look_up_outcome(&self, waited: Milliseconds) -> Option<Outcome> {
        // A gateway that may have lost records itself counts as one more that is silent.
        let locally_silent = usize::from(self.local_memory == LocalMemory::MayBeLost);
        let silent = self.candidates.len() - self.answered.len() + locally_silent;
        let few_are_silent = silent <= MAX_SILENT && !self.answered.is_empty();
        let never_sent = silent == 0 || (waited >= SILENCE_TIMEOUT && few_are_silent);
        never_sent.then_some(Outcome::NeverSent)
    }
}

/// A message, and the gateways to which it goes.
pub(crate) struct OutgoingMessage {
    pub(crate) to: Vec<GatewayId>,
    pub(crate) message: IntentMessage,
}
