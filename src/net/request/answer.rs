//! The final answer of a request, given exactly once.

use crate::net::buffers::Buffer;
use crate::net::duration;
use crate::net::metrics::{increment, Metrics};
use crate::net::upstream::StreamedAnswer;
use irisrouter::routing::TimeDelta;
use std::rc::Rc;
use tokio::sync::oneshot;

const NANOSECONDS_PER_MILLISECOND: u128 = 1_000_000;

/// The final answer.
pub enum Answer {
    /// A row, as a database host made it for this request.
    Served(Buffer),
    /// A long row, which is passed on while it arrives.
    Streamed(StreamedAnswer),
    /// Not run: a retry is harmless.
    Rejected {
        /// How long the client should wait before it retries; zero for no advice.
        retry_after: TimeDelta,
    },
    /// It may have run or not.
    Failed,
}

/// A client that waits for its answer, until it has one or is gone.
pub(super) struct PendingAnswer {
    client: Option<oneshot::Sender<Answer>>,
    metrics: Rc<Metrics>,
}

impl PendingAnswer {
    /// The client behind this sender waits for its answer.
    pub(super) fn new(client: oneshot::Sender<Answer>, metrics: Rc<Metrics>) -> Self {
        PendingAnswer {
            client: Some(client),
            metrics,
        }
    }

    /// Whether the client still waits.
    pub(super) fn is_pending(&self) -> bool {
        self.client.is_some()
    }

    /// Answers and counts the request, if its client still waits; returns whether it did.
    pub(super) fn send(&mut self, answer: Answer) -> bool {
        let Some(client) = self.client.take() else {
            return false;
        };
        let requests = &self.metrics.requests;
        increment(match answer {
            Answer::Served(_) | Answer::Streamed(_) => &requests.served,
            Answer::Rejected { .. } => &requests.rejected,
            Answer::Failed => &requests.failed,
        });
        // A client that has left in this moment needs no answer.
        let _ = client.send(answer);
        true
    }

    /// The client is gone: no answer is sent any more.
    pub(super) fn abandon(&mut self) {
        self.client = None;
    }

    /// Completes when the client has left; never, once the request has its answer.
    pub(super) async fn client_gone(&mut self) {
        match &mut self.client {
            Some(client) => client.closed().await,
            None => std::future::pending().await,
        }
    }
}

/// The advice of a rejection in whole milliseconds, rounded up; `None` where there is no advice.
pub fn retry_after_milliseconds(retry_after: TimeDelta) -> Option<u128> {
    let nanoseconds = duration(retry_after).as_nanos();
    (retry_after > TimeDelta::ZERO).then(|| nanoseconds.div_ceil(NANOSECONDS_PER_MILLISECOND))
}

#[cfg(test)]
#[path = "../../../tests/unit/answer.rs"]
mod tests;
