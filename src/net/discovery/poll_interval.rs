//! When discovery is called: how long a call may wait for changes, when it counts as silent, and the pause before the
//! next one.
//!
//! Usually discovery is an agent on the gateway's machine that serves this gateway alone. A change has to be known
//! within 6 s of the agent's having it and being reachable, so that a watch is held, found silent and begun again in
//! less than that.
//!
//! Where the list comes only on request, one service answers all gateways. Beginning a watch there is expensive for it,
//! continuing one is cheap, and a rejected call costs as much as an answered one: if gateways begin watches faster than
//! the service can take, none of them is answered any more. So they begin watches rarely and at different times, and
//! continue at once after an answer: a change counts as known if it comes within 0.2 s of an answer.

use oorandom::Rand32;
use std::time::Duration;

/// How long a call to an agent may wait for changes. A silent call is noticed only after it: this time, [`SILENCE_TIMEOUT`],
/// a pause and a second call that fails have to fit into the 6 s in which a change has to be known.
const AGENT_HOLD: Duration = Duration::from_secs(2);
/// How long an answer may take beyond its hold before discovery counts as silent, and how long connecting may take.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a call to a shared service may wait for changes. A watch that falls silent there misses changes for longer
/// than 6 s, which is a known gap.
const SHARED_HOLD: Duration = Duration::from_secs(20);
/// How long an answer of a shared service may take beyond its hold: it queues calls, and one that is given up in the
/// queue would have to queue again.
const SHARED_SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a first failure of an agent, and behind an answer without news that came sooner than this: an address that
/// refuses connections, or an agent that does not wait for changes, would be called without end.
pub const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest pause after failures of an agent, so that a change is known in time.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The time between two watches that any gateways begin at a shared service, on average: what the service can take.
const SHARED_START_INTERVAL: Duration = Duration::from_millis(100);
/// Longest pause after failures of a shared service.
const MAX_SHARED_RETRY_DELAY: Duration = Duration::from_secs(20);

/// Decides on the times of one gateway's calls. `shared_by` is how many gateways call the same service, everywhere here;
/// None for an agent that serves this gateway alone.
pub struct PollPacer {
    /// The longest pause after the last failure; zero after an answer.
    retry_delay: Duration,
    last_call_answered: bool,
    rng: Rand32,
}

/// The time limits of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// How long it may wait for changes.
    pub hold: Duration,
    /// The time after which it counts as silent, its hold included.
    pub silence: Duration,
}

impl CallLimits {
    /// The limits of a call that may wait for `hold`, and whose answer may take `silence_timeout` beyond that.
    fn new(hold: Duration, silence_timeout: Duration) -> Self {
        CallLimits {
            hold,
            silence: hold + silence_timeout,
        }
    }

    /// The limits of the same call if it does not wait for changes.
    pub fn without_hold(self) -> Self {
        CallLimits {
            hold: Duration::ZERO,
            silence: self.silence - self.hold,
        }
    }
}

impl PollPacer {
    /// The state before the first call.
    pub fn new(seed: u64) -> Self {
        PollPacer {
            retry_delay: Duration::ZERO,
            last_call_answered: false,
            rng: Rand32::new(seed),
        }
    }

    /// The time limits of the next call. Gateways that share a service get different ones. After a failure, and at the
    /// start, a call to an agent does not wait for changes: otherwise a change that was missed would become known only
    /// after the hold of another call that fails.
    pub fn call_limits(&mut self, shared_by: Option<u32>) -> CallLimits {
        if shared_by.is_some() {
            let hold = self.random_part(SHARED_HOLD, 0.5);
            return CallLimits::new(hold, SHARED_SILENCE_TIMEOUT);
        }
        let hold = if self.last_call_answered {
            AGENT_HOLD
        } else {
            Duration::ZERO
        };
        CallLimits::new(hold, SILENCE_TIMEOUT)
    }

    /// The pause before the first call.
    pub fn first_delay(&mut self, shared_by: Option<u32>) -> Duration {
        match shared_by {
            Some(gateways) => self.random_part(start_period(gateways), 0.0),
            None => Duration::ZERO,
        }
    }

    /// The pause after a failure: longer each time, up to a limit.
    pub fn retry_delay(&mut self, shared_by: Option<u32>) -> Duration {
        self.last_call_answered = false;
        let (shortest, longest) = match shared_by {
            None => (FIRST_RETRY_DELAY, MAX_RETRY_DELAY),
            Some(gateways) => (start_period(gateways), MAX_SHARED_RETRY_DELAY),
        };
        self.retry_delay = (self.retry_delay * 2).clamp(shortest, longest);
        self.random_part(self.retry_delay, 0.5)
    }

    /// Notes that a call was answered: the watch continues at once.
    pub fn answered(&mut self) {
        self.retry_delay = Duration::ZERO;
        self.last_call_answered = true;
    }

    /// A random time between `smallest_share` of `time` and all of it.
    fn random_part(&mut self, time: Duration, smallest_share: f64) -> Duration {
        let random = f64::from(self.rng.rand_float());
        time.mul_f64(smallest_share + (1.0 - smallest_share) * random)
    }
}

/// The time in which each of the gateways that share a service begins one watch.
fn start_period(gateways: u32) -> Duration {
    (SHARED_START_INTERVAL * gateways).min(MAX_SHARED_RETRY_DELAY)
}

#[cfg(test)]
#[path = "../../../tests/unit/poll_interval.rs"]
mod tests;
