//! What the stand-ins of one run share: the world, the clock, the count, and who waits for what.

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
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::time::{sleep_until, Instant};

/// A listener on a port that the system gives.
///
/// # Errors
/// Where there is none.
pub async fn listen() -> Result<TcpListener, String> {
    TcpListener::bind("127.0.0.1:0")
        .await
        .map_err(|e| format!("cannot listen on loopback: {e}"))
}

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

/// What comes of something handed to a host.
#[derive(Clone, Copy, Debug)]
pub enum Word {
    /// The connection is up.
    Connected,
    /// An answer, and the work that it took.
    Answer(Answer, ReplicaStatus, Ns),
}

/// A statement that a client has sent, by its id: what a host cannot read from it.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
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
    /// Its client waits for the answer.
    pub open: bool,
}

/// A statement may come from its gateway for so long after its client has ended; then it is forgotten.
const REMEMBERED: Ns = 30 * SECOND;

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
    /// The count.
    pub collector: RefCell<Collector>,
    /// Statements under way, by id.
    pub asked: RefCell<HashMap<String, Asked>>,
    forgotten: RefCell<VecDeque<(Ns, String)>>,
    /// Ids of which a statement is at a host: another one is a second copy.
    pub out: RefCell<HashSet<String>>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Word>>>,
    next_ticket: Cell<u64>,
    /// Grows when all connections to a host are reset.
    broken: Vec<watch::Sender<u64>>,
    /// The version of each gateway's list.
    told: Vec<watch::Sender<u64>>,
    /// Gateways that are to be killed or started.
    commands: mpsc::UnboundedSender<(GatewayId, bool)>,
    obeyed: RefCell<Option<mpsc::UnboundedReceiver<(GatewayId, bool)>>>,
    changed: Notify,
}

impl Environment {
    /// The world as it is before the run begins.
    pub fn new(scenario: &Scenario, seed: u64) -> Rc<Self> {
        let clock = Clock::new();
        // Far enough ahead: nothing happens in the world before the run begins, and then it is made anew.
        let start = clock.now() + 3600 * SECOND;
        let w = &scenario.world;
        let (commands, obeyed) = mpsc::unbounded_channel();
        Rc::new(Environment {
            fleet: RefCell::new(Fleet::new(w, seed, start)),
            clients: RefCell::new(Clients::new(w, seed, start)),
            datagrams: RefCell::new(Datagrams::new(seed)),
            collector: RefCell::new(Collector::new(scenario, start)),
            scenario: scenario.clone(),
            seed,
            clock,
            start: Cell::new(start),
            asked: RefCell::default(),
            forgotten: RefCell::default(),
            out: RefCell::default(),
            waiting: RefCell::default(),
            next_ticket: Cell::new(0),
            broken: (0..w.hosts.count).map(|_| watch::Sender::new(0)).collect(),
            told: (0..w.gateways).map(|_| watch::Sender::new(1)).collect(),
            commands,
            obeyed: RefCell::new(Some(obeyed)),
            changed: Notify::new(),
        })
    }

    /// The run begins after a breath: the world is made anew, and its first moment is then.
    pub fn begin(&self, breath: Ns) {
        let start = self.clock.now() + breath;
        let w = &self.scenario.world;
        self.start.set(start);
        self.fleet.replace(Fleet::new(w, self.seed, start));
        self.clients.replace(Clients::new(w, self.seed, start));
        self.collector
            .replace(Collector::new(&self.scenario, start));
        self.datagrams.replace(Datagrams::new(self.seed));
        self.waiting.borrow_mut().clear();
        self.changed.notify_one();
    }

    /// The run's first moment.
    pub fn start(&self) -> Ns {
        self.start.get()
    }

    /// Unix time in nanoseconds.
    pub fn now(&self) -> Ns {
        self.clock.now()
    }

    /// Waits until then.
    pub async fn until(&self, at: Ns) {
        sleep_until(self.clock.instant(at)).await;
    }

    /// The moment on the runtime's clock.
    pub fn instant(&self, at: Ns) -> Instant {
        self.clock.instant(at)
    }

    /// The scenario.
    pub fn scenario(&self) -> &Scenario {
        &self.scenario
    }

    /// A ticket, and where its word comes.
    pub fn ticket(&self) -> (u64, oneshot::Receiver<Word>) {
        let ticket = self.next_ticket.get() + 1;
        self.next_ticket.set(ticket);
        let (word, comes) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, word);
        (ticket, comes)
    }

    /// A client has sent a statement of this id.
    pub fn asks(&self, id: &str, asked: Asked) {
        self.asked.borrow_mut().insert(id.to_string(), asked);
    }

    /// A client waits no longer. What its gateway still sends is known for a while: it is late, not made up.
    pub fn answered(&self, id: &str) {
        if let Some(asked) = self.asked.borrow_mut().get_mut(id) {
            asked.open = false;
        }
        let now = self.now();
        let mut forgotten = self.forgotten.borrow_mut();
        forgotten.push_back((now + REMEMBERED, id.to_string()));
        while forgotten.front().is_some_and(|f| f.0 <= now) {
            if let Some((_, old)) = forgotten.pop_front() {
                self.asked.borrow_mut().remove(&old);
            }
        }
    }

    /// Does something to the world, and passes on what comes of it at once.
    pub fn with<R>(&self, act: impl FnOnce(&mut Fleet, Ns) -> R) -> R {
        self.pump();
        let now = self.now();
        let result = act(&mut self.fleet.borrow_mut(), now);
        self.pump();
        self.changed.notify_one();
        result
    }

    /// Lets the world come up to now.
    fn pump(&self) {
        let now = self.now();
        let outputs = self.fleet.borrow_mut().advance(now);
        for output in outputs {
            self.collector
                .borrow_mut()
                .world(now, &output, self.fleet.borrow().plan());
            match output {
                Output::Answered {
                    ticket,
                    answer,
                    note,
                    work,
                    ..
                } => {
                    self.word(ticket, Word::Answer(answer, note, work));
                }
                Output::Connected { ticket, .. } => self.word(ticket, Word::Connected),
                Output::ConnectionsReset { host } => {
                    self.broken[host.0 as usize].send_modify(|n| *n += 1)
                }
                Output::ListUpdated { gateway, .. } => {
                    let version = self.fleet.borrow().list().view(gateway).version;
                    self.told[gateway.0 as usize].send_replace(version);
                }
                Output::Gateway { gateway, up } => {
                    let _ = self.commands.send((gateway, up));
                }
                _ => {}
            }
        }
    }

    fn word(&self, ticket: u64, word: Word) {
        let heard = self
            .waiting
            .borrow_mut()
            .remove(&ticket)
            .is_some_and(|w| w.send(word).is_ok());
        if let (false, Word::Answer(_, _, work)) = (heard, word) {
            // The work was done, and nobody waits for it.
            self.collector.borrow_mut().worked(work, false);
        }
    }

    /// Lets the world happen as time passes, for ever.
    pub async fn drive(self: Rc<Self>) {
        loop {
            let next = self.fleet.borrow().next();
            let due = next.map_or_else(
                || Instant::now() + Duration::from_secs(1),
                |at| self.clock.instant(at),
            );
            tokio::select! {
                () = sleep_until(due) => self.pump(),
                () = self.changed.notified() => {}
            }
        }
    }

    /// Told when all connections to a host are reset.
    pub fn resets(&self, host: HostId) -> watch::Receiver<u64> {
        let mut resets = self.broken[host.0 as usize].subscribe();
        resets.mark_unchanged();
        resets
    }

    /// The version of a gateway's list, as it grows.
    pub fn versions(&self, gateway: GatewayId) -> watch::Receiver<u64> {
        self.told[gateway.0 as usize].subscribe()
    }

    /// Gateways to be killed and started, once.
    pub fn commands(&self) -> Option<mpsc::UnboundedReceiver<(GatewayId, bool)>> {
        self.obeyed.borrow_mut().take()
    }

    /// Looks at all hosts.
    pub fn sample(&self) {
        self.with(|fleet, now| self.collector.borrow_mut().sample(now, fleet));
    }

    /// The figures, at the end.
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
