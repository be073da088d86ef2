//! The command line: its arguments, its commands, and what they write.

mod arguments;
mod cluster_commands;
mod output;
mod scenario_commands;

pub use arguments::{Cli, LogFormat};

use arguments::Command;
use irisrouter_testbed::cluster::ClusterError;
use irisrouter_testbed::scenario::Scenario;
use std::path::PathBuf;

/// Why a command ended without success.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The input is wrong, and nothing was started: exit code 2.
    #[error("{0}")]
    Input(String),
    /// A cluster of gateways could not be run: exit code 1.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// Rules did not hold in some schedules of faults: exit code 1.
    #[error("{failed} of {schedules} schedules did not hold")]
    SchedulesFailed {
        /// Number of these schedules.
        failed: usize,
        /// Number of all schedules.
        schedules: usize,
    },
    /// Signals can't be handled: exit code 1.
    #[error("cannot catch signals: {0}")]
    SignalHandler(#[source] ctrlc::Error),
    /// It ran and failed: exit code 1.
    #[error("{0}")]
    Run(String),
}

impl CommandError {
    /// The exit code of the program.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::Run(_)
            | CommandError::Cluster(_)
            | CommandError::SchedulesFailed { .. }
            | CommandError::SignalHandler(_) => 1,
            CommandError::Input(_) => 2,
        }
    }
}

impl From<irisrouter_config::Error> for CommandError {
    fn from(error: irisrouter_config::Error) -> Self {
        CommandError::Input(error.to_string())
    }
}

/// Runs a command of the command line.
///
/// # Errors
/// Where the input is wrong or the run failed.
pub fn execute(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Demo { seed, gateway } => scenario_commands::demo(seed, gateway),
        Command::Run(args) => scenario_commands::run(&args),
        Command::Compare(args) => scenario_commands::compare_choices(&args),
        Command::Scenarios { dir } => scenario_commands::scenarios(&dir),
        Command::Check { scenario, vars } => scenario_commands::check(&scenario, &vars),
        Command::Cluster(args) => cluster_commands::cluster(&args),
        Command::SiteLoss(args) => cluster_commands::site_loss(&args),
        Command::Schema => output::print_json(&irisrouter_config::schema::<Scenario>()),
    }
}

/// The gateway's program: where it is said to be, or beside this one.
fn gateway_program(given: Option<&PathBuf>) -> Result<PathBuf, CommandError> {
    let path = match given {
        Some(path) => path.clone(),
        None => {
            let own = std::env::current_exe()
                .map_err(|e| CommandError::Run(format!("where is this program? {e}")))?;
            own.with_file_name("irisrouter")
        }
    };
    if path.is_file() {
        return Ok(path);
    }
    let build = "build it with 'cargo build --release', or name it with --gateway";
    Err(CommandError::Run(format!(
        "there is no gateway at {}; {build}",
        path.display()
    )))
}
