//! State of the fleet as this gateway knows it: members, groups and classes of requests, and the
//! estimates that decisions are based on.
//!
//! This module makes no decisions about requests. Updates are in `fleet_updates`, the schedule of
//! health checks is in `health_check`.

use super::concurrency_limit::{SharedConcurrencyLimit, INITIAL_LIMIT};
use super::group::Group;
use super::health_check::OBSERVATION_LIFETIME;
use super::health_check_queue::HealthCheckQueue;
use super::identifiers::{GroupId, MemberId, SessionId};
use super::latency::ClassLatency;
use super::load::FleetLoad;
use super::member::Member;
use super::selection_schedule::SelectionSchedule;
use super::session_commits::{SessionCommits, COMMIT_ROUNDING_MARGIN};
use super::settings::{Freshness, Settings};
use super::slow_start::warm_up_share;
use super::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// The fleet is large if one gateway's part of a member's initial limit is below this. Limits per
/// gateway are then useless, because they round to zero.
const MIN_LIMIT_PER_GATEWAY: f64 = 0.2;
/// Time for which a report of requests in flight is recent, in usual latencies of the shortest
/// class.
const IN_FLIGHT_REPORT_LIFETIME: f64 = 2.0;
/// Time for which a report of cores in use is recent, in usual latencies of the shortest class.
const CORES_REPORT_LIFETIME: f64 = 12.0;
/// A class is too long for a member in slow start if its usual latency is above the limit of short
/// classes divided by this. The limit is divided because slow links lengthen all latencies.
const SLOW_START_LONG_DIVISOR: f64 = 2.0;
/// Number of connect timeouts for which a report that a member is full counts.
const FULL_REPORT_LIFETIME: i64 = 4;

/// State of the fleet as this gateway knows it.
pub(super) struct Fleet {
    /// The settings.
    pub(super) settings: Settings,
    /// Time of the current batch.
    pub(super) now: Timestamp,
    /// Members of all groups. They are boxed, so that the map itself stays small.
    pub(super) members: BTreeMap<MemberId, Box<Member>>,
    /// Members that have been removed, or are missing from a complete list.
    pub(super) removed_members: BTreeSet<MemberId>,
    /// All groups that have been listed or requested.
    pub(super) groups: BTreeMap<GroupId, Group>,
    /// Groups for whose queued requests selection runs next.
    pub(super) selection: SelectionSchedule,
    /// Order of the members' periodic health checks.
    pub(super) health_check_queue: HealthCheckQueue,
    /// Usual latency of each class.
    pub(super) class_latency: ClassLatency,
    /// Load over all members.
    pub(super) load: FleetLoad,
    /// Limit on the requests of all gateways in flight at a member, for large fleets.
    pub(super) shared_limit: SharedConcurrencyLimit,
    /// Positions of the last commits of sessions. They are recorded only if session reads do not
    /// carry the age of their session's last write.
    pub(super) session_commits: SessionCommits,
}

impl Fleet {
    /// Creates the state of a fleet of which only the settings are known.
    pub(super) fn new(settings: Settings) -> Self {
        Fleet {
            class_latency: ClassLatency::new(&settings.classes),
            settings,
            now: Timestamp::ZERO,
            members: BTreeMap::new(),
            removed_members: BTreeSet::new(),
            groups: BTreeMap::new(),
            selection: SelectionSchedule::default(),
            health_check_queue: HealthCheckQueue::default(),
            load: FleetLoad::new(),
            shared_limit: SharedConcurrencyLimit::new(),
            session_commits: SessionCommits::default(),
        }
    }

    /// Returns a member. Panics if it is unknown.
    pub(super) fn member(&self, id: MemberId) -> &Member {
        &self.members[&id]
    }

    /// Returns a mutable reference to a member. Panics if it is unknown.
    pub(super) fn member_mut(&mut self, id: MemberId) -> &mut Member {
        (self.members.get_mut(&id)).expect("members stay known while something is in flight there")
    }

    /// Returns a mutable reference to a group. Panics if it is unknown.
    pub(super) fn group_mut(&mut self, id: GroupId) -> &mut Group {
        (self.groups.get_mut(&id)).expect("groups of members and of queued requests stay known")
    }

    /// Returns whether the fleet is large: one gateway sends each member so few requests that
    /// limits per gateway are meaningless.
    pub(super) fn is_large(&self) -> bool {
        INITIAL_LIMIT < MIN_LIMIT_PER_GATEWAY * f64::from(self.settings.gateway_count)
    }

    /// Returns whether selection relies on reports of a member's load: the fleet is large, and
    /// members report their requests in flight.
    pub(super) fn relies_on_load_reports(&self) -> bool {
        self.is_large() && self.settings.in_flight_reported
    }

    /// Returns how long observations of a member count: longer in a large fleet, where each gateway
    /// observes a member less often.
    pub(super) fn observation_lifetime(&self) -> TimeDelta {
        let gateways = f64::from(self.settings.gateway_count);
        let stretch = (gateways * MIN_LIMIT_PER_GATEWAY / INITIAL_LIMIT).max(1.0);
        let connect_timeout = self.settings.limits.connect_timeout.as_nanos_f64();
        TimeDelta::from_nanos_f64(OBSERVATION_LIFETIME * stretch * connect_timeout)
    }

    /// Returns whether requests of this class are writes.
    pub(super) fn is_write(&self, class: usize) -> bool {
        self.settings.classes[class].freshness == Freshness::Write
    }

    /// Returns whether only the primary can serve requests of this class.
    pub(super) fn requires_primary(&self, class: usize) -> bool {
        let freshness = self.settings.classes[class].freshness;
        matches!(freshness, Freshness::Write | Freshness::Strong)
    }

    /// Returns whether reads of this class are long, and may therefore stop a replica from applying
    /// the primary's log.
    pub(super) fn is_long_read(&self, class: usize) -> bool {
        self.settings.classes[class].freshness == Freshness::Any
            && self.class_latency.usual(class) > self.class_latency.short_class_limit()
    }

    /// Returns whether requests of this class are short enough for a member in slow start.
    pub(super) fn is_short_enough_for_slow_start(&self, class: usize) -> bool {
        let latency = &self.class_latency;
        latency.usual(class) * SLOW_START_LONG_DIVISOR <= latency.short_class_limit()
    }

    /// Returns the position that a member must have reached to see the last write of a session.
    pub(super) fn session_position(
        &self,
        session: Option<SessionId>,
        last_write_age: Option<TimeDelta>,
    ) -> Timestamp {
        let position_of_age = |age| self.now - age + COMMIT_ROUNDING_MARGIN;
        let given = last_write_age.map_or(Timestamp::MIN, position_of_age);
        if self.settings.last_write_age_carried {
            return given;
        }
        let commit = session.map(|session| self.session_commits.position(session));
        commit.unwrap_or(Timestamp::MIN).max(given)
    }

    /// Returns the member that was last observed as primary. A member that is out of service, or
    /// that has been observed as a replica since, does not count.
    pub(super) fn primary(&self, group: GroupId) -> Option<MemberId> {
        let members = &self.groups.get(&group)?.members;
        (members.iter().copied())
            .filter(|&id| self.member(id).replication.is_primary() && self.in_service(id))
            .max_by_key(|&id| self.member(id).replication.last_primary_at)
    }

    /// Returns whether the member is in service, see [`Fleet::accepts_requests`].
    pub(super) fn in_service(&self, id: MemberId) -> bool {
        self.accepts_requests(self.member(id))
    }

    /// Returns whether the member is neither draining nor removed. Where only listed drains bind, a
    /// removal without a drain does not count.
    pub(super) fn accepts_requests(&self, member: &Member) -> bool {
        let available = !member.service.removed || self.settings.rules.only_listed_drains_bind;
        available && !member.service.draining
    }

    /// Returns whether the member is suspected: it could not be reached lately, or it has been
    /// silent for longer than its `silence_tolerance`.
    pub(super) fn is_suspected(&self, id: MemberId) -> bool {
        self.member(id).reachability.is_suspected(self.now)
    }

    /// Returns whether the member is ejected because it answers mostly with errors.
    pub(super) fn is_ejected(&self, id: MemberId) -> bool {
        self.member(id).ejection.is_ejected(self.now)
    }

    /// Returns the last measured lag of the member, or zero if that measurement is too old.
    pub(super) fn lag(&self, id: MemberId) -> TimeDelta {
        let replication = &self.member(id).replication;
        replication.recent_lag(self.now, self.observation_lifetime())
    }

    /// Returns the expected latency of the member as a multiple of the usual latency.
    pub(super) fn latency_ratio(&self, id: MemberId) -> f64 {
        let member = self.member(id);
        let lifetime = self.observation_lifetime();
        let weight = member.reachability.observation_weight(self.now, lifetime);
        member.latency.expected(weight)
    }

    /// Returns the minimum share of its capacity that the member has reached by now in slow start,
    /// 0 to 1.
    pub(super) fn warm_up_share(&self, id: MemberId) -> f64 {
        let started = self.member(id).identity.started;
        warm_up_share(started, self.now, &self.settings.rules)
    }

    /// Returns the age of the member's last load report, as a multiple of the time for which such a
    /// report is recent.
    pub(super) fn load_report_age(&self, id: MemberId) -> f64 {
        let multiple = if self.settings.in_flight_reported {
            IN_FLIGHT_REPORT_LIFETIME
        } else {
            CORES_REPORT_LIFETIME
        };
        let lifetime = self.class_latency.multiple_of_shortest(multiple);
        let age = self.now - self.member(id).load.reported_at;
        age.as_nanos_f64() / lifetime
    }

    /// Returns whether the member's last load report is recent.
    pub(super) fn has_recent_load_report(&self, id: MemberId) -> bool {
        self.load_report_age(id) < 1.0
    }

    /// Returns the number of requests of all gateways in flight at the member, in relation to the
    /// usual number for its size.
    pub(super) fn relative_load(&self, id: MemberId) -> f64 {
        let member = self.member(id);
        let usual = self.load.usual_in_flight * member.identity.size;
        let own_in_flight = f64::from(member.load.in_flight);
        (1.0 + own_in_flight + self.in_flight_of_others(id)) / (1.0 + usual)
    }

    /// Returns the estimated number of other gateways' requests in flight at the member. It starts
    /// from the last report and approaches the usual number as the report ages.
    pub(super) fn in_flight_of_others(&self, id: MemberId) -> f64 {
        let member = self.member(id);
        let usual = self.load.usual_in_flight * member.identity.size;
        usual + (member.load.in_flight_of_others - usual) * (-self.load_report_age(id)).exp()
    }

    /// Returns the estimate of [`Fleet::in_flight_of_others`], but at least the number in the last
    /// report unless that report is too old. A member that has recently reported that it is full
    /// therefore counts as full until it reports otherwise.
    pub(super) fn conservative_in_flight_of_others(&self, id: MemberId) -> f64 {
        let load = &self.member(id).load;
        let lifetime = FULL_REPORT_LIFETIME * self.settings.limits.connect_timeout;
        let last_reported = if self.now - load.reported_at < lifetime {
            load.in_flight_of_others
        } else {
            0.0
        };
        self.in_flight_of_others(id).max(last_reported)
    }
}
