//! A figure that is fixed, or drawn from a range.

use crate::rng::Rng;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A value, or a range from which each day draws one.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(untagged)]
#[schemars(rename = "Between")]
pub enum ValueOrRange {
    /// This value.
    Value(f64),
    /// Evenly from the first to the second.
    Range([f64; 2]),
}

impl Default for ValueOrRange {
    fn default() -> Self {
        ValueOrRange::Value(0.0)
    }
}

impl ValueOrRange {
    /// One value.
    pub fn draw(self, rng: &mut Rng) -> f64 {
        match self {
            ValueOrRange::Value(v) => v,
            ValueOrRange::Range([low, high]) => rng.between(low, high),
        }
    }

    /// Its ends.
    pub fn ends(self) -> [f64; 2] {
        match self {
            ValueOrRange::Value(v) => [v, v],
            ValueOrRange::Range(ends) => ends,
        }
    }
}
