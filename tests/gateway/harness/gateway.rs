//! The program under test as a process, and the socket and directory that its platform passes on to it.

use super::client::Client;
use super::discovery::Discovery;
use super::host::Host;
use super::monitor::Monitor;
use super::TEST_TIMEOUT;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::spawn;
use std::time::{Duration, Instant};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_irisrouter");
/// Interval between two queries of the gateway's counters.
const COUNTER_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The settings of a small deployment.
pub fn base_settings() -> Value {
    serde_json::from_str(include_str!("../settings.json")).unwrap()
}

/// What the platform passes on to each process of a gateway: the clients' socket, and the directory that they share.
pub struct InheritedSocket {
    pub listener: TcpListener,
    pub directory: PathBuf,
}

impl InheritedSocket {
    /// A socket, with a directory that no other test uses.
    pub fn new() -> Self {
        let directory = unique_path("irisrouter-shared");
        std::fs::create_dir_all(&directory).unwrap();
        InheritedSocket {
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
            directory,
        }
    }

    /// Another socket with the same directory.
    pub fn with_new_listener(&self) -> Self {
        InheritedSocket {
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
            directory: self.directory.clone(),
        }
    }
}

impl Drop for InheritedSocket {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// A path in the temporary directory that no other test uses.
fn unique_path(prefix: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("{prefix}-{}-{number}", std::process::id()))
}

/// Starts a program with this configuration text, and passes the socket on as descriptor 3 if there is one. Returns the
/// process and the path of its configuration file.
fn launch(
    program: &str,
    config: &str,
    discovery: Option<SocketAddr>,
    socket: Option<&InheritedSocket>,
) -> (Child, PathBuf) {
    let path = unique_path("irisrouter");
    std::fs::write(&path, config).unwrap();
    let mut command = Command::new(program);
    if let Some(socket) = socket {
        command = command_with_socket(program, socket);
    }
    command
        .env("BALANCER_CONFIG", &path)
        .env(
            "BALANCER_DISCOVERY",
            discovery.map_or(String::new(), |address| address.to_string()),
        )
        .env_remove("BALANCER_LISTEN")
        .env_remove("BALANCER_CONSOLE")
        .env_remove("IRISROUTER_OPERATORS");
    (command.stderr(Stdio::piped()).spawn().unwrap(), path)
}

/// A shell that moves its standard input to descriptor 3 and becomes the program.
fn command_with_socket(program: &str, socket: &InheritedSocket) -> Command {
    let mut command = Command::new("sh");
    command
        .args(["-c", "exec \"$0\" 3<&0 0</dev/null", program])
        .stdin(OwnedFd::from(socket.listener.try_clone().unwrap()))
        .env("BALANCER_PASSED_SOCKET", "3")
        .env("TMPDIR", &socket.directory);
    command
}

/// Exit code and standard error of a program that failed to start.
pub struct StartupFailure {
    pub exit_code: Option<i32>,
    /// Standard error of the program, with the path of the configuration file replaced by `CONFIG`.
    pub stderr: String,
}

/// Starts the program with a configuration that it rejects, and waits for its exit.
pub fn start_with_invalid_config(config: &str) -> StartupFailure {
    let (child, path) = launch(PROGRAM, config, None, None);
    let output = child.wait_with_output().unwrap();
    std::fs::remove_file(&path).unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    StartupFailure {
        exit_code: ExitStatus::code(&output.status),
        stderr: stderr.replace(path.to_str().unwrap(), "CONFIG"),
    }
}

/// A running gateway that accepts clients.
pub struct Gateway {
    child: Child,
    pub address: SocketAddr,
    /// The lines of its standard error.
    pub log: Monitor<Vec<String>>,
    pub config: Value,
    config_path: PathBuf,
}

impl Gateway {
    /// Starts a gateway whose `known` list has these hosts in service.
    pub fn start(discovery: &Discovery, hosts: &[&Host]) -> Self {
        Self::start_with_config(discovery, hosts, |_| {})
    }

    /// Starts a gateway whose configuration the test adjusts.
    pub fn start_with_config(
        discovery: &Discovery,
        hosts: &[&Host],
        adjust: impl FnOnce(&mut Value),
    ) -> Self {
        Self::start_with_socket(None, discovery, hosts, adjust)
    }

    /// Starts a gateway. If `socket` is given, the gateway inherits it as the clients' listening socket.
    pub fn start_with_socket(
        socket: Option<&InheritedSocket>,
        discovery: &Discovery,
        hosts: &[&Host],
        adjust: impl FnOnce(&mut Value),
    ) -> Self {
        Self::start_program(PROGRAM, socket, discovery, hosts, adjust)
    }

    /// Starts a gateway of another version of the program, as [`Gateway::start_with_socket`] does.
    pub fn start_program(
        program: &str,
        socket: Option<&InheritedSocket>,
        discovery: &Discovery,
        hosts: &[&Host],
        adjust: impl FnOnce(&mut Value),
    ) -> Self {
        let members: Vec<Value> = hosts.iter().map(|h| h.entry("in_service", 0)).collect();
        let mut config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
            "console": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": 1, "complete": true, "members": members}, "settings": base_settings()});
        adjust(&mut config);
        let (mut child, config_path) = launch(
            program,
            &config.to_string(),
            Some(discovery.address),
            socket,
        );
        let log = Monitor::new(Vec::<String>::new());
        let collected = log.clone();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        spawn(move || {
            lines
                .map_while(Result::ok)
                .for_each(|line| collected.update(|log| log.push(line)))
        });
        let address = log.wait_for("the address", |log| address_after(log, "listens on "));
        Gateway {
            child,
            address,
            log,
            config,
            config_path,
        }
    }

    /// The address at which the console listens.
    pub fn console_address(&self) -> SocketAddr {
        self.log
            .wait_for("the console", |log| address_after(log, "operators call "))
    }

    /// Sends these bytes to the console and returns its answer.
    pub fn call_console(&self, bytes: &str) -> String {
        let mut stream = TcpStream::connect(self.console_address()).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.write_all(bytes.as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config_path, config).unwrap();
        self.signal("-HUP");
    }

    /// Waits for a log line that contains this text.
    pub fn wait_for_log(&self, text: &str) {
        self.log.wait_for(text, |log| {
            log.iter().any(|line| line.contains(text)).then_some(())
        });
    }

    /// Queries the counters until a line of them contains this text.
    pub fn wait_for_counter(&self, text: &str) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            self.signal("-USR1");
            std::thread::sleep(COUNTER_POLL_INTERVAL);
            let counted = self
                .log
                .update(|log| log.iter().any(|line| line.contains(text)));
            if counted {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "no counter line contains: {text}"
            );
        }
    }

    /// A client whose session has started.
    pub fn client(&self) -> Client {
        let mut client = self.connect();
        client.start_session();
        client
    }

    /// Connects until a client is accepted, and returns that client.
    pub fn accepted_client(&self) -> Client {
        loop {
            let mut client = self.connect();
            if client.start_session().starts_with("AuthenticationOk") {
                return client;
            }
        }
    }

    /// A connection on which nothing has been sent yet.
    pub fn connect(&self) -> Client {
        Client::connect(self.address)
    }

    /// Sends a signal, named as `kill` takes it.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Returns the peak resident memory of the process, in kilobytes.
    pub fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        peak.unwrap()
            .trim()
            .trim_end_matches(" kB")
            .parse()
            .unwrap()
    }

    /// Waits for the end of the process and returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}

/// The address that follows this text at the end of a log line, from the first line that has one.
fn address_after(log: &[String], text: &str) -> Option<SocketAddr> {
    log.iter()
        .find_map(|line| line.rsplit_once(text)?.1.parse().ok())
}
