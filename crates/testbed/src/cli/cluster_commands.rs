//! Commands that start several real gateways: schedules of faults, and the loss of a site.

use super::arguments::{ClusterArgs, SiteLossArgs};
use super::output::{print_json, print_text, progress_bar, write_json};
use super::{gateway_program, CommandError};
use irisrouter_testbed::cluster::{schedule, site_loss, Plan};

/// A run with gateways that is told to end (SIGINT, SIGTERM) ends them first.
fn end_gateways_on_signal() -> Result<(), CommandError> {
    let end = || {
        irisrouter_testbed::cluster::process::end_all();
        std::process::exit(1);
    };
    ctrlc::set_handler(end).map_err(|e| CommandError::Run(format!("cannot catch signals: {e}")))
}

/// Measures the loss and the return of a site, without and with plans for it.
pub fn site_loss(args: &SiteLossArgs) -> Result<(), CommandError> {
    end_gateways_on_signal()?;
    let program = gateway_program(args.gateway.as_ref())?;
    let progress = progress_bar(2 * args.seeds);
    // Both ways of a seed in turn, so that whatever else the machine does meets both alike.
    let runs: Vec<u64> = (2 * args.seed..2 * args.seed.saturating_add(args.seeds)).collect();
    let one = |run: u64| {
        let figures = site_loss::run(run / 2, program.clone(), run % 2 == 1);
        progress.inc(1);
        figures.map(|f| (run, f))
    };
    let mut done =
        schedule::side_by_side(&runs, args.at_once as usize, one).map_err(CommandError::Run)?;
    done.sort_by_key(|(run, _)| *run);
    progress.finish_and_clear();
    let of = |on: bool| -> Vec<site_loss::RunResults> {
        done.iter()
            .filter(|(run, _)| (run % 2 == 1) == on)
            .map(|(_, f)| *f)
            .collect()
    };
    let (off, on) = (of(false), of(true));
    print_text(&site_loss::text(&off, &on));
    if let Some(path) = &args.json {
        write_json(path, &serde_json::json!({ "off": off, "on": on }))?;
    }
    Ok(())
}

/// Runs schedules of faults on real gateways and checks what has to hold.
pub fn cluster(args: &ClusterArgs) -> Result<(), CommandError> {
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
    end_gateways_on_signal()?;
    let program = gateway_program(args.gateway.as_ref())?;
    let progress = progress_bar(args.seeds);
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
        schedule::side_by_side(&seeds, args.at_once as usize, one).map_err(CommandError::Run)?;
    verdicts.sort_by_key(|v| v.seed);
    progress.finish_and_clear();
    print_text(&schedule::text(&verdicts));
    if let Some(path) = &args.json {
        write_json(path, &verdicts)?;
    }
    let broken = verdicts.iter().filter(|v| !v.broken.is_empty()).count();
    if broken > 0 {
        return Err(CommandError::Run(format!(
            "{broken} of {} schedules did not hold",
            verdicts.len()
        )));
    }
    Ok(())
}
