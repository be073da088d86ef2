//! Before a keyed write is routed: whether another gateway may have sent it already, and until when it may be sent again.

use crate::net::cluster::write_intents::{EarlierAttempt, MayHaveRun, WriteIntent};
use crate::net::request::context::{ClientRequest, RequestContext};
use crate::net::request::lifecycle::ANSWER_MARGIN;
use tokio::time::{timeout_at, Instant};

/// A request that may be routed.
pub(super) struct CheckedRequest {
    /// The write intent that is recorded before an attempt is sent; `None` for what is no keyed write, and where write
    /// intents are off.
    pub(super) write_intent: Option<WriteIntent>,
    /// When its answer is due.
    pub(super) deadline: Instant,
}

impl RequestContext {
    /// Looks up the earlier attempts of a keyed write, where write intents are on. The deadline becomes earlier where
    /// another gateway may have sent it.
    ///
    /// # Errors
    ///
    /// [`MayHaveRun`]: another gateway may have sent it, and it can't be sent again.
    pub(super) async fn check_earlier_attempts(
        &self,
        request: &ClientRequest,
        deadline: Instant,
    ) -> Result<CheckedRequest, MayHaveRun> {
        let enabled = self.write_intents.as_ref().zip(request.idempotency_key);
        let Some((write_intents, key)) = enabled else {
            return Ok(CheckedRequest {
                write_intent: None,
                deadline,
            });
        };
        let mut write_intent = WriteIntent::new(write_intents, key);
        if !write_intents.may_be_retry(request.retry) {
            return Ok(CheckedRequest {
                write_intent: Some(write_intent),
                deadline,
            });
        }
        // The lookup ends before the client's own deadline. What is not proven by then may have run.
        let lookup_deadline = deadline - ANSWER_MARGIN.min(request.timeout);
        let lookup = timeout_at(lookup_deadline, write_intents.look_up(key)).await;
        let resend_deadline = match lookup.unwrap_or(EarlierAttempt::Unproven) {
            EarlierAttempt::NeverSent => Some(deadline),
            EarlierAttempt::MayHaveRun(sent_at) => write_intent.resend_deadline(
                sent_at,
                &request.class.class,
                self.upstream.connect_timeout(),
            ),
            // Where clients do not mark their retries, any write may be one, and a fleet that has just started could
            // prove nothing: it would reject every write.
            EarlierAttempt::Unproven if !request.retry => Some(deadline),
            EarlierAttempt::Unproven => None,
        };
        Ok(CheckedRequest {
            write_intent: Some(write_intent),
            deadline: resend_deadline.ok_or(MayHaveRun)?.min(deadline),
        })
    }
}
