//! Sending of health checks, which carry no request: on demand of queued requests, and
//! periodically.
//!
//! `health_check` decides which checks are due and how many of them the requests pay for. Where one
//! replica is checked for all queued requests, selection chooses it.

use super::action::Action;
use super::identifiers::{GroupId, MemberId, RequestId};
use super::router::Router;
use super::time::TimeDelta;

impl Router {
    /// Adds a new request's payment to the health check budget, and sends the periodic health
    /// checks that are due.
    pub(super) fn fund_health_checks(&mut self) {
        let price = self.fleet.settings.health_check_price;
        self.health_checks.deposit(price);
        self.send_periodic_health_checks();
    }

    /// Records what a queued request waits for, so that health checks are sent for it.
    pub(super) fn record_unmet_needs(&mut self, id: RequestId) {
        let request = self.requests.get(id);
        let now = self.fleet.now;
        let requires_primary = self.fleet.requires_primary(request.class);
        let primary = self.fleet.primary(request.group);
        let no_primary = primary.is_none_or(|primary| self.fleet.is_suspected(primary));
        let position_age = if requires_primary {
            TimeDelta::ZERO
        } else {
            let required = self.required_position(request);
            now.saturating_since(required).max(TimeDelta::ZERO)
        };
        let awaits_load_report = self.fleet.relies_on_load_reports()
            && (requires_primary || now >= request.health_check_awaited_until);
        let needs = &mut self.fleet.group_mut(request.group).health_checks.needs;
        needs.replica_position_age = needs.replica_position_age.max(position_age);
        needs.primary |= no_primary;
        if awaits_load_report {
            needs.add_primary_load_wait(now - request.arrived_at + TimeDelta::NANOSECOND);
        }
    }

    /// Sends the health checks that a group's queued requests need: to find a primary that answers,
    /// or to confirm the position of a replica, and to learn whether the primary has capacity.
    /// Sends none where gateways share their health checks.
    pub(super) fn send_health_checks_on_demand(&mut self, group_id: GroupId) {
        if self.fleet.has_shared_health_checks(group_id) {
            return;
        }
        let now = self.fleet.now;
        let timeout = self.fleet.settings.limits.connect_timeout;
        let group_checks = &self.fleet.group_mut(group_id).health_checks;
        let mut due = Vec::new();
        if group_checks.needs.primary {
            due = self.fleet.primary_search_due(group_id);
        } else if group_checks.position_check_due(now, timeout) {
            let candidates = self.fleet.position_check_candidates(group_id);
            due.extend(self.choose_weighted(&candidates));
            let group = self.fleet.group_mut(group_id);
            group.health_checks.record_position_check(now);
        }
        due.extend(self.fleet.primary_load_check_due(group_id));
        for member in due {
            if self.fleet.in_service(member) && self.health_checks.withdraw_on_demand() {
                self.send_health_check(member);
            }
        }
    }

    /// Sends the health checks that are due independently of any request, as far as the budget
    /// allows.
    fn send_periodic_health_checks(&mut self) {
        let limit = self.health_checks.affordable_periodic();
        if limit == 0 {
            return;
        }
        for member in self.fleet.periodic_health_checks_due(limit) {
            if self.health_checks.withdraw_periodic() {
                self.send_health_check(member);
            }
        }
    }

    fn send_health_check(&mut self, member: MemberId) {
        if self.fleet.settings.limits.health_checks {
            self.fleet.health_check_sent(member);
            self.actions.push(Action::HealthCheck { member });
        }
    }
}
