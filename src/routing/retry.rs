//! Handling of requests that are not served at once: queueing, retries, hedged requests, and the
//! final answer.

use super::action::Action;
use super::event::Outcome;
use super::identifiers::RequestId;
use super::request::Request;
use super::retry_budget::RetryBudget;
use super::router::Router;
use super::settings::{DeduplicationScope, Freshness, Idempotency};
use super::time::{TimeDelta, Timestamp};
use std::collections::VecDeque;

/// Cost of a hedged request in the retry budget: that of a full attempt.
const HEDGE_COST: f64 = 1.0;
/// A request may be hedged when this share of the time from its sending to its latency objective
/// has passed without an answer.
const HEDGE_DELAY_SHARE: f64 = 0.5;
/// A read that no member has received is queued for at most this share of the time that its client
/// waits.
const UNSENT_READ_QUEUE_SHARE: f64 = 0.45;

impl Router {
    /// Handles a failed attempt. Unless another attempt is in flight, the request is queued again
    /// for a retry, or given up.
    pub(super) fn retry_or_give_up(&mut self, id: RequestId, outcome: Outcome, elapsed: TimeDelta) {
        let request = self.requests.get(id);
        if request.answered {
            return;
        }
        if request.is_in_flight() {
            if outcome == Outcome::NotSent {
                self.hedge_again(id);
            }
            return;
        }
        let idempotency = self.class(request).idempotency;
        let repeatable = idempotency != Idempotency::NotIdempotent || !request.may_have_run();
        let in_time = self.fleet.now < self.latest_send_time(request);
        let usual_latency = self.fleet.class_latency.usual(request.class);
        let cost = RetryBudget::retry_cost(outcome, elapsed, usual_latency);
        let allowed = repeatable && in_time && self.has_attempts_left(request);
        if allowed && self.retry_budget.covers(cost) {
            self.retry_budget.withdraw(cost);
            self.enqueue(id);
        } else {
            self.give_up(id);
        }
    }

    /// Queues a request until a member is selected for it.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let classes = self.fleet.settings.classes.len();
        let Some(request) = self.requests.by_id.get(&id) else {
            return;
        };
        let queued_until = self.queued_until(request);
        let request = self.requests.get_mut(id);
        request.queued = true;
        request.queued_until = queued_until;
        let class = request.class;
        let group = self.fleet.groups.entry(request.group).or_default();
        group.queues.resize(classes, VecDeque::new());
        group.queues[class].push_back(id);
        self.fleet.selection.group_changed(request.group);
        self.schedule_give_up_review(id);
    }

    /// Returns the time until which a request may be queued. A read that no member has received is
    /// rejected after `UNSENT_READ_QUEUE_SHARE` of its client's wait, because a client that is
    /// rejected late has waited for nothing and has too little time left to retry. Once that time
    /// has passed, the client has too little time left whenever it is rejected, so the read stays
    /// queued for as long as it can be answered in time. A write always stays queued that long,
    /// because an election outlasts any shorter limit, and all writes would fail.
    fn queued_until(&self, request: &Request) -> Timestamp {
        let is_read = self.class(request).freshness != Freshness::Write;
        let client_wait = (request.deadline - request.arrived_at).as_nanos_f64();
        let limit =
            request.arrived_at + TimeDelta::from_nanos_f64(client_wait * UNSENT_READ_QUEUE_SHARE);
        if is_read && request.is_unsent() && self.fleet.now < limit {
            limit
        } else {
            Timestamp::MAX
        }
    }

    /// Returns the time at which a request that is queued now is given up.
    fn give_up_at(&self, request: &Request) -> Timestamp {
        self.latest_send_time(request).min(request.queued_until)
    }

    fn schedule_give_up_review(&mut self, id: RequestId) {
        let time = self.give_up_at(self.requests.get(id));
        self.requests
            .review_at(time.max(self.fleet.now + TimeDelta::NANOSECOND), id);
    }

    /// Processes the requests whose review is due: queued requests are given up once `give_up_at`
    /// has passed, and requests in flight may be hedged.
    pub(super) fn review_requests(&mut self) {
        while let Some(id) = self.requests.take_due_review(self.fleet.now) {
            let Some(request) = self.requests.unanswered(id) else {
                continue;
            };
            if !request.queued {
                self.hedge(id);
            } else if self.fleet.now >= self.give_up_at(request) {
                self.give_up(id);
            } else {
                self.schedule_give_up_review(id);
            }
        }
    }

    /// Returns the time from which a request that is sent now may be hedged, or `None` if it may
    /// not be.
    pub(super) fn hedge_at(&self, request: &Request) -> Option<Timestamp> {
        let class = self.class(request);
        let now = self.fleet.now;
        let time_left = request.arrived_at + class.latency_objective - now;
        let hedge_at =
            now + TimeDelta::from_nanos_f64(HEDGE_DELAY_SHARE * time_left.as_nanos_f64());
        let permitted = self.fleet.settings.limits.hedged_requests;
        let may_be_hedged = permitted && class.idempotency == Idempotency::Idempotent;
        (may_be_hedged && hedge_at > now).then_some(hedge_at)
    }

    /// Sends a second attempt to another member if the member of the only attempt in flight is
    /// suspected. A member that still answers other requests is only slow; the request is reviewed
    /// again later.
    fn hedge(&mut self, id: RequestId) {
        let request = self.requests.get(id);
        let Some(member) = request.only_member_in_flight() else {
            return;
        };
        let now = self.fleet.now;
        if !self.retry_budget.covers(HEDGE_COST) || now >= self.latest_send_time(request) {
            return;
        }
        if !self.fleet.is_suspected(member) {
            let tolerance = self.fleet.member(member).reachability.silence_tolerance;
            self.requests.review_at(now + tolerance / 2, id);
            return;
        }
        let selected = self.select(request, Some(member));
        if selected.is_some_and(|other| self.send(id, other)) {
            self.retry_budget.withdraw(HEDGE_COST);
        }
    }

    /// Handles one of two attempts in flight that was not sent after all: the request may be hedged
    /// again at once, as if the attempt had not been started.
    fn hedge_again(&mut self, id: RequestId) {
        self.retry_budget.refund(HEDGE_COST);
        self.requests.review_at(self.fleet.now, id);
    }

    /// Gives a request its final answer at once: rejected if a repeat is harmless, otherwise
    /// failed.
    pub(super) fn give_up(&mut self, id: RequestId) {
        let Some(request) = self.requests.unanswered(id) else {
            return;
        };
        let repeat_is_harmless = match self.class(request).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed {
                scope: DeduplicationScope::All,
                ..
            } => true,
            Idempotency::Keyed { .. } | Idempotency::NotIdempotent => !request.may_have_run(),
        };
        let answer = if repeat_is_harmless {
            let retry_after = self.retry_after(request);
            Action::Reject { id, retry_after }
        } else {
            Action::Fail { id }
        };
        self.actions.push(answer);
        self.close(id);
    }

    /// Returns how long a rejected client should wait before it retries. The time from the failover
    /// plan is spread at random, so that not all clients return at the same time.
    fn retry_after(&self, request: &Request) -> TimeDelta {
        let limits = &self.fleet.settings.limits;
        if !limits.retry_after {
            return TimeDelta::ZERO;
        }
        let spread = |pause: TimeDelta| {
            TimeDelta::from_nanos_f64(pause.as_nanos_f64() * (1.0 + request.sample))
        };
        let objective = self.class(request).latency_objective;
        let retry_after = self.failover.retry_after.map_or(objective, spread);
        retry_after.min(limits.max_retry_after)
    }

    /// Finishes a request. Its attempts in flight are cancelled where that is permitted, so that
    /// they free the members' capacity.
    pub(super) fn close(&mut self, id: RequestId) {
        let in_flight = self.requests.finish(id);
        if self.fleet.settings.limits.cancellation {
            for attempt in in_flight {
                self.actions.push(Action::CancelAttempt { id, attempt });
            }
        }
    }
}
