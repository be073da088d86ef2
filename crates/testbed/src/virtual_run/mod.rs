//! A run in virtual time: discrete events round the router itself, one `Router` a gateway, in one world.
//!
//! Deterministic: one scenario and seed, one result, byte for byte. Events of one moment happen in the order in which they
//! were scheduled, and everything random comes from a stream of its own.

mod actions;
mod attempts;
mod clients;
mod event;
mod gateways;
mod health_checks;

use crate::gateway::{self, Gateway, PeerExchange};
use crate::results::{Collector, RunResults};
use crate::scenario::Scenario;
use event::{AttemptId, Event, GatewayProcess, HostAnswer};
use irisrouter::platform_settings::PlatformSettingsError;
use irisrouter::routing::{Outcome, Settings};
use irisrouter_simulation::clients::{Arrivals, Clients};
use irisrouter_simulation::datagrams::Datagrams;
use irisrouter_simulation::event_queue::EventQueue;
use irisrouter_simulation::fleet::{Fleet, Output};
use irisrouter_simulation::rng::{Rng, Stream};
use irisrouter_simulation::spec::Day;
use irisrouter_simulation::{ms, seconds, GatewayId, Ns, MS, SECOND};
use rustc_hash::FxHashMap;
use std::iter::Peekable;

/// Where virtual time begins. The router takes 0 for never, and hosts that were started long ago for warm.
const START: Ns = 1_000_000 * SECOND;
/// A request that is not answered this long after its client's deadline counts as unanswered.
const ANSWER_SLACK: Ns = 50 * MS;
/// A run ends this long after the last arrival's deadline at the latest.
const DRAIN_TIMEOUT: Ns = 5 * SECOND;
/// A gateway closes a connection that has been idle for the host's time less this.
const IDLE_MARGIN: Ns = SECOND;
/// And for this time at least.
const MIN_IDLE_TIMEOUT: Ns = SECOND / 10;

/// What a ticket at a host belongs to.
#[derive(Clone, Copy, Debug)]
enum Ticket {
    Connect(AttemptId),
    Query(AttemptId),
}

/// Makes the exchange with its peers for each process of a gateway, or none.
pub type PeerExchangeFactory<'a> = &'a dyn Fn(GatewayId, Ns) -> Option<Box<dyn PeerExchange>>;

/// A run.
struct Run<'a> {
    scenario: &'a Scenario,
    settings: Settings,
    day: Day,
    fleet: Fleet,
    clients: Clients,
    arrivals: Peekable<Arrivals>,
    gateways: Vec<Gateway>,
    queue: EventQueue<Event>,
    tickets: FxHashMap<u64, Ticket>,
    last_ticket: u64,
    /// Draws the delays of the network.
    network: Rng,
    datagrams: Datagrams,
    peer_exchanges: PeerExchangeFactory<'a>,
    /// Draws the seeds of the gateways' processes.
    seeds: Rng,
    collector: Collector,
    /// Events within this time enter the router as one batch.
    batch_delay: Ns,
    idle_timeout: Ns,
    now: Ns,
}

/// Runs a scenario in virtual time.
///
/// # Errors
/// The gateway's own code refuses the scenario's settings.
pub fn run(scenario: &Scenario, seed: u64) -> Result<RunResults, PlatformSettingsError> {
    run_with(scenario, seed, &mut |_| (), &|_, _| None)
}

/// Runs a scenario with gateways that exchange datagrams with their peers. `on_second` is called each second of virtual
/// time, with the seconds since the start.
///
/// # Errors
/// As [`run`].
pub fn run_with(
    scenario: &Scenario,
    seed: u64,
    on_second: &mut dyn FnMut(f64),
    peer_exchanges: PeerExchangeFactory<'_>,
) -> Result<RunResults, PlatformSettingsError> {
    let mut run = Run::new(scenario, seed, peer_exchanges)?;
    run.run_to_end(on_second);
    run.collector.datagram_bytes = run.datagrams.bytes;
    run.collector.too_long = run.datagrams.too_long;
    Ok(run.collector.results(scenario, "virtual", seed, &run.fleet))
}

impl<'a> Run<'a> {
    fn new(
        scenario: &'a Scenario,
        seed: u64,
        peer_exchanges: PeerExchangeFactory<'a>,
    ) -> Result<Self, PlatformSettingsError> {
        let settings = gateway::settings_of(scenario, seed)?;
        let world = &scenario.world;
        let fleet = Fleet::new(world, seed, START);
        let mut seeds = Rng::new(seed, Stream::Gateways);
        let gateways = (0..world.gateways)
            .map(|number| {
                let own = with_new_seed(&settings, &mut seeds);
                Gateway::start(&own, 0, fleet.list().view(GatewayId(number)))
            })
            .collect();
        Ok(Run {
            settings,
            day: fleet.day().clone(),
            clients: Clients::new(world, seed, START),
            arrivals: Arrivals::new(world, seed).peekable(),
            fleet,
            gateways,
            queue: EventQueue::default(),
            tickets: FxHashMap::default(),
            last_ticket: 0,
            network: Rng::new(seed, Stream::Network),
            datagrams: Datagrams::new(seed),
            peer_exchanges,
            seeds,
            collector: Collector::new(scenario, START),
            batch_delay: (scenario.gateway.batch_us * 1000.0) as Ns,
            idle_timeout: (seconds(world.hosts.idle_close_s) - IDLE_MARGIN).max(MIN_IDLE_TIMEOUT),
            now: START,
            scenario,
        })
    }

    fn run_to_end(&mut self, on_second: &mut dyn FnMut(f64)) {
        self.start();
        let last_arrival = START + seconds(self.scenario.world.length_s);
        let end = self.latest_end();
        loop {
            let (own, world) = (self.queue.next(), self.fleet.next());
            let next = [own, world].into_iter().flatten().min();
            let Some(at) = next.filter(|&at| at <= end) else {
                break;
            };
            if at >= last_arrival && self.arrivals.peek().is_none() && self.clients.open() == 0 {
                break;
            }
            if at / SECOND != self.now / SECOND {
                on_second((at - START) as f64 / SECOND as f64);
            }
            self.now = at;
            // At one moment the world goes first.
            if world == Some(at) {
                self.advance_world();
            }
            while let Some((_, event)) = self.queue.pop(at) {
                self.handle_event(event);
            }
            self.advance_world();
        }
    }

    /// Schedules the first events.
    fn start(&mut self) {
        for number in 0..self.gateways.len() {
            let gateway = GatewayId(number as u32);
            self.schedule_batch(gateway);
            self.start_peer_exchange(gateway);
        }
        self.schedule_next_arrival();
        self.schedule(START, Event::Sample);
    }

    /// When the run ends at the latest.
    fn latest_end(&self) -> Ns {
        let world = &self.scenario.world;
        let deadlines = world.classes.iter().map(|class| ms(class.deadline_ms));
        let longest = deadlines.max().unwrap_or(0);
        let tries = Ns::from(world.clients.retries) + 1;
        START + seconds(world.length_s) + longest * tries + DRAIN_TIMEOUT
    }

    fn schedule(&mut self, at: Ns, event: Event) {
        self.queue.push(at.max(self.now), event);
    }

    /// The delay of a message whose usual one this is.
    fn draw_delay(&mut self, usual: Ns) -> Ns {
        (usual as f64 * (1.0 + self.day.network.jitter * self.network.unit())) as Ns
    }

    /// Schedules an event for when a message between a gateway and a host arrives.
    fn schedule_across_host_link(&mut self, event: Event) {
        let at = self.now + self.draw_delay(self.day.network.host_way);
        self.schedule(at, event);
    }

    /// Lets the world come up to now.
    fn advance_world(&mut self) {
        loop {
            let outputs = self.fleet.advance(self.now);
            if outputs.is_empty() {
                return;
            }
            outputs
                .into_iter()
                .for_each(|output| self.handle_output(output));
        }
    }

    fn handle_output(&mut self, output: Output) {
        self.collector.world(self.now, &output, self.fleet.plan());
        match output {
            Output::Answered {
                ticket,
                answer,
                note: status,
                work,
                ..
            } => {
                if let Some(Ticket::Query(attempt)) = self.tickets.remove(&ticket) {
                    let answer = HostAnswer {
                        answer,
                        status,
                        work,
                    };
                    self.schedule_across_host_link(Event::AnswerReachesGateway { attempt, answer });
                }
            }
            Output::Connected { ticket, host } => {
                let epoch = self.fleet.host(host).epoch;
                if let Some(Ticket::Connect(attempt)) = self.tickets.remove(&ticket) {
                    self.schedule_across_host_link(Event::ConnectionUp { attempt, epoch });
                }
            }
            Output::ConnectionsReset { host } => self.reset_connections(host),
            Output::ListUpdated { gateway, entry } if self.gateway(gateway).alive => {
                self.gateway_mut(gateway).update_endpoint(&entry);
                self.schedule_batch(gateway);
            }
            Output::Gateway { gateway, up: true } => self.start_gateway(gateway),
            Output::Gateway { gateway, up: false } => self.kill_gateway(gateway),
            _ => {}
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrival => self.handle_arrival(),
            Event::Retry { call } => self.handle_retry(call),
            Event::TryReachesGateway(client_try) => self.handle_try(client_try),
            Event::OutcomeReachesClient {
                client_try,
                outcome,
            } => self.finish_try(client_try, outcome),
            Event::ClientDeadline(client_try) => self.handle_client_deadline(client_try),
            Event::ClientLeaves(client_try) => self.handle_client_leaving(client_try),
            Event::ClientGone {
                process,
                client_try,
            } => self.handle_client_gone(process, &client_try),
            Event::Batch(process) => self.run_batch(process),
            Event::Timer(process) => self.fire_timer(process),
            Event::DecisionGuard { process, request } => self.end_undecided(process, request),
            Event::ConnectReachesHost(attempt) => self.connect_at_host(attempt),
            Event::ConnectionUp { attempt, epoch } => self.handle_connection_up(attempt, epoch),
            Event::QueryReachesHost {
                attempt,
                epoch,
                query,
            } => self.query_host(attempt, epoch, query),
            Event::AnswerReachesGateway { attempt, answer } => self.handle_answer(attempt, answer),
            Event::ResetReachesGateway(attempt) => {
                let outcome = self.failure_outcome(attempt, Outcome::Reset);
                self.end_attempt(attempt, outcome, None);
            }
            Event::AttemptTimeout(attempt) => {
                let outcome = self.failure_outcome(attempt, Outcome::TimedOut);
                self.abandon_attempt(attempt, outcome);
            }
            Event::ConnectTimeout(attempt) => {
                if self.is_connecting(attempt) {
                    self.abandon_attempt(attempt, Outcome::ConnectFailed);
                }
            }
            Event::HealthCheckReachesHost(check) => self.check_host(check),
            Event::HealthCheckAnswered { check, result } => {
                self.handle_health_check_result(check, result);
            }
            Event::Datagram { to, from, body } => self.handle_datagram(to, from, &body),
            Event::PeerTimer(process) => {
                if self.running(process).is_some() {
                    self.run_peer_exchange(process.gateway);
                }
            }
            Event::Sample => self.sample(),
        }
    }

    fn sample(&mut self) {
        self.collector.sample(self.now, &mut self.fleet);
        let next = self.now + SECOND;
        if next < START + seconds(self.scenario.world.length_s) {
            self.schedule(next, Event::Sample);
        }
    }

    fn gateway(&self, gateway: GatewayId) -> &Gateway {
        &self.gateways[gateway.0 as usize]
    }

    fn gateway_mut(&mut self, gateway: GatewayId) -> &mut Gateway {
        &mut self.gateways[gateway.0 as usize]
    }

    /// The process of a gateway that runs, or ran last.
    fn current_process(&self, gateway: GatewayId) -> GatewayProcess {
        GatewayProcess {
            gateway,
            incarnation: self.gateway(gateway).incarnation,
        }
    }

    /// The gateway of a process that still runs.
    fn running(&mut self, process: GatewayProcess) -> Option<&mut Gateway> {
        let gateway = self.gateway_mut(process.gateway);
        (gateway.alive && gateway.incarnation == process.incarnation).then_some(gateway)
    }
}

/// Settings for a gateway's process, with a seed of its own.
fn with_new_seed(settings: &Settings, seeds: &mut Rng) -> Settings {
    Settings {
        seed: seeds.number(),
        ..settings.clone()
    }
}
