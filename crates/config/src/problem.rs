//! Problems within settings, and the checks that find them.

use std::fmt;

/// A violation of the schema or of a check, at one place in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// JSON pointer to the place; empty for the settings as a whole.
    pub path: String,
    /// What was found and what was expected.
    pub reason: String,
}

impl Problem {
    /// Creates a problem at the place that a JSON pointer names.
    pub fn new(path: impl Into<String>, reason: impl Into<String>) -> Self {
        Problem {
            path: path.into(),
            reason: reason.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() {
            "(the whole)"
        } else {
            &self.path
        };
        write!(f, "{path}: {}", self.reason)
    }
}

/// Settings with checks that a schema cannot express, such as sums, references to names, and the order of durations.
pub trait Checked {
    /// Returns all problems; the list is empty if the settings are valid.
    fn check(&self) -> Vec<Problem>;
}
