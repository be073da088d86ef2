//! The asks under way: "are you there?", to one member, in rounds of one probe period each, until it answers or has
//! been silent for too many of them.
//!
//! A round: a ping; where the round trip passes without an answer, a second one and the asking of others; after another
//! round trip a third. Danger guarded against: at 30 % loss one ping and its answer fail every second time, and each
//! failed probe costs a suspicion.

use crate::view::Millis;
use crate::Settings;
use std::collections::BTreeMap;

/// Rounds under way at a time; further members in doubt wait. Danger guarded against: after a cut of a large fleet a
/// member hears of hundreds of deaths within a second, and asking them all at once would crowd its socket.
pub const AT_ONCE: usize = 16;

/// What the owner of the asks is to do about one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Due {
    /// Ping the member.
    Ping,
    /// Ping it, and ask others to.
    Indirect,
    /// The round is over without an answer.
    Missed,
}

/// One member that is being asked.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Rounds without an answer so far.
    pub missed: u32,
    /// Others say that it is down.
    pub told: bool,
    /// The sequence numbers of the first round and of the one under way.
    pub seqs: (u16, u16),
    /// When the round began, and how far it is; `None` while it waits.
    round: Option<(Millis, u8)>,
    /// Its place among those that wait: who has waited longest begins first.
    turn: u64,
}

impl Ask {
    /// Whether an answer with this sequence number is one to this ask.
    #[must_use]
    pub const fn answered_by(&self, seq: u16) -> bool {
        self.round.is_some()
            && seq.wrapping_sub(self.seqs.0) <= self.seqs.1.wrapping_sub(self.seqs.0)
    }
}

/// All asks, by member.
#[derive(Debug, Clone, Default)]
pub struct Asks {
    all: BTreeMap<u32, Ask>,
    seq: u16,
    turns: u64,
}

impl Asks {
    /// A new sequence number.
    pub fn seq(&mut self) -> u16 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    /// The ask of a member.
    #[must_use]
    pub fn get(&self, number: u32) -> Option<&Ask> {
        self.all.get(&number)
    }

    /// Asks a member from the next [`Asks::due`] on; where it is being asked already, only `told` may change.
    pub fn ask(&mut self, number: u32, told: bool) {
        self.turns += 1;
        let new = Ask {
            missed: 0,
            told,
            seqs: (0, 0),
            round: None,
            turn: self.turns,
        };
        let ask = self.all.entry(number).or_insert(new);
        ask.told |= told;
    }

    /// Ends the ask of a member.
    pub fn end(&mut self, number: u32) -> Option<Ask> {
        self.all.remove(&number)
    }

    /// The member's next round begins with the next [`Asks::due`].
    pub fn again(&mut self, number: u32, missed: u32) {
        if let Some(ask) = self.all.get_mut(&number) {
            self.turns += 1;
            ask.missed = missed;
            ask.round = None;
            ask.turn = self.turns;
        }
    }

    /// When [`Asks::due`] has something next; at once (0) where a round may begin.
    #[must_use]
    pub fn next(&self, settings: &Settings) -> Millis {
        let under_way = self.all.values().filter(|a| a.round.is_some()).count();
        // A round that is over is its owner's to end or to begin again, within the same call.
        let waits = self.all.len() > under_way && under_way < AT_ONCE;
        let step = |&(began, step): &(Millis, u8)| began + after(step, settings);
        let next = self
            .all
            .values()
            .filter_map(|a| a.round.as_ref().map(step))
            .min()
            .unwrap_or(Millis::MAX);
        if waits {
            0
        } else {
            next
        }
    }

    /// What is due by `now`, by member. Danger guarded against: a process that was paused finds rounds long over in
    /// which it read no answers; a round that ends more than a period late is begun again, and counts for nothing.
    pub fn due(&mut self, now: Millis, settings: &Settings) -> Vec<(u32, Due)> {
        let mut due = Vec::new();
        for (&number, ask) in &mut self.all {
            let Some((began, step)) = ask.round else {
                continue;
            };
            if now < began + after(step, settings) {
                continue;
            }
            if now > began + 2 * settings.probe_period_ms {
                ask.round = None;
                continue;
            }
            ask.round = Some((began, step + 1));
            due.push(match step {
                1 => (number, Due::Indirect),
                2 => (number, Due::Ping),
                _ => (number, Due::Missed),
            });
        }
        let under_way = self.all.values().filter(|a| a.round.is_some()).count();
        let mut waiting: Vec<(u64, u32)> = self
            .all
            .iter()
            .filter(|(_, a)| a.round.is_none())
            .map(|(&n, a)| (a.turn, n))
            .collect();
        waiting.sort_unstable();
        for (_, number) in waiting.into_iter().take(AT_ONCE.saturating_sub(under_way)) {
            let seq = self.seq();
            let Some(ask) = self.all.get_mut(&number) else {
                continue;
            };
            ask.seqs = (if ask.missed == 0 { seq } else { ask.seqs.0 }, seq);
            ask.round = Some((now, 1));
            due.push((number, Due::Ping));
        }
        due
    }
}

/// When a round's step is due, from its beginning.
const fn after(step: u8, settings: &Settings) -> Millis {
    let second = 2 * settings.probe_rtt_ms;
    match step {
        1 => settings.probe_rtt_ms,
        2 if second < settings.probe_period_ms => second,
        _ => settings.probe_period_ms,
    }
}
