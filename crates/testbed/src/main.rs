//! `irisrouter-testbed`: runs scenarios, compares choices, and writes reports.

#![forbid(unsafe_code)]

use clap::{Args, Parser, Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use irisrouter_config::Variables;
use irisrouter_testbed::cluster::{schedule, site_loss, Plan};
use irisrouter_testbed::compare;
use irisrouter_testbed::loopback::environment::Environment;
use irisrouter_testbed::loopback::{self, Options};
use irisrouter_testbed::results::RunResults;
use irisrouter_testbed::scenario::Scenario;
use irisrouter_testbed::{report, virtual_run};
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing::{info, warn};

/// The laboratory of irisrouter: whole fleets of gateways, database sets and clients, with everything that can go
/// wrong, in virtual time or on this machine's loopback addresses.
#[derive(Parser)]
#[command(
    version,
    about,
    after_help = "Exit codes: 0 done; 1 it ran and failed; 2 the input is wrong, and nothing \
    was started."
)]
struct Cli {
    /// How the log on standard error is written.
    #[arg(long, value_enum, default_value_t = LogFormat::Text, global = true)]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Mode {
    /// Discrete events round the decision module: exact, and faster than the clock.
    Virtual,
    /// Real gateways as processes, on 127.0.0.1, in real time.
    Loopback,
}

#[derive(Subcommand)]
enum Command {
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
    /// Print the JSON Schema that scenarios are checked against.
    Schema,
}

/// What every command that runs something takes.
#[derive(Args)]
struct Common {
    /// Set what the file declares.
    #[arg(short = 'V', long = "var", value_name = "NAME=VALUE")]
    vars: Vec<String>,
    /// Write what it came to to a file, as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write a report to a file, as one HTML page.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

#[derive(Args)]
struct RunArgs {
    /// The file.
    scenario: PathBuf,
    /// The day is drawn from it.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// So many days, from this seed on, with the mean and its 95 % interval.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    seeds: u64,
    /// How it is run.
    #[arg(long, value_enum, default_value_t = Mode::Virtual)]
    mode: Mode,
    /// On loopback: the gateway's program; the one beside this program where nothing is said.
    #[arg(long, value_name = "FILE")]
    gateway: Option<PathBuf>,
    #[command(flatten)]
    common: Common,
    /// End with 1 if a rule was broken.
    #[arg(long)]
    strict: bool,
}

#[derive(Args)]
struct CompareArgs {
    /// The file.
    scenario: PathBuf,
    /// What A sets; may be given several times.
    #[arg(long, value_name = "NAME=VALUE")]
    a: Vec<String>,
    /// What B sets; may be given several times.
    #[arg(long, value_name = "NAME=VALUE")]
    b: Vec<String>,
    /// How many days.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(2..=100_000))]
    seeds: u64,
    /// The first day's seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[command(flatten)]
    common: Common,
}

#[derive(Args)]
struct SiteLossArgs {
    /// The first run's seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// So many runs without a plan, and as many with, 30 s each.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(2..=1_000))]
    seeds: u64,
    /// So many of them side by side.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=16))]
    at_once: u64,
    /// The gateway's program; the one beside this program where nothing is said.
    #[arg(long, value_name = "FILE")]
    gateway: Option<PathBuf>,
    /// Write the figures of each run to a file, as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

#[derive(Args)]
struct ClusterArgs {
    /// How many gateways.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(3..=24))]
    gateways: u64,
    /// How many faults in a schedule.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=100))]
    faults: u64,
    /// The first schedule's seed: the same one draws the same faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// So many schedules, from this seed on.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1_000))]
    seeds: u64,
    /// So many of them side by side.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=16))]
    at_once: u64,
    /// Also let gateways own the probing of sets, under leases of so many milliseconds, and check that.
    #[arg(long, value_name = "MS", value_parser = clap::value_parser!(u64).range(100..=60_000))]
    lease_ms: Option<u64>,
    /// How many sets there are, with leases.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=64))]
    sets: u64,
    /// Draw crashes only.
    #[arg(long)]
    crashes: bool,
    /// Only print the faults.
    #[arg(long)]
    dry: bool,
    /// The gateway's program; the one beside this program where nothing is said.
    #[arg(long, value_name = "FILE")]
    gateway: Option<PathBuf>,
    /// Write what each schedule came to to a file, as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

/// Why a command ended.
enum Failed {
    /// The input is wrong.
    Input(String),
    /// It ran and failed.
    Run(String),
}

impl From<irisrouter_config::Error> for Failed {
    fn from(e: irisrouter_config::Error) -> Self {
        Failed::Input(e.to_string())
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let filter = tracing_subscriber::EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    match cli.log_format {
        LogFormat::Text => log.with_target(false).init(),
        LogFormat::Json => log.json().init(),
    }
    let result = match cli.command {
        Command::Demo { seed, gateway } => demo(seed, gateway),
        Command::Run(args) => run(&args),
        Command::Compare(args) => compared(&args),
        Command::Scenarios { dir } => scenarios(&dir),
        Command::Check { scenario, vars } => check(&scenario, &vars),
        Command::Cluster(args) => cluster(&args),
        Command::SiteLoss(args) => site_loss(&args),
        Command::Schema => print_json(&irisrouter_config::schema::<Scenario>()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failed::Run(why)) => {
            eprintln!("irisrouter-testbed: {why}");
            ExitCode::from(1)
        }
        Err(Failed::Input(why)) => {
            eprintln!("irisrouter-testbed: {why}");
            ExitCode::from(2)
        }
    }
}

fn variables(pairs: &[String]) -> Result<Variables, Failed> {
    let mut v = Variables::none();
    pairs
        .iter()
        .try_for_each(|p| v.add(p))
        .map_err(Failed::Input)?;
    Ok(v)
}

fn load(file: &Path, variables: &Variables) -> Result<Scenario, Failed> {
    Ok(irisrouter_config::load::<Scenario>(file, variables)?)
}

/// Writes to standard output. Whoever reads it may stop reading, as `head` does: that is no failure.
fn say(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

fn print_json<T: serde::Serialize>(value: &T) -> Result<(), Failed> {
    let text = serde_json::to_string_pretty(value).map_err(|e| Failed::Run(e.to_string()))?;
    say(&format!("{text}\n"));
    Ok(())
}

fn write(path: &Path, text: &str) -> Result<(), Failed> {
    std::fs::write(path, text).map_err(|e| Failed::Run(format!("{}: {e}", path.display())))?;
    info!(file = %path.display(), "written");
    Ok(())
}

fn write_json<T: serde::Serialize>(path: &Path, value: &T) -> Result<(), Failed> {
    let text = serde_json::to_string(value).map_err(|e| Failed::Run(e.to_string()))?;
    write(path, &text)
}

fn bar(length: u64) -> ProgressBar {
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

/// The gateway's program: where it is said to be, or beside this one.
fn program(said: Option<&PathBuf>) -> Result<PathBuf, Failed> {
    let path = match said {
        Some(path) => path.clone(),
        None => {
            let own = std::env::current_exe()
                .map_err(|e| Failed::Run(format!("where is this program? {e}")))?;
            own.with_file_name("irisrouter")
        }
    };
    if path.is_file() {
        return Ok(path);
    }
    let build = "build it with 'cargo build --release', or name it with --gateway";
    Err(Failed::Run(format!(
        "there is no gateway at {}; {build}",
        path.display()
    )))
}

fn demo(seed: u64, gateway: Option<PathBuf>) -> Result<(), Failed> {
    let gateway = program(gateway.as_ref())?;
    let figures = irisrouter_testbed::demo::run(gateway, seed, &say).map_err(Failed::Run)?;
    say("\nIn all, with a client's retries counted as part of its first try:\n");
    say(&report::text(&figures));
    judged(true, &[figures])
}

fn run(args: &RunArgs) -> Result<(), Failed> {
    let scenario = load(&args.scenario, &variables(&args.common.vars)?)?;
    if args.seeds > 1 && args.mode == Mode::Loopback {
        return Err(Failed::Input(
            "several seeds run in virtual time only".into(),
        ));
    }
    if args.seeds > 1 {
        return run_many(args, &scenario);
    }
    info!(scenario = %scenario.title, seed = args.seed, mode = ?args.mode, "runs");
    let progress = bar(scenario.world.length_s as u64);
    let figures = match args.mode {
        Mode::Virtual => virtual_run::run_with(
            &scenario,
            args.seed,
            &mut |s| progress.set_position(s as u64),
            &|_, _| None,
        )
        .map_err(Failed::Run),
        Mode::Loopback => {
            let each_second = |environment: &Environment| {
                progress.set_position(environment.elapsed().round() as u64)
            };
            let options = Options {
                gateway: program(args.gateway.as_ref())?,
                each_second: &each_second,
            };
            loopback::run(&scenario, args.seed, &options).map_err(Failed::Run)
        }
    };
    progress.finish_and_clear();
    let figures = figures?;
    say(&report::text(&figures));
    if let Some(path) = &args.common.json {
        write_json(path, &figures)?;
    }
    if let Some(path) = &args.common.html {
        let page = report::page(&figures).map_err(Failed::Run)?;
        write(path, &page)?;
    }
    judged(args.strict, &[figures])
}

fn run_many(args: &RunArgs, scenario: &Scenario) -> Result<(), Failed> {
    let seeds: Vec<u64> = (args.seed..args.seed.saturating_add(args.seeds)).collect();
    let progress = bar(args.seeds);
    let runs = compare::runs(scenario, &seeds, &|| progress.inc(1)).map_err(Failed::Run)?;
    progress.finish_and_clear();
    say(&report::summary_text(
        scenario,
        &seeds,
        &compare::summary(&runs),
    ));
    if let Some(path) = &args.common.json {
        write_json(path, &runs)?;
    }
    if let Some(path) = &args.common.html {
        let page = report::page(&runs[0]).map_err(Failed::Run)?;
        write(path, &page)?;
    }
    judged(args.strict, &runs)
}

fn judged(strict: bool, runs: &[RunResults]) -> Result<(), Failed> {
    let mut broken: Vec<String> = Vec::new();
    for f in runs {
        for what in f.broken() {
            warn!(seed = f.seed, %what, "rule broken");
            broken.push(format!("seed {}: {what}", f.seed));
        }
    }
    if strict && !broken.is_empty() {
        return Err(Failed::Run(format!("rules broken: {}", broken.join("; "))));
    }
    Ok(())
}

fn compared(args: &CompareArgs) -> Result<(), Failed> {
    let both = variables(&args.common.vars)?;
    let (a, b) = (
        both.with(&variables(&args.a)?),
        both.with(&variables(&args.b)?),
    );
    let (scenario_a, scenario_b) = (load(&args.scenario, &a)?, load(&args.scenario, &b)?);
    if scenario_a == scenario_b {
        return Err(Failed::Input("A and B are the same".into()));
    }
    let seeds: Vec<u64> = (args.seed..args.seed.saturating_add(args.seeds)).collect();
    let progress = bar(args.seeds * 2);
    let (names, done) = ((a.to_string(), b.to_string()), || progress.inc(1));
    let comparison = compare::compare(
        (&scenario_a, names.0),
        (&scenario_b, names.1),
        &seeds,
        &done,
    )
    .map_err(Failed::Run)?;
    progress.finish_and_clear();
    say(&report::comparison_text(&comparison));
    if let Some(path) = &args.common.json {
        write_json(path, &comparison)?;
    }
    if let Some(path) = &args.common.html {
        let page = report::comparison_page(&comparison).map_err(Failed::Run)?;
        write(path, &page)?;
    }
    Ok(())
}

fn scenarios(dir: &Path) -> Result<(), Failed> {
    let entries =
        std::fs::read_dir(dir).map_err(|e| Failed::Input(format!("{}: {e}", dir.display())))?;
    let mut files: Vec<PathBuf> = entries.filter_map(|e| e.ok().map(|e| e.path())).collect();
    files.retain(|f| f.extension().is_some_and(|x| x == "jsonnet"));
    files.sort();
    for file in files {
        let scenario = load(&file, &Variables::none())?;
        let parameters = irisrouter_config::parameters(&file)?;
        say(&format!("{}\n    {}\n", file.display(), scenario.title));
        if !parameters.is_empty() {
            say(&format!("    -V {}\n", parameters.join(", ")));
        }
    }
    Ok(())
}

fn check(file: &Path, vars: &[String]) -> Result<(), Failed> {
    let scenario = load(file, &variables(vars)?)?;
    irisrouter_testbed::settings::load(&scenario, 1).map_err(Failed::Input)?;
    print_json(&scenario)
}

/// A run with gateways that is told to end (SIGINT, SIGTERM) ends them first.
fn ends_with_its_gateways() -> Result<(), Failed> {
    let end = || {
        irisrouter_testbed::cluster::process::end_all();
        std::process::exit(1);
    };
    ctrlc::set_handler(end).map_err(|e| Failed::Run(format!("cannot catch signals: {e}")))
}

fn site_loss(args: &SiteLossArgs) -> Result<(), Failed> {
    ends_with_its_gateways()?;
    let program = program(args.gateway.as_ref())?;
    let progress = bar(2 * args.seeds);
    // Both ways of a seed in turn, so that whatever else the machine does meets both alike.
    let runs: Vec<u64> = (2 * args.seed..2 * args.seed.saturating_add(args.seeds)).collect();
    let one = |run: u64| {
        let figures = site_loss::run(run / 2, program.clone(), run % 2 == 1);
        progress.inc(1);
        figures.map(|f| (run, f))
    };
    let mut done =
        schedule::side_by_side(&runs, args.at_once as usize, one).map_err(Failed::Run)?;
    done.sort_by_key(|(run, _)| *run);
    progress.finish_and_clear();
    let of = |on: bool| -> Vec<site_loss::RunResults> {
        done.iter()
            .filter(|(run, _)| (run % 2 == 1) == on)
            .map(|(_, f)| *f)
            .collect()
    };
    let (off, on) = (of(false), of(true));
    say(&site_loss::text(&off, &on));
    if let Some(path) = &args.json {
        write_json(path, &serde_json::json!({ "off": off, "on": on }))?;
    }
    Ok(())
}

fn cluster(args: &ClusterArgs) -> Result<(), Failed> {
    let (gateways, faults) = (args.gateways as usize, args.faults as usize);
    let pace = schedule::Pace {
        lease_ms: args.lease_ms,
        ..schedule::Pace::FAST
    };
    let draw = |seed| schedule::draw(gateways, faults, pace, seed, args.crashes);
    let seeds: Vec<u64> = (args.seed..args.seed.saturating_add(args.seeds)).collect();
    if args.dry {
        let drawn: Vec<_> = seeds.iter().map(|&s| (s, draw(s))).collect();
        return print_json(&drawn);
    }
    ends_with_its_gateways()?;
    let program = program(args.gateway.as_ref())?;
    let progress = bar(args.seeds);
    let one = |seed: u64| {
        let plan = Plan {
            gateways,
            sets: if args.lease_ms.is_some() {
                args.sets
            } else {
                1
            },
            zones: vec!["a".into()],
            seed,
            program: program.clone(),
            operators: pace.operators(),
            ask: false,
        };
        let verdict = schedule::run(plan, pace, draw(seed));
        progress.inc(1);
        verdict
    };
    let mut verdicts =
        schedule::side_by_side(&seeds, args.at_once as usize, one).map_err(Failed::Run)?;
    verdicts.sort_by_key(|v| v.seed);
    progress.finish_and_clear();
    say(&schedule::text(&verdicts));
    if let Some(path) = &args.json {
        write_json(path, &verdicts)?;
    }
    let broken = verdicts.iter().filter(|v| !v.broken.is_empty()).count();
    if broken > 0 {
        return Err(Failed::Run(format!(
            "{broken} of {} schedules did not hold",
            verdicts.len()
        )));
    }
    Ok(())
}
