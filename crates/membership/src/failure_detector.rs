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
    /// The outstanding pings that this member sent for its own view.
    pub pings: OutstandingPings,
    /// The outstanding pings that this member sent at the request of others.
    pub relayed: RelayedPings,
    /// The members that remain to be pinged in the current pass through the fleet; the last element is the next one.
    pub ping_order: Vec<GatewayId>,
    /// Outcomes of the most recent scheduled pings, each after its first round.
    pub history: PingHistory,
}

impl Membership {
    /// Starts the ping that is scheduled for this protocol period.
    pub(crate) fn start_scheduled_ping(&mut self) {
        if let Some(gateway) = self.next_ping_target() {
            self.detector.pings.start(gateway, PingReason::Scheduled);
        }
    }

    /// Returns the next member to ping. Each pass through the fleet covers all members that are alive, in a new random
    /// order.
    fn next_ping_target(&mut self) -> Option<GatewayId> {
        self.next_in_ping_order().or_else(|| {
            self.detector.ping_order = self.alive_except(self.local.process.gateway);
            self.detector.ping_order.shuffle(&mut self.rng);
            self.next_in_ping_order()
        })
    }

    /// Takes the next member of this pass that is still alive and is not being pinged already.
    fn next_in_ping_order(&mut self) -> Option<GatewayId> {
        while let Some(gateway) = self.detector.ping_order.pop() {
            let alive = self.view.has_liveness(gateway, Liveness::Alive);
            if alive && self.detector.pings.get(gateway).is_none() {
                return Some(gateway);
            }
        }
        None
    }

    /// Carries out the steps of the outstanding pings that are due now.
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

    /// Sends a ping with the sequence number of the current round.
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
            // The ping tells a member that it was reported down. The member then raises its incarnation, so that its
            // answer outranks the report throughout the fleet.
            PingReason::ReportedDown => vec![MemberUpdate {
                process: row.process,
                incarnation: row.incarnation,
                down: true,
            }],
        };
        self.send_with_updates(gateway, Message::Ping { sequence }, updates);
    }

    /// Asks `indirect_pings` randomly chosen members that are alive to ping the target.
    fn request_indirect_pings(&mut self, target: GatewayId) {
        let Some(sequence) = self.detector.pings.get(target).map(|ping| ping.sequence) else {
            return;
        };
        for gateway in self.random_alive_except(self.settings.indirect_pings, target) {
            self.send(gateway, Message::PingRequest { sequence, target });
        }
    }

    /// Pings the target of a ping request. A request for a target outside the fleet's list uses up a sequence number
    /// but sends no ping.
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

    /// Processes an ack: forwards it to the requester if it answers a relayed ping, and matches it with this member's
    /// own pings.
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

    /// Processes the answer of a member, received directly or through another member. If it matches an outstanding
    /// ping, it ends the ping and a suspicion of the member.
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

    /// Ends the ping to a member that answered. The outcome is recorded only for a scheduled ping in its first round.
    fn end_answered_ping(&mut self, gateway: GatewayId) {
        let Some(ping) = self.detector.pings.end(gateway) else {
            return;
        };
        if ping.missed_rounds == 0 && ping.reason == PingReason::Scheduled {
            self.detector.history.record(PingOutcome::Answered);
        }
    }

    /// Processes the end of a round that the member did not answer.
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
