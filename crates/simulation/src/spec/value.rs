//! A setting that is a fixed value, or a range from which a value is drawn.

use crate::rng::Rng;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A value, or a range from which each day draws one value.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(untagged)]
#[schemars(rename = "Between")]
pub enum ValueOrRange {
    /// A fixed value.
    Value(f64),
    /// Lower and upper end of a range; the value is distributed uniformly between them.
    Range([f64; 2]),
}

impl Default for ValueOrRange {
    fn default() -> Self {
        ValueOrRange::Value(0.0)
    }
}

impl ValueOrRange {
    /// Returns the value, or one drawn from the range.
    pub fn draw(self, rng: &mut Rng) -> f64 {
        match self {
            ValueOrRange::Value(v) => v,
            ValueOrRange::Range([low, high]) => rng.between(low, high),
        }
    }

    /// Returns the lower and upper end; both are the value if it is fixed.
    pub fn bounds(self) -> [f64; 2] {
        match self {
            ValueOrRange::Value(v) => [v, v],
            ValueOrRange::Range(bounds) => bounds,
        }
    }
}
