//! The outstanding pings, one per pinged member. A ping runs in rounds of one protocol period, until the member answers
//! or has missed too many rounds.
//!
//! A round starts with a ping. If no answer arrives within the ping timeout, a second ping is sent and other members
//! are asked to ping indirectly; after another ping timeout a third ping is sent. The pings are repeated because at
//! 30 % loss a single ping or its ack is lost in every second round, and each missed round leads to a suspicion.

use crate::merge_rules::PingReason;
use crate::serial_number::{SequenceNumber, SerialNumber};
use crate::settings::Settings;
use irisrouter_cluster_types::{GatewayId, Timestamp};
use std::collections::BTreeMap;

/// Maximum number of rounds that run at the same time; further members wait.
///
/// After a partition of a large fleet, a member may receive reports about hundreds of down members within one second.
/// Pinging all of these members at once would overflow its socket.
pub(crate) const MAX_CONCURRENT_ROUNDS: usize = 16;

/// A step of a round of pings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PingStep {
    /// Ping the member.
    Ping,
    /// Ping the member, and ask other members to ping it too.
    PingIndirectly,
    /// End the round, because the member did not answer.
    RoundMissed,
}

/// A step that is due for one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DuePing {
    /// The member that is being pinged.
    pub gateway: GatewayId,
    /// The step to carry out.
    pub step: PingStep,
}

/// A running round: its start and its next step.
#[derive(Debug, Clone, Copy)]
struct Round {
    started: Timestamp,
    next_step: PingStep,
}

impl Round {
    /// Returns the time at which the next step is due.
    fn due(&self, settings: &Settings) -> Timestamp {
        let second_timeout = settings.ping_timeout * 2;
        let delay = match self.next_step {
            PingStep::PingIndirectly => settings.ping_timeout,
            PingStep::Ping if second_timeout < settings.protocol_period => second_timeout,
            PingStep::Ping | PingStep::RoundMissed => settings.protocol_period,
        };
        self.started + delay
    }

    /// Returns the next step, and advances to the one after it.
    fn take_step(&mut self) -> PingStep {
        let step = self.next_step;
        self.next_step = match step {
            PingStep::PingIndirectly => PingStep::Ping,
            PingStep::Ping | PingStep::RoundMissed => PingStep::RoundMissed,
        };
        step
    }
}

/// The state of the ping to one member.
#[derive(Debug, Clone)]
pub(crate) struct OutstandingPing {
    /// Number of consecutive rounds without an answer.
    pub missed_rounds: u32,
    /// Why the member is being pinged.
    pub reason: PingReason,
    /// The sequence number of the first round; meaningless before the first round has started.
    first_sequence: SequenceNumber,
    /// The sequence number of the latest round; meaningless before the first round has started.
    pub sequence: SequenceNumber,
    /// The running round; `None` while the member waits for its next round to start.
    round: Option<Round>,
    /// Position in the queue of members that wait for a round; the lowest one starts first.
    queue_position: u64,
}

impl OutstandingPing {
    /// Returns whether an ack with this sequence number answers this ping. A round must be running; the sequence number
    /// may be that of this round or of an earlier one.
    #[must_use]
    pub(crate) fn is_answered_by(&self, sequence: SequenceNumber) -> bool {
        let since_first = sequence.distance_from(self.first_sequence);
        let latest_since_first = self.sequence.distance_from(self.first_sequence);
        self.round.is_some() && since_first <= latest_since_first
    }
}

/// All outstanding pings of this member.
#[derive(Debug, Clone, Default)]
pub(crate) struct OutstandingPings {
    pings: BTreeMap<GatewayId, OutstandingPing>,
    last_sequence: SequenceNumber,
    last_queue_position: u64,
}

impl OutstandingPings {
    /// Returns a new sequence number.
    pub(crate) fn next_sequence(&mut self) -> SequenceNumber {
        self.last_sequence = self.last_sequence.next();
        self.last_sequence
    }

    /// Returns the queue position behind all members that wait for a round.
    fn next_queue_position(&mut self) -> u64 {
        self.last_queue_position += 1;
        self.last_queue_position
    }

    /// Returns the outstanding ping to a member, if there is one.
    #[must_use]
    pub(crate) fn get(&self, gateway: GatewayId) -> Option<&OutstandingPing> {
        self.pings.get(&gateway)
    }

    /// Adds a ping to a member; its first round starts with the next [`OutstandingPings::take_due`] at the earliest. If
    /// the member is being pinged already, only the reason may change, to [`PingReason::ReportedDown`].
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

    /// Ends the ping to a member, and returns it if there was one.
    pub(crate) fn end(&mut self, gateway: GatewayId) -> Option<OutstandingPing> {
        self.pings.remove(&gateway)
    }

    /// Queues another round for a member that has missed `missed_rounds` consecutive rounds; it starts with the next
    /// [`OutstandingPings::take_due`] at the earliest.
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

    /// Returns the number of running rounds; at most [`MAX_CONCURRENT_ROUNDS`].
    fn running_rounds(&self) -> usize {
        let running = |ping: &&OutstandingPing| ping.round.is_some();
        self.pings.values().filter(running).count()
    }

    /// Returns the time at which [`OutstandingPings::take_due`] next returns a step: [`Timestamp::ZERO`] if a waiting
    /// round may start immediately, [`Timestamp::MAX`] if there is no outstanding ping.
    #[must_use]
    pub(crate) fn next_due(&self, settings: &Settings) -> Timestamp {
        let running = self.running_rounds();
        let some_wait = self.pings.len() > running;
        // Rounds that have ended are not considered here: the owner ends the ping or queues its next round in the same
        // call in which it takes the last step.
        if some_wait && running < MAX_CONCURRENT_ROUNDS {
            return Timestamp::ZERO;
        }
        self.pings
            .values()
            .filter_map(|ping| ping.round.map(|round| round.due(settings)))
            .min()
            .unwrap_or(Timestamp::MAX)
    }

    /// Takes the steps that are due by `now`: first those of running rounds, ordered by gateway, then the first pings
    /// of the rounds that start now.
    pub(crate) fn take_due(&mut self, now: Timestamp, settings: &Settings) -> Vec<DuePing> {
        let mut due = self.take_due_steps(now, settings);
        self.start_waiting_rounds(now, &mut due);
        due
    }

    /// Takes the due steps of running rounds.
    ///
    /// A round that should have ended more than one protocol period ago is queued again without being counted as
    /// missed, because this process was paused and has not read the answers.
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

    /// Starts waiting rounds, longest waiting first, up to [`MAX_CONCURRENT_ROUNDS`] running ones.
    fn start_waiting_rounds(&mut self, now: Timestamp, due: &mut Vec<DuePing>) {
        let free = MAX_CONCURRENT_ROUNDS.saturating_sub(self.running_rounds());
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

    /// Returns the members that wait for a round, longest waiting first. Queue positions are unique.
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
