//! Health checks of hosts.

use super::event::{Event, HealthCheck};
use super::Run;
use crate::gateway::{self, HealthCheckId};
use irisrouter::routing::{Event as RouterEvent, Outcome, TimeDelta};
use irisrouter_simulation::fleet::ProbeResult;
use irisrouter_simulation::{GatewayId, HostId};

impl Run<'_> {
    pub(super) fn send_health_check(&mut self, gateway: GatewayId, host: HostId) {
        let now = self.now;
        self.collector.health_check(now);
        let check = HealthCheck {
            process: self.current_process(gateway),
            host,
            sent: now,
        };
        let id = HealthCheckId { host, sent: now };
        self.gateway_mut(gateway).health_checks.insert(id);
        self.schedule_across_host_link(Event::HealthCheckReachesHost(check));
        let timeout = now + self.settings.limits.connect_timeout.as_nanos();
        let timed_out = Event::HealthCheckAnswered {
            check,
            result: None,
        };
        self.schedule(timeout, timed_out);
    }

    /// A health check reaches its host, which answers or not.
    pub(super) fn check_host(&mut self, check: HealthCheck) {
        let gateway = check.process.gateway;
        let result = self.fleet.probe(self.now, gateway, check.host);
        if result != ProbeResult::NoResponse {
            self.schedule_across_host_link(Event::HealthCheckAnswered {
                check,
                result: Some(result),
            });
        }
    }

    /// The result of a health check, or none once its time is over, reaches the gateway that sent it.
    pub(super) fn handle_health_check_result(
        &mut self,
        check: HealthCheck,
        result: Option<ProbeResult>,
    ) {
        let HealthCheck {
            process,
            host,
            sent,
        } = check;
        let elapsed = self.now - sent;
        let Some(gateway) = self.running(process) else {
            return;
        };
        if !gateway.health_checks.remove(&HealthCheckId { host, sent }) {
            return;
        }
        let (outcome, report) = match result {
            Some(ProbeResult::Report(report)) => (Outcome::Ok, Some(gateway::load_report(&report))),
            Some(ProbeResult::Refused | ProbeResult::NoResponse) | None => {
                (Outcome::ConnectFailed, None)
            }
        };
        gateway.post(RouterEvent::HealthChecked {
            member: gateway::member(host),
            outcome,
            elapsed: TimeDelta::from_nanos(elapsed),
            report,
        });
        self.schedule_batch(process.gateway);
    }
}
