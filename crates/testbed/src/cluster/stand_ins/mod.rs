//! A stand-in database host and discovery, as small as the cluster's tests need them: a host that answers probes, reads
//! and writes, discards a repeated key within the window, refuses an old fencing token, and counts what it applied.
//! Links between a gateway and a host can be cut: what is under way stands still, as when a machine is cut off.

use super::Clock;
use crate::loopback::host::comment;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A probe that a host was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// When, in milliseconds of the run.
    pub at: u64,
    /// By which gateway.
    pub gateway: usize,
    /// The duty and the fencing token that it carried.
    pub token: Option<(u64, u64)>,
    /// It was refused: a later token of that duty had been seen.
    pub refused: bool,
}

/// What a host has seen.
#[derive(Default)]
pub struct Seen {
    /// By key: when each application was.
    pub applied: BTreeMap<String, Vec<u64>>,
    /// Statements taken, with the gateway that sent each.
    pub statements: Vec<(u64, usize, String)>,
    /// Probes.
    pub probes: Vec<Probe>,
    /// By duty: the latest token.
    tokens: BTreeMap<u64, u64>,
}

/// A stand-in host.
pub struct Host {
    /// Its id in the list.
    pub id: String,
    /// Its set.
    pub set: u64,
    /// Its place.
    pub zone: String,
    /// Whether it takes writes.
    pub primary: bool,
    /// Its addresses, one for each gateway.
    pub at: Vec<SocketAddr>,
    shared: Arc<Shared>,
}

struct Shared {
    clock: Clock,
    primary: bool,
    /// A key is remembered so long.
    window: u64,
    seen: Mutex<Seen>,
    /// Gateways cut off from this host.
    cut: Mutex<BTreeSet<usize>>,
    /// What it bears, where that is limited.
    work: Mutex<Option<Work>>,
    /// How long a write takes before it is applied, and how long its answer then waits.
    pace: Mutex<(Duration, Duration)>,
}

/// A host that bears so many requests a second, one after the other.
#[derive(Clone, Copy)]
struct Work {
    per_s: f64,
    /// When it is through with what it has.
    free: Instant,
    /// It came back cold then, with this part of that, and has all of it after so long.
    cold: Option<(Instant, f64, Duration)>,
}

impl Work {
    /// Takes one more request: how long until it is done.
    fn take(&mut self, now: Instant) -> Duration {
        let warmth = self.cold.map_or(1.0, |(since, part, long)| {
            part + (1.0 - part) * ((now - since).as_secs_f64() / long.as_secs_f64()).min(1.0)
        });
        self.free = self.free.max(now) + Duration::from_secs_f64(1.0 / (self.per_s * warmth));
        self.free - now
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Host {
    /// Starts a host that each of so many gateways reaches at an address of its own.
    ///
    /// # Errors
    /// Where there are no sockets.
    pub async fn start(
        (id, set, zone, primary): (String, u64, String, bool),
        gateways: usize,
        window: Duration,
        clock: Clock,
    ) -> Result<Self, String> {
        let shared = Arc::new(Shared {
            clock,
            primary,
            window: window.as_millis() as u64,
            seen: Mutex::default(),
            cut: Mutex::default(),
            work: Mutex::default(),
            pace: Mutex::default(),
        });
        let mut at = Vec::new();
        for gateway in 0..gateways {
            let listener = crate::loopback::environment::listen().await?;
            at.push(listener.local_addr().map_err(|e| e.to_string())?);
            tokio::spawn(accept(Arc::clone(&shared), listener, gateway));
        }
        Ok(Host {
            id,
            set,
            zone,
            primary,
            at,
            shared,
        })
    }

    /// What it has seen.
    pub fn seen(&self) -> MutexGuard<'_, Seen> {
        lock(&self.shared.seen)
    }

    /// Cuts a gateway off from it, or joins it again.
    pub fn cut(&self, gateway: usize, cut: bool) {
        let mut cuts = lock(&self.shared.cut);
        if cut {
            cuts.insert(gateway);
        } else {
            cuts.remove(&gateway);
        }
    }

    /// How long writes take before they are applied, and their answers after that.
    pub fn pace(&self, before: Duration, after: Duration) {
        *lock(&self.shared.pace) = (before, after);
    }

    /// From now on it bears so many requests a second.
    pub fn bears(&self, per_s: f64) {
        *lock(&self.shared.work) = Some(Work {
            per_s,
            free: Instant::now(),
            cold: None,
        });
    }

    /// It starts cold now, with this part of what it bears, and has all of it after so long; what waited there is gone.
    pub fn cold(&self, part: f64, long: Duration) {
        if let Some(work) = lock(&self.shared.work).as_mut() {
            let now = Instant::now();
            (work.free, work.cold) = (now, Some((now, part, long)));
        }
    }

    /// It has seen this token of a duty, by a way that no gateway knows of.
    pub fn saw(&self, duty: u64, epoch: u64) {
        let mut seen = self.seen();
        let latest = seen.tokens.entry(duty).or_insert(epoch);
        *latest = epoch.max(*latest);
    }

    /// Its entry in the list of one gateway.
    pub fn entry(&self, gateway: usize) -> Value {
        json!({"id": self.id, "host_port": self.at[gateway].to_string(), "locality": self.zone, "flavor": "m",
            "cell": self.set, "phase": "in_service", "size": 1.0, "up_since_ms": 0})
    }
}

async fn accept(shared: Arc<Shared>, listener: TcpListener, gateway: usize) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve_connection(
                Arc::clone(&shared),
                stream,
                gateway,
            ))),
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

/// Waits while the way between the two is cut.
async fn open(shared: &Shared, gateway: usize) {
    while lock(&shared.cut).contains(&gateway) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag], &(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

fn row(value: &str, primary: bool) -> Vec<u8> {
    let cell = [
        &[0, 1][..],
        &(value.len() as u32).to_be_bytes()[..],
        value.as_bytes(),
    ]
    .concat();
    let column = [&[0, 1][..], b"payload\0", &[0; 18]].concat();
    let role = format!(
        "server_role\0{}\0",
        if primary { "writer" } else { "reader" }
    );
    let parts = [
        (b'T', &column[..]),
        (b'D', &cell),
        (b'C', b"SELECT 1\0"),
        (b'S', role.as_bytes()),
    ];
    parts
        .iter()
        .flat_map(|(tag, body)| message(*tag, body))
        .collect()
}

async fn read(stream: &mut TcpStream, tagged: bool) -> Option<(u8, Vec<u8>)> {
    let tag = if tagged {
        stream.read_u8().await.ok()?
    } else {
        0
    };
    let length = stream.read_u32().await.ok()?;
    let mut body = vec![0; (length as usize).checked_sub(4).filter(|&l| l <= 1 << 20)?];
    stream.read_exact(&mut body).await.ok()?;
    Some((tag, body))
}

async fn serve_connection(
    shared: Arc<Shared>,
    mut stream: TcpStream,
    gateway: usize,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    open(&shared, gateway).await;
    read(&mut stream, false).await?;
    let ready = message(b'Z', b"I");
    stream
        .write_all(&[message(b'R', &[0; 4]), ready.clone()].concat())
        .await
        .ok()?;
    loop {
        let (tag, body) = read(&mut stream, true).await?;
        open(&shared, gateway).await;
        if tag != b'Q' {
            return None;
        }
        let text = String::from_utf8(body[..body.len().saturating_sub(1)].to_vec()).ok()?;
        let answer = answer(&shared, gateway, &text).await;
        open(&shared, gateway).await;
        stream
            .write_all(&[answer, ready.clone()].concat())
            .await
            .ok()?;
    }
}

async fn answer(shared: &Shared, gateway: usize, text: &str) -> Vec<u8> {
    let (said, now) = (comment(text), shared.clock.now());
    if text.starts_with("SHOW usage") {
        let number = |name: &str| said.get(name).and_then(|v| v.parse::<u64>().ok());
        let token = number("duty").zip(number("epoch"));
        let mut seen = lock(&shared.seen);
        let refused = token.is_some_and(|(duty, epoch)| {
            let latest = seen.tokens.entry(duty).or_insert(epoch);
            *latest = epoch.max(*latest);
            epoch < *latest
        });
        seen.probes.push(Probe {
            at: now,
            gateway,
            token,
            refused,
        });
        let unix = shared.clock.unix_ms();
        let report = format!(
            "x0={}.{:03},x1={},util=0.1",
            unix / 1000,
            unix % 1000,
            u8::from(shared.primary)
        );
        return if refused {
            error("40001")
        } else {
            row(&report, shared.primary)
        };
    }
    lock(&shared.seen)
        .statements
        .push((now, gateway, text.to_string()));
    let busy = lock(&shared.work)
        .as_mut()
        .map_or(Duration::ZERO, |w| w.take(Instant::now()));
    if !busy.is_zero() {
        tokio::time::sleep(busy).await;
    }
    let Some(key) = said.get("k").filter(|_| text.starts_with("INSERT")) else {
        return row(text, shared.primary);
    };
    if !shared.primary {
        return error("25006");
    }
    let (before, after) = *lock(&shared.pace);
    tokio::time::sleep(before).await;
    {
        let mut seen = lock(&shared.seen);
        let now = shared.clock.now();
        let times = seen.applied.entry((*key).to_string()).or_default();
        // A repeat within the window is discarded, and answered as the first was.
        if times.last().is_none_or(|&at| now > at + shared.window) {
            times.push(now);
        }
    }
    tokio::time::sleep(after).await;
    row(key, true)
}

/// Discovery: one list, which each gateway reaches at an address of its own, with the hosts' addresses as it sees them.
pub struct Discovery {
    /// Its addresses, one for each gateway.
    pub at: Vec<SocketAddr>,
    shared: Arc<Service>,
}

/// A call that discovery was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// When, in milliseconds of the run.
    pub at: u64,
    /// By which gateway.
    pub gateway: usize,
    /// It waits for news.
    pub watch: bool,
}

struct Service {
    clock: Clock,
    /// By gateway: the hosts as it sees them.
    entries: Vec<Vec<Value>>,
    /// The list's version, and the phases that are not `in_service`, by the hosts' ids.
    list: watch::Sender<(u64, BTreeMap<String, String>)>,
    calls: Mutex<Vec<Call>>,
    watching: Mutex<BTreeMap<usize, usize>>,
    /// Gateways that are answered 503.
    refused: Mutex<BTreeSet<usize>>,
}

impl Discovery {
    /// Starts it, with what each gateway sees of each host.
    ///
    /// # Errors
    /// Where there are no sockets.
    pub async fn start(entries: Vec<Vec<Value>>, clock: Clock) -> Result<Self, String> {
        let gateways = entries.len();
        let shared = Arc::new(Service {
            clock,
            entries,
            list: watch::Sender::new((1, BTreeMap::new())),
            calls: Mutex::default(),
            watching: Mutex::default(),
            refused: Mutex::default(),
        });
        let mut at = Vec::new();
        for gateway in 0..gateways {
            let listener = crate::loopback::environment::listen().await?;
            at.push(listener.local_addr().map_err(|e| e.to_string())?);
            let shared = Arc::clone(&shared);
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let shared = Arc::clone(&shared);
                    tokio::spawn(async move { tell(stream, &shared, gateway).await });
                }
            });
        }
        Ok(Discovery { at, shared })
    }

    /// A host is in another phase from now on, in the next version of the list.
    pub fn phase(&self, id: &str, phase: &str) {
        self.shared.list.send_modify(|(revision, phases)| {
            *revision += 1;
            phases.insert(id.into(), phase.into());
        });
    }

    /// Answers a gateway 503, or lists again.
    pub fn refuse(&self, gateway: usize, refuse: bool) {
        let mut refused = lock(&self.shared.refused);
        if refuse {
            refused.insert(gateway);
        } else {
            refused.remove(&gateway);
        }
    }

    /// The calls so far.
    #[must_use]
    pub fn calls(&self) -> Vec<Call> {
        lock(&self.shared.calls).clone()
    }

    /// The gateways that have a watch open.
    #[must_use]
    pub fn watching(&self) -> Vec<usize> {
        lock(&self.shared.watching)
            .iter()
            .filter(|(_, n)| **n > 0)
            .map(|(&g, _)| g)
            .collect()
    }
}

impl Service {
    fn body(&self, gateway: usize) -> (u64, String) {
        let (revision, phases) = self.list.borrow().clone();
        let mut members = self.entries[gateway].clone();
        for member in &mut members {
            if let Some(phase) = member["id"].as_str().and_then(|id| phases.get(id)) {
                member["phase"] = json!(phase);
            }
        }
        (
            revision,
            json!({"revision": revision, "complete": true, "members": members}).to_string(),
        )
    }

    /// Waits for a version after this one, so long at most; or until the caller goes.
    async fn hold(
        &self,
        gateway: usize,
        from: u64,
        hold: Duration,
        stream: &mut BufReader<TcpStream>,
    ) -> Option<()> {
        *lock(&self.watching).entry(gateway).or_default() += 1;
        let mut list = self.list.subscribe();
        let news = tokio::time::timeout(hold, list.wait_for(|(revision, _)| *revision > from));
        let goes = tokio::select! {
            _ = news => false,
            more = stream.fill_buf() => more.map_or(true, <[u8]>::is_empty),
        };
        *lock(&self.watching).entry(gateway).or_default() -= 1;
        (!goes).then_some(())
    }
}

async fn tell(stream: TcpStream, shared: &Service, gateway: usize) -> Option<()> {
    let mut stream = BufReader::new(stream);
    loop {
        let mut call = String::new();
        stream.read_line(&mut call).await.ok().filter(|&n| n > 0)?;
        loop {
            let mut line = String::new();
            stream.read_line(&mut line).await.ok().filter(|&n| n > 0)?;
            if line.trim().is_empty() {
                break;
            }
        }
        let number = |name: &str| -> Option<u64> {
            let value = call
                .split(['?', '&', ' '])
                .find_map(|w| w.strip_prefix(name))?;
            value.parse().ok()
        };
        let hold = number("hold_ms=").unwrap_or(0);
        let (at, watch) = (shared.clock.now(), hold > 0);
        lock(&shared.calls).push(Call { at, gateway, watch });
        if lock(&shared.refused).contains(&gateway) {
            stream
                .write_all(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
                .await
                .ok()?;
            continue;
        }
        if let (Some(from), true) = (number("from="), watch) {
            shared
                .hold(gateway, from, Duration::from_millis(hold), &mut stream)
                .await?;
        }
        let (_, body) = shared.body(gateway);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream
            .write_all(format!("{head}{body}").as_bytes())
            .await
            .ok()?;
    }
}
