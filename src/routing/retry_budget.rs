//! Retry budget: requests pay for retries and hedged requests, so that these cannot amplify an
//! overload.

use super::event::Outcome;
use super::time::TimeDelta;

/// Tokens that each request adds to the budget. One token pays for one full attempt.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Maximum number of tokens in the budget.
const MAX_TOKENS: f64 = 10.0;
/// Minimum cost, in tokens, of a retry after an attempt that may have caused work.
const MIN_RETRY_COST: f64 = 0.1;

/// Token bucket for retries and hedged requests.
#[derive(Clone, Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub(super) fn new() -> Self {
        RetryBudget { tokens: MAX_TOKENS }
    }

    /// Adds the tokens that a new request pays.
    pub(super) fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Returns the cost of a retry after a failed attempt: nothing if the member did no work, a
    /// full attempt if a full member rejected the request, and otherwise the duration of the
    /// attempt in relation to the usual latency.
    pub(super) fn retry_cost(outcome: Outcome, elapsed: TimeDelta, usual_latency: f64) -> f64 {
        if outcome == Outcome::Full {
            return 1.0;
        }
        if outcome.never_ran() {
            return 0.0;
        }
        (elapsed.as_nanos_f64() / usual_latency).clamp(MIN_RETRY_COST, 1.0)
    }

    /// Returns whether the budget covers this cost.
    pub(super) fn covers(&self, cost: f64) -> bool {
        self.tokens >= cost
    }

    /// Returns this cost to the budget, for an attempt that was paid for and not sent.
    pub(super) fn refund(&mut self, cost: f64) {
        self.tokens = (self.tokens + cost).min(MAX_TOKENS);
    }

    /// Takes this cost from the budget.
    pub(super) fn withdraw(&mut self, cost: f64) {
        self.tokens -= cost;
    }
}
