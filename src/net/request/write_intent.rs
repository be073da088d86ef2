//! The write intent of a keyed write, which is recorded at other gateways before the write is sent.

use crate::net::cluster::write_intents::WriteIntentService;
use crate::net::{duration, unix_milliseconds};
use irisrouter::routing::{Idempotency, Outcome, RequestClass};
use irisrouter_cluster_types::UnixMilliseconds;
use irisrouter_write_intents::{KeyHash, SequenceNumber};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// A write is sent again only if more than this time is left of its resend window, because deciding on it takes a
/// moment.
const MIN_TIME_TO_RESEND: Duration = Duration::from_millis(5);

/// The reason why a keyed write that may have run at another gateway is not sent. The client gets the same answer in
/// either case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum ResendError {
    /// Another gateway may have sent the write, and the time in which hosts discard a repeated write has passed or is
    /// about to.
    #[error("the write may have run at another gateway, and its resend window has expired")]
    WindowExpired,
    /// Too few of the gateways that would have a record of an earlier attempt have answered.
    #[error("too few gateways answered whether the write may have run")]
    Unproven,
}

/// Whether the write intent has been recorded at its replicas.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RecordState {
    Unrecorded,
    MaybeRecorded,
    Recorded,
}

/// The write intent of a keyed write, and what is known of the write's attempts.
pub(super) struct WriteIntent {
    write_intents: Rc<WriteIntentService>,
    number: SequenceNumber,
    key: KeyHash,
    /// Time from which on an earlier attempt of another gateway may have run; `None` if no such attempt is
    /// known.
    earlier_attempt_sent_at: Option<UnixMilliseconds>,
    record_state: Cell<RecordState>,
    /// Whether an attempt of this gateway may have run.
    may_have_run: Cell<bool>,
}

impl WriteIntent {
    /// Creates the intent of a write, which has not been recorded yet.
    pub(super) fn new(write_intents: &Rc<WriteIntentService>, key: KeyHash) -> Self {
        WriteIntent {
            write_intents: Rc::clone(write_intents),
            number: write_intents.new_intent(),
            key,
            earlier_attempt_sent_at: None,
            record_state: Cell::new(RecordState::Unrecorded),
            may_have_run: Cell::new(false),
        }
    }

    /// Records that an attempt of another gateway may have run from `first_sent_at` on. Returns the time until which
    /// the write may be sent again.
    ///
    /// # Errors
    ///
    /// [`ResendError::WindowExpired`] if that time has passed or is less than [`MIN_TIME_TO_RESEND`] away.
    pub(super) fn resend_deadline(
        &mut self,
        first_sent_at: UnixMilliseconds,
        class: &RequestClass,
        connect_timeout: Duration,
    ) -> Result<Instant, ResendError> {
        self.earlier_attempt_sent_at = Some(first_sent_at);
        let remaining = remaining_window(first_sent_at, class, connect_timeout)
            .filter(|&remaining| remaining > MIN_TIME_TO_RESEND)
            .ok_or(ResendError::WindowExpired)?;
        Ok(Instant::now() + remaining)
    }

    /// Returns whether another gateway may have sent the write.
    pub(super) const fn maybe_sent_by_another_gateway(&self) -> bool {
        self.earlier_attempt_sent_at.is_some()
    }

    /// Records the intent, unless it is already recorded. Called before an attempt is sent. Returns whether the intent
    /// is recorded.
    pub(super) async fn record(&self) -> bool {
        if self.record_state.get() == RecordState::Recorded {
            return true;
        }
        self.record_state.set(RecordState::MaybeRecorded);
        let first_sent_at = self
            .earlier_attempt_sent_at
            .unwrap_or_else(|| UnixMilliseconds(unix_milliseconds()));
        let recorded = self
            .write_intents
            .record(self.number, self.key, first_sent_at)
            .await;
        if recorded {
            self.record_state.set(RecordState::Recorded);
        }
        // Another attempt of this request may have recorded the intent in the meantime.
        self.record_state.get() == RecordState::Recorded
    }

    /// Records the outcome of an attempt of this gateway.
    pub(super) fn attempt_ended(&self, outcome: Outcome) {
        if !outcome.never_ran() {
            self.may_have_run.set(true);
        }
    }

    /// Withdraws the intent if it may have been recorded and no attempt of this gateway may have run. Called when all
    /// attempts have ended.
    pub(super) fn all_attempts_ended(&self) {
        let maybe_recorded = self.record_state.get() != RecordState::Unrecorded;
        if maybe_recorded && !self.may_have_run.get() {
            self.write_intents.withdraw(self.number, self.key);
        }
    }
}

/// Returns the remaining part of a write's resend window, which begins with the first attempt. `None` if the window has
/// passed or the class has none. The connect timeout is subtracted, because a write that is sent at the end of the
/// window may still have to wait for a connection.
fn remaining_window(
    first_sent_at: UnixMilliseconds,
    class: &RequestClass,
    connect_timeout: Duration,
) -> Option<Duration> {
    let Idempotency::Keyed { window, .. } = class.idempotency else {
        return None;
    };
    let now = UnixMilliseconds(unix_milliseconds());
    let elapsed = Duration::from(now.saturating_duration_since(first_sent_at));
    duration(window)
        .checked_sub(elapsed)?
        .checked_sub(connect_timeout)
}
