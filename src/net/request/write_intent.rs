//! A keyed write, and what is recorded of it with other gateways.

use crate::net::cluster::write_intents::WriteIntentService;
use crate::net::{duration, unix_milliseconds};
use irisrouter::routing::{Idempotency, Outcome, RequestClass};
use irisrouter_cluster_types::UnixMilliseconds;
use irisrouter_write_intents::KeyHash;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// With less than this left of its window a write is not sent again: deciding on it needs a moment.
const MIN_TIME_TO_RESEND: Duration = Duration::from_millis(5);

/// Why a keyed write is not sent: it may have run at another gateway. The client is told no more than that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum ResendError {
    /// Another gateway may have sent the write, and the time in which hosts discard a repeat is over or nearly so.
    #[error("the write may have run at another gateway, and its resend window is over")]
    WindowOver,
    /// Too few of the gateways that would know of another attempt have answered.
    #[error("too few gateways answered whether the write may have run")]
    Unproven,
}

/// Whether a write has been recorded with its replicas.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RecordState {
    NotTried,
    Tried,
    Recorded,
}

/// A keyed write, and what is recorded of it with other gateways.
pub(super) struct WriteIntent {
    write_intents: Rc<WriteIntentService>,
    key: KeyHash,
    /// From when on an earlier attempt of another gateway may have run.
    earlier_attempt: Option<UnixMilliseconds>,
    record_state: Cell<RecordState>,
    /// Whether an attempt of this gateway may have run.
    may_have_run: Cell<bool>,
}

impl WriteIntent {
    /// A write that has not been recorded yet.
    pub(super) fn new(write_intents: &Rc<WriteIntentService>, key: KeyHash) -> Self {
        WriteIntent {
            write_intents: Rc::clone(write_intents),
            key,
            earlier_attempt: None,
            record_state: Cell::new(RecordState::NotTried),
            may_have_run: Cell::new(false),
        }
    }

    /// Until when the write may be sent again, after an attempt of another gateway that may have run from `first_sent_at`
    /// on.
    ///
    /// # Errors
    ///
    /// [`ResendError::WindowOver`]: that time is over.
    pub(super) fn resend_deadline(
        &mut self,
        first_sent_at: UnixMilliseconds,
        class: &RequestClass,
        connect_timeout: Duration,
    ) -> Result<Instant, ResendError> {
        self.earlier_attempt = Some(first_sent_at);
        let remaining = remaining_window(first_sent_at, class, connect_timeout)
            .filter(|&remaining| remaining > MIN_TIME_TO_RESEND)
            .ok_or(ResendError::WindowOver)?;
        Ok(Instant::now() + remaining)
    }

    /// Whether another gateway may have sent the write.
    pub(super) const fn sent_by_another_gateway(&self) -> bool {
        self.earlier_attempt.is_some()
    }

    /// Records the write before an attempt is sent, unless it is recorded already. Returns whether it is recorded.
    pub(super) async fn record(&self) -> bool {
        if self.record_state.get() == RecordState::Recorded {
            return true;
        }
        self.record_state.set(RecordState::Tried);
        let first_sent_at = self
            .earlier_attempt
            .unwrap_or_else(|| UnixMilliseconds(unix_milliseconds()));
        if self.write_intents.record(self.key, first_sent_at).await {
            self.record_state.set(RecordState::Recorded);
        }
        // Another attempt may have recorded it meanwhile.
        self.record_state.get() == RecordState::Recorded
    }

    /// An attempt has ended.
    pub(super) fn attempt_ended(&self, outcome: Outcome) {
        if !outcome.never_ran() {
            self.may_have_run.set(true);
        }
    }

    /// All attempts have ended. The intent of a write that never ran is withdrawn.
    pub(super) fn all_attempts_ended(&self) {
        let recorded_somewhere = self.record_state.get() != RecordState::NotTried;
        if recorded_somewhere && !self.may_have_run.get() {
            self.write_intents.withdraw(self.key);
        }
    }
}

/// What is left of a write's window, which counts from its first attempt; `None` where it is over, or the class has none.
/// What is sent at the window's end still needs a connection.
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
