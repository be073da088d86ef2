//! Retry budget: first attempts pay for retries and hedged requests, so that these cannot feed an
//! overload.

use super::event::Outcome;
use super::time::TimeDelta;

/// Retries and hedged requests that each first attempt pays for.
const SHARE_OF_REQUESTS: f64 = 0.1;
/// Most of them that may be saved up.
const CAPACITY: f64 = 10.0;
/// Least part of a full attempt that a failed one costs.
const MIN_RETRY_COST: f64 = 0.1;

/// Retries and hedged requests that may still be sent.
#[derive(Clone, Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A full budget.
    pub(super) fn new() -> Self {
        RetryBudget { tokens: CAPACITY }
    }

    /// A request has come in.
    pub(super) fn deposit(&mut self) {
        self.tokens = (self.tokens + SHARE_OF_REQUESTS).min(CAPACITY);
    }

    /// What a retry costs after an attempt that ended so: nothing if that caused no work, a full
    /// attempt after a rejection by a full member, else the part of a usual latency that the
    /// attempt took.
    pub(super) fn retry_cost(outcome: Outcome, elapsed: TimeDelta, usual_latency: f64) -> f64 {
        if outcome == Outcome::Full {
            return 1.0;
        }
        if outcome.never_ran() {
            return 0.0;
        }
        (elapsed.as_nanos_f64() / usual_latency).clamp(MIN_RETRY_COST, 1.0)
    }

    /// Whether there is enough for something of this cost.
    pub(super) fn covers(&self, cost: f64) -> bool {
        self.tokens >= cost
    }

    /// Pays that cost.
    pub(super) fn withdraw(&mut self, cost: f64) {
        self.tokens -= cost;
    }
}
