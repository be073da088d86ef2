//! Problems within settings, and the checks that find them.

use std::fmt;

/// Something that is wrong at one place of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The place as a JSON pointer; empty for the settings as a whole.
    pub path: String,
    /// What was found and what was expected.
    pub reason: String,
}

impl Problem {
    /// A problem at a place.
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

/// Checks that a schema cannot express: sums, names that must exist, the order of durations.
pub trait Checked {
    /// Returns all problems; none if the settings are valid.
    fn check(&self) -> Vec<Problem>;
}
