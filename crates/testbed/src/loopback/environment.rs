//! What the stand-ins of one run share: the world, the clock, the collector of results, and who waits for which reply.

use crate::results::{Collector, RunResults};
use crate::scenario::Scenario;
use irisrouter_simulation::clients::Clients;
use irisrouter_simulation::datagrams::Datagrams;
use irisrouter_simulation::fleet::{Answer, Fleet, Output, ReplicaStatus};
use irisrouter_simulation::{seconds, GatewayId, HostId, Ns, SECOND};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::time::{sleep_until, Instant};

/// The system's clock, which never goes back.
#[derive(Clone, Copy, Debug)]
struct Clock {
    anchor: Instant,
    unix: Ns,
}

impl Clock {
    fn new() -> Self {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            anchor: Instant::now(),
            unix: since.as_nanos() as Ns,
        }
    }

    fn now(&self) -> Ns {
        self.unix + self.anchor.elapsed().as_nanos() as Ns
    }

    fn instant(&self, at: Ns) -> Instant {
        self.anchor + Duration::from_nanos((at - self.unix).max(0) as u64)
    }
}

/// A host's answer to a statement.
#[derive(Clone, Copy, Debug)]
pub struct HostAnswer {
    /// How the statement ended.
    pub answer: Answer,
    /// The host's role and position when it answered.
    pub status: ReplicaStatus,
    /// The work that it took.
    pub work: Ns,
}

/// A host's reply to a connection or a statement.
#[derive(Clone, Copy, Debug)]
pub enum HostReply {
    /// The connection is up.
    Connected,
    /// The statement is answered.
    Answer(HostAnswer),
}

/// A gateway that is to be started or killed.
#[derive(Clone, Copy, Debug)]
pub struct GatewayCommand {
    /// The gateway.
    pub gateway: GatewayId,
    /// Whether it is started; else it is killed.
    pub up: bool,
}

/// A statement that a client has sent: what a host cannot read from it.
#[derive(Clone, Copy, Debug)]
pub struct ClientStatement {
    /// Its class.
    pub class: usize,
    /// Its work.
    pub work: Ns,
    /// Its key.
    pub key: Option<u64>,
    /// The commit that it has to see; 0 for none.
    pub mark: Ns,
    /// When its client sent it.
    pub sent: Ns,
    /// Whether its client waits for the answer.
    pub open: bool,
}

/// A statement may come from its gateway for this time after its client has ended; then it is forgotten.
const STATEMENT_RETENTION: Ns = 30 * SECOND;
/// Between the making of the world and its start, until the run begins: nothing happens in the world before.
const BEFORE_RUN: Ns = 3600 * SECOND;
/// How long the world is left alone where nothing is due.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// A statement whose client has ended.
struct EndedStatement {
    forget_at: Ns,
    id: String,
}

/// What the stand-ins of one run share.
pub struct Environment {
    scenario: Scenario,
    seed: u64,
    clock: Clock,
    start: Cell<Ns>,
    /// The world.
    pub fleet: RefCell<Fleet>,
    /// The clients.
    pub clients: RefCell<Clients>,
    /// What gateways send one another.
    pub datagrams: RefCell<Datagrams>,
    /// The collector of the run's results.
    pub collector: RefCell<Collector>,
    /// Statements that clients have sent, by id.
    pub statements: RefCell<HashMap<String, ClientStatement>>,
    /// Statements whose clients have ended, in the order in which they are forgotten.
    ended_statements: RefCell<VecDeque<EndedStatement>>,
    /// Ids of which a statement is at a host: another one is a second copy.
    pub in_flight: RefCell<HashSet<String>>,
    /// By ticket: who waits for a host's reply.
    waiting: RefCell<HashMap<u64, oneshot::Sender<HostReply>>>,
    last_ticket: Cell<u64>,
    /// By host: grows when all connections to it are reset.
    reset_counts: Vec<watch::Sender<u64>>,
    /// By gateway: the version of its list.
    list_versions: Vec<watch::Sender<u64>>,
    command_sender: mpsc::UnboundedSender<GatewayCommand>,
    /// Until it is taken.
    command_receiver: RefCell<Option<mpsc::UnboundedReceiver<GatewayCommand>>>,
    world_changed: Notify,
}

impl Environment {
    /// The world as it is before the run begins.
    pub fn new(scenario: &Scenario, seed: u64) -> Rc<Self> {
        let clock = Clock::new();
        let start = clock.now() + BEFORE_RUN;
        let world = &scenario.world;
        let (command_sender, command_receiver) = mpsc::unbounded_channel();
        Rc::new(Environment {
            fleet: RefCell::new(Fleet::new(world, seed, start)),
            clients: RefCell::new(Clients::new(world, seed, start)),
            datagrams: RefCell::new(Datagrams::new(seed)),
            collector: RefCell::new(Collector::new(scenario, start)),
            scenario: scenario.clone(),
            seed,
            clock,
            start: Cell::new(start),
            statements: RefCell::default(),
            ended_statements: RefCell::default(),
            in_flight: RefCell::default(),
            waiting: RefCell::default(),
            last_ticket: Cell::new(0),
            reset_counts: watch_senders(world.hosts.count, 0),
            list_versions: watch_senders(world.gateways, 1),
            command_sender,
            command_receiver: RefCell::new(Some(command_receiver)),
            world_changed: Notify::new(),
        })
    }

    /// Begins the run after a delay: the world is made anew, and its first moment is then.
    pub fn begin(&self, delay: Ns) {
        let start = self.clock.now() + delay;
        let world = &self.scenario.world;
        self.start.set(start);
        self.fleet.replace(Fleet::new(world, self.seed, start));
        self.clients.replace(Clients::new(world, self.seed, start));
        self.collector
            .replace(Collector::new(&self.scenario, start));
        self.datagrams.replace(Datagrams::new(self.seed));
        self.waiting.borrow_mut().clear();
        self.world_changed.notify_one();
    }

    /// The run's first moment.
    pub fn start(&self) -> Ns {
        self.start.get()
    }

    /// Unix time in nanoseconds.
    pub fn now(&self) -> Ns {
        self.clock.now()
    }

    /// Waits until a moment, in Unix nanoseconds.
    pub async fn until(&self, at: Ns) {
        sleep_until(self.clock.instant(at)).await;
    }

    /// A moment, in Unix nanoseconds, on the runtime's clock.
    pub fn instant(&self, at: Ns) -> Instant {
        self.clock.instant(at)
    }

    /// The scenario.
    pub fn scenario(&self) -> &Scenario {
        &self.scenario
    }

    /// A new ticket for a host, and where the reply to it comes.
    pub fn ticket(&self) -> (u64, oneshot::Receiver<HostReply>) {
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        let (sender, reply) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        (ticket, reply)
    }

    /// Adds a statement that a client sends.
    pub fn add_statement(&self, id: &str, statement: ClientStatement) {
        let mut statements = self.statements.borrow_mut();
        statements.insert(id.to_string(), statement);
    }

    /// Ends a client's wait for a statement. The statement is kept for a while: what its gateway still sends is late, not
    /// made up.
    pub fn end_statement(&self, id: &str) {
        let mut statements = self.statements.borrow_mut();
        if let Some(statement) = statements.get_mut(id) {
            statement.open = false;
        }
        let now = self.now();
        let mut ended = self.ended_statements.borrow_mut();
        ended.push_back(EndedStatement {
            forget_at: now + STATEMENT_RETENTION,
            id: id.to_string(),
        });
        while ended.front().is_some_and(|first| first.forget_at <= now) {
            if let Some(forgotten) = ended.pop_front() {
                statements.remove(&forgotten.id);
            }
        }
    }

    /// Applies a function to the world as it is now, and passes on at once what comes of it.
    pub fn with<R>(&self, act: impl FnOnce(&mut Fleet, Ns) -> R) -> R {
        self.advance();
        let now = self.now();
        let result = act(&mut self.fleet.borrow_mut(), now);
        self.advance();
        self.world_changed.notify_one();
        result
    }

    /// Lets the world come up to now, and passes on what comes of it.
    fn advance(&self) {
        let now = self.now();
        let outputs = self.fleet.borrow_mut().advance(now);
        for output in outputs {
            self.collector
                .borrow_mut()
                .world(now, &output, self.fleet.borrow().plan());
            self.pass_on(output);
        }
    }

    fn pass_on(&self, output: Output) {
        match output {
            Output::Answered {
                ticket,
                answer,
                note: status,
                work,
                ..
            } => {
                let answer = HostAnswer {
                    answer,
                    status,
                    work,
                };
                self.reply(ticket, HostReply::Answer(answer));
            }
            Output::Connected { ticket, .. } => self.reply(ticket, HostReply::Connected),
            Output::ConnectionsReset { host } => {
                self.reset_counts[host.0 as usize].send_modify(|count| *count += 1);
            }
            Output::ListUpdated { gateway, .. } => {
                let version = self.fleet.borrow().list().view(gateway).version;
                self.list_versions[gateway.0 as usize].send_replace(version);
            }
            Output::Gateway { gateway, up } => {
                let _ = self.command_sender.send(GatewayCommand { gateway, up });
            }
            _ => {}
        }
    }

    /// Hands a host's reply to whoever waits for it. Work whose answer nobody waits for was done for nothing.
    fn reply(&self, ticket: u64, reply: HostReply) {
        let waiting = self.waiting.borrow_mut().remove(&ticket);
        let received = waiting.is_some_and(|sender| sender.send(reply).is_ok());
        if let (false, HostReply::Answer(answer)) = (received, reply) {
            self.collector.borrow_mut().worked(answer.work, false);
        }
    }

    /// Lets the world happen as time passes, for ever.
    pub async fn drive(self: Rc<Self>) {
        loop {
            let next = self.fleet.borrow().next();
            let due = next.map_or_else(
                || Instant::now() + IDLE_INTERVAL,
                |at| self.clock.instant(at),
            );
            tokio::select! {
                () = sleep_until(due) => self.advance(),
                () = self.world_changed.notified() => {}
            }
        }
    }

    /// Changes when all connections to a host are reset.
    pub fn resets(&self, host: HostId) -> watch::Receiver<u64> {
        let mut resets = self.reset_counts[host.0 as usize].subscribe();
        resets.mark_unchanged();
        resets
    }

    /// The version of a gateway's list, as it grows.
    pub fn versions(&self, gateway: GatewayId) -> watch::Receiver<u64> {
        self.list_versions[gateway.0 as usize].subscribe()
    }

    /// The gateways that are to be killed and started; none once they are taken.
    pub fn take_gateway_commands(&self) -> Option<mpsc::UnboundedReceiver<GatewayCommand>> {
        self.command_receiver.borrow_mut().take()
    }

    /// Samples all hosts.
    pub fn sample(&self) {
        self.with(|fleet, now| self.collector.borrow_mut().sample(now, fleet));
    }

    /// The results, at the end.
    pub fn results(&self, scenario: &Scenario, seed: u64) -> RunResults {
        let mut collector = self
            .collector
            .replace(Collector::new(scenario, self.start()));
        collector.datagram_bytes = self.datagrams.borrow().bytes;
        collector.too_long = self.datagrams.borrow().too_long;
        collector.results(scenario, "loopback", seed, &self.fleet.borrow())
    }

    /// Seconds since the run's first moment.
    pub fn elapsed(&self) -> f64 {
        (self.now() - self.start()) as f64 / seconds(1.0) as f64
    }
}

fn watch_senders(count: u32, value: u64) -> Vec<watch::Sender<u64>> {
    (0..count).map(|_| watch::Sender::new(value)).collect()
}
