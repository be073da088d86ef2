//! Errors that occur while settings are loaded.

use crate::template::MAX_FILE_SIZE;
use crate::Problem;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Reason for which settings could not be loaded. None of the settings take effect then.
#[derive(Debug, Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{}: {source}", .file.display())]
    Unreadable {
        /// The settings file.
        file: PathBuf,
        /// The error that occurred while the file was read.
        source: ReadError,
    },
    /// The file is not valid Jsonnet, or its evaluation fails.
    #[error("{}: {source}", .file.display())]
    Template {
        /// The settings file.
        file: PathBuf,
        /// What is wrong with it.
        source: TemplateError,
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
        /// The problems that were found, at most 20.
        problems: Vec<Problem>,
    },
}

/// Reason for which a settings file cannot be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The operating system reports that the file does not exist or cannot be read.
    #[error(transparent)]
    System(#[from] io::Error),
    /// The path is not a regular file, or the file is larger than the maximum size.
    #[error("no file of {MAX_FILE_SIZE} bytes at most")]
    NoFileOfAllowedSize,
    /// The thread that evaluates the template cannot be started.
    #[error("no thread to evaluate it: {0}")]
    Thread(#[source] io::Error),
}

/// Reason for which a template does not evaluate to settings.
#[derive(Debug, Error)]
pub enum TemplateError {
    /// The evaluator reports an error. The error is kept as text, because the evaluator's error type cannot be sent to
    /// another thread.
    #[error("{}", .trace.trim_end())]
    Evaluation {
        /// The evaluator's message, with line, column and stack trace.
        trace: String,
    },
    /// The evaluator's result is not JSON.
    #[error("it manifests as no JSON: {0}")]
    NoJson(#[source] serde_json::Error),
    /// The evaluator panicked.
    #[error("the evaluation broke down")]
    Panicked,
}

/// Returns the names separated by commas, or the word "none" if there are none.
fn list_or_none(names: &[String]) -> String {
    if names.is_empty() {
        "none".to_string()
    } else {
        names.join(", ")
    }
}

/// Returns each problem on a line of its own, indented and preceded by a line break.
fn indented_lines(problems: &[Problem]) -> String {
    problems
        .iter()
        .map(|problem| format!("\n  {problem}"))
        .collect()
}
