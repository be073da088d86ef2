//! Values for a template's parameters, as the command line gives them.

use std::fmt;
use thiserror::Error;

/// Why a variable could not be read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum VariableError {
    /// The text has no `=`.
    #[error("'{0}' is not name=value")]
    NotAPair(String),
    /// The text before the `=` is not an identifier.
    #[error("'{0}' is no name of a variable")]
    InvalidName(String),
}

/// Values for a template's parameters, as the command line gives them: `gateways=8`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Variables(Vec<(String, String)>);

impl Variables {
    /// No variables.
    pub fn none() -> Self {
        Self::default()
    }

    /// Adds a variable from `name=value`. A name that is given twice takes its last value.
    ///
    /// # Errors
    ///
    /// There is no `=`, or the name is not an identifier.
    pub fn add(&mut self, pair: &str) -> Result<(), VariableError> {
        let (name, value) = pair
            .split_once('=')
            .ok_or_else(|| VariableError::NotAPair(pair.to_string()))?;
        if !is_identifier(name) {
            return Err(VariableError::InvalidName(name.to_string()));
        }
        self.0.retain(|(existing, _)| existing != name);
        self.0.push((name.to_string(), value.to_string()));
        Ok(())
    }

    /// These variables and the others. Where both have a name, the others' value is used.
    pub fn with(&self, others: &Variables) -> Variables {
        let mut merged = self.clone();
        merged
            .0
            .retain(|(name, _)| others.0.iter().all(|(other, _)| other != name));
        merged.0.extend(others.0.iter().cloned());
        merged
    }

    /// The names and values, in the order in which they were given.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        let pairs = self.0.iter();
        pairs.map(|(name, value)| (name.as_str(), value.as_str()))
    }
}

impl fmt::Display for Variables {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let pairs: Vec<String> = self
            .iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        write!(f, "{}", pairs.join(" "))
    }
}

fn is_identifier(name: &str) -> bool {
    let is_word = name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_');
    is_word && name.starts_with(|c: char| c.is_ascii_alphabetic() || c == '_')
}
