//! Requests that are not finished, and their attempts.

use super::event::Outcome;
use super::identifiers::{GroupId, MemberId, RequestId, SessionId};
use super::time::Timestamp;
use std::collections::{BTreeSet, HashMap};

/// An attempt to have a member serve a request.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    /// The member.
    pub(super) member: MemberId,
    /// When it was sent.
    pub(super) sent_at: Timestamp,
    /// How it ended; nothing while it is in flight.
    pub(super) outcome: Option<Outcome>,
}

impl Attempt {
    /// It has not ended.
    pub(super) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// It is in flight, or has ended without proof that it never ran.
    pub(super) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// A request that is not finished.
#[derive(Clone, Debug, Default)]
pub(super) struct Request {
    /// Its class, an index into the settings.
    pub(super) class: usize,
    /// Its group.
    pub(super) group: GroupId,
    /// Its session.
    pub(super) session: Option<SessionId>,
    /// When it came in.
    pub(super) arrived_at: Timestamp,
    /// When its client stops waiting.
    pub(super) deadline: Timestamp,
    /// Position that a member must have reached to see the session's last write (session reads).
    pub(super) session_position: Timestamp,
    /// It waits in the router for a member.
    pub(super) queued: bool,
    /// If it is still queued then, it is given up.
    pub(super) queued_until: Timestamp,
    /// It has its final answer.
    pub(super) answered: bool,
    /// Its attempts, in the order in which they were sent.
    pub(super) attempts: Vec<Attempt>,
    /// Until then it waits for a health check's result rather than go where nothing is known.
    pub(super) health_check_awaited_until: Timestamp,
    /// Its own random number, 0 to 1. It decides whether a member that takes only a share of the
    /// requests takes this one, and stays the same however often that is asked.
    pub(super) sample: f64,
}

impl Request {
    /// No member has been handed it.
    pub(super) fn is_unsent(&self) -> bool {
        let not_handed_over =
            |outcome| matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent);
        self.attempts
            .iter()
            .all(|attempt| attempt.outcome.is_some_and(not_handed_over))
    }

    /// Some attempt is in flight.
    pub(super) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// The member of the only attempt in flight, if there is exactly one.
    pub(super) fn only_member_in_flight(&self) -> Option<MemberId> {
        let mut in_flight = self
            .attempts
            .iter()
            .filter(|attempt| attempt.is_in_flight());
        let only = in_flight.next()?;
        in_flight.next().is_none().then_some(only.member)
    }

    /// Numbers of the attempts in flight.
    pub(super) fn attempts_in_flight(&self) -> Vec<u32> {
        (0u32..)
            .zip(&self.attempts)
            .filter(|(_, attempt)| attempt.is_in_flight())
            .map(|(number, _)| number)
            .collect()
    }

    /// Some attempt is in flight, or has ended without proof that it never ran.
    pub(super) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }
}

/// When a request must be looked at again. Reviews are ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Review {
    time: Timestamp,
    id: RequestId,
}

/// The requests that are not finished.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    /// The requests.
    pub(super) by_id: HashMap<RequestId, Request>,
    /// The reviews to come, soonest first.
    reviews: BTreeSet<Review>,
}

impl RequestTable {
    /// A request that is known to be there.
    pub(super) fn get(&self, id: RequestId) -> &Request {
        &self.by_id[&id]
    }

    /// A request that is known to be there, to be changed.
    pub(super) fn get_mut(&mut self, id: RequestId) -> &mut Request {
        (self.by_id.get_mut(&id)).expect("requests stay in the table until they are finished")
    }

    /// The request, if it is queued.
    pub(super) fn queued(&self, id: RequestId) -> Option<&Request> {
        self.by_id.get(&id).filter(|request| request.queued)
    }

    /// The request, if it has no final answer yet.
    pub(super) fn unanswered(&self, id: RequestId) -> Option<&Request> {
        self.by_id.get(&id).filter(|request| !request.answered)
    }

    /// Looks at a request again then.
    pub(super) fn review_at(&mut self, time: Timestamp, id: RequestId) {
        self.reviews.insert(Review { time, id });
    }

    /// Time of the next review.
    pub(super) fn next_review_at(&self) -> Option<Timestamp> {
        self.reviews.first().map(|review| review.time)
    }

    /// Takes the next request whose review is due.
    pub(super) fn take_due_review(&mut self, now: Timestamp) -> Option<RequestId> {
        self.reviews.first().filter(|review| review.time <= now)?;
        self.reviews.pop_first().map(|review| review.id)
    }

    /// Nothing more is done for a request, which is removed unless attempts are in flight. Returns
    /// the attempts that are left over: those in flight when the request was finished for the first
    /// time.
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

    /// Removes a request that is answered and has nothing in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let finished = |request: &Request| request.answered && !request.is_in_flight();
        if self.by_id.get(&id).is_some_and(finished) {
            self.by_id.remove(&id);
        }
    }
}
