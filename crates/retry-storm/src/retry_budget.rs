//! Token budgets that limit the load which is added to the first attempts: retries, hedged requests and connects.
//!
//! First attempts deposit tokens, and the rest of the load withdraws them. In a storm, first attempts deposit less and
//! part of the tokens is reserved for requests of high worth, so that the load of low worth is rejected first.

/// Fraction of the capacity that is reserved for requests of the highest worth in a storm of strength 1.
const RESERVED_FRACTION: f64 = 0.5;

/// A token budget with a limited capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    deposit_per_attempt: f64,
    capacity: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget. `deposit_per_attempt` is the number of tokens that a first attempt deposits outside a
    /// storm, `capacity` the maximum number of tokens. Negative and non-finite values count as 0.
    pub fn new(deposit_per_attempt: f64, capacity: f64) -> Self {
        let capacity = finite_or_zero(capacity);
        RetryBudget {
            deposit_per_attempt: finite_or_zero(deposit_per_attempt),
            capacity,
            tokens: capacity,
        }
    }

    /// Returns the number of tokens in the budget.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Deposits tokens for a first attempt. `storm_strength` ranges from 0 (no storm) to 1, at which nothing is
    /// deposited.
    pub fn deposit(&mut self, storm_strength: f64) {
        let fraction = 1.0 - storm_strength.clamp(0.0, 1.0);
        self.tokens = (self.tokens + self.deposit_per_attempt * fraction).min(self.capacity);
    }

    /// Withdraws `cost` tokens if there are enough, and returns whether it did. `worth` is relative to the requests of
    /// the highest worth, from 0 to 1. In a storm, a reserve that grows with the strength of the storm must remain; it
    /// is smaller for a higher worth, and 0 for a worth of 1.
    pub fn try_withdraw(&mut self, cost: f64, worth: f64, storm_strength: f64) -> bool {
        if !cost.is_finite() || cost < 0.0 {
            return false;
        }
        let reserved = self.capacity
            * RESERVED_FRACTION
            * storm_strength.clamp(0.0, 1.0)
            * (1.0 - worth.clamp(0.0, 1.0));
        let is_allowed = self.tokens - cost >= reserved;
        if is_allowed {
            self.tokens -= cost;
        }
        is_allowed
    }
}

fn finite_or_zero(value: f64) -> f64 {
    if value.is_finite() {
        value.max(0.0)
    } else {
        0.0
    }
}
