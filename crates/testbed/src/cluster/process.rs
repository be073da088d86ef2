//! The process of a gateway: started, stopped by signals to the process that was started here, and read by its log.

use super::{Clock, ClusterError};
use serde_json::Value;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// One run of a gateway, from its start to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessId {
    /// The gateway's number.
    pub gateway: usize,
    /// How often the gateway had been started before.
    pub run: u32,
}

/// A line of a gateway's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// When it was read, in milliseconds since the start of the run.
    pub at: u64,
    /// The gateway that logged it.
    pub gateway: usize,
    /// Which of the gateway's processes, counted from 0.
    pub run: u32,
    /// The line without its end.
    pub text: String,
}

impl Line {
    /// Whether this process logged it.
    #[must_use]
    pub fn is_of(&self, id: ProcessId) -> bool {
        self.gateway == id.gateway && self.run == id.run
    }
}

#[derive(Default)]
struct SharedHistory {
    lines: Mutex<Vec<Line>>,
    line_added: Condvar,
}

/// Every line of every gateway, in the order in which they were read.
#[derive(Clone, Default)]
pub struct History(Arc<SharedHistory>);

impl History {
    fn lines(&self) -> MutexGuard<'_, Vec<Line>> {
        let lines = self.0.lines.lock();
        lines.unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: Line) {
        self.lines().push(line);
        self.0.line_added.notify_all();
    }

    /// Applies a function to the lines so far.
    pub fn look<R>(&self, inspect: impl FnOnce(&[Line]) -> R) -> R {
        inspect(&self.lines())
    }

    /// Waits until a function of the lines gives a result, or none where `timeout` is over first.
    pub fn wait<R>(
        &self,
        timeout: Duration,
        mut inspect: impl FnMut(&[Line]) -> Option<R>,
    ) -> Option<R> {
        let deadline = Instant::now() + timeout;
        let mut lines = self.lines();
        loop {
            if let Some(result) = inspect(&lines) {
                return Some(result);
            }
            let left = deadline.checked_duration_since(Instant::now())?;
            let woken = self.0.line_added.wait_timeout(lines, left);
            lines = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// The processes that were started here and have not been waited for.
static STARTED: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

fn started() -> MutexGuard<'static, BTreeSet<u32>> {
    STARTED.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ends every gateway that was started here, for a program that receives a signal to end: the threads that own them don't
/// run on.
/// Without it gateways would outlive the run and load the machine for ever.
pub fn end_all() {
    for process_id in started().iter() {
        let _ = Command::new("kill")
            .args(["-KILL", &process_id.to_string()])
            .status();
    }
}

/// What a gateway's process is started with.
pub struct Launch<'a> {
    /// The gateway's program.
    pub program: &'a Path,
    /// Its configuration.
    pub config: &'a Value,
    /// The folder of its run, for the configuration file: several clusters may run in one process.
    pub directory: &'a Path,
    /// The operators' file, where there is one.
    pub operators: Option<&'a Path>,
    /// Which run of which gateway it is.
    pub id: ProcessId,
    /// Where its log lines go.
    pub history: &'a History,
    /// The run's clock, by which log lines get their times.
    pub clock: Clock,
}

/// A gateway's process.
pub struct Process {
    child: Child,
    config: PathBuf,
    /// Where clients connect.
    pub address: SocketAddr,
    /// Where operators connect.
    pub console: SocketAddr,
}

/// A gateway listens within this time after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Environment variables that would override the configuration, and are not passed on.
const OVERRIDES: [&str; 5] = [
    "BALANCER_LISTEN",
    "BALANCER_DISCOVERY",
    "BALANCER_CONSOLE",
    "BALANCER_PASSED_SOCKET",
    "IRISROUTER_OPERATORS",
];

impl Process {
    /// Starts a gateway's process and waits until it listens.
    ///
    /// # Errors
    /// The program is missing, ends, or does not listen in time.
    pub fn start(launch: &Launch<'_>) -> Result<Self, ClusterError> {
        let config = launch.config_file();
        super::write_file(&config, &launch.config.to_string())?;
        let spawned = launch.command(&config).spawn();
        let mut child = spawned.map_err(|source| ClusterError::Spawn {
            program: launch.program.to_path_buf(),
            source,
        })?;
        started().insert(child.id());
        let Some(log) = child.stderr.take() else {
            return Err(ClusterError::NoLog);
        };
        launch.collect_log(log);
        match launch.wait_for_addresses() {
            Some(Addresses { clients, console }) => Ok(Process {
                child,
                config,
                address: clients,
                console,
            }),
            None => {
                let _ = child.kill();
                let _ = child.wait();
                started().remove(&child.id());
                Err(ClusterError::NotListening {
                    gateway: launch.id.gateway,
                    log: launch.logged(),
                })
            }
        }
    }

    /// The system's number of the process.
    #[must_use]
    pub fn system_id(&self) -> u32 {
        self.child.id()
    }

    /// Sends the process a signal, named as `kill` takes it.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
    }

    /// Replaces its configuration, which it reads again on SIGHUP.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn replace_config(&self, config: &Value) -> Result<(), ClusterError> {
        super::write_file(&self.config, &config.to_string())
    }

    /// How it has ended by itself; `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Ends it at once, as a crash does.
    pub fn crash(mut self) {
        self.end();
    }

    /// Waits for its end: its exit code.
    pub fn wait_for_exit(mut self) -> Option<i32> {
        let code = self.child.wait().ok().and_then(|status| status.code());
        started().remove(&self.child.id());
        self.end();
        code
    }

    fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        started().remove(&self.child.id());
        let _ = std::fs::remove_file(&self.config);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

/// The addresses at which a gateway listens.
struct Addresses {
    clients: SocketAddr,
    console: SocketAddr,
}

impl Launch<'_> {
    /// The file for the configuration.
    fn config_file(&self) -> PathBuf {
        let ProcessId { gateway, run } = self.id;
        self.directory.join(format!("gateway-{gateway}-{run}.json"))
    }

    fn command(&self, config: &Path) -> Command {
        let mut command = Command::new(self.program);
        for name in OVERRIDES {
            command.env_remove(name);
        }
        command.env("BALANCER_CONFIG", config);
        if let Some(operators) = self.operators {
            command.env("IRISROUTER_OPERATORS", operators);
        }
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        command
    }

    /// Adds the process's log lines to the history, on a thread of its own that ends with the log.
    fn collect_log(&self, log: ChildStderr) {
        let history = self.history.clone();
        let (clock, id) = (self.clock, self.id);
        std::thread::spawn(move || {
            for text in BufReader::new(log).lines().map_while(Result::ok) {
                history.push(Line {
                    at: clock.now(),
                    gateway: id.gateway,
                    run: id.run,
                    text,
                });
            }
        });
    }

    /// Waits until the process has logged both addresses; none where it does not in time.
    fn wait_for_addresses(&self) -> Option<Addresses> {
        let logged_after = |lines: &[Line], words: &str| {
            let own = lines.iter().filter(|line| line.is_of(self.id));
            own.filter_map(|line| line.text.rsplit_once(words)?.1.trim().parse().ok())
                .next()
        };
        self.history.wait(READY_TIMEOUT, |lines| {
            Some(Addresses {
                clients: logged_after(lines, " listens on ")?,
                console: logged_after(lines, "operators call ")?,
            })
        })
    }

    /// The lines that the process has logged, each indented and ended.
    fn logged(&self) -> String {
        self.history.look(|lines| {
            let own = lines.iter().filter(|line| line.is_of(self.id));
            own.map(|line| format!("  {}\n", line.text)).collect()
        })
    }
}
