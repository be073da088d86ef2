//! Attempts at hosts: their connections, statements and answers.

use super::event::{AttemptId, Event, HostAnswer};
use super::{Run, Ticket};
use crate::gateway::{self, Attempt, CheckedOut, Gateway, Stage};
use irisrouter::routing::{Event as RouterEvent, Outcome, ReplicationStatus, RequestId, TimeDelta};
use irisrouter_simulation::clients::TryOutcome;
use irisrouter_simulation::fleet::{Answer, Delivery, Query};
use irisrouter_simulation::{GatewayId, HostId, Ns};

/// The ways between gateway and host that a new connection takes: there and back again to shake hands, and once more to
/// begin.
const CONNECT_WAYS: Ns = 3;

impl Run<'_> {
    pub(super) fn start_attempt(
        &mut self,
        gateway: GatewayId,
        request: RequestId,
        host: HostId,
        timeout: Ns,
    ) {
        let now = self.now;
        let epoch = self.fleet.host(host).epoch;
        let process = self.current_process(gateway);
        let own = self.gateway_mut(gateway);
        let ready = own.is_ready(host);
        let Some(open) = own.open.get_mut(&request) else {
            post_never_sent(own, request, host);
            return self.schedule_batch(gateway);
        };
        let attempt = AttemptId {
            process,
            request,
            number: open.attempts.len() as u32,
            host,
        };
        let is_copy = open.attempts.iter().any(|a| a.stage != Stage::Over);
        let over = open.over;
        open.attempts.push(Attempt {
            host,
            stage: Stage::Connecting,
            started: now,
            epoch,
        });
        if over || !ready {
            own.end_attempt(now, request, attempt.number, Outcome::NotSent, None);
            return self.schedule_batch(gateway);
        }
        self.collector.attempt(now, is_copy);
        self.connect(attempt, epoch, now + timeout.max(0));
    }

    /// Sends an attempt on an idle connection, or opens a new one for it.
    fn connect(&mut self, attempt: AttemptId, epoch: u32, timeout_at: Ns) {
        let (now, idle_timeout) = (self.now, self.idle_timeout);
        let gateway = self.gateway_mut(attempt.process.gateway);
        let CheckedOut { connection, closed } =
            gateway.check_out(now, attempt.host, epoch, idle_timeout);
        for _ in 0..closed {
            self.fleet.close(now, attempt.host, epoch);
        }
        self.schedule(timeout_at, Event::AttemptTimeout(attempt));
        match connection {
            Some(connection) => self.send_query(attempt, connection.epoch),
            None => {
                self.collector.connection(now);
                let timeout = now + self.settings.limits.connect_timeout.as_nanos();
                self.schedule(timeout, Event::ConnectTimeout(attempt));
                let at = now + CONNECT_WAYS * self.draw_delay(self.day.network.host_way);
                self.schedule(at, Event::ConnectReachesHost(attempt));
            }
        }
    }

    /// An attempt of a process that still runs.
    fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        let gateway = self.gateways.get(id.process.gateway.0 as usize)?;
        if !gateway.alive || gateway.incarnation != id.process.incarnation {
            return None;
        }
        let open = gateway.open.get(&id.request)?;
        open.attempts.get(id.number as usize)
    }

    fn is_at(&self, id: AttemptId, stage: Stage) -> bool {
        self.attempt(id)
            .is_some_and(|attempt| attempt.stage == stage)
    }

    pub(super) fn is_connecting(&self, id: AttemptId) -> bool {
        self.is_at(id, Stage::Connecting)
    }

    /// How an attempt that broke off ended: before its connection was up, or later with `otherwise`.
    pub(super) fn failure_outcome(&self, id: AttemptId, otherwise: Outcome) -> Outcome {
        if self.is_connecting(id) {
            Outcome::ConnectFailed
        } else {
            otherwise
        }
    }

    fn new_ticket(&mut self, ticket: Ticket) -> u64 {
        self.last_ticket += 1;
        self.tickets.insert(self.last_ticket, ticket);
        self.last_ticket
    }

    /// The opening of a connection reaches its host.
    pub(super) fn connect_at_host(&mut self, attempt: AttemptId) {
        if !self.is_connecting(attempt) {
            return;
        }
        let ticket = self.new_ticket(Ticket::Connect(attempt));
        let gateway = attempt.process.gateway;
        match self.fleet.connect(self.now, gateway, attempt.host, ticket) {
            Delivery::Accepted | Delivery::NoResponse => {}
            Delivery::Reset => self.schedule_across_host_link(Event::ResetReachesGateway(attempt)),
        }
    }

    /// A connection is up: its attempt is sent, if the gateway still waits for it and may still send to the host.
    pub(super) fn handle_connection_up(&mut self, attempt: AttemptId, epoch: u32) {
        let (now, host) = (self.now, attempt.host);
        let connecting = self.is_connecting(attempt);
        let Some(gateway) = self.running(attempt.process).filter(|_| connecting) else {
            return self.fleet.close(now, host, epoch);
        };
        let AttemptId {
            request, number, ..
        } = attempt;
        if !gateway.permits_send(now, host, request, number) {
            gateway.end_attempt(now, request, number, Outcome::NotSent, None);
            self.fleet.close(now, host, epoch);
            return self.schedule_batch(attempt.process.gateway);
        }
        self.send_query(attempt, epoch);
    }

    fn send_query(&mut self, attempt: AttemptId, epoch: u32) {
        let ticket = self.new_ticket(Ticket::Query(attempt));
        let sent = self.now;
        let gateway = self.gateway_mut(attempt.process.gateway);
        let Some(open) = gateway.open.get_mut(&attempt.request) else {
            return;
        };
        if let Some(connected) = open.attempts.get_mut(attempt.number as usize) {
            connected.stage = Stage::Sent;
            connected.epoch = epoch;
        }
        let arrival = &open.client_try.arrival;
        let query = Query {
            ticket,
            gateway: attempt.process.gateway,
            class: arrival.class,
            work: arrival.work,
            key: arrival.key,
            mark: open.client_try.mark,
            sent,
            arrived: open.accepted_at,
        };
        self.schedule_across_host_link(Event::QueryReachesHost {
            attempt,
            epoch,
            query,
        });
    }

    /// A statement arrives at its host, also where its gateway has given it up or died since.
    pub(super) fn query_host(&mut self, attempt: AttemptId, epoch: u32, query: Query) {
        if self.fleet.query(self.now, attempt.host, epoch, query) == Delivery::Reset {
            self.schedule_across_host_link(Event::ResetReachesGateway(attempt));
        }
    }

    pub(super) fn handle_answer(&mut self, attempt: AttemptId, reply: HostAnswer) {
        let now = self.now;
        let epoch = self
            .attempt(attempt)
            .filter(|sent| sent.stage == Stage::Sent)
            .map(|sent| sent.epoch);
        let (Some(epoch), Some(gateway)) = (epoch, self.running(attempt.process)) else {
            return self.collector.worked(reply.work, false);
        };
        let is_row = reply.answer == Answer::Row;
        let open = gateway.open.get(&attempt.request);
        let is_write = open.is_some_and(|open| open.client_try.arrival.key.is_some());
        let committed = is_write && is_row;
        gateway.check_in(now, attempt.host, epoch);
        let served = if is_row {
            gateway.mark_over(attempt.request)
        } else {
            None
        };
        self.collector.worked(reply.work, served.is_some());
        if let Some(client_try) = served {
            let commit = committed.then_some(reply.status.position);
            self.send_outcome(client_try, TryOutcome::Served { commit });
        }
        let status = gateway::replication_status(&reply.status, committed);
        self.end_attempt(attempt, gateway::outcome(reply.answer), Some(status));
    }

    /// Ends an attempt whose connection is free again or gone.
    pub(super) fn end_attempt(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        status: Option<ReplicationStatus>,
    ) {
        let now = self.now;
        let AttemptId {
            process,
            request,
            number,
            ..
        } = attempt;
        let Some(gateway) = self.running(process) else {
            return;
        };
        let ended = gateway.end_attempt(now, request, number, outcome, status);
        if ended.is_some() {
            self.schedule_batch(process.gateway);
        }
    }

    /// Ends an attempt that its gateway stops waiting for: its connection is closed. What the host holds goes on.
    pub(super) fn abandon_attempt(&mut self, attempt: AttemptId, outcome: Outcome) {
        let now = self.now;
        let AttemptId {
            process,
            request,
            number,
            ..
        } = attempt;
        let Some(gateway) = self.running(process) else {
            return;
        };
        if let Some(ended) = gateway.end_attempt(now, request, number, outcome, None) {
            if ended.stage == Stage::Sent {
                self.fleet.close(now, ended.host, ended.epoch);
            }
            self.schedule_batch(process.gateway);
        }
    }
}

/// Tells a router that an attempt for a request that was over before was never sent.
fn post_never_sent(gateway: &mut Gateway, id: RequestId, host: HostId) {
    gateway.post(RouterEvent::AttemptEnded {
        id,
        attempt: 0,
        member: gateway::member(host),
        outcome: Outcome::NotSent,
        elapsed: TimeDelta::ZERO,
        finished: true,
        status: None,
        report: None,
    });
}
