//! Gateways as processes: started with a configuration of their own, killed and started again, and never left behind.

use super::discovery;
use super::environment::Environment;
use irisrouter_simulation::rng::{Rng, Stream};
use irisrouter_simulation::GatewayId;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// A gateway listens within this time after its start.
const READY: Duration = Duration::from_secs(20);
/// Lines of its log that are shown when it fails.
const LAST_LINES: usize = 20;
/// How often a process is looked at.
const LOOK: Duration = Duration::from_millis(20);

/// A gateway's program and what it is told.
pub struct Program {
    /// Its name.
    pub name: String,
    /// The file.
    pub file: PathBuf,
    /// The configuration, but for the list and the seed.
    pub config: Value,
    /// The hosts as it reaches them.
    pub addresses: Rc<Vec<String>>,
}

struct Process {
    program: Program,
    child: RefCell<Option<Child>>,
    log: Rc<RefCell<VecDeque<String>>>,
    address: Cell<Option<SocketAddr>>,
}

/// All gateways of a run.
pub struct Processes {
    environment: Rc<Environment>,
    all: Vec<Process>,
    dir: PathBuf,
    seeds: RefCell<Rng>,
    failure: RefCell<Option<String>>,
    failed: Notify,
}

impl Processes {
    /// None has been started yet.
    ///
    /// # Errors
    /// Where no folder can be made for their configurations.
    pub fn new(
        environment: Rc<Environment>,
        programs: Vec<Program>,
        seed: u64,
    ) -> Result<Rc<Self>, String> {
        // Two runs of one process may be under way at once.
        static RUNS: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let run = RUNS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let dir =
            std::env::temp_dir().join(format!("irisrouter-testbed-{}-{run}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        let process = |program| Process {
            program,
            child: RefCell::default(),
            log: Rc::default(),
            address: Cell::default(),
        };
        Ok(Rc::new(Processes {
            environment,
            all: programs.into_iter().map(process).collect(),
            dir,
            seeds: RefCell::new(Rng::new(seed, Stream::Gateways)),
            failure: RefCell::default(),
            failed: Notify::new(),
        }))
    }

    /// Where a gateway listens, once it has.
    pub fn address(&self, gateway: GatewayId) -> Option<SocketAddr> {
        self.all[gateway.0 as usize].address.get()
    }

    /// It runs.
    pub fn alive(&self, gateway: GatewayId) -> bool {
        self.all[gateway.0 as usize].child.borrow().is_some()
    }

    /// Starts a gateway with its last list and waits until it listens.
    ///
    /// # Errors
    /// Where the program is missing, ends or does not listen in time: the reason with its last log lines.
    pub async fn start(self: &Rc<Self>, gateway: GatewayId) -> Result<(), String> {
        let p = &self.all[gateway.0 as usize];
        let mut config = p.program.config.clone();
        let seed = self.seeds.borrow_mut().number();
        config["seed"] = format!("{seed:016x}").into();
        config["known"] = discovery::list(&self.environment, gateway, &p.program.addresses);
        if let Some(address) = p.address.get() {
            config["listen"] = address.to_string().into();
        }
        let file = self.dir.join(format!("{}.json", p.program.name));
        std::fs::write(&file, config.to_string())
            .map_err(|e| format!("{}: {e}", file.display()))?;
        let tmp = self.dir.join(format!("{}.tmp", p.program.name));
        std::fs::create_dir_all(&tmp).map_err(|e| format!("{}: {e}", tmp.display()))?;
        let mut command = Command::new(&p.program.file);
        for name in [
            "BALANCER_LISTEN",
            "BALANCER_DISCOVERY",
            "BALANCER_CONSOLE",
            "BALANCER_PASSED_SOCKET",
            "BALANCER_NAME",
        ] {
            command.env_remove(name);
        }
        command.env("BALANCER_CONFIG", &file).env("TMPDIR", &tmp);
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        let mut child = command
            .spawn()
            .map_err(|e| format!("cannot start the gateway {}: {e}", p.program.file.display()))?;
        let Some(errors) = child.stderr.take() else {
            return Err("a gateway without a log".into());
        };
        let (log, listens) = (Rc::clone(&p.log), Rc::new(Notify::new()));
        let (address, told) = (Rc::new(Cell::new(None)), Rc::clone(&listens));
        let found = Rc::clone(&address);
        super::beside(async move {
            let mut lines = BufReader::new(errors).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                if let Some((_, at)) = line.rsplit_once(" listens on ") {
                    found.set(at.trim().parse::<SocketAddr>().ok());
                    told.notify_one();
                }
                let mut log = log.borrow_mut();
                log.push_back(line);
                if log.len() > LAST_LINES {
                    log.pop_front();
                }
            }
        });
        tokio::select! {
            () = listens.notified() => {}
            ended = child.wait() => {
                let how = ended.map_or_else(|e| e.to_string(), |s| s.to_string());
                // Its last words may still be on their way.
                sleep(LOOK).await;
                return Err(self.with_log(gateway, &format!("ended at its start ({how})")));
            }
            () = sleep(READY) => return Err(self.with_log(gateway, "does not listen")),
        }
        p.address.set(address.get());
        *p.child.borrow_mut() = Some(child);
        self.watch(gateway);
        Ok(())
    }

    fn with_log(&self, gateway: GatewayId, what: &str) -> String {
        let p = &self.all[gateway.0 as usize];
        let lines: Vec<String> = p.log.borrow().iter().map(|l| format!("  {l}")).collect();
        let log = if lines.is_empty() {
            "  (it said nothing)".to_string()
        } else {
            lines.join("\n")
        };
        format!(
            "the gateway {} {what}; its last log lines:\n{log}",
            p.program.name
        )
    }

    /// A gateway that ends by itself fails the run.
    fn watch(self: &Rc<Self>, gateway: GatewayId) {
        let all = Rc::clone(self);
        super::beside(async move {
            loop {
                sleep(LOOK).await;
                let ended = match all.all[gateway.0 as usize].child.borrow_mut().as_mut() {
                    None => return,
                    Some(child) => child.try_wait(),
                };
                let how = match ended {
                    Ok(None) => continue,
                    Ok(Some(status)) => status.to_string(),
                    Err(e) => e.to_string(),
                };
                sleep(LOOK).await;
                let why = all.with_log(gateway, &format!("ended by itself ({how})"));
                all.failure.borrow_mut().get_or_insert(why);
                return all.failed.notify_one();
            }
        });
    }

    /// Waits until a gateway has failed: the reason.
    pub async fn failed(&self) -> String {
        loop {
            self.failed.notified().await;
            if let Some(why) = self.failure.borrow().clone() {
                return why;
            }
        }
    }

    /// Kills and starts gateways as the world's faults have it, for ever.
    pub async fn obey(self: Rc<Self>) {
        let Some(mut commands) = self.environment.commands() else {
            return;
        };
        while let Some((gateway, up)) = commands.recv().await {
            if up {
                if let Err(why) = self.start(gateway).await {
                    self.failure.borrow_mut().get_or_insert(why);
                    self.failed.notify_one();
                }
            } else {
                self.kill(gateway).await;
            }
            self.environment.clients.borrow_mut().set_gateway_state(
                self.environment.now(),
                gateway,
                up,
            );
        }
    }

    async fn kill(&self, gateway: GatewayId) {
        let child = self.all[gateway.0 as usize].child.borrow_mut().take();
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }

    /// Ends all of them.
    pub async fn stop(&self) {
        for g in 0..self.all.len() {
            let child = self.all[g].child.borrow_mut().take();
            if let Some(mut child) = child {
                let _ = child.start_kill();
                let _ = timeout(READY, child.wait()).await;
            }
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
