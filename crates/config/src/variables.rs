//! Values for a template's parameters, given on the command line.

use std::fmt;
use thiserror::Error;

/// Reason for which the text of a variable was rejected.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum VariableError {
    /// The text has no `=`.
    #[error("'{0}' is not name=value")]
    NotAPair(String),
    /// The text before the `=` is not an identifier.
    #[error("'{0}' is no name of a variable")]
    InvalidName(String),
}

/// Values for a template's parameters, given on the command line in the form `gateways=8`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Variables(Vec<(String, String)>);

impl Variables {
    /// Returns an empty list of variables.
    pub fn none() -> Self {
        Self::default()
    }

    /// Adds a variable from text of the form `name=value`. A variable of the same name is replaced.
    ///
    /// # Errors
    ///
    /// Returns an error if the text has no `=`, or if the name is not an identifier.
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

    /// Returns these variables merged with `others`. Where both contain a name, the value from `others` is used.
    pub fn with(&self, others: &Variables) -> Variables {
        let mut merged = self.clone();
        merged
            .0
            .retain(|(name, _)| others.0.iter().all(|(other, _)| other != name));
        merged.0.extend(others.0.iter().cloned());
        merged
    }

    /// Iterates over the names and values, in the order in which they were added.
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
