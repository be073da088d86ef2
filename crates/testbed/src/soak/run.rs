//! Plays a soak's plan on a cluster of its own, and collects what was seen.

use super::check::{check, SoakViolation};
use super::client::{GatewayClients, GatewayFate};
use super::overload::{connect_slow_client, SoakFlood};
use super::plan::{ClientBehavior, SoakFault, SoakPlan};
use super::records::{
    AttemptRecord, DrainRecord, GatewayEnd, MemoryRecord, Records, RequestEnd, UnfinishedMessage,
};
use super::timeline::{timeline, Step};
use crate::cluster::processor::{usage, ProcessorShare};
use crate::cluster::stand_ins::host::Host;
use crate::cluster::stand_ins::listed_sets::host_id;
use crate::cluster::{Clock, Cluster, ClusterError, EndpointListMode, Plan, COUNTERS_LINE};
use crate::flood::{FloodSenders, SenderPlan};
use crate::loopback::host::comment_fields;
use irisrouter_simulation::spec::Spec;
use serde::Serialize;
use std::cell::RefCell;
use std::net::TcpStream;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::LocalSet;

/// The platform kills a gateway this much later than the longest deadline after SIGTERM, in milliseconds.
const KILL_DELAY_MS: u64 = 700;
/// The platform counts no deadline as longer than this, in milliseconds.
const LONGEST_COUNTED_DEADLINE_MS: u64 = 3_000;
/// A gateway is asked for its counters this long before it is killed, in milliseconds.
const COUNTERS_BEFORE_KILL_MS: u64 = 30;
/// Between two looks at how late the machine wakes a task.
const LAG_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The clients end this long after the last kill at the latest.
const CLIENTS_END: Duration = Duration::from_secs(3);
/// Log lines that must not occur.
const FORBIDDEN_LOG: [&str; 2] = ["panicked", "router task has failed"];

/// What a run came to.
#[derive(Debug, Clone, Serialize)]
pub struct SoakVerdict {
    /// What was played.
    pub plan: SoakPlan,
    /// The rules that did not hold.
    pub violations: Vec<SoakViolation>,
    /// The requests by their end.
    pub counts: EndCounts,
    /// The most by which the machine woke the clients too late, in milliseconds.
    pub lag_ms: u64,
    /// The last counters of each gateway, as it printed them: whether what is played has had an effect.
    pub counters: Vec<String>,
}

/// How many requests ended in which way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct EndCounts {
    /// Served.
    pub served: usize,
    /// Answered with an error.
    pub errors: usize,
    /// Unanswered, as the gateway ended the connection.
    pub connection_ended: usize,
    /// Unanswered, as the client left.
    pub client_left: usize,
    /// Unanswered, as the gateway was killed.
    pub killed: usize,
}

/// Plays a plan with this program as the gateways.
///
/// # Errors
/// The gateways or the stand-ins cannot be started.
pub fn run(plan: SoakPlan, program: PathBuf) -> Result<SoakVerdict, ClusterError> {
    let mut cluster = Cluster::start(Plan {
        gateways: plan.gateways,
        sets: plan.groups as u64,
        listed_sets: plan.listed_sets,
        zones: vec!["a".into()],
        seed: plan.seed,
        program,
        operators: String::new(),
        endpoint_list: EndpointListMode::Pushed,
        deadline_percent: plan.deadline_percent,
        limits: plan.limits,
    })?;
    let fates: Vec<Arc<GatewayFate>> = (0..plan.gateways).map(|_| Arc::default()).collect();
    let clients = ClientThread::new(&cluster, &plan, &fates);
    let handle = std::thread::spawn(move || clients.run());
    let _shares = limit_processor_shares(&cluster, &plan);
    let mut player = Player::new(&mut cluster, &plan, fates);
    player.play()?;
    let Player {
        ends,
        drains,
        mut crashes,
        longest_stall_ms,
        peak_memory,
        ..
    } = player;
    let mut records = handle.join().map_err(|_| ClusterError::Panicked)??;
    crashes.extend(forbidden_log_lines(&cluster));
    records.ends = ends;
    records.drains = drains;
    records.peak_memory = peak_memory;
    records.crashes = crashes;
    // A gateway that stands still is as late as a machine that does.
    records.lag_ms += longest_stall_ms;
    for host in &cluster.hosts {
        collect_attempts(host, &mut records);
    }
    Ok(SoakVerdict {
        violations: check(&records),
        counts: count_ends(&records),
        lag_ms: records.lag_ms,
        counters: last_counters(&cluster, plan.gateways),
        plan,
    })
}

/// Limits all gateways to the plan's share of a processor core until the result is dropped.
fn limit_processor_shares(cluster: &Cluster, plan: &SoakPlan) -> Vec<ProcessorShare> {
    let share = plan.overload.core_share;
    let processes = (0..plan.gateways).filter_map(|gateway| cluster.process(gateway));
    let limited = processes.filter(|_| share < 1.0);
    limited
        .map(|process| ProcessorShare::limit(process.system_id(), share))
        .collect()
}

fn forbidden_log_lines(cluster: &Cluster) -> Vec<String> {
    cluster.history.inspect_lines(|lines| {
        let is_forbidden = |text: &str| FORBIDDEN_LOG.iter().any(|word| text.contains(word));
        let forbidden = lines.iter().filter(|line| is_forbidden(&line.text));
        forbidden.map(|line| line.text.clone()).collect()
    })
}

fn last_counters(cluster: &Cluster, gateways: usize) -> Vec<String> {
    cluster.history.inspect_lines(|lines| {
        let of_gateway = |gateway| {
            let mut own = lines.iter().rev().filter(|line| line.gateway == gateway);
            own.find(|line| line.text.contains(COUNTERS_LINE))
        };
        let last = (0..gateways).filter_map(of_gateway);
        last.map(|line| line.text.clone()).collect()
    })
}

fn collect_attempts(host: &Host, records: &mut Records) {
    let seen = host.record();
    for (at, _, text) in &seen.statements {
        let fields = comment_fields(text);
        let told_ms = fields.get("d").and_then(|told| told.parse().ok());
        if let Some((id, told_ms)) = fields.get("id").zip(told_ms) {
            records.attempts.push(AttemptRecord {
                id: (*id).to_string(),
                host: host.id.clone(),
                at: *at,
                told_ms,
            });
        }
    }
    let repeated = seen.applied.iter().filter(|(_, times)| times.len() > 1);
    let repeated = repeated.map(|(key, times)| (key.clone(), times.len()));
    records.repeated_writes.extend(repeated);
}

fn count_ends(records: &Records) -> EndCounts {
    let mut counts = EndCounts::default();
    for request in &records.requests {
        let count = match request.end {
            RequestEnd::Served { .. } => &mut counts.served,
            RequestEnd::Error { .. } => &mut counts.errors,
            RequestEnd::ConnectionEnded { .. } => &mut counts.connection_ended,
            RequestEnd::ClientLeft => &mut counts.client_left,
            RequestEnd::Killed => &mut counts.killed,
        };
        *count += 1;
    }
    counts
}

/// The clients of all gateways, which run on a thread of their own.
struct ClientThread {
    gateways: Vec<GatewaySetup>,
    groups: usize,
    clock: Clock,
    seed: u64,
}

struct GatewaySetup {
    address: std::net::SocketAddr,
    fate: Arc<GatewayFate>,
    behaviors: Vec<ClientBehavior>,
}

impl ClientThread {
    fn new(cluster: &Cluster, plan: &SoakPlan, fates: &[Arc<GatewayFate>]) -> Self {
        let processes = (0..plan.gateways).filter_map(|gateway| cluster.process(gateway));
        let gateways = processes
            .zip(fates)
            .zip(&plan.clients)
            .map(|((process, fate), behaviors)| GatewaySetup {
                address: process.address,
                fate: Arc::clone(fate),
                behaviors: behaviors.clone(),
            })
            .collect();
        ClientThread {
            gateways,
            groups: plan.groups,
            clock: cluster.clock,
            seed: plan.seed,
        }
    }

    /// Runs all clients until their gateways are dead: what they saw.
    fn run(self) -> Result<Records, ClusterError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(ClusterError::Runtime)?;
        let lag = Arc::new(AtomicU64::new(0));
        let local = LocalSet::new();
        let measured = Arc::clone(&lag);
        let gateways: Vec<Rc<GatewayClients>> = local.block_on(&runtime, async {
            tokio::task::spawn_local(measure_lag(measured));
            let gateways: Vec<_> = (0..).zip(&self.gateways).map(|g| self.clients(g)).collect();
            let mut tasks = Vec::new();
            for (setup, clients) in self.gateways.iter().zip(&gateways) {
                for (number, &behavior) in setup.behaviors.iter().enumerate() {
                    let client = Rc::clone(clients).run(number, behavior);
                    tasks.push(tokio::task::spawn_local(client));
                }
            }
            for task in tasks {
                let _ = task.await;
            }
            gateways
        });
        let mut records = Records {
            lag_ms: lag.load(Ordering::Relaxed),
            ..Records::default()
        };
        for clients in &gateways {
            for connection in clients.connections.borrow().iter() {
                records.requests.extend(connection.take_finished());
            }
            let unfinished = clients.unfinished.borrow();
            let ended = unfinished
                .iter()
                .map(|(message, connection)| UnfinishedMessage {
                    ended_at: connection.ended_at.get(),
                    ..*message
                });
            records.unfinished.extend(ended);
        }
        Ok(records)
    }

    fn clients(&self, (gateway, setup): (usize, &GatewaySetup)) -> Rc<GatewayClients> {
        Rc::new(GatewayClients {
            gateway,
            address: setup.address,
            groups: self.groups,
            clock: self.clock,
            seed: self.seed,
            fate: Arc::clone(&setup.fate),
            connections: RefCell::default(),
            unfinished: RefCell::default(),
        })
    }
}

/// Keeps the most by which a short sleep was too long, in milliseconds.
async fn measure_lag(longest: Arc<AtomicU64>) {
    loop {
        let started = std::time::Instant::now();
        tokio::time::sleep(LAG_CHECK_INTERVAL).await;
        let lag = started.elapsed().saturating_sub(LAG_CHECK_INTERVAL);
        longest.fetch_max(lag.as_millis() as u64, Ordering::Relaxed);
    }
}

/// Plays the faults and the end of each gateway.
struct Player<'a> {
    cluster: &'a mut Cluster,
    plan: &'a SoakPlan,
    fates: Vec<Arc<GatewayFate>>,
    /// By gateway: the deadlines in force, in percent of the default ones.
    deadline_percent: Vec<u64>,
    crowd: Vec<TcpStream>,
    flood: Option<FloodSenders>,
    peak_memory: Vec<MemoryRecord>,
    ends: Vec<GatewayEnd>,
    drains: Vec<DrainRecord>,
    crashes: Vec<String>,
    longest_stall_ms: u64,
}

impl<'a> Player<'a> {
    fn new(cluster: &'a mut Cluster, plan: &'a SoakPlan, fates: Vec<Arc<GatewayFate>>) -> Self {
        let not_ended = GatewayEnd {
            terminated_at: u64::MAX,
            killed_at: u64::MAX,
        };
        Player {
            cluster,
            plan,
            fates,
            deadline_percent: vec![plan.deadline_percent; plan.gateways],
            crowd: Vec::new(),
            flood: None,
            peak_memory: Vec::new(),
            ends: vec![not_ended; plan.gateways],
            drains: Vec::new(),
            crashes: Vec::new(),
            longest_stall_ms: 0,
        }
    }

    fn play(&mut self) -> Result<(), ClusterError> {
        let started = self.cluster.clock.now();
        for (at_ms, step) in timeline(self.plan) {
            self.kill_due(started + at_ms);
            self.sleep_until(started + at_ms);
            self.take_step(step)?;
        }
        self.kill_due(u64::MAX);
        // The clients see the ends of their connections.
        std::thread::sleep(CLIENTS_END.min(Duration::from_millis(200)));
        self.crowd.clear();
        self.end_flood();
        Ok(())
    }

    fn sleep_until(&self, at: u64) {
        let left = at.saturating_sub(self.cluster.clock.now());
        std::thread::sleep(Duration::from_millis(left));
    }

    fn take_step(&mut self, step: Step) -> Result<(), ClusterError> {
        match step {
            Step::CutHost { host, cut } => {
                for gateway in 0..self.plan.gateways {
                    self.cluster.hosts[host].cut(gateway, cut);
                }
            }
            Step::SlowWrites { host, ms } => {
                let delay = Duration::from_millis(ms);
                self.cluster.hosts[host].delay_writes(delay / 2, delay / 2);
            }
            Step::ResetHost { host } => self.cluster.hosts[host].reset_connections(),
            Step::Drain { host } => self.drain(host),
            Step::ChangeListedHost { in_service } => self.change_listed_host(in_service),
            Step::Reload {
                gateway,
                deadline_percent,
            } => {
                self.deadline_percent[gateway] = deadline_percent;
                self.cluster.reload(gateway, deadline_percent)?;
            }
            Step::Signals { gateway, count } => {
                for signal in ["-HUP", "-USR1"].iter().cycle().take(count) {
                    self.cluster.signal(gateway, signal);
                }
            }
            Step::Stop { gateway } => self.cluster.stall(gateway),
            Step::Continue { gateway } => self.cluster.resume(gateway),
            Step::RefuseList { gateway, refuse } if refuse => {
                self.cluster.discovery.refuse(gateway)
            }
            Step::RefuseList { gateway, .. } => self.cluster.discovery.stop_refusing(gateway),
            Step::Crowd {
                gateway,
                connections,
            } => self.add_crowd(gateway, connections),
            Step::SlowCrowd { gateway, clients } => self.add_slow_crowd(gateway, clients),
            Step::BeginFlood { flood } => self.begin_flood(flood),
            Step::EndFlood => self.end_flood(),
            Step::Terminate {
                gateway,
                reload_before,
            } => self.terminate(gateway, reload_before),
            Step::TerminateAgain { gateway } => {
                self.cluster.signal(gateway, "-TERM");
                self.cluster.signal(gateway, "-HUP");
            }
        }
        Ok(())
    }

    /// Takes a host out of service. While the list cannot be had, nobody learns of it.
    fn drain(&mut self, host: usize) {
        let unreachable_ms: u64 = self
            .plan
            .faults
            .iter()
            .map(|timed| match timed.fault {
                SoakFault::DiscoveryDown { ms, .. } => ms,
                _ => 0,
            })
            .sum();
        let id = self.cluster.hosts[host].id.clone();
        self.cluster.discovery.set_phase(&id, "terminating");
        self.drains.push(DrainRecord {
            host: id,
            listed_at: self.cluster.clock.now() + unreachable_ms,
        });
    }

    /// Takes a host that no client uses out of service, or puts it back.
    fn change_listed_host(&mut self, in_service: bool) {
        let phase = if in_service {
            "in_service"
        } else {
            "terminating"
        };
        let host = host_id(self.plan.groups as u64, 1);
        self.cluster.discovery.set_phase(&host, phase);
    }

    fn add_crowd(&mut self, gateway: usize, connections: usize) {
        let Some(address) = self.cluster.process(gateway).map(|process| process.address) else {
            return;
        };
        let opened = (0..connections).filter_map(|_| TcpStream::connect(address).ok());
        self.crowd.extend(opened);
    }

    fn add_slow_crowd(&mut self, gateway: usize, clients: usize) {
        let Some(address) = self.cluster.process(gateway).map(|process| process.address) else {
            return;
        };
        let opened = (0..clients).filter_map(|_| connect_slow_client(address));
        self.crowd.extend(opened);
    }

    fn begin_flood(&mut self, flood: SoakFlood) {
        let Some(process) = self.cluster.process(flood.gateway) else {
            return;
        };
        let senders = SenderPlan {
            kind: flood.kind,
            clients: flood.clients,
            reads_answers: flood.reads_answers,
            seed: self.plan.seed,
        };
        self.flood = Some(FloodSenders::start(process.address, senders));
    }

    fn end_flood(&mut self) {
        if let Some(flood) = self.flood.take() {
            let _ = flood.stop();
        }
    }

    /// Records the peak memory of a gateway that is about to be killed.
    fn record_memory(&mut self, gateway: usize) {
        let process = self.cluster.process(gateway);
        let used = process.and_then(|process| usage(process.system_id()));
        let record = used.map(|used| MemoryRecord {
            gateway,
            limit_mb: self.plan.limits.memory_mb,
            peak_kb: used.peak_memory_kb,
        });
        self.peak_memory.extend(record);
    }

    fn terminate(&mut self, gateway: usize, reload_before: bool) {
        if let Some(status) = self.cluster.exit_status(gateway) {
            let what = format!("gateway {gateway} ended before SIGTERM: {status}");
            self.crashes.push(what);
        }
        if reload_before {
            self.cluster.signal(gateway, "-HUP");
        }
        let terminated_at = self.cluster.clock.now();
        self.fates[gateway]
            .terminated_at
            .store(terminated_at, Ordering::Relaxed);
        self.cluster.signal(gateway, "-TERM");
        let longest = longest_deadline_ms(self.deadline_percent[gateway]);
        self.ends[gateway] = GatewayEnd {
            terminated_at,
            killed_at: terminated_at + longest.min(LONGEST_COUNTED_DEADLINE_MS) + KILL_DELAY_MS,
        };
    }

    /// Kills each gateway whose time comes before `until`.
    fn kill_due(&mut self, until: u64) {
        let mut due: Vec<usize> = (0..self.plan.gateways)
            .filter(|&gateway| {
                let is_alive = self.cluster.process(gateway).is_some();
                is_alive && self.ends[gateway].killed_at < until
            })
            .collect();
        due.sort_by_key(|&gateway| self.ends[gateway].killed_at);
        for gateway in due {
            // A gateway that runs up to the kill prints no counters by itself.
            self.sleep_until(
                self.ends[gateway]
                    .killed_at
                    .saturating_sub(COUNTERS_BEFORE_KILL_MS),
            );
            self.cluster.signal(gateway, "-USR1");
            self.record_memory(gateway);
            self.sleep_until(self.ends[gateway].killed_at);
            if let Some(status) = self.cluster.exit_status(gateway) {
                if !status.success() {
                    let what = format!("gateway {gateway} ended behind SIGTERM: {status}");
                    self.crashes.push(what);
                }
            }
            self.fates[gateway].killed.store(true, Ordering::Relaxed);
            self.cluster.crash(gateway);
        }
    }
}

/// The longest deadline of all classes, in milliseconds.
fn longest_deadline_ms(deadline_percent: u64) -> u64 {
    let classes = Spec::default().classes;
    let longest = classes.iter().map(|class| class.deadline_ms);
    (longest.fold(0.0, f64::max) * deadline_percent as f64 / 100.0) as u64
}
