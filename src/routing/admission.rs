//! Admission: whether an attempt may be sent to a member, by the member's capacity and by the five
//! rules that apply to every attempt.

use super::action::Action;
use super::identifiers::{MemberId, RequestId};
use super::member::Member;
use super::request::{Attempt, Request};
use super::router::Router;
use super::selection::PRIMARY_READ_SHARE;
use super::settings::{DeduplicationScope, Freshness, Idempotency, StalenessCheck};
use super::time::{TimeDelta, Timestamp};

/// Share of the primary's cores that is reserved for its own work. Reads that fall back to the
/// primary are admitted in full while at least this share of its cores is idle, and in proportion
/// to the idle cores when fewer are idle.
const PRIMARY_CORE_RESERVE: f64 = 0.3;
/// Share of the load budget of a member in slow start that is used, because the load from other
/// gateways can only be estimated.
const SLOW_START_BUDGET_SHARE: f64 = 0.4;
/// Maximum share of the reads that is assigned to one member in slow start, as a multiple of its
/// share in proportion to its capacity. It is above 1 so that the member can take reads that the
/// other members cannot take because they are full or lag behind.
const SLOW_START_MAX_CONCENTRATION: f64 = 2.0;
/// A queued request is given up, and no retry or hedged request is started, when fewer than this
/// many usual latencies are left for an answer.
const MIN_LATENCIES_LEFT: f64 = 1.5;
/// Length in ticks of the margin before the client's deadline. Within the margin, queued requests
/// are given up and no retry or hedged request is started.
const DEADLINE_MARGIN_TICKS: i64 = 2;

impl Router {
    /// Sends a request to a member if every rule allows it. All attempts are sent by this function.
    /// Returns whether the attempt was sent.
    pub(super) fn send(&mut self, id: RequestId, member: MemberId) -> bool {
        let request = self.requests.get(id);
        let connect_timeout = self.fleet.settings.limits.connect_timeout;
        if !self.rules_allow(request, member, connect_timeout) {
            return false;
        }
        let now = self.fleet.now;
        let timeout = self.answer_deadline(request) - now;
        let hedge_at = self.hedge_at(request);
        self.fleet.request_sent(member, request.class);
        let request = self.requests.get_mut(id);
        request.queued = false;
        request.attempts.push(Attempt {
            member,
            sent_at: now,
            outcome: None,
        });
        if let Some(hedge_at) = hedge_at {
            self.requests.review_at(hedge_at, id);
        }
        // Advances the generator, so that the next selection uses another random number.
        self.rng.rand_u64();
        self.actions.push(Action::StartAttempt {
            id,
            member,
            timeout,
        });
        true
    }

    /// Returns whether all five rules allow an attempt at this member. `setup_time` is the longest
    /// time that may pass until its first byte is sent.
    pub(super) fn rules_allow(
        &self,
        request: &Request,
        id: MemberId,
        setup_time: TimeDelta,
    ) -> bool {
        let member = self.fleet.member(id);
        // Rule 3: draining members get no attempts, from the start of the drain rather than from
        // the end of the grace period.
        let in_service = self.fleet.in_service(id) && member.identity.group == request.group;
        self.can_be_answered_in_time(request)
            && self.cannot_take_effect_twice(request, member, setup_time)
            && in_service
            // Rule 4: the load budget of a member in slow start is not exceeded.
            && self.slow_start_admits(id, request)
            && self.is_fresh_enough(request, id)
    }

    /// Rule 1: no attempt is sent after the final answer, when its answer would be too late, or
    /// beyond the maximum number of attempts.
    pub(super) fn can_be_answered_in_time(&self, request: &Request) -> bool {
        !request.answered
            && self.fleet.now < self.answer_deadline(request)
            && self.has_attempts_left(request)
    }

    /// Rule 2: no request takes effect twice.
    fn cannot_take_effect_twice(
        &self,
        request: &Request,
        member: &Member,
        setup_time: TimeDelta,
    ) -> bool {
        let limits = &self.fleet.settings.limits;
        if request.is_in_flight() && !limits.hedged_requests {
            return false;
        }
        let mut may_have_run = request
            .attempts
            .iter()
            .filter(|attempt| attempt.may_have_run());
        match self.class(request).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => !request.may_have_run(),
            Idempotency::Keyed { scope, window } => may_have_run.all(|attempt| {
                // What counts is when the repeat arrives at the member.
                let arrives_after = self.fleet.now - attempt.sent_at + setup_time;
                let earlier = self.fleet.members.get(&attempt.member);
                let same_zone =
                    earlier.is_some_and(|other| other.identity.zone == member.identity.zone);
                arrives_after < window && (scope != DeduplicationScope::Zone || same_zone)
            }),
        }
    }

    /// Rule 5: no stale reads. The member is known to be recent enough, or is the primary by its
    /// last known role, or checks the request itself.
    fn is_fresh_enough(&self, request: &Request, id: MemberId) -> bool {
        let is_checked = self.fleet.settings.staleness_check != StalenessCheck::None
            || self.class(request).freshness == Freshness::Write;
        is_checked
            || self.has_required_position(id, request)
            || self.fleet.member(id).replication.is_primary()
    }

    /// Returns the position that a member must have reached to answer a request sent now.
    pub(super) fn required_position(&self, request: &Request) -> Timestamp {
        match self.class(request).freshness {
            Freshness::Any => Timestamp::MIN,
            Freshness::BoundedStaleness(bound) => self.fleet.now - bound,
            Freshness::Session => request.session_position,
            Freshness::Strong | Freshness::Write => request.arrived_at,
        }
    }

    /// Returns whether the member is known to have reached the position that the request requires.
    pub(super) fn has_required_position(&self, id: MemberId, request: &Request) -> bool {
        self.fleet.member(id).replication.position >= self.required_position(request)
    }

    /// Returns whether the member is in service and no earlier attempt rules it out: an attempt
    /// that is in flight there, or one that never ran there and was sent less than a connect
    /// timeout ago.
    pub(super) fn is_available_for(&self, id: MemberId, request: &Request) -> bool {
        let exclusion_time = self.fleet.settings.limits.connect_timeout;
        let rules_out = |attempt: &Attempt| match attempt.outcome {
            None => true,
            Some(outcome) => {
                outcome.never_ran() && self.fleet.now - attempt.sent_at < exclusion_time
            }
        };
        let mut attempts = request.attempts.iter();
        self.fleet.in_service(id)
            && !attempts.any(|attempt| attempt.member == id && rules_out(attempt))
    }

    /// Returns whether the request is below the maximum number of attempts.
    pub(super) fn has_attempts_left(&self, request: &Request) -> bool {
        (request.attempts.len() as u32) < self.fleet.settings.limits.max_attempts
    }

    /// Returns the time from which an answer is of no use to the client.
    fn answer_deadline(&self, request: &Request) -> Timestamp {
        let class = self.class(request);
        // An idempotent read whose answer has no value after the latency objective should not
        // occupy capacity after it.
        let is_worthless_when_late = class.late_weight == 0.0
            && class.idempotency == Idempotency::Idempotent
            && class.objective_stretch == 0.0;
        if is_worthless_when_late {
            let objective_ends_at = request.arrived_at + class.latency_objective;
            return request.deadline.min(objective_ends_at);
        }
        request.deadline
    }

    /// Returns the time after which an attempt is unlikely to be answered in time.
    pub(super) fn latest_send_time(&self, request: &Request) -> Timestamp {
        let usual_latency = self.fleet.class_latency.usual(request.class);
        let time_to_answer = TimeDelta::from_nanos_f64(usual_latency * MIN_LATENCIES_LEFT);
        let margin = DEADLINE_MARGIN_TICKS * self.fleet.settings.tick;
        (self.answer_deadline(request) - time_to_answer).min(request.deadline - margin)
    }

    /// Returns whether the failover plan admits a request of this class. While a site is lost, the
    /// plan rejects a share of each class at once, and tells the clients how long to wait before
    /// they retry.
    pub(super) fn failover_plan_admits(&mut self, class: usize) -> bool {
        match self.failover.admitted_share.get(class) {
            Some(&share) if share < 1.0 => self.rng.rand_float() < share,
            _ => true,
        }
    }

    /// Returns whether the member has capacity for one more request, within this share of its
    /// capacity.
    pub(super) fn has_capacity(&self, id: MemberId, request: &Request, share: f64) -> bool {
        let has_capacity = if !self.fleet.is_large() {
            self.is_below_gateway_limit(self.fleet.member(id), share)
        } else if self.fleet.settings.in_flight_reported {
            self.is_below_shared_limit(id, share)
        } else {
            self.has_idle_cores(self.fleet.member(id), request, share)
        };
        has_capacity && self.slow_start_admits(id, request)
    }

    /// Returns whether the member is below this gateway's own concurrency limit.
    fn is_below_gateway_limit(&self, member: &Member, share: f64) -> bool {
        let limit = member.concurrency_limit.limit * share;
        let in_flight = f64::from(member.load.in_flight);
        // With a limit below one, requests are sent one at a time, and each is followed by a pause
        // in proportion to its usual latency.
        let pause_has_ended = self.fleet.now >= member.concurrency_limit.next_send_at;
        let next_is_due = limit < 1.0 && in_flight == 0.0 && pause_has_ended;
        next_is_due || in_flight + 1.0 <= limit
    }

    /// Returns whether the member is below the shared concurrency limit, by the number of requests
    /// in flight that it reports (large fleets only).
    fn is_below_shared_limit(&self, id: MemberId, share: f64) -> bool {
        let member = self.fleet.member(id);
        let in_flight_of_others = self.fleet.conservative_in_flight_of_others(id);
        let limit = self.fleet.shared_limit.limit * member.identity.size * share;
        in_flight_of_others + f64::from(member.load.in_flight) + 1.0 <= limit.max(1.0)
    }

    /// Returns whether the member has idle cores for the request, by the share of cores in use that
    /// it reports (large fleets only). An overloaded member serves all its requests too late, so a
    /// share of the requests is withheld from it; writes are shed last.
    fn has_idle_cores(&self, member: &Member, request: &Request, share: f64) -> bool {
        let load = &member.load;
        let class_shed_share = if self.class(request).freshness == Freshness::Write {
            2.0 * load.shed_share - 1.0
        } else {
            load.shed_share
        };
        let shared = self.fleet.has_shared_health_checks(request.group);
        let shed_share = class_shed_share * f64::from(shared);
        let idle_cores = (1.0 - load.cores_in_use) / PRIMARY_CORE_RESERVE;
        (share >= 1.0 || request.sample < idle_cores) && request.sample < 1.0 - shed_share
    }

    /// Returns whether the member's slow start and the recovery ramp of its zone, if any, admit the
    /// request.
    ///
    /// The load budget of a member in slow start is `overload_multiple` times its current capacity.
    /// Any number of gateways stay within it without coordination, because each admits the same
    /// share of its requests, by a random number that is drawn once for each request.
    fn slow_start_admits(&self, id: MemberId, request: &Request) -> bool {
        let in_slow_start = self.fleet.warm_up_share(id) < 1.0;
        self.recovery_ramp_admits(id, request)
            && (!in_slow_start || self.slow_start_budget_admits(id, request))
    }

    /// Returns whether the recovery ramp of the member's zone admits the request. A zone on a ramp
    /// gets only its share of the reads. Requests that require the primary are always admitted,
    /// because no other zone can take them.
    fn recovery_ramp_admits(&self, id: MemberId, request: &Request) -> bool {
        let zone = self.fleet.member(id).identity.zone;
        let requires_primary = self.fleet.requires_primary(request.class);
        let mut ramps = self.failover.recovery_ramps.iter();
        ramps.all(|ramp| ramp.zone != zone || request.sample < ramp.share || requires_primary)
    }

    /// Returns whether a member in slow start can take the request: the request is within the share
    /// that the member's capacity allows, and is not held back as part of the backlog that built up
    /// while the member was away. A read must also be assigned to this member and be short, because
    /// a long one would use up the budget alone.
    fn slow_start_budget_admits(&self, id: MemberId, request: &Request) -> bool {
        let rules = &self.fleet.settings.rules;
        let total_warm_up_share = self.total_warm_up_share(id, request);
        let requires_primary = self.fleet.requires_primary(request.class);
        let group = &self.fleet.groups[&self.fleet.member(id).identity.group];
        // Reads are divided among the members by the capacity that they have reached; requests that
        // require the primary are not divided.
        let capacity = if requires_primary {
            self.fleet.warm_up_share(id)
        } else {
            total_warm_up_share / group.full_size.max(1) as f64
        };
        let admitted_share = rules.overload_multiple * SLOW_START_BUDGET_SHARE * capacity;
        let normalized_sample = request.sample / admitted_share;
        if request.sample >= admitted_share
            || self.is_backlog_to_hold(id, request, normalized_sample)
        {
            return false;
        }
        requires_primary
            || self.is_assigned_to(id, normalized_sample, total_warm_up_share)
                && self.fleet.is_short_enough_for_slow_start(request.class)
    }

    /// Returns the sum of the capacity shares reached in slow start by this member and by the
    /// members that can serve the request in its place. Failed and draining members are left out,
    /// because the requests that they would have served go to the remaining members as well.
    fn total_warm_up_share(&self, id: MemberId, request: &Request) -> f64 {
        let group = &self.fleet.groups[&self.fleet.member(id).identity.group];
        let is_available = |other: MemberId| {
            other == id || !self.fleet.is_suspected(other) && self.is_available_for(other, request)
        };
        (group.members.iter().copied())
            .filter(|&other| is_available(other))
            .map(|other| self.fleet.warm_up_share(other))
            .sum::<f64>()
    }

    /// Returns whether the request arrived before the member recovered and must still wait. The
    /// backlog that built up while the member was away must not be sent all at once, so each of its
    /// requests is released at its own time within one `overload_window` after the recovery.
    fn is_backlog_to_hold(&self, id: MemberId, request: &Request, normalized_sample: f64) -> bool {
        let window = self.fleet.settings.rules.overload_window;
        let recovered_at = self.fleet.member(id).reachability.recovered_at;
        let release_delay = TimeDelta::from_nanos_f64(normalized_sample * window.as_nanos_f64());
        request.arrived_at < recovered_at && self.fleet.now - recovered_at < release_delay
    }

    /// Returns whether the member is one of those that the read is assigned to. Each read is
    /// assigned to only some of the members in slow start, so that no single member, least of all
    /// the primary, gets all reads. The primary is assigned fewer reads than a replica.
    fn is_assigned_to(
        &self,
        id: MemberId,
        normalized_sample: f64,
        total_warm_up_share: f64,
    ) -> bool {
        let group_id = self.fleet.member(id).identity.group;
        let is_primary = self.fleet.primary(group_id) == Some(id);
        let share = if is_primary { PRIMARY_READ_SHARE } else { 1.0 };
        let concentration = SLOW_START_MAX_CONCENTRATION * share;
        let distance = self.fleet.groups[&group_id].distance_from(id, normalized_sample);
        distance < concentration * self.fleet.warm_up_share(id) / total_warm_up_share
    }
}
