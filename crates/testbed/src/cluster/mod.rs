//! Runs several real gateways as processes on loopback and injects faults: datagrams between gateways are dropped or
//! delayed, links between gateways or to hosts are cut, and processes are stalled (SIGSTOP, SIGCONT), killed and
//! restarted. Every run is bounded in time, ends by itself and ends only the processes that it started.
//!
//! Tests drive a [`Cluster`] step by step; [`schedule`] draws whole sequences of faults from a seed, runs them and
//! checks what the gateways logged.

mod clock;
mod counters;
mod error;
mod gateway_config;
pub mod leases;
pub mod load;
mod parallel;
pub mod process;
pub mod processor;
pub mod relay;
pub mod schedule;
pub mod site_loss;
pub mod stand_ins;
pub mod timed_reads;
pub mod views;

pub use clock::Clock;
pub use counters::COUNTERS_LINE;
pub use error::ClusterError;
pub use parallel::run_in_parallel;

use process::{History, Launch, Process, ProcessId};
use relay::Relay;
use serde::Serialize;
use stand_ins::checking_gateway::CheckingGateway;
use stand_ins::discovery::Discovery;
use stand_ins::host::Host;
use stand_ins::StandIns;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;

/// Longest wait for a condition before it counts as failed; the result of a successful wait does not depend on it.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// Maximum number of gateways of a cluster, because the loopback of one machine cannot stand for a larger fleet's
/// network.
pub const MAX_GATEWAYS: usize = 24;

/// How gateways learn the list of database hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointListMode {
    /// An agent beside each gateway pushes the list.
    Pushed,
    /// Each gateway polls one discovery service.
    Polled,
}

/// The description of a cluster: what [`Cluster::start`] starts.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of gateways, 1 to [`MAX_GATEWAYS`].
    pub gateways: usize,
    /// Number of sets, each of a primary and a replica.
    pub sets: u64,
    /// Number of additional sets, each of a primary and eleven replicas. If it is not 0, a gateway played by the
    /// testbed sends the health-check results of all sets.
    pub listed_sets: u64,
    /// The zones, to which gateways and hosts are assigned in turn; at least one.
    pub zones: Vec<String>,
    /// The seed of all random draws of the run.
    pub seed: u64,
    /// Path of the gateway's executable.
    pub program: PathBuf,
    /// Content of the operators' file; if it is empty, the gateways are started without one.
    pub operators: String,
    /// How gateways learn the list of database hosts.
    pub endpoint_list: EndpointListMode,
    /// The deadlines of all classes, in percent of their default values.
    pub deadline_percent: u64,
    /// Resource limits of each gateway.
    pub limits: GatewayLimits,
}

/// Resource limits that a gateway's configuration sets for its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct GatewayLimits {
    /// Memory limit, in megabytes.
    pub memory_mb: u64,
    /// Maximum number of open sockets.
    pub sockets: u64,
}

impl Default for GatewayLimits {
    fn default() -> Self {
        GatewayLimits {
            memory_mb: 64,
            sockets: 512,
        }
    }
}

/// The state of a gateway: its process while it runs, and how often it was started.
#[derive(Default)]
struct Slot {
    process: Option<Process>,
    starts: u32,
}

/// Gateways, the relay of the datagrams between them, and the stand-ins for what they connect to.
pub struct Cluster {
    plan: Plan,
    /// The run's clock.
    pub clock: Clock,
    /// The log lines of all gateways.
    pub history: History,
    /// The relay of the datagrams between gateways.
    pub relay: Relay,
    /// The database hosts.
    pub hosts: Vec<Host>,
    slots: Vec<Slot>,
    /// The list of database hosts.
    pub discovery: Discovery,
    /// The gateway, played by the testbed, that checks the hosts of all sets; `None` if the plan has no listed sets.
    pub checking_gateway: Option<CheckingGateway>,
    directory: PathBuf,
    /// Ends the thread of the stand-ins when it is dropped.
    _stop_stand_ins: oneshot::Sender<()>,
}

impl Cluster {
    /// Starts the stand-ins and all gateways, and waits until each gateway listens.
    ///
    /// # Errors
    /// The plan's number of gateways is out of range, it has no zone, a socket or file cannot be created, or a gateway
    /// does not start.
    pub fn start(plan: Plan) -> Result<Self, ClusterError> {
        if plan.gateways == 0 || plan.gateways > MAX_GATEWAYS || plan.zones.is_empty() {
            return Err(ClusterError::PlanSize {
                gateways: plan.gateways,
            });
        }
        let directory = create_run_directory()?;
        let clock = Clock::new();
        let (stand_ins, stop) = stand_ins::start_on_own_thread(&plan, clock)?;
        let StandIns {
            relay,
            hosts,
            discovery,
            checking_gateway,
        } = stand_ins;
        let mut cluster = Cluster {
            clock,
            history: History::default(),
            relay,
            hosts,
            slots: (0..plan.gateways).map(|_| Slot::default()).collect(),
            discovery,
            checking_gateway,
            directory,
            plan,
            _stop_stand_ins: stop,
        };
        if let Some(file) = cluster.operators_file() {
            write_file(&file, &cluster.plan.operators)?;
        }
        for gateway in 0..cluster.plan.gateways {
            cluster.launch(gateway)?;
        }
        Ok(cluster)
    }

    /// Path of the gateways' operators' file; `None` if the plan has none.
    fn operators_file(&self) -> Option<PathBuf> {
        let exists = !self.plan.operators.is_empty();
        exists.then(|| self.directory.join("operators.jsonnet"))
    }

    /// The zone of a gateway.
    #[must_use]
    pub fn zone(&self, gateway: usize) -> &str {
        &self.plan.zones[gateway % self.plan.zones.len()]
    }

    /// Starts a gateway that does not run.
    ///
    /// # Errors
    /// The gateway does not start; the error has the reason, and the log of a gateway that did not listen in time.
    pub fn launch(&mut self, gateway: usize) -> Result<(), ClusterError> {
        let process = Process::start(&Launch {
            program: &self.plan.program,
            config: &self.gateway_config(gateway, self.plan.deadline_percent),
            directory: &self.directory,
            operators: self.operators_file().as_deref(),
            id: ProcessId {
                gateway,
                run: self.slots[gateway].starts,
            },
            history: &self.history,
            clock: self.clock,
        })?;
        let slot = &mut self.slots[gateway];
        slot.starts += 1;
        slot.process = Some(process);
        Ok(())
    }

    /// Kills a gateway immediately (SIGKILL).
    pub fn crash(&mut self, gateway: usize) {
        if let Some(process) = self.slots[gateway].process.take() {
            process.crash();
        }
    }

    /// Sends a gateway SIGTERM, waits until it has exited, and returns its exit code.
    pub fn terminate(&mut self, gateway: usize) -> Option<i32> {
        let process = self.slots[gateway].process.take()?;
        process.signal("-TERM");
        process.wait_for_exit()
    }

    /// Suspends a gateway's process (SIGSTOP).
    pub fn stall(&self, gateway: usize) {
        self.signal(gateway, "-STOP");
    }

    /// Resumes a stalled gateway (SIGCONT).
    pub fn resume(&self, gateway: usize) {
        self.signal(gateway, "-CONT");
    }

    /// Sends a gateway's process a signal, given as an option of the `kill` command, such as `-HUP`.
    pub fn signal(&self, gateway: usize, name: &str) {
        if let Some(process) = self.process(gateway) {
            process.signal(name);
        }
    }

    /// Returns a gateway's process, or `None` if it does not run.
    #[must_use]
    pub fn process(&self, gateway: usize) -> Option<&Process> {
        self.slots[gateway].process.as_ref()
    }

    /// Changes a gateway's deadlines, in percent of the default ones, and makes it reload its configuration (SIGHUP).
    ///
    /// # Errors
    /// The configuration cannot be written.
    pub fn reload(&self, gateway: usize, deadline_percent: u64) -> Result<(), ClusterError> {
        if let Some(process) = self.process(gateway) {
            process.replace_config(&self.gateway_config(gateway, deadline_percent))?;
            process.signal("-HUP");
        }
        Ok(())
    }

    /// Exit status of a gateway's process that ended by itself; `None` while it runs.
    pub fn exit_status(&mut self, gateway: usize) -> Option<ExitStatus> {
        self.slots[gateway].process.as_mut()?.exit_status()
    }

    /// The gateways that have a process, whether it runs or is stalled.
    #[must_use]
    pub fn running(&self) -> Vec<usize> {
        (0..self.slots.len())
            .filter(|&gateway| self.process(gateway).is_some())
            .collect()
    }

    /// Drops all datagrams between the gateways of the two sides, in both directions.
    pub fn partition(&self, left: &[usize], right: &[usize]) {
        let mut network = self.relay.network();
        for &a in left {
            for &b in right {
                network.cuts.insert((a, b));
                network.cuts.insert((b, a));
            }
        }
    }

    /// Removes every cut, loss and delay between gateways, and every cut between gateways and hosts.
    pub fn heal(&self) {
        let mut network = self.relay.network();
        network.cuts.clear();
        network.loss = 0.0;
        network.delay = Duration::ZERO;
        drop(network);
        for host in &self.hosts {
            for gateway in 0..self.plan.gateways {
                host.cut(gateway, false);
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.slots.clear();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Creates the directory of a run; its name has the process id and a counter, so that no two runs share it.
fn create_run_directory() -> Result<PathBuf, ClusterError> {
    static RUNS: AtomicU32 = AtomicU32::new(0);
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let name = format!("irisrouter-cluster-{}-{run}", std::process::id());
    let path = std::env::temp_dir().join(name);
    match std::fs::create_dir_all(&path) {
        Ok(()) => Ok(path),
        Err(source) => Err(ClusterError::File { path, source }),
    }
}

fn write_file(path: &Path, content: &str) -> Result<(), ClusterError> {
    std::fs::write(path, content).map_err(|source| ClusterError::File {
        path: path.to_path_buf(),
        source,
    })
}
