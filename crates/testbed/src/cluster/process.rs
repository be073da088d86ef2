//! One gateway's processes, one after the other: started, stopped by signals to the process that was started here, and
//! heard by its log.

use super::Clock;
use serde_json::Value;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A line of a gateway's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// When it was read, in milliseconds of the run.
    pub at: u64,
    /// Of which gateway.
    pub gateway: usize,
    /// Of which of its processes, counted from 0.
    pub run: u32,
    /// What it says.
    pub text: String,
}

/// Every line of every gateway, in the order in which they were read.
#[derive(Clone, Default)]
pub struct History(Arc<(Mutex<Vec<Line>>, Condvar)>);

impl History {
    fn push(&self, line: Line) {
        self.0
             .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(line);
        self.0 .1.notify_all();
    }

    /// Looks at what has been said so far.
    pub fn look<R>(&self, at: impl FnOnce(&[Line]) -> R) -> R {
        at(&self.0 .0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Waits until what has been said gives a result, for so long at most.
    pub fn wait<R>(
        &self,
        patience: Duration,
        mut at: impl FnMut(&[Line]) -> Option<R>,
    ) -> Option<R> {
        let until = Instant::now() + patience;
        let mut lines = self.0 .0.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            if let Some(result) = at(&lines) {
                return Some(result);
            }
            let left = until.checked_duration_since(Instant::now())?;
            lines = self
                .0
                 .1
                .wait_timeout(lines, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

/// The processes that were started here and have not been waited for.
static STARTED: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

fn started() -> MutexGuard<'static, BTreeSet<u32>> {
    STARTED.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ends every gateway that was started here, for a program that is told to end: their owners' threads don't run on.
/// Without it gateways would outlive the run and load the machine for ever.
pub fn end_all() {
    for id in started().iter() {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
}

/// A gateway's process.
pub struct Process {
    child: Child,
    config: PathBuf,
    /// Where clients call.
    pub address: SocketAddr,
    /// Where operators call.
    pub console: SocketAddr,
}

/// A gateway listens within this time after its start.
const READY: Duration = Duration::from_secs(30);

impl Process {
    /// Starts run `run` of gateway `gateway` and waits until it listens.
    ///
    /// # Errors
    /// Where the program is missing, ends, or does not listen in time.
    pub fn start(
        program: &Path,
        config: &Value,
        operators: Option<&Path>,
        (gateway, run): (usize, u32),
        (history, clock): (&History, Clock),
    ) -> Result<Self, String> {
        let dir = operators
            .and_then(Path::parent)
            .map_or_else(std::env::temp_dir, Path::to_path_buf);
        let file = dir.join(format!(
            "gateway-{}-{gateway}-{run}.json",
            std::process::id()
        ));
        std::fs::write(&file, config.to_string())
            .map_err(|e| format!("{}: {e}", file.display()))?;
        let mut command = Command::new(program);
        for name in [
            "BALANCER_LISTEN",
            "BALANCER_DISCOVERY",
            "BALANCER_CONSOLE",
            "BALANCER_PASSED_SOCKET",
        ] {
            command.env_remove(name);
        }
        command
            .env("BALANCER_CONFIG", &file)
            .env_remove("IRISROUTER_OPERATORS");
        if let Some(operators) = operators {
            command.env("IRISROUTER_OPERATORS", operators);
        }
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut child = command
            .spawn()
            .map_err(|e| format!("cannot start {}: {e}", program.display()))?;
        started().insert(child.id());
        let Some(errors) = child.stderr.take() else {
            return Err("a gateway without a log".into());
        };
        let to = history.clone();
        std::thread::spawn(move || {
            for text in BufReader::new(errors).lines().map_while(Result::ok) {
                to.push(Line {
                    at: clock.now(),
                    gateway,
                    run,
                    text,
                });
            }
        });
        let found = |lines: &[Line], words: &str| {
            let mine = lines
                .iter()
                .filter(|l| (l.gateway, l.run) == (gateway, run));
            mine.filter_map(|l| l.text.rsplit_once(words)?.1.trim().parse().ok())
                .next()
        };
        let both = |l: &[Line]| found(l, " listens on ").zip(found(l, "operators call "));
        match history.wait(READY, both) {
            Some((address, console)) => Ok(Process {
                child,
                config: file,
                address,
                console,
            }),
            None => {
                let _ = child.kill();
                let _ = child.wait();
                started().remove(&child.id());
                let said = history.look(|l| {
                    let mine = l.iter().filter(|l| (l.gateway, l.run) == (gateway, run));
                    mine.map(|l| format!("  {}\n", l.text)).collect::<String>()
                });
                Err(format!(
                    "gateway {gateway} does not listen; it said:\n{said}"
                ))
            }
        }
    }

    /// Sends the process a signal, by its id.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
    }

    /// Ends it at once, as a crash does.
    pub fn crash(mut self) {
        self.end();
    }

    /// Waits for its end: its exit code.
    pub fn ended(mut self) -> Option<i32> {
        let code = self.child.wait().ok().and_then(|s| s.code());
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
