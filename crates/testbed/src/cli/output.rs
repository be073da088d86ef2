//! What commands write: text and JSON on standard output, files, and progress bars on standard error.

use super::CommandError;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use std::io::{IsTerminal, Write};
use std::path::Path;
use tracing::info;

/// Writes to standard output. Whoever reads it may stop reading, as `head` does: that is no failure.
pub fn print_text(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Prints a value as indented JSON.
pub fn print_json<T: serde::Serialize>(value: &T) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(value)?;
    print_text(&format!("{text}\n"));
    Ok(())
}

/// Writes a file.
pub fn write_file(path: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text).map_err(|source| CommandError::WriteFile {
        path: path.to_path_buf(),
        source,
    })?;
    info!(file = %path.display(), "written");
    Ok(())
}

/// Writes a value to a file as JSON on one line.
pub fn write_json<T: serde::Serialize>(path: &Path, value: &T) -> Result<(), CommandError> {
    let text = serde_json::to_string(value)?;
    write_file(path, &text)
}

/// A progress bar of this length; hidden where standard error is no terminal.
pub fn progress_bar(length: u64) -> ProgressBar {
    let bar = ProgressBar::new(length);
    if !std::io::stderr().is_terminal() {
        bar.set_draw_target(ProgressDrawTarget::hidden());
    }
    if let Ok(style) = ProgressStyle::with_template("{elapsed_precise} {bar:40} {pos}/{len} {msg}")
    {
        bar.set_style(style);
    }
    bar
}
