//! A stand-in for the discovery service. It serves one list of hosts. Each gateway has its own address for the service
//! and gets the host addresses that are meant for this gateway.

use super::lock;
use crate::cluster::Clock;
use crate::sockets::{self, SocketError};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_blocking;

/// The stand-in of the discovery service.
#[derive(Clone)]
pub struct Discovery {
    /// The addresses of the service, one for each gateway.
    pub addresses: Vec<SocketAddr>,
    service: Arc<Service>,
}

/// A call that the service received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// Time of the call, in milliseconds since the start of the run.
    pub at_ms: u64,
    /// The gateway that sent it.
    pub gateway: usize,
    /// Whether it is a long poll, which waits for the next revision of the list.
    pub long_poll: bool,
}

/// The state of the list at a revision.
#[derive(Clone)]
struct List {
    revision: u64,
    /// By host id: the last change of its phase; hosts without a change are missing.
    changes: BTreeMap<String, PhaseChange>,
}

/// A change of a host's phase.
#[derive(Clone)]
struct PhaseChange {
    revision: u64,
    phase: String,
}

struct Service {
    clock: Clock,
    /// By gateway: the list entries of the hosts, with the addresses for this gateway.
    entries: Vec<Vec<Value>>,
    list: watch::Sender<List>,
    calls: Mutex<Vec<Call>>,
    /// By gateway: the number of its open long polls.
    open_long_polls: Mutex<BTreeMap<usize, usize>>,
    /// By gateway: the total length of the lists that it was sent, in bytes.
    list_bytes: Mutex<BTreeMap<usize, u64>>,
    /// Gateways whose calls are answered with status 503.
    refused: Mutex<BTreeSet<usize>>,
}

impl Discovery {
    /// Starts the service; `entries` has the list entries of the hosts for each gateway.
    ///
    /// # Errors
    /// A socket cannot be bound.
    pub async fn start(entries: Vec<Vec<Value>>, clock: Clock) -> Result<Self, SocketError> {
        let gateways = entries.len();
        let service = Arc::new(Service {
            clock,
            entries,
            list: watch::Sender::new(List {
                revision: 1,
                changes: BTreeMap::new(),
            }),
            calls: Mutex::default(),
            open_long_polls: Mutex::default(),
            list_bytes: Mutex::default(),
            refused: Mutex::default(),
        });
        let mut addresses = Vec::new();
        for gateway in 0..gateways {
            let listener = sockets::listen().await?;
            addresses.push(sockets::listener_address(&listener)?);
            let service = Arc::clone(&service);
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let service = Arc::clone(&service);
                    tokio::spawn(async move { service.serve(stream, gateway).await });
                }
            });
        }
        Ok(Discovery { addresses, service })
    }

    /// The list entries of the hosts for a gateway at revision 1, before any change.
    #[must_use]
    pub fn first_entries(&self, gateway: usize) -> &[Value] {
        &self.service.entries[gateway]
    }

    /// The total length of the lists that a gateway was sent, in bytes.
    #[must_use]
    pub fn list_bytes(&self, gateway: usize) -> u64 {
        let sent = lock(&self.service.list_bytes);
        sent.get(&gateway).copied().unwrap_or_default()
    }

    /// Changes the phase of a host, which makes a new revision of the list.
    pub fn set_phase(&self, host_id: &str, phase: &str) {
        self.service.list.send_modify(|list| {
            list.revision += 1;
            let change = PhaseChange {
                revision: list.revision,
                phase: phase.into(),
            };
            list.changes.insert(host_id.into(), change);
        });
    }

    /// Answers a gateway's calls with status 503 from now on.
    pub fn refuse(&self, gateway: usize) {
        lock(&self.service.refused).insert(gateway);
    }

    /// Answers a gateway's calls with the list again.
    pub fn stop_refusing(&self, gateway: usize) {
        lock(&self.service.refused).remove(&gateway);
    }

    /// All calls that the service has received so far.
    #[must_use]
    pub fn calls(&self) -> Vec<Call> {
        lock(&self.service.calls).clone()
    }

    /// The gateways that have a long poll open.
    #[must_use]
    pub fn long_polling(&self) -> Vec<usize> {
        lock(&self.service.open_long_polls)
            .iter()
            .filter(|(_, count)| **count > 0)
            .map(|(&gateway, _)| gateway)
            .collect()
    }
}

impl Service {
    /// Serves a connection of a gateway; returns `None` when it ends.
    async fn serve(self: &Arc<Self>, stream: TcpStream, gateway: usize) -> Option<()> {
        let mut stream = BufReader::new(stream);
        loop {
            let request = Request::read(&mut stream).await?;
            lock(&self.calls).push(Call {
                at_ms: self.clock.now(),
                gateway,
                long_poll: request.is_long_poll(),
            });
            if lock(&self.refused).contains(&gateway) {
                let refusal = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
                stream.write_all(refusal).await.ok()?;
                continue;
            }
            if let (Some(from), true) = (request.from, request.is_long_poll()) {
                self.wait_for_later_revision(gateway, from, request.hold, &mut stream)
                    .await?;
            }
            // Building a long list takes a while, and would block the stand-in hosts, which run on this thread.
            let service = Arc::clone(self);
            let body = spawn_blocking(move || service.body(gateway, request.from));
            let body = body.await.ok()?;
            *lock(&self.list_bytes).entry(gateway).or_default() += body.len() as u64;
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            let response = format!("{head}{body}");
            stream.write_all(response.as_bytes()).await.ok()?;
        }
    }

    /// The response body for a gateway: the whole list, or only the hosts changed after revision `from`.
    fn body(&self, gateway: usize, from: Option<u64>) -> String {
        let list = self.list.borrow().clone();
        let changed = |id: &str| list.changes.get(id);
        let is_sent = |entry: &&Value| {
            let change = entry["id"].as_str().and_then(changed);
            from.is_none_or(|from| change.is_some_and(|change| change.revision > from))
        };
        let sent = self.entries[gateway].iter().filter(is_sent);
        let mut members: Vec<Value> = sent.cloned().collect();
        for member in &mut members {
            if let Some(change) = member["id"].as_str().and_then(changed) {
                member["phase"] = json!(change.phase);
            }
        }
        json!({"revision": list.revision, "complete": from.is_none(), "members": members})
            .to_string()
    }

    /// Waits for a revision after `from`, for at most the duration `hold`; `None` if the caller disconnects first.
    async fn wait_for_later_revision(
        &self,
        gateway: usize,
        from: u64,
        hold: Duration,
        stream: &mut BufReader<TcpStream>,
    ) -> Option<()> {
        *lock(&self.open_long_polls).entry(gateway).or_default() += 1;
        let mut list = self.list.subscribe();
        let next_version = tokio::time::timeout(hold, list.wait_for(|list| list.revision > from));
        let caller_left = tokio::select! {
            _ = next_version => false,
            input = stream.fill_buf() => input.map_or(true, <[u8]>::is_empty),
        };
        *lock(&self.open_long_polls).entry(gateway).or_default() -= 1;
        (!caller_left).then_some(())
    }
}

/// The parameters of a call.
struct Request {
    /// The revision that the caller has; `None` if it requests the whole list.
    from: Option<u64>,
    /// Longest time to wait for a later revision; zero if the call is no long poll.
    hold: Duration,
}

impl Request {
    /// Reads the head of an HTTP request; `None` if the connection ends.
    async fn read(stream: &mut BufReader<TcpStream>) -> Option<Self> {
        let request_line = read_line(stream).await?;
        while !read_line(stream).await?.trim().is_empty() {}
        let parameter = |name: &str| -> Option<u64> {
            let value = request_line
                .split(['?', '&', ' '])
                .find_map(|word| word.strip_prefix(name))?;
            value.parse().ok()
        };
        Some(Request {
            from: parameter("from="),
            hold: Duration::from_millis(parameter("hold_ms=").unwrap_or(0)),
        })
    }

    fn is_long_poll(&self) -> bool {
        !self.hold.is_zero()
    }
}

/// Reads a line, including its line break; `None` at the end of the connection.
async fn read_line(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let length = stream.read_line(&mut line).await.ok()?;
    (length > 0).then_some(line)
}
