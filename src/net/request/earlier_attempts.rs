//! Before a keyed write is routed: whether another gateway may have sent it already, and until when it may be sent again.

use crate::net::cluster::write_intents::{EarlierAttempt, WriteIntentService};
use crate::net::request::context::{ClientRequest, RequestContext};
use crate::net::request::lifecycle::ANSWER_MARGIN;
use crate::net::request::write_intent::{ResendError, WriteIntent};
use irisrouter_write_intents::KeyHash;
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
    /// Another gateway may have sent it, and it can't be sent again.
    pub(super) async fn check_earlier_attempts(
        &self,
        request: &ClientRequest,
        deadline: Instant,
    ) -> Result<CheckedRequest, ResendError> {
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
        let resend_deadline = match look_up(write_intents, key, request, deadline).await {
            EarlierAttempt::NeverSent => deadline,
            EarlierAttempt::MayHaveRun(first_sent_at) => write_intent.resend_deadline(
                first_sent_at,
                &request.class.class,
                self.upstream.connect_timeout(),
            )?,
            // Where clients do not mark their retries, any write may be one, and a fleet that has just started could
            // prove nothing: it would reject every write.
            EarlierAttempt::Unproven if !request.retry => deadline,
            EarlierAttempt::Unproven => return Err(ResendError::Unproven),
        };
        Ok(CheckedRequest {
            write_intent: Some(write_intent),
            deadline: resend_deadline.min(deadline),
        })
    }
}

/// What other gateways know of earlier attempts of a write. The look-up ends before the client's own deadline; what is not
/// proven by then may have run.
async fn look_up(
    write_intents: &WriteIntentService,
    key: KeyHash,
    request: &ClientRequest,
    deadline: Instant,
) -> EarlierAttempt {
    let look_up_deadline = deadline - ANSWER_MARGIN.min(request.timeout);
    timeout_at(look_up_deadline, write_intents.look_up(key))
        .await
        .unwrap_or(EarlierAttempt::Unproven)
}
