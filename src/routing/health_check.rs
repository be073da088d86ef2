//! Schedule and budget of health checks: which checks are due, and how many of them the requests
//! pay for.
//!
//! Health checks carry no request. They are sent to find a primary, to confirm how recent a replica
//! is, and to obtain load reports.

use super::fleet::Fleet;
use super::identifiers::{GroupId, MemberId};
use super::time::{TimeDelta, Timestamp};

/// Cost of the on-demand health checks that each request pays for, as a share of the total priority
/// weight. Divided by `health_check_price`, it gives the number of checks.
const ON_DEMAND_SHARE_OF_WEIGHT: f64 = 0.04;
/// Maximum number of on-demand health checks that each request pays for.
const MAX_ON_DEMAND_PER_REQUEST: f64 = 2.0;
/// Number of periodic health checks that each request pays for.
const PERIODIC_PER_REQUEST: f64 = 0.1;
/// Maximum number of health checks in the budget, of each kind.
const BUDGET_CAPACITY: f64 = 12.0;
/// Maximum number of checks of a possible new primary per connect timeout.
const PRIMARY_SEARCHES_PER_TIMEOUT: i64 = 5;
/// Maximum number of checks of a member's position or load per connect timeout.
const POSITION_CHECKS_PER_TIMEOUT: i64 = 4;
/// Number of connect timeouts for which shared health checks are recent.
const SHARED_CHECK_LIFETIME: i64 = 4;
/// Interval between checks of a member that is not suspected, in connect timeouts. It is also the
/// time for which observations of a member count, and is long enough for several connections to
/// fail within it.
pub(super) const OBSERVATION_LIFETIME: f64 = 8.0;

/// State of one member's health checks.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberHealthCheck {
    /// When the last health check was sent.
    pub(super) sent_at: Timestamp,
    /// Whether the last health check has not ended yet.
    pub(super) outstanding: bool,
}

impl MemberHealthCheck {
    /// Returns whether the last health check has ended and was sent at least `interval` ago.
    fn is_due(&self, now: Timestamp, interval: TimeDelta) -> bool {
        !self.outstanding && now - self.sent_at >= interval
    }

    /// Records that a health check is sent now.
    pub(super) fn record_sent(&mut self, now: Timestamp) {
        self.sent_at = now;
        self.outstanding = true;
    }
}

/// What the queued requests of a group wait for.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UnmetNeeds {
    /// Whether a request waits for a primary that answers.
    pub(super) primary: bool,
    /// Largest data age that any waiting request accepts from a replica, which a health check must
    /// confirm; zero if no request waits for that.
    pub(super) replica_position_age: TimeDelta,
    /// Shortest time that any request has waited for a report of the primary's load, which must
    /// show whether the primary has capacity; zero if no request waits for that.
    pub(super) primary_load_wait: TimeDelta,
}

impl UnmetNeeds {
    /// Adds a request that has waited this long for a report of the primary's load. The shortest
    /// wait is kept, because the interval between these health checks grows with it.
    pub(super) fn add_primary_load_wait(&mut self, waited: TimeDelta) {
        if self.primary_load_wait == TimeDelta::ZERO || waited < self.primary_load_wait {
            self.primary_load_wait = waited;
        }
    }
}

/// State of the health checks that are sent for a group's queued requests.
#[derive(Clone, Debug, Default)]
pub(super) struct GroupHealthChecks {
    /// What the queued requests wait for.
    pub(super) needs: UnmetNeeds,
    /// When the current search for a primary started.
    primary_search_started_at: Option<Timestamp>,
    /// When a replica's position was last checked.
    position_checked_at: Timestamp,
    /// When a gateway that shares its results last obtained one for this group.
    shared_result_at: Timestamp,
}

impl GroupHealthChecks {
    /// Clears the needs, which selection collects anew when it runs again. Ends the search for a
    /// primary if no request has needed one since the last call.
    pub(super) fn reset_needs(&mut self) {
        if !self.needs.primary {
            self.primary_search_started_at = None;
        }
        self.needs = UnmetNeeds::default();
    }

    /// Returns when a gateway that shares its results last obtained one for this group.
    pub(super) fn shared_result_at(&self) -> Timestamp {
        self.shared_result_at
    }

    /// Records that a gateway that shares its results obtained one at `obtained_at`.
    pub(super) fn record_shared_result(&mut self, obtained_at: Timestamp) {
        self.shared_result_at = self.shared_result_at.max(obtained_at);
    }

    /// Returns whether a request needs a replica's position and the last check for one was sent
    /// long enough ago.
    pub(super) fn position_check_due(&self, now: Timestamp, connect_timeout: TimeDelta) -> bool {
        let interval = connect_timeout / POSITION_CHECKS_PER_TIMEOUT;
        self.needs.replica_position_age > TimeDelta::ZERO
            && now - self.position_checked_at >= interval
    }

    /// Records that a replica's position is checked now.
    pub(super) fn record_position_check(&mut self, now: Timestamp) {
        self.position_checked_at = now;
    }

    /// Starts a search for the primary unless one is in progress. Returns the interval between
    /// checks of a member, which grows with the duration of the search.
    fn primary_search_interval(&mut self, now: Timestamp, connect_timeout: TimeDelta) -> TimeDelta {
        let since = *self.primary_search_started_at.get_or_insert(now);
        (connect_timeout / PRIMARY_SEARCHES_PER_TIMEOUT).max((now - since) / 2)
    }
}

/// Token buckets for health checks, filled by requests. An idle gateway sends no health checks, so
/// that their number does not grow with the fleet.
#[derive(Clone, Debug)]
pub(super) struct HealthCheckBudget {
    on_demand: f64,
    periodic: f64,
}

impl HealthCheckBudget {
    /// Creates a full budget.
    pub(super) fn new() -> Self {
        HealthCheckBudget {
            on_demand: BUDGET_CAPACITY,
            periodic: BUDGET_CAPACITY,
        }
    }

    /// Adds the tokens of a new request. `price` is the cost of sending one health check for each
    /// request, as a share of the total priority weight.
    pub(super) fn deposit(&mut self, price: f64) {
        let affordable = ON_DEMAND_SHARE_OF_WEIGHT / price.max(f64::EPSILON);
        let on_demand = affordable.min(MAX_ON_DEMAND_PER_REQUEST);
        self.on_demand = (self.on_demand + on_demand).min(BUDGET_CAPACITY);
        self.periodic = (self.periodic + PERIODIC_PER_REQUEST).min(BUDGET_CAPACITY);
    }

    /// Takes the token for an on-demand health check. Returns whether there was one.
    pub(super) fn withdraw_on_demand(&mut self) -> bool {
        withdraw_one(&mut self.on_demand)
    }

    /// Takes the token for a periodic health check. Returns whether there was one.
    pub(super) fn withdraw_periodic(&mut self) -> bool {
        withdraw_one(&mut self.periodic)
    }

    /// Returns the number of periodic health checks that the budget covers.
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
    /// Returns whether gateways that share their health checks have recent results for this group,
    /// so that the router needs no checks of its own.
    pub(super) fn has_shared_health_checks(&self, group: GroupId) -> bool {
        let lifetime = self.shared_check_lifetime();
        let recent = |at: Timestamp| self.now - at < lifetime;
        self.groups
            .get(&group)
            .is_some_and(|group| recent(group.health_checks.shared_result_at))
    }

    /// Returns how long a shared result counts as recent.
    fn shared_check_lifetime(&self) -> TimeDelta {
        SHARED_CHECK_LIFETIME * self.settings.limits.connect_timeout
    }

    /// Returns at most `limit` members that are due for a periodic health check. Suspected members
    /// precede the others, and among each of the two, those that were checked longest ago come
    /// first. Suspected members are due after each connect timeout, the others less often.
    pub(super) fn periodic_health_checks_due(&mut self, limit: usize) -> Vec<MemberId> {
        self.requeue_groups_without_shared_checks();
        let timeout = self.settings.limits.connect_timeout;
        let interval = timeout * OBSERVATION_LIFETIME as i64;
        let queue = &self.health_check_queue;
        let mut due: Vec<MemberId> = (queue.possibly_suspected())
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

    /// Puts the members of groups whose shared results are no longer recent back into the queue.
    fn requeue_groups_without_shared_checks(&mut self) {
        let newest_outdated = self.now - self.shared_check_lifetime();
        while let Some(group) = self.health_check_queue.take_outdated_group(newest_outdated) {
            for &id in &self.groups[&group].members {
                let sent_at = self.members[&id].health_check.sent_at;
                self.health_check_queue.insert(id, sent_at);
            }
        }
    }

    /// Records that a gateway that shares its results obtained one for this group at `obtained_at`.
    pub(super) fn record_shared_result(&mut self, group_id: GroupId, obtained_at: Timestamp) {
        let group = (self.groups.get_mut(&group_id)).expect("the group of a known member is known");
        let earlier = group.health_checks.shared_result_at();
        if obtained_at <= earlier && self.health_check_queue.is_shared(group_id, earlier) {
            return;
        }
        group.health_checks.record_shared_result(obtained_at);
        let latest = group.health_checks.shared_result_at();
        let queue = &mut self.health_check_queue;
        if queue.record_shared_result(group_id, earlier, latest) {
            for &id in &group.members {
                queue.remove(id, self.members[&id].health_check.sent_at);
            }
        }
    }

    /// Records that a health check of the member is sent now.
    pub(super) fn health_check_sent(&mut self, id: MemberId) {
        let now = self.now;
        let health_check = &mut self.member_mut(id).health_check;
        let earlier = health_check.sent_at;
        health_check.record_sent(now);
        self.health_check_queue.check_sent(id, earlier, now);
    }

    /// Updates the queue after a change to the member's reachability.
    pub(super) fn reachability_changed(&mut self, id: MemberId) {
        let possibly_suspected = self.member(id).reachability.may_be_suspected(self.now);
        self.health_check_queue
            .set_possibly_suspected(id, possibly_suspected);
    }

    /// Returns the members of a group that are due for a check of whether they are the new primary.
    pub(super) fn primary_search_due(&mut self, group: GroupId) -> Vec<MemberId> {
        let now = self.now;
        let timeout = self.settings.limits.connect_timeout;
        let health_checks = &mut self.group_mut(group).health_checks;
        let interval = health_checks.primary_search_interval(now, timeout);
        (self.groups[&group].members.iter().copied())
            .filter(|&id| self.member(id).health_check.is_due(now, interval))
            .collect()
    }

    /// Returns the replicas of a group that may confirm a recent enough position. A replica whose
    /// last measured lag is larger than the queued requests allow is left out while that
    /// measurement is recent.
    pub(super) fn position_check_candidates(&self, group_id: GroupId) -> Vec<MemberId> {
        let interval = self.settings.limits.connect_timeout / POSITION_CHECKS_PER_TIMEOUT;
        let group = &self.groups[&group_id];
        let needed_age = group.health_checks.needs.replica_position_age;
        let primary = self.primary(group_id);
        let may_confirm = |id: MemberId| {
            let due = self.member(id).health_check.is_due(self.now, interval);
            due && needed_age >= self.lag(id)
                && Some(id) != primary
                && self.in_service(id)
                && !self.is_suspected(id)
        };
        (group.members.iter().copied())
            .filter(|&id| may_confirm(id))
            .collect()
    }

    /// Returns the primary if queued requests wait for a report of its load and it is due for a
    /// check.
    pub(super) fn primary_load_check_due(&self, group_id: GroupId) -> Option<MemberId> {
        let waited = self.groups[&group_id].health_checks.needs.primary_load_wait;
        let timeout = self.settings.limits.connect_timeout;
        let interval = (timeout / POSITION_CHECKS_PER_TIMEOUT).max(waited / 2);
        self.primary(group_id).filter(|&id| {
            waited > TimeDelta::ZERO && self.member(id).health_check.is_due(self.now, interval)
        })
    }
}
