//! The program under test as a process, with a chosen environment and a temporary directory of its own.

use crate::harness::{
    client::Client, gateway::base_settings, messages::startup_message, monitor::Monitor,
    TEST_TIMEOUT,
};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// All environment variables that the program reads; those that a test does not set are unset.
const VARIABLES: [&str; 8] = [
    "BALANCER_CONFIG",
    "BALANCER_LISTEN",
    "BALANCER_DISCOVERY",
    "BALANCER_CONSOLE",
    "BALANCER_PASSED_SOCKET",
    "BALANCER_NAME",
    "IRISROUTER_OPERATORS",
    "TMPDIR",
];
/// Polling interval for state whose changes are not notified.
pub const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A temporary directory that is removed when the value is dropped.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new() -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("irisrouter-kept-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }

    /// The path of the file with this name, whether or not it exists.
    pub fn path_of(&self, name: &str) -> String {
        self.0.join(name).to_str().unwrap().to_string()
    }

    /// Writes a file and returns its path.
    pub fn write_file(&self, name: &str, text: &str) -> String {
        std::fs::write(self.0.join(name), text).unwrap();
        self.path_of(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// An address that refuses connections for the lifetime of the value: the socket is bound but does not listen.
pub struct Nowhere(socket2::Socket);

impl Nowhere {
    pub fn new() -> Self {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        Nowhere(socket)
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap().as_socket().unwrap()
    }
}

/// A complete configuration without a list of hosts.
pub fn configuration(discovery: SocketAddr) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "console": "127.0.0.1:0",
        "seed": "8c1f30d27a5be964", "limits": {"memory_mb": 192, "sockets": 1024}, "settings": base_settings()})
}

/// The standard error received so far, and whether it has reached its end.
#[derive(Default)]
pub struct CapturedStderr {
    pub text: String,
    pub ended: bool,
}

/// A process of the program, which is killed when the value is dropped.
pub struct Program {
    child: Child,
    pub stderr: Monitor<CapturedStderr>,
}

impl Program {
    /// Starts the program with these environment variables, and with `passed` as descriptor 3 if it is given.
    pub fn start(variables: &[(&str, &str)], passed: Option<&TcpListener>) -> Self {
        let program = env!("CARGO_BIN_EXE_irisrouter");
        let mut command = Command::new(program);
        if let Some(listener) = passed {
            command = Command::new("sh");
            command.args(["-c", "exec \"$0\" 3<&0 0</dev/null", program]);
            command.stdin(OwnedFd::from(listener.try_clone().unwrap()));
        }
        for name in VARIABLES {
            command.env_remove(name);
        }
        command.envs(variables.iter().copied());
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let stderr = Monitor::new(CapturedStderr::default());
        let (mut from, to) = (BufReader::new(child.stderr.take().unwrap()), stderr.clone());
        spawn(move || {
            let mut line = Vec::new();
            while from.read_until(b'\n', &mut line).is_ok_and(|n| n > 0) {
                let text = String::from_utf8(std::mem::take(&mut line)).unwrap();
                to.update(|s| s.text.push_str(&text));
            }
            to.update(|s| s.ended = true);
        });
        Program { child, stderr }
    }

    /// Starts the program with this configuration file.
    pub fn with(folder: &Folder, config: &Value) -> Self {
        let path = folder.write_file("config.json", &config.to_string());
        Self::start(&[("BALANCER_CONFIG", &path)], None)
    }

    /// Waits for a line of standard error that contains `text`, and returns the part of the first such line behind
    /// `text`.
    pub fn rest_of_line(&self, text: &str) -> String {
        self.stderr.wait_for(text, |s| {
            let found = s
                .text
                .lines()
                .find_map(|l| Some(l.split_once(text)?.1.to_string()));
            assert!(
                found.is_some() || !s.ended,
                "process ended without logging \"{text}\": {}",
                s.text
            );
            found
        })
    }

    /// The address at which the gateway accepts clients.
    pub fn address(&self) -> SocketAddr {
        self.rest_of_line("listens on ").parse().unwrap()
    }

    /// Sends these bytes to the console and returns its answer.
    pub fn call(&self, bytes: &str) -> String {
        let console: SocketAddr = self.rest_of_line("operators call ").parse().unwrap();
        let mut stream = TcpStream::connect(console).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.write_all(bytes.as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    /// Connects a client and sends its startup message. Returns the client and the answer.
    pub fn connect(&self) -> (Client, String) {
        let stream = TcpStream::connect(self.address()).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut client = Client {
            stream,
            cancel_key: Vec::new(),
        };
        client.send(&startup_message());
        let answer = client.read_until_ready();
        (client, answer)
    }

    /// Connects a client whose session must be accepted.
    pub fn client(&self) -> Client {
        let (client, answer) = self.connect();
        assert!(answer.starts_with("AuthenticationOk"), "{answer}");
        client
    }

    pub fn signal(&self, name: &str) {
        assert!(Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status()
            .unwrap()
            .success());
    }

    /// Waits until the process ends by itself, and returns its exit code and its standard error.
    pub fn wait_for_exit(mut self) -> (Option<i32>, String) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        let code = loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                break status.code();
            }
            let stderr = self.stderr.update(|s| s.text.clone());
            assert!(Instant::now() < deadline, "process does not exit: {stderr}");
            sleep(POLL_INTERVAL);
        };
        (
            code,
            self.stderr.wait_for("the end of standard error", |s| {
                s.ended.then(|| s.text.clone())
            }),
        )
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the standard error of a program that fails to start, with the path of the folder replaced by FOLDER. Its
/// exit code has to be 1.
pub fn refusal(folder: &Folder, variables: &[(&str, &str)]) -> String {
    let (code, stderr) = Program::start(variables, None).wait_for_exit();
    assert_eq!(code, Some(1), "{stderr}");
    stderr.replace(folder.path().to_str().unwrap(), "FOLDER")
}

/// Returns "starts" if the program starts to serve, and otherwise its standard error, as [`refusal`] does.
pub fn outcome(folder: &Folder, variables: &[(&str, &str)]) -> String {
    let program = Program::start(variables, None);
    let starts = program.stderr.wait_for("a start or an end", |s| {
        if s.text.contains(" listens on ") {
            return Some(true);
        }
        s.ended.then_some(false)
    });
    if starts {
        return "starts".into();
    }
    let (code, stderr) = program.wait_for_exit();
    assert_eq!(code, Some(1), "{stderr}");
    stderr.replace(folder.path().to_str().unwrap(), "FOLDER")
}

/// Asserts that the text equals a file in `fixtures`, byte for byte.
pub fn assert_equals_fixture(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/compatibility/fixtures")
        .join(name);
    let fixture = std::fs::read_to_string(&path).unwrap_or_default();
    let differs = text
        .lines()
        .zip(fixture.lines())
        .find(|(actual, expected)| actual != expected);
    assert!(
        fixture == text,
        "{name}: first difference {differs:?}; actual text:\n{text}"
    );
}
