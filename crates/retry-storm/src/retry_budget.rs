//! Token budgets for what a gateway does beyond first attempts: retries, hedged requests and connects.
//!
//! First attempts deposit tokens. In a storm they deposit less, so that everything else gives way, and what is worth
//! little gives way first.

/// The part of a budget that a storm of full strength keeps for requests of the highest worth.
const RESERVED_FRACTION: f64 = 0.5;

/// A token budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    deposit_per_attempt: f64,
    capacity: f64,
    tokens: f64,
}

impl RetryBudget {
    /// A full budget. `deposit_per_attempt` is what a first attempt deposits, `capacity` the most that is saved. Values
    /// that are negative or not finite count as 0.
    pub fn new(deposit_per_attempt: f64, capacity: f64) -> Self {
        let capacity = finite_or_zero(capacity);
        RetryBudget {
            deposit_per_attempt: finite_or_zero(deposit_per_attempt),
            capacity,
            tokens: capacity,
        }
    }

    /// The tokens that are left.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Deposits tokens for a first attempt. `storm_strength` is from 0 for no storm to 1.
    pub fn deposit(&mut self, storm_strength: f64) {
        let fraction = 1.0 - storm_strength.clamp(0.0, 1.0);
        self.tokens = (self.tokens + self.deposit_per_attempt * fraction).min(self.capacity);
    }

    /// Withdraws tokens if there are enough, and returns whether it did. `worth` is from 0 to 1, in relation to the
    /// requests of the highest worth. In a storm the last tokens are reserved for what is worth more.
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
