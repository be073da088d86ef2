//! The command line: its arguments, its commands, and what they write.

mod arguments;
mod cluster_commands;
mod error;
mod output;
mod scenario_commands;

pub use arguments::{Cli, LogFormat};
pub use error::CommandError;

use arguments::Command;
use irisrouter_testbed::scenario::Scenario;
use std::path::PathBuf;

/// Runs a command of the command line.
///
/// # Errors
/// The input is wrong, or the run failed.
pub fn execute(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Demo { seed, gateway } => scenario_commands::demo(seed, gateway),
        Command::Run(args) => scenario_commands::run(&args),
        Command::Compare(args) => scenario_commands::compare_choices(&args),
        Command::Scenarios { dir } => scenario_commands::scenarios(&dir),
        Command::Check { scenario, vars } => scenario_commands::check(&scenario, &vars),
        Command::Cluster(args) => cluster_commands::cluster(&args),
        Command::SiteLoss(args) => cluster_commands::site_loss(&args),
        Command::Soak(args) => cluster_commands::soak(&args),
        Command::Flood(args) => cluster_commands::flood(&args),
        Command::Schema => output::print_json(&irisrouter_config::schema::<Scenario>()),
    }
}

/// The gateway's program: the given one, or the one beside this program.
fn gateway_program(given: Option<&PathBuf>) -> Result<PathBuf, CommandError> {
    let path = match given {
        Some(path) => path.clone(),
        None => {
            let own = std::env::current_exe().map_err(CommandError::OwnPath)?;
            own.with_file_name("irisrouter")
        }
    };
    if path.is_file() {
        return Ok(path);
    }
    Err(CommandError::NoGatewayProgram { path })
}
