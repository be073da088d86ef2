//! Several real gateways as processes on loopback, with faults between them: dropped, late and cut datagrams, links to
//! hosts cut, processes stalled (SIGSTOP, SIGCONT), killed and started again. Every run is bounded, ends by itself and
//! ends only the processes that it started.
//!
//! [`Cluster`] is the tool that tests use by hand; [`schedule`] draws whole sequences of faults from a seed, runs them
//! and checks what the gateways logged.

pub mod leases;
pub mod load;
pub mod process;
pub mod relay;
pub mod schedule;
pub mod site_loss;
pub mod stand_ins;

use crate::scenario::Scenario;
use crate::settings;
use irisrouter_simulation::spec::Spec;
use process::{History, Process};
use relay::Relay;
use serde_json::{json, Value};
use stand_ins::{Discovery, Host};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::mpsc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

/// What ends a wait that has failed; nothing else depends on it.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// One machine's loopback is not a fleet's network.
pub const MOST_GATEWAYS: usize = 24;

/// The run's clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_ms: u64,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            unix_ms: unix.as_millis() as u64,
        }
    }

    /// Milliseconds since the run began.
    #[must_use]
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Unix time in milliseconds.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        self.unix_ms + self.now()
    }
}

/// What is started.
#[derive(Debug, Clone)]
pub struct Plan {
    /// How many gateways.
    pub gateways: usize,
    /// How many sets, each of a primary and a replica.
    pub sets: u64,
    /// The zones, over which gateways and hosts are dealt in turn.
    pub zones: Vec<String>,
    /// Draws and seeds.
    pub seed: u64,
    /// The gateway's program.
    pub program: PathBuf,
    /// The text of the operators' file; none where it is empty.
    pub operators: String,
    /// The list comes only when asked for, from one service for all; else it counts as pushed.
    pub ask: bool,
}

/// Gateways, the network between them, and what stands round them.
pub struct Cluster {
    plan: Plan,
    /// The run's clock.
    pub clock: Clock,
    /// What the gateways said.
    pub history: History,
    /// The datagrams' way.
    pub relay: Relay,
    /// The database hosts.
    pub hosts: Vec<Host>,
    processes: Vec<Option<Process>>,
    runs: Vec<u32>,
    /// The list of database hosts.
    pub discovery: Discovery,
    dir: PathBuf,
    /// Ends the stand-ins' thread when it is dropped.
    _stop: oneshot::Sender<()>,
}

impl Cluster {
    /// Starts everything and waits until each gateway listens.
    ///
    /// # Errors
    /// Where the plan is too large, there are no sockets, or a gateway does not start: the reason.
    pub fn start(plan: Plan) -> Result<Self, String> {
        if plan.gateways == 0 || plan.gateways > MOST_GATEWAYS || plan.zones.is_empty() {
            return Err(format!(
                "1 to {MOST_GATEWAYS} gateways and a zone at least, not {}",
                plan.gateways
            ));
        }
        static RUNS: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let number = RUNS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!(
            "irisrouter-cluster-{}-{number}",
            std::process::id()
        ));
        std::fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        let clock = Clock::new();
        let (relay, hosts, discovery, stop) = around(&plan, clock)?;
        let mut cluster = Cluster {
            clock,
            history: History::default(),
            relay,
            hosts,
            processes: (0..plan.gateways).map(|_| None).collect(),
            runs: vec![0; plan.gateways],
            discovery,
            dir,
            plan,
            _stop: stop,
        };
        if !cluster.plan.operators.is_empty() {
            let file = cluster.operators();
            std::fs::write(&file, &cluster.plan.operators)
                .map_err(|e| format!("{}: {e}", file.display()))?;
        }
        for gateway in 0..cluster.plan.gateways {
            cluster.launch(gateway)?;
        }
        Ok(cluster)
    }

    fn operators(&self) -> PathBuf {
        self.dir.join("operators.jsonnet")
    }

    /// The zone in which a gateway stands.
    #[must_use]
    pub fn zone(&self, gateway: usize) -> &str {
        &self.plan.zones[gateway % self.plan.zones.len()]
    }

    fn config(&self, gateway: usize) -> Value {
        let mut scenario = Scenario {
            title: "cluster".into(),
            about: String::new(),
            world: Spec::default(),
            gateway: Default::default(),
        };
        scenario.world.gateways = self.plan.gateways as u32;
        let mut settings = settings::object(&scenario);
        settings["Me"] = json!(gateway);
        settings["Bounds"]["Peers"] = json!(true);
        settings["Bounds"]["MaxRetryAfterNs"] = json!(5_000_000_000u64);
        if self.plan.ask {
            settings["MembershipMode"] = json!("ask");
        }
        settings["Clients"] = json!({ "MarksRetry": true });
        settings["MyZone"] = json!(self.zone(gateway));
        settings["Zones"] = json!(self.plan.zones);
        let members: Vec<Value> = self.hosts.iter().map(|h| h.entry(gateway)).collect();
        let known: Vec<String> = self.relay.known[gateway]
            .iter()
            .map(ToString::to_string)
            .collect();
        json!({
            "name": format!("g{gateway}"),
            "listen": "127.0.0.1:0",
            "console": "127.0.0.1:0",
            "discovery": self.discovery.at[gateway].to_string(),
            "seed": format!("{:016x}", self.plan.seed ^ (gateway as u64) << 8 ^ u64::from(self.runs[gateway])),
            "peer_listen": self.relay.listen[gateway].to_string(),
            "peers": known,
            "peers_all": self.relay.all[gateway].to_string(),
            "limits": { "cores": 1.0, "memory_mb": 64, "sockets": 512 },
            "known": { "revision": 1, "complete": true, "members": members },
            "settings": settings,
        })
    }

    /// Starts a gateway that does not run.
    ///
    /// # Errors
    /// Where it does not start: the reason and what it said.
    pub fn launch(&mut self, gateway: usize) -> Result<(), String> {
        let operators = (!self.plan.operators.is_empty()).then(|| self.operators());
        let run = self.runs[gateway];
        let process = Process::start(
            &self.plan.program,
            &self.config(gateway),
            operators.as_deref(),
            (gateway, run),
            (&self.history, self.clock),
        )?;
        self.runs[gateway] += 1;
        self.processes[gateway] = Some(process);
        Ok(())
    }

    /// Kills a gateway at once.
    pub fn crash(&mut self, gateway: usize) {
        if let Some(process) = self.processes[gateway].take() {
            process.crash();
        }
    }

    /// Tells a gateway to stop, and waits for its end: its exit code.
    pub fn terminate(&mut self, gateway: usize) -> Option<i32> {
        let process = self.processes[gateway].take()?;
        process.signal("-TERM");
        process.ended()
    }

    /// Stops a gateway without ending it.
    pub fn stall(&self, gateway: usize) {
        self.signal(gateway, "-STOP");
    }

    /// Lets a stalled gateway go on.
    pub fn resume(&self, gateway: usize) {
        self.signal(gateway, "-CONT");
    }

    /// Sends a gateway's process a signal.
    pub fn signal(&self, gateway: usize, name: &str) {
        if let Some(process) = &self.processes[gateway] {
            process.signal(name);
        }
    }

    /// A gateway's process, while it runs.
    #[must_use]
    pub fn process(&self, gateway: usize) -> Option<&Process> {
        self.processes[gateway].as_ref()
    }

    /// Gateways whose processes run, or are stalled.
    #[must_use]
    pub fn running(&self) -> Vec<usize> {
        (0..self.processes.len())
            .filter(|&g| self.processes[g].is_some())
            .collect()
    }

    /// Cuts every pair of gateways across the two sides, both ways.
    pub fn partition(&self, left: &[usize], right: &[usize]) {
        let mut network = self.relay.network();
        for &a in left {
            for &b in right {
                network.cuts.insert((a, b));
                network.cuts.insert((b, a));
            }
        }
    }

    /// Lifts every cut, loss and delay between gateways, and every cut between gateways and hosts.
    pub fn heal(&self) {
        let mut network = self.relay.network();
        network.cuts.clear();
        network.loss = 0.0;
        network.delay = Duration::ZERO;
        drop(network);
        for host in &self.hosts {
            (0..self.plan.gateways).for_each(|g| host.cut(g, false));
        }
    }

    /// What a gateway's console answers to a line; empty where it does not.
    #[must_use]
    pub fn call(&self, gateway: usize, line: &str) -> String {
        let ask = || -> Option<String> {
            let mut stream = TcpStream::connect(self.processes[gateway].as_ref()?.console).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
            stream.write_all(format!("{line}\n").as_bytes()).ok()?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).ok()?;
            Some(answer.trim().to_string())
        };
        ask().unwrap_or_default()
    }

    /// How gateway `observer` holds each gateway by its console: the state's word, or empty where it is unknown.
    #[must_use]
    pub fn view(&self, observer: usize) -> Vec<String> {
        let line = self.call(observer, "members");
        let state = |n: usize| {
            let row = line
                .split(' ')
                .find_map(|w| w.strip_prefix(&format!("{n}:")));
            row.and_then(|r| r.split('/').next())
                .unwrap_or_default()
                .to_string()
        };
        (0..self.plan.gateways).map(state).collect()
    }

    /// Every running gateway holds exactly the running ones alive.
    #[must_use]
    pub fn one_view(&self) -> bool {
        let running = self.running();
        running.iter().all(|&o| {
            let view = self.view(o);
            (0..self.plan.gateways).all(|n| (view[n] == "alive") == running.contains(&n))
        })
    }

    /// Waits until every running gateway holds exactly the running ones alive: how long that took.
    #[must_use]
    pub fn settle(&self, patience: Duration) -> Option<Duration> {
        let began = Instant::now();
        while began.elapsed() < patience {
            if self.one_view() {
                return Some(began.elapsed());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        None
    }

    /// When gateway `observer` (in its present run) logged that `member` became `to`, each time.
    #[must_use]
    pub fn changes(&self, observer: usize, member: usize, to: &str) -> Vec<u64> {
        let run = self.runs[observer].saturating_sub(1);
        self.history.look(|lines| {
            let mine = lines
                .iter()
                .filter(|l| (l.gateway, l.run) == (observer, run));
            mine.filter(|l| {
                schedule::change(&l.text).is_some_and(|(n, _, now)| (n, now) == (member, to))
            })
            .map(|l| l.at)
            .collect()
        })
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

type Around = (Relay, Vec<Host>, Discovery, oneshot::Sender<()>);

/// Starts what stands round the gateways, on a thread of its own that ends with the cluster.
fn around(plan: &Plan, clock: Clock) -> Result<Around, String> {
    let (tell, told) = mpsc::channel();
    let (stop, stopped) = oneshot::channel::<()>();
    let plan = plan.clone();
    std::thread::spawn(move || {
        let runtime = match tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
        {
            Ok(runtime) => runtime,
            Err(e) => return drop(tell.send(Err(format!("no runtime: {e}")))),
        };
        runtime.block_on(async move {
            let made = make(&plan, clock).await;
            let begun = made.is_ok();
            let _ = tell.send(made);
            if begun {
                let _ = stopped.await;
            }
        });
    });
    let (relay, hosts, discovery) = told.recv().map_err(|e| format!("no stand-ins: {e}"))??;
    Ok((relay, hosts, discovery, stop))
}

async fn make(plan: &Plan, clock: Clock) -> Result<(Relay, Vec<Host>, Discovery), String> {
    let relay = Relay::start(plan.gateways, plan.seed).await?;
    let window = Duration::from_secs_f64(Spec::default().sets.window_s);
    let mut hosts = Vec::new();
    for set in 0..plan.sets {
        for (n, primary) in [(0, true), (1, false)] {
            let zone = plan.zones[(set as usize + n) % plan.zones.len()].clone();
            let host = (format!("h{set}-{n}"), set, zone, primary);
            hosts.push(Host::start(host, plan.gateways, window, clock).await?);
        }
    }
    let seen = (0..plan.gateways).map(|g| hosts.iter().map(|h| h.entry(g)).collect());
    let discovery = Discovery::start(seen.collect(), clock).await?;
    Ok((relay, hosts, discovery))
}
