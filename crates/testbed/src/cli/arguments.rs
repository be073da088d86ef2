//! The arguments of the command line. Their comments are what `--help` prints.

use clap::{Args, Parser, Subcommand, ValueEnum};
use irisrouter_testbed::flood::FloodKind;
use std::path::PathBuf;

/// The laboratory of irisrouter: whole fleets of gateways, database sets and clients, with everything that can go
/// wrong, in virtual time or on this machine's loopback addresses.
#[derive(Parser)]
#[command(
    version,
    about,
    after_help = "Exit codes: 0 done; 1 it ran and failed; 2 the input is wrong, and nothing \
    was started."
)]
pub struct Cli {
    /// How the log on standard error is written.
    #[arg(long, value_enum, default_value_t = LogFormat::Text, global = true)]
    pub log_format: LogFormat,
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
pub enum LogFormat {
    Text,
    Json,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Mode {
    /// Discrete events round the decision module: exact, and faster than the clock.
    Virtual,
    /// Real gateways as processes, on 127.0.0.1, in real time.
    Loopback,
}

#[derive(Subcommand)]
pub enum Command {
    /// See it work: a gateway, a set, clients, and a primary that vanishes; under half a minute.
    Demo {
        /// The day is drawn from it.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The gateway's program; the one beside this program where nothing is said.
        #[arg(long, value_name = "FILE")]
        gateway: Option<PathBuf>,
    },
    /// Run a scenario once, or for several seeds, and say what it came to.
    Run(RunArgs),
    /// Run two choices of a scenario on the same days, and say what differs.
    Compare(CompareArgs),
    /// List the scenarios and what can be varied in each.
    Scenarios {
        /// Where they stand.
        #[arg(long, default_value = "scenarios")]
        dir: PathBuf,
    },
    /// Check a scenario and print it with all its figures; nothing is run.
    Check {
        /// The file.
        scenario: PathBuf,
        /// Set what the file declares.
        #[arg(short = 'V', long = "var", value_name = "NAME=VALUE")]
        vars: Vec<String>,
    },
    /// Start several real gateways, bring faults about between them, and check what they make of them.
    Cluster(ClusterArgs),
    /// Measure the loss and the return of a site with real gateways, without and with plans for it.
    SiteLoss(SiteLossArgs),
    /// Soak real gateways in random clients and faults up to their end, and check every answer; ten seconds a seed.
    Soak(SoakArgs),
    /// Flood a real gateway that has a share of a processor core, and time the answers to other clients.
    Flood(FloodArgs),
    /// Print the JSON Schema that scenarios are checked against.
    Schema,
}

/// What every command that runs something takes.
#[derive(Args)]
pub struct Common {
    /// Set what the file declares.
    #[arg(short = 'V', long = "var", value_name = "NAME=VALUE")]
    pub vars: Vec<String>,
    /// Write what it came to to a file, as JSON.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Write a report to a file, as one HTML page.
    #[arg(long, value_name = "FILE")]
    pub html: Option<PathBuf>,
}

#[derive(Args)]
pub struct RunArgs {
    /// The file.
    pub scenario: PathBuf,
    /// The day is drawn from it.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// So many days, from this seed on, with the mean and its 95 % interval.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    pub seeds: u64,
    /// How it is run.
    #[arg(long, value_enum, default_value_t = Mode::Virtual)]
    pub mode: Mode,
    /// On loopback: the gateway's program; the one beside this program where nothing is said.
    #[arg(long, value_name = "FILE")]
    pub gateway: Option<PathBuf>,
    #[command(flatten)]
    pub common: Common,
    /// End with 1 if a rule was broken.
    #[arg(long)]
    pub strict: bool,
}

#[derive(Args)]
pub struct CompareArgs {
    /// The file.
    pub scenario: PathBuf,
    /// What A sets; may be given several times.
    #[arg(long, value_name = "NAME=VALUE")]
    pub a: Vec<String>,
    /// What B sets; may be given several times.
    #[arg(long, value_name = "NAME=VALUE")]
    pub b: Vec<String>,
    /// How many days.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(2..=100_000))]
    pub seeds: u64,
    /// The first day's seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    #[command(flatten)]
    pub common: Common,
}

#[derive(Args)]
pub struct SiteLossArgs {
    /// The first run's seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// So many runs without a plan, and as many with, 30 s each.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(2..=1_000))]
    pub seeds: u64,
    /// So many of them side by side.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=16))]
    pub at_once: u64,
    /// The gateway's program; the one beside this program where nothing is said.
    #[arg(long, value_name = "FILE")]
    pub gateway: Option<PathBuf>,
    /// Write the figures of each run to a file, as JSON.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

#[derive(Args)]
pub struct ClusterArgs {
    /// How many gateways.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(3..=24))]
    pub gateways: u64,
    /// How many faults in a schedule.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=100))]
    pub faults: u64,
    /// The first schedule's seed: the same one draws the same faults.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// So many schedules, from this seed on.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1_000))]
    pub seeds: u64,
    /// So many of them side by side.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=16))]
    pub at_once: u64,
    /// Also let gateways own the probing of sets, under leases of so many milliseconds, and check that.
    #[arg(long, value_name = "MS", value_parser = clap::value_parser!(u64).range(100..=60_000))]
    pub lease_ms: Option<u64>,
    /// How many sets there are, with leases.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=64))]
    pub sets: u64,
    /// Draw crashes only.
    #[arg(long)]
    pub crashes: bool,
    /// Only print the faults.
    #[arg(long)]
    pub dry: bool,
    /// The gateway's program; the one beside this program where nothing is said.
    #[arg(long, value_name = "FILE")]
    pub gateway: Option<PathBuf>,
    /// Write what each schedule came to to a file, as JSON.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

#[derive(Args)]
pub struct FloodArgs {
    /// What the flooding clients send; nothing for an undisturbed run.
    #[arg(long, value_enum)]
    pub kind: Option<FloodKind>,
    /// How many clients flood the gateway.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=400))]
    pub clients: u64,
    /// The flooding clients do not read their answers.
    #[arg(long)]
    pub ignore_answers: bool,
    /// The share of a processor core that the gateway has.
    #[arg(long, default_value_t = 0.4)]
    pub core_share: f64,
    /// How long the flood lasts, in milliseconds.
    #[arg(long, default_value_t = 6_000, value_parser = clap::value_parser!(u64).range(100..=600_000))]
    pub flood_ms: u64,
    /// Every so many reads of the other clients are not answered by their host; 0 for none.
    #[arg(long, default_value_t = 2)]
    pub unanswered_every: u64,
    /// The seed of the flood's random names.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The gateway's program; the one beside this program where nothing is said.
    #[arg(long, value_name = "FILE")]
    pub gateway: Option<PathBuf>,
}

#[derive(Args)]
pub struct SoakArgs {
    /// The first run's seed: the same one draws the same clients and faults.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// So many runs, from this seed on.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    pub seeds: u64,
    /// So many of them side by side.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=16))]
    pub at_once: u64,
    /// Only print the plans.
    #[arg(long)]
    pub dry: bool,
    /// The gateway's program; the one beside this program where nothing is said.
    #[arg(long, value_name = "FILE")]
    pub gateway: Option<PathBuf>,
    /// Write what each run came to to a file, as JSON.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}
