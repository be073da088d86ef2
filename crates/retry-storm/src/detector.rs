//! Detection of a retry storm, in one group or in all groups together, from the requests and connects that arrive.
//!
//! The counts decay continuously. A storm starts when the fraction of retries reaches a threshold, and ends when it has
//! been below a lower threshold for some time. The gap between the thresholds prevents storms that start and end in
//! quick succession.

use crate::decaying_count::DecayingCount;
use crate::{Nanos, SECOND};

/// Fraction of retries among all requests at which a storm starts.
const START_FRACTION: f64 = 0.2;
/// A storm ends when the fraction of retries among all requests has been below this value for [`CALM_DURATION`].
const END_FRACTION: f64 = 0.07;
/// Time for which the fraction of retries must stay below [`END_FRACTION`] before a storm ends.
const CALM_DURATION: Nanos = 2 * SECOND;
/// Minimum decayed count of requests for which a fraction of retries is computed.
const MIN_REQUESTS: f64 = 8.0;
/// Fraction of retries among all requests at which a storm has a strength of 1.
const FULL_STRENGTH_FRACTION: f64 = 0.6;
/// Minimum strength of a storm that has not ended.
const MIN_STRENGTH: f64 = 0.05;
/// Ratio of the current to the usual latency from which a group counts as slowed down.
const SLOWDOWN_RATIO: f64 = 1.6;
/// Time after a gateway's start during which clients may still retry because of answers that they received before it.
const RESTART_DURATION: Nanos = 3 * SECOND;

/// The inferred reason why clients retry. The variants are ordered by the strength of their evidence, weakest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StormCause {
    /// There is no evidence for any other cause.
    Unknown,
    /// This gateway has just started, and receives retries of requests that were sent before its start.
    Restart,
    /// All members of the group are slower than usual.
    Slowdown,
    /// Members have returned to service and are in slow start, with cold caches.
    SlowStart,
    /// The group has no primary, or the primary does not answer.
    PrimaryUnavailable,
}

impl StormCause {
    /// Returns the name of the cause in the log and on the console.
    pub fn name(self) -> &'static str {
        match self {
            StormCause::Unknown => "unknown",
            StormCause::Restart => "restart",
            StormCause::Slowdown => "slowdown",
            StormCause::SlowStart => "cold-return",
            StormCause::PrimaryUnavailable => "silent-primary",
        }
    }
}

/// The state of a group, from which the cause of a storm is inferred.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupStatus {
    /// Whether the group has no primary that answers.
    pub primary_unavailable: bool,
    /// Number of members in slow start.
    pub members_in_slow_start: u32,
    /// Ratio of the members' current latency to their usual latency.
    pub latency_ratio: f64,
    /// Time since this gateway started.
    pub uptime: Nanos,
}

/// A change in the state of a storm. [`StormDetector::evaluate`] returns each change once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StormChange {
    /// A storm has started.
    Started {
        /// The inferred cause.
        cause: StormCause,
        /// Strength of the storm, from 0 to 1.
        strength: f64,
    },
    /// Stronger evidence for another cause was found while the storm continues.
    CauseChanged {
        /// The new cause.
        cause: StormCause,
    },
    /// The storm has ended.
    Ended {
        /// Time from the start to the end of the storm.
        duration: Nanos,
        /// Highest strength during the storm.
        peak_strength: f64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Storm {
    started_at: Nanos,
    cause: StormCause,
    peak_strength: f64,
    /// Time since which the fraction of retries has been below [`END_FRACTION`]; `None` while it is not.
    calm_since: Option<Nanos>,
}

/// Whether a request is a client's first attempt or a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A first attempt.
    First,
    /// A retry, either marked by the client or recognised by the gateway.
    Retry,
}

/// Whether a request arrived before the retry time that an earlier rejection gave to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The request arrived at the retry time or later, or its client was given no retry time.
    OnTime,
    /// The request arrived before the retry time.
    Early,
}

/// Detects a retry storm in one group, or in all groups together.
#[derive(Clone, Debug, Default)]
pub struct StormDetector {
    first_attempts: DecayingCount,
    retries: DecayingCount,
    early_arrivals: DecayingCount,
    connects: DecayingCount,
    storm: Option<Storm>,
}

impl StormDetector {
    /// Counts a request that arrived.
    pub fn record_request(&mut self, now: Nanos, kind: RequestKind, arrival: Arrival) {
        match kind {
            RequestKind::First => self.first_attempts.add(now, 1.0),
            RequestKind::Retry => self.retries.add(now, 1.0),
        }
        if arrival == Arrival::Early {
            self.early_arrivals.add(now, 1.0);
        }
    }

    /// Counts a new client connection.
    pub fn record_connect(&mut self, now: Nanos) {
        self.connects.add(now, 1.0);
    }

    /// Returns the recent fraction of retries among all requests, or `None` if there were fewer than `MIN_REQUESTS`.
    pub fn retry_fraction(&self, now: Nanos) -> Option<f64> {
        let retries = self.retries.value_at(now);
        let requests = self.first_attempts.value_at(now) + retries;
        (requests >= MIN_REQUESTS).then(|| retries / requests)
    }

    /// Returns the ratio of recent client connections to recent requests.
    pub fn connects_per_request(&self, now: Nanos) -> f64 {
        let requests = self.first_attempts.value_at(now) + self.retries.value_at(now);
        self.connects.value_at(now) / requests.max(1.0)
    }

    /// Returns the ratio of recent early arrivals to recent retries.
    pub fn early_fraction(&self, now: Nanos) -> f64 {
        self.early_arrivals.value_at(now) / self.retries.value_at(now).max(1.0)
    }

    /// Returns the strength of the storm from 0 to 1; 0 if there is no storm.
    pub fn strength(&self, now: Nanos) -> f64 {
        match (&self.storm, self.retry_fraction(now)) {
            (Some(_), Some(fraction)) => {
                (fraction / FULL_STRENGTH_FRACTION).clamp(MIN_STRENGTH, 1.0)
            }
            (Some(_), None) => MIN_STRENGTH,
            (None, _) => 0.0,
        }
    }

    /// Returns whether a storm has started and not ended.
    pub fn is_storm(&self) -> bool {
        self.storm.is_some()
    }

    /// Returns the cause of the storm, or `None` if there is no storm.
    pub fn cause(&self) -> Option<StormCause> {
        self.storm.map(|storm| storm.cause)
    }

    /// Returns the time at which the storm started, or `None` if there is no storm.
    pub fn started_at(&self) -> Option<Nanos> {
        self.storm.map(|storm| storm.started_at)
    }

    /// Updates the state of the storm from the counts and the group's status. Returns the change, or `None` if the
    /// state is the same as before.
    pub fn evaluate(&mut self, now: Nanos, status: &GroupStatus) -> Option<StormChange> {
        let fraction = self.retry_fraction(now);
        let strength = fraction.map_or(0.0, |fraction| {
            (fraction / FULL_STRENGTH_FRACTION).clamp(0.0, 1.0)
        });
        let cause = infer_cause(status);
        let Some(storm) = &mut self.storm else {
            fraction.filter(|fraction| *fraction >= START_FRACTION)?;
            self.storm = Some(Storm {
                started_at: now,
                cause,
                peak_strength: strength,
                calm_since: None,
            });
            return Some(StormChange::Started { cause, strength });
        };
        storm.peak_strength = storm.peak_strength.max(strength);
        if storm.has_ended(now, fraction) {
            let change = StormChange::Ended {
                duration: now - storm.started_at,
                peak_strength: storm.peak_strength,
            };
            self.storm = None;
            return Some(change);
        }
        // The cause is only replaced on stronger evidence. Otherwise a storm that a missing primary caused would change
        // its cause when the primary returns, because members are then in slow start.
        if cause > storm.cause {
            storm.cause = cause;
            return Some(StormChange::CauseChanged { cause });
        }
        None
    }
}

impl Storm {
    /// Returns whether the fraction of retries has been below [`END_FRACTION`] for [`CALM_DURATION`]. `None` (too few
    /// requests) counts as a fraction of 0.
    fn has_ended(&mut self, now: Nanos, retry_fraction: Option<f64>) -> bool {
        if retry_fraction.unwrap_or(0.0) >= END_FRACTION {
            self.calm_since = None;
            return false;
        }
        let calm_since = *self.calm_since.get_or_insert(now);
        now - calm_since >= CALM_DURATION
    }
}

fn infer_cause(status: &GroupStatus) -> StormCause {
    if status.primary_unavailable {
        StormCause::PrimaryUnavailable
    } else if status.members_in_slow_start > 0 {
        StormCause::SlowStart
    } else if status.latency_ratio >= SLOWDOWN_RATIO {
        StormCause::Slowdown
    } else if status.uptime < RESTART_DURATION {
        StormCause::Restart
    } else {
        StormCause::Unknown
    }
}

#[cfg(test)]
#[path = "../tests/unit/detector.rs"]
mod tests;
