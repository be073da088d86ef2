//! Outlier detection: members that cannot be reached are suspected, members that answer with errors
//! are ejected for a time.
//!
//! This module only tracks members. Selection asks it whether a member is suspected or ejected.

use super::event::Outcome;
use super::latency::SAMPLE_WEIGHT;
use super::time::{TimeDelta, Timestamp};

/// A member is suspected after a silence of this many usual latencies.
const SILENCE_TOLERANCE: f64 = 4.0;
/// Maximum number of times that the suspicion time doubles; it does so with each further failure.
const MAX_SUSPICION_DOUBLINGS: u32 = 3;
/// A member is ejected if it answers with an error and the EWMA of its error rate is then above
/// this. Three errors in a row are enough.
const EJECTION_ERROR_RATE: f64 = 0.45;
/// Maximum number of times that the ejection time doubles.
const MAX_EJECTION_DOUBLINGS: u32 = 4;

/// Whether a member can be reached, judged by its answers and by missing answers.
#[derive(Clone, Debug, Default)]
pub(super) struct Reachability {
    /// When the member last answered a request, with success or not.
    pub(super) last_answered_at: Timestamp,
    /// Time since which a request has been in flight without any answer from the member.
    pub(super) silent_since: Option<Timestamp>,
    /// Duration of a silence after which the member is suspected.
    pub(super) silence_tolerance: TimeDelta,
    /// Number of failures to reach the member since it last answered.
    pub(super) consecutive_failures: u32,
    /// Time until which the member is suspected after failures to reach it.
    pub(super) suspected_until: Timestamp,
    /// When the member last recovered: the time of its first answer after failures to reach it, or
    /// of the first answer ever. A restart of its process counts as an answer.
    pub(super) recovered_at: Timestamp,
}

impl Reachability {
    /// Records that a request is sent to the member, which is expected to answer from now on.
    pub(super) fn request_sent(
        &mut self,
        now: Timestamp,
        usual_latency: f64,
        connect_timeout: TimeDelta,
    ) {
        if self.silent_since.is_none() {
            self.silent_since = Some(now);
            self.silence_tolerance = connect_timeout;
        }
        let tolerance = TimeDelta::from_nanos_f64(usual_latency * SILENCE_TOLERANCE);
        self.silence_tolerance = self.silence_tolerance.max(tolerance);
    }

    /// Records that an attempt at the member has ended. `in_flight` is the number of attempts that
    /// are still in flight there.
    pub(super) fn attempt_ended(&mut self, outcome: Outcome, in_flight: u32, now: Timestamp) {
        let answered = matches!(
            outcome,
            Outcome::Ok | Outcome::Error | Outcome::Full | Outcome::Unsuitable
        );
        if answered {
            self.last_answered_at = now;
            self.silent_since = (in_flight > 0).then_some(now);
        } else if in_flight == 0 {
            self.silent_since = None;
        }
    }

    /// Records a failure to reach the member. It is suspected for a time that doubles with each
    /// further failure.
    pub(super) fn record_failure(&mut self, now: Timestamp, connect_timeout: TimeDelta) {
        self.consecutive_failures += 1;
        let doublings = self.consecutive_failures.min(MAX_SUSPICION_DOUBLINGS);
        self.suspected_until = now + connect_timeout * (1 << doublings);
    }

    /// Records that the member has answered, and clears its failures.
    pub(super) fn record_answer(&mut self, now: Timestamp) {
        if self.consecutive_failures > 0 || self.recovered_at == Timestamp::ZERO {
            self.recovered_at = now;
        }
        self.consecutive_failures = 0;
        self.suspected_until = Timestamp::ZERO;
    }

    /// Returns whether the member is suspected, or may become so through the passing of time alone.
    pub(super) fn may_be_suspected(&self, now: Timestamp) -> bool {
        self.suspected_until > now || self.silent_since.is_some()
    }

    /// Returns whether the member is suspected: it could not be reached lately, or it has been
    /// silent for longer than its `silence_tolerance`.
    pub(super) fn is_suspected(&self, now: Timestamp) -> bool {
        let silent = |since: Timestamp| now - since > self.silence_tolerance;
        self.suspected_until > now || self.silent_since.is_some_and(silent)
    }

    /// Returns the weight, from 1 down to 0, that earlier observations of the member still have
    /// when they decay with the time constant `lifetime`.
    pub(super) fn observation_weight(&self, now: Timestamp, lifetime: TimeDelta) -> f64 {
        let age = (now - self.last_answered_at).as_nanos_f64();
        (-age / lifetime.as_nanos_f64()).exp()
    }
}

/// Ejection of a member that answers, but mostly with errors.
#[derive(Clone, Debug, Default)]
pub(super) struct ErrorEjection {
    /// EWMA of the share of errors among the member's answers, 0 to 1.
    pub(super) error_rate: f64,
    /// Number of recent ejections. The ejection time doubles with each.
    pub(super) ejections: u32,
    /// Time until which the member is ejected.
    pub(super) ejected_until: Timestamp,
}

impl ErrorEjection {
    /// Records the outcome of an attempt. Outcomes other than success and error are ignored.
    pub(super) fn attempt_ended(
        &mut self,
        outcome: Outcome,
        now: Timestamp,
        connect_timeout: TimeDelta,
    ) {
        if !matches!(outcome, Outcome::Ok | Outcome::Error) {
            return;
        }
        let error = outcome == Outcome::Error;
        self.error_rate += SAMPLE_WEIGHT * (f64::from(error) - self.error_rate);
        if error && self.error_rate > EJECTION_ERROR_RATE {
            self.ejections = (self.ejections + 1).min(MAX_EJECTION_DOUBLINGS);
            self.ejected_until = now + connect_timeout * (1 << self.ejections);
        }
        if !error && self.ejections > 0 && self.error_rate < EJECTION_ERROR_RATE / 2.0 {
            self.ejections -= 1;
        }
    }

    /// Returns whether the member is ejected at this time.
    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until > now
    }
}
