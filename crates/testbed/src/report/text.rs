//! Summaries for the terminal.

use crate::compare::{Comparison, MeasureSummary};
use crate::results::{ClassResults, RunResults};
use crate::scenario::Scenario;
use std::fmt::Write;

/// A number with as many digits as people read.
pub(super) fn number(value: f64) -> String {
    match value.abs() {
        0.0 => "0".into(),
        abs if abs >= 1000.0 => format!("{value:.0}"),
        abs if abs >= 10.0 => format!("{value:.1}"),
        abs if abs >= 0.1 => format!("{value:.3}"),
        _ => format!("{value:.4}"),
    }
}

/// The summary of one run.
pub fn text(results: &RunResults) -> String {
    let mut out = String::new();
    let [gateways, hosts, sets] = results.size;
    let _ = writeln!(
        out,
        "{}: {gateways} gateways, {hosts} hosts, {sets} sets, seed {}, {}",
        results.scenario, results.seed, results.mode
    );
    let _ = writeln!(
        out,
        "service {:.4}  worst 10 s {:.4}  worst class {:.4}  goal {:.4}  of {} requests",
        results.service, results.worst_10s, results.worst_class, results.goal, results.requests
    );
    write_classes(&mut out, &results.classes);
    let _ = writeln!(
        out,
        "per request: {:.3} tries, {:.3} attempts, {:.4} probes, {:.4} connections, {:.1} bytes; wasted work {:.4}",
        results.tries_per_request,
        results.attempts_per_request,
        results.probes_per_request,
        results.connections_per_request,
        results.datagram_bytes_per_request,
        results.wasted_work
    );
    let recovery = results
        .recovery_s
        .map_or("-".to_string(), |seconds| format!("{seconds:.1} s"));
    let _ = writeln!(
        out,
        "peak load {:.2}, of cold hosts {:.2}; back at 95 % after {recovery}",
        results.peak_load, results.peak_cold_load
    );
    let violations = results.violations();
    let rules = if violations.is_empty() {
        "kept".to_string()
    } else {
        format!("BROKEN: {}", violations.join(", "))
    };
    let _ = writeln!(out, "rules {rules}");
    out
}

fn write_classes(out: &mut String, classes: &[ClassResults]) {
    let _ = writeln!(
        out,
        "{:<14}{:>9}{:>9}{:>7}{:>9}{:>8}{:>9}{:>8}{:>9}{:>9}",
        "class",
        "asked",
        "in time",
        "late",
        "refused",
        "failed",
        "timed",
        "service",
        "p50 ms",
        "p99 ms"
    );
    for class in classes {
        let _ = writeln!(
            out,
            "{:<14}{:>9}{:>9}{:>7}{:>9}{:>8}{:>9}{:>8.4}{:>9.1}{:>9.1}",
            class.name,
            class.asked,
            class.in_time,
            class.late,
            class.refused,
            class.failed + class.unreachable,
            class.timed_out,
            class.service,
            class.p50_ms,
            class.p99_ms
        );
    }
}

/// The summary of many runs of one choice.
pub fn summary_text(scenario: &Scenario, seeds: &[u64], measures: &[MeasureSummary]) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{}: {} seeds, mean and its 95 % interval",
        scenario.title,
        seeds.len()
    );
    for MeasureSummary { name, interval } in measures {
        let _ = writeln!(
            out,
            "{name:<28}{:>10}  [{}, {}]",
            number(interval.mean),
            number(interval.low),
            number(interval.high)
        );
    }
    out
}

/// The summary of a comparison.
pub fn comparison_text(comparison: &Comparison) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{}: {} seeds, paired",
        comparison.scenario,
        comparison.seeds.len()
    );
    let _ = writeln!(
        out,
        "A: {}\nB: {}",
        or_defaults(&comparison.a),
        or_defaults(&comparison.b)
    );
    let _ = writeln!(
        out,
        "{:<28}{:>10}{:>10}{:>12}  95 % interval of the difference",
        "", "A", "B", "B - A"
    );
    for measure in &comparison.measures {
        let difference = &measure.difference;
        let _ = writeln!(
            out,
            "{:<28}{:>10}{:>10}{:>12}  [{}, {}] {}",
            measure.name,
            number(measure.a.mean),
            number(measure.b.mean),
            number(difference.mean),
            number(difference.low),
            number(difference.high),
            measure.verdict
        );
    }
    out
}

fn or_defaults(settings: &str) -> &str {
    if settings.is_empty() {
        "the file's defaults"
    } else {
        settings
    }
}
