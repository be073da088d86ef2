//! Schedule and budget of health checks: which are due, and how many the requests pay for.
//!
//! Health checks carry no request. They look for a primary, prove how recent a replica is, and
//! bring load reports.

use super::fleet::Fleet;
use super::identifiers::{GroupId, MemberId};
use super::time::{TimeDelta, Timestamp};

/// Health checks on demand that each request pays for: as many as cost this share of the priority
/// weight ...
const ON_DEMAND_SHARE_OF_WEIGHT: f64 = 0.04;
/// ... but at most this many.
const MAX_ON_DEMAND_PER_REQUEST: f64 = 2.0;
/// Periodic health checks that each request pays for.
const PERIODIC_PER_REQUEST: f64 = 0.1;
/// Health checks that may be saved up, of each kind.
const BUDGET_CAPACITY: f64 = 12.0;
/// A member that may be the new primary is checked this many times in a connect timeout.
const PRIMARY_SEARCHES_PER_TIMEOUT: i64 = 5;
/// A member is checked for its position or its load this many times in a connect timeout.
const POSITION_CHECKS_PER_TIMEOUT: i64 = 4;
/// Shared health checks are recent for this many connect timeouts.
const SHARED_CHECK_LIFETIME: i64 = 4;
/// Members that are not suspected are checked once in this many connect timeouts, which is also how
/// long observations of a member count: several failed connections fit into that time.
pub(super) const OBSERVATION_LIFETIME: f64 = 8.0;

/// Health checks of one member.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberHealthCheck {
    /// When the last one was sent.
    pub(super) sent_at: Timestamp,
    /// It has not been answered.
    pub(super) outstanding: bool,
}

impl MemberHealthCheck {
    /// The last one was sent this interval ago, and is over.
    fn is_due(&self, now: Timestamp, interval: TimeDelta) -> bool {
        !self.outstanding && now - self.sent_at >= interval
    }

    /// One is sent now.
    pub(super) fn sent(&mut self, now: Timestamp) {
        self.sent_at = now;
        self.outstanding = true;
    }
}

/// What queued requests wait for.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UnmetNeeds {
    /// A primary that answers.
    pub(super) primary: bool,
    /// Proof that a replica's data are no older than this; zero for none such.
    pub(super) replica_position_age: TimeDelta,
    /// How long a request has waited for a report that the primary has room; 0 for none such.
    pub(super) primary_load_wait: TimeDelta,
}

impl UnmetNeeds {
    /// A request has waited this long for a report of the primary's load. The youngest request
    /// counts, as the interval of these health checks grows with the time that it has waited.
    pub(super) fn add_primary_load_wait(&mut self, waited: TimeDelta) {
        if self.primary_load_wait == TimeDelta::ZERO || waited < self.primary_load_wait {
            self.primary_load_wait = waited;
        }
    }
}

/// Health checks of a group on behalf of its queued requests.
#[derive(Clone, Debug, Default)]
pub(super) struct GroupHealthChecks {
    /// What they are needed for.
    pub(super) needs: UnmetNeeds,
    /// Since when a primary has been sought.
    primary_sought_since: Option<Timestamp>,
    /// When a replica's position was last checked.
    position_checked_at: Timestamp,
    /// When a result was last obtained by a gateway that shares its results.
    shared_result_at: Timestamp,
}

impl GroupHealthChecks {
    /// Queued requests are selected for again, and say anew what they need.
    pub(super) fn reset_needs(&mut self) {
        if !self.needs.primary {
            self.primary_sought_since = None;
        }
        self.needs = UnmetNeeds::default();
    }

    /// When a result was last obtained by a gateway that shares its results.
    pub(super) fn shared_result_at(&self) -> Timestamp {
        self.shared_result_at
    }

    /// A result was obtained then by a gateway that shares its results.
    pub(super) fn shared_result(&mut self, obtained_at: Timestamp) {
        self.shared_result_at = self.shared_result_at.max(obtained_at);
    }

    /// A position is needed, and the last check for one is long enough ago.
    pub(super) fn position_check_due(&self, now: Timestamp, connect_timeout: TimeDelta) -> bool {
        let interval = connect_timeout / POSITION_CHECKS_PER_TIMEOUT;
        self.needs.replica_position_age > TimeDelta::ZERO
            && now - self.position_checked_at >= interval
    }

    /// A position is checked now.
    pub(super) fn position_checked(&mut self, now: Timestamp) {
        self.position_checked_at = now;
    }

    /// A search for the primary starts now unless it is under way. The interval between checks of a
    /// member grows with it.
    fn primary_search_interval(&mut self, now: Timestamp, connect_timeout: TimeDelta) -> TimeDelta {
        let since = *self.primary_sought_since.get_or_insert(now);
        (connect_timeout / PRIMARY_SEARCHES_PER_TIMEOUT).max((now - since) / 2)
    }
}

/// Health checks that requests have paid for. An idle gateway sends none, so that they do not grow
/// with the fleet.
#[derive(Clone, Debug)]
pub(super) struct HealthCheckBudget {
    on_demand: f64,
    periodic: f64,
}

impl HealthCheckBudget {
    /// A full budget.
    pub(super) fn new() -> Self {
        HealthCheckBudget {
            on_demand: BUDGET_CAPACITY,
            periodic: BUDGET_CAPACITY,
        }
    }

    /// A request has come in. `price` is what a health check for each request costs, as a share of
    /// all priority weight.
    pub(super) fn deposit(&mut self, price: f64) {
        let affordable = ON_DEMAND_SHARE_OF_WEIGHT / price.max(f64::EPSILON);
        let on_demand = affordable.min(MAX_ON_DEMAND_PER_REQUEST);
        self.on_demand = (self.on_demand + on_demand).min(BUDGET_CAPACITY);
        self.periodic = (self.periodic + PERIODIC_PER_REQUEST).min(BUDGET_CAPACITY);
    }

    /// Pays for a health check on demand, if it can.
    pub(super) fn withdraw_on_demand(&mut self) -> bool {
        withdraw_one(&mut self.on_demand)
    }

    /// Pays for a periodic health check, if it can.
    pub(super) fn withdraw_periodic(&mut self) -> bool {
        withdraw_one(&mut self.periodic)
    }

    /// The periodic health checks that it can pay for.
    pub(super) fn affordable_periodic(&self) -> usize {
        self.periodic as usize
    }
}

fn withdraw_one(tokens: &mut f64) -> bool {
    let covered = *tokens >= 1.0;
    if covered {
        *tokens -= 1.0;
    }
    covered
}

impl Fleet {
    /// Gateways that share their health checks have lately obtained results for this group: no
    /// others are needed.
    pub(super) fn has_shared_health_checks(&self, group: GroupId) -> bool {
        let lifetime = self.shared_check_lifetime();
        let recent = |at: Timestamp| self.now - at < lifetime;
        self.groups
            .get(&group)
            .is_some_and(|group| recent(group.health_checks.shared_result_at))
    }

    /// How long a shared result is recent.
    fn shared_check_lifetime(&self) -> TimeDelta {
        SHARED_CHECK_LIFETIME * self.settings.limits.connect_timeout
    }

    /// The members that are due next for a periodic health check, `limit` of them at most:
    /// suspected ones first, then those checked longest ago. Suspected members are due after each
    /// connect timeout, the others more rarely.
    pub(super) fn periodic_health_checks_due(&mut self, limit: usize) -> Vec<MemberId> {
        self.requeue_groups_without_shared_checks();
        let timeout = self.settings.limits.connect_timeout;
        let interval = timeout * OBSERVATION_LIFETIME as i64;
        let queue = &self.health_check_queue;
        let mut due: Vec<MemberId> = (queue.doubtful())
            .filter(|&id| self.is_suspected(id) && self.periodic_check_is_due(id, timeout))
            .collect();
        due.sort_by_key(|&id| self.member(id).health_check.sent_at);
        let others = (queue.checked_before(self.now, interval))
            .filter(|&id| !self.is_suspected(id) && self.periodic_check_is_due(id, interval))
            .take(limit.saturating_sub(due.len()));
        due.extend(others);
        due.truncate(limit);
        due
    }

    fn periodic_check_is_due(&self, id: MemberId, interval: TimeDelta) -> bool {
        let member = self.member(id);
        member.health_check.is_due(self.now, interval)
            && self.accepts_requests(member)
            && !self.has_shared_health_checks(member.identity.group)
    }

    /// Puts the members of groups whose shared results are not recent any more back into the queue.
    fn requeue_groups_without_shared_checks(&mut self) {
        let recent = self.now - self.shared_check_lifetime();
        while let Some(group) = self.health_check_queue.take_outdated_group(recent) {
            for &id in &self.groups[&group].members {
                let sent_at = self.members[&id].health_check.sent_at;
                self.health_check_queue.insert(id, sent_at);
            }
        }
    }

    /// A result of the group was obtained then by a gateway that shares its results.
    pub(super) fn shared_result(&mut self, group_id: GroupId, obtained_at: Timestamp) {
        let group = (self.groups.get_mut(&group_id)).expect("the group of a known member is known");
        let earlier = group.health_checks.shared_result_at();
        if obtained_at <= earlier && self.health_check_queue.is_shared(group_id, earlier) {
            return;
        }
        group.health_checks.shared_result(obtained_at);
        let latest = group.health_checks.shared_result_at();
        let queue = &mut self.health_check_queue;
        if queue.shared_result(group_id, earlier, latest) {
            for &id in &group.members {
                queue.remove(id, self.members[&id].health_check.sent_at);
            }
        }
    }

    /// A health check of the member is sent now.
    pub(super) fn health_check_sent(&mut self, id: MemberId) {
        let now = self.now;
        let health_check = &mut self.member_mut(id).health_check;
        let earlier = health_check.sent_at;
        health_check.sent(now);
        self.health_check_queue.check_sent(id, earlier, now);
    }

    /// What was learnt of the member's reachability has changed.
    pub(super) fn reachability_changed(&mut self, id: MemberId) {
        let doubtful = self.member(id).reachability.may_be_suspected(self.now);
        self.health_check_queue.set_doubtful(id, doubtful);
    }

    /// Members of a group that are due for a check whether they are the new primary.
    pub(super) fn primary_search_due(&mut self, group: GroupId) -> Vec<MemberId> {
        let now = self.now;
        let timeout = self.settings.limits.connect_timeout;
        let health_checks = &mut self.group_mut(group).health_checks;
        let interval = health_checks.primary_search_interval(now, timeout);
        (self.groups[&group].members.iter().copied())
            .filter(|&id| self.member(id).health_check.is_due(now, interval))
            .collect()
    }

    /// Replicas of a group that may prove a recent position. One whose last reports came too old to
    /// prove anything is not checked again so soon.
    pub(super) fn position_check_candidates(&self, group_id: GroupId) -> Vec<MemberId> {
        let interval = self.settings.limits.connect_timeout / POSITION_CHECKS_PER_TIMEOUT;
        let group = &self.groups[&group_id];
        let needed_age = group.health_checks.needs.replica_position_age;
        let primary = self.primary(group_id);
        let may_prove = |id: MemberId| {
            let due = self.member(id).health_check.is_due(self.now, interval);
            due && needed_age >= self.lag(id)
                && Some(id) != primary
                && self.in_service(id)
                && !self.is_suspected(id)
        };
        (group.members.iter().copied())
            .filter(|&id| may_prove(id))
            .collect()
    }

    /// The primary, if queued requests need to hear whether it has room and it is due for a check.
    pub(super) fn primary_load_check_due(&self, group_id: GroupId) -> Option<MemberId> {
        let waited = self.groups[&group_id].health_checks.needs.primary_load_wait;
        let timeout = self.settings.limits.connect_timeout;
        let interval = (timeout / POSITION_CHECKS_PER_TIMEOUT).max(waited / 2);
        self.primary(group_id).filter(|&id| {
            waited > TimeDelta::ZERO && self.member(id).health_check.is_due(self.now, interval)
        })
    }
}
