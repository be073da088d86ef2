//! The ids of open requests. A database host would treat a second request with the same id as a retry of the first, and
//! answer it with the row of another client, or run it a second time.
//!
//! An id that is reserved here is also claimed among the processes of the gateway; see [`crate::net::claims`].

use crate::net::claims::{self, ClaimError, ClaimKey, ClaimPurpose, Claims, OpenClaim};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long the id of a request stays reserved whose client left after an attempt was started: the host may still run
/// the attempt.
const ABANDONED_ID_RETENTION: Duration = claims::RETENTION;
/// Maximum number of ids that are kept for requests whose clients have left. Beyond it, the oldest is released.
const MAX_ABANDONED_IDS: usize = 4_096;

/// The ids that no new request can have.
#[derive(Default)]
pub struct OpenIds {
    /// Ids of the open requests: those that are not finished, or that have an attempt which has not ended; and the
    /// abandoned ids.
    reserved: RefCell<HashMap<Box<str>, Rc<OpenClaim>>>,
    abandoned: RefCell<VecDeque<AbandonedId>>,
    claims: Rc<Claims>,
}

/// The id of a request whose client has left.
struct AbandonedId {
    release_at: Instant,
    _id: Rc<OpenId>,
}

/// The id of an open request; no other request can have it until this is dropped.
pub struct OpenId {
    ids: Rc<OpenIds>,
    id: Box<str>,
    claim: Rc<OpenClaim>,
}

impl OpenIds {
    /// Creates the ids of a process that claims them among the processes of its gateway.
    pub fn new(claims: Rc<Claims>) -> Self {
        OpenIds {
            claims,
            ..OpenIds::default()
        }
    }

    /// Reserves the id of a request that is served next. Returns `None` while another open request has it. If it is
    /// unknown whether one at another process has it, the id is reserved, and has to be claimed before it is used.
    pub fn reserve(self: &Rc<Self>, id: &str) -> Option<OpenId> {
        let now = Instant::now();
        let open_id = self.reserve_locally(id, now)?;
        match open_id.claim(ClaimPurpose::InTurn, now) {
            Err(ClaimError::Taken) => None,
            _ => Some(open_id),
        }
    }

    /// Reserves the id of a request that waits for its turn. Returns `None` while another open request has it, or if
    /// that is unknown.
    pub fn reserve_waiting(self: &Rc<Self>, id: &str) -> Option<OpenId> {
        let now = Instant::now();
        let open_id = self.reserve_locally(id, now)?;
        let claimed = open_id.claim(ClaimPurpose::Waiting, now);
        claimed.is_ok().then_some(open_id)
    }

    fn reserve_locally(self: &Rc<Self>, id: &str, now: Instant) -> Option<OpenId> {
        self.release_abandoned(now);
        let mut reserved = self.reserved.borrow_mut();
        if reserved.contains_key(id) {
            return None;
        }
        let claim = Rc::<OpenClaim>::default();
        reserved.insert(id.into(), Rc::clone(&claim));
        Some(OpenId {
            ids: Rc::clone(self),
            id: id.into(),
            claim,
        })
    }

    /// Keeps an id reserved whose client has left, because an attempt with it may still run.
    pub fn keep_abandoned(&self, id: impl Into<Rc<OpenId>>, now: Instant) {
        let abandoned = AbandonedId {
            release_at: now + ABANDONED_ID_RETENTION,
            _id: id.into(),
        };
        self.abandoned.borrow_mut().push_back(abandoned);
        self.release_abandoned(now);
    }

    /// Notices processes of the gateway that have joined or ended, and publishes the open ids to those that have
    /// joined.
    pub fn refresh_claims(&self) {
        let now = Instant::now();
        self.release_abandoned(now);
        let reserved = self.reserved.borrow();
        let open_claims = reserved
            .iter()
            .map(|(id, claim)| (ClaimKey::of(id), &**claim));
        self.claims.refresh(now, open_claims);
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

impl OpenId {
    /// Claims the id among the processes of the gateway, unless that has been done.
    ///
    /// # Errors
    ///
    /// Returns an error if another process has the id, or if it is unknown whether one has.
    pub fn claim(&self, purpose: ClaimPurpose, now: Instant) -> Result<(), ClaimError> {
        let key = ClaimKey::of(&self.id);
        self.ids.claims.claim(&self.claim, key, purpose, now)
    }

    /// Records that an attempt is about to be sent, so that the other processes respect the id even if this one ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the id is not claimed and cannot be, or if the other processes cannot be told.
    pub fn mark_sent(&self, now: Instant) -> Result<(), ClaimError> {
        let key = ClaimKey::of(&self.id);
        self.ids.claims.mark_sent(&self.claim, key, now)
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.ids.reserved.borrow_mut().remove(&self.id);
        self.ids.claims.release(&self.claim);
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/open_ids.rs"]
mod tests;
