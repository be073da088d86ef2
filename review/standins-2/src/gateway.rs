//! The project's gateway, started as a process with the command of the deploy file.

use crate::record::{sleep_ms, Record};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml")
        .unwrap_or_else(|_| crate::cannot_run("no deploy/balancer.toml"));
    let line = text.lines().find_map(|line| line.strip_prefix("run"));
    let command = line.and_then(|line| line.split('"').nth(1));
    command
        .unwrap_or_else(|| crate::cannot_run("no run in the deploy file"))
        .to_string()
}

/// What the platform keeps for one gateway over all of its processes: the clients' socket and TMPDIR.
pub struct Place {
    pub socket: TcpListener,
    pub directory: PathBuf,
}

impl Place {
    pub fn new() -> Place {
        static NUMBER: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let directory =
            std::env::temp_dir().join(format!("irisrouter-review-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        Place {
            socket: TcpListener::bind("127.0.0.1:0").unwrap(),
            directory,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.socket.local_addr().unwrap()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

pub struct Gateway {
    child: Child,
    name: String,
    log: Arc<Mutex<Vec<String>>>,
    pub console: SocketAddr,
    pub address: SocketAddr,
    record: Record,
}

/// Where a gateway gets its clients' socket from.
#[derive(Clone, Copy, PartialEq)]
pub enum Listening {
    /// The platform holds it and passes it on as descriptor 3.
    Passed,
    /// The gateway listens by itself.
    Own,
}

/// What a gateway is told of the others: the keys of its configuration, and the operators' file.
#[derive(Default)]
pub struct Fleet {
    pub keys: String,
    pub operators: String,
}

/// Starts a process of the gateway.
pub fn start(
    name: &str,
    place: &Place,
    listening: Listening,
    fleet: &Fleet,
    discovery: SocketAddr,
    known: &str,
    settings: &str,
    record: &Record,
) -> Gateway {
    let listen = if listening == Listening::Own {
        "127.0.0.1:0".to_string()
    } else {
        place.address().to_string()
    };
    let config = format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","console":"127.0.0.1:0","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},{}"known":{known},"settings":{settings}}}"#,
        fleet.keys
    );
    let path = place.directory.join(format!("{name}.json"));
    std::fs::write(&path, config).unwrap();
    let operators = (!fleet.operators.is_empty()).then(|| {
        let path = place.directory.join("operators.jsonnet");
        std::fs::write(&path, &fleet.operators).unwrap();
        path.display().to_string()
    });
    let mut command = Command::new("/bin/sh");
    if listening == Listening::Passed {
        command.args(["-c", &format!("exec 3<&0 0</dev/null; {}", run_command())]);
        command
            .stdin(OwnedFd::from(place.socket.try_clone().unwrap()))
            .env("BALANCER_PASSED_SOCKET", "3");
    } else {
        command.args(["-c", &run_command()]).stdin(Stdio::null());
    }
    let mut child = command
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .env("TMPDIR", &place.directory)
        .env("BALANCER_CONFIG", &path)
        .env("BALANCER_NAME", name)
        .env("BALANCER_DISCOVERY", discovery.to_string())
        .env_remove("BALANCER_LISTEN")
        .env_remove("BALANCER_CONSOLE")
        .env("IRISROUTER_OPERATORS", operators.as_deref().unwrap_or(""))
        .spawn()
        .unwrap_or_else(|error| crate::cannot_run(&format!("the gateway does not start: {error}")));
    RUNNING.lock().unwrap().push(child.id());
    let log = Arc::new(Mutex::new(Vec::new()));
    let lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let (collected, copied, of) = (Arc::clone(&log), record.clone(), name.to_string());
    std::thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            copied.line(&format!("{of} log: {line}"));
            collected.lock().unwrap().push(line);
        }
    });
    let mut gateway = Gateway {
        child,
        name: name.into(),
        log,
        console: place.address(),
        address: place.address(),
        record: record.clone(),
    };
    gateway.console = gateway
        .wait_for_log("operators call ")
        .rsplit(' ')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    gateway.address = gateway
        .wait_for_log("listens on ")
        .rsplit(' ')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    gateway.wait_ready();
    gateway
}

impl Gateway {
    fn wait_for_log(&self, text: &str) -> String {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if let Some(line) = self
                .log
                .lock()
                .unwrap()
                .iter()
                .find(|line| line.contains(text))
            {
                return line.clone();
            }
            sleep_ms(5);
        }
        crate::cannot_run("the gateway does not come up")
    }

    fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            let answer = self.call("readyz");
            if answer.starts_with("+OK") {
                self.record.line(&format!(
                    "{}: readyz is answered {}",
                    self.name,
                    answer.trim()
                ));
                return;
            }
            sleep_ms(20);
        }
        crate::cannot_run("the gateway is never ready")
    }

    pub fn call(&self, line: &str) -> String {
        let mut answer = String::new();
        if let Ok(mut stream) = TcpStream::connect(self.console) {
            let _ = stream.write_all(format!("{line}\n").as_bytes());
            let _ = stream.read_to_string(&mut answer);
        }
        answer
    }

    pub fn signal(&self, name: &str) {
        self.record
            .line(&format!("platform: SIG{name} to {}", self.name));
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status();
        if !status.is_ok_and(|status| status.success()) {
            self.record.line("platform: the signal could not be sent");
        }
    }

    /// Waits until the process has ended by itself, for so long at most. Returns whether it has.
    pub fn wait_for_end(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.record
                    .line(&format!("{} has ended by itself: {status}", self.name));
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            sleep_ms(2);
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|id| *id != self.child.id());
    }
}

/// Ids of the processes that have been started and not waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills what still runs, by its id.
pub fn kill_all() {
    let running = RUNNING
        .lock()
        .map(|mut ids| std::mem::take(&mut *ids))
        .unwrap_or_default();
    for id in running {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
}
