//! Gateways: their starts and ends, their routers' batches and timers, and their exchange with their peers.

use super::event::{AttemptId, Event, GatewayProcess};
use super::{with_new_seed, Run};
use crate::gateway::{Gateway, OpenRequest, OutgoingDatagram, Recipients, Stage};
use irisrouter::routing::{Event as RouterEvent, RequestId};
use irisrouter_simulation::clients::TryOutcome;
use irisrouter_simulation::{GatewayId, HostId};

/// A connection to a process of a host.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct HostConnection {
    host: HostId,
    epoch: u32,
}

impl Run<'_> {
    pub(super) fn start_gateway(&mut self, gateway: GatewayId) {
        self.clients.set_gateway_state(self.now, gateway, true);
        let settings = with_new_seed(&self.settings, &mut self.seeds);
        let incarnation = self.gateway(gateway).incarnation + 1;
        let view = self.fleet.list().view(gateway);
        self.gateways[gateway.0 as usize] = Gateway::start(&settings, incarnation, view);
        self.start_peer_exchange(gateway);
        self.schedule_batch(gateway);
    }

    /// Kills a gateway: its clients' connections break, and those to hosts are closed.
    pub(super) fn kill_gateway(&mut self, gateway: GatewayId) {
        self.clients.set_gateway_state(self.now, gateway, false);
        let killed = self.gateway_mut(gateway);
        killed.alive = false;
        killed.exchange = None;
        killed.incarnation += 1;
        let idle = std::mem::take(&mut killed.idle);
        let open = std::mem::take(&mut killed.open);
        let mut closed: Vec<HostConnection> = idle
            .into_iter()
            .flat_map(|(host, connections)| {
                let epochs = connections.into_iter().map(|connection| connection.epoch);
                epochs.map(move |epoch| HostConnection { host, epoch })
            })
            .collect();
        let mut open: Vec<(RequestId, OpenRequest)> = open.into_iter().collect();
        open.sort_by_key(|(id, _)| *id);
        for (_, request) in open {
            if !request.over {
                self.send_outcome(request.client_try, TryOutcome::Broken);
            }
            let busy = request.attempts.iter().filter(|a| a.stage == Stage::Sent);
            closed.extend(busy.map(|attempt| HostConnection {
                host: attempt.host,
                epoch: attempt.epoch,
            }));
        }
        closed.sort_unstable();
        for HostConnection { host, epoch } in closed {
            self.fleet.close(self.now, host, epoch);
        }
    }

    /// Resets all connections to a host: the gateways that wait on one learn of it.
    pub(super) fn reset_connections(&mut self, host: HostId) {
        for number in 0..self.gateways.len() {
            let process = self.current_process(GatewayId(number as u32));
            let gateway = &mut self.gateways[number];
            gateway.idle.remove(&host);
            let mut reset: Vec<AttemptId> = Vec::new();
            for (&request, open) in &gateway.open {
                for (number, attempt) in open.attempts.iter().enumerate() {
                    if attempt.host == host && attempt.stage != Stage::Over {
                        reset.push(AttemptId {
                            process,
                            request,
                            number: number as u32,
                            host,
                        });
                    }
                }
            }
            // The table has no order of its own.
            reset.sort_by_key(|attempt| (attempt.request, attempt.number));
            for attempt in reset {
                self.schedule_across_host_link(Event::ResetReachesGateway(attempt));
            }
        }
    }

    /// Schedules a batch of a gateway's router, if none is scheduled.
    pub(super) fn schedule_batch(&mut self, gateway: GatewayId) {
        let process = self.current_process(gateway);
        let gateway = self.gateway_mut(gateway);
        if gateway.alive && !gateway.batch_scheduled {
            gateway.batch_scheduled = true;
            self.schedule(self.now + self.batch_delay, Event::Batch(process));
        }
    }

    pub(super) fn run_batch(&mut self, process: GatewayProcess) {
        let now = self.now;
        let Some(gateway) = self.running(process) else {
            return;
        };
        for action in gateway.run_batch(now) {
            self.perform(process.gateway, action);
        }
    }

    pub(super) fn fire_timer(&mut self, process: GatewayProcess) {
        let now = self.now;
        let Some(gateway) = self.running(process) else {
            return;
        };
        if gateway.timer_at.is_some_and(|at| at <= now) {
            gateway.timer_at = None;
            gateway.post(RouterEvent::TimerFired);
            self.schedule_batch(process.gateway);
        }
    }

    /// Ends a request with an error on which the router has not decided in time.
    pub(super) fn end_undecided(&mut self, process: GatewayProcess, id: RequestId) {
        let Some(gateway) = self.running(process) else {
            return;
        };
        if let Some(client_try) = gateway.finish_request(id) {
            gateway.post(RouterEvent::ClientGone { id });
            self.schedule_batch(process.gateway);
            self.send_outcome(client_try, TryOutcome::Failed);
        }
    }

    pub(super) fn start_peer_exchange(&mut self, gateway: GatewayId) {
        let exchange = (self.peer_exchanges)(gateway, self.now);
        self.gateway_mut(gateway).exchange = exchange;
        self.run_peer_exchange(gateway);
    }

    pub(super) fn handle_datagram(&mut self, to: GatewayId, from: GatewayId, body: &[u8]) {
        let now = self.now;
        if let Some(exchange) = self.gateway_mut(to).exchange.as_mut() {
            exchange.receive(now, from, body);
            self.run_peer_exchange(to);
        }
    }

    /// Sends the datagrams that a gateway has for its peers; to all others in the order of their numbers.
    pub(super) fn run_peer_exchange(&mut self, gateway: GatewayId) {
        let now = self.now;
        let process = self.current_process(gateway);
        let Some(exchange) = self.gateway_mut(gateway).exchange.as_mut() else {
            return;
        };
        let datagrams = exchange.outgoing(now);
        let due = exchange.next_due();
        for datagram in datagrams {
            self.send_datagram(gateway, &datagram);
        }
        if let Some(due) = due {
            self.schedule(due.max(now + 1), Event::PeerTimer(process));
        }
    }

    fn send_datagram(&mut self, from: GatewayId, datagram: &OutgoingDatagram) {
        let gateways = self.gateways.len() as u32;
        let recipients: Vec<GatewayId> = match datagram.to {
            Recipients::One(to) => vec![to],
            Recipients::AllOthers => (0..gateways)
                .map(GatewayId)
                .filter(|&to| to != from)
                .collect(),
        };
        for to in recipients.into_iter().filter(|to| to.0 < gateways) {
            let body = &datagram.body;
            let arrives = self
                .datagrams
                .send(self.now, &self.fleet, from, to, body.len());
            if let Some(at) = arrives {
                let body = body.clone();
                self.schedule(at, Event::Datagram { to, from, body });
            }
        }
    }
}
