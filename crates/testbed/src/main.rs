//! `irisrouter-testbed`: runs scenarios, compares choices, and writes reports.

mod cli;

use clap::Parser;
use cli::{Cli, LogFormat};
use std::process::ExitCode;

fn main() -> ExitCode {
    let cli = Cli::parse();
    start_log(cli.log_format);
    match cli::execute(cli.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("irisrouter-testbed: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Starts the log on standard error. `RUST_LOG` sets its level; without it the level is `info`.
fn start_log(format: LogFormat) {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    match format {
        LogFormat::Text => log.with_target(false).init(),
        LogFormat::Json => log.json().init(),
    }
}
