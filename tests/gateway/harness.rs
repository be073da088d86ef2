//! The house round a gateway under test: the real program as a process, with the test as its clients, its
//! database hosts and its discovery, all on ephemeral loopback ports. Nothing here waits for a length of time,
//! only for conditions; `PATIENCE` merely ends a test that has failed.

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::spawn;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const PATIENCE: Duration = Duration::from_secs(30);

/// Something that threads wait on.
pub struct Watched<T>(Arc<(Mutex<T>, Condvar)>);

impl<T> Clone for Watched<T> {
    fn clone(&self) -> Self {
        Watched(Arc::clone(&self.0))
    }
}

impl<T> Watched<T> {
    pub fn new(value: T) -> Self {
        Watched(Arc::new((Mutex::new(value), Condvar::new())))
    }

    pub fn change<R>(&self, f: impl FnOnce(&mut T) -> R) -> R {
        let r = f(&mut self.0 .0.lock().unwrap());
        self.0 .1.notify_all();
        r
    }

    /// Waits until the closure has a result.
    pub fn wait<R>(&self, what: &str, mut f: impl FnMut(&mut T) -> Option<R>) -> R {
        let mut value = self.0 .0.lock().unwrap();
        // In all, however often it changes meanwhile.
        let end = Instant::now() + PATIENCE;
        loop {
            if let Some(r) = f(&mut value) {
                return r;
            }
            let left = end.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "waited in vain: {what}");
            value = self.0 .1.wait_timeout(value, left).unwrap().0;
        }
    }
}

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag], &(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

fn read_message(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let mut body = vec![0; u32::from_be_bytes(head[1..].try_into().unwrap()) as usize - 4];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

fn read_startup(stream: &mut TcpStream) -> Option<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    stream
        .read_exact(&mut vec![0; u32::from_be_bytes(length) as usize - 4])
        .ok()
}

pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0web\0database\0orders\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', format!("{text}\0").as_bytes())
}

fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

/// What a host does with a statement.
pub enum Say {
    Row(&'static str),
    Error(&'static str),
    Raw(&'static [u8]),
    /// A row of so many bytes; halfway, where somebody has said "go on".
    Long(usize),
    /// Half of it, and the end of the connection.
    Half(usize),
    /// The row, and a little later a second copy of it that nobody has asked for.
    Twice(&'static str),
    Silence,
    End,
}

/// A database host, with what it has seen: a line for each statement and each end, with its connection's number.
pub struct Host {
    pub id: &'static str,
    pub address: SocketAddr,
    pub seen: Watched<Vec<String>>,
    pub primary: Watched<bool>,
}

impl Host {
    /// A host that answers its statements as the script says, by their number and text.
    pub fn start(id: &'static str, primary: bool, script: fn(usize, &str) -> Say) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, seen) = (listener.local_addr().unwrap(), Watched::new(Vec::new()));
        let primary = Watched::new(primary);
        let host = Host {
            id,
            address,
            seen: seen.clone(),
            primary: primary.clone(),
        };
        let count = Watched::new(0);
        spawn(move || {
            for (n, stream) in listener.incoming().enumerate() {
                let (seen, primary, count) = (seen.clone(), primary.clone(), count.clone());
                spawn(move || {
                    serve(stream.unwrap(), n, script, &seen, &primary, &count);
                    seen.change(|s| s.push(format!("{n}: closed")));
                });
            }
        });
        host
    }

    pub fn entry(&self, phase: &str, started: u64) -> Value {
        json!({"id": self.id, "host_port": self.address.to_string(), "locality": "a", "flavor": "m", "cell": 2,
            "phase": phase, "size": 1.0, "up_since_ms": started})
    }

    /// The statements seen so far, without the ends of connections.
    pub fn statements(&self) -> Vec<String> {
        self.seen
            .change(|s| s.iter().filter(|l| l.contains("FROM")).cloned().collect())
    }

    pub fn wait_for(&self, line: &str) {
        self.seen
            .wait(line, |s| s.iter().any(|l| l.contains(line)).then_some(()));
    }
}

fn serve(
    mut stream: TcpStream,
    n: usize,
    script: fn(usize, &str) -> Say,
    seen: &Watched<Vec<String>>,
    primary: &Watched<bool>,
    count: &Watched<usize>,
) -> Option<()> {
    // What is written leaves at once, and not only with the next acknowledgement.
    stream.set_nodelay(true).unwrap();
    read_startup(&mut stream)?;
    let ready = message(b'Z', b"I");
    stream
        .write_all(&[message(b'R', &[0; 4]), ready.clone()].concat())
        .ok()?;
    loop {
        let (tag, body) = read_message(&mut stream)?;
        let text = String::from_utf8(body[..body.len().saturating_sub(1)].to_vec()).unwrap();
        if tag != b'Q' {
            return None;
        }
        let writer = primary.change(|p| *p);
        let row = |value: &str| {
            let cell = [
                &[0, 1][..],
                &(value.len() as u32).to_be_bytes()[..],
                value.as_bytes(),
            ]
            .concat();
            let column = [&[0, 1][..], b"payload\0", &[0; 18]].concat();
            let role = format!(
                "server_role\0{}\0",
                if writer { "writer" } else { "reader" }
            );
            [
                message(b'T', &column),
                message(b'D', &cell),
                message(b'C', b"SELECT 1\0"),
                message(b'S', role.as_bytes()),
            ]
            .concat()
        };
        if text == "SHOW usage" {
            let now = unix_ms();
            let report = format!(
                "x0={}.{:03},x1={},util=0.1",
                now / 1000,
                now % 1000,
                u8::from(writer)
            );
            stream
                .write_all(&[row(&report), ready.clone()].concat())
                .ok()?;
            continue;
        }
        seen.change(|s| s.push(format!("{n}: {}", without_wait(&text))));
        let nth = count.change(|c| std::mem::replace(c, *c + 1));
        let said = script(nth, &text);
        let out = match said {
            Say::Row(value) => [row(value), ready.clone()].concat(),
            Say::Twice(value) => {
                let whole = [row(value), ready.clone()].concat();
                stream.write_all(&whole).ok()?;
                std::thread::sleep(Duration::from_millis(2));
                stream.write_all(&whole).ok()?;
                seen.change(|s| s.push("copied".into()));
                continue;
            }
            Say::Error(code) => {
                let error = format!("SERROR\0C{code}\0Mno\0\0");
                [message(b'E', error.as_bytes()), ready.clone()].concat()
            }
            Say::Raw(bytes) => bytes.to_vec(),
            Say::Long(length) | Say::Half(length) => {
                let whole = [row(&"v".repeat(length)), ready.clone()].concat();
                let (first, rest) = whole.split_at(length / 2);
                stream.write_all(first).ok()?;
                if matches!(said, Say::Half(_)) {
                    return None;
                }
                seen.wait("go on", |s| s.iter().any(|l| l == "go on").then_some(()));
                stream.write_all(rest).ok()?;
                seen.change(|s| s.push(format!("{n}: sent")));
                continue;
            }
            Say::Silence => Vec::new(),
            Say::End => return None,
        };
        stream.write_all(&out).ok()?;
    }
}

/// The statement with the time that is left blanked out: the one thing that a gateway changes.
fn without_wait(text: &str) -> String {
    let (head, tail) = text.split_once(",d=").expect("a statement with its wait");
    let rest = tail.trim_start_matches(|c: char| c.is_ascii_digit());
    assert!(rest.len() < tail.len(), "whole milliseconds: {text}");
    format!("{head},d=LEFT{rest}")
}

/// What discovery answers next.
pub enum EndpointList {
    Is(Value),
    Garbage,
}

/// Discovery: its list, and the calls that it has had.
pub struct Discovery {
    pub address: SocketAddr,
    pub list: Watched<(u64, EndpointList)>,
    pub calls: Watched<Vec<String>>,
}

impl Discovery {
    pub fn start(members: Vec<Value>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let list = Watched::new((1, EndpointList::Is(json!(members))));
        let calls = Watched::new(Vec::new());
        let here = Discovery {
            address,
            list: list.clone(),
            calls: calls.clone(),
        };
        spawn(move || {
            for (n, stream) in listener.incoming().enumerate() {
                let (list, calls) = (list.clone(), calls.clone());
                spawn(move || discover(stream.unwrap(), n, &list, &calls));
            }
        });
        here
    }

    /// Publishes a list, and waits until the gateway has taken it and calls again.
    pub fn publish(&self, list: EndpointList) {
        let version = self.list.change(|l| {
            *l = (l.0 + 1, list);
            l.0
        });
        let next = format!("from={version}&");
        self.calls
            .wait(&next, |c| c.iter().any(|c| c.contains(&next)).then_some(()));
    }
}

fn discover(
    stream: TcpStream,
    n: usize,
    list: &Watched<(u64, EndpointList)>,
    calls: &Watched<Vec<String>>,
) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut lines = BufReader::new(stream).lines();
    loop {
        let call = lines.next()?.ok()?;
        while !lines.next()?.ok()?.is_empty() {}
        let path = call.split(' ').nth(1)?.to_string();
        calls.change(|c| c.push(format!("{n}: {path}")));
        let from = path
            .split_once("from=")
            .map_or(0, |(_, v)| v.split('&').next().unwrap().parse().unwrap());
        // A call waits for news; one that waits in vain is kept silent, for the gateway to get over.
        let body = list.wait("a newer list", |(version, l)| {
            (*version > from).then(|| match l {
                EndpointList::Is(members) => {
                    json!({"revision": version, "complete": true, "members": members}).to_string()
                }
                EndpointList::Garbage => "{\"revision\":".to_string(),
            })
        });
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .ok()?;
    }
}

/// The settings of a small deployment.
pub fn settings() -> Value {
    serde_json::from_str(include_str!("settings.json")).unwrap()
}

/// The program under test.
pub struct Gateway {
    child: Child,
    pub address: SocketAddr,
    pub log: Watched<Vec<String>>,
    pub config: Value,
    path: std::path::PathBuf,
}

/// What the platform passes on to each process of a gateway: the clients' socket, and the folder that they share.
pub struct Passed {
    pub listener: TcpListener,
    pub folder: std::path::PathBuf,
}

impl Passed {
    pub fn new() -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("irisrouter-kin-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Passed {
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
            folder,
        }
    }

    /// With a socket of its own.
    pub fn beside(&self) -> Self {
        Passed {
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
            folder: self.folder.clone(),
        }
    }
}

impl Drop for Passed {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Starts the program with this text as its configuration, and perhaps a socket as its descriptor 3.
fn launch(
    config: &str,
    discovery: Option<SocketAddr>,
    passed: Option<&Passed>,
) -> (Child, std::path::PathBuf) {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("irisrouter-{}-{number}", std::process::id()));
    std::fs::write(&path, config).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_irisrouter"));
    if let Some(Passed { listener, folder }) = passed {
        command = Command::new("sh");
        command.args([
            "-c",
            "exec \"$0\" 3<&0 0</dev/null",
            env!("CARGO_BIN_EXE_irisrouter"),
        ]);
        command
            .stdin(OwnedFd::from(listener.try_clone().unwrap()))
            .env("BALANCER_PASSED_SOCKET", "3");
        command.env("TMPDIR", folder);
    }
    command
        .env("BALANCER_CONFIG", &path)
        .env_remove("BALANCER_LISTEN")
        .env_remove("BALANCER_CONSOLE");
    command.env(
        "BALANCER_DISCOVERY",
        discovery.map_or(String::new(), |a| a.to_string()),
    );
    command.env_remove("IRISROUTER_OPERATORS");
    (command.stderr(Stdio::piped()).spawn().unwrap(), path)
}

/// The exit code and the words of a program that does not start.
pub fn refuses(config: &str) -> (Option<i32>, String) {
    let (child, path) = launch(config, None, None);
    let out = child.wait_with_output().unwrap();
    std::fs::remove_file(&path).unwrap();
    (
        out.status.code(),
        String::from_utf8(out.stderr)
            .unwrap()
            .replace(path.to_str().unwrap(), "CONFIG"),
    )
}

impl Gateway {
    pub fn start(discovery: &Discovery, hosts: &[&Host]) -> Self {
        Self::with(discovery, hosts, |_| {})
    }

    pub fn with(discovery: &Discovery, hosts: &[&Host], change: impl FnOnce(&mut Value)) -> Self {
        Self::at(None, discovery, hosts, change)
    }

    /// With the clients' socket as its platform passes it on, if it does.
    pub fn at(
        passed: Option<&Passed>,
        discovery: &Discovery,
        hosts: &[&Host],
        change: impl FnOnce(&mut Value),
    ) -> Self {
        let known: Vec<Value> = hosts.iter().map(|h| h.entry("in_service", 0)).collect();
        let mut config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
            "console": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": 1, "complete": true, "members": known}, "settings": settings()});
        change(&mut config);
        let (mut child, path) = launch(&config.to_string(), Some(discovery.address), passed);
        let log = Watched::new(Vec::<String>::new());
        let (lines, to) = (
            BufReader::new(child.stderr.take().unwrap()).lines(),
            log.clone(),
        );
        spawn(move || {
            lines
                .map_while(Result::ok)
                .for_each(|l| to.change(|t| t.push(l)))
        });
        let listening = |l: &mut Vec<String>| {
            l.iter()
                .find_map(|l| l.rsplit_once("listens on ")?.1.parse().ok())
        };
        let address = log.wait("the address", listening);
        Gateway {
            child,
            address,
            log,
            config,
            path,
        }
    }

    /// Where the console listens.
    pub fn console(&self) -> SocketAddr {
        self.log.wait("the console", |l| {
            l.iter()
                .find_map(|l| l.rsplit_once("operators call ")?.1.parse().ok())
        })
    }

    /// What the console answers to these bytes.
    pub fn call(&self, bytes: &str) -> String {
        let mut stream = TcpStream::connect(self.console()).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.write_all(bytes.as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    /// Replaces the configuration file and tells the program to read it.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.path, config).unwrap();
        self.signal("-HUP");
    }

    pub fn wait_for_log(&self, words: &str) {
        self.log
            .wait(words, |l| l.iter().any(|l| l.contains(words)).then_some(()));
    }

    pub fn client(&self) -> Client {
        let mut c = self.raw();
        c.send(&startup());
        c.until_ready();
        c
    }

    /// The first new connection that is not turned away.
    pub fn welcomed(&self) -> Client {
        loop {
            let mut c = self.raw();
            c.send(&startup());
            if c.until_ready().starts_with("AuthenticationOk") {
                return c;
            }
        }
    }

    /// A connection on which nothing has been said yet.
    pub fn raw(&self) -> Client {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Client {
            stream,
            key: Vec::new(),
        }
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status()
            .unwrap();
        assert!(sent.success());
    }

    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

/// A client.
pub struct Client {
    pub stream: TcpStream,
    /// What it was told at its start, with which its query can be cancelled.
    pub key: Vec<u8>,
}

impl Client {
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    pub fn byte(&mut self) -> u8 {
        let mut one = [0];
        self.stream.read_exact(&mut one).unwrap();
        one[0]
    }

    /// What comes up to ReadyForQuery or the end, a line for each message.
    pub fn until_ready(&mut self) -> String {
        let mut lines = Vec::new();
        loop {
            let Some((tag, body)) = read_message(&mut self.stream) else {
                lines.push("closed".to_string());
                break;
            };
            let text = |b: &[u8]| {
                String::from_utf8_lossy(b)
                    .replace('\0', " ")
                    .trim()
                    .to_string()
            };
            lines.push(match tag {
                b'T' => "RowDescription".into(),
                b'D' => format!("DataRow {}", text(&body[6..])),
                b'C' => format!("CommandComplete {}", text(&body)),
                b'E' => format!("ErrorResponse {}", text(&body)),
                b'I' => "EmptyQueryResponse".into(),
                b'R' => "AuthenticationOk".into(),
                b'S' => continue,
                b'K' => {
                    self.key = body;
                    continue;
                }
                b'Z' => "ReadyForQuery".into(),
                other => format!("{}", other as char),
            });
            if tag == b'Z' {
                break;
            }
        }
        lines.join("\n")
    }

    pub fn ask(&mut self, text: &str) -> String {
        self.send(&query(text));
        self.until_ready()
    }
}

/// A statement of a class.
pub fn statement(class: &str, wait_ms: u64) -> String {
    format!(
        "SELECT payload FROM entries WHERE ref = '7f3a' /* id=9b1f,c={class},d={wait_ms},k=5c0f,cluster=2 */"
    )
}
