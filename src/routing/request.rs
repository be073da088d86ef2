//! Unfinished requests and their attempts.

use super::event::Outcome;
use super::identifiers::{GroupId, MemberId, RequestId, SessionId};
use super::time::Timestamp;
use std::collections::{BTreeSet, HashMap};

/// One attempt to have a member serve a request.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    /// Member that the attempt was sent to.
    pub(super) member: MemberId,
    /// When it was sent.
    pub(super) sent_at: Timestamp,
    /// How the attempt ended; `None` while it is in flight.
    pub(super) outcome: Option<Outcome>,
}

impl Attempt {
    /// Returns whether the attempt has not ended.
    pub(super) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Returns whether the member may have run the request: the attempt is in flight, or its
    /// outcome does not prove otherwise.
    pub(super) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// An unfinished request.
#[derive(Clone, Debug, Default)]
pub(super) struct Request {
    /// Class of the request, as an index into the settings.
    pub(super) class: usize,
    /// Group whose members can serve the request.
    pub(super) group: GroupId,
    /// Session of the client, if it has one.
    pub(super) session: Option<SessionId>,
    /// When the request arrived.
    pub(super) arrived_at: Timestamp,
    /// When the client stops waiting.
    pub(super) deadline: Timestamp,
    /// Position that a member must have reached to see the session's last write (session reads).
    pub(super) session_position: Timestamp,
    /// Whether the request is waiting in a queue for a member.
    pub(super) queued: bool,
    /// Time at which the request is given up at the latest if it is still queued.
    pub(super) queued_until: Timestamp,
    /// Whether the final answer has been given.
    pub(super) answered: bool,
    /// Attempts in the order in which they were sent.
    pub(super) attempts: Vec<Attempt>,
    /// Until this time, the request waits for the result of a health check rather than being sent
    /// to a member whose state is not known.
    pub(super) health_check_awaited_until: Timestamp,
    /// Random number from 0 to 1, drawn once for the request. It decides whether a member that
    /// takes only a share of the requests takes this one, so that repeated decisions on the same
    /// request agree.
    pub(super) sample: f64,
}

impl Request {
    /// Returns whether no member has received the request: each attempt ended before it was handed
    /// over.
    pub(super) fn is_unsent(&self) -> bool {
        let not_handed_over =
            |outcome| matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent);
        self.attempts
            .iter()
            .all(|attempt| attempt.outcome.is_some_and(not_handed_over))
    }

    /// Returns whether any attempt is in flight.
    pub(super) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Returns the member of the attempt in flight if there is exactly one.
    pub(super) fn only_member_in_flight(&self) -> Option<MemberId> {
        let mut in_flight = self
            .attempts
            .iter()
            .filter(|attempt| attempt.is_in_flight());
        let only = in_flight.next()?;
        in_flight.next().is_none().then_some(only.member)
    }

    /// Returns the numbers of the attempts in flight.
    pub(super) fn attempts_in_flight(&self) -> Vec<u32> {
        (0u32..)
            .zip(&self.attempts)
            .filter(|(_, attempt)| attempt.is_in_flight())
            .map(|(number, _)| number)
            .collect()
    }

    /// Returns whether any member may have run the request.
    pub(super) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }
}

/// A time at which a request must be reviewed. Reviews are ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Review {
    time: Timestamp,
    id: RequestId,
}

/// The unfinished requests and their scheduled reviews.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    /// All unfinished requests. An answered request stays until its last attempt has ended.
    pub(super) by_id: HashMap<RequestId, Request>,
    /// Scheduled reviews, earliest first.
    reviews: BTreeSet<Review>,
}

impl RequestTable {
    /// Returns a request. Panics if the table does not contain it.
    pub(super) fn get(&self, id: RequestId) -> &Request {
        &self.by_id[&id]
    }

    /// Returns a mutable reference to a request. Panics if the table does not contain it.
    pub(super) fn get_mut(&mut self, id: RequestId) -> &mut Request {
        (self.by_id.get_mut(&id)).expect("requests stay in the table until they are finished")
    }

    /// Returns the request if it is queued.
    pub(super) fn queued(&self, id: RequestId) -> Option<&Request> {
        self.by_id.get(&id).filter(|request| request.queued)
    }

    /// Returns the request if it has no final answer yet.
    pub(super) fn unanswered(&self, id: RequestId) -> Option<&Request> {
        self.by_id.get(&id).filter(|request| !request.answered)
    }

    /// Schedules a review of a request.
    pub(super) fn review_at(&mut self, time: Timestamp, id: RequestId) {
        self.reviews.insert(Review { time, id });
    }

    /// Returns the time of the next review.
    pub(super) fn next_review_at(&self) -> Option<Timestamp> {
        self.reviews.first().map(|review| review.time)
    }

    /// Removes the earliest review that is due, and returns its request.
    pub(super) fn take_due_review(&mut self, now: Timestamp) -> Option<RequestId> {
        self.reviews.first().filter(|review| review.time <= now)?;
        self.reviews.pop_first().map(|review| review.id)
    }

    /// Marks a request as answered, and removes it unless attempts are in flight. Returns the
    /// attempts in flight on the first call for the request, and nothing on later calls.
    pub(super) fn finish(&mut self, id: RequestId) -> Vec<u32> {
        let Some(request) = self.by_id.get_mut(&id) else {
            return Vec::new();
        };
        let finished_before = request.answered;
        request.answered = true;
        request.queued = false;
        let in_flight = request.attempts_in_flight();
        if in_flight.is_empty() {
            self.by_id.remove(&id);
        }
        if finished_before {
            Vec::new()
        } else {
            in_flight
        }
    }

    /// Removes a request if it is answered and no attempt of it is in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let finished = |request: &Request| request.answered && !request.is_in_flight();
        if self.by_id.get(&id).is_some_and(finished) {
            self.by_id.remove(&id);
        }
    }
}
