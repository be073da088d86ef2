//! Why a command ended without success, and with which exit code.

use irisrouter::platform_settings::PlatformSettingsError;
use irisrouter_testbed::cluster::ClusterError;
use irisrouter_testbed::loopback::LoopbackError;
use irisrouter_testbed::report::ReportError;
use std::io;
use std::path::PathBuf;

/// The exit code of a command that ran and failed.
const RUN_FAILED: u8 = 1;
/// The exit code of a command whose input is wrong, so that nothing was started.
const INPUT_IS_WRONG: u8 = 2;

/// Why a command ended without success. Its text is what the program writes.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A scenario can't be read, or its variables can't.
    #[error(transparent)]
    Config(#[from] irisrouter_config::Error),
    /// A variable on the command line is not of the form `NAME=VALUE`.
    #[error(transparent)]
    Variable(#[from] irisrouter_config::VariableError),
    /// A gateway would refuse the settings of the scenario that was checked.
    #[error("{0}")]
    CheckedSettings(#[source] PlatformSettingsError),
    /// Several seeds were asked for on loopback.
    #[error("several seeds run in virtual time only")]
    SeedsOnLoopback,
    /// The two choices of a comparison are equal.
    #[error("A and B are the same")]
    EqualChoices,
    /// A folder of scenarios can't be read.
    #[error("{}: {source}", path.display())]
    ReadDirectory {
        /// Its path.
        path: PathBuf,
        /// The system's reason.
        source: io::Error,
    },
    /// A gateway refuses the settings of the scenario that was to run.
    #[error(transparent)]
    Settings(#[from] PlatformSettingsError),
    /// A run on loopback failed.
    #[error(transparent)]
    Loopback(#[from] LoopbackError),
    /// A cluster of gateways could not be run.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// A report could not be made.
    #[error(transparent)]
    Report(#[from] ReportError),
    /// Rules did not hold in some schedules of faults.
    #[error("{failed} of {schedules} schedules did not hold")]
    SchedulesFailed {
        /// Number of these schedules.
        failed: usize,
        /// Number of all schedules.
        schedules: usize,
    },
    /// Gateways broke rules, and the run is strict.
    #[error("rules broken: {}", violations.join("; "))]
    RulesBroken {
        /// The rules, each with its seed.
        violations: Vec<String>,
    },
    /// There is no program of a gateway where it is looked for.
    #[error(
        "there is no gateway at {}; build it with 'cargo build --release', or name it with --gateway",
        path.display()
    )]
    NoGatewayProgram {
        /// Where it is looked for.
        path: PathBuf,
    },
    /// The path of this program is unknown, beside which a gateway's is looked for.
    #[error("where is this program? {0}")]
    OwnPath(#[source] io::Error),
    /// Signals can't be handled.
    #[error("cannot catch signals: {0}")]
    SignalHandler(#[source] ctrlc::Error),
    /// A value can't be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A file can't be written.
    #[error("{}: {source}", path.display())]
    WriteFile {
        /// Its path.
        path: PathBuf,
        /// The system's reason.
        source: io::Error,
    },
}

impl CommandError {
    /// The exit code of the program.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Config(_)
            | Self::Variable(_)
            | Self::CheckedSettings(_)
            | Self::SeedsOnLoopback
            | Self::EqualChoices
            | Self::ReadDirectory { .. } => INPUT_IS_WRONG,
            Self::Settings(_)
            | Self::Loopback(_)
            | Self::Cluster(_)
            | Self::Report(_)
            | Self::SchedulesFailed { .. }
            | Self::RulesBroken { .. }
            | Self::NoGatewayProgram { .. }
            | Self::OwnPath(_)
            | Self::SignalHandler(_)
            | Self::Json(_)
            | Self::WriteFile { .. } => RUN_FAILED,
        }
    }
}
