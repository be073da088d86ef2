//! The process of a gateway: starts it, sends it signals and collects its log.

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

/// A line of a gateway's log, which it writes to standard error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Time at which the line was read, in milliseconds since the start of the run.
    pub at: u64,
    /// The gateway that logged it.
    pub gateway: usize,
    /// How often the gateway had been started before the process that logged the line.
    pub run: u32,
    /// The line without its line break.
    pub text: String,
}

impl Line {
    /// Returns whether this process logged the line.
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

/// The log lines of all gateways, in the order in which they were read.
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

    /// Applies a function to the lines that have been read so far.
    pub fn inspect_lines<R>(&self, inspect: impl FnOnce(&[Line]) -> R) -> R {
        inspect(&self.lines())
    }

    /// Waits until `inspect` returns a result for the lines; returns `None` if it has not within `timeout`.
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
            let remaining = deadline.checked_duration_since(Instant::now())?;
            let woken = self.0.line_added.wait_timeout(lines, remaining);
            lines = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// Ids of the processes that this program started and has not waited for yet.
static STARTED_PROCESSES: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

fn started_processes() -> MutexGuard<'static, BTreeSet<u32>> {
    STARTED_PROCESSES
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

/// Kills every gateway that this program started. A program calls it when a signal ends it, because the threads that
/// own the gateways are then not unwound: otherwise the gateways would outlive the run and load the machine for ever.
pub fn end_all() {
    for process_id in started_processes().iter() {
        let _ = Command::new("kill")
            .args(["-KILL", &process_id.to_string()])
            .status();
    }
}

/// The parameters with which a gateway's process is started.
pub struct Launch<'a> {
    /// Path of the gateway's executable.
    pub program: &'a Path,
    /// The gateway's configuration.
    pub config: &'a Value,
    /// Directory of the run, for the configuration file: several clusters may run in one process, so each has its own.
    pub directory: &'a Path,
    /// Path of the operators' file, if there is one.
    pub operators: Option<&'a Path>,
    /// The gateway and its run.
    pub id: ProcessId,
    /// The history to which the process's log lines are added.
    pub history: &'a History,
    /// The clock of the run, which gives log lines their times.
    pub clock: Clock,
}

/// A gateway's process.
pub struct Process {
    child: Child,
    config: PathBuf,
    /// The address at which it accepts clients.
    pub address: SocketAddr,
    /// The address of its console, at which it accepts operators.
    pub console: SocketAddr,
}

/// Longest time from the start of a gateway until it has logged both its addresses.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Environment variables that would override the configuration file, so they are removed from the gateway's
/// environment.
const OVERRIDING_VARIABLES: [&str; 5] = [
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
    /// The configuration file cannot be written, the program cannot be started, or it does not listen in time.
    pub fn start(launch: &Launch<'_>) -> Result<Self, ClusterError> {
        let config = launch.config_file();
        super::write_file(&config, &launch.config.to_string())?;
        let spawned = launch.command(&config).spawn();
        let mut child = spawned.map_err(|source| ClusterError::Spawn {
            program: launch.program.to_path_buf(),
            source,
        })?;
        started_processes().insert(child.id());
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
                started_processes().remove(&child.id());
                Err(ClusterError::NotListening {
                    gateway: launch.id.gateway,
                    log: launch.logged(),
                })
            }
        }
    }

    /// The process id of the operating system.
    #[must_use]
    pub fn system_id(&self) -> u32 {
        self.child.id()
    }

    /// Sends the process a signal, given as an option of the `kill` command, such as `-HUP`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
    }

    /// Replaces the process's configuration file, which it reads again on SIGHUP.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn replace_config(&self, config: &Value) -> Result<(), ClusterError> {
        super::write_file(&self.config, &config.to_string())
    }

    /// Exit status of a process that ended by itself; `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills the process (SIGKILL), as in a crash.
    pub fn crash(mut self) {
        self.end();
    }

    /// Waits until the process has exited and returns its exit code; `None` if a signal ended it.
    pub fn wait_for_exit(mut self) -> Option<i32> {
        let code = self.child.wait().ok().and_then(|status| status.code());
        started_processes().remove(&self.child.id());
        self.end();
        code
    }

    fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        started_processes().remove(&self.child.id());
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
    /// Path of the configuration file, one for each run of each gateway.
    fn config_file(&self) -> PathBuf {
        let ProcessId { gateway, run } = self.id;
        self.directory.join(format!("gateway-{gateway}-{run}.json"))
    }

    fn command(&self, config: &Path) -> Command {
        let mut command = Command::new(self.program);
        for name in OVERRIDING_VARIABLES {
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

    /// Starts a thread that adds the process's log lines to the history; it ends at the end of the log.
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

    /// Waits until the process has logged both addresses; `None` if it has not within [`READY_TIMEOUT`].
    fn wait_for_addresses(&self) -> Option<Addresses> {
        let logged_after = |lines: &[Line], prefix: &str| {
            let lines_of_process = lines.iter().filter(|line| line.is_of(self.id));
            lines_of_process
                .filter_map(|line| line.text.rsplit_once(prefix)?.1.trim().parse().ok())
                .next()
        };
        self.history.wait(READY_TIMEOUT, |lines| {
            Some(Addresses {
                clients: logged_after(lines, " listens on ")?,
                console: logged_after(lines, "operators call ")?,
            })
        })
    }

    /// The lines that the process has logged, each indented and followed by a line break.
    fn logged(&self) -> String {
        self.history.inspect_lines(|lines| {
            let lines_of_process = lines.iter().filter(|line| line.is_of(self.id));
            lines_of_process
                .map(|line| format!("  {}\n", line.text))
                .collect()
        })
    }
}
