//! Selection: which member a request goes to.
//!
//! The ordinary path is secondaryPreferred with a bound on staleness: a replica that is recent
//! enough, within the window of the best latency, at random; else the primary; else the request
//! stays queued.

use super::fleet::Fleet;
use super::identifiers::{GroupId, MemberId, RequestId};
use super::request::Request;
use super::router::Router;
use super::settings::{Freshness, StalenessCheck};
use super::time::TimeDelta;
use std::cmp::Reverse;
use std::collections::VecDeque;

/// The latency window: members whose expected latency is up to this multiple of the best.
const LATENCY_WINDOW: f64 = 2.0;
/// Least latency ratio that counts: one near 0 would give its member all the weight.
const MIN_LATENCY_RATIO: f64 = 0.1;
/// How strongly the random pick leans to members with little load and latency (1 = in inverse
/// proportion).
const LOAD_EXPONENT: f64 = 3.0;
/// Only the own zone is used while its least loaded member has up to this multiple of the least
/// load anywhere.
const ZONE_LOAD_SLACK: f64 = 1.5;
/// Share of the primary's room for reads whose replicas are merely full: writes have nowhere else
/// to go.
pub(super) const PRIMARY_READ_SHARE: f64 = 0.5;
/// Long reads spread to one more replica with each such part (1 / this) of their latency objective
/// that they have waited.
const LONG_READ_SPREAD_DIVISOR: i64 = 4;

/// The members among which a read is decided.
struct Candidates<'a> {
    request: &'a Request,
    /// A member that must not be chosen, as an attempt is in flight there.
    excluded: Option<MemberId>,
    primary: Option<MemberId>,
    /// Replicas that may be sent the request.
    replicas: Vec<MemberId>,
    /// The replicas that are preferred for it.
    suitable: Vec<MemberId>,
}

impl Router {
    /// Selects again for the queued requests of a group, those with the most weight for their time
    /// first.
    pub(super) fn dispatch_queued(&mut self, group_id: GroupId) {
        let group = self.fleet.group_mut(group_id);
        group.health_checks.reset_needs();
        for class in self.queued_classes(group_id) {
            let queue = std::mem::take(&mut self.fleet.group_mut(group_id).queues[class]);
            let still_queued = self.dispatch_class(class, queue);
            self.fleet.group_mut(group_id).queues[class] = still_queued;
        }
        let queued = self.fleet.groups[&group_id].has_queued_requests();
        self.fleet.selection.set_queued(group_id, queued);
    }

    /// Classes with queued requests, the highest priority weight for the usual latency first.
    fn queued_classes(&self, group_id: GroupId) -> Vec<usize> {
        let queues = &self.fleet.groups[&group_id].queues;
        let mut classes: Vec<usize> = (0..queues.len())
            .filter(|&class| !queues[class].is_empty())
            .collect();
        let density = |class: usize| {
            let weight = self.fleet.settings.classes[class].priority_weight;
            weight / self.fleet.class_latency.usual(class)
        };
        classes.sort_by(|&a, &b| density(b).total_cmp(&density(a)).then(a.cmp(&b)));
        classes
    }

    /// Sends what it can of a queue, and returns the rest in the same order.
    fn dispatch_class(
        &mut self,
        class: usize,
        mut queue: VecDeque<RequestId>,
    ) -> VecDeque<RequestId> {
        // All requests of a class wait for the same thing, except session reads and long ones.
        let independent = self.fleet.settings.classes[class].freshness == Freshness::Session
            || self.fleet.is_long_read(class);
        let mut still_queued = VecDeque::new();
        // Newest first: in an overload the oldest would be sent with too little time left.
        while let Some(id) = queue.pop_back() {
            let Some(request) = self.requests.queued(id) else {
                continue;
            };
            let selected = self.select(request, None);
            if selected.is_some_and(|member| self.send(id, member)) {
                continue;
            }
            self.note_unmet_needs(id);
            still_queued.push_front(id);
            if !independent {
                break;
            }
        }
        while (queue.front()).is_some_and(|&id| self.requests.queued(id).is_none()) {
            queue.pop_front();
        }
        queue.append(&mut still_queued);
        queue
    }

    /// The member that a request goes to now; with none it stays queued.
    pub(super) fn select(&self, request: &Request, excluded: Option<MemberId>) -> Option<MemberId> {
        let primary = self.fleet.primary(request.group);
        if self.fleet.requires_primary(request.class) {
            return self.select_primary(request, primary.filter(|&id| Some(id) != excluded));
        }
        let members = &self.fleet.groups.get(&request.group)?.members;
        let is_open = |id: MemberId| {
            Some(id) != primary && Some(id) != excluded && self.is_open_to(id, request)
        };
        let replicas: Vec<MemberId> = (members.iter().copied())
            .filter(|&id| is_open(id))
            .collect();
        let candidates = Candidates {
            suitable: self.suitable_replicas(&replicas, request),
            request,
            excluded,
            primary,
            replicas,
        };
        if candidates.suitable.is_empty() {
            // A health check may still prove some replica recent.
            if self.fleet.now < request.health_check_awaited_until {
                return None;
            }
        } else if self.fleet.is_long_read(request.class) {
            return self.select_for_long_read(candidates);
        } else if self.awaits_load_report(&candidates) {
            return None;
        } else if let Some(replica) = self.select_replica(&candidates) {
            return Some(replica);
        }
        self.fall_back(&candidates)
    }

    /// The primary, if it may be sent a request that no other member can serve. One that does not
    /// answer gets none: a write that is not idempotent could only fail there.
    fn select_primary(&self, request: &Request, primary: Option<MemberId>) -> Option<MemberId> {
        let load_is_known = |id: MemberId| {
            !self.fleet.relies_on_load_reports()
                || self.fleet.has_recent_load_report(id)
                || self.fleet.now >= request.health_check_awaited_until
        };
        primary.filter(|&id| {
            self.is_open_to(id, request)
                && !self.fleet.is_suspected(id)
                && load_is_known(id)
                && self.has_room(id, request, 1.0)
        })
    }

    /// The replicas that are recent enough for a read, without suspected and ejected ones.
    fn suitable_replicas(&self, replicas: &[MemberId], request: &Request) -> Vec<MemberId> {
        let mut suitable: Vec<MemberId> = (replicas.iter().copied())
            .filter(|&id| self.is_proven_recent(id, request) && !self.fleet.is_suspected(id))
            .collect();
        // Where gateways share health checks, the few replicas that were checked last are proven,
        // and all gateways would choose the same ones.
        let shared = self.fleet.has_shared_health_checks(request.group);
        let checked = self.fleet.settings.staleness_check != StalenessCheck::None;
        if checked && (suitable.is_empty() || shared) {
            suitable = self.probably_recent(replicas, request);
        }
        // A member that answers with errors does so at once: it always has room, and would draw all
        // reads.
        if suitable.iter().any(|&id| !self.fleet.is_ejected(id)) {
            suitable.retain(|&id| !self.fleet.is_ejected(id));
        }
        suitable
    }

    /// Where replicas check reads: those that are probably recent enough by now, or all if no
    /// primary is known.
    fn probably_recent(&self, replicas: &[MemberId], request: &Request) -> Vec<MemberId> {
        let required = self.required_position(request);
        let reachable: Vec<MemberId> = (replicas.iter().copied())
            .filter(|&id| !self.fleet.is_suspected(id))
            .collect();
        let recent: Vec<MemberId> = (reachable.iter().copied())
            .filter(|&id| self.fleet.now - self.fleet.lag(id) >= required)
            .collect();
        if recent.is_empty() && self.fleet.primary(request.group).is_none() {
            reachable
        } else {
            recent
        }
    }

    /// A long read may stop its replica from applying the log, and many of them would stop all
    /// replicas. So they gather on the replica that is furthest behind, and on one more for each
    /// part of their latency objective that they have waited.
    fn select_for_long_read(&self, candidates: Candidates) -> Option<MemberId> {
        let request = candidates.request;
        let mut by_lag = candidates.suitable;
        by_lag.sort_by_key(|&id| Reverse((self.fleet.member(id).replication.lag, id)));
        let objective = self
            .class(request)
            .latency_objective
            .max(TimeDelta::NANOSECOND);
        let waited = self.fleet.now - request.arrived_at;
        let further_replicas = waited * LONG_READ_SPREAD_DIVISOR / objective;
        (0..=further_replicas)
            .zip(by_lag)
            .map(|(_, id)| id)
            .find(|&id| self.has_room(id, request, 1.0))
    }

    /// It is still worth waiting for some replica to report its load.
    fn awaits_load_report(&self, candidates: &Candidates) -> bool {
        let mut suitable = candidates.suitable.iter();
        self.fleet.relies_on_load_reports()
            && self.fleet.now < candidates.request.health_check_awaited_until
            && !suitable.any(|&id| self.fleet.has_recent_load_report(id))
    }

    /// A suitable replica with room; where replicas check reads, else one that is only probably
    /// recent enough.
    fn select_replica(&self, candidates: &Candidates) -> Option<MemberId> {
        let request = candidates.request;
        let pick_with_room = |replicas: &[MemberId]| {
            let with_room: Vec<MemberId> = (replicas.iter().copied())
                .filter(|&id| self.has_room(id, request, 1.0))
                .collect();
            self.pick(&with_room)
        };
        pick_with_room(&candidates.suitable).or_else(|| {
            if self.fleet.settings.staleness_check == StalenessCheck::None {
                return None;
            }
            let mut likely = self.probably_recent(&candidates.replicas, request);
            likely.retain(|&id| !self.fleet.is_ejected(id));
            pick_with_room(&likely)
        })
    }

    /// No replica serves the read: the primary does, while it has room beyond its own work. If all
    /// replicas are suspected, one of them is picked rather than no request served.
    fn fall_back(&self, candidates: &Candidates) -> Option<MemberId> {
        let request = candidates.request;
        let primary = self.fall_back_to_primary(candidates);
        let is_trusted =
            |id: &MemberId| !self.fleet.is_suspected(*id) && !self.fleet.is_ejected(*id);
        if let Some(primary) = primary.filter(is_trusted) {
            return Some(primary);
        }
        let mut replicas = candidates.replicas.iter();
        if !replicas.all(|&id| self.fleet.is_suspected(id)) {
            return None;
        }
        let suspected: Vec<MemberId> = (candidates.replicas.iter().copied())
            .filter(|&id| self.is_proven_recent(id, request) && self.has_room(id, request, 1.0))
            .collect();
        self.pick(&suspected).or(primary)
    }

    /// The primary, if it has room for a read that no replica serves.
    fn fall_back_to_primary(&self, candidates: &Candidates) -> Option<MemberId> {
        let request = candidates.request;
        let relies_on_reports = self.fleet.relies_on_load_reports();
        let shared = self.fleet.has_shared_health_checks(request.group);
        let share = if candidates.suitable.is_empty() && !relies_on_reports && !shared {
            1.0
        } else {
            PRIMARY_READ_SHARE
        };
        candidates.primary.filter(|&id| {
            (!relies_on_reports || self.fleet.has_recent_load_report(id))
                && Some(id) != candidates.excluded
                && self.is_open_to(id, request)
                && self.has_room(id, request, share)
        })
    }

    /// One of these members, within the window of the best latency, at random by size, leaning to
    /// those with little load.
    pub(super) fn pick(&self, members: &[MemberId]) -> Option<MemberId> {
        let fleet = &self.fleet;
        let best = (members.iter())
            .map(|&id| fleet.latency_ratio(id))
            .fold(f64::INFINITY, f64::min);
        let window: Vec<MemberId> = (members.iter().copied())
            .filter(|&id| fleet.latency_ratio(id) <= best.max(MIN_LATENCY_RATIO) * LATENCY_WINDOW)
            .collect();
        let own_zone: Vec<MemberId> = (window.iter().copied())
            .filter(|&id| fleet.member(id).identity.zone == fleet.settings.zone)
            .collect();
        let zone_has_room =
            least_load(fleet, &own_zone) <= least_load(fleet, &window) * ZONE_LOAD_SLACK;
        let preferred = if !own_zone.is_empty() && zone_has_room {
            own_zone
        } else {
            window
        };
        let total: f64 = preferred.iter().map(|&id| pick_weight(fleet, id)).sum();
        // The generator moves on when a request is sent, not here: selecting again gives the same
        // pick.
        let mut remaining = self.rng.clone().rand_float() * total;
        let picked = preferred.iter().copied().find(|&id| {
            remaining -= pick_weight(fleet, id);
            remaining <= 0.0
        });
        picked.or(preferred.last().copied())
    }
}

/// Load of the least loaded of these members, in relation to what each can take while it is cold.
fn least_load(fleet: &Fleet, members: &[MemberId]) -> f64 {
    (members.iter())
        .map(|&id| fleet.relative_load(id) / fleet.warmth(id))
        .fold(f64::INFINITY, f64::min)
}

/// Weight of a member in the random pick.
fn pick_weight(fleet: &Fleet, id: MemberId) -> f64 {
    // A report of nothing in flight may be untrue: in a large fleet load lowers the weight, but its
    // absence does not raise it.
    let load = fleet.relative_load(id).max(f64::from(fleet.is_large()));
    let latency = fleet.latency_ratio(id).max(MIN_LATENCY_RATIO);
    let capacity = fleet.member(id).identity.size * fleet.warmth(id);
    capacity / (load * latency).powf(LOAD_EXPONENT)
}
