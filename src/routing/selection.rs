//! Selection: chooses the member that a request is sent to.
//!
//! The common path is the read preference secondaryPreferred with bounded staleness: selection
//! chooses at random among the replicas that are recent enough and within the latency window of the
//! best one, and falls back to the primary. If the primary cannot take the request either, the
//! request stays queued.

use super::fleet::Fleet;
use super::identifiers::{GroupId, MemberId, RequestId};
use super::request::Request;
use super::router::Router;
use super::settings::{Freshness, StalenessCheck};
use super::time::TimeDelta;
use std::cmp::Reverse;
use std::collections::VecDeque;

/// Width of the latency window: a member is within it if its expected latency is at most this
/// multiple of the best one.
const LATENCY_WINDOW: f64 = 2.0;
/// Lower bound of a member's latency ratio: a ratio near 0 would give the member all the weight.
const MIN_LATENCY_RATIO: f64 = 0.1;
/// Exponent of load and latency in the weights of the random choice. At 1, weights are in inverse
/// proportion to load and latency; a higher exponent favours idle and fast members more.
const LOAD_EXPONENT: f64 = 3.0;
/// Members of other zones are left out while the least loaded member of the gateway's own zone has
/// at most this multiple of the least load in the latency window.
const ZONE_LOAD_SLACK: f64 = 1.5;
/// Share of the primary's capacity that reads may use when their replicas are merely full. The rest
/// is left to writes, which no other member can take.
pub(super) const PRIMARY_READ_SHARE: f64 = 0.5;
/// A long read may use one more replica each time that another 1 / `LONG_READ_SPREAD_DIVISOR` of
/// its latency objective has passed since it arrived.
const LONG_READ_SPREAD_DIVISOR: i64 = 4;

/// Members that are considered for one read.
struct Candidates<'a> {
    request: &'a Request,
    /// Member that must not be chosen because an attempt of the request is in flight there.
    excluded: Option<MemberId>,
    primary: Option<MemberId>,
    /// Replicas that the request may be sent to.
    replicas: Vec<MemberId>,
    /// Replicas that are preferred for the request, see [`Router::suitable_replicas`].
    suitable: Vec<MemberId>,
}

impl Router {
    /// Runs selection again for the queued requests of a group. Classes with the highest priority
    /// weight per usual latency go first.
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

    /// Returns the classes with queued requests, ordered by priority weight per usual latency,
    /// highest first.
    fn queued_classes(&self, group_id: GroupId) -> Vec<usize> {
        let queues = &self.fleet.groups[&group_id].queues;
        let mut classes: Vec<usize> = (0..queues.len())
            .filter(|&class| !queues[class].is_empty())
            .collect();
        let weight_per_latency = |class: usize| {
            let weight = self.fleet.settings.classes[class].priority_weight;
            weight / self.fleet.class_latency.usual(class)
        };
        classes.sort_by(|&a, &b| {
            weight_per_latency(b)
                .total_cmp(&weight_per_latency(a))
                .then(a.cmp(&b))
        });
        classes
    }

    /// Sends as many requests of a queue as possible, and returns the others in the same order.
    fn dispatch_class(
        &mut self,
        class: usize,
        mut queue: VecDeque<RequestId>,
    ) -> VecDeque<RequestId> {
        // If one request of a class cannot be sent, the others are not tried, because they wait for
        // the same thing. Exceptions are session reads, which need different positions, and long
        // reads, which may use more replicas the longer they have waited.
        let waits_differ = self.fleet.settings.classes[class].freshness == Freshness::Session
            || self.fleet.is_long_read(class);
        let mut still_queued = VecDeque::new();
        // Newest first, because in an overload the oldest requests would be sent with too little
        // time left.
        while let Some(id) = queue.pop_back() {
            let Some(request) = self.requests.queued(id) else {
                continue;
            };
            let selected = self.select(request, None);
            if selected.is_some_and(|member| self.send(id, member)) {
                continue;
            }
            self.record_unmet_needs(id);
            still_queued.push_front(id);
            if !waits_differ {
                break;
            }
        }
        while (queue.front()).is_some_and(|&id| self.requests.queued(id).is_none()) {
            queue.pop_front();
        }
        queue.append(&mut still_queued);
        queue
    }

    /// Returns the member that a request is to be sent to now, or `None` if it stays queued.
    pub(super) fn select(&self, request: &Request, excluded: Option<MemberId>) -> Option<MemberId> {
        let primary = self.fleet.primary(request.group);
        if self.fleet.requires_primary(request.class) {
            return self.select_primary(request, primary.filter(|&id| Some(id) != excluded));
        }
        let members = &self.fleet.groups.get(&request.group)?.members;
        let is_available = |id: MemberId| {
            Some(id) != primary && Some(id) != excluded && self.is_available_for(id, request)
        };
        let replicas: Vec<MemberId> = (members.iter().copied())
            .filter(|&id| is_available(id))
            .collect();
        let candidates = Candidates {
            suitable: self.suitable_replicas(&replicas, request),
            request,
            excluded,
            primary,
            replicas,
        };
        if candidates.suitable.is_empty() {
            // A health check may still confirm that some replica is recent enough.
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

    /// Returns the primary if it may be sent a request that no other member can serve. A suspected
    /// primary is not chosen, because a write that is not idempotent could only fail there.
    fn select_primary(&self, request: &Request, primary: Option<MemberId>) -> Option<MemberId> {
        let load_is_known = |id: MemberId| {
            !self.fleet.relies_on_load_reports()
                || self.fleet.has_recent_load_report(id)
                || self.fleet.now >= request.health_check_awaited_until
        };
        primary.filter(|&id| {
            self.is_available_for(id, request)
                && !self.fleet.is_suspected(id)
                && load_is_known(id)
                && self.has_capacity(id, request, 1.0)
        })
    }

    /// Returns the replicas that are preferred for a read: those that are recent enough and not
    /// suspected. Ejected replicas are left out unless no other replica remains.
    fn suitable_replicas(&self, replicas: &[MemberId], request: &Request) -> Vec<MemberId> {
        let mut suitable: Vec<MemberId> = (replicas.iter().copied())
            .filter(|&id| self.has_required_position(id, request) && !self.fleet.is_suspected(id))
            .collect();
        // Where gateways share health checks, only the few replicas that were checked last have a
        // confirmed position, and all gateways would choose the same ones. Replicas that are only
        // probably recent enough are therefore accepted, too.
        let shared = self.fleet.has_shared_health_checks(request.group);
        let checked = self.fleet.settings.staleness_check != StalenessCheck::None;
        if checked && (suitable.is_empty() || shared) {
            suitable = self.probably_recent(replicas, request);
        }
        // A member that answers with errors does so at once. It therefore always has capacity, and
        // would attract all reads.
        if suitable.iter().any(|&id| !self.fleet.is_ejected(id)) {
            suitable.retain(|&id| !self.fleet.is_ejected(id));
        }
        suitable
    }

    /// For deployments whose replicas check reads for staleness: returns the replicas that are
    /// probably recent enough by now, judged by their last measured lag. Suspected replicas are
    /// left out. If no replica is probably recent enough and no primary is known, returns all that
    /// are not suspected.
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

    /// Selects a replica for a long read. A long read may stop its replica from applying the log,
    /// and many of them would stop all replicas. Long reads are therefore concentrated on the
    /// replica with the largest lag, and use one more replica for each part of their latency
    /// objective that they have waited.
    fn select_for_long_read(&self, candidates: Candidates) -> Option<MemberId> {
        let request = candidates.request;
        let mut by_lag = candidates.suitable;
        by_lag.sort_by_key(|&id| Reverse((self.fleet.member(id).replication.lag, id)));
        let objective = self
            .class(request)
            .latency_objective
            .max(TimeDelta::NANOSECOND);
        let waited = self.fleet.now - request.arrived_at;
        let additional_replicas = waited * LONG_READ_SPREAD_DIVISOR / objective;
        (0..=additional_replicas)
            .zip(by_lag)
            .map(|(_, id)| id)
            .find(|&id| self.has_capacity(id, request, 1.0))
    }

    /// Returns whether the request should go on waiting for a suitable replica to report its load,
    /// because none of them has done so recently.
    fn awaits_load_report(&self, candidates: &Candidates) -> bool {
        let mut suitable = candidates.suitable.iter();
        self.fleet.relies_on_load_reports()
            && self.fleet.now < candidates.request.health_check_awaited_until
            && !suitable.any(|&id| self.fleet.has_recent_load_report(id))
    }

    /// Returns a suitable replica with capacity. Where replicas check reads for staleness, a
    /// replica that is only probably recent enough is the second choice.
    fn select_replica(&self, candidates: &Candidates) -> Option<MemberId> {
        let request = candidates.request;
        let choose_with_capacity = |replicas: &[MemberId]| {
            let with_capacity: Vec<MemberId> = (replicas.iter().copied())
                .filter(|&id| self.has_capacity(id, request, 1.0))
                .collect();
            self.choose_weighted(&with_capacity)
        };
        choose_with_capacity(&candidates.suitable).or_else(|| {
            if self.fleet.settings.staleness_check == StalenessCheck::None {
                return None;
            }
            let mut likely = self.probably_recent(&candidates.replicas, request);
            likely.retain(|&id| !self.fleet.is_ejected(id));
            choose_with_capacity(&likely)
        })
    }

    /// Selects a member for a read that no suitable replica can take. The primary is selected if it
    /// has capacity beyond its own work and is neither suspected nor ejected. Otherwise, if all
    /// replicas are suspected, one of them or else the primary is tried, because otherwise no
    /// request would be served.
    fn fall_back(&self, candidates: &Candidates) -> Option<MemberId> {
        let request = candidates.request;
        let primary = self.fall_back_to_primary(candidates);
        let is_healthy =
            |id: &MemberId| !self.fleet.is_suspected(*id) && !self.fleet.is_ejected(*id);
        if let Some(primary) = primary.filter(is_healthy) {
            return Some(primary);
        }
        let mut replicas = candidates.replicas.iter();
        if !replicas.all(|&id| self.fleet.is_suspected(id)) {
            return None;
        }
        let suspected: Vec<MemberId> = (candidates.replicas.iter().copied())
            .filter(|&id| {
                self.has_required_position(id, request) && self.has_capacity(id, request, 1.0)
            })
            .collect();
        self.choose_weighted(&suspected).or(primary)
    }

    /// Returns the primary if it has capacity for a read that no replica takes.
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
                && self.is_available_for(id, request)
                && self.has_capacity(id, request, share)
        })
    }

    /// Chooses one of these members at random, within the latency window of the best one and
    /// preferably in the gateway's own zone. The weights favour members with a large size, little
    /// load and a low latency.
    pub(super) fn choose_weighted(&self, members: &[MemberId]) -> Option<MemberId> {
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
        let zone_load_is_acceptable =
            least_load(fleet, &own_zone) <= least_load(fleet, &window) * ZONE_LOAD_SLACK;
        let preferred = if !own_zone.is_empty() && zone_load_is_acceptable {
            own_zone
        } else {
            window
        };
        let total: f64 = preferred
            .iter()
            .map(|&id| selection_weight(fleet, id))
            .sum();
        // The generator advances when a request is sent, not here, so that repeating the selection
        // before the next send gives the same member.
        let mut remaining = self.rng.clone().rand_float() * total;
        let chosen = preferred.iter().copied().find(|&id| {
            remaining -= selection_weight(fleet, id);
            remaining <= 0.0
        });
        chosen.or(preferred.last().copied())
    }
}

/// Returns the load of the least loaded of these members, in relation to the capacity that each of
/// them has reached in slow start.
fn least_load(fleet: &Fleet, members: &[MemberId]) -> f64 {
    (members.iter())
        .map(|&id| fleet.relative_load(id) / fleet.warm_up_share(id))
        .fold(f64::INFINITY, f64::min)
}

/// Returns the weight of a member in the random choice.
fn selection_weight(fleet: &Fleet, id: MemberId) -> f64 {
    // A report of no requests in flight may be wrong. In a large fleet, a load above the usual one
    // therefore lowers the weight, but a load below it does not raise the weight.
    let load = fleet.relative_load(id).max(f64::from(fleet.is_large()));
    let latency = fleet.latency_ratio(id).max(MIN_LATENCY_RATIO);
    let capacity = fleet.member(id).identity.size * fleet.warm_up_share(id);
    capacity / (load * latency).powf(LOAD_EXPONENT)
}
