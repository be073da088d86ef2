//! Commands about scenarios: run, compare, list and check them.

use super::arguments::{CompareArgs, Mode, RunArgs};
use super::output::{print_json, print_text, progress_bar, write_file, write_json};
use super::{gateway_program, CommandError};
use indicatif::ProgressBar;
use irisrouter_config::Variables;
use irisrouter_testbed::compare::{self, Choice};
use irisrouter_testbed::loopback::environment::Environment;
use irisrouter_testbed::loopback::{self, Options};
use irisrouter_testbed::results::RunResults;
use irisrouter_testbed::scenario::Scenario;
use irisrouter_testbed::{report, settings, virtual_run};
use std::path::{Path, PathBuf};
use tracing::{info, warn};

/// The variables that `NAME=VALUE` pairs set.
fn variables(pairs: &[String]) -> Result<Variables, CommandError> {
    let mut variables = Variables::none();
    pairs.iter().try_for_each(|pair| variables.add(pair))?;
    Ok(variables)
}

/// Reads a scenario file.
fn load(file: &Path, variables: &Variables) -> Result<Scenario, CommandError> {
    Ok(irisrouter_config::load::<Scenario>(file, variables)?)
}

/// Shows one gateway at work in front of a set whose primary vanishes.
pub fn demo(seed: u64, gateway: Option<PathBuf>) -> Result<(), CommandError> {
    let gateway = gateway_program(gateway.as_ref())?;
    let results = irisrouter_testbed::demo::run(gateway, seed, &print_text)?;
    print_text("\nIn all, with a client's retries counted as part of its first try:\n");
    print_text(&report::text(&results));
    check_rules(true, &[results])
}

/// Runs a scenario for one seed, or for several.
pub fn run(args: &RunArgs) -> Result<(), CommandError> {
    let scenario = load(&args.scenario, &variables(&args.common.vars)?)?;
    if args.seeds > 1 && args.mode == Mode::Loopback {
        return Err(CommandError::SeedsOnLoopback);
    }
    if args.seeds > 1 {
        return run_many(args, &scenario);
    }
    info!(scenario = %scenario.title, seed = args.seed, mode = ?args.mode, "runs");
    let progress = progress_bar(scenario.world.length_s as u64);
    let results = run_once(args, &scenario, &progress);
    progress.finish_and_clear();
    let results = results?;
    print_text(&report::text(&results));
    if let Some(path) = &args.common.json {
        write_json(path, &results)?;
    }
    if let Some(path) = &args.common.html {
        write_file(path, &report::page(&results)?)?;
    }
    check_rules(args.strict, &[results])
}

fn run_once(
    args: &RunArgs,
    scenario: &Scenario,
    progress: &ProgressBar,
) -> Result<RunResults, CommandError> {
    match args.mode {
        Mode::Virtual => {
            let mut on_second = |second: f64| progress.set_position(second as u64);
            let results = virtual_run::run_with(scenario, args.seed, &mut on_second, &|_, _| None)?;
            Ok(results)
        }
        Mode::Loopback => {
            let each_second = |environment: &Environment| {
                progress.set_position(environment.elapsed().round() as u64);
            };
            let options = Options {
                gateway: gateway_program(args.gateway.as_ref())?,
                each_second: &each_second,
            };
            Ok(loopback::run(scenario, args.seed, &options)?)
        }
    }
}

/// Runs a scenario for several seeds in virtual time and prints means and intervals.
fn run_many(args: &RunArgs, scenario: &Scenario) -> Result<(), CommandError> {
    let seeds: Vec<u64> = (args.seed..args.seed.saturating_add(args.seeds)).collect();
    let progress = progress_bar(args.seeds);
    let runs = compare::runs(scenario, &seeds, &|| progress.inc(1))?;
    progress.finish_and_clear();
    print_text(&report::summary_text(
        scenario,
        &seeds,
        &compare::summary(&runs),
    ));
    if let Some(path) = &args.common.json {
        write_json(path, &runs)?;
    }
    if let Some(path) = &args.common.html {
        write_file(path, &report::page(&runs[0])?)?;
    }
    check_rules(args.strict, &runs)
}

/// Logs the rules that gateways broke in these runs; with `strict` a broken rule is an error.
fn check_rules(strict: bool, runs: &[RunResults]) -> Result<(), CommandError> {
    let mut violations: Vec<String> = Vec::new();
    for results in runs {
        let seed = results.seed;
        for what in results.violations() {
            warn!(seed, %what, "rule broken");
            violations.push(format!("seed {seed}: {what}"));
        }
    }
    if strict && !violations.is_empty() {
        return Err(CommandError::RulesBroken { violations });
    }
    Ok(())
}

/// Runs two choices of a scenario on the same days and reports what differs.
pub fn compare_choices(args: &CompareArgs) -> Result<(), CommandError> {
    let both = variables(&args.common.vars)?;
    let a = both.with(&variables(&args.a)?);
    let b = both.with(&variables(&args.b)?);
    let scenario_a = load(&args.scenario, &a)?;
    let scenario_b = load(&args.scenario, &b)?;
    if scenario_a == scenario_b {
        return Err(CommandError::EqualChoices);
    }
    let seeds: Vec<u64> = (args.seed..args.seed.saturating_add(args.seeds)).collect();
    let progress = progress_bar(args.seeds * 2);
    let choice_a = Choice {
        scenario: &scenario_a,
        settings: a.to_string(),
    };
    let choice_b = Choice {
        scenario: &scenario_b,
        settings: b.to_string(),
    };
    let comparison = compare::compare(choice_a, choice_b, &seeds, &|| progress.inc(1))?;
    progress.finish_and_clear();
    print_text(&report::comparison_text(&comparison));
    if let Some(path) = &args.common.json {
        write_json(path, &comparison)?;
    }
    if let Some(path) = &args.common.html {
        write_file(path, &report::comparison_page(&comparison)?)?;
    }
    Ok(())
}

/// Lists the scenarios of a directory and what can be varied in each.
pub fn scenarios(dir: &Path) -> Result<(), CommandError> {
    let entries = std::fs::read_dir(dir).map_err(|source| CommandError::ReadDirectory {
        path: dir.to_path_buf(),
        source,
    })?;
    let paths = entries.filter_map(|entry| entry.ok().map(|entry| entry.path()));
    let mut files: Vec<PathBuf> = paths
        .filter(|path| path.extension().is_some_and(|e| e == "jsonnet"))
        .collect();
    files.sort();
    for file in files {
        let scenario = load(&file, &Variables::none())?;
        let parameters = irisrouter_config::parameters(&file)?;
        print_text(&format!("{}\n    {}\n", file.display(), scenario.title));
        if !parameters.is_empty() {
            print_text(&format!("    -V {}\n", parameters.join(", ")));
        }
    }
    Ok(())
}

/// Checks a scenario and prints it with all its settings.
pub fn check(file: &Path, vars: &[String]) -> Result<(), CommandError> {
    let scenario = load(file, &variables(vars)?)?;
    settings::load(&scenario, 1).map_err(CommandError::CheckedSettings)?;
    print_json(&scenario)
}
