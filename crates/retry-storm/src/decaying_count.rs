//! A count of recent events that decays exponentially, without time windows.

use crate::{Nanos, SECOND};

/// Time after which a count has decayed to half of its value.
const HALF_LIFE: Nanos = SECOND;

/// A count that decays exponentially with a half-life of one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingCount {
    value: f64,
    updated_at: Nanos,
}

impl DecayingCount {
    /// Adds an amount to the count at the time `now`.
    pub fn add(&mut self, now: Nanos, amount: f64) {
        self.value = self.value_at(now) + amount;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the value decayed to the time `now`. A time before the last update counts as the time of that update, so
    /// that a clock that goes back changes nothing.
    pub fn value_at(&self, now: Nanos) -> f64 {
        let half_lives = (now - self.updated_at).max(0) as f64 / HALF_LIFE as f64;
        self.value * (-half_lives * std::f64::consts::LN_2).exp()
    }
}
