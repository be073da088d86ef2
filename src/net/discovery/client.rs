//! The list of database hosts: a long poll of discovery over one HTTP connection.
//!
//! Nothing else knows where the list comes from: it goes to the backend as a [`EndpointList`], whatever its source.

use crate::net::cluster::endpoint_watch::{Call, EndpointWatchService};
use crate::net::discovery::poll_interval::{Pace, PAUSE, SILENCE};
use crate::net::log::log;
use crate::net::request::classes::Classes;
use crate::net::upstream::Upstream;
use bytes::{Buf, BytesMut};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// An address that has shown older lists for so long is taken at its word.
const RENUMBERED: Duration = Duration::from_secs(60);
/// Largest answer that is read.
const LARGEST: usize = 4 << 20;

/// Whether a database host is in service.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum EndpointPhase {
    /// Takes requests.
    InService,
    /// Finishes what it has.
    Terminating,
    /// Withdrawn.
    Terminated,
}

/// One database host of the list.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct EndpointEntry {
    /// The same at every gateway.
    pub id: String,
    /// Where it listens, as seen from here.
    pub host_port: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub locality: String,
    /// Its group.
    pub cell: i64,
    /// Whether it is in service.
    pub phase: EndpointPhase,
    /// Its relative size.
    #[serde(default = "one")]
    pub size: f64,
    /// Unix time in milliseconds of its last start; 0 for long ago.
    #[serde(default)]
    pub up_since_ms: f64,
    /// Its role, where the list tells it.
    #[serde(default)]
    pub access: Option<String>,
}

fn one() -> f64 {
    1.0
}

/// A list of database hosts, or the changes to one.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct EndpointList {
    /// Its version.
    pub revision: u64,
    /// All hosts, or only what has changed.
    pub complete: bool,
    /// The entries.
    pub members: Vec<EndpointEntry>,
}

/// What has been learnt so far, whichever address told it.
#[derive(Debug, Default)]
pub struct ListPosition {
    /// The newest version.
    pub revision: Option<u64>,
    /// The next call is for the whole list, which comes at once: changes are waited for.
    pub whole: bool,
    /// Since when the address that is asked has had an older one.
    behind: Option<Instant>,
}

impl ListPosition {
    /// From the list of this version on.
    pub fn at(revision: Option<u64>) -> Self {
        ListPosition {
            revision,
            whole: revision.is_none(),
            behind: None,
        }
    }

    /// Whether a list is to be taken. Danger: an address that has
    /// not caught up yet would undo drains and drop hosts. One that stays behind numbers its lists anew.
    fn takes(&mut self, list: &EndpointList) -> bool {
        let older = self.revision.is_some_and(|r| list.revision < r);
        if !older {
            self.behind = None;
        }
        let since = older.then(|| *self.behind.get_or_insert_with(Instant::now));
        let anew = since.is_some_and(|t| t.elapsed() >= RENUMBERED);
        let news = self.revision.is_none_or(|r| list.revision > r);
        let taken = if list.complete { !older || anew } else { news };
        if taken {
            (self.revision, self.behind) = (Some(list.revision), None);
        }
        self.whole = anew && !taken;
        taken
    }
}

/// Watches the list for ever at the address that holds, and hands on each change before the next call. A new
/// address is called at once, for the whole list: a watch goes on at the address where it began. Tells once any has
/// answered.
pub async fn watch(
    mut addresses: watch::Receiver<SocketAddr>,
    mut seen: ListPosition,
    upstream: Rc<Upstream>,
    classes: Rc<Classes>,
    answered: watch::Sender<bool>,
    fleet: Option<Rc<EndpointWatchService>>,
) {
    let mut pace = Pace::new(classes.settings().seed);
    sleep(pace.first(herd(&classes))).await;
    loop {
        let address = *addresses.borrow_and_update();
        tokio::select! {
            biased;
            changed = addresses.changed() => {
                if changed.is_err() {
                    return;
                }
                (seen.whole, seen.behind) = (true, None);
            }
            () = async {
                let fleet = fleet.as_deref();
                let calls = follow(address, &mut seen, (&upstream, fleet), &classes, &mut pace, &answered);
                let Err(why) = calls.await else { return };
                if let Some(fleet) = fleet {
                    fleet.call_ended(false);
                }
                log!("discovery: {why}");
                sleep(pace.failed(herd(&classes))).await;
            } => {}
        }
    }
}

/// How many gateways ask one service, where they do.
fn herd(classes: &Classes) -> Option<u32> {
    let settings = classes.settings();
    settings
        .endpoint_list_on_request
        .then_some(settings.gateway_count)
}

/// Calls until a call fails, or until another gateway is to watch for this one: that leaves no connection open.
async fn follow(
    address: SocketAddr,
    seen: &mut ListPosition,
    (upstream, fleet): (&Upstream, Option<&EndpointWatchService>),
    classes: &Classes,
    pace: &mut Pace,
    answered: &watch::Sender<bool>,
) -> Result<(), String> {
    let mut next_call = match fleet {
        Some(fleet) => fleet.wait_for_turn(seen).await,
        None => Call::Watch,
    };
    let mut connection = None;
    loop {
        let called = Instant::now();
        let (mut stream, mut buffer) = match connection.take() {
            Some(open) => open,
            None => (connect(address).await?, BytesMut::new()),
        };
        let mut allowed = pace.allowed(herd(classes));
        let path = match seen.revision.filter(|_| !seen.whole) {
            Some(r) => {
                if next_call == Call::Fetch {
                    allowed.silence -= std::mem::take(&mut allowed.hold);
                }
                format!(
                    "/discovery/hosts?from={r}&hold_ms={}",
                    allowed.hold.as_millis()
                )
            }
            None => "/discovery/hosts".to_string(),
        };
        let call =
            format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n");
        let answer = async {
            stream
                .write_all(call.as_bytes())
                .await
                .map_err(|e| format!("cannot write: {e}"))?;
            read_answer(&mut stream, &mut buffer).await
        };
        let body = tokio::select! {
            answer = timeout(allowed.silence, answer) => {
                let Answer { body, ends } = answer.map_err(|_| "silent".to_string())??;
                connection = (!ends).then_some((stream, buffer));
                body
            }
            () = relieved(fleet.filter(|_| next_call == Call::Watch), seen) => return Ok(()),
        };
        let list: EndpointList =
            serde_json::from_slice(&body).map_err(|e| format!("malformed list: {e}"))?;
        let taken = seen.takes(&list);
        if taken {
            upstream.apply_endpoint_list(&list);
        }
        answered.send_replace(true);
        pace.answered();
        if let Some(fleet) = fleet {
            fleet.call_ended(true);
            let Some(next) = fleet.next_turn(seen) else {
                return Ok(());
            };
            next_call = next;
        }
        if !taken && called.elapsed() < PAUSE {
            // Danger: an agent that does not wait would be called without end.
            sleep(PAUSE).await;
        }
    }
}

/// Until another gateway watches for this one; never, where each watches for itself.
async fn relieved(fleet: Option<&EndpointWatchService>, seen: &ListPosition) {
    match fleet {
        Some(fleet) => fleet.superseded(seen).await,
        None => std::future::pending().await,
    }
}

async fn connect(address: SocketAddr) -> Result<TcpStream, String> {
    let connecting = timeout(SILENCE, TcpStream::connect(address)).await;
    let stream = connecting
        .map_err(|_| "no connection in time".to_string())?
        .map_err(|e| format!("no connection: {e}"))?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    Ok(stream)
}

/// A whole answer.
#[derive(Debug, PartialEq, Eq)]
struct Answer {
    body: Vec<u8>,
    /// Its connection takes no further call.
    ends: bool,
}

/// Reads one answer, and leaves in the buffer what came after it.
async fn read_answer(stream: &mut TcpStream, buffer: &mut BytesMut) -> Result<Answer, String> {
    loop {
        if let Some((answer, used)) = parse_answer(buffer, false)? {
            buffer.advance(used);
            return Ok(answer);
        }
        if buffer.len() > LARGEST {
            return Err("an answer is too large".into());
        }
        // A reset is an error, and no end of a body without a length.
        let n = stream
            .read_buf(buffer)
            .await
            .map_err(|e| format!("cannot read: {e}"))?;
        if n == 0 {
            let whole = parse_answer(buffer, true)?.ok_or("the connection was closed")?;
            return Ok(whole.0);
        }
    }
}

/// A whole answer and its length with the head, or nothing yet. One without a length is whole where its connection has
/// ended.
fn parse_answer(bytes: &[u8], ended: bool) -> Result<Option<(Answer, usize)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    let parsed = head
        .parse(bytes)
        .map_err(|e| format!("malformed answer: {e}"))?;
    let httparse::Status::Complete(start) = parsed else {
        return Ok(None);
    };
    if head.code != Some(200) {
        return Err(format!("answer {}", head.code.unwrap_or(0)));
    }
    let header = |name: &str| {
        head.headers
            .iter()
            .find(|h| h.name.eq_ignore_ascii_case(name))
            .map(|h| h.value)
    };
    let ends = ended || header("connection").is_some_and(|v| v.eq_ignore_ascii_case(b"close"));
    let whole = |(body, used): (Vec<u8>, usize)| (Answer { body, ends }, used);
    if header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case(b"chunked")) {
        return Ok(parse_chunks(bytes, start)?.map(whole));
    }
    let Some(length) = header("content-length") else {
        return Ok(ended.then(|| whole((bytes[start..].to_vec(), bytes.len()))));
    };
    let length: usize = (std::str::from_utf8(length).ok())
        .and_then(|v| v.trim().parse().ok())
        .filter(|&n| n <= LARGEST)
        .ok_or("an answer with a malformed length")?;
    Ok(bytes
        .get(start..start + length)
        .map(|body| whole((body.to_vec(), start + length))))
}

fn parse_chunks(bytes: &[u8], mut at: usize) -> Result<Option<(Vec<u8>, usize)>, String> {
    let mut body = Vec::new();
    loop {
        let parsed = httparse::parse_chunk_size(&bytes[at..]).map_err(|_| "a malformed chunk")?;
        let httparse::Status::Complete((line, size)) = parsed else {
            return Ok(None);
        };
        let size = usize::try_from(size)
            .ok()
            .filter(|n| *n <= LARGEST)
            .ok_or("a chunk is too large")?;
        let Some(chunk) = bytes.get(at + line..at + line + size + 2) else {
            return Ok(None);
        };
        at += line + size + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/discovery.rs"]
mod tests;
