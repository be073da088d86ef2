//! The ids of open requests. A database host would treat a second request with the same id as a retry of the first, and
//! answer it with the row of another client, or run it a second time.

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long the id of a request stays reserved whose client left after an attempt was started: the host may still run
/// the attempt.
const ABANDONED_ID_RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of ids that are kept for requests whose clients have left. Beyond it, the oldest is released.
const MAX_ABANDONED_IDS: usize = 4_096;

/// The ids that no new request can have.
#[derive(Default)]
pub struct OpenIds {
    /// Ids of the open requests: those that are not finished, or that have an attempt which has not ended; and the
    /// abandoned ids.
    reserved: RefCell<HashSet<Box<str>>>,
    abandoned: RefCell<VecDeque<AbandonedId>>,
}

/// The id of a request whose client has left.
struct AbandonedId {
    release_at: Instant,
    _id: OpenId,
}

/// The id of an open request; no other request can have it until this is dropped.
pub struct OpenId {
    ids: Rc<OpenIds>,
    id: Box<str>,
}

impl OpenIds {
    /// Reserves an id. Returns `None` while another open request has it.
    pub fn reserve(self: &Rc<Self>, id: &str) -> Option<OpenId> {
        self.release_abandoned(Instant::now());
        let is_new = self.reserved.borrow_mut().insert(id.into());
        is_new.then(|| OpenId {
            ids: Rc::clone(self),
            id: id.into(),
        })
    }

    /// Keeps an id reserved whose client has left, because an attempt with it may still run.
    pub fn keep_abandoned(&self, id: OpenId, now: Instant) {
        let abandoned = AbandonedId {
            release_at: now + ABANDONED_ID_RETENTION,
            _id: id,
        };
        self.abandoned.borrow_mut().push_back(abandoned);
        self.release_abandoned(now);
    }

    fn release_abandoned(&self, now: Instant) {
        while let Some(released) = self.pop_due(now) {
            drop(released);
        }
    }

    /// Removes the oldest abandoned id if it is due, or if there are too many.
    fn pop_due(&self, now: Instant) -> Option<AbandonedId> {
        let mut abandoned = self.abandoned.borrow_mut();
        let is_due = abandoned.front()?.release_at <= now || abandoned.len() > MAX_ABANDONED_IDS;
        is_due.then(|| abandoned.pop_front())?
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.ids.reserved.borrow_mut().remove(&self.id);
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/open_ids.rs"]
mod tests;
