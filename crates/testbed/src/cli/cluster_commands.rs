//! Commands that start several real gateways: schedules of faults, soaks, and the loss of a site.

use super::arguments::{ClusterArgs, FloodArgs, SiteLossArgs, SoakArgs};
use super::output::{print_json, print_text, progress_bar, write_json};
use super::{gateway_program, CommandError};
use irisrouter_testbed::cluster::schedule::{self, Fault, FaultKinds, Pace, Verdict};
use irisrouter_testbed::cluster::site_loss::{self, FailoverPlans, SiteLossResults};
use irisrouter_testbed::cluster::{run_in_parallel, EndpointListMode, GatewayLimits, Plan};
use irisrouter_testbed::flood::{self, FloodPlan};
use irisrouter_testbed::soak::plan::SoakPlan;
use irisrouter_testbed::soak::{run as soak_run, summary as soak_summary};
use std::path::Path;

/// Ends the gateways of a run before the run itself on SIGINT and SIGTERM.
fn end_gateways_on_signal() -> Result<(), CommandError> {
    let end = || {
        irisrouter_testbed::cluster::process::end_all();
        std::process::exit(1);
    };
    ctrlc::set_handler(end).map_err(CommandError::SignalHandler)
}

/// Measures the loss and the return of a site, without and with plans for it.
pub fn site_loss(args: &SiteLossArgs) -> Result<(), CommandError> {
    end_gateways_on_signal()?;
    let program = gateway_program(args.gateway.as_ref())?;
    let progress = progress_bar(2 * args.seeds);
    // Both ways of a seed in turn, so that whatever else the machine does meets both alike.
    let runs: Vec<u64> = (2 * args.seed..2 * args.seed.saturating_add(args.seeds)).collect();
    let plans_of = |run: u64| match run % 2 {
        1 => FailoverPlans::On,
        _ => FailoverPlans::Off,
    };
    let run_one = |run: u64| {
        let results = site_loss::run(run / 2, program.clone(), plans_of(run));
        progress.inc(1);
        results.map(|results| (run, results))
    };
    let mut done = run_in_parallel(&runs, args.at_once as usize, run_one)?;
    done.sort_by_key(|(run, _)| *run);
    progress.finish_and_clear();
    let results_with = |plans: FailoverPlans| -> Vec<SiteLossResults> {
        done.iter()
            .filter(|(run, _)| plans_of(*run) == plans)
            .map(|(_, results)| *results)
            .collect()
    };
    let (off, on) = (
        results_with(FailoverPlans::Off),
        results_with(FailoverPlans::On),
    );
    print_text(&site_loss::text(&off, &on));
    if let Some(path) = &args.json {
        write_json(path, &serde_json::json!({ "off": off, "on": on }))?;
    }
    Ok(())
}

/// Runs schedules of faults on real gateways and checks what has to hold.
pub fn cluster(args: &ClusterArgs) -> Result<(), CommandError> {
    let seeds: Vec<u64> = (args.seed..args.seed.saturating_add(args.seeds)).collect();
    if args.dry {
        let drawn: Vec<_> = seeds.iter().map(|&seed| (seed, draw(args, seed))).collect();
        return print_json(&drawn);
    }
    end_gateways_on_signal()?;
    let program = gateway_program(args.gateway.as_ref())?;
    let progress = progress_bar(args.seeds);
    let run_one = |seed: u64| {
        let verdict = schedule::run(plan(args, &program, seed), pace(args), draw(args, seed));
        progress.inc(1);
        verdict
    };
    let mut verdicts = run_in_parallel(&seeds, args.at_once as usize, run_one)?;
    verdicts.sort_by_key(|verdict| verdict.seed);
    progress.finish_and_clear();
    print_text(&schedule::text(&verdicts));
    if let Some(path) = &args.json {
        write_json(path, &verdicts)?;
    }
    check_verdicts(&verdicts)
}

/// Soaks real gateways in random clients and faults, and checks every answer.
pub fn soak(args: &SoakArgs) -> Result<(), CommandError> {
    let seeds: Vec<u64> = (args.seed..args.seed.saturating_add(args.seeds)).collect();
    if args.dry {
        let plans: Vec<_> = seeds.iter().map(|&seed| SoakPlan::draw(seed)).collect();
        return print_json(&plans);
    }
    end_gateways_on_signal()?;
    let program = gateway_program(args.gateway.as_ref())?;
    let progress = progress_bar(args.seeds);
    let run_one = |seed: u64| {
        let verdict = soak_run::run(SoakPlan::draw(seed), program.clone());
        progress.inc(1);
        verdict
    };
    let mut verdicts = run_in_parallel(&seeds, args.at_once as usize, run_one)?;
    verdicts.sort_by_key(|verdict| verdict.plan.seed);
    progress.finish_and_clear();
    print_text(&soak_summary::text(&verdicts));
    if let Some(path) = &args.json {
        write_json(path, &verdicts)?;
    }
    let broken = verdicts
        .iter()
        .filter(|verdict| !verdict.violations.is_empty());
    match broken.count() {
        0 => Ok(()),
        failed => Err(CommandError::SchedulesFailed {
            failed,
            schedules: verdicts.len(),
        }),
    }
}

/// Floods a real gateway and prints how the other clients' reads were answered.
pub fn flood(args: &FloodArgs) -> Result<(), CommandError> {
    end_gateways_on_signal()?;
    let program = gateway_program(args.gateway.as_ref())?;
    let plan = FloodPlan {
        kind: args.kind,
        clients: args.clients as usize,
        reads_answers: !args.ignore_answers,
        flood_ms: args.flood_ms,
        core_share: args.core_share,
        unanswered_every: args.unanswered_every,
        seed: args.seed,
        limits: GatewayLimits::default(),
    };
    print_json(&flood::run(plan, program)?)
}

fn pace(args: &ClusterArgs) -> Pace {
    Pace {
        lease_ms: args.lease_ms,
        ..Pace::FAST
    }
}

fn draw(args: &ClusterArgs, seed: u64) -> Vec<Fault> {
    let kinds = if args.crashes {
        FaultKinds::CrashesOnly
    } else {
        FaultKinds::All
    };
    let (gateways, faults) = (args.gateways as usize, args.faults as usize);
    schedule::draw(gateways, faults, pace(args), seed, kinds)
}

fn plan(args: &ClusterArgs, program: &Path, seed: u64) -> Plan {
    Plan {
        gateways: args.gateways as usize,
        sets: args.lease_ms.map_or(1, |_| args.sets),
        listed_sets: 0,
        zones: vec!["a".into()],
        seed,
        program: program.to_path_buf(),
        operators: pace(args).operators(),
        endpoint_list: EndpointListMode::Pushed,
        deadline_percent: 100,
        limits: GatewayLimits::default(),
    }
}

/// An error where a rule did not hold in a schedule.
fn check_verdicts(verdicts: &[Verdict]) -> Result<(), CommandError> {
    let schedules = verdicts.len();
    let failed = verdicts
        .iter()
        .filter(|verdict| !verdict.violations.is_empty())
        .count();
    if failed > 0 {
        return Err(CommandError::SchedulesFailed { failed, schedules });
    }
    Ok(())
}
