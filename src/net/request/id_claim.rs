//! The check before a request is routed: whether its id is claimed among the processes of the gateway.

use crate::net::claims::{ClaimError, ClaimPurpose};
use crate::net::request::answer::PendingAnswer;
use crate::net::request::context::{ClientRequest, RequestContext};
use crate::net::request::shutdown_notice::{
    decision_timeout, subscribe_to_shutdown, ANSWER_MARGIN,
};
use irisrouter::routing::{Idempotency, RequestClass};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Interval between two attempts to claim an id. An attempt costs a few system calls.
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// How long a request that may run twice waits while another process holds the lock. One that is not stopped holds it
/// for much less.
const MAX_LOCK_WAIT: Duration = Duration::from_millis(100);

/// Why a request whose id is not claimed is not routed.
pub(super) enum UnclaimedRequest {
    /// Another process has an open request with this id.
    Duplicate,
    /// It is still unknown whether another process has one, and no time is left.
    Expired,
    /// The client has left.
    ClientGone,
}

impl RequestContext {
    /// Waits until the id of the request is claimed. A request that must not run twice is never routed without its
    /// claim; any other is routed if the other processes do not answer.
    pub(super) async fn claim_id(
        &self,
        request: &ClientRequest,
        answer: &mut PendingAnswer,
        deadline: Instant,
    ) -> Result<(), UnclaimedRequest> {
        let now = Instant::now();
        if request.id.claim(ClaimPurpose::InTurn, now).is_ok() {
            return Ok(());
        }
        let mut shutdown = subscribe_to_shutdown(self);
        let expired =
            decision_timeout(&mut shutdown, deadline - ANSWER_MARGIN.min(request.timeout));
        tokio::select! {
            biased;
            result = retry_claim(request, now + MAX_LOCK_WAIT) => result,
            () = answer.client_gone() => Err(UnclaimedRequest::ClientGone),
            () = expired => Err(UnclaimedRequest::Expired),
        }
    }
}

/// Tries to claim the id of the request until that succeeds, or until the request may do without.
async fn retry_claim(
    request: &ClientRequest,
    lock_deadline: Instant,
) -> Result<(), UnclaimedRequest> {
    let may_run_twice = may_run_twice(&request.class.class);
    loop {
        let now = Instant::now();
        match request.id.claim(ClaimPurpose::InTurn, now) {
            Ok(()) => return Ok(()),
            Err(ClaimError::Taken) => return Err(UnclaimedRequest::Duplicate),
            Err(ClaimError::LockHeld) if now < lock_deadline => {}
            Err(_) if may_run_twice => return Ok(()),
            Err(_) => {}
        }
        sleep(CLAIM_RETRY_INTERVAL).await;
    }
}

/// Returns whether requests of the class may run twice, so that they may be sent without a claim.
pub(super) fn may_run_twice(class: &RequestClass) -> bool {
    class.idempotency == Idempotency::Idempotent
}
