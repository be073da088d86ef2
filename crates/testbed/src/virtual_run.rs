//! A run in virtual time: discrete events round the decision module itself, one `Router` a gateway, in one world.
//!
//! Deterministic: one scenario and seed, one result, byte for byte. Events of one moment happen in the order in which they
//! were planned, and everything random comes from a stream of its own.

use crate::gateway::{self, Attempt, Gateway, PeerExchange, Stage};
use crate::results::{Collector, RunResults};
use crate::scenario::Scenario;
use irisrouter::routing::{Action, Event as RouterEvent, Outcome, RequestId, Settings, TimeDelta};
use irisrouter_simulation::clients::{Arrivals, Clients, NextStep, Try, TryOutcome};
use irisrouter_simulation::datagrams::Datagrams;
use irisrouter_simulation::event_queue::EventQueue;
use irisrouter_simulation::fleet::{
    Answer, Delivery, Fleet, Output, ProbeResult, Query, ReplicaStatus,
};
use irisrouter_simulation::rng::{Rng, Stream};
use irisrouter_simulation::spec::Day;
use irisrouter_simulation::{ms, seconds, GatewayId, HostId, Ns, MS, SECOND};
use rustc_hash::FxHashMap;

/// Where virtual time begins. The module takes 0 for never, and hosts that were started long ago for warm.
const START: Ns = 1_000_000 * SECOND;
/// A request that is not answered so long after its client's time is unanswered.
const SLACK: Ns = 50 * MS;
/// A run ends so long after the last arrival's deadline at the latest.
const AFTER: Ns = 5 * SECOND;
/// A gateway closes a connection that has been idle for the host's time less this.
const IDLE_MARGIN: Ns = SECOND;

#[derive(Clone, Debug)]
enum Event {
    /// The next request comes.
    Arrival,
    /// A client tries again.
    Retry(u64),
    /// A try reaches its gateway.
    Reaches(Try),
    /// A client hears of its try.
    ClientHears { of: Try, outcome: TryOutcome },
    /// A client's time is over; it has left if there was no answer.
    ClientTime(Try),
    /// A client leaves early.
    ClientLeaves(Try),
    /// A gateway hears that a client has left.
    Left {
        gateway: GatewayId,
        life: u32,
        call: u64,
        number: u32,
    },
    /// A gateway looks at what has come.
    Batch { gateway: GatewayId, life: u32 },
    /// A wake-up of a gateway's module.
    Wake { gateway: GatewayId, life: u32 },
    /// The guard against no decision.
    Guard {
        gateway: GatewayId,
        life: u32,
        id: RequestId,
    },
    /// A connection is asked for, at the host.
    ConnectReaches(Leg),
    /// A connection is up, at the gateway.
    ConnectedReaches(Leg, u32),
    /// A statement reaches its host.
    QueryReaches(Leg, u32, Query),
    /// An answer reaches the gateway.
    AnswerReaches(Leg, Answer, ReplicaStatus, Ns),
    /// A connection is reset or refused, at the gateway.
    ResetReaches(Leg),
    /// A gateway stops waiting.
    Timeout(Leg),
    /// A gateway stops waiting for a connection.
    ConnectTimeout(Leg),
    /// A probe reaches its host.
    ProbeReaches {
        gateway: GatewayId,
        life: u32,
        host: HostId,
        sent: Ns,
    },
    /// What it found reaches the gateway.
    ProbeAnswers {
        gateway: GatewayId,
        life: u32,
        host: HostId,
        sent: Ns,
        found: Option<ProbeResult>,
    },
    /// A datagram reaches a gateway, whatever process of it runs then.
    Datagram {
        to: GatewayId,
        from: GatewayId,
        body: Vec<u8>,
    },
    /// A gateway's exchange with its peers is due.
    PeerTimer { gateway: GatewayId, life: u32 },
    /// A look at all hosts.
    Sample,
}

/// One attempt's place.
#[derive(Clone, Copy, Debug)]
struct Leg {
    gateway: GatewayId,
    life: u32,
    id: RequestId,
    attempt: u32,
    host: HostId,
}

/// What a ticket at a host belongs to.
#[derive(Clone, Copy, Debug)]
enum Ticket {
    Connect(Leg),
    Query(Leg),
}

/// Makes each process of a gateway its part in what gateways tell one another, or none.
pub type Talks<'a> = &'a dyn Fn(GatewayId, Ns) -> Option<Box<dyn PeerExchange>>;

/// A run.
pub struct Run<'a> {
    scenario: &'a Scenario,
    settings: Settings,
    day: Day,
    fleet: Fleet,
    clients: Clients,
    arrivals: std::iter::Peekable<Arrivals>,
    gateways: Vec<Gateway>,
    queue: EventQueue<Event>,
    tickets: FxHashMap<u64, Ticket>,
    next_ticket: u64,
    network: Rng,
    datagrams: Datagrams,
    talks: Talks<'a>,
    seeds: Rng,
    collector: Collector,
    batch: Ns,
    idle_close: Ns,
    now: Ns,
}

/// Runs a scenario in virtual time.
///
/// # Errors
/// Where the gateway's own code does not take the scenario's settings.
pub fn run(scenario: &Scenario, seed: u64) -> Result<RunResults, String> {
    run_with(scenario, seed, &mut |_| (), &|_, _| None)
}

/// Runs a scenario with gateways that talk, and tells, each second of virtual time, how far it has come.
///
/// # Errors
/// As [`run`].
pub fn run_with(
    scenario: &Scenario,
    seed: u64,
    progress: &mut dyn FnMut(f64),
    talks: Talks<'_>,
) -> Result<RunResults, String> {
    let settings = gateway::settings_of(scenario, seed)?;
    let world = &scenario.world;
    let fleet = Fleet::new(world, seed, START);
    let mut seeds = Rng::new(seed, Stream::Gateways);
    let gateways = (0..world.gateways)
        .map(|g| {
            let own = Settings {
                seed: seeds.number(),
                ..settings.clone()
            };
            Gateway::start(&own, 0, fleet.list().view(GatewayId(g)))
        })
        .collect();
    let mut run = Run {
        settings,
        day: fleet.day().clone(),
        clients: Clients::new(world, seed, START),
        arrivals: Arrivals::new(world, seed).peekable(),
        fleet,
        gateways,
        queue: EventQueue::default(),
        tickets: FxHashMap::default(),
        next_ticket: 0,
        network: Rng::new(seed, Stream::Network),
        datagrams: Datagrams::new(seed),
        talks,
        seeds,
        collector: Collector::new(scenario, START),
        batch: (scenario.gateway.batch_us * 1000.0) as Ns,
        idle_close: (seconds(world.hosts.idle_close_s) - IDLE_MARGIN).max(SECOND / 10),
        now: START,
        scenario,
    };
    run.go(progress);
    run.collector.datagram_bytes = run.datagrams.bytes;
    run.collector.too_long = run.datagrams.too_long;
    Ok(run.collector.results(scenario, "virtual", seed, &run.fleet))
}

impl Run<'_> {
    fn go(&mut self, progress: &mut dyn FnMut(f64)) {
        for g in 0..self.gateways.len() {
            self.plan_batch(GatewayId(g as u32));
            self.start_talk(GatewayId(g as u32));
        }
        if let Some(first) = self.arrivals.peek().map(|a| START + a.at) {
            self.push(first, Event::Arrival);
        }
        self.push(START, Event::Sample);
        let length = seconds(self.scenario.world.length_s);
        let longest = self
            .scenario
            .world
            .classes
            .iter()
            .map(|c| ms(c.deadline_ms))
            .max()
            .unwrap_or(0);
        let tries = Ns::from(self.scenario.world.clients.retries) + 1;
        let end = START + length + longest * tries + AFTER;
        loop {
            let own = self.queue.next();
            let theirs = self.fleet.next();
            let Some(at) = [own, theirs]
                .into_iter()
                .flatten()
                .min()
                .filter(|&at| at <= end)
            else {
                break;
            };
            if at >= START + length && self.arrivals.peek().is_none() && self.clients.open() == 0 {
                break;
            }
            if at / SECOND != self.now / SECOND {
                progress((at - START) as f64 / SECOND as f64);
            }
            self.now = at;
            // At one moment the world goes first.
            if theirs == Some(at) {
                self.settle();
            }
            while let Some((_, event)) = self.queue.pop(at) {
                self.handle_event(event);
            }
            self.settle();
        }
    }

    fn push(&mut self, at: Ns, event: Event) {
        self.queue.push(at.max(self.now), event);
    }

    fn way(&mut self, usual: Ns) -> Ns {
        (usual as f64 * (1.0 + self.day.network.jitter * self.network.unit())) as Ns
    }

    fn hostward(&mut self, event: Event) {
        let at = self.now + self.way(self.day.network.host_way);
        self.push(at, event);
    }

    fn clientward(&mut self, of: Try, outcome: TryOutcome) {
        let at = self.now + self.way(self.day.network.client_way);
        self.push(at, Event::ClientHears { of, outcome });
    }

    /// What has come of the world by now.
    fn settle(&mut self) {
        loop {
            let outputs = self.fleet.advance(self.now);
            if outputs.is_empty() {
                return;
            }
            outputs.into_iter().for_each(|o| self.world_says(o));
        }
    }

    fn world_says(&mut self, output: Output) {
        self.collector.world(self.now, &output, self.fleet.plan());
        match output {
            Output::Answered {
                ticket,
                answer,
                note,
                work,
                ..
            } => {
                if let Some(Ticket::Query(leg)) = self.tickets.remove(&ticket) {
                    self.hostward(Event::AnswerReaches(leg, answer, note, work));
                }
            }
            Output::Connected { ticket, host } => {
                let epoch = self.fleet.host(host).epoch;
                if let Some(Ticket::Connect(leg)) = self.tickets.remove(&ticket) {
                    self.hostward(Event::ConnectedReaches(leg, epoch));
                }
            }
            Output::ConnectionsReset { host } => self.broken(host),
            Output::ListUpdated { gateway, entry } if self.gateways[gateway.0 as usize].alive => {
                self.gateways[gateway.0 as usize].told(&entry);
                self.plan_batch(gateway);
            }
            Output::Gateway { gateway, up } => self.gateway(gateway, up),
            _ => {}
        }
    }

    /// All connections to a host are reset: whoever waits on one is told.
    fn broken(&mut self, host: HostId) {
        for g in 0..self.gateways.len() {
            let gateway = GatewayId(g as u32);
            let life = self.gateways[g].life;
            self.gateways[g].idle.remove(&host);
            let mut legs: Vec<Leg> = Vec::new();
            for (&id, open) in &self.gateways[g].open {
                for (i, a) in open.attempts.iter().enumerate() {
                    if a.host == host && a.stage != Stage::Over {
                        legs.push(Leg {
                            gateway,
                            life,
                            id,
                            attempt: i as u32,
                            host,
                        });
                    }
                }
            }
            // The table has no order of its own.
            legs.sort_by_key(|l| (l.id, l.attempt));
            legs.into_iter()
                .for_each(|leg| self.hostward(Event::ResetReaches(leg)));
        }
    }

    fn gateway(&mut self, gateway: GatewayId, up: bool) {
        let g = gateway.0 as usize;
        self.clients.set_gateway_state(self.now, gateway, up);
        if up {
            let settings = Settings {
                seed: self.seeds.number(),
                ..self.settings.clone()
            };
            let life = self.gateways[g].life + 1;
            self.gateways[g] = Gateway::start(&settings, life, self.fleet.list().view(gateway));
            self.start_talk(gateway);
            return self.plan_batch(gateway);
        }
        let old = &mut self.gateways[g];
        old.alive = false;
        old.exchange = None;
        old.life += 1;
        let idle: Vec<(HostId, u32)> = {
            let all = std::mem::take(&mut old.idle);
            all.into_iter()
                .flat_map(|(h, c)| c.into_iter().map(move |c| (h, c.epoch)))
                .collect()
        };
        let mut open: Vec<(RequestId, gateway::Open)> =
            std::mem::take(&mut old.open).into_iter().collect();
        open.sort_by_key(|(id, _)| *id);
        let mut closed = idle;
        for (_, o) in open {
            if !o.over {
                self.clientward(o.of, TryOutcome::Broken);
            }
            let busy = o.attempts.iter().filter(|a| a.stage == Stage::Sent);
            closed.extend(busy.map(|a| (a.host, a.epoch)));
        }
        closed.sort_unstable();
        for (host, epoch) in closed {
            self.fleet.close(self.now, host, epoch);
        }
    }

    fn start_talk(&mut self, gateway: GatewayId) {
        self.gateways[gateway.0 as usize].exchange = (self.talks)(gateway, self.now);
        self.run_peer_exchange(gateway);
    }

    /// What a gateway has to say goes out, late or lost; to all others in the order of their numbers.
    fn run_peer_exchange(&mut self, gateway: GatewayId) {
        let now = self.now;
        let count = self.gateways.len() as u32;
        let g = &mut self.gateways[gateway.0 as usize];
        let (life, Some(exchange)) = (g.life, g.exchange.as_mut()) else {
            return;
        };
        let said = exchange.outgoing(now);
        let due = exchange.next_due();
        for (to, body) in said {
            let all = (0..count).map(GatewayId).filter(|&g| g != gateway);
            let to: Vec<GatewayId> = to.map_or_else(|| all.collect(), |to| vec![to]);
            for to in to.into_iter().filter(|to| to.0 < count) {
                if let Some(at) = self
                    .datagrams
                    .send(now, &self.fleet, gateway, to, body.len())
                {
                    self.push(
                        at,
                        Event::Datagram {
                            to,
                            from: gateway,
                            body: body.clone(),
                        },
                    );
                }
            }
        }
        if let Some(due) = due {
            self.push(due.max(now + 1), Event::PeerTimer { gateway, life });
        }
    }

    fn plan_batch(&mut self, gateway: GatewayId) {
        let g = &mut self.gateways[gateway.0 as usize];
        if g.alive && !g.batch_planned {
            g.batch_planned = true;
            let life = g.life;
            self.push(self.now + self.batch, Event::Batch { gateway, life });
        }
    }

    /// The gateway of a process that still runs.
    fn living(&mut self, gateway: GatewayId, life: u32) -> Option<&mut Gateway> {
        let g = &mut self.gateways[gateway.0 as usize];
        (g.alive && g.life == life).then_some(g)
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrival => self.handle_arrival(),
            Event::Retry(call) => {
                if let Some(of) = self.clients.next_try(self.now, call) {
                    self.send(of);
                }
            }
            Event::Reaches(of) => self.reaches(of),
            Event::ClientHears { of, outcome } => self.client_ends(of, outcome),
            Event::ClientTime(of) => self.handle_client_timeout(of),
            Event::ClientLeaves(of) => self.handle_client_leaving(of),
            Event::Left {
                gateway,
                life,
                call,
                number,
            } => self.handle_client_gone(gateway, life, call, number),
            Event::Batch { gateway, life } => self.run_batch(gateway, life),
            Event::Wake { gateway, life } => self.wake_router(gateway, life),
            Event::Guard { gateway, life, id } => self.abandon_undecided(gateway, life, id),
            Event::ConnectReaches(leg) => self.connect_reaches(leg),
            Event::ConnectedReaches(leg, epoch) => self.connected(leg, epoch),
            Event::QueryReaches(leg, epoch, query) => self.query_reaches(leg, epoch, query),
            Event::AnswerReaches(leg, answer, note, work) => self.answered(leg, answer, note, work),
            Event::ResetReaches(leg) => {
                let outcome = self.failure_outcome(leg, Outcome::Reset);
                self.ended(leg, outcome, None);
            }
            Event::Timeout(leg) => {
                let outcome = self.failure_outcome(leg, Outcome::TimedOut);
                self.give_up(leg, outcome);
            }
            Event::ConnectTimeout(leg) => {
                if self.is_connecting(leg) {
                    self.give_up(leg, Outcome::ConnectFailed);
                }
            }
            Event::ProbeReaches {
                gateway,
                life,
                host,
                sent,
            } => self.probe_host(gateway, life, host, sent),
            Event::ProbeAnswers {
                gateway,
                life,
                host,
                sent,
                found,
            } => self.handle_probe_answer(gateway, life, host, sent, found),
            Event::Datagram { to, from, body } => self.handle_datagram(to, from, &body),
            Event::PeerTimer { gateway, life } => {
                if self.living(gateway, life).is_some() {
                    self.run_peer_exchange(gateway);
                }
            }
            Event::Sample => self.sample(),
        }
    }

    // ---- Events of clients ----

    fn handle_arrival(&mut self) {
        if let Some(arrival) = self.arrivals.next() {
            let of = self.clients.first_try(self.now, arrival);
            self.send(of);
        }
        if let Some(next) = self.arrivals.peek().map(|a| START + a.at) {
            self.push(next, Event::Arrival);
        }
    }

    fn handle_client_timeout(&mut self, of: Try) {
        let gateway = &self.gateways[of.gateway.0 as usize];
        if gateway.alive && gateway.of_try.contains_key(&(of.call, of.number)) {
            self.collector.unanswered += 1;
        }
        self.client_ends(of, TryOutcome::TimedOut);
    }

    fn handle_client_leaving(&mut self, of: Try) {
        let life = self.gateways[of.gateway.0 as usize].life;
        let at = self.now + self.way(self.day.network.client_way);
        self.push(
            at,
            Event::Left {
                gateway: of.gateway,
                life,
                call: of.call,
                number: of.number,
            },
        );
        self.client_ends(of, TryOutcome::Left);
    }

    fn handle_client_gone(&mut self, gateway: GatewayId, life: u32, call: u64, number: u32) {
        let Some(process) = self.living(gateway, life) else {
            return;
        };
        if let Some(&id) = process.of_try.get(&(call, number)) {
            process.over(id);
            process.post(RouterEvent::ClientGone { id });
            self.plan_batch(gateway);
        }
    }

    // ---- Events of gateways ----

    fn run_batch(&mut self, gateway: GatewayId, life: u32) {
        let now = self.now;
        let Some(process) = self.living(gateway, life) else {
            return;
        };
        let actions = process.batch(now);
        actions.into_iter().for_each(|a| self.act(gateway, a));
    }

    fn wake_router(&mut self, gateway: GatewayId, life: u32) {
        let now = self.now;
        let Some(process) = self.living(gateway, life) else {
            return;
        };
        if process.wake.is_some_and(|wake| wake <= now) {
            process.wake = None;
            process.post(RouterEvent::TimerFired);
            self.plan_batch(gateway);
        }
    }

    /// A request on which the router has not decided in time ends with an error.
    fn abandon_undecided(&mut self, gateway: GatewayId, life: u32, id: RequestId) {
        let Some(process) = self.living(gateway, life) else {
            return;
        };
        if let Some(of) = process.over(id) {
            process.post(RouterEvent::ClientGone { id });
            self.plan_batch(gateway);
            self.clientward(of, TryOutcome::Failed);
        }
    }

    fn is_connecting(&mut self, leg: Leg) -> bool {
        self.attempt(leg)
            .is_some_and(|attempt| attempt.stage == Stage::Connecting)
    }

    /// How an attempt that broke off ended: before its connection was up, or later with `otherwise`.
    fn failure_outcome(&mut self, leg: Leg, otherwise: Outcome) -> Outcome {
        if self.is_connecting(leg) {
            Outcome::ConnectFailed
        } else {
            otherwise
        }
    }

    fn handle_datagram(&mut self, to: GatewayId, from: GatewayId, body: &[u8]) {
        let now = self.now;
        if let Some(exchange) = self.gateways[to.0 as usize].exchange.as_mut() {
            exchange.receive(now, from, body);
            self.run_peer_exchange(to);
        }
    }

    fn sample(&mut self) {
        self.collector.sample(self.now, &mut self.fleet);
        if self.now + SECOND < START + seconds(self.scenario.world.length_s) {
            self.push(self.now + SECOND, Event::Sample);
        }
    }

    // ---- Events of probes ----

    fn probe_host(&mut self, gateway: GatewayId, life: u32, host: HostId, sent: Ns) {
        let found = self.fleet.probe(self.now, gateway, host);
        if found != ProbeResult::NoResponse {
            self.hostward(Event::ProbeAnswers {
                gateway,
                life,
                host,
                sent,
                found: Some(found),
            });
        }
    }

    /// The result of a probe, or `None` once its time is over, reaches the gateway that sent it.
    fn handle_probe_answer(
        &mut self,
        gateway: GatewayId,
        life: u32,
        host: HostId,
        sent: Ns,
        found: Option<ProbeResult>,
    ) {
        let elapsed = self.now - sent;
        let Some(process) = self.living(gateway, life) else {
            return;
        };
        if !process.probing.remove(&(host, sent)) {
            return;
        }
        let (outcome, report) = match found {
            Some(ProbeResult::Report(report)) => (Outcome::Ok, Some(gateway::report(&report))),
            Some(ProbeResult::Refused | ProbeResult::NoResponse) | None => {
                (Outcome::ConnectFailed, None)
            }
        };
        process.post(RouterEvent::HealthChecked {
            member: gateway::member(host),
            outcome,
            elapsed: TimeDelta::from_nanos(elapsed),
            report,
        });
        self.plan_batch(gateway);
    }

    // ---- Clients ----

    fn send(&mut self, of: Try) {
        self.collector.tried(self.now, of.number == 0);
        let at = self.now + self.way(self.day.network.client_way);
        self.push(at, Event::Reaches(of));
        self.push(of.deadline + SLACK, Event::ClientTime(of));
        if let Some(leaves) = of.leaves {
            self.push(leaves, Event::ClientLeaves(of));
        }
    }

    fn client_ends(&mut self, of: Try, outcome: TryOutcome) {
        // An answer that comes when its client's time is over is none.
        let outcome = match outcome {
            TryOutcome::Served { .. } if self.now > of.deadline + SLACK => TryOutcome::TimedOut,
            outcome => outcome,
        };
        match self
            .clients
            .finish_try(self.now, of.call, of.number, of.sent, outcome)
        {
            NextStep::Again(at) => self.push(at, Event::Retry(of.call)),
            NextStep::Done(finished) => self.collector.finished(&finished),
            NextStep::Nothing => {}
        }
    }

    fn reaches(&mut self, of: Try) {
        let now = self.now;
        let gateway = of.gateway;
        let g = &mut self.gateways[gateway.0 as usize];
        if !g.alive {
            return self.clientward(of, TryOutcome::Unreachable);
        }
        let life = g.life;
        let (id, last) = g.take(now, of);
        self.push(last, Event::Guard { gateway, life, id });
        self.plan_batch(gateway);
    }

    // ---- What the module wants ----

    fn act(&mut self, gateway: GatewayId, action: Action) {
        let now = self.now;
        let life = self.gateways[gateway.0 as usize].life;
        match action {
            Action::StartAttempt {
                id,
                member,
                timeout: limit,
            } => self.begin(gateway, id, HostId(member.0), limit.as_nanos()),
            Action::CancelAttempt { id, attempt } => {
                if let Some(host) = self.gateways[gateway.0 as usize]
                    .open
                    .get(&id)
                    .and_then(|o| o.attempts.get(attempt as usize).map(|a| a.host))
                {
                    self.give_up(
                        Leg {
                            gateway,
                            life,
                            id,
                            attempt,
                            host,
                        },
                        Outcome::Cancelled,
                    );
                }
            }
            Action::Reject {
                id,
                retry_after: pause,
            } => {
                if let Some(of) = self.gateways[gateway.0 as usize].over(id) {
                    let pause = Some(pause.as_nanos()).filter(|&pause| pause > 0);
                    self.collector.refused(now, pause);
                    self.clientward(of, TryOutcome::Refused { pause });
                }
            }
            Action::Fail { id } => {
                if let Some(of) = self.gateways[gateway.0 as usize].over(id) {
                    self.clientward(of, TryOutcome::Failed);
                }
            }
            Action::HealthCheck { member } => {
                let host = HostId(member.0);
                self.collector.probe(now);
                self.gateways[gateway.0 as usize]
                    .probing
                    .insert((host, now));
                self.hostward(Event::ProbeReaches {
                    gateway,
                    life,
                    host,
                    sent: now,
                });
                let found = None;
                let late = now + self.settings.limits.connect_timeout.as_nanos();
                self.push(
                    late,
                    Event::ProbeAnswers {
                        gateway,
                        life,
                        host,
                        sent: now,
                        found,
                    },
                );
            }
            Action::SetTimer { after } => {
                let at = now + after.as_nanos().max(0);
                let g = &mut self.gateways[gateway.0 as usize];
                // The earliest alone is kept, as on sockets.
                if g.wake.is_none_or(|w| at < w) {
                    g.wake = Some(at);
                    self.push(at, Event::Wake { gateway, life });
                }
            }
            Action::WatchEndpoints => {}
        }
    }

    fn begin(&mut self, gateway: GatewayId, id: RequestId, host: HostId, limit: Ns) {
        let now = self.now;
        let (idle_close, epoch) = (self.idle_close, self.fleet.host(host).epoch);
        let g = &mut self.gateways[gateway.0 as usize];
        let (life, ready) = (g.life, g.ready(host));
        let Some(open) = g.open.get_mut(&id) else {
            // The request was over before: the module hears that this one never left.
            let attempt = 0;
            g.post(RouterEvent::AttemptEnded {
                id,
                attempt,
                member: gateway::member(host),
                outcome: Outcome::NotSent,
                elapsed: TimeDelta::ZERO,
                finished: true,
                status: None,
                report: None,
            });
            return self.plan_batch(gateway);
        };
        let attempt = open.attempts.len() as u32;
        let copy = open.attempts.iter().any(|a| a.stage != Stage::Over);
        let over = open.over;
        let end = now + limit.max(0);
        open.attempts.push(Attempt {
            host,
            stage: Stage::Connecting,
            began: now,
            end,
            epoch,
        });
        let leg = Leg {
            gateway,
            life,
            id,
            attempt,
            host,
        };
        if over || !ready {
            g.ended(now, id, attempt, Outcome::NotSent, None);
            return self.plan_batch(gateway);
        }
        self.collector.attempt(now, copy);
        let (idle, closed) =
            self.gateways[gateway.0 as usize].check_out(now, host, epoch, idle_close);
        for _ in 0..closed {
            self.fleet.close(now, host, epoch);
        }
        self.push(end, Event::Timeout(leg));
        match idle {
            Some(c) => self.query(leg, c.epoch),
            None => {
                self.collector.connection(now);
                self.push(
                    now + self.settings.limits.connect_timeout.as_nanos(),
                    Event::ConnectTimeout(leg),
                );
                // The way there and back again to shake hands, and once more to begin.
                let at = now + 3 * self.way(self.day.network.host_way);
                self.push(at, Event::ConnectReaches(leg));
            }
        }
    }

    fn attempt(&self, leg: Leg) -> Option<&Attempt> {
        let g = self
            .gateways
            .get(leg.gateway.0 as usize)
            .filter(|g| g.alive && g.life == leg.life)?;
        g.open.get(&leg.id)?.attempts.get(leg.attempt as usize)
    }

    fn ticket(&mut self, of: Ticket) -> u64 {
        self.next_ticket += 1;
        self.tickets.insert(self.next_ticket, of);
        self.next_ticket
    }

    fn connect_reaches(&mut self, leg: Leg) {
        if !self
            .attempt(leg)
            .is_some_and(|a| a.stage == Stage::Connecting)
        {
            return;
        }
        let ticket = self.ticket(Ticket::Connect(leg));
        match self.fleet.connect(self.now, leg.gateway, leg.host, ticket) {
            Delivery::Accepted | Delivery::NoResponse => {}
            Delivery::Reset => self.hostward(Event::ResetReaches(leg)),
        }
    }

    fn connected(&mut self, leg: Leg, epoch: u32) {
        let waits = self
            .attempt(leg)
            .is_some_and(|a| a.stage == Stage::Connecting);
        let Some(g) = self.living(leg.gateway, leg.life).filter(|_| waits) else {
            // Nobody waits for it any more.
            return self.fleet.close(self.now, leg.host, epoch);
        };
        if !g.ready(leg.host) {
            // The list has changed while it came up, and the first byte counts.
            let now = self.now;
            self.gateways[leg.gateway.0 as usize].ended(
                now,
                leg.id,
                leg.attempt,
                Outcome::NotSent,
                None,
            );
            self.fleet.close(now, leg.host, epoch);
            return self.plan_batch(leg.gateway);
        }
        self.query(leg, epoch);
    }

    fn query(&mut self, leg: Leg, epoch: u32) {
        let ticket = self.ticket(Ticket::Query(leg));
        let sent = self.now;
        let Some(open) = self.gateways[leg.gateway.0 as usize].open.get_mut(&leg.id) else {
            return;
        };
        if let Some(a) = open.attempts.get_mut(leg.attempt as usize) {
            (a.stage, a.epoch) = (Stage::Sent, epoch);
        }
        let (of, arrived) = (&open.of, open.came);
        let query = Query {
            ticket,
            gateway: leg.gateway,
            class: of.arrival.class,
            work: of.arrival.work,
            key: of.arrival.key,
            mark: of.mark,
            sent,
            arrived,
        };
        self.hostward(Event::QueryReaches(leg, epoch, query));
    }

    /// What was written arrives, also where its gateway has given it up or died since.
    fn query_reaches(&mut self, leg: Leg, epoch: u32, query: Query) {
        if self.fleet.query(self.now, leg.host, epoch, query) == Delivery::Reset {
            self.hostward(Event::ResetReaches(leg));
        }
    }

    fn answered(&mut self, leg: Leg, answer: Answer, note: ReplicaStatus, work: Ns) {
        let now = self.now;
        let live = self.attempt(leg).is_some_and(|a| a.stage == Stage::Sent);
        let Some(g) = self.living(leg.gateway, leg.life).filter(|_| live) else {
            return self.collector.worked(work, false);
        };
        let write = g.open.get(&leg.id).map(|o| o.of.arrival.key.is_some());
        let committed = write == Some(true) && answer == Answer::Row;
        let epoch = g
            .open
            .get(&leg.id)
            .and_then(|o| o.attempts.get(leg.attempt as usize))
            .map_or(0, |a| a.epoch);
        g.check_in(now, leg.host, epoch);
        let served = if answer == Answer::Row {
            g.over_but_open(leg.id)
        } else {
            None
        };
        self.collector.worked(work, served.is_some());
        if let Some(of) = served {
            self.clientward(
                of,
                TryOutcome::Served {
                    commit: committed.then_some(note.position),
                },
            );
        }
        self.ended(
            leg,
            gateway::outcome(answer),
            Some(gateway::note(&note, committed)),
        );
    }

    /// An attempt has ended with its connection whole or gone.
    fn ended(
        &mut self,
        leg: Leg,
        outcome: Outcome,
        note: Option<irisrouter::routing::ReplicationStatus>,
    ) {
        let now = self.now;
        let Some(g) = self.living(leg.gateway, leg.life) else {
            return;
        };
        if g.ended(now, leg.id, leg.attempt, outcome, note).is_some() {
            self.plan_batch(leg.gateway);
        }
    }

    /// A gateway stops waiting for an attempt: its connection is closed. What the host holds goes on.
    fn give_up(&mut self, leg: Leg, outcome: Outcome) {
        let now = self.now;
        let Some(g) = self.living(leg.gateway, leg.life) else {
            return;
        };
        if let Some(was) = g.ended(now, leg.id, leg.attempt, outcome, None) {
            if was.stage == Stage::Sent {
                self.fleet.close(now, was.host, was.epoch);
            }
            self.plan_batch(leg.gateway);
        }
    }
}
