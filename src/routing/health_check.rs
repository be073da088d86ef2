//! Schedule and budget of health checks: which are due, and how many the requests pay for.
//!
//! Health checks carry no request. They look for a primary, prove how recent a replica is, and
//! bring load reports.

use super::fleet::Fleet;
use super::identifiers::{GroupId, MemberId};
use super::outlier::Reachability;
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

    /// It can pay for a periodic health check.
    pub(super) fn covers_periodic(&self) -> bool {
        self.periodic >= 1.0
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
        let lifetime = SHARED_CHECK_LIFETIME * self.settings.limits.connect_timeout;
        let recent = |at: Timestamp| self.now - at < lifetime;
        self.groups
            .get(&group)
            .is_some_and(|group| recent(group.health_checks.shared_result_at))
    }

    /// Members that are due for a periodic health check, suspected ones first, then those checked
    /// longest ago. Suspected members are due after each connect timeout, the others more rarely.
    pub(super) fn periodic_health_checks_due(&self) -> Vec<MemberId> {
        let timeout = self.settings.limits.connect_timeout;
        let interval = |reachability: &Reachability| {
            if reachability.is_suspected(self.now) {
                timeout
            } else {
                timeout * OBSERVATION_LIFETIME as i64
            }
        };
        let mut due: Vec<MemberId> = (self.members.iter())
            .filter(|(_, member)| {
                let interval = interval(&member.reachability);
                member.health_check.is_due(self.now, interval)
                    && self.accepts_requests(member)
                    && !self.has_shared_health_checks(member.identity.group)
            })
            .map(|(&id, _)| id)
            .collect();
        due.sort_by_key(|&id| {
            let member = self.member(id);
            let suspected = member.reachability.is_suspected(self.now);
            (!suspected, member.health_check.sent_at)
        });
        due
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
