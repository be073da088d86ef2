//! The write intents of one gateway: the records that it retains, and its own record operations and look-ups in
//! progress.

use crate::codec::{self, IntentMessage, MessageKind, WireError};
use crate::operation::{LocalRecords, Operation, Purpose};
use crate::replicas::{first_replicas, RECORD_CANDIDATES};
use crate::retention::{IntentId, RetainedIntents, RETENTION};
use crate::{Action, KeyHash, OperationId, Outcome, SequenceNumber};
use irisrouter_cluster_types::{GatewayId, Timestamp, UnixMilliseconds};
use std::collections::BTreeMap;

/// Maximum number of record operations and look-ups that a gateway has in progress. Further ones fail at once.
const MAX_OPERATIONS: usize = 8_192;

/// The write intents of one gateway.
pub struct IntentStore {
    local_gateway: GatewayId,
    /// Time since which this process has been receiving datagrams.
    started: Timestamp,
    retained: RetainedIntents,
    operations: Vec<Operation>,
    next_number: SequenceNumber,
    /// Messages that are waiting to be packed into datagrams, by destination gateway.
    outbox: BTreeMap<GatewayId, Vec<IntentMessage>>,
    actions: Vec<Action>,
}

impl IntentStore {
    /// Creates the store of gateway `local_gateway`, whose process starts at `now`. `first_number` must be larger than
    /// every number that an earlier process of the gateway has used.
    #[must_use]
    pub fn new(local_gateway: GatewayId, now: Timestamp, first_number: SequenceNumber) -> Self {
        Self {
            local_gateway,
            started: now,
            retained: RetainedIntents::default(),
            operations: Vec::new(),
            next_number: first_number,
            outbox: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// Records that this process began to receive datagrams at `now`, rather than when it called [`IntentStore::new`].
    /// An older process of the same gateway may have received records until then, which this process does not know.
    pub fn on_socket_opened(&mut self, now: Timestamp) {
        self.started = now;
    }

    /// Returns the number of a new intent, which is recorded and withdrawn under this number.
    pub fn new_intent(&mut self) -> SequenceNumber {
        self.take_number()
    }

    /// Records that the write of an intent may have run from `first_sent_at` on. The replicas are chosen among
    /// `gateways`, which are all gateways that are not considered down. If there is no other gateway, the record
    /// succeeds without a replica, because no other gateway could receive a retry of the write.
    pub fn record(
        &mut self,
        now: Timestamp,
        intent: SequenceNumber,
        key: KeyHash,
        first_sent_at: UnixMilliseconds,
        gateways: &[GatewayId],
    ) -> OperationId {
        // The record is also kept locally, because the client may retry the write through this gateway.
        let id = self.local_intent(intent);
        self.retained.record(now, id, key, first_sent_at);
        let purpose = Purpose::Record {
            intent,
            first_sent_at,
        };
        self.start_operation(now, key, purpose, gateways)
    }

    /// Looks up whether a write with this key may have run.
    pub fn look_up(&mut self, now: Timestamp, key: KeyHash, gateways: &[GatewayId]) -> OperationId {
        let Some(first_sent_at) = self.retained.first_sent_at(now, key) else {
            return self.start_operation(now, key, Purpose::LookUp, gateways);
        };
        let operation = self.next_operation();
        let outcome = Outcome::MayHaveRunSince(first_sent_at);
        self.actions.push(Action::Ended { operation, outcome });
        operation
    }

    /// Withdraws an intent, because its write never ran. A record operation of the intent that is in progress ends.
    pub fn withdraw(
        &mut self,
        now: Timestamp,
        intent: SequenceNumber,
        key: KeyHash,
        gateways: &[GatewayId],
    ) {
        self.retained.withdraw(now, self.local_intent(intent), key);
        self.end_operations(|operation| operation.records(intent).then_some(Outcome::NotRecorded));
        let message = IntentMessage::new(MessageKind::Withdraw, intent, key);
        for to in first_replicas(key, gateways, self.local_gateway, RECORD_CANDIDATES) {
            self.send(to, message);
        }
        self.pack_outbox();
    }

    const fn local_intent(&self, number: SequenceNumber) -> IntentId {
        IntentId {
            writer: self.local_gateway,
            number,
        }
    }

    /// Processes a datagram from gateway `from`.
    ///
    /// # Errors
    /// The datagram can't be decoded. The state is unchanged in this case.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: GatewayId,
        datagram: &[u8],
    ) -> Result<(), WireError> {
        for message in codec::decode(datagram)? {
            self.process_message(now, from, &message);
        }
        self.pack_outbox();
        Ok(())
    }

    fn process_message(&mut self, now: Timestamp, from: GatewayId, message: &IntentMessage) {
        let intent = IntentId {
            writer: from,
            number: message.number,
        };
        match message.kind {
            MessageKind::Record => {
                let recorded =
                    self.retained
                        .record(now, intent, message.key, message.first_sent_at);
                if recorded {
                    let kind = MessageKind::Acknowledged;
                    self.send(from, IntentMessage { kind, ..*message });
                }
            }
            MessageKind::LookUp => {
                if let Some(answer) = self.look_up_answer(now, message) {
                    self.send(from, answer);
                }
            }
            MessageKind::Withdraw => self.retained.withdraw(now, intent, message.key),
            MessageKind::Acknowledged | MessageKind::Found | MessageKind::NotFound => {
                self.process_answer(from, message);
            }
        }
    }

    /// Returns the answer to the look-up of another gateway. Returns `None` if the key is not known and this gateway
    /// may have lost records.
    fn look_up_answer(&self, now: Timestamp, look_up: &IntentMessage) -> Option<IntentMessage> {
        let IntentMessage { number, key, .. } = *look_up;
        if let Some(first_sent_at) = self.retained.first_sent_at(now, key) {
            return Some(IntentMessage {
                kind: MessageKind::Found,
                number,
                key,
                first_sent_at,
            });
        }
        match self.local_records(now) {
            LocalRecords::Complete => Some(IntentMessage::new(MessageKind::NotFound, number, key)),
            LocalRecords::MayBeIncomplete => None,
        }
    }

    /// Performs the work that is due at `now`: sends messages again, ends operations that have timed out, and drops
    /// expired records.
    pub fn advance(&mut self, now: Timestamp) {
        for operation in &mut self.operations {
            let Some(due) = operation.due_message(now) else {
                continue;
            };
            for to in due.to {
                self.outbox.entry(to).or_default().push(due.message);
            }
        }
        self.end_operations(|operation| operation.outcome(now));
        self.retained.drop_expired(now);
        self.pack_outbox();
    }

    /// Returns the time at which [`IntentStore::advance`] next has work to do, or [`Timestamp::MAX`] if there is none.
    #[must_use]
    pub fn next_due(&self) -> Timestamp {
        let sends = self.operations.iter().map(|operation| operation.next_send);
        sends
            .chain(self.retained.next_expiry())
            .min()
            .unwrap_or(Timestamp::MAX)
    }

    /// Removes and returns the actions that the caller has to carry out, in order.
    pub fn drain_actions(&mut self) -> std::vec::Drain<'_, Action> {
        self.actions.drain(..)
    }

    /// Returns the number of keys of which this gateway retains a record.
    #[must_use]
    pub fn retained_keys(&self) -> usize {
        self.retained.len()
    }

    fn local_records(&self, now: Timestamp) -> LocalRecords {
        if now < self.started + RETENTION {
            LocalRecords::MayBeIncomplete
        } else {
            LocalRecords::Complete
        }
    }

    fn take_number(&mut self) -> SequenceNumber {
        let number = self.next_number;
        self.next_number = number.next();
        number
    }

    fn next_operation(&mut self) -> OperationId {
        OperationId(self.take_number())
    }

    fn start_operation(
        &mut self,
        now: Timestamp,
        key: KeyHash,
        purpose: Purpose,
        gateways: &[GatewayId],
    ) -> OperationId {
        let id = self.next_operation();
        if self.operations.len() >= MAX_OPERATIONS {
            self.actions.push(Action::Ended {
                operation: id,
                outcome: purpose.failure_outcome(),
            });
            return id;
        }
        let candidates = first_replicas(key, gateways, self.local_gateway, purpose.candidates());
        let local_records = self.local_records(now);
        let operation = Operation::new(id, key, purpose, candidates, now, local_records);
        self.operations.push(operation);
        self.advance(now);
        id
    }

    fn process_answer(&mut self, from: GatewayId, answer: &IntentMessage) {
        self.end_operations(|operation| operation.process_answer(from, answer));
    }

    /// Ends the operations for which `outcome` returns an outcome, in the order in which they were started.
    fn end_operations(&mut self, mut outcome: impl FnMut(&mut Operation) -> Option<Outcome>) {
        let actions = &mut self.actions;
        self.operations.retain_mut(|operation| {
            let Some(outcome) = outcome(operation) else {
                return true;
            };
            actions.push(Action::Ended {
                operation: operation.id,
                outcome,
            });
            false
        });
    }

    fn send(&mut self, to: GatewayId, message: IntentMessage) {
        self.outbox.entry(to).or_default().push(message);
    }

    /// Packs the messages of the outbox into datagrams, and empties it.
    fn pack_outbox(&mut self) {
        for (to, messages) in std::mem::take(&mut self.outbox) {
            for chunk in messages.chunks(codec::MAX_MESSAGES) {
                let bytes = codec::encode(chunk);
                self.actions.push(Action::Send { to, bytes });
            }
        }
    }
}
