//! Timing of the calls to discovery: how long a call may wait for changes, after what time without an answer it fails,
//! and the pause before the next call.
//!
//! Discovery is usually an agent on the gateway's machine that serves this gateway alone. A gateway has to know each
//! change within 6 s of the time when the agent has it and is reachable. The hold of a watch, the detection of an agent
//! that does not answer and the start of a new watch must therefore take less than 6 s together.
//!
//! If the endpoint list is available only on request, one service serves all gateways. Starting a watch is expensive
//! for that service, continuing one is cheap, and a rejected call costs as much as an answered one: if gateways start
//! watches faster than the service can handle, it no longer answers any of them. Gateways therefore start watches
//! rarely and at different times, and continue a watch at once after an answer: a change counts as known if it arrives
//! within 0.2 s of an answer.

use oorandom::Rand32;
use std::time::Duration;

/// How long a call to an agent may wait for changes. An agent that does not answer is detected only after this hold:
/// the hold, [`SILENCE_TIMEOUT`], a pause and a second failing call have to fit into the 6 s within which a change has
/// to be known.
const AGENT_HOLD: Duration = Duration::from_secs(2);
/// How long an answer may take in addition to its hold before the call fails, and how long connecting may take.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a call to a shared service may wait for changes. If the service stops answering during a watch, the gateway
/// misses changes for longer than 6 s, which is a known limitation.
const SHARED_HOLD: Duration = Duration::from_secs(20);
/// How long an answer of a shared service may take in addition to its hold. The service queues calls, and a call that
/// timed out in the queue would have to queue again.
const SHARED_SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after the first failure of an agent, and after an answer without changes that arrives sooner than this.
/// Otherwise an address that refuses connections, or an agent that does not wait for changes, would be called in a busy
/// loop.
pub const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum pause after failures of an agent, short enough that a change is known within 6 s.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Average time between the starts of two watches at a shared service, over all gateways: the rate that the service can
/// handle.
const SHARED_START_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum pause after failures of a shared service.
const MAX_SHARED_RETRY_DELAY: Duration = Duration::from_secs(20);

/// Decides when one gateway calls discovery. In all methods, `sharing_gateways` is the number of gateways that call the
/// same service, or `None` for an agent that serves this gateway alone.
pub struct PollPacer {
    /// The maximum of the random pause after the last failure; zero after an answer.
    retry_delay: Duration,
    last_call_answered: bool,
    rng: Rand32,
}

/// The time limits of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// How long the call may wait for changes.
    pub hold: Duration,
    /// Time from the start of the call, including its hold, after which it fails if no answer has arrived.
    pub answer_timeout: Duration,
}

impl CallLimits {
    /// Returns the limits of a call that may wait for `hold`, and whose answer may take `silence_timeout` in addition.
    fn new(hold: Duration, silence_timeout: Duration) -> Self {
        CallLimits {
            hold,
            answer_timeout: hold + silence_timeout,
        }
    }

    /// Returns the limits of the same call without waiting for changes.
    pub fn without_hold(self) -> Self {
        CallLimits {
            hold: Duration::ZERO,
            answer_timeout: self.answer_timeout - self.hold,
        }
    }
}

impl PollPacer {
    /// Creates the state before the first call.
    pub fn new(seed: u64) -> Self {
        PollPacer {
            retry_delay: Duration::ZERO,
            last_call_answered: false,
            rng: Rand32::new(seed),
        }
    }

    /// Returns the time limits of the next call. Gateways that share a service get random, different holds. After a
    /// failure and at startup, a call to an agent does not wait for changes: otherwise a missed change would become
    /// known only after the hold of another failing call.
    pub fn call_limits(&mut self, sharing_gateways: Option<u32>) -> CallLimits {
        if sharing_gateways.is_some() {
            let hold = self.random_fraction(SHARED_HOLD, 0.5);
            return CallLimits::new(hold, SHARED_SILENCE_TIMEOUT);
        }
        let hold = if self.last_call_answered {
            AGENT_HOLD
        } else {
            Duration::ZERO
        };
        CallLimits::new(hold, SILENCE_TIMEOUT)
    }

    /// Returns the pause before the first call.
    pub fn first_delay(&mut self, sharing_gateways: Option<u32>) -> Duration {
        match sharing_gateways {
            Some(gateways) => self.random_fraction(watch_start_period(gateways), 0.0),
            None => Duration::ZERO,
        }
    }

    /// Records a failure and returns the pause after it, which doubles with each failure up to a maximum and is
    /// randomized.
    pub fn retry_delay(&mut self, sharing_gateways: Option<u32>) -> Duration {
        self.last_call_answered = false;
        let (min_delay, max_delay) = match sharing_gateways {
            None => (FIRST_RETRY_DELAY, MAX_RETRY_DELAY),
            Some(gateways) => (watch_start_period(gateways), MAX_SHARED_RETRY_DELAY),
        };
        self.retry_delay = (self.retry_delay * 2).clamp(min_delay, max_delay);
        self.random_fraction(self.retry_delay, 0.5)
    }

    /// Records an answer: the next call follows at once.
    pub fn record_answer(&mut self) {
        self.retry_delay = Duration::ZERO;
        self.last_call_answered = true;
    }

    /// Returns a random duration between `min_fraction` of `max` and `max`.
    fn random_fraction(&mut self, max: Duration, min_fraction: f64) -> Duration {
        let random = f64::from(self.rng.rand_float());
        max.mul_f64(min_fraction + (1.0 - min_fraction) * random)
    }
}

/// Returns the period during which each of the gateways that share a service starts one watch.
fn watch_start_period(gateways: u32) -> Duration {
    (SHARED_START_INTERVAL * gateways).min(MAX_SHARED_RETRY_DELAY)
}

#[cfg(test)]
#[path = "../../../tests/unit/poll_interval.rs"]
mod tests;
