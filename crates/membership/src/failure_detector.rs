//! The failure detector: pings, indirect pings and acks.

use crate::codec::Message;
use crate::member_update::MemberUpdate;
use crate::membership::Membership;
use crate::merge_rules::{self, MissedRoundOutcome, PingReason};
use crate::outstanding_pings::{DuePing, OutstandingPings, PingStep};
use crate::partition_side::{PingHistory, PingOutcome};
use crate::relayed_pings::{RelayedPing, RelayedPings};
use crate::serial_number::{Incarnation, SequenceNumber};
use crate::view::Liveness;
use irisrouter_cluster_types::{GatewayId, GatewayProcess};
use rand::seq::SliceRandom;

/// The state of the failure detector.
#[derive(Debug, Clone, Default)]
pub(crate) struct FailureDetector {
    /// The pings of this member.
    pub pings: OutstandingPings,
    /// The pings that it sent at the request of others.
    pub relayed: RelayedPings,
    /// The members that are still to be pinged in this pass through the fleet; the last one is next.
    pub ping_order: Vec<GatewayId>,
    /// Whether the members pinged last answered in their first round.
    pub history: PingHistory,
}

impl Membership {
    /// Starts the ping of this protocol period.
    pub(crate) fn start_scheduled_ping(&mut self) {
        if let Some(gateway) = self.next_ping_target() {
            self.detector.pings.start(gateway, PingReason::Scheduled);
        }
    }

    /// The next member to ping: each pass through the fleet pings all members that are alive, in a new random order.
    fn next_ping_target(&mut self) -> Option<GatewayId> {
        self.next_in_ping_order().or_else(|| {
            self.detector.ping_order = self.alive_except(self.local.process.gateway);
            self.detector.ping_order.shuffle(&mut self.rng);
            self.next_in_ping_order()
        })
    }

    /// The next member of this pass that is still alive and is not being pinged already.
    fn next_in_ping_order(&mut self) -> Option<GatewayId> {
        while let Some(gateway) = self.detector.ping_order.pop() {
            let alive = self.view.is(gateway, Liveness::Alive);
            if alive && self.detector.pings.get(gateway).is_none() {
                return Some(gateway);
            }
        }
        None
    }

    /// Takes the steps of the outstanding pings that are due now.
    pub(crate) fn run_due_ping_steps(&mut self) {
        let due = self.detector.pings.take_due(self.now, &self.settings);
        for DuePing { gateway, step } in due {
            match step {
                PingStep::Ping => self.send_ping(gateway),
                PingStep::PingIndirectly => {
                    self.send_ping(gateway);
                    self.request_indirect_pings(gateway);
                }
                PingStep::RoundMissed => self.process_missed_round(gateway),
            }
        }
    }

    /// Sends the ping of the round under way.
    fn send_ping(&mut self, gateway: GatewayId) {
        let Some(ping) = self.detector.pings.get(gateway) else {
            return;
        };
        let Some(row) = self.view.member(gateway) else {
            return;
        };
        let sequence = ping.sequence;
        let updates = match ping.reason {
            PingReason::Scheduled => Vec::new(),
            // A member that others reported down has to know it, so that its answer outranks the report everywhere.
            PingReason::ReportedDown => vec![MemberUpdate {
                process: row.process,
                incarnation: row.incarnation,
                down: true,
            }],
        };
        self.send_with_updates(gateway, Message::Ping { sequence }, updates);
    }

    /// Asks a few members that are alive, at random, to ping the target.
    fn request_indirect_pings(&mut self, target: GatewayId) {
        let Some(sequence) = self.detector.pings.get(target).map(|ping| ping.sequence) else {
            return;
        };
        for gateway in self.random_alive_except(self.settings.indirect_pings, target) {
            self.send(gateway, Message::PingRequest { sequence, target });
        }
    }

    /// Pings the target of a ping request. A target outside the fleet's list takes a sequence number, too, but no ping.
    pub(crate) fn relay_ping(
        &mut self,
        requester: GatewayId,
        requester_sequence: SequenceNumber,
        target: GatewayId,
    ) {
        if target == self.local.process.gateway {
            return;
        }
        let sequence = self.detector.pings.next_sequence();
        if target.0 >= self.settings.fleet_size {
            return;
        }
        self.detector.relayed.add(RelayedPing {
            sequence,
            target,
            requester,
            requester_sequence,
        });
        self.send(target, Message::Ping { sequence });
    }

    /// Forwards an ack to the member that requested the ping, if it was relayed, and takes it as an answer otherwise.
    pub(crate) fn process_ack(
        &mut self,
        source: GatewayProcess,
        incarnation: Incarnation,
        sequence: SequenceNumber,
    ) {
        let relayed = &mut self.detector.relayed;
        if let Some(ping) = relayed.take_answered(source.gateway, sequence) {
            let ack = Message::IndirectAck {
                sequence: ping.requester_sequence,
                target: source,
                incarnation,
            };
            self.send(ping.requester, ack);
        }
        self.process_answer(source, incarnation, sequence);
    }

    /// Processes the answer of a member, which it sent itself or through another member: it ends the ping to the member
    /// and a suspicion.
    pub(crate) fn process_answer(
        &mut self,
        process: GatewayProcess,
        incarnation: Incarnation,
        sequence: SequenceNumber,
    ) {
        let Some(&row) = self.view.member(process.gateway) else {
            return;
        };
        let ping = self.detector.pings.get(process.gateway);
        let is_answer = ping.is_some_and(|ping| ping.is_answered_by(sequence));
        if !is_answer || row.process != process {
            return;
        }
        self.end_answered_ping(process.gateway);
        if row.liveness == Liveness::Suspect {
            self.set_member(process, incarnation, Liveness::Alive);
            if incarnation != row.incarnation {
                self.dissemination.add(process.gateway);
            }
        }
    }

    /// Ends the ping to a member that answered, and records the outcome if it was a scheduled ping in its first round.
    fn end_answered_ping(&mut self, gateway: GatewayId) {
        let Some(ping) = self.detector.pings.end(gateway) else {
            return;
        };
        if ping.missed_rounds == 0 && ping.reason == PingReason::Scheduled {
            self.detector.history.record(PingOutcome::Answered);
        }
    }

    /// Processes a round of pings that ended without an answer.
    fn process_missed_round(&mut self, gateway: GatewayId) {
        let Some(ping) = self.detector.pings.get(gateway) else {
            return;
        };
        let missed_rounds = ping.missed_rounds + 1;
        let reason = ping.reason;
        let Some(&row) = self.view.member(gateway) else {
            return;
        };
        if missed_rounds == 1 && reason == PingReason::Scheduled {
            self.detector.history.record(PingOutcome::Missed);
        }
        let suspicion_rounds = self.settings.suspicion_rounds();
        match merge_rules::judge_missed_round(missed_rounds, reason, suspicion_rounds) {
            MissedRoundOutcome::Suspect => {
                self.set_member(row.process, row.incarnation, Liveness::Suspect);
                self.detector.pings.start_next_round(gateway, missed_rounds);
            }
            MissedRoundOutcome::Down => {
                self.detector.pings.end(gateway);
                self.set_member(row.process, row.incarnation, Liveness::Down);
                self.dissemination.add(gateway);
            }
        }
    }
}
