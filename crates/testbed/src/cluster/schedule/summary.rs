//! Formats the results of the runs of schedules as text.

use super::Verdict;

/// Sorted durations in milliseconds.
struct Durations(Vec<u64>);

impl Durations {
    fn of(verdicts: &[Verdict], durations: fn(&Verdict) -> &[u64]) -> Self {
        let mut sorted: Vec<u64> = verdicts
            .iter()
            .flat_map(|verdict| durations(verdict).iter().copied())
            .collect();
        sorted.sort_unstable();
        Durations(sorted)
    }

    /// Formats the quantile `q`, 0 to 1, in seconds; a dash if there are no durations.
    fn quantile(&self, q: f64) -> String {
        let last = self.0.len().saturating_sub(1) as f64;
        self.0
            .get((last * q).round() as usize)
            .map_or("-".to_string(), |&ms| format!("{:.1}", ms as f64 / 1e3))
    }

    fn line(&self, name: &str) -> String {
        let (p50, p99, max) = (self.quantile(0.5), self.quantile(0.99), self.quantile(1.0));
        let count = self.0.len();
        format!("{name}: {count} times; p50 {p50}, p99 {p99}, max {max} s\n")
    }
}

/// Formats the summary of runs of schedules, with the violated rules of each.
#[must_use]
pub fn text(verdicts: &[Verdict]) -> String {
    let detection = Durations::of(verdicts, |verdict| &verdict.detection_ms);
    let healing = Durations::of(verdicts, |verdict| &verdict.healing_ms);
    let takeover = Durations::of(verdicts, |verdict| &verdict.takeover_ms);
    let fenced: usize = verdicts.iter().map(|v| v.fenced_health_checks).sum();
    let faults: usize = verdicts.iter().map(|v| v.faults.len()).sum();
    let mean = |of: fn(&Verdict) -> f64| {
        verdicts.iter().map(of).sum::<f64>() / verdicts.len().max(1) as f64
    };
    let mut text = format!(
        "{} schedules, {faults} faults\n{}{}{}{fenced} health checks refused for an outdated token\nper gateway and second: {:.1} datagrams, {:.0} bytes\n",
        verdicts.len(),
        detection.line("crashes and partitions until detected by all"),
        healing.line("end of a fault until all views agree"),
        takeover.line("crash of a lease holder until a health check by another gateway"),
        mean(|verdict| verdict.datagrams_per_s),
        mean(|verdict| verdict.bytes_per_s),
    );
    for verdict in verdicts.iter().filter(|v| !v.violations.is_empty()) {
        text += &format!("seed {}: violated rules:\n", verdict.seed);
        for violation in &verdict.violations {
            text += &format!("  {violation}\n");
        }
    }
    text
}
