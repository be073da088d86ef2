//! The router: takes events in batches and returns actions.
//!
//! The router calls `selection` (which member serves a request), `admission` (whether an attempt
//! may be sent) and `retry` (what happens after a failed attempt), and passes observations of
//! members to `fleet`. On the common path, it filters the members of a group by role and last known
//! position, keeps those within the latency window of the best one, chooses one of them at random,
//! and queues the request if no member is suitable.

use super::action::Action;
use super::event::{Event, FailoverDirectives};
use super::fleet::Fleet;
use super::fleet_updates::AttemptResult;
use super::health_check::HealthCheckBudget;
use super::request::{Request, RequestTable};
use super::retry_budget::RetryBudget;
use super::settings::{RequestClass, Settings, StalenessCheck};
use super::snapshot::RoutingSnapshot;
use super::time::{TimeDelta, Timestamp};
use super::timer::TimerSchedule;

/// Share of the latency objective for which a request waits for a health check, which may confirm
/// that a replica is recent or that a member has capacity, before selection goes on without it.
const HEALTH_CHECK_WAIT_SHARE: f64 = 0.03;

/// The routing decisions of one gateway.
pub struct Router {
    pub(super) fleet: Fleet,
    pub(super) requests: RequestTable,
    pub(super) retry_budget: RetryBudget,
    pub(super) health_checks: HealthCheckBudget,
    pub(super) failover: FailoverDirectives,
    pub(super) timer: TimerSchedule,
    pub(super) rng: oorandom::Rand64,
    /// Actions collected for the current batch.
    pub(super) actions: Vec<Action>,
}

impl Router {
    /// Creates a router that knows its settings and nothing about the fleet.
    pub fn new(settings: Settings) -> Self {
        let subscribe_at_start = settings.endpoint_list_on_request;
        Router {
            rng: oorandom::Rand64::new(u128::from(settings.seed)),
            fleet: Fleet::new(settings),
            requests: RequestTable::default(),
            retry_budget: RetryBudget::new(),
            failover: FailoverDirectives::default(),
            actions: subscribe_at_start
                .then_some(Action::WatchEndpoints)
                .into_iter()
                .collect(),
            health_checks: HealthCheckBudget::new(),
            timer: TimerSchedule::default(),
        }
    }

    /// Applies all events, then makes the decisions that follow from them, and returns the
    /// resulting actions.
    pub fn batch(&mut self, now: Timestamp, events: &[Event]) -> Vec<Action> {
        self.fleet.now = now;
        for event in events {
            self.observe(event);
        }
        for group in self.fleet.selection.take_due() {
            self.dispatch_queued(group);
            self.send_health_checks_on_demand(group);
        }
        self.review_requests();
        self.set_timer();
        std::mem::take(&mut self.actions)
    }

    /// Returns what this router knows about the fleet, for another router of the same gateway.
    pub fn snapshot(&self) -> RoutingSnapshot {
        RoutingSnapshot::of(&self.fleet)
    }

    /// Returns the class of a request.
    pub(super) fn class(&self, request: &Request) -> &RequestClass {
        &self.fleet.settings.classes[request.class]
    }

    fn observe(&mut self, event: &Event) {
        match event {
            Event::EndpointList {
                complete,
                endpoints,
            } => self.fleet.apply_endpoint_list(*complete, endpoints),
            Event::EndpointListLost => self.actions.push(Action::WatchEndpoints),
            Event::Request { .. } => self.request_arrived(event),
            Event::Streaming { .. } | Event::TimerFired => {}
            Event::AttemptEnded { .. } => self.attempt_ended(event),
            Event::StreamEnded(end) => self.fleet.stream_ended(end),
            Event::ClientGone { id } => self.close(*id),
            Event::HealthChecked {
                member,
                outcome,
                report,
                ..
            } => self.fleet.apply_health_check(*member, *outcome, *report),
            Event::SharedHealthChecks(results) => self.fleet.apply_shared_health_checks(results),
            Event::FailoverDirectivesChanged(directives) => self.failover = directives.clone(),
            Event::SnapshotReceived(snapshot) => snapshot.merge_into(&mut self.fleet),
            Event::SettingsChanged {
                settings,
                measurements_from,
            } => self.fleet.change_settings(settings, measurements_from),
        }
    }

    fn request_arrived(&mut self, event: &Event) {
        let Event::Request {
            id,
            class,
            session,
            deadline,
            group,
            last_write_age,
            ..
        } = event
        else {
            return;
        };
        let now = self.fleet.now;
        let request = Request {
            class: *class,
            group: *group,
            session: *session,
            arrived_at: now,
            deadline: *deadline,
            session_position: self.fleet.session_position(*session, *last_write_age),
            health_check_awaited_until: now + self.health_check_wait(*class),
            sample: self.rng.rand_float(),
            ..Request::default()
        };
        self.fund_health_checks();
        self.requests.by_id.insert(*id, request);
        self.retry_budget.deposit();
        // A queued request that is too late to be sent would keep the others of its class from being tried.
        let is_in_time = self.can_be_answered_in_time(self.requests.get(*id));
        if is_in_time && self.failover_plan_admits(*class) {
            self.enqueue(*id);
        } else {
            self.give_up(*id);
        }
    }

    /// Returns how long a request of this class waits for a health check before selection goes on
    /// without its result.
    fn health_check_wait(&self, class: usize) -> TimeDelta {
        let settings = &self.fleet.settings;
        let needs_confirmed_position = !settings.positions_in_answers
            && settings.staleness_check == StalenessCheck::None
            && settings.limits.health_checks;
        if needs_confirmed_position || self.fleet.relies_on_load_reports() {
            let objective = settings.classes[class].latency_objective.as_nanos_f64();
            TimeDelta::from_nanos_f64(objective * HEALTH_CHECK_WAIT_SHARE)
        } else {
            TimeDelta::ZERO
        }
    }

    fn attempt_ended(&mut self, event: &Event) {
        let Event::AttemptEnded {
            id,
            attempt,
            member,
            outcome,
            elapsed,
            finished,
            status,
            report,
        } = event
        else {
            return;
        };
        let Some(request) = self.requests.by_id.get_mut(id) else {
            return;
        };
        let attempt = request.attempts.get_mut(*attempt as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.is_in_flight()) else {
            return;
        };
        attempt.outcome = Some(*outcome);
        let request = self.requests.get(*id);
        let result = AttemptResult {
            member: *member,
            class: request.class,
            session: request.session,
            required_position: self.required_position(request),
            outcome: *outcome,
            elapsed: *elapsed,
            status: *status,
            report: *report,
        };
        self.fleet.selection.group_changed(request.group);
        self.fleet.attempt_ended(&result);
        if *finished {
            self.close(*id);
        } else {
            self.retry_or_give_up(*id, *outcome, *elapsed);
        }
        self.requests.remove_if_finished(*id);
    }
}
