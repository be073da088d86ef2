//! Concurrency limits by additive increase and multiplicative decrease (AIMD).
//!
//! Prompt answers raise a limit, late ones and rejections lower it. Whether a request fits under a
//! limit is decided by admission.

use super::time::{TimeDelta, Timestamp};

/// Requests that a member may have in flight from all gateways together before answers say more.
pub(super) const INITIAL_LIMIT: f64 = 6.0;
/// Share of a limit that a late answer takes away.
const DECREASE: f64 = 0.15;
/// An answer within the latency objective divided by this is prompt, and raises the limit.
const PROMPT_DIVISOR: i64 = 2;
/// What a prompt answer adds to a limit of one, for a single gateway; larger limits get less.
const INCREASE: f64 = 0.2;
/// Gateways share the increase: each adds less by this power of their number.
const INCREASE_SHARING_EXPONENT: f64 = 1.25;
/// What a prompt answer adds to a shared limit of one.
const SHARED_INCREASE: f64 = 0.8;
/// Lowest limit of a member. Below one, requests are spaced out.
const MIN_LIMIT: f64 = 0.1;
/// Lowest shared limit: one request at a time.
const MIN_SHARED_LIMIT: f64 = 1.0;
/// Highest limit: it bounds the memory of better days.
const MAX_LIMIT: f64 = 64.0;

/// What an answer's latency says of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Promptness {
    /// Well within the latency objective.
    Prompt,
    /// Neither prompt nor late.
    InTime,
    /// Beyond the latency objective.
    Late,
}

impl Promptness {
    /// Of an answer after this time.
    pub(super) fn of(elapsed: TimeDelta, latency_objective: TimeDelta) -> Self {
        if elapsed > latency_objective {
            Promptness::Late
        } else if elapsed * PROMPT_DIVISOR < latency_objective {
            Promptness::Prompt
        } else {
            Promptness::InTime
        }
    }

    /// An attempt that timed out after this time says that the member is slow, and not only that
    /// little time was left.
    pub(super) fn timeout_counts_as_late(elapsed: TimeDelta, latency_objective: TimeDelta) -> bool {
        elapsed * PROMPT_DIVISOR > latency_objective
    }
}

/// This gateway's limit on its requests in flight at a member.
#[derive(Clone, Debug, Default)]
pub(super) struct ConcurrencyLimit {
    /// The limit; below one, requests are spaced out.
    pub(super) limit: f64,
    /// When the limit was last lowered.
    pub(super) decreased_at: Timestamp,
    /// While the limit is below one: no request before then.
    pub(super) next_send_at: Timestamp,
}

impl ConcurrencyLimit {
    /// This gateway's part of the first limit of a member.
    pub(super) fn initial(gateway_count: u32) -> f64 {
        INITIAL_LIMIT / f64::from(gateway_count.max(1))
    }

    /// A request that usually takes this long is sent: after it, a pause in proportion to its work.
    pub(super) fn request_sent(&mut self, now: Timestamp, usual_latency: f64) {
        self.next_send_at = now + TimeDelta::from_nanos_f64(usual_latency / self.limit.min(1.0));
    }

    /// A prompt answer.
    pub(super) fn increase(&mut self, gateway_count: u32) {
        let gateways = f64::from(gateway_count.max(1));
        let step = INCREASE / self.limit / gateways.powf(INCREASE_SHARING_EXPONENT);
        self.limit = (self.limit + step.min(self.limit)).min(MAX_LIMIT);
    }

    /// A late answer or a rejection. The limit is lowered once in a usual latency. Returns whether
    /// it was.
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
/// gateway has too few answers of each member, so this limit is learnt from the answers of all
/// members.
#[derive(Clone, Debug)]
pub(super) struct SharedConcurrencyLimit {
    /// The limit.
    pub(super) limit: f64,
}

impl SharedConcurrencyLimit {
    /// The first limit.
    pub(super) fn new() -> Self {
        SharedConcurrencyLimit {
            limit: INITIAL_LIMIT,
        }
    }

    /// A prompt answer.
    pub(super) fn increase(&mut self) {
        self.limit = (self.limit + SHARED_INCREASE / self.limit).min(MAX_LIMIT);
    }

    /// A late answer or a rejection by a member of this size, at which other gateways had this many
    /// requests in flight. One that had few says nothing of how many it can take.
    pub(super) fn decrease(&mut self, in_flight_of_others: f64, size: f64) {
        if 2.0 * in_flight_of_others >= self.limit * size {
            self.limit = (self.limit * (1.0 - DECREASE)).max(MIN_SHARED_LIMIT);
        }
    }
}
