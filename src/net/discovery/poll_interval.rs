//! How fast discovery is called. On one machine it is an agent that answers for nothing: a change counts as told 6 s after
//! it had it and could be reached, so that a watch is held, found silent and opened anew in less than that. Where the list
//! comes only when asked for, one service answers all gateways. To begin a watch there costs it much, to go on with one
//! little, and what it turns away costs it as much as what it answers: once gateways begin faster than that, none is
//! answered any more. So they begin rarely and apart, and go on at once: what changes within 0.2 s of an answer counts as
//! told.

use oorandom::Rand32;
use std::time::Duration;

/// How long a call may wait for news. Silence is known only after it. Danger: with this, [`SILENCE`], a pause and a second
/// call that fails, a change has to come before it counts as told.
const HOLD: Duration = Duration::from_secs(2);
/// How long an answer may take beyond what it may wait before discovery counts as silent; a connection likewise.
pub const SILENCE: Duration = Duration::from_secs(1);
/// And a call of a service for all. Open: a watch that falls silent there misses a change for longer than 6 s.
const HOLD_SHARED: Duration = Duration::from_secs(20);
/// One service for all gateways lets calls wait in turn. Danger: one that is given up before its turn has to wait again.
const IN_TURN: Duration = Duration::from_secs(5);
/// Pause after a first failure. Danger: a refusing address would be called without end.
pub const PAUSE: Duration = Duration::from_millis(100);
/// Longest pause of an agent.
const PAUSE_MOST: Duration = Duration::from_millis(500);
/// For each gateway that asks the same service, so much is between two watches that one of them begins.
const EACH: Duration = Duration::from_millis(100);
/// Longest pause there.
const SHARED_MOST: Duration = Duration::from_secs(20);

/// The pace of one gateway.
pub struct Pace {
    pause: Duration,
    /// The last call was answered.
    well: bool,
    rng: Rand32,
}

/// What one call may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowed {
    /// It may wait so long for news.
    pub hold: Duration,
    /// After so long in all it counts as silent.
    pub silence: Duration,
}

impl Pace {
    /// At the start.
    pub fn new(seed: u64) -> Self {
        Pace {
            pause: Duration::ZERO,
            well: false,
            rng: Rand32::new(seed),
        }
    }

    /// What the next call may take; not the same at all gateways that ask one service. Behind a failure, and at the start,
    /// a call of an agent waits for no news. Danger: what was missed would be known no sooner than the hold of a call that
    /// fails, too.
    pub fn allowed(&mut self, shared: Option<u32>) -> Allowed {
        let hold = match (self.well, shared) {
            (_, Some(_)) => self.part(HOLD_SHARED, 0.5),
            (false, None) => Duration::ZERO,
            (true, None) => HOLD,
        };
        let beyond = if shared.is_some() { IN_TURN } else { SILENCE };
        Allowed {
            hold,
            silence: hold + beyond,
        }
    }

    /// The pause before the first call.
    pub fn first(&mut self, shared: Option<u32>) -> Duration {
        shared.map_or(Duration::ZERO, |n| self.part(turn(n), 0.0))
    }

    /// The pause after a failure: longer each time.
    pub fn failed(&mut self, shared: Option<u32>) -> Duration {
        self.well = false;
        let (least, most) = shared.map_or((PAUSE, PAUSE_MOST), |n| (turn(n), SHARED_MOST));
        self.pause = (self.pause * 2).clamp(least, most);
        self.part(self.pause, 0.5)
    }

    /// The watch goes on at once.
    pub fn answered(&mut self) {
        (self.pause, self.well) = (Duration::ZERO, true);
    }

    /// From this part of a time on up to all of it.
    fn part(&mut self, of: Duration, from: f64) -> Duration {
        of.mul_f64(from + (1.0 - from) * f64::from(self.rng.rand_float()))
    }
}

/// The time in which each of so many gateways begins once.
fn turn(gateways: u32) -> Duration {
    (EACH * gateways).min(SHARED_MOST)
}

#[cfg(test)]
#[path = "../../../tests/unit/poll_interval.rs"]
mod tests;
