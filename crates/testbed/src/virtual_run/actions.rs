//! What a gateway's router wants done.

use super::event::{AttemptId, Event};
use super::Run;
use irisrouter::routing::{Action, Outcome, RequestId, TimeDelta};
use irisrouter_simulation::clients::TryOutcome;
use irisrouter_simulation::{GatewayId, HostId};

impl Run<'_> {
    pub(super) fn perform(&mut self, gateway: GatewayId, action: Action) {
        match action {
            Action::StartAttempt {
                id,
                member,
                timeout,
            } => self.start_attempt(gateway, id, HostId(member.0), timeout.as_nanos()),
            Action::CancelAttempt { id, attempt } => self.cancel_attempt(gateway, id, attempt),
            Action::Reject { id, retry_after } => self.reject(gateway, id, retry_after),
            Action::Fail { id } => {
                if let Some(client_try) = self.gateway_mut(gateway).finish_request(id) {
                    self.send_outcome(client_try, TryOutcome::Failed);
                }
            }
            Action::HealthCheck { member } => self.send_health_check(gateway, HostId(member.0)),
            Action::SetTimer { after } => self.set_timer(gateway, after),
            Action::WatchEndpoints => {}
        }
    }

    fn cancel_attempt(&mut self, gateway: GatewayId, request: RequestId, number: u32) {
        let process = self.current_process(gateway);
        let open = self.gateway(gateway).open.get(&request);
        let attempt = open.and_then(|open| open.attempts.get(number as usize));
        if let Some(host) = attempt.map(|attempt| attempt.host) {
            let attempt = AttemptId {
                process,
                request,
                number,
                host,
            };
            self.abandon_attempt(attempt, Outcome::Cancelled);
        }
    }

    fn reject(&mut self, gateway: GatewayId, id: RequestId, retry_after: TimeDelta) {
        if let Some(client_try) = self.gateway_mut(gateway).finish_request(id) {
            let pause = Some(retry_after.as_nanos()).filter(|&pause| pause > 0);
            self.collector.refused(self.now, pause);
            self.send_outcome(client_try, TryOutcome::Refused { pause });
        }
    }

    /// Sets the timer of a gateway's router. The earliest alone is kept, as on sockets.
    fn set_timer(&mut self, gateway: GatewayId, after: TimeDelta) {
        let at = self.now + after.as_nanos().max(0);
        let process = self.current_process(gateway);
        let gateway = self.gateway_mut(gateway);
        if gateway.timer_at.is_none_or(|earliest| at < earliest) {
            gateway.timer_at = Some(at);
            self.schedule(at, Event::Timer(process));
        }
    }
}
