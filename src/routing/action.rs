//! Actions: what the router asks its caller to do.

use super::identifiers::{MemberId, RequestId};
use super::time::TimeDelta;

/// What the router asks its caller to do. The actions of a batch must be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// The member to which the request is sent.
        member: MemberId,
        /// Timeout of the attempt.
        timeout: TimeDelta,
    },
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Final answer: rejected; a retry is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// Time that the client should wait before it retries; zero if no time is suggested.
        retry_after: TimeDelta,
    },
    /// Final answer: failed; it is unknown whether the request ran.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Check a member's health.
    HealthCheck {
        /// The member.
        member: MemberId,
    },
    /// Deliver [`Event::TimerFired`](super::Event::TimerFired) later. Only the earliest timer needs
    /// to be kept.
    SetTimer {
        /// Time from now until the timer fires.
        after: TimeDelta,
    },
    /// Subscribe to changes of the endpoint list.
    WatchEndpoints,
}
