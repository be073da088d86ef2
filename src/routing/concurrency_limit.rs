//! Concurrency limits by additive increase and multiplicative decrease (AIMD).
//!
//! Prompt answers raise a limit, late answers and rejections lower it. Admission decides whether a
//! request is within a limit.

use super::time::{TimeDelta, Timestamp};

/// Initial limit on the requests of all gateways in flight at a member.
pub(super) const INITIAL_LIMIT: f64 = 6.0;
/// Share by which a late answer lowers a limit.
const DECREASE: f64 = 0.15;
/// An answer is prompt, and raises the limit, if it takes less than the latency objective divided
/// by this.
const PROMPT_DIVISOR: i64 = 2;
/// Amount that a prompt answer adds to a limit of one if there is a single gateway. The amount is
/// in inverse proportion to the limit.
const INCREASE: f64 = 0.2;
/// The increase is divided by the number of gateways to this power, because all gateways raise
/// their limits on the same member.
const INCREASE_SHARING_EXPONENT: f64 = 1.25;
/// Amount that a prompt answer adds to a shared limit of one. It is in inverse proportion to the
/// limit.
const SHARED_INCREASE: f64 = 0.8;
/// Minimum limit of a member. Below one, requests are sent one at a time with pauses.
const MIN_LIMIT: f64 = 0.1;
/// Minimum shared limit: one request at a time.
const MIN_SHARED_LIMIT: f64 = 1.0;
/// Maximum limit, so that a limit raised in a period of low load does not take too long to come
/// down.
const MAX_LIMIT: f64 = 64.0;

/// Latency of an answer in relation to the latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Promptness {
    /// The answer took less than the objective divided by `PROMPT_DIVISOR`.
    Prompt,
    /// The answer was neither prompt nor late.
    InTime,
    /// The answer took longer than the objective.
    Late,
}

impl Promptness {
    /// Classifies an answer by the time since its attempt was sent.
    pub(super) fn from_latency(elapsed: TimeDelta, latency_objective: TimeDelta) -> Self {
        if elapsed > latency_objective {
            Promptness::Late
        } else if elapsed * PROMPT_DIVISOR < latency_objective {
            Promptness::Prompt
        } else {
            Promptness::InTime
        }
    }

    /// Returns whether an attempt that timed out after this time shows that the member is slow. A
    /// shorter one may have timed out only because little time was left.
    pub(super) fn timeout_counts_as_late(elapsed: TimeDelta, latency_objective: TimeDelta) -> bool {
        elapsed * PROMPT_DIVISOR > latency_objective
    }
}

/// This gateway's limit on its requests in flight at a member.
#[derive(Clone, Debug, Default)]
pub(super) struct ConcurrencyLimit {
    /// The limit. Below one, requests are sent one at a time with pauses.
    pub(super) limit: f64,
    /// When the limit was last lowered.
    pub(super) decreased_at: Timestamp,
    /// Earliest time of the next request while the limit is below one.
    pub(super) next_send_at: Timestamp,
}

impl ConcurrencyLimit {
    /// Returns this gateway's part of a member's initial limit.
    pub(super) fn initial(gateway_count: u32) -> f64 {
        INITIAL_LIMIT / f64::from(gateway_count.max(1))
    }

    /// Records that a request with this usual latency is sent. A pause in proportion to the latency
    /// follows it if the limit is below one.
    pub(super) fn request_sent(&mut self, now: Timestamp, usual_latency: f64) {
        self.next_send_at = now + TimeDelta::from_nanos_f64(usual_latency / self.limit.min(1.0));
    }

    /// Raises the limit after a prompt answer.
    pub(super) fn increase(&mut self, gateway_count: u32) {
        let gateways = f64::from(gateway_count.max(1));
        let step = INCREASE / self.limit / gateways.powf(INCREASE_SHARING_EXPONENT);
        self.limit = (self.limit + step.min(self.limit)).min(MAX_LIMIT);
    }

    /// Lowers the limit after a late answer or a rejection, at most once per usual latency. Returns
    /// whether the limit was lowered.
    pub(super) fn decrease(&mut self, now: Timestamp, usual_latency: f64) -> bool {
        if (now - self.decreased_at).as_nanos_f64() <= usual_latency {
            return false;
        }
        self.decreased_at = now;
        self.limit = (self.limit * (1.0 - DECREASE)).max(MIN_LIMIT);
        true
    }
}

/// Limit on the requests of all gateways in flight at a member of size 1. In a large fleet one
/// gateway gets too few answers from each member, so this limit is adjusted by the answers of all
/// members.
#[derive(Clone, Debug)]
pub(super) struct SharedConcurrencyLimit {
    /// The limit.
    pub(super) limit: f64,
}

impl SharedConcurrencyLimit {
    /// Creates the initial limit.
    pub(super) fn new() -> Self {
        SharedConcurrencyLimit {
            limit: INITIAL_LIMIT,
        }
    }

    /// Raises the limit after a prompt answer.
    pub(super) fn increase(&mut self) {
        self.limit = (self.limit + SHARED_INCREASE / self.limit).min(MAX_LIMIT);
    }

    /// Lowers the limit after a late answer or a rejection by a member of this size, at which other
    /// gateways had this many requests in flight. If they had less than half of the limit in
    /// flight, the limit is unchanged, because the answer is no evidence of how many requests the
    /// member can take.
    pub(super) fn decrease(&mut self, in_flight_of_others: f64, size: f64) {
        if 2.0 * in_flight_of_others >= self.limit * size {
            self.limit = (self.limit * (1.0 - DECREASE)).max(MIN_SHARED_LIMIT);
        }
    }
}
