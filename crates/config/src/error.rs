//! Why settings could not be loaded.

use crate::template::MAX_FILE_SIZE;
use crate::Problem;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why settings could not be loaded. None of them apply then.
#[derive(Debug, Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{}: {source}", .file.display())]
    Unreadable {
        /// The settings file.
        file: PathBuf,
        /// Why it cannot be read.
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
        /// What is wrong, limited to the first 20 problems.
        problems: Vec<Problem>,
    },
}

/// Why a settings file cannot be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The system does not find it, or does not let it be read.
    #[error(transparent)]
    System(#[from] io::Error),
    /// It is a directory or a device, or larger than what is read.
    #[error("no file of {MAX_FILE_SIZE} bytes at most")]
    NoFileOfAllowedSize,
    /// The thread that would evaluate it cannot be started.
    #[error("no thread to evaluate it: {0}")]
    Thread(#[source] io::Error),
}

/// Why a template yields no settings.
#[derive(Debug, Error)]
pub enum TemplateError {
    /// The evaluator refuses it. Its own error stays on the evaluation's thread, so this carries the text.
    #[error("{}", .trace.trim_end())]
    Evaluation {
        /// What the evaluator says, with line, column and stack trace.
        trace: String,
    },
    /// The evaluator's result is not JSON.
    #[error("it manifests as no JSON: {0}")]
    NoJson(#[source] serde_json::Error),
    /// The evaluator panicked.
    #[error("the evaluation broke down")]
    Panicked,
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
