//! Slow start: how much of its capacity a member has while its process is new.

use super::identifiers::Nanos;
use super::settings::SafetyRules;

/// Share of its capacity, 0 to 1, that a member whose process started then has by now at least. A
/// member without a start time has been running for long.
pub(super) fn warmth(started: Option<Nanos>, now: Nanos, rules: &SafetyRules) -> f64 {
    let age = started.map_or(rules.warm_up_time, |started| (now - started).max(0));
    let progress = (age as f64 / rules.warm_up_time.max(1) as f64).min(1.0);
    rules.initial_capacity + (1.0 - rules.initial_capacity) * progress
}
