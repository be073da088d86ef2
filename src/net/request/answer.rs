//! The final answer to a request, which is sent exactly once.

use crate::net::buffers::Buffer;
use crate::net::duration;
use crate::net::metrics::{increment, Metrics};
use crate::net::upstream::StreamedAnswer;
use irisrouter::routing::TimeDelta;
use std::rc::Rc;
use tokio::sync::oneshot;

const NANOSECONDS_PER_MILLISECOND: u128 = 1_000_000;

/// The final answer to a request.
pub enum Answer {
    /// The messages of the row that a database host sent for this request.
    Served(Buffer),
    /// A long row, which is streamed to the client while it arrives.
    Streamed(StreamedAnswer),
    /// The request did not run, so a retry is harmless.
    Rejected {
        /// Time that the client is advised to wait before it retries; zero for no advice.
        retry_after: TimeDelta,
    },
    /// The request failed, and it is unknown whether it ran.
    Failed,
    /// Another process of the gateway has an open request with the same id.
    DuplicateId,
}

/// The answer that a client is waiting for, until it is sent or the client leaves.
pub(super) struct PendingAnswer {
    /// `None` once the answer has been sent or the client has left.
    sender: Option<oneshot::Sender<Answer>>,
    metrics: Rc<Metrics>,
}

impl PendingAnswer {
    /// Creates a pending answer for the client that holds the receiver of `sender`.
    pub(super) fn new(sender: oneshot::Sender<Answer>, metrics: Rc<Metrics>) -> Self {
        PendingAnswer {
            sender: Some(sender),
            metrics,
        }
    }

    /// Returns whether the client is still waiting for its answer.
    pub(super) fn is_pending(&self) -> bool {
        self.sender.is_some()
    }

    /// Sends and counts the answer if the client is still waiting for one. Returns whether it was.
    pub(super) fn send(&mut self, answer: Answer) -> bool {
        let Some(sender) = self.sender.take() else {
            return false;
        };
        let requests = &self.metrics.requests;
        increment(match answer {
            Answer::Served(_) | Answer::Streamed(_) => &requests.served,
            Answer::Rejected { .. } => &requests.rejected,
            Answer::Failed => &requests.failed,
            Answer::DuplicateId => &requests.malformed,
        });
        // Sending fails if the client has just left; it needs no answer then.
        let _ = sender.send(answer);
        true
    }

    /// Records that the client has left, so that no answer is sent any more.
    pub(super) fn abandon(&mut self) {
        self.sender = None;
    }

    /// Waits until the client leaves. Never completes once the answer has been sent or the request has been abandoned.
    pub(super) async fn client_gone(&mut self) {
        match &mut self.sender {
            Some(sender) => sender.closed().await,
            None => std::future::pending().await,
        }
    }
}

/// Converts the advised wait of a rejection to whole milliseconds, rounded up; `None` if there is no advice.
pub fn retry_after_milliseconds(retry_after: TimeDelta) -> Option<u128> {
    let nanoseconds = duration(retry_after).as_nanos();
    (retry_after > TimeDelta::ZERO).then(|| nanoseconds.div_ceil(NANOSECONDS_PER_MILLISECOND))
}

#[cfg(test)]
#[path = "../../../tests/unit/answer.rs"]
mod tests;
