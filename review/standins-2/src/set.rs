//! A set of one primary and its replicas. The primary commits at once. A replica gets the log 5 to 14 ms later and applies it;
//! it answers from what it has applied, however old.

use crate::discovery::Entry;
use crate::record::{now_ms, sleep_ms, Record};
use crate::wire::{error, field, key, message, read_message, read_startup, ready, row, status};
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// For how long the replicas apply the log more slowly: 10 to 21 s.
const SLOW_MS: u64 = 15_000;
/// Seconds of the log that a replica applies in a second then. Its thread is busy for half of the time at the usual pace,
/// so that it can apply two; eight times more slowly (4 to 16 times) that is a quarter.
const SLOW_PACE: f64 = 0.25;
const USUAL_PACE: f64 = 2.0;
/// How long the set drops the repeat of a keyed write.
const REPEATS_DROPPED_MS: u64 = 1_200;

struct Commit {
    at_ms: u64,
    payload: Vec<u8>,
}

/// How the hosts of a set answer.
#[derive(Clone, Copy)]
pub struct Pace {
    pub work_ms: u64,
    pub report_ms: u64,
    /// Number of pieces in which a long value is given, and the pause between two of them.
    pub pieces: usize,
    pub piece_pause_ms: u64,
    /// Whether the set drops repeats of writes by their keys.
    pub keyed: bool,
    /// Size of the value of a class `bulk`.
    pub bulk_bytes: usize,
}

pub struct Host {
    pub id: String,
    pub address: SocketAddr,
    primary: bool,
    slowed: Arc<Mutex<Option<u64>>>,
    silent: AtomicBool,
    /// Ids of the requests that hosts have taken, in order.
    taken: Arc<Mutex<Vec<String>>>,
    /// When the keyed writes ran.
    keys: Arc<Mutex<HashMap<String, u64>>>,
    /// How often writes have run, by their ids.
    runs: Arc<Mutex<HashMap<String, usize>>>,
    delay_ms: u64,
    log: Arc<Mutex<HashMap<String, Vec<Commit>>>>,
    pace: Pace,
    record: Record,
}

pub struct Set {
    pub hosts: Vec<Arc<Host>>,
    runs: Arc<Mutex<HashMap<String, usize>>>,
    taken: Arc<Mutex<Vec<String>>>,
    slowed: Arc<Mutex<Option<u64>>>,
}

impl Set {
    /// Starts a primary and so many replicas.
    pub fn start(replicas: usize, pace: Pace, record: &Record) -> Set {
        let log = Arc::new(Mutex::new(HashMap::new()));
        let slowed = Arc::new(Mutex::new(None));
        let runs = Arc::new(Mutex::new(HashMap::new()));
        let taken = Arc::new(Mutex::new(Vec::new()));
        let keys = Arc::new(Mutex::new(HashMap::new()));
        let hosts = (0..=replicas)
            .map(|number| {
                let listener = TcpListener::bind("127.0.0.1:0").unwrap();
                let host = Arc::new(Host {
                    id: if number == 0 {
                        "s-primary".into()
                    } else {
                        format!("s-replica{number}")
                    },
                    address: listener.local_addr().unwrap(),
                    primary: number == 0,
                    slowed: Arc::clone(&slowed),
                    silent: AtomicBool::new(false),
                    runs: Arc::clone(&runs),
                    taken: Arc::clone(&taken),
                    keys: Arc::clone(&keys),
                    delay_ms: 2 + 3 * number as u64,
                    log: Arc::clone(&log),
                    pace,
                    record: record.clone(),
                });
                let served = Arc::clone(&host);
                std::thread::spawn(move || {
                    for stream in listener.incoming().flatten() {
                        let served = Arc::clone(&served);
                        std::thread::spawn(move || served.serve(stream));
                    }
                });
                host
            })
            .collect();
        Set {
            hosts,
            runs,
            taken,
            slowed,
        }
    }

    /// Whether a host has taken a request.
    pub fn has_taken(&self, id: &str) -> bool {
        self.taken.lock().unwrap().iter().any(|taken| taken == id)
    }

    /// Waits until a host has taken a request, for 2 s at most.
    pub fn wait_until_taken(&self, id: &str) {
        for _ in 0..1_000 {
            if self.has_taken(id) {
                return;
            }
            sleep_ms(2);
        }
    }

    /// How often a write has run, by its id.
    pub fn times_run(&self, id: &str) -> usize {
        self.runs.lock().unwrap().get(id).copied().unwrap_or(0)
    }

    /// From now on, and for [`SLOW_MS`], all replicas apply the log more slowly.
    pub fn apply_slowly(&self, record: &Record) {
        record.line("replicas: apply the log more slowly from now on");
        *self.slowed.lock().unwrap() = Some(now_ms());
    }

    pub fn entries(&self) -> Vec<Entry> {
        let entry = |host: &Arc<Host>| Entry {
            id: host.id.clone(),
            address: host.address,
            phase: "in_service",
            up_since_ms: 0,
        };
        self.hosts.iter().map(entry).collect()
    }
}

impl Host {
    /// The time up to which the host has applied every commit.
    fn position(&self) -> u64 {
        let now = now_ms();
        if self.primary {
            return now;
        }
        let usual = now - self.delay_ms;
        let Some(since) = *self.slowed.lock().unwrap() else {
            return usual;
        };
        let slow_ms = (now - since).min(SLOW_MS);
        let applied = slow_ms as f64 * SLOW_PACE + (now - since - slow_ms) as f64 * USUAL_PACE;
        usual.min(since - self.delay_ms + applied as u64)
    }

    /// From now on the host takes requests and answers none.
    pub fn hang(&self) {
        self.record.line(&format!("{}: hangs from now on", self.id));
        self.silent.store(true, Ordering::Relaxed);
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        read_startup(&mut stream).ok()?;
        stream
            .write_all(&[message(b'R', &[0; 4]), ready()].concat())
            .ok()?;
        loop {
            let (tag, body) = read_message(&mut stream).ok()?;
            if tag != b'Q' {
                return None;
            }
            let text = String::from_utf8_lossy(&body[..body.len() - 1]).into_owned();
            if text == "SHOW usage" {
                let position = self.position();
                let report = format!(
                    "x0={}.{:03},x1={},util=0.2",
                    position / 1000,
                    position % 1000,
                    u8::from(self.primary)
                );
                self.answer(&mut stream, report.as_bytes(), None)?;
            } else if text == "SELECT 1" {
                self.answer(&mut stream, b"1", None)?;
            } else {
                self.statement(&mut stream, &text)?;
            }
        }
    }

    fn statement(&self, stream: &mut TcpStream, text: &str) -> Option<()> {
        let (id, class) = (field(text, "id")?, field(text, "c")?);
        self.taken.lock().unwrap().push(id.to_string());
        if self.silent.load(Ordering::Relaxed) {
            self.record.line(&format!(
                "{}: {id} {class}: taken, and the host hangs",
                self.id
            ));
            // Whoever waits gets nothing; the connection stays open until the other side ends it.
            while read_message(stream).is_ok() {}
            return None;
        }
        if text.starts_with("INSERT") {
            if !self.primary {
                self.record
                    .line(&format!("{}: {id} {class}: 25006", self.id));
                return stream.write_all(&[error("25006"), ready()].concat()).ok();
            }
            sleep_ms(self.pace.work_ms);
            let payload = unhex(text.split("\\x").nth(1)?.split('\'').next()?);
            if self.drops_repeat(field(text, "k")) {
                self.record.line(&format!(
                    "{}: {id} {class}: a repeat within 1.2 s, dropped",
                    self.id
                ));
                return self.answer(stream, &payload, Some(now_ms()));
            }
            let at_ms = now_ms() + 1;
            *self.runs.lock().unwrap().entry(id.to_string()).or_default() += 1;
            let commit = Commit {
                at_ms,
                payload: payload.clone(),
            };
            self.log
                .lock()
                .unwrap()
                .entry(key(text).to_string())
                .or_default()
                .push(commit);
            self.record.line(&format!(
                "{}: {id} {class} of {}: committed at {at_ms}, {} bytes",
                self.id,
                key(text),
                payload.len()
            ));
            return self.answer(stream, &payload, Some(at_ms));
        }
        if class == "report" {
            sleep_ms(self.pace.report_ms);
            return self.answer(stream, b"report", None);
        }
        if class == "bulk" {
            self.record.line(&format!(
                "{}: {id} {class}: gives {} bytes in pieces",
                self.id, self.pace.bulk_bytes
            ));
            let done = self.answer(stream, &vec![b'v'; self.pace.bulk_bytes], None);
            let end = if done.is_some() {
                "has given all of it"
            } else {
                "the gateway has closed its connection"
            };
            self.record
                .line(&format!("{}: {id} {class}: {end}", self.id));
            return done;
        }
        sleep_ms(self.pace.work_ms);
        let position = self.position();
        let value = {
            let log = self.log.lock().unwrap();
            let commits = log.get(key(text));
            let seen = commits.and_then(|commits| {
                commits
                    .iter()
                    .rev()
                    .find(|commit| self.primary || commit.at_ms <= position)
            });
            seen.map_or(b"nothing".to_vec(), |commit| commit.payload.clone())
        };
        self.record.line(&format!(
            "{}: {id} {class} of {}: read at position {position}, {} bytes",
            self.id,
            key(text),
            value.len()
        ));
        self.answer(stream, &value, Some(position))
    }

    /// Whether the set has run a write with this key in the last 1.2 s.
    fn drops_repeat(&self, key: Option<&str>) -> bool {
        let Some(key) = key else {
            return false;
        };
        let mut keys = self.keys.lock().unwrap();
        let known = keys
            .get(key)
            .is_some_and(|&ran_at| now_ms() < ran_at + REPEATS_DROPPED_MS);
        if self.pace.keyed && !known {
            keys.insert(key.to_string(), now_ms());
        }
        known
    }

    fn answer(&self, stream: &mut TcpStream, value: &[u8], position: Option<u64>) -> Option<()> {
        let role = if self.primary { "writer" } else { "reader" };
        let position = position.unwrap_or_else(|| self.position());
        let bytes = [
            row(value),
            message(b'C', b"SELECT 1\0"),
            status("server_role", role),
            status("commit_clock", &position.to_string()),
            ready(),
        ]
        .concat();
        if value.len() < 1 << 20 || self.pace.pieces < 2 {
            return stream.write_all(&bytes).ok();
        }
        for piece in bytes.chunks(bytes.len().div_ceil(self.pace.pieces)) {
            stream.write_all(piece).ok()?;
            sleep_ms(self.pace.piece_pause_ms);
        }
        Some(())
    }
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digit = |byte: u8| (byte as char).to_digit(16).unwrap_or(0) as u8;
    text.as_bytes()
        .chunks(2)
        .map(|pair| digit(pair[0]) << 4 | digit(*pair.get(1).unwrap_or(&b'0')))
        .collect()
}
