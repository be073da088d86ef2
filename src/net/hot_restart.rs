//! The processes of one gateway, while one version follows another: the older one hands over what it knows, and each
//! tells the other what it holds, as the platform's limits are for both together.
//!
//! They meet at a Unix socket in the folder that they share. Each line is an object in JSON. A process that finds nobody
//! there, or somebody whose words it does not know, starts as if it were alone.

use crate::net::buffers::Pool;
use crate::net::discovery::EndpointList;
use crate::net::downstream::connection_limit::ConnectionLimit;
use crate::net::log::log;
use crate::net::request::classes::Classes;
use crate::net::router_task::RouterHandle;
use crate::net::upstream::Upstream;
use irisrouter::routing::Event;
use irisrouter::routing::RoutingSnapshot;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

/// A process that is there answers at once. Danger: one that hangs would keep its successor from serving.
const MEET: Duration = Duration::from_millis(500);
/// How often the other is told what has changed here; more than is taken in that time is kept in reserve.
const TELL: Duration = Duration::from_millis(20);
/// Longest line that is read.
const LONGEST: u64 = 4 << 20;
/// Pause when the socket cannot be had.
const PAUSE: Duration = Duration::from_secs(1);

/// What a process holds of what both may hold together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Held {
    /// Places of clients, and the descriptors that every process needs for itself.
    clients: usize,
    /// Connections to database hosts.
    hosts: usize,
    /// Memory of large messages.
    memory: usize,
}

/// What the older process hands over.
#[derive(Default, Deserialize, Serialize)]
#[serde(default)]
struct Handed {
    list: EndpointList,
    /// Names of the members and classes of the lore, in its order.
    members: Vec<String>,
    classes: Vec<String>,
    lore: RoutingSnapshot,
    held: Held,
}

/// This process among those of its gateway.
pub struct HotRestart {
    /// Where they meet.
    pub path: PathBuf,
    /// Descriptors that every process needs for itself.
    pub reserved: usize,
    /// What is shared.
    pub upstream: Rc<Upstream>,
    /// Likewise.
    pub connection_limit: Rc<ConnectionLimit>,
    /// Likewise.
    pub pool: Rc<Pool>,
    /// The way to the module.
    pub router: Rc<RouterHandle>,
    /// Names of the classes.
    pub classes: Rc<Classes>,
    /// What the older and the newer one hold.
    pub others: [Cell<Held>; 2],
}

const OLDER: usize = 0;
const NEWER: usize = 1;

impl HotRestart {
    /// Takes what an older process hands over, if there is one: from then on they share.
    pub async fn take_over(self: &Rc<Self>) -> Option<u64> {
        let meeting = async {
            let mut stream = BufReader::new(UnixStream::connect(&self.path).await?);
            let handed: Handed = read(&mut stream).await?;
            Ok::<_, io::Error>((stream, handed))
        };
        let (stream, handed) = timeout(MEET, meeting).await.ok()?.ok()?;
        log!(
            "an older process hands over a list of {}",
            handed.list.members.len()
        );
        self.hear(OLDER, handed.held);
        let revision = handed.list.revision;
        self.take(handed);
        let hot_restart = Rc::clone(self);
        tokio::task::spawn_local(async move { hot_restart.share(OLDER, stream).await });
        Some(revision)
    }

    fn take(&self, handed: Handed) {
        if handed.list.revision >= self.upstream.revision() {
            self.upstream.apply_endpoint_list(&handed.list);
        }
        let mut lore = handed.lore;
        let slots = handed
            .classes
            .iter()
            .map(|name| self.classes.find(name).map(|held| held.slot))
            .collect();
        let ids = handed
            .members
            .iter()
            .map(|name| self.upstream.member_by_name(name))
            .collect();
        lore.renumber(ids, slots);
        self.router.post(Event::SnapshotReceived(Box::new(lore)));
    }

    /// Waits for newer processes for ever, and hands over to each.
    pub async fn serve_successors(self: Rc<Self>) {
        loop {
            if let Err(e) = self.hand_over().await {
                log!("cannot wait for a newer process: {e}");
                sleep(PAUSE).await;
            }
        }
    }

    async fn hand_over(&self) -> io::Result<()> {
        // The name may still be that of a process that is gone, or that has handed over.
        if let Err(e) = std::fs::remove_file(&self.path) {
            if e.kind() != io::ErrorKind::NotFound {
                return Err(e);
            }
        }
        let (stream, _) = UnixListener::bind(&self.path)?.accept().await?;
        let lore = self.router.snapshot().await;
        let handed = Handed {
            list: self.upstream.endpoint_list(),
            members: lore
                .members
                .iter()
                .map(|(id, _)| self.upstream.member_name(*id))
                .collect(),
            classes: self.classes.names(),
            lore,
            held: self.held(NEWER),
        };
        let mut stream = BufReader::new(stream);
        write(&mut stream, &handed).await?;
        self.share(NEWER, stream).await;
        Ok(())
    }

    /// Tells the other process what is held here, and hears what it holds, until it ends.
    async fn share(&self, side: usize, stream: BufReader<UnixStream>) {
        let (reader, mut writer) = tokio::io::split(stream);
        let mut reader = BufReader::new(reader);
        let telling = async {
            let mut told = None;
            let mut turn = interval(TELL);
            turn.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                turn.tick().await;
                let held = self.held(side);
                if told != Some(held) {
                    write(&mut writer, &held).await?;
                    told = Some(held);
                }
            }
        };
        let hearing = async {
            loop {
                self.hear(side, read(&mut reader).await?);
            }
        };
        let _: io::Result<Infallible> = tokio::select! { e = telling => e, e = hearing => e };
        self.hear(side, Held::default());
    }

    /// What the process on one side is to count: what is held here, and on the other side of here.
    fn held(&self, side: usize) -> Held {
        let beyond = self.others[1 - side].get();
        Held {
            clients: self.connection_limit.open_connections() + self.reserved + beyond.clients,
            hosts: self.upstream.open_connections() + beyond.hosts,
            memory: self.pool.grown() + beyond.memory,
        }
    }

    fn hear(&self, side: usize, held: Held) {
        self.others[side].set(held);
        let [a, b] = [OLDER, NEWER].map(|side| self.others[side].get());
        self.connection_limit.elsewhere.set(a.clients + b.clients);
        self.upstream.elsewhere.set(a.hosts + b.hosts);
        self.pool.elsewhere.set(a.memory + b.memory);
    }
}

async fn read<T: for<'a> Deserialize<'a>>(
    from: &mut (impl AsyncBufReadExt + Unpin),
) -> io::Result<T> {
    let mut line = Vec::new();
    from.take(LONGEST).read_until(b'\n', &mut line).await?;
    Ok(serde_json::from_slice(&line)?)
}

async fn write(to: &mut (impl AsyncWriteExt + Unpin), what: &impl Serialize) -> io::Result<()> {
    let mut line = serde_json::to_vec(what)?;
    line.push(b'\n');
    to.write_all(&line).await?;
    to.flush().await
}
