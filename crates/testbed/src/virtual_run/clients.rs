//! Clients: their tries, and how these end.

use super::event::{Event, GatewayProcess};
use super::{Run, ANSWER_SLACK, START};
use crate::gateway::TryId;
use irisrouter::routing::Event as RouterEvent;
use irisrouter_simulation::clients::{NextStep, Try, TryOutcome};

impl Run<'_> {
    pub(super) fn schedule_next_arrival(&mut self) {
        if let Some(next) = self.arrivals.peek().map(|arrival| START + arrival.at) {
            self.schedule(next, Event::Arrival);
        }
    }

    pub(super) fn handle_arrival(&mut self) {
        if let Some(arrival) = self.arrivals.next() {
            let first_try = self.clients.first_try(self.now, arrival);
            self.send_try(first_try);
        }
        self.schedule_next_arrival();
    }

    pub(super) fn handle_retry(&mut self, call: u64) {
        if let Some(next_try) = self.clients.next_try(self.now, call) {
            self.send_try(next_try);
        }
    }

    fn send_try(&mut self, client_try: Try) {
        self.collector.tried(self.now, client_try.number == 0);
        let arrives = self.now + self.draw_delay(self.day.network.client_way);
        self.schedule(arrives, Event::TryReachesGateway(client_try));
        let deadline = client_try.deadline + ANSWER_SLACK;
        self.schedule(deadline, Event::ClientDeadline(client_try));
        if let Some(leaves) = client_try.leaves {
            self.schedule(leaves, Event::ClientLeaves(client_try));
        }
    }

    /// Sends the outcome of a try to its client.
    pub(super) fn send_outcome(&mut self, client_try: Try, outcome: TryOutcome) {
        let at = self.now + self.draw_delay(self.day.network.client_way);
        self.schedule(
            at,
            Event::OutcomeReachesClient {
                client_try,
                outcome,
            },
        );
    }

    pub(super) fn handle_try(&mut self, client_try: Try) {
        let now = self.now;
        let process = self.current_process(client_try.gateway);
        let gateway = self.gateway_mut(client_try.gateway);
        if !gateway.alive {
            return self.send_outcome(client_try, TryOutcome::Unreachable);
        }
        let accepted = gateway.accept(now, client_try);
        let guard = Event::DecisionGuard {
            process,
            request: accepted.id,
        };
        self.schedule(accepted.guard_at, guard);
        self.schedule_batch(client_try.gateway);
    }

    pub(super) fn handle_client_deadline(&mut self, client_try: Try) {
        let gateway = self.gateway(client_try.gateway);
        let is_open = gateway
            .requests_by_try
            .contains_key(&TryId::of(&client_try));
        if gateway.alive && is_open {
            self.collector.unanswered += 1;
        }
        self.finish_try(client_try, TryOutcome::TimedOut);
    }

    pub(super) fn handle_client_leaving(&mut self, client_try: Try) {
        let process = self.current_process(client_try.gateway);
        let at = self.now + self.draw_delay(self.day.network.client_way);
        self.schedule(
            at,
            Event::ClientGone {
                process,
                client_try,
            },
        );
        self.finish_try(client_try, TryOutcome::Left);
    }

    pub(super) fn handle_client_gone(&mut self, process: GatewayProcess, client_try: &Try) {
        let Some(gateway) = self.running(process) else {
            return;
        };
        if let Some(&id) = gateway.requests_by_try.get(&TryId::of(client_try)) {
            gateway.finish_request(id);
            gateway.post(RouterEvent::ClientGone { id });
            self.schedule_batch(process.gateway);
        }
    }

    /// Ends a try at its client.
    pub(super) fn finish_try(&mut self, client_try: Try, outcome: TryOutcome) {
        // An answer after the client's deadline is none.
        let outcome = match outcome {
            TryOutcome::Served { .. } if self.now > client_try.deadline + ANSWER_SLACK => {
                TryOutcome::TimedOut
            }
            outcome => outcome,
        };
        let Try {
            call, number, sent, ..
        } = client_try;
        match self
            .clients
            .finish_try(self.now, call, number, sent, outcome)
        {
            NextStep::Again(at) => self.schedule(at, Event::Retry { call }),
            NextStep::Done(finished) => self.collector.finished(&finished),
            NextStep::Nothing => {}
        }
    }
}
