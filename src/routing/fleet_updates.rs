//! Updates to the state of the fleet: from the endpoint list, from attempts that end, and from
//! reports.

use super::concurrency_limit::{ConcurrencyLimit, Promptness};
use super::endpoint::{Endpoint, LoadReport, ReplicationStatus, SharedHealthCheck};
use super::event::{Outcome, StreamEnd};
use super::fleet::Fleet;
use super::identifiers::{GroupId, MemberId, SessionId};
use super::latency::SAMPLE_WEIGHT;
use super::member::{Member, ProcessChange};
use super::session_commits::latest_commit_position;
use super::settings::{Settings, StalenessCheck};
use super::time::{TimeDelta, Timestamp};
use std::collections::BTreeSet;

/// Result of an attempt at a member.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptResult {
    /// Member that the attempt was sent to.
    pub(super) member: MemberId,
    /// Class of the request.
    pub(super) class: usize,
    /// Session of the request.
    pub(super) session: Option<SessionId>,
    /// Position that the member had to reach to serve the request.
    pub(super) required_position: Timestamp,
    /// How the attempt ended.
    pub(super) outcome: Outcome,
    /// Time from the sending of the attempt to its end.
    pub(super) elapsed: TimeDelta,
    /// Role and position of the member as given in the answer.
    pub(super) status: Option<ReplicationStatus>,
    /// Load report that was part of the answer.
    pub(super) report: Option<LoadReport>,
}

impl Fleet {
    /// Adopts new settings. `measurements_from` gives, for each class, the old class whose
    /// measurements it takes over.
    pub(super) fn change_settings(
        &mut self,
        settings: &Settings,
        measurements_from: &[Option<usize>],
    ) {
        self.class_latency
            .change_classes(&settings.classes, measurements_from);
        self.settings = settings.clone();
    }

    /// Applies the endpoint list, or changes to it. Changes affect only the members that they list,
    /// and those members' groups.
    pub(super) fn apply_endpoint_list(&mut self, complete: bool, endpoints: &[Endpoint]) {
        if complete {
            for member in self.members.values_mut() {
                member.service.removed = true;
            }
        }
        for endpoint in endpoints {
            self.apply_endpoint(endpoint);
        }
        let affected: BTreeSet<MemberId> = if complete {
            self.members.keys().copied().collect()
        } else {
            endpoints.iter().map(|endpoint| endpoint.member).collect()
        };
        let mut groups = BTreeSet::new();
        for id in affected {
            self.record_removal(id);
            groups.insert(self.member(id).identity.group);
        }
        self.forget_removed_members();
        for id in groups {
            let group = self.groups.get_mut(&id).expect("groups stay known");
            group.endpoints_changed(&self.members);
            self.selection.group_changed(id);
        }
    }

    /// Records whether a member is removed, and since when.
    fn record_removal(&mut self, id: MemberId) {
        let now = self.now;
        let service = &mut self.member_mut(id).service;
        if service.removed {
            service.removed_at = service.removed_at.min(now);
            self.removed_members.insert(id);
        } else {
            service.removed_at = Timestamp::MAX;
            self.removed_members.remove(&id);
        }
    }

    fn apply_endpoint(&mut self, endpoint: &Endpoint) {
        if !self.members.contains_key(&endpoint.member) {
            let group = self.groups.entry(endpoint.group).or_default();
            group.members.push(endpoint.member);
            let shared_at = group.health_checks.shared_result_at();
            let queue = &mut self.health_check_queue;
            if !queue.is_shared(endpoint.group, shared_at) {
                queue.insert(endpoint.member, Timestamp::ZERO);
            }
        }
        let limit = ConcurrencyLimit::initial(self.settings.gateway_count);
        let member = self
            .members
            .entry(endpoint.member)
            .or_insert_with(|| Box::new(Member::new(endpoint, limit)));
        if member.apply_endpoint(endpoint, self.now) == ProcessChange::Restarted {
            member.concurrency_limit.limit = member.concurrency_limit.limit.min(limit);
        }
    }

    /// Drops removed members where nothing is in flight. A member that was removed without a drain
    /// is dropped only when its replacements have had time to warm up.
    fn forget_removed_members(&mut self) {
        let removal_cutoff = self.now - 2 * self.settings.rules.warm_up_time;
        let is_forgotten = |id: &MemberId| {
            let member = self.member(*id);
            !self.accepts_requests(member) && member.can_be_forgotten(removal_cutoff)
        };
        let removed = self.removed_members.iter().copied();
        let forgotten: Vec<MemberId> = removed.filter(is_forgotten).collect();
        for id in forgotten {
            self.forget_member(id);
        }
    }

    fn forget_member(&mut self, id: MemberId) {
        let Some(member) = self.members.remove(&id) else {
            return;
        };
        self.removed_members.remove(&id);
        let sent_at = member.health_check.sent_at;
        self.health_check_queue.forget(id, sent_at);
        let group = self.group_mut(member.identity.group);
        group.members.retain(|&other| other != id);
    }

    /// Records that a request of this class is sent to a member.
    pub(super) fn request_sent(&mut self, id: MemberId, class: usize) {
        let now = self.now;
        let usual_latency = self.class_latency.usual(class);
        let connect_timeout = self.settings.limits.connect_timeout;
        let member = self.member_mut(id);
        member.load.in_flight += 1;
        member.concurrency_limit.request_sent(now, usual_latency);
        member
            .reachability
            .request_sent(now, usual_latency, connect_timeout);
        self.reachability_changed(id);
    }

    /// Applies the result of an attempt to the state of its member.
    pub(super) fn attempt_ended(&mut self, result: &AttemptResult) {
        self.apply_outcome(result);
        if let Some(status) = result.status {
            self.apply_status(result.member, status);
        }
        if !result.outcome.never_ran() {
            self.record_session_write(result.class, result.session, result.status);
        }
        if let Some(report) = result.report {
            self.apply_report(result.member, report);
        }
        if result.outcome == Outcome::Unsuitable {
            self.rejected_as_unsuitable(result);
        }
    }

    /// Applies what the end of a streamed answer tells about its member and its session.
    pub(super) fn stream_ended(&mut self, end: &StreamEnd) {
        let status = end
            .status
            .filter(|_| self.members.contains_key(&end.member));
        if let Some(status) = status {
            self.apply_status(end.member, status);
        }
        self.record_session_write(end.class, end.session, end.status);
    }

    /// Applies the outcome of an attempt to the member's health, latency and limits.
    fn apply_outcome(&mut self, result: &AttemptResult) {
        let id = result.member;
        let class = result.class;
        let outcome = result.outcome;
        let elapsed = result.elapsed;
        let objective = self.settings.classes[class].latency_objective;
        let connect_timeout = self.settings.limits.connect_timeout;
        let usual_latency = self.class_latency.usual(class);
        let lifetime = self.observation_lifetime();
        let now = self.now;
        let member = self.member_mut(id);
        let weight = member.reachability.observation_weight(now, lifetime);
        member.load.in_flight = member.load.in_flight.saturating_sub(1);
        let in_flight = member.load.in_flight;
        member.reachability.attempt_ended(outcome, in_flight, now);
        member.ejection.attempt_ended(outcome, now, connect_timeout);
        match outcome {
            Outcome::Ok => {
                member.reachability.record_answer(now);
                member.latency.record(elapsed, usual_latency, weight);
                self.class_latency.record(class, elapsed);
                self.adjust_limits(id, class, Promptness::from_latency(elapsed, objective));
            }
            Outcome::Full => self.decrease_limits(id, class),
            Outcome::TimedOut => {
                if Promptness::timeout_counts_as_late(elapsed, objective) {
                    self.decrease_limits(id, class);
                }
                // A member that still answers other requests is slow, but can be reached.
                let last_answered_at = self.member(id).reachability.last_answered_at;
                if last_answered_at + connect_timeout < now {
                    self.record_unreachable(id);
                }
            }
            Outcome::ConnectFailed | Outcome::Reset => self.record_unreachable(id),
            Outcome::Error | Outcome::Cancelled | Outcome::NotSent | Outcome::Unsuitable => {}
        }
        self.reachability_changed(id);
    }

    /// Adjusts the concurrency limits after an answer.
    fn adjust_limits(&mut self, id: MemberId, class: usize, promptness: Promptness) {
        match promptness {
            Promptness::Prompt => {
                let gateway_count = self.settings.gateway_count;
                self.member_mut(id)
                    .concurrency_limit
                    .increase(gateway_count);
                self.shared_limit.increase();
            }
            Promptness::InTime => {}
            Promptness::Late => self.decrease_limits(id, class),
        }
    }

    /// Lowers the concurrency limits after a late answer or a rejection.
    fn decrease_limits(&mut self, id: MemberId, class: usize) {
        let now = self.now;
        let usual_latency = self.class_latency.usual(class);
        let member = self.member_mut(id);
        if member.concurrency_limit.decrease(now, usual_latency) {
            let in_flight_of_others = member.load.in_flight_of_others;
            let size = member.identity.size;
            self.shared_limit.decrease(in_flight_of_others, size);
        }
    }

    /// Records a failure to reach a member.
    fn record_unreachable(&mut self, id: MemberId) {
        let now = self.now;
        let connect_timeout = self.settings.limits.connect_timeout;
        self.member_mut(id)
            .reachability
            .record_failure(now, connect_timeout);
        self.reachability_changed(id);
    }

    /// Applies the status that an answer contains.
    fn apply_status(&mut self, id: MemberId, status: ReplicationStatus) {
        let now = self.now;
        let member = self.member_mut(id);
        member.replication.apply_status(status, now);
    }

    /// Stores the position of a write that may have run for its session, if session reads do not
    /// carry the age of their session's last write. Where the position is unknown, it is no later
    /// than now.
    fn record_session_write(
        &mut self,
        class: usize,
        session: Option<SessionId>,
        status: Option<ReplicationStatus>,
    ) {
        let stores_commit = self.is_write(class) && !self.settings.last_write_age_carried;
        let Some(session) = session.filter(|_| stores_commit) else {
            return;
        };
        let position = latest_commit_position(status, self.now);
        self.session_commits.record(session, position);
    }

    /// Applies a load report from an answer or from a health check of this gateway.
    fn apply_report(&mut self, id: MemberId, report: LoadReport) {
        let now = self.now;
        let member = (self.members.get_mut(&id)).expect("a member that answers is known");
        member.replication.apply_report(report, now);
        if let Some(in_flight) = report.in_flight {
            member.load.apply_in_flight_report(in_flight, now);
            self.load
                .apply_member_report(&member.load, member.identity.size);
        }
    }

    /// Applies a member's rejection of a request for which it is unsuitable. If the request was a
    /// write, the member counts as a replica, whatever its last known role. If it was a read, the
    /// member's lag counts as larger than the read allows.
    fn rejected_as_unsuitable(&mut self, result: &AttemptResult) {
        let now = self.now;
        let known_lag = self.lag(result.member);
        let is_write = self.is_write(result.class);
        let replication = &mut self.member_mut(result.member).replication;
        if is_write {
            replication.last_replica_at = now;
        } else if result.required_position > Timestamp::ZERO {
            let least_lag = now - result.required_position + TimeDelta::NANOSECOND;
            replication.measure_lag(known_lag.max(least_lag), now);
        }
    }

    /// Applies the result of a health check of this gateway.
    pub(super) fn apply_health_check(
        &mut self,
        id: MemberId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let now = self.now;
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        member.health_check.outstanding = false;
        let group = member.identity.group;
        match outcome {
            Outcome::Ok => member.reachability.record_answer(now),
            Outcome::ConnectFailed | Outcome::Reset | Outcome::TimedOut => {
                self.record_unreachable(id)
            }
            _ => {}
        }
        self.selection.group_changed(group);
        if let Some(report) = report {
            self.apply_report(id, report);
        }
    }

    /// Applies health check results that gateways share. They are ignored where members do not
    /// check reads for staleness, because a wrong result from another gateway would cause stale
    /// reads.
    pub(super) fn apply_shared_health_checks(&mut self, results: &[SharedHealthCheck]) {
        if self.settings.staleness_check == StalenessCheck::None {
            return;
        }
        // The results of one round belong to the same group, which is updated only once per round.
        let mut last = None;
        for result in results {
            let group = self.apply_shared_health_check(result);
            let round = group.map(|group| (group, result.at));
            if let Some((group, obtained_at)) = round.filter(|_| round != last) {
                last = round;
                self.record_shared_result(group, obtained_at);
                self.schedule_selection(group);
            }
        }
    }

    /// Schedules selection for the queued requests of a group, if it has any, after a change to its
    /// state.
    fn schedule_selection(&mut self, id: GroupId) {
        let group = self.group_mut(id);
        if group.has_queued_requests() {
            self.selection.group_changed(id);
        } else {
            group.health_checks.reset_needs();
        }
    }

    /// Applies the result for one member. Returns the member's group, or `None` if the member is
    /// unknown.
    fn apply_shared_health_check(&mut self, result: &SharedHealthCheck) -> Option<GroupId> {
        let member = self.members.get_mut(&result.member)?;
        let group = member.identity.group;
        let size = member.identity.size;
        let is_newest = result.at >= member.load.reported_at;
        if let Some(cores_in_use) = result.report.cores_in_use {
            if is_newest && !self.settings.in_flight_reported {
                member
                    .load
                    .apply_cores_report(cores_in_use, size, result.at);
                self.load.apply_member_report(&member.load, size);
            }
        }
        if !member.replication.apply_report(result.report, result.at) {
            return Some(group);
        }
        // A primary's position is the time of its report, so it shows how old reports are on
        // arrival.
        match result.report.position {
            Some(position) if result.report.primary == Some(true) => {
                let age = (result.at - position).as_nanos_f64();
                self.load.report_age += SAMPLE_WEIGHT * (age - self.load.report_age);
            }
            Some(_) => {
                let lag = member.replication.lag - TimeDelta::from_nanos_f64(self.load.report_age);
                member.replication.lag = lag.max(TimeDelta::ZERO);
            }
            None => {}
        }
        Some(group)
    }
}
