//! A stand-in database host and discovery, as small as the cluster's tests need them: a host that answers probes, reads
//! and writes, discards a repeated key within the window, refuses an old fencing token, and counts what it applied.
//! Links between a gateway and a host can be cut: what is under way stands still, as when a machine is cut off.

use super::Clock;
use crate::loopback::host::comment;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

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
    /// How long a write takes before it is applied, and how long its answer then waits.
    pace: Mutex<(Duration, Duration)>,
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
            pace: Mutex::default(),
        });
        let mut at = Vec::new();
        for gateway in 0..gateways {
            let listener = crate::loopback::house::listen().await?;
            at.push(listener.local_addr().map_err(|e| e.to_string())?);
            tokio::spawn(accept(Arc::clone(&shared), listener, gateway));
        }
        Ok(Host { id, set, zone, primary, at, shared })
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
            Ok((stream, _)) => drop(tokio::spawn(talk(Arc::clone(&shared), stream, gateway))),
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
    let cell = [&[0, 1][..], &(value.len() as u32).to_be_bytes()[..], value.as_bytes()].concat();
    let column = [&[0, 1][..], b"payload\0", &[0; 18]].concat();
    let role = format!("server_role\0{}\0", if primary { "writer" } else { "reader" });
    let parts = [(b'T', &column[..]), (b'D', &cell), (b'C', b"SELECT 1\0"), (b'S', role.as_bytes())];
    parts.iter().flat_map(|(tag, body)| message(*tag, body)).collect()
}

async fn read(stream: &mut TcpStream, tagged: bool) -> Option<(u8, Vec<u8>)> {
    let tag = if tagged { stream.read_u8().await.ok()? } else { 0 };
    let length = stream.read_u32().await.ok()?;
    let mut body = vec![0; (length as usize).checked_sub(4).filter(|&l| l <= 1 << 20)?];
    stream.read_exact(&mut body).await.ok()?;
    Some((tag, body))
}

async fn talk(shared: Arc<Shared>, mut stream: TcpStream, gateway: usize) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    open(&shared, gateway).await;
    read(&mut stream, false).await?;
    let ready = message(b'Z', b"I");
    stream.write_all(&[message(b'R', &[0; 4]), ready.clone()].concat()).await.ok()?;
    loop {
        let (tag, body) = read(&mut stream, true).await?;
        open(&shared, gateway).await;
        if tag != b'Q' {
            return None;
        }
        let text = String::from_utf8(body[..body.len().saturating_sub(1)].to_vec()).ok()?;
        let answer = answer(&shared, gateway, &text).await;
        open(&shared, gateway).await;
        stream.write_all(&[answer, ready.clone()].concat()).await.ok()?;
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
        seen.probes.push(Probe { at: now, gateway, token, refused });
        let unix = shared.clock.unix_ms();
        let report =
            format!("x0={}.{:03},x1={},util=0.1", unix / 1000, unix % 1000, u8::from(shared.primary));
        return if refused { error("40001") } else { row(&report, shared.primary) };
    }
    lock(&shared.seen).statements.push((now, gateway, text.to_string()));
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

/// Discovery as one gateway reaches it: a list that does not change.
///
/// # Errors
/// Where there is no socket.
pub async fn discovery(members: Vec<Value>) -> Result<SocketAddr, String> {
    let listener = crate::loopback::house::listen().await?;
    let at = listener.local_addr().map_err(|e| e.to_string())?;
    let body = Arc::new(json!({"revision": 1, "complete": true, "members": members}).to_string());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let body = Arc::clone(&body);
            tokio::spawn(async move { tell(stream, &body).await });
        }
    });
    Ok(at)
}

async fn tell(stream: TcpStream, body: &str) -> Option<()> {
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
        if call.contains("from=") {
            // A watch: there is never anything newer.
            tokio::time::sleep(Duration::from_secs(10)).await;
        }
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(format!("{head}{body}").as_bytes()).await.ok()?;
    }
}
