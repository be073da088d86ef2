//! How fast discovery is called. On one machine it is an agent that answers for nothing. Where the list comes only when
//! asked for, one service answers all gateways. To begin a watch there costs it much, to go on with one little, and what
//! it turns away costs it as much as what it answers: once gateways begin faster than that, none is answered any more. So
//! they begin rarely and apart, and go on at once: what changes within 0.2 s of an answer counts as told.

use oorandom::Rand32;
use std::time::Duration;

/// How long a call of an agent may wait for news. Silence is known only after it, so that it is short.
const HOLD: Duration = Duration::from_secs(4);
/// And a call of a service for all.
const HOLD_SHARED: Duration = Duration::from_secs(20);
/// Pause after a first failure. Danger: a refusing address would be called without end.
pub const PAUSE: Duration = Duration::from_millis(100);
/// Longest pause of an agent.
const PAUSE_MOST: Duration = Duration::from_secs(1);
/// For each gateway that asks the same service, so much is between two watches that one of them begins.
const EACH: Duration = Duration::from_millis(100);
/// Longest pause there.
const SHARED_MOST: Duration = Duration::from_secs(20);

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

    /// How long the next call may wait for news; not the same at all gateways.
    pub fn hold(&mut self, shared: Option<u32>) -> Duration {
        shared.map_or(HOLD, |_| self.part(HOLD_SHARED, 0.5))
    }

    /// The pause before the first call.
    pub fn first(&mut self, shared: Option<u32>) -> Duration {
        shared.map_or(Duration::ZERO, |n| self.part(turn(n), 0.0))
    }

    /// The pause after a failure: longer each time.
    pub fn failed(&mut self, shared: Option<u32>) -> Duration {
        let (least, most) = shared.map_or((PAUSE, PAUSE_MOST), |n| (turn(n), SHARED_MOST));
        self.pause = (self.pause * 2).clamp(least, most);
        self.part(self.pause, 0.5)
    }

    /// The watch goes on at once.
    pub fn answered(&mut self) {
        self.pause = Duration::ZERO;
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
mod tests {
    use super::*;

    /// Guards against a herd that calls in step and without end, and against one gateway that is slow to hear.
    #[test]
    fn a_herd_calls_rarely_and_apart_and_an_agent_is_called_at_once() {
        let herd = Some(48);
        let mut paces: Vec<Pace> = (0..48).map(Pace::new).collect();
        let mut firsts: Vec<Duration> = paces.iter_mut().map(|p| p.first(herd)).collect();
        firsts.sort();
        let crowd = |from: Duration| firsts.iter().filter(|&&f| f >= from && f < from + EACH * 8).count();
        assert!(firsts.iter().all(|&f| crowd(f) < 16), "{firsts:?}");
        for p in &mut paces {
            let pauses: Vec<Duration> = (0..12).map(|_| p.failed(herd)).collect();
            assert!(pauses[0] >= EACH * 24 && pauses[11] >= SHARED_MOST / 2 && pauses[11] <= SHARED_MOST);
            p.answered();
            assert!(p.failed(herd) <= EACH * 48 && p.hold(herd) >= HOLD_SHARED / 2);
        }
        let mut one = Pace::new(1);
        assert_eq!((one.first(None), one.hold(None)), (Duration::ZERO, HOLD));
        assert!((0..20).all(|_| one.failed(None) <= PAUSE_MOST));
    }
}
