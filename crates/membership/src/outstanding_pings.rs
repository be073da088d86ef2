//! The pings under way: each is to one member and runs in rounds of one protocol period, until the member answers or has
//! missed too many rounds.
//!
//! A round starts with a ping. After a ping timeout without an answer a second ping is sent and other members are asked
//! to ping indirectly; after another timeout a third ping is sent. The repetitions are there because at 30 % loss one
//! ping and its answer fail every second time, and each missed round costs a suspicion.

use crate::merge_rules::PingReason;
use crate::serial_number::{SequenceNumber, SerialNumber};
use crate::settings::Settings;
use irisrouter_cluster_types::{GatewayId, Timestamp};
use std::collections::BTreeMap;

/// How many rounds may be under way at a time; further members wait.
///
/// After a partition of a large fleet a member receives hundreds of reports of members that are down within a second,
/// and pinging all of them at once would overflow its socket.
pub(crate) const MAX_CONCURRENT_ROUNDS: usize = 16;

/// What is to be done now for a member that is being pinged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PingStep {
    /// Ping the member.
    Ping,
    /// Ping the member, and ask other members to ping it.
    PingIndirectly,
    /// The round ended without an answer.
    RoundMissed,
}

/// A step that is due for one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DuePing {
    /// The member.
    pub gateway: GatewayId,
    /// What is to be done.
    pub step: PingStep,
}

/// A round under way: when it started, and what is to be done next in it.
#[derive(Debug, Clone, Copy)]
struct Round {
    started: Timestamp,
    next_step: PingStep,
}

impl Round {
    /// When the next step is due.
    fn due(&self, settings: &Settings) -> Timestamp {
        let second_timeout = settings.ping_timeout * 2;
        let delay = match self.next_step {
            PingStep::PingIndirectly => settings.ping_timeout,
            PingStep::Ping if second_timeout < settings.protocol_period => second_timeout,
            PingStep::Ping | PingStep::RoundMissed => settings.protocol_period,
        };
        self.started + delay
    }

    /// Returns the step that is due now and moves on to the one after it.
    fn take_step(&mut self) -> PingStep {
        let step = self.next_step;
        self.next_step = match step {
            PingStep::PingIndirectly => PingStep::Ping,
            PingStep::Ping | PingStep::RoundMissed => PingStep::RoundMissed,
        };
        step
    }
}

/// One member that is being pinged.
#[derive(Debug, Clone)]
pub(crate) struct OutstandingPing {
    /// Rounds in a row without an answer.
    pub missed_rounds: u32,
    /// Why the member is pinged.
    pub reason: PingReason,
    /// The sequence number of the first round, once that has started.
    first_sequence: SequenceNumber,
    /// The sequence number of the latest round, once one has started.
    pub sequence: SequenceNumber,
    /// The round under way; `None` while the member waits for one.
    round: Option<Round>,
    /// The place among the members that wait: the one that has waited longest has the lowest.
    queue_position: u64,
}

impl OutstandingPing {
    /// Whether an ack with this sequence number answers this ping, in any of its rounds.
    #[must_use]
    pub(crate) fn is_answered_by(&self, sequence: SequenceNumber) -> bool {
        let since_first = sequence.distance_from(self.first_sequence);
        let latest_since_first = self.sequence.distance_from(self.first_sequence);
        self.round.is_some() && since_first <= latest_since_first
    }
}

/// All pings under way, by member.
#[derive(Debug, Clone, Default)]
pub(crate) struct OutstandingPings {
    pings: BTreeMap<GatewayId, OutstandingPing>,
    last_sequence: SequenceNumber,
    last_queue_position: u64,
}

impl OutstandingPings {
    /// A new sequence number.
    pub(crate) fn next_sequence(&mut self) -> SequenceNumber {
        self.last_sequence = self.last_sequence.next();
        self.last_sequence
    }

    /// The place behind all members that wait.
    fn next_queue_position(&mut self) -> u64 {
        self.last_queue_position += 1;
        self.last_queue_position
    }

    /// The ping to a member.
    #[must_use]
    pub(crate) fn get(&self, gateway: GatewayId) -> Option<&OutstandingPing> {
        self.pings.get(&gateway)
    }

    /// Starts to ping a member, from the next [`OutstandingPings::take_due`] on. If it is being pinged already, only the
    /// reason may change, to [`PingReason::ReportedDown`].
    pub(crate) fn start(&mut self, gateway: GatewayId, reason: PingReason) {
        let queue_position = self.next_queue_position();
        let ping = self.pings.entry(gateway).or_insert(OutstandingPing {
            missed_rounds: 0,
            reason,
            first_sequence: SequenceNumber::default(),
            sequence: SequenceNumber::default(),
            round: None,
            queue_position,
        });
        if reason == PingReason::ReportedDown {
            ping.reason = reason;
        }
    }

    /// Ends the ping to a member.
    pub(crate) fn end(&mut self, gateway: GatewayId) -> Option<OutstandingPing> {
        self.pings.remove(&gateway)
    }

    /// Starts another round for a member that has missed this many in a row, from the next [`OutstandingPings::take_due`] on.
    pub(crate) fn start_next_round(&mut self, gateway: GatewayId, missed_rounds: u32) {
        if !self.pings.contains_key(&gateway) {
            return;
        }
        let queue_position = self.next_queue_position();
        if let Some(ping) = self.pings.get_mut(&gateway) {
            ping.missed_rounds = missed_rounds;
            ping.round = None;
            ping.queue_position = queue_position;
        }
    }

    /// How many rounds are under way; at most [`MAX_CONCURRENT_ROUNDS`].
    fn rounds_under_way(&self) -> usize {
        let under_way = |ping: &&OutstandingPing| ping.round.is_some();
        self.pings.values().filter(under_way).count()
    }

    /// When [`OutstandingPings::take_due`] has something next; [`Timestamp::ZERO`] where a waiting round may start at
    /// once, and [`Timestamp::MAX`] without any ping.
    #[must_use]
    pub(crate) fn next_due(&self, settings: &Settings) -> Timestamp {
        let under_way = self.rounds_under_way();
        let some_wait = self.pings.len() > under_way;
        // A round that is over is ended or started again by the owner within the same call, so it never stands here.
        if some_wait && under_way < MAX_CONCURRENT_ROUNDS {
            return Timestamp::ZERO;
        }
        self.pings
            .values()
            .filter_map(|ping| ping.round.map(|round| round.due(settings)))
            .min()
            .unwrap_or(Timestamp::MAX)
    }

    /// Takes the steps that are due by `now`: first those of rounds under way, by gateway, then the first pings of the
    /// rounds that start now.
    pub(crate) fn take_due(&mut self, now: Timestamp, settings: &Settings) -> Vec<DuePing> {
        let mut due = self.take_due_steps(now, settings);
        self.start_waiting_rounds(now, &mut due);
        due
    }

    /// Takes the steps of rounds under way.
    ///
    /// A round that is over for more than a period is started again and counts for nothing: this process was paused
    /// and has not read the answers.
    fn take_due_steps(&mut self, now: Timestamp, settings: &Settings) -> Vec<DuePing> {
        let mut due = Vec::new();
        for (&gateway, ping) in &mut self.pings {
            let Some(round) = &mut ping.round else {
                continue;
            };
            if now < round.due(settings) {
                continue;
            }
            if now > round.started + settings.protocol_period * 2 {
                ping.round = None;
                continue;
            }
            let step = round.take_step();
            due.push(DuePing { gateway, step });
        }
        due
    }

    /// Starts as many waiting rounds as may be under way at a time, in the order in which they have waited.
    fn start_waiting_rounds(&mut self, now: Timestamp, due: &mut Vec<DuePing>) {
        let free = MAX_CONCURRENT_ROUNDS.saturating_sub(self.rounds_under_way());
        for gateway in self.waiting_members().into_iter().take(free) {
            let sequence = self.next_sequence();
            let Some(ping) = self.pings.get_mut(&gateway) else {
                continue;
            };
            if ping.missed_rounds == 0 {
                ping.first_sequence = sequence;
            }
            ping.sequence = sequence;
            ping.round = Some(Round {
                started: now,
                next_step: PingStep::PingIndirectly,
            });
            due.push(DuePing {
                gateway,
                step: PingStep::Ping,
            });
        }
    }

    /// The members that wait for a round, the one that has waited longest first. No two have the same queue position.
    fn waiting_members(&self) -> Vec<GatewayId> {
        let mut waiting: Vec<(&GatewayId, &OutstandingPing)> = self
            .pings
            .iter()
            .filter(|(_, ping)| ping.round.is_none())
            .collect();
        waiting.sort_unstable_by_key(|(_, ping)| ping.queue_position);
        waiting.into_iter().map(|(&gateway, _)| gateway).collect()
    }
}
