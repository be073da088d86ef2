//! Why settings could not be loaded.

use crate::Problem;
use std::path::PathBuf;
use thiserror::Error;

/// Why settings could not be loaded. None of them apply then.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// The file cannot be read.
    #[error("{}: {reason}", .file.display())]
    Unreadable {
        /// The settings file.
        file: PathBuf,
        /// Why it cannot be read.
        reason: String,
    },
    /// The file is not valid Jsonnet, or its evaluation fails.
    #[error("{}: {}", .file.display(), .reason.trim_end())]
    Template {
        /// The settings file.
        file: PathBuf,
        /// Why, with line, column and stack trace.
        reason: String,
    },
    /// A variable was given that the template does not declare.
    #[error("variable {name}: the file declares {}", list_or_none(.declared))]
    Variable {
        /// The variable.
        name: String,
        /// The parameters that the template declares.
        declared: Vec<String>,
    },
    /// The file evaluates to a value that is not valid as settings.
    #[error("{}: not taken:{}", .file.display(), indented_lines(.problems))]
    Invalid {
        /// The settings file.
        file: PathBuf,
        /// What is wrong, limited to the first 20 problems.
        problems: Vec<Problem>,
    },
}

/// The names separated by commas, or the word "none".
fn list_or_none(names: &[String]) -> String {
    if names.is_empty() {
        "none".to_string()
    } else {
        names.join(", ")
    }
}

/// Each problem on a line of its own, behind a line break.
fn indented_lines(problems: &[Problem]) -> String {
    problems
        .iter()
        .map(|problem| format!("\n  {problem}"))
        .collect()
}
