//! Hot restart: a newer process of a gateway takes over from an older one, usually of another version.
//!
//! The older process hands over its endpoint list and the router's measurements. After that, each process reports its
//! resource usage to the other, because the platform's limits apply to both together. The processes communicate over a
//! Unix socket in their shared directory; each line is a JSON object. A process that finds no older one, or cannot read
//! its document, starts without a hand-over.
//!
//! Other versions of this program read the documents, so the keys and the name of the socket must not change.

use crate::net::buffers::Pool;
use crate::net::claims::Claims;
use crate::net::descriptor_budget::RESERVED_DESCRIPTORS;
use crate::net::downstream::connection_limit::ConnectionLimit;
use crate::net::endpoint_list::EndpointList;
use crate::net::log::log;
use crate::net::request::classes::Classes;
use crate::net::request::OpenIds;
use crate::net::router_task::RouterHandle;
use crate::net::upstream::Upstream;
use irisrouter::routing::{Event, RoutingSnapshot};
use irisrouter_endpoint_watch::Revision;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::convert::Infallible;
use std::fs;
use std::io;
use std::ops::Add;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

/// How long a starting process waits for the hand-over. A working predecessor answers at once, and one that hangs must
/// not keep its successor from serving clients.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest time between two usage reports. The reserves within the limits cover what a process can allocate during
/// this time.
const USAGE_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum length of a line, in bytes. The document with the largest endpoint list fits into it.
const MAX_LINE_LENGTH: u64 = 4 << 20;
/// Pause after a failure to bind the socket or to hand over.
const SOCKET_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The usage of the resources whose limits apply to all processes of the gateway together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct ResourceUsage {
    /// Number of client connections, plus the descriptors reserved in each process.
    #[serde(rename = "clients")]
    client_descriptors: usize,
    /// Number of connections to database hosts.
    #[serde(rename = "hosts")]
    upstream_connections: usize,
    /// Memory for messages that exceed the usual size of a buffer, in bytes.
    #[serde(rename = "memory")]
    message_memory: usize,
}

impl Add for ResourceUsage {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            client_descriptors: self.client_descriptors + other.client_descriptors,
            upstream_connections: self.upstream_connections + other.upstream_connections,
            message_memory: self.message_memory + other.message_memory,
        }
    }
}

/// The document that the older process sends to the newer one.
#[derive(Default, Deserialize, Serialize)]
#[serde(default)]
struct HandOverDocument {
    #[serde(rename = "list")]
    endpoint_list: EndpointList,
    /// Names of the members in the snapshot, in the same order.
    #[serde(rename = "members")]
    member_names: Vec<String>,
    /// Names of the classes in the snapshot, in the same order.
    #[serde(rename = "classes")]
    class_names: Vec<String>,
    #[serde(rename = "lore")]
    snapshot: RoutingSnapshot,
    #[serde(rename = "held")]
    usage: ResourceUsage,
}

/// The process before or after this one in the sequence of hot restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Predecessor,
    Successor,
}

impl Side {
    fn opposite(self) -> Self {
        match self {
            Side::Predecessor => Side::Successor,
            Side::Successor => Side::Predecessor,
        }
    }
}

/// The resource usage that the processes on both sides of this one have reported.
#[derive(Default)]
struct UsageBySide {
    predecessor: Cell<ResourceUsage>,
    successor: Cell<ResourceUsage>,
}

impl UsageBySide {
    fn get(&self, side: Side) -> ResourceUsage {
        self.cell(side).get()
    }

    fn set(&self, side: Side, usage: ResourceUsage) {
        self.cell(side).set(usage);
    }

    fn total(&self) -> ResourceUsage {
        self.predecessor.get() + self.successor.get()
    }

    fn cell(&self, side: Side) -> &Cell<ResourceUsage> {
        match side {
            Side::Predecessor => &self.predecessor,
            Side::Successor => &self.successor,
        }
    }
}

/// The parts of this process whose state is handed over and whose usage counts towards the shared limits.
pub struct Dependencies {
    /// The endpoint list, and the connections to database hosts.
    pub upstream: Rc<Upstream>,
    /// The client connections.
    pub connection_limit: Rc<ConnectionLimit>,
    /// The memory for messages that exceed the usual size of a buffer.
    pub buffers: Rc<Pool>,
    /// The router and its measurements.
    pub router: Rc<RouterHandle>,
    /// The names of the request classes.
    pub classes: Rc<Classes>,
    /// The ids of the open requests.
    pub open_ids: Rc<OpenIds>,
    /// What the processes of the gateway share.
    pub claims: Rc<Claims>,
}

/// This process's side of hot restarts, both as successor and as predecessor.
pub struct HotRestart {
    socket_path: PathBuf,
    dependencies: Dependencies,
    neighbor_usage: UsageBySide,
}

impl HotRestart {
    /// Creates the hot-restart state of this process. `socket_path` is the path of the Unix socket at which processes
    /// hand over. No connection is made yet.
    pub fn new(socket_path: PathBuf, dependencies: Dependencies) -> Self {
        Self {
            socket_path,
            dependencies,
            neighbor_usage: UsageBySide::default(),
        }
    }

    /// Takes over from an older process, if there is one; from then on both share the limits. Returns the revision of
    /// the older process's endpoint list, or `None` if there was no hand-over.
    pub async fn take_over(self: &Rc<Self>) -> Option<Revision> {
        let hand_over = timeout(HAND_OVER_TIMEOUT, self.receive_document()).await;
        // If there is no predecessor, or it is too slow, or its document cannot be read, this process starts without a
        // hand-over.
        let (stream, document) = hand_over.ok()?.ok()?;
        let revision = document.endpoint_list.revision;
        log!(
            "an older process hands over a list of {}",
            document.endpoint_list.members.len()
        );
        self.set_usage(Side::Predecessor, document.usage);
        self.apply(document);
        let hot_restart = Rc::clone(self);
        spawn_local(async move { hot_restart.share_limits(Side::Predecessor, stream).await });
        Some(revision)
    }

    async fn receive_document(&self) -> io::Result<(BufReader<UnixStream>, HandOverDocument)> {
        let mut stream = BufReader::new(UnixStream::connect(&self.socket_path).await?);
        let document = read_line(&mut stream).await?;
        Ok((stream, document))
    }

    fn apply(&self, document: HandOverDocument) {
        if document.endpoint_list.revision >= self.dependencies.upstream.revision() {
            self.dependencies
                .upstream
                .apply_endpoint_list(&document.endpoint_list);
        }
        // The snapshot has the older process's numbers of members and classes. Their names map them to the numbers of
        // this process.
        let members = document
            .member_names
            .iter()
            .map(|name| self.dependencies.upstream.member_by_name(name))
            .collect();
        let class_slots = document
            .class_names
            .iter()
            .map(|name| self.dependencies.classes.find(name).map(|held| held.slot))
            .collect();
        let mut snapshot = document.snapshot;
        snapshot.renumber(members, class_slots);
        self.dependencies
            .router
            .post(Event::SnapshotReceived(Box::new(snapshot)));
    }

    /// Waits for newer processes and hands over to each. Never returns.
    pub async fn serve_successors(self: Rc<Self>) {
        loop {
            if let Err(error) = self.serve_successor().await {
                log!("hot restart: cannot hand over to a newer process: {error}");
                sleep(SOCKET_RETRY_DELAY).await;
            }
        }
    }

    async fn serve_successor(&self) -> io::Result<()> {
        let stream = self.accept_successor().await?;
        // Before the successor accepts clients, which it does once it has the document.
        self.dependencies.open_ids.refresh_claims();
        let document = self.document().await;
        let mut stream = BufReader::new(stream);
        write_line(&mut stream, &document).await?;
        self.share_limits(Side::Successor, stream).await;
        Ok(())
    }

    async fn accept_successor(&self) -> io::Result<UnixStream> {
        // The socket's file may be left from a process that has ended or from the one that handed over to this one.
        if let Err(error) = fs::remove_file(&self.socket_path) {
            if error.kind() != io::ErrorKind::NotFound {
                return Err(error);
            }
        }
        let listener = UnixListener::bind(&self.socket_path)?;
        let (stream, _) = listener.accept().await?;
        Ok(stream)
    }

    async fn document(&self) -> HandOverDocument {
        let snapshot = self.dependencies.router.snapshot().await;
        let member_names = snapshot
            .members
            .iter()
            .map(|entry| self.dependencies.upstream.member_name(entry.id))
            .collect();
        HandOverDocument {
            endpoint_list: self.dependencies.upstream.endpoint_list(),
            member_names,
            class_names: self.dependencies.classes.names(),
            snapshot,
            usage: self.usage_for(Side::Successor),
        }
    }

    /// Reports the usage to the process on one side, and receives its reports, until the connection ends.
    async fn share_limits(&self, side: Side, stream: BufReader<UnixStream>) {
        self.dependencies.claims.neighbor_connected();
        let (reader, writer) = tokio::io::split(stream);
        let result: io::Result<Infallible> = tokio::select! {
            result = self.send_usage(side, writer) => result,
            result = self.receive_usage(side, BufReader::new(reader)) => result,
        };
        // Whatever ended the connection, the process on that side counts as one that uses no resources any more.
        let _ = result;
        self.set_usage(side, ResourceUsage::default());
        self.dependencies.claims.neighbor_disconnected();
    }

    async fn send_usage(
        &self,
        side: Side,
        mut writer: impl AsyncWriteExt + Unpin,
    ) -> io::Result<Infallible> {
        let mut reported = None;
        let mut ticks = interval(USAGE_REPORT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let usage = self.usage_for(side);
            if reported != Some(usage) {
                write_line(&mut writer, &usage).await?;
                reported = Some(usage);
            }
        }
    }

    async fn receive_usage(
        &self,
        side: Side,
        mut reader: impl AsyncBufReadExt + Unpin,
    ) -> io::Result<Infallible> {
        loop {
            let usage = read_line(&mut reader).await?;
            self.set_usage(side, usage);
        }
    }

    /// Returns the usage that is reported to the process on one side: that of this process plus that of the process on
    /// the other side.
    fn usage_for(&self, side: Side) -> ResourceUsage {
        let local_usage = ResourceUsage {
            client_descriptors: self.dependencies.connection_limit.open_connections()
                + RESERVED_DESCRIPTORS,
            upstream_connections: self.dependencies.upstream.open_connections(),
            message_memory: self.dependencies.buffers.extra_bytes(),
        };
        local_usage + self.neighbor_usage.get(side.opposite())
    }

    fn set_usage(&self, side: Side, usage: ResourceUsage) {
        self.neighbor_usage.set(side, usage);
        let total = self.neighbor_usage.total();
        let parts = &self.dependencies;
        parts
            .connection_limit
            .set_other_process_descriptors(total.client_descriptors);
        parts
            .upstream
            .set_other_process_connections(total.upstream_connections);
        parts
            .buffers
            .set_other_process_extra_bytes(total.message_memory);
    }
}

async fn read_line<T: DeserializeOwned>(
    reader: &mut (impl AsyncBufReadExt + Unpin),
) -> io::Result<T> {
    let mut line = Vec::new();
    reader
        .take(MAX_LINE_LENGTH)
        .read_until(b'\n', &mut line)
        .await?;
    Ok(serde_json::from_slice(&line)?)
}

async fn write_line(
    writer: &mut (impl AsyncWriteExt + Unpin),
    document: &impl Serialize,
) -> io::Result<()> {
    let mut line = serde_json::to_vec(document)?;
    line.push(b'\n');
    writer.write_all(&line).await?;
    writer.flush().await
}

#[cfg(test)]
#[path = "../../tests/unit/hot_restart.rs"]
mod tests;
