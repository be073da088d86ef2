//! Outlier detection: members that cannot be reached are suspected, members that answer with errors
//! are ejected for a time.
//!
//! Nothing here decides where a request goes. Selection asks whether a member is suspected or
//! ejected.

use super::event::Outcome;
use super::latency::SAMPLE_WEIGHT;
use super::time::{TimeDelta, Timestamp};

/// Silence of this many usual latencies makes a member suspected.
const SILENCE_TOLERANCE: f64 = 4.0;
/// The suspicion time doubles with each further failure up to this many times.
const MAX_SUSPICION_DOUBLINGS: u32 = 3;
/// A member is ejected once this smoothed share of its answers are errors: three errors in a row.
const EJECTION_ERROR_RATE: f64 = 0.45;
/// The ejection time doubles at most this many times.
const MAX_EJECTION_DOUBLINGS: u32 = 4;

/// Whether a member can be reached, by what it answers and fails to answer.
#[derive(Clone, Debug, Default)]
pub(super) struct Reachability {
    /// When it last answered a request, with success or not.
    pub(super) last_heard_at: Timestamp,
    /// A request has been in flight since then without any answer from the member.
    pub(super) silent_since: Option<Timestamp>,
    /// How long such silence is usual.
    pub(super) silence_tolerance: TimeDelta,
    /// Failures to reach it since it last answered.
    pub(super) consecutive_failures: u32,
    /// It is suspected until then.
    pub(super) suspected_until: Timestamp,
    /// Since when it has answered again after it had failed to.
    pub(super) recovered_at: Timestamp,
}

impl Reachability {
    /// A request is sent to the member: from now on an answer is expected.
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

    /// An attempt has ended, and this many requests are still in flight.
    pub(super) fn attempt_ended(&mut self, outcome: Outcome, in_flight: u32, now: Timestamp) {
        let answered = matches!(
            outcome,
            Outcome::Ok | Outcome::Error | Outcome::Full | Outcome::Unsuitable
        );
        if answered {
            self.last_heard_at = now;
            self.silent_since = (in_flight > 0).then_some(now);
        } else if in_flight == 0 {
            self.silent_since = None;
        }
    }

    /// The member could not be reached: it is suspected for a time that doubles with each further
    /// failure.
    pub(super) fn failed(&mut self, now: Timestamp, connect_timeout: TimeDelta) {
        self.consecutive_failures += 1;
        let doublings = self.consecutive_failures.min(MAX_SUSPICION_DOUBLINGS);
        self.suspected_until = now + connect_timeout * (1 << doublings);
    }

    /// The member has answered: its earlier failures count no more.
    pub(super) fn recovered(&mut self, now: Timestamp) {
        if self.consecutive_failures > 0 || self.recovered_at == Timestamp::ZERO {
            self.recovered_at = now;
        }
        self.consecutive_failures = 0;
        self.suspected_until = Timestamp::ZERO;
    }

    /// The member is suspected, or may be later without anything more being learnt of it.
    pub(super) fn may_be_suspected(&self, now: Timestamp) -> bool {
        self.suspected_until > now || self.silent_since.is_some()
    }

    /// Connections to the member fail, or it has been silent for longer than is usual.
    pub(super) fn is_suspected(&self, now: Timestamp) -> bool {
        let silent = |since: Timestamp| now - since > self.silence_tolerance;
        self.suspected_until > now || self.silent_since.is_some_and(silent)
    }

    /// What earlier observations still count, from 1 down to 0, when they fade within about
    /// `lifetime`.
    pub(super) fn observation_weight(&self, now: Timestamp, lifetime: TimeDelta) -> f64 {
        let age = (now - self.last_heard_at).as_nanos_f64();
        (-age / lifetime.as_nanos_f64()).exp()
    }
}

/// Ejection of a member that answers, but mostly with errors.
#[derive(Clone, Debug, Default)]
pub(super) struct ErrorEjection {
    /// EWMA of the share of errors among its answers, 0 to 1.
    pub(super) error_rate: f64,
    /// Ejections lately; the ejection time doubles with each.
    pub(super) ejections: u32,
    /// It is ejected until then.
    pub(super) ejected_until: Timestamp,
}

impl ErrorEjection {
    /// An attempt has ended. Outcomes other than success and error say nothing here.
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

    /// The member is left alone for now.
    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until > now
    }
}
