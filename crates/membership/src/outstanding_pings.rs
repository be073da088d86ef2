//! The pings under way: each is to one member and runs in rounds of one protocol period, until the member answers or has
//! missed too many rounds.
//!
//! A round starts with a ping. After a ping timeout without an answer a second ping is sent and other members are asked
//! to ping indirectly; after another timeout a third ping is sent. The repetitions are there because at 30 % loss one
//! ping and its answer fail every second time, and each missed round costs a suspicion.

use crate::merge_rules::PingReason;
use crate::settings::Settings;
use crate::view::Millis;
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
    /// The member's number.
    pub number: u32,
    /// What is to be done.
    pub step: PingStep,
}

/// A round under way.
#[derive(Debug, Clone, Copy)]
struct Round {
    started: Millis,
    next_step: PingStep,
}

impl Round {
    /// When the next step is due.
    fn due(&self, settings: &Settings) -> Millis {
        let second_timeout = 2 * settings.ping_timeout_ms;
        let delay = match self.next_step {
            PingStep::PingIndirectly => settings.ping_timeout_ms,
            PingStep::Ping if second_timeout < settings.protocol_period_ms => second_timeout,
            PingStep::Ping | PingStep::RoundMissed => settings.protocol_period_ms,
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
    /// The sequence number of the first round.
    first_sequence: u16,
    /// The sequence number of the latest round.
    pub sequence: u16,
    /// The round under way; `None` while the member waits for one.
    round: Option<Round>,
    /// The place among the members that wait: the one that has waited longest has the lowest.
    queue_position: u64,
}

impl OutstandingPing {
    /// Whether an ack with this sequence number answers this ping, in any of its rounds.
    #[must_use]
    pub(crate) const fn is_answered_by(&self, sequence: u16) -> bool {
        let rounds_since_first = sequence.wrapping_sub(self.first_sequence);
        let last_round = self.sequence.wrapping_sub(self.first_sequence);
        self.round.is_some() && rounds_since_first <= last_round
    }
}

/// All pings under way, by the number of the member.
#[derive(Debug, Clone, Default)]
pub(crate) struct OutstandingPings {
    pings: BTreeMap<u32, OutstandingPing>,
    last_sequence: u16,
    last_queue_position: u64,
}

impl OutstandingPings {
    /// A new sequence number.
    pub(crate) fn next_sequence(&mut self) -> u16 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    fn next_queue_position(&mut self) -> u64 {
        self.last_queue_position += 1;
        self.last_queue_position
    }

    /// The ping to member `number`.
    #[must_use]
    pub(crate) fn get(&self, number: u32) -> Option<&OutstandingPing> {
        self.pings.get(&number)
    }

    /// Starts to ping a member, from the next [`OutstandingPings::take_due`] on. If it is being pinged already, only the
    /// reason may change, to [`PingReason::ReportedDown`].
    pub(crate) fn start(&mut self, number: u32, reason: PingReason) {
        let queue_position = self.next_queue_position();
        let ping = self.pings.entry(number).or_insert(OutstandingPing {
            missed_rounds: 0,
            reason,
            first_sequence: 0,
            sequence: 0,
            round: None,
            queue_position,
        });
        if reason == PingReason::ReportedDown {
            ping.reason = reason;
        }
    }

    /// Ends the ping to a member.
    pub(crate) fn end(&mut self, number: u32) -> Option<OutstandingPing> {
        self.pings.remove(&number)
    }

    /// Starts another round for a member that has missed this many in a row, from the next [`OutstandingPings::take_due`] on.
    pub(crate) fn start_next_round(&mut self, number: u32, missed_rounds: u32) {
        if !self.pings.contains_key(&number) {
            return;
        }
        let queue_position = self.next_queue_position();
        if let Some(ping) = self.pings.get_mut(&number) {
            ping.missed_rounds = missed_rounds;
            ping.round = None;
            ping.queue_position = queue_position;
        }
    }

    fn rounds_under_way(&self) -> usize {
        let under_way = |ping: &&OutstandingPing| ping.round.is_some();
        self.pings.values().filter(under_way).count()
    }

    /// When [`OutstandingPings::take_due`] has something next; 0 where a waiting round may start at once, and
    /// [`Millis::MAX`] without any ping.
    #[must_use]
    pub(crate) fn next_due(&self, settings: &Settings) -> Millis {
        let under_way = self.rounds_under_way();
        let some_wait = self.pings.len() > under_way;
        // A round that is over is ended or started again by the owner within the same call, so it never stands here.
        if some_wait && under_way < MAX_CONCURRENT_ROUNDS {
            return 0;
        }
        self.pings
            .values()
            .filter_map(|ping| ping.round.map(|round| round.due(settings)))
            .min()
            .unwrap_or(Millis::MAX)
    }

    /// Takes the steps that are due by `now`: first those of rounds under way, by number, then the first pings of the
    /// rounds that start now.
    pub(crate) fn take_due(&mut self, now: Millis, settings: &Settings) -> Vec<DuePing> {
        let mut due = self.take_due_steps(now, settings);
        self.start_waiting_rounds(now, &mut due);
        due
    }

    /// Takes the steps of rounds under way.
    ///
    /// A round that is over for more than a period is started again and counts for nothing: this process was paused
    /// and has not read the answers.
    fn take_due_steps(&mut self, now: Millis, settings: &Settings) -> Vec<DuePing> {
        let mut due = Vec::new();
        for (&number, ping) in &mut self.pings {
            let Some(round) = &mut ping.round else {
                continue;
            };
            if now < round.due(settings) {
                continue;
            }
            if now > round.started + 2 * settings.protocol_period_ms {
                ping.round = None;
                continue;
            }
            let step = round.take_step();
            due.push(DuePing { number, step });
        }
        due
    }

    /// Starts as many waiting rounds as may be under way at a time, in the order in which they have waited.
    fn start_waiting_rounds(&mut self, now: Millis, due: &mut Vec<DuePing>) {
        let free = MAX_CONCURRENT_ROUNDS.saturating_sub(self.rounds_under_way());
        let mut waiting: Vec<(u64, u32)> = self
            .pings
            .iter()
            .filter(|(_, ping)| ping.round.is_none())
            .map(|(&number, ping)| (ping.queue_position, number))
            .collect();
        waiting.sort_unstable();
        for (_, number) in waiting.into_iter().take(free) {
            let sequence = self.next_sequence();
            let Some(ping) = self.pings.get_mut(&number) else {
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
                number,
                step: PingStep::Ping,
            });
        }
    }
}
