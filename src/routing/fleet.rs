//! What this gateway knows of the fleet: members, groups and classes of requests, and the estimates
//! that decisions rest on.
//!
//! Nothing here decides where a request goes. Updates are in `fleet_updates`, the schedule of
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
use super::settings::{Freshness, Settings};
use super::slow_start::warmth;
use super::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A gateway's part of a member's initial limit below which that gateway's own limits say nothing:
/// they round to none.
const MIN_LIMIT_OF_ONE_GATEWAY: f64 = 0.2;
/// A report of requests in flight is recent for this many usual latencies of the shortest class.
const IN_FLIGHT_REPORT_LIFETIME: f64 = 2.0;
/// A report of cores in use is recent for this many.
const CORES_REPORT_LIFETIME: f64 = 12.0;
/// Classes from this part (1 / this) of the long ones on are too long for a cold member: slow links
/// lengthen all latencies.
const SLOW_START_LONG_DIVISOR: f64 = 2.0;
/// Commit times are rounded up and positions down to the millisecond: added to a session's position
/// to be on the safe side.
const COMMIT_ROUNDING: TimeDelta = TimeDelta::from_millis(1);
/// A report that a member is full counts for this many connect timeouts.
const FULL_REPORT_LIFETIME: i64 = 4;

/// What this gateway knows of the fleet.
pub(super) struct Fleet {
    /// The settings.
    pub(super) settings: Settings,
    /// Time of the present batch.
    pub(super) now: Timestamp,
    /// The members of all groups; boxed, so that the map itself stays small.
    pub(super) members: BTreeMap<MemberId, Box<Member>>,
    /// The members that have been removed, or are missing from a complete list.
    pub(super) removed_members: BTreeSet<MemberId>,
    /// The groups.
    pub(super) groups: BTreeMap<GroupId, Group>,
    /// For which groups queued requests are selected for next.
    pub(super) selection: SelectionSchedule,
    /// The members in the order of their periodic health checks.
    pub(super) health_check_queue: HealthCheckQueue,
    /// Usual latency of each class.
    pub(super) class_latency: ClassLatency,
    /// Load over all members.
    pub(super) load: FleetLoad,
    /// Limit on the requests of all gateways at a member, for large fleets.
    pub(super) shared_limit: SharedConcurrencyLimit,
    /// Last commit of each session, where session reads do not carry it.
    pub(super) session_commits: HashMap<SessionId, Timestamp>,
}

impl Fleet {
    /// A fleet of which nothing is known.
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
            session_commits: HashMap::new(),
        }
    }

    /// A member that is known to be there.
    pub(super) fn member(&self, id: MemberId) -> &Member {
        &self.members[&id]
    }

    /// A member that is known to be there, to be changed.
    pub(super) fn member_mut(&mut self, id: MemberId) -> &mut Member {
        (self.members.get_mut(&id)).expect("members stay known while something is in flight there")
    }

    /// A group that is known to be there, to be changed.
    pub(super) fn group_mut(&mut self, id: GroupId) -> &mut Group {
        (self.groups.get_mut(&id)).expect("groups of members and of queued requests stay known")
    }

    /// One gateway sends a member so few requests that its own limits on them mean nothing.
    pub(super) fn is_large(&self) -> bool {
        INITIAL_LIMIT < MIN_LIMIT_OF_ONE_GATEWAY * f64::from(self.settings.gateway_count)
    }

    /// Requests wait for reports of a member's load: the fleet is large, and members report their
    /// requests in flight.
    pub(super) fn relies_on_load_reports(&self) -> bool {
        self.is_large() && self.settings.in_flight_reported
    }

    /// How long observations of a member count: longer in a large fleet, where each gateway makes
    /// them more rarely.
    pub(super) fn observation_lifetime(&self) -> TimeDelta {
        let gateways = f64::from(self.settings.gateway_count);
        let stretch = (gateways * MIN_LIMIT_OF_ONE_GATEWAY / INITIAL_LIMIT).max(1.0);
        let connect_timeout = self.settings.limits.connect_timeout.as_nanos_f64();
        TimeDelta::from_nanos_f64(OBSERVATION_LIFETIME * stretch * connect_timeout)
    }

    /// Requests of this class are writes.
    pub(super) fn is_write(&self, class: usize) -> bool {
        self.settings.classes[class].freshness == Freshness::Write
    }

    /// Requests of this class can be served by the primary only.
    pub(super) fn requires_primary(&self, class: usize) -> bool {
        let freshness = self.settings.classes[class].freshness;
        matches!(freshness, Freshness::Write | Freshness::Strong)
    }

    /// Reads of this class are long: they may stop a replica from applying the primary's log.
    pub(super) fn is_long_read(&self, class: usize) -> bool {
        self.settings.classes[class].freshness == Freshness::Any
            && self.class_latency.usual(class) > self.class_latency.short_class_limit()
    }

    /// Requests of this class are short enough for a cold member.
    pub(super) fn is_short_when_cold(&self, class: usize) -> bool {
        let latency = &self.class_latency;
        latency.usual(class) * SLOW_START_LONG_DIVISOR <= latency.short_class_limit()
    }

    /// Position that a member must have reached to see the last write of a session.
    pub(super) fn session_position(
        &self,
        session: Option<SessionId>,
        last_write_age: Option<TimeDelta>,
    ) -> Timestamp {
        if self.settings.last_write_age_carried {
            let position = |age| self.now - age + COMMIT_ROUNDING;
            return last_write_age.map_or(Timestamp::MIN, position);
        }
        let commit = session.and_then(|session| self.session_commits.get(&session).copied());
        commit.unwrap_or(Timestamp::MIN)
    }

    /// The member last seen to be primary, unless it is out of service or has said since that it is
    /// not primary.
    pub(super) fn primary(&self, group: GroupId) -> Option<MemberId> {
        let members = &self.groups.get(&group)?.members;
        (members.iter().copied())
            .filter(|&id| self.member(id).replication.is_primary() && self.in_service(id))
            .max_by_key(|&id| self.member(id).replication.last_primary_at)
    }

    /// The member is neither draining nor removed.
    pub(super) fn in_service(&self, id: MemberId) -> bool {
        self.accepts_requests(self.member(id))
    }

    /// The member is neither draining nor removed. A removal that was not a drain binds only where
    /// the rules say so.
    pub(super) fn accepts_requests(&self, member: &Member) -> bool {
        let available = !member.service.removed || self.settings.rules.only_listed_drains_bind;
        available && !member.service.draining
    }

    /// Connections to the member fail, or it has been silent for longer than is usual.
    pub(super) fn is_suspected(&self, id: MemberId) -> bool {
        self.member(id).reachability.is_suspected(self.now)
    }

    /// The member answers, but mostly with errors, and is left alone for now.
    pub(super) fn is_ejected(&self, id: MemberId) -> bool {
        self.member(id).ejection.is_ejected(self.now)
    }

    /// Last measured lag of the member, unless that is too long ago.
    pub(super) fn lag(&self, id: MemberId) -> TimeDelta {
        let replication = &self.member(id).replication;
        replication.recent_lag(self.now, self.observation_lifetime())
    }

    /// Expected latency of the member, as a multiple of the usual latency.
    pub(super) fn latency_ratio(&self, id: MemberId) -> f64 {
        let member = self.member(id);
        let lifetime = self.observation_lifetime();
        let weight = member.reachability.observation_weight(self.now, lifetime);
        member.latency.expected(weight)
    }

    /// Share of its capacity that the member has by now at least, 0 to 1.
    pub(super) fn warmth(&self, id: MemberId) -> f64 {
        let started = self.member(id).identity.started;
        warmth(started, self.now, &self.settings.rules)
    }

    /// Age of the member's last load report, as a multiple of the time for which such a report is
    /// recent.
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

    /// The member has reported its load lately.
    pub(super) fn has_recent_load_report(&self, id: MemberId) -> bool {
        self.load_report_age(id) < 1.0
    }

    /// Requests in flight at the member, of all gateways, in relation to what is usual for its
    /// size.
    pub(super) fn relative_load(&self, id: MemberId) -> f64 {
        let member = self.member(id);
        let usual = self.load.usual_in_flight * member.identity.size;
        let own = f64::from(member.load.in_flight);
        (1.0 + own + self.in_flight_of_others(id)) / (1.0 + usual)
    }

    /// Requests of other gateways in flight at the member: by its last report, and as that ages,
    /// what is usual.
    pub(super) fn in_flight_of_others(&self, id: MemberId) -> f64 {
        let member = self.member(id);
        let usual = self.load.usual_in_flight * member.identity.size;
        usual + (member.load.in_flight_of_others - usual) * (-self.load_report_age(id)).exp()
    }

    /// The same, but not less than the last report unless that is long ago: a member that has
    /// lately said that it is full stays so until it says otherwise.
    pub(super) fn cautious_in_flight_of_others(&self, id: MemberId) -> f64 {
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
