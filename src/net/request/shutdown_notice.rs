//! How a shutdown shortens the time that a request has.

use crate::net::request::context::{RequestContext, ShutdownDeadlines};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// Time before the client's deadline at which a request without a decision fails. It is less than the margin for the
/// router's decision, because otherwise requests would fail that the router would have rejected as not run.
pub(super) const ANSWER_MARGIN: Duration = Duration::from_millis(1);

/// Subscribes to the shutdown deadlines. Returns `None` if the shutdown has already begun.
pub(super) fn subscribe_to_shutdown(
    context: &RequestContext,
) -> Option<watch::Receiver<Option<ShutdownDeadlines>>> {
    let notice = context.shutdown.subscribe();
    let has_begun = notice.borrow().is_some();
    (!has_begun).then_some(notice)
}

/// Waits until the deadline of a decision, or until the shutdown's deadline for answers where that is earlier.
/// Otherwise this answer, and those to the requests that are queued behind it, would be due only after the process is
/// killed.
pub(super) async fn decision_timeout(
    shutdown: &mut Option<watch::Receiver<Option<ShutdownDeadlines>>>,
    deadline: Instant,
) {
    let Some(notice) = shutdown else {
        return sleep_until(deadline).await;
    };
    let answer_by = async {
        let announced = notice.wait_for(Option::is_some).await;
        let deadlines = announced.ok().and_then(|deadlines| *deadlines);
        deadlines.map(|deadlines| deadlines.answer_by)
    };
    tokio::select! {
        biased;
        answer_by = answer_by => {
            let earlier_deadline = answer_by.map_or(deadline, |by| deadline.min(by - ANSWER_MARGIN));
            sleep_until(earlier_deadline).await;
        }
        () = sleep_until(deadline) => {}
    }
}
