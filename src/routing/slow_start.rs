//! Slow start: the share of its capacity that a member has reached while its process is new.

use super::settings::SafetyRules;
use super::time::{TimeDelta, Timestamp};

/// Returns the minimum share of its capacity, 0 to 1, that a member has reached by now if its
/// process started at `started`. A member without a start time has been running for long and has
/// its full capacity.
pub(super) fn warm_up_share(
    started: Option<Timestamp>,
    now: Timestamp,
    rules: &SafetyRules,
) -> f64 {
    let age = started.map_or(rules.warm_up_time, |started| {
        (now - started).max(TimeDelta::ZERO)
    });
    let warm_up_time = rules.warm_up_time.max(TimeDelta::NANOSECOND);
    let progress = (age.as_nanos_f64() / warm_up_time.as_nanos_f64()).min(1.0);
    rules.initial_capacity + (1.0 - rules.initial_capacity) * progress
}
