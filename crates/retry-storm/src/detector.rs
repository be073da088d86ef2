//! Detection of a retry storm, for one set or for all sets, from the requests that arrive and what becomes of them.
//!
//! The counts decay continuously. A storm starts above one threshold and ends below a lower one that has to hold for some
//! time, so that a rate between the two changes nothing.

use crate::decaying_count::DecayingCount;
use crate::{Nanos, SECOND};

/// A storm starts when retries are at least this part of all requests.
const START_FRACTION: f64 = 0.2;
/// A storm ends when retries are less than this part of all requests for [`CALM_DURATION`].
const END_FRACTION: f64 = 0.07;
/// How long retries have to stay below [`END_FRACTION`] before a storm ends.
const CALM_DURATION: Nanos = 2 * SECOND;
/// Fewer requests than this, as a decayed count, are too few to judge.
const MIN_REQUESTS: f64 = 8.0;
/// Retries, as a part of all requests, at which a storm has its full strength.
const FULL_STRENGTH_FRACTION: f64 = 0.6;
/// The least strength of a storm that has not ended.
const MIN_STRENGTH: f64 = 0.05;
/// A set whose latency is this many times its usual latency counts as slowed down.
const SLOWDOWN_RATIO: f64 = 1.6;
/// For this long after a gateway's start, retries may follow answers that clients got before the start.
const RESTART_DURATION: Nanos = 3 * SECOND;

/// Why clients retry, as far as it can be known. A later cause is stronger evidence than an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StormCause {
    /// There is no evidence.
    Unknown,
    /// This gateway has just started, and receives retries of requests that it never saw.
    Restart,
    /// All members of the set are slower than usual.
    Slowdown,
    /// Members have returned with cold caches.
    ColdReturn,
    /// There is no primary, or it does not answer.
    SilentPrimary,
}

impl StormCause {
    /// The cause's name in the log and on the console.
    pub fn name(self) -> &'static str {
        match self {
            StormCause::Unknown => "unknown",
            StormCause::Restart => "restart",
            StormCause::Slowdown => "slowdown",
            StormCause::ColdReturn => "cold-return",
            StormCause::SilentPrimary => "silent-primary",
        }
    }
}

/// The state of a set, from which the cause of a storm is inferred.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SetStatus {
    /// The set has no primary that answers.
    pub primary_is_silent: bool,
    /// The number of members that have started and are not warm yet.
    pub cold_members: u32,
    /// The members' latency in relation to their usual latency.
    pub latency_ratio: f64,
    /// Time since this gateway's start.
    pub uptime: Nanos,
}

/// A change of a storm. Each change is returned once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StormChange {
    /// A storm has started.
    Started {
        /// Its cause.
        cause: StormCause,
        /// Its strength from 0 to 1.
        strength: f64,
    },
    /// The storm continues for another cause.
    CauseChanged {
        /// The new cause.
        cause: StormCause,
    },
    /// The storm has ended.
    Ended {
        /// How long it lasted.
        duration: Nanos,
        /// Its highest strength.
        peak_strength: f64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Storm {
    started_at: Nanos,
    cause: StormCause,
    peak_strength: f64,
    /// Since when retries have been below [`END_FRACTION`].
    calm_since: Option<Nanos>,
}

/// Whether a request is a client's first attempt or a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A first attempt.
    First,
    /// A retry, which the client has marked or the gateway has recognised.
    Retry,
}

/// Whether a request came at the time that its client was given with a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// At that time or later, or the client was given none.
    OnTime,
    /// Before that time.
    Early,
}

/// Detects a storm of one set, or of all sets.
#[derive(Clone, Debug, Default)]
pub struct StormDetector {
    first_attempts: DecayingCount,
    retries: DecayingCount,
    early_arrivals: DecayingCount,
    connects: DecayingCount,
    storm: Option<Storm>,
}

impl StormDetector {
    /// Counts a request.
    pub fn record_request(&mut self, now: Nanos, kind: RequestKind, arrival: Arrival) {
        match kind {
            RequestKind::First => self.first_attempts.add(now, 1.0),
            RequestKind::Retry => self.retries.add(now, 1.0),
        }
        if arrival == Arrival::Early {
            self.early_arrivals.add(now, 1.0);
        }
    }

    /// Counts a client's connect.
    pub fn record_connect(&mut self, now: Nanos) {
        self.connects.add(now, 1.0);
    }

    /// Recent retries as a part of all requests, or `None` if there were too few requests to judge.
    pub fn retry_fraction(&self, now: Nanos) -> Option<f64> {
        let retries = self.retries.value_at(now);
        let requests = self.first_attempts.value_at(now) + retries;
        (requests >= MIN_REQUESTS).then(|| retries / requests)
    }

    /// Recent connects for each request.
    pub fn connects_per_request(&self, now: Nanos) -> f64 {
        let requests = self.first_attempts.value_at(now) + self.retries.value_at(now);
        self.connects.value_at(now) / requests.max(1.0)
    }

    /// Recent early arrivals as a part of the retries.
    pub fn early_fraction(&self, now: Nanos) -> f64 {
        self.early_arrivals.value_at(now) / self.retries.value_at(now).max(1.0)
    }

    /// The storm's strength from 0 for no storm to 1.
    pub fn strength(&self, now: Nanos) -> f64 {
        match (&self.storm, self.retry_fraction(now)) {
            (Some(_), Some(fraction)) => {
                (fraction / FULL_STRENGTH_FRACTION).clamp(MIN_STRENGTH, 1.0)
            }
            (Some(_), None) => MIN_STRENGTH,
            (None, _) => 0.0,
        }
    }

    /// Whether there is a storm.
    pub fn is_storm(&self) -> bool {
        self.storm.is_some()
    }

    /// The cause of the storm, if there is one.
    pub fn cause(&self) -> Option<StormCause> {
        self.storm.map(|storm| storm.cause)
    }

    /// The time at which the storm started, if there is one.
    pub fn started_at(&self) -> Option<Nanos> {
        self.storm.map(|storm| storm.started_at)
    }

    /// Evaluates the counts and returns what has changed.
    pub fn evaluate(&mut self, now: Nanos, status: &SetStatus) -> Option<StormChange> {
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
        // A cause is kept until there is stronger evidence: a primary that is back has left cold members behind.
        if cause > storm.cause {
            storm.cause = cause;
            return Some(StormChange::CauseChanged { cause });
        }
        None
    }
}

impl Storm {
    /// Whether retries have been below [`END_FRACTION`] for [`CALM_DURATION`]. Too few requests to judge count as no
    /// retries.
    fn has_ended(&mut self, now: Nanos, retry_fraction: Option<f64>) -> bool {
        if retry_fraction.unwrap_or(0.0) >= END_FRACTION {
            self.calm_since = None;
            return false;
        }
        let calm_since = *self.calm_since.get_or_insert(now);
        now - calm_since >= CALM_DURATION
    }
}

fn infer_cause(status: &SetStatus) -> StormCause {
    if status.primary_is_silent {
        StormCause::SilentPrimary
    } else if status.cold_members > 0 {
        StormCause::ColdReturn
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
