//! The table of a soak: a line for each seed, and the rules that did not hold.

use super::run::SoakVerdict;
use std::fmt::Write;

/// Most violations of one seed that are written out.
const MAX_WRITTEN: usize = 5;

/// The table as text.
#[must_use]
pub fn text(verdicts: &[SoakVerdict]) -> String {
    let mut text = String::from(
        "  seed  gateways  faults  served  errors  ended  left  killed  lag ms  broken\n",
    );
    for verdict in verdicts {
        let counts = &verdict.counts;
        let _ = writeln!(
            text,
            "{:>6}  {:>8}  {:>6}  {:>6}  {:>6}  {:>5}  {:>4}  {:>6}  {:>6}  {:>6}",
            verdict.plan.seed,
            verdict.plan.gateways,
            verdict.plan.faults.len(),
            counts.served,
            counts.errors,
            counts.connection_ended,
            counts.client_left,
            counts.killed,
            verdict.lag_ms,
            verdict.violations.len()
        );
        for violation in verdict.violations.iter().take(MAX_WRITTEN) {
            let _ = writeln!(text, "        {violation:?}");
        }
    }
    let broken = verdicts.iter().filter(|v| !v.violations.is_empty()).count();
    let _ = writeln!(
        text,
        "{} seeds, {broken} with a broken rule",
        verdicts.len()
    );
    text
}
