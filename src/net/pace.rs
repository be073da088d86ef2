//! How fast discovery is called. On one machine it is an agent that answers for nothing; where the list comes only when
//! asked for, it is one service for all gateways, and turns calls away when they add up to too many.

use oorandom::Rand32;
use std::time::Duration;

/// How long a watch may wait. Silence is known only after it, so that it is short.
const HOLD: Duration = Duration::from_secs(4);
/// Where all gateways ask one service, so much longer for each; this much at most.
const HOLD_EACH: Duration = Duration::from_millis(400);
const HOLD_MOST: Duration = Duration::from_secs(20);
/// Pause after a first failure. Danger: a refusing address would be called without end.
pub const PAUSE: Duration = Duration::from_millis(100);
/// Longest pause: of an agent, and of one service for all. Its word counts as told some seconds later anyway.
const PAUSE_AGENT: Duration = Duration::from_secs(1);
const PAUSE_SHARED: Duration = Duration::from_secs(5);
/// First calls of so many gateways are spread over a second.
const SPREAD_OVER: f64 = 50.0;
/// What is left of a pause after an answer. Danger: without it all call again at the same moment, as each change is
/// told to all, and are turned away again.
const EASE: f64 = 0.6;

/// The pace of one gateway.
pub struct Pace {
    pause: Duration,
    rng: Rand32,
}

impl Pace {
    /// At the start.
    pub fn new(seed: u64) -> Self {
        Pace { pause: Duration::ZERO, rng: Rand32::new(seed) }
    }

    /// Before the first call.
    pub fn first(&mut self, gateways: u32, shared: bool) -> Duration {
        let spread = if shared { f64::from(gateways) / SPREAD_OVER } else { 0.0 };
        Duration::from_secs_f64(spread.min(1.0) * f64::from(self.rng.rand_float()))
    }

    /// How long the next watch may wait.
    pub fn hold(&mut self, gateways: u32, shared: bool) -> Duration {
        let longest = if shared { (HOLD_EACH * gateways).clamp(HOLD, HOLD_MOST) } else { HOLD };
        if longest > HOLD {
            self.part(longest)
        } else {
            HOLD
        }
    }

    /// The pause after a failure: longer each time.
    pub fn failed(&mut self, shared: bool) -> Duration {
        let most = if shared { PAUSE_SHARED } else { PAUSE_AGENT };
        self.pause = (self.pause * 2).clamp(PAUSE, most);
        self.part(self.pause)
    }

    /// The pause after an answer: none where no call failed lately.
    pub fn answered(&mut self) -> Duration {
        self.pause = self.pause.mul_f64(EASE);
        if self.pause < PAUSE {
            self.pause = Duration::ZERO;
        }
        self.part(self.pause)
    }

    /// Between half of it and all.
    fn part(&mut self, of: Duration) -> Duration {
        of.mul_f64(0.5 + 0.5 * f64::from(self.rng.rand_float()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a herd that calls in step and without end, and against one gateway that is slow to hear.
    #[test]
    fn pauses_grow_apart_while_calls_fail_and_shrink_once_they_are_answered() {
        let mut paces: Vec<Pace> = (0..48).map(Pace::new).collect();
        let mut firsts: Vec<Duration> = paces.iter_mut().map(|p| p.first(48, true)).collect();
        firsts.sort();
        firsts.dedup();
        assert!(firsts.len() > 40, "not in step");
        for p in &mut paces {
            let pauses: Vec<Duration> = (0..12).map(|_| p.failed(true)).collect();
            assert!(pauses[0] <= PAUSE && pauses[11] >= PAUSE_SHARED / 2 && pauses[11] <= PAUSE_SHARED);
            assert!(!p.answered().is_zero());
            assert!((0..20).any(|_| p.answered().is_zero()));
            assert!((HOLD_MOST / 4..=HOLD_MOST).contains(&p.hold(48, true)));
        }
        let mut one = Pace::new(1);
        assert_eq!(
            (one.first(2, false), one.answered(), one.hold(2, false)),
            (Duration::ZERO, Duration::ZERO, HOLD)
        );
        assert!((0..20).all(|_| one.failed(false) <= PAUSE_AGENT));
    }
}
