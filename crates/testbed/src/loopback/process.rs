//! Gateways as processes: started with a configuration of their own, killed and started again, and never left behind.

use super::environment::{Environment, GatewayCommand};
use super::error::{GatewayFailure, LoopbackError, ProcessEnd};
use super::{discovery, spawn};
use irisrouter_simulation::rng::{Rng, Stream};
use irisrouter_simulation::GatewayId;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStderr, Command};
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep, timeout};

/// A gateway listens within this time after its start, and its process ends within it after a kill.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Lines of its log that are shown when it fails.
const LAST_LINES: usize = 20;
/// How often a process is checked, and how long the last lines of its log may take to be read after its end.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Environment variables that would override the configuration, and are not passed on.
const OVERRIDES: [&str; 5] = [
    "BALANCER_LISTEN",
    "BALANCER_DISCOVERY",
    "BALANCER_CONSOLE",
    "BALANCER_PASSED_SOCKET",
    "BALANCER_NAME",
];

/// A gateway's program and what it is started with.
pub struct Program {
    /// The gateway's name.
    pub name: String,
    /// The file of the program.
    pub file: PathBuf,
    /// The configuration, but for the list and the seed.
    pub config: Value,
    /// The addresses at which it reaches the hosts.
    pub addresses: Rc<Vec<String>>,
}

struct Process {
    program: Program,
    child: RefCell<Option<Child>>,
    last_log_lines: Rc<RefCell<VecDeque<String>>>,
    address: Cell<Option<SocketAddr>>,
}

impl Process {
    fn new(program: Program) -> Self {
        Process {
            program,
            child: RefCell::default(),
            last_log_lines: Rc::default(),
            address: Cell::default(),
        }
    }

    fn error(&self, failure: GatewayFailure) -> LoopbackError {
        LoopbackError::Gateway {
            name: self.program.name.clone(),
            failure,
            log: self.last_log_lines.borrow().iter().cloned().collect(),
        }
    }

    /// Keeps the last lines of the log while the process runs, and sends the address that it logs first: none where that
    /// is none. Nothing is sent where the log ends before.
    fn collect_log(&self, log: ChildStderr) -> oneshot::Receiver<Option<SocketAddr>> {
        let (sender, address) = oneshot::channel();
        let mut sender = Some(sender);
        let last_lines = Rc::clone(&self.last_log_lines);
        spawn(async move {
            let mut lines = BufReader::new(log).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                if let Some((_, address)) = line.rsplit_once(" listens on ") {
                    if let Some(sender) = sender.take() {
                        let _ = sender.send(address.trim().parse().ok());
                    }
                }
                let mut last_lines = last_lines.borrow_mut();
                last_lines.push_back(line);
                if last_lines.len() > LAST_LINES {
                    last_lines.pop_front();
                }
            }
        });
        address
    }
}

/// All gateways of a run.
pub struct Processes {
    environment: Rc<Environment>,
    processes: Vec<Process>,
    directory: PathBuf,
    seeds: RefCell<Rng>,
    /// The first failure, until it is reported.
    failure: RefCell<Option<LoopbackError>>,
    failure_added: Notify,
}

impl Processes {
    /// None has been started yet.
    ///
    /// # Errors
    /// No folder can be made for their configurations.
    pub fn new(
        environment: Rc<Environment>,
        programs: Vec<Program>,
        seed: u64,
    ) -> Result<Rc<Self>, LoopbackError> {
        // Two runs of one process may be under way at once.
        static RUNS: AtomicU32 = AtomicU32::new(0);
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let name = format!("irisrouter-testbed-{}-{run}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        create_directory(&directory)?;
        Ok(Rc::new(Processes {
            environment,
            processes: programs.into_iter().map(Process::new).collect(),
            directory,
            seeds: RefCell::new(Rng::new(seed, Stream::Gateways)),
            failure: RefCell::default(),
            failure_added: Notify::new(),
        }))
    }

    fn process(&self, gateway: GatewayId) -> &Process {
        &self.processes[gateway.0 as usize]
    }

    /// Where a gateway listens, once it has.
    pub fn address(&self, gateway: GatewayId) -> Option<SocketAddr> {
        self.process(gateway).address.get()
    }

    /// Whether a gateway runs.
    pub fn is_running(&self, gateway: GatewayId) -> bool {
        self.process(gateway).child.borrow().is_some()
    }

    /// Starts a gateway with its last list and waits until it listens.
    ///
    /// # Errors
    /// The program is missing, ends or does not listen in time.
    pub async fn start(self: &Rc<Self>, gateway: GatewayId) -> Result<(), LoopbackError> {
        let process = self.process(gateway);
        let mut child = self.spawn_program(gateway)?;
        let Some(log) = child.stderr.take() else {
            return Err(LoopbackError::NoLog);
        };
        let listening = process.collect_log(log);
        tokio::select! {
            Ok(address) = listening => process.address.set(address),
            status = child.wait() => {
                // The last lines of its log may not have been read yet.
                sleep(POLL_INTERVAL).await;
                return Err(process.error(GatewayFailure::EndedAtStart(ProcessEnd(status))));
            }
            () = sleep(READY_TIMEOUT) => return Err(process.error(GatewayFailure::NotListening)),
        }
        *process.child.borrow_mut() = Some(child);
        spawn(Rc::clone(self).watch(gateway));
        Ok(())
    }

    /// Writes a gateway's configuration and starts its program.
    fn spawn_program(&self, gateway: GatewayId) -> Result<Child, LoopbackError> {
        let process = self.process(gateway);
        let program = &process.program;
        let mut config = program.config.clone();
        let seed = self.seeds.borrow_mut().number();
        config["seed"] = format!("{seed:016x}").into();
        config["known"] = discovery::list(&self.environment, gateway, &program.addresses);
        if let Some(address) = process.address.get() {
            config["listen"] = address.to_string().into();
        }
        let file = self.directory.join(format!("{}.json", program.name));
        std::fs::write(&file, config.to_string()).map_err(|source| LoopbackError::File {
            path: file.clone(),
            source,
        })?;
        let temporary = self.directory.join(format!("{}.tmp", program.name));
        create_directory(&temporary)?;
        let mut command = Command::new(&program.file);
        for name in OVERRIDES {
            command.env_remove(name);
        }
        command
            .env("BALANCER_CONFIG", &file)
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        command.spawn().map_err(|source| LoopbackError::Spawn {
            program: program.file.clone(),
            source,
        })
    }

    /// Fails the run when a gateway ends by itself.
    async fn watch(self: Rc<Self>, gateway: GatewayId) {
        let process = self.process(gateway);
        let end = loop {
            sleep(POLL_INTERVAL).await;
            let status = match process.child.borrow_mut().as_mut() {
                None => return,
                Some(child) => child.try_wait(),
            };
            match status {
                Ok(None) => {}
                Ok(Some(status)) => break ProcessEnd(Ok(status)),
                Err(error) => break ProcessEnd(Err(error)),
            }
        };
        // The last lines of its log may not have been read yet.
        sleep(POLL_INTERVAL).await;
        self.fail(process.error(GatewayFailure::EndedByItself(end)));
    }

    fn fail(&self, error: LoopbackError) {
        self.failure.borrow_mut().get_or_insert(error);
        self.failure_added.notify_one();
    }

    /// Waits until a gateway has failed.
    pub async fn failed(&self) -> LoopbackError {
        loop {
            self.failure_added.notified().await;
            if let Some(error) = self.failure.borrow_mut().take() {
                return error;
            }
        }
    }

    /// Kills and starts gateways as the world's faults have it, for ever.
    pub async fn apply_faults(self: Rc<Self>) {
        let Some(mut commands) = self.environment.take_gateway_commands() else {
            return;
        };
        while let Some(GatewayCommand { gateway, up }) = commands.recv().await {
            if up {
                if let Err(error) = self.start(gateway).await {
                    self.fail(error);
                }
            } else {
                self.kill(gateway).await;
            }
            let now = self.environment.now();
            let mut clients = self.environment.clients.borrow_mut();
            clients.set_gateway_state(now, gateway, up);
        }
    }

    async fn kill(&self, gateway: GatewayId) {
        let child = self.process(gateway).child.borrow_mut().take();
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }

    /// Ends all of them.
    pub async fn stop(&self) {
        for process in &self.processes {
            let child = process.child.borrow_mut().take();
            if let Some(mut child) = child {
                let _ = child.start_kill();
                let _ = timeout(READY_TIMEOUT, child.wait()).await;
            }
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn create_directory(path: &Path) -> Result<(), LoopbackError> {
    std::fs::create_dir_all(path).map_err(|source| LoopbackError::File {
        path: path.to_path_buf(),
        source,
    })
}
