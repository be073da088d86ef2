//! The check before a keyed write is routed: whether another gateway may have sent the write already, and if so, until
//! when it may be sent again.

use crate::net::cluster::write_intents::{EarlierAttempt, WriteIntentService};
use crate::net::request::context::{ClientRequest, RequestContext};
use crate::net::request::shutdown_notice::ANSWER_MARGIN;
use crate::net::request::write_intent::{ResendError, WriteIntent};
use irisrouter_write_intents::KeyHash;
use tokio::time::{timeout_at, Instant};

/// A request that has passed the check and may be routed.
pub(super) struct CheckedRequest {
    /// Write intent that is recorded before an attempt is sent; `None` if the request is not a keyed write or write
    /// intents are disabled.
    pub(super) write_intent: Option<WriteIntent>,
    /// Time at which the answer is due.
    pub(super) deadline: Instant,
}

impl RequestContext {
    /// Looks up earlier attempts of a keyed write if write intents are enabled. If another gateway may have sent the
    /// write, the deadline is no later than the time until which the write may be sent again.
    ///
    /// # Errors
    ///
    /// Another gateway may have sent the write, and it can't be sent again.
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
            // This happens only where clients do not mark their retries, so that every write may be a retry. A fleet
            // that has just started can prove nothing about earlier attempts, and would fail every write.
            EarlierAttempt::Unproven if !request.retry => deadline,
            EarlierAttempt::Unproven => return Err(ResendError::Unproven),
        };
        Ok(CheckedRequest {
            write_intent: Some(write_intent),
            deadline: resend_deadline.min(deadline),
        })
    }
}

/// Asks other gateways for earlier attempts of a write. The look-up ends [`ANSWER_MARGIN`] before the client's
/// deadline; without a result by then, it is unproven whether the write has run.
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
