//! Database hosts: who they are, a pool of connections to each, attempts and probes.

use crate::net::buffers::{Buffer, Pool};
use crate::net::discovery::{EndpointEntry, EndpointList, EndpointPhase};
use crate::net::log::log;
use crate::net::metrics::{increment, Metrics};
use crate::net::pg::{self, code, Reply};
use crate::net::{duration, nanoseconds, read_now, Clock};
use bytes::{Buf, BufMut};
use irisrouter::platform_settings::{NameTable, PlatformSettings};
use irisrouter::routing::*;
use irisrouter_drain_coordination::DrainCommand;
use irisrouter_gossip::message;
use irisrouter_site_failover::load_report::SiteReachability;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{timeout, timeout_at, Instant};

const USER: &str = "web";
const DATABASE: &str = "orders";
const PROBE: &[u8] = b"SHOW usage";
const NS_PER_MS: Nanos = 1_000_000;
/// Idle connections are retired after this share of the time at which a host closes them. Danger: a request
/// written to a connection that its host has just closed ends as a reset, which may have run.
const IDLE_SHARE: f64 = 0.8;
/// A connection rests for so long before it is used again. Danger: what a host sends behind a good answer, such as
/// a second copy, would be read as the next request's answer.
const REST: Duration = Duration::from_millis(10);
/// A position may be so far ahead of this clock. Danger: one from the future would prove for ever that its host is
/// recent enough.
const AHEAD: Nanos = 100 * NS_PER_MS;
/// A host that is gone is remembered for so long, as it may come back.
const KEPT_GONE: Duration = Duration::from_secs(30);
/// More requests than this are held nowhere.
const MOST_HELD: f64 = 1e6;
/// And no report, however noisy, tells of more cores in use, as a share.
const MOST_IN_USE: f64 = 2.0;
/// Pieces of a long value that wait for their client, the one being written aside. Danger: what a slow client does not
/// take would pile up here; so its host waits.
const PIECES: usize = 2;
/// A host that says nothing more for so long in the middle of a long value has broken off.
const SILENCE: Duration = Duration::from_secs(10);
/// What was heard of a host longer ago says nothing of it now.
const HEARD: Duration = Duration::from_secs(2);
/// One that failed so often in a row is silent.
const SILENT: u32 = 2;
/// How often idle connections are looked at.
pub const SWEEP: Duration = Duration::from_millis(500);

/// A request's statement, passed on byte for byte but for the time that is left.
pub struct Statement {
    /// Its text.
    pub text: Buffer,
    /// Where the milliseconds stand that its sender will wait.
    pub wait_at: Range<usize>,
}

/// How an attempt ended.
pub struct AttemptResult {
    /// Its outcome.
    pub outcome: Outcome,
    /// What the answer tells of its host.
    pub status: Option<ReplicationStatus>,
    /// The row's messages, as the host sent them; with [`Outcome::Ok`] only, and not where they were passed on.
    pub row: Option<Buffer>,
}

/// An answer that is passed on while it comes: its messages up to the first bytes of the value, and what follows.
pub struct StreamedAnswer {
    /// What has come of it.
    pub head: Buffer,
    /// The rest. Where it ends without [`StreamChunk::Last`], the value is not whole.
    pub rest: mpsc::Receiver<StreamChunk>,
}

/// A piece of an answer that is passed on.
pub enum StreamChunk {
    /// Bytes of the value.
    Data(Buffer),
    /// The value is whole, and this follows it.
    Last(Buffer),
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult {
            outcome,
            status: None,
            row: None,
        }
    }
}

/// One more in a count, until dropped: a place in the budget of descriptors, or a request that is open at a host.
struct Slot(Rc<Cell<usize>>);

impl Slot {
    fn one_more(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Slot(Rc::clone(count))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Connection {
    stream: TcpStream,
    idle_since: Instant,
    /// The host's incarnation that it leads to.
    epoch: u64,
    _slot: Slot,
}

struct Host {
    /// What gateways call it among one another.
    number: u32,
    /// As the list last named it.
    entry: EndpointEntry,
    ready: bool,
    /// Changes when its process or its address does: older connections are of no more use.
    epoch: u64,
    idle: Vec<Connection>,
    /// Since when the list does not hold it any more.
    gone: Option<Instant>,
    /// An operator's word keeps it out of service, whatever the list says.
    out: bool,
    /// Requests that are open there.
    busy: Rc<Cell<usize>>,
    heard: Heard,
}

/// What was heard of a host, where that is tallied.
#[derive(Default)]
struct Heard {
    /// When it last answered or failed.
    at: Option<Instant>,
    /// Failures since it last answered.
    failures: u32,
    /// Requests that ended since the last tally, and those that it answered.
    sent: u16,
    answered: u16,
}

impl Host {
    /// The list has it in service.
    fn in_service(&self) -> bool {
        self.gone.is_none() && self.entry.phase == EndpointPhase::InService
    }
}

/// All database hosts that the list has named, and the connections to them.
pub struct Upstream {
    /// Those that the list holds or held lately. A number is never given out again: late orders for a host that has been
    /// forgotten must not reach another one.
    hosts: RefCell<BTreeMap<MemberId, Host>>,
    ids: RefCell<HashMap<String, MemberId>>,
    next: Cell<u32>,
    /// All groups that the list has ever named.
    groups: RefCell<BTreeSet<GroupId>>,
    zones: RefCell<NameTable>,
    pool: Rc<Pool>,
    metrics: Rc<Metrics>,
    clock: Clock,
    connect_timeout: Cell<Duration>,
    idle_for: Cell<Duration>,
    /// Where only a listed drain binds, one that is gone or missing may still be sent to.
    only_listed_drains_bind: Cell<bool>,
    most: usize,
    open: Rc<Cell<usize>>,
    /// Connections of another process of this gateway.
    pub elsewhere: Cell<usize>,
    revision: Cell<u64>,
    /// Operators' words on hosts, by their numbers.
    words: RefCell<BTreeMap<u32, DrainCommand>>,
    /// Hosts that a later list than the own one has out of service, by its watcher's word, and its version.
    news: RefCell<Option<(u64, BTreeSet<u32>)>>,
    /// What is heard of hosts is tallied.
    tallied: Cell<bool>,
    on_list: Box<dyn Fn(Event)>,
}

/// What has come of an answer.
enum Come {
    /// All of it, and of that the row.
    Whole(Reply, Buffer),
    /// A row begins whose value is long: what stands before it, what has been read, and how many bytes the row has.
    Long(Reply, Buffer, Buffer, usize),
}

/// Why an answer did not come.
enum Broken {
    /// The connection ended or failed.
    Lost,
    /// Its client takes no more of it.
    Left,
    /// What came is not in the protocol.
    Garbled(&'static str),
}

impl Upstream {
    /// No hosts yet. Each list goes to the module through `on_list`.
    pub fn new(
        loaded: &PlatformSettings,
        most: usize,
        pool: Rc<Pool>,
        metrics: Rc<Metrics>,
        clock: Clock,
        on_list: Box<dyn Fn(Event)>,
    ) -> Self {
        let upstream = Upstream {
            hosts: RefCell::default(),
            ids: RefCell::default(),
            next: Cell::new(0),
            groups: RefCell::default(),
            zones: RefCell::new(loaded.zones.clone()),
            pool,
            metrics,
            clock,
            connect_timeout: Cell::default(),
            idle_for: Cell::default(),
            only_listed_drains_bind: Cell::default(),
            most,
            open: Rc::default(),
            elsewhere: Cell::new(0),
            revision: Cell::new(0),
            words: RefCell::default(),
            news: RefCell::default(),
            tallied: Cell::new(false),
            on_list,
        };
        upstream.update_settings(loaded);
        upstream
    }

    /// What the settings say holds from now on. The zone gets the number that it has here.
    pub fn update_settings(&self, loaded: &PlatformSettings) -> ZoneId {
        let s = &loaded.settings;
        self.connect_timeout.set(duration(s.limits.connect_timeout));
        self.idle_for
            .set(duration(loaded.idle_close).mul_f64(IDLE_SHARE));
        self.only_listed_drains_bind
            .set(s.rules.only_listed_drains_bind);
        let own = loaded
            .zones
            .iter()
            .nth(s.zone.0 as usize)
            .unwrap_or_default();
        ZoneId(self.zones.borrow_mut().number(own) as u32)
    }

    /// The list has named a host of this group, or there is no list yet.
    pub fn may_have_group(&self, group: GroupId) -> bool {
        let groups = self.groups.borrow();
        groups.is_empty() || groups.contains(&group)
    }

    /// The list as it stands.
    pub fn endpoint_list(&self) -> EndpointList {
        let hosts = self.hosts.borrow();
        let members = hosts
            .values()
            .filter(|h| h.gone.is_none())
            .map(|h| h.entry.clone())
            .collect();
        EndpointList {
            revision: self.revision.get(),
            complete: true,
            members,
        }
    }

    /// Its version.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Connections now.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// The number of a host that the list names.
    pub fn member_by_name(&self, name: &str) -> Option<MemberId> {
        self.ids.borrow().get(name).copied()
    }

    /// The hosts in service of a group.
    pub fn members_in_service(&self, group: GroupId) -> Vec<MemberId> {
        let hosts = self.hosts.borrow();
        let of = |h: &Host| h.ready && h.entry.cell == group.0;
        hosts
            .iter()
            .filter(|(_, h)| of(h))
            .map(|(&id, _)| id)
            .collect()
    }

    /// The groups that have any.
    pub fn groups_in_service(&self) -> Vec<i64> {
        let hosts = self.hosts.borrow();
        let groups: BTreeSet<i64> = hosts
            .values()
            .filter(|h| h.ready)
            .map(|h| h.entry.cell)
            .collect();
        groups.into_iter().collect()
    }

    /// What gateways call a host, and its group.
    pub fn fleet_host_id(&self, member: MemberId) -> Option<(u32, i64)> {
        self.hosts
            .borrow()
            .get(&member)
            .map(|h| (h.number, h.entry.cell))
    }

    /// The host in service that gateways call so, and its group; none where two have that number.
    pub fn member_by_fleet_id(&self, number: u32) -> Option<(MemberId, i64)> {
        let hosts = self.hosts.borrow();
        let mut found = hosts.iter().filter(|(_, h)| h.number == number && h.ready);
        let first = found.next().map(|(&id, h)| (id, h.entry.cell));
        first.filter(|_| found.next().is_none())
    }

    /// And its name.
    pub fn member_name(&self, member: MemberId) -> String {
        self.hosts
            .borrow()
            .get(&member)
            .map(|h| h.entry.id.clone())
            .unwrap_or_default()
    }

    /// Requests that are open at the host that gateways call so.
    pub fn requests_in_flight(&self, number: u32) -> usize {
        self.hosts
            .borrow()
            .values()
            .filter(|h| h.number == number)
            .map(|h| h.busy.get())
            .sum()
    }

    /// The name of the host that gateways call so; where the list has none, that number.
    pub fn host_name(&self, number: u32) -> String {
        let hosts = self.hosts.borrow();
        let host = hosts.values().find(|h| h.number == number);
        host.map_or_else(|| format!("host {number:06x}"), |h| h.entry.id.clone())
    }

    /// Whether another host of the same set would stay in service without this one.
    pub fn can_spare(&self, number: u32) -> bool {
        let hosts = self.hosts.borrow();
        let set = hosts
            .values()
            .find(|h| h.number == number)
            .map(|h| h.entry.cell);
        hosts
            .values()
            .any(|h| Some(h.entry.cell) == set && h.number != number && h.ready)
    }

    /// An operator's word holds from now on: nothing is sent that it rules out.
    pub fn apply_drain_command(&self, word: DrainCommand) {
        self.words.borrow_mut().insert(word.host, word);
        self.reconsider();
    }

    /// From now on what is heard of hosts is tallied.
    pub fn enable_reachability_reports(&self) {
        self.tallied.set(true);
    }

    /// An attempt or a probe ended.
    fn heard(&self, member: MemberId, outcome: Outcome, probe: bool) {
        if !self.tallied.get() {
            return;
        }
        let mut hosts = self.hosts.borrow_mut();
        let Some(heard) = hosts.get_mut(&member).map(|h| &mut h.heard) else {
            return;
        };
        let (spoke, served) = match outcome {
            Outcome::Ok | Outcome::Unsuitable => (true, true),
            Outcome::Error | Outcome::Full => (true, false),
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => (false, false),
            // It says nothing of the host.
            Outcome::Cancelled | Outcome::NotSent => return,
        };
        heard.at = Some(Instant::now());
        heard.failures = if spoke {
            0
        } else {
            heard.failures.saturating_add(1)
        };
        if !probe {
            heard.sent = heard.sent.saturating_add(1);
            heard.answered = heard.answered.saturating_add(u16::from(served));
        }
    }

    /// What was heard of the hosts of each zone since this was last asked.
    pub fn take_reachability(&self, zones: &[String]) -> Vec<SiteReachability> {
        let mut all = vec![SiteReachability::default(); zones.len()];
        for host in self.hosts.borrow_mut().values_mut() {
            let zone = zones.iter().position(|z| *z == host.entry.locality);
            let Some(reach) = zone.and_then(|z| all.get_mut(z)) else {
                continue;
            };
            reach.sent = reach
                .sent
                .saturating_add(std::mem::take(&mut host.heard.sent));
            reach.answered = reach
                .answered
                .saturating_add(std::mem::take(&mut host.heard.answered));
            if host.in_service() && host.heard.at.is_some_and(|at| at.elapsed() < HEARD) {
                reach.hosts = reach.hosts.saturating_add(1);
                reach.silent = reach
                    .silent
                    .saturating_add(u16::from(host.heard.failures >= SILENT));
            }
        }
        all
    }

    /// The sizes of the hosts of each zone that the list has in service, silent ones included.
    pub fn capacity_by_zone(&self, zones: &[String]) -> Vec<f64> {
        let hosts = self.hosts.borrow();
        let size = |zone: &String| {
            let of = hosts
                .values()
                .filter(|h| h.in_service() && h.entry.locality == *zone);
            of.map(|h| h.entry.size).sum()
        };
        zones.iter().map(size).collect()
    }

    /// The number of a zone in the decision module.
    pub fn zone_id(&self, name: &str) -> ZoneId {
        ZoneId(self.zones.borrow_mut().number(name) as u32)
    }

    /// Whoever watches the list for all has this version, with these hosts out of service. Until the own list is as new they
    /// are left alone.
    pub fn apply_watch_heartbeat(&self, revision: u64, out: &[u32]) {
        if revision > self.revision.get() {
            self.news
                .replace(Some((revision, out.iter().copied().collect())));
            self.reconsider();
        }
    }

    /// Hosts that the list has out of service, so many at most: those that it still names, and those gone of late.
    pub fn out_of_service(&self, most: usize) -> Vec<u32> {
        let hosts = self.hosts.borrow();
        hosts
            .values()
            .filter(|h| !h.in_service())
            .map(|h| h.number)
            .take(most)
            .collect()
    }

    /// Takes hosts out of service, or puts them back, as operators' words and a later list have it.
    fn reconsider(&self) {
        let words = self.words.borrow();
        let news = self.news.take();
        if words.is_empty() && news.is_none() {
            return;
        }
        let news = news.filter(|(revision, _)| *revision > self.revision.get());
        let mut sets: BTreeMap<i64, Vec<u32>> = BTreeMap::new();
        for host in self.hosts.borrow().values().filter(|h| h.in_service()) {
            sets.entry(host.entry.cell).or_default().push(host.number);
        }
        let out: BTreeSet<u32> = (sets.values())
            .flat_map(|set| {
                irisrouter_drain_coordination::taken_out(set, |h| words.get(&h).copied())
            })
            .chain(news.iter().flat_map(|(_, out)| out.iter().copied()))
            .collect();
        self.news.replace(news);
        let mut changed = Vec::new();
        for host in self.hosts.borrow_mut().values_mut() {
            if host.out != out.contains(&host.number) {
                host.out = !host.out;
                // Danger: one that the list has out of service, too, would stay out once it is back there.
                changed.extend(host.in_service().then(|| host.entry.clone()));
            }
        }
        if !changed.is_empty() {
            self.merge(&EndpointList {
                revision: self.revision.get(),
                complete: false,
                members: changed,
            });
        }
    }

    /// Takes a list: from now on nothing is sent that it rules out.
    pub fn apply_endpoint_list(&self, list: &EndpointList) {
        self.merge(list);
        self.reconsider();
    }

    fn merge(&self, list: &EndpointList) {
        let mut hosts = self.hosts.borrow_mut();
        let mut ids = self.ids.borrow_mut();
        let mut zones = self.zones.borrow_mut();
        self.revision.set(list.revision);
        let mut entries = Vec::with_capacity(list.members.len());
        for e in &list.members {
            if e.phase == EndpointPhase::Terminated && !ids.contains_key(&e.id) {
                continue;
            }
            self.groups.borrow_mut().insert(GroupId(e.cell));
            let member = *ids.entry(e.id.clone()).or_insert_with(|| {
                self.next.set(self.next.get() + 1);
                MemberId(self.next.get() - 1)
            });
            let host = hosts.entry(member).or_insert_with(|| Host {
                number: message::number(&e.id),
                entry: e.clone(),
                ready: false,
                epoch: 0,
                idle: Vec::new(),
                gone: None,
                out: false,
                busy: Rc::default(),
                heard: Heard::default(),
            });
            host.ready = match e.phase {
                EndpointPhase::InService => !host.out,
                EndpointPhase::Terminating => false,
                // One that was draining before it went stays closed.
                EndpointPhase::Terminated => host.ready && self.only_listed_drains_bind.get(),
            };
            let last = &host.entry;
            let moved = last.host_port != e.host_port || last.up_since_ms != e.up_since_ms;
            host.epoch += u64::from(moved || e.phase == EndpointPhase::Terminated);
            host.entry = e.clone();
            if !host.ready || host.idle.first().is_some_and(|c| c.epoch != host.epoch) {
                host.idle.clear();
            }
            entries.push(Endpoint {
                member,
                group: GroupId(e.cell),
                zone: ZoneId(zones.number(&e.locality) as u32),
                state: match e.phase {
                    EndpointPhase::InService if host.out => EndpointState::Draining,
                    EndpointPhase::InService => EndpointState::Ready,
                    EndpointPhase::Terminating => EndpointState::Draining,
                    EndpointPhase::Terminated => EndpointState::Removed,
                },
                primary: e.access.as_deref() == Some("writer"),
                size: e.size,
                started: (e.up_since_ms > 0.0)
                    .then_some((e.up_since_ms * NS_PER_MS as f64) as Nanos),
            });
        }
        for (member, host) in hosts.iter_mut() {
            let listed = entries
                .iter()
                .find(|e| e.member == *member)
                .map(|e| e.state);
            if listed.map_or(list.complete, |l| l == EndpointState::Removed) {
                host.ready &= self.only_listed_drains_bind.get();
                host.gone = host.gone.or_else(|| Some(Instant::now()));
                host.idle.clear();
            } else if listed.is_some() {
                host.gone = None;
            }
        }
        drop((hosts, ids, zones));
        (self.on_list)(Event::EndpointList {
            complete: list.complete,
            endpoints: entries,
        });
    }

    /// Sends a statement to a host and waits for its answer, so long at most; nothing, where it is not wanted any more once
    /// a connection is there. A long answer is handed out once it has begun, and from then on takes as long as both sides do.
    pub async fn attempt(
        &self,
        member: MemberId,
        statement: &Statement,
        limit: Nanos,
        wanted: impl Fn() -> bool,
        begin: impl FnOnce(StreamedAnswer),
    ) -> AttemptResult {
        let end = Instant::now() + duration(limit);
        let ended = self.try_once(member, statement, end, wanted, begin).await;
        self.metrics.attempt(ended.outcome);
        self.heard(member, ended.outcome, false);
        ended
    }

    async fn try_once(
        &self,
        member: MemberId,
        statement: &Statement,
        end: Instant,
        wanted: impl Fn() -> bool,
        begin: impl FnOnce(StreamedAnswer),
    ) -> AttemptResult {
        let connection = match self.connection(member, end).await {
            Ok(c) => c,
            Err(outcome) => return outcome.into(),
        };
        // Danger: the list may have changed while the connection came up, or the client may have left, and the first byte
        // counts.
        let Some(_busy) = self.busy_at(member).filter(|_| wanted()) else {
            self.check_in(member, connection);
            return Outcome::NotSent.into();
        };
        let mut out = self.pool.take();
        let left = end
            .saturating_duration_since(Instant::now())
            .as_millis()
            .max(1)
            .to_string();
        if !out.room(statement.text.len() + left.len() + 16) {
            self.check_in(member, connection);
            return Outcome::NotSent.into();
        }
        pg::put(&mut out, b'Q', |b| {
            b.extend_from_slice(&statement.text[..statement.wait_at.start]);
            b.extend_from_slice(left.as_bytes());
            b.extend_from_slice(&statement.text[statement.wait_at.end..]);
            b.extend_from_slice(&[0]);
        });
        let (reply, row) = match self
            .exchange(member, connection, out, end, Some(begin))
            .await
        {
            Ok(answer) => answer,
            Err(outcome) => return outcome.into(),
        };
        let outcome = match reply.error.as_deref() {
            None if reply.served() => Outcome::Ok,
            Some(code::READ_ONLY | code::SNAPSHOT_TOO_OLD) => Outcome::Unsuitable,
            Some(code::TOO_MANY_CONNECTIONS) => Outcome::Full,
            _ => Outcome::Error,
        };
        AttemptResult {
            outcome,
            status: note(&reply, self.clock.now()),
            row: row.filter(|_| outcome == Outcome::Ok),
        }
    }

    /// One more request that is open at a host, where something new may be sent there at this moment.
    fn busy_at(&self, member: MemberId) -> Option<Slot> {
        self.hosts
            .borrow()
            .get(&member)
            .filter(|h| h.ready)
            .map(|h| Slot::one_more(&h.busy))
    }

    /// Writes a query and reads its answer, or passes it on where it is long and `begin` takes such. The connection is
    /// used again only after a whole answer.
    async fn exchange(
        &self,
        member: MemberId,
        mut connection: Connection,
        mut buffer: Buffer,
        end: Instant,
        begin: Option<impl FnOnce(StreamedAnswer)>,
    ) -> Result<(Reply, Option<Buffer>), Outcome> {
        // Until its last byte is written, it can't have run.
        if !matches!(
            timeout_at(end, connection.stream.write_all(&buffer)).await,
            Ok(Ok(()))
        ) {
            return Err(Outcome::ConnectFailed);
        }
        buffer.clear();
        let row = self.pool.take();
        let reading = self.read_reply(
            &mut connection,
            Reply::default(),
            buffer,
            row,
            begin.is_some(),
        );
        let come = timeout_at(end, reading)
            .await
            .map_err(|_| Outcome::TimedOut)?;
        let answer = match (come, begin) {
            (Ok(Come::Whole(reply, row)), _) => Ok((reply, Some(row))),
            (Ok(Come::Long(reply, head, read, length)), Some(begin)) => self
                .pass_on(&mut connection, reply, head, read, length, begin)
                .await
                .map(|reply| (reply, None)),
            (Ok(Come::Long(..)), None) => {
                Err(Broken::Garbled("a long value that nobody asked for"))
            }
            (Err(why), _) => Err(why),
        };
        match answer {
            Err(Broken::Lost) => Err(Outcome::Reset),
            Err(Broken::Left) => Err(Outcome::Cancelled),
            Err(Broken::Garbled(why)) => {
                let hosts = self.hosts.borrow();
                log!(
                    "{}: {why}",
                    hosts.get(&member).map_or("a former host", |h| &h.entry.id)
                );
                Err(Outcome::Error)
            }
            Ok(answer) => {
                if answer.0.ready {
                    self.check_in(member, connection);
                }
                Ok(answer)
            }
        }
    }

    /// Passes a long value on while it comes. Its client's pace is the host's: no more is read than fits in between.
    async fn pass_on(
        &self,
        c: &mut Connection,
        mut reply: Reply,
        mut head: Buffer,
        mut read: Buffer,
        length: usize,
        begin: impl FnOnce(StreamedAnswer),
    ) -> Result<Reply, Broken> {
        reply.passed_row().map_err(|e| Broken::Garbled(e.0))?;
        let here = length.min(read.len());
        if !head.append(&read[..here]) {
            return Err(Broken::Garbled("no room for its answer"));
        }
        read.advance(here);
        let (pieces, rest) = mpsc::channel(PIECES);
        begin(StreamedAnswer { head, rest });
        let mut left = length - here;
        while left > 0 {
            let mut piece = self.pool.take();
            let reading = timeout(SILENCE, c.stream.read_buf(&mut (&mut *piece).limit(left))).await;
            match reading {
                Ok(Ok(n)) if n > 0 => left -= n,
                _ => return Err(Broken::Lost),
            }
            pieces
                .send(StreamChunk::Data(piece))
                .await
                .map_err(|_| Broken::Left)?;
        }
        let tail = self.read_reply(c, reply, read, self.pool.take(), false);
        match timeout(SILENCE, tail).await.map_err(|_| Broken::Lost)?? {
            Come::Whole(reply, tail) if reply.served() => {
                pieces
                    .send(StreamChunk::Last(tail))
                    .await
                    .map_err(|_| Broken::Left)?;
                Ok(reply)
            }
            _ => Err(Broken::Garbled("an error behind its row")),
        }
    }

    /// A connection has so long to come up.
    pub fn connect_timeout(&self) -> Duration {
        self.connect_timeout.get()
    }

    /// Asks a host for its load report.
    pub async fn health_check(&self, member: MemberId) -> Event {
        self.health_check_with_fence(member, None).await.0
    }

    /// Likewise, with the duty and the epoch under which this gateway asks; also whether the host has seen a later one.
    pub async fn health_check_with_fence(
        &self,
        member: MemberId,
        fence: Option<(u64, u64)>,
    ) -> (Event, bool) {
        increment(&self.metrics.health_checks);
        let start = Instant::now();
        let end = start + self.connect_timeout.get();
        let (outcome, report, fenced) = self.probe_once(member, fence, end).await;
        // A probe that waited its whole time for a connection has met silence; to the module that is no word of the host.
        let silence = outcome == Outcome::NotSent && start.elapsed() >= self.connect_timeout.get();
        self.heard(
            member,
            if silence { Outcome::TimedOut } else { outcome },
            true,
        );
        (
            Event::HealthChecked {
                member,
                outcome,
                elapsed: nanoseconds(start.elapsed()),
                report,
            },
            fenced,
        )
    }

    async fn probe_once(
        &self,
        member: MemberId,
        fence: Option<(u64, u64)>,
        end: Instant,
    ) -> (Outcome, Option<LoadReport>, bool) {
        let answer = async {
            let connection = self.connection(member, end).await?;
            let Some(_busy) = self.busy_at(member) else {
                self.check_in(member, connection);
                return Err(Outcome::NotSent);
            };
            let mut out = self.pool.take();
            match fence {
                None => pg::put_query(&mut out, PROBE),
                Some((duty, epoch)) => {
                    let text = format!("/* duty={duty},epoch={epoch} */");
                    pg::put_query(&mut out, &[PROBE, b" ", text.as_bytes()].concat());
                }
            }
            self.exchange(member, connection, out, end, None::<fn(StreamedAnswer)>)
                .await
        };
        let reply = match answer.await {
            Ok((reply, _)) => reply,
            Err(outcome) => return (outcome, None, false),
        };
        match reply.error.as_deref() {
            None if reply.served() => (
                Outcome::Ok,
                reply
                    .value
                    .as_deref()
                    .map(|text| report(text, self.clock.now())),
                false,
            ),
            Some(code::TOO_MANY_CONNECTIONS | code::CANNOT_CONNECT_NOW) => {
                (Outcome::Full, None, false)
            }
            other => (
                Outcome::Error,
                None,
                fence.is_some() && other == Some(code::SERIALIZATION_FAILURE),
            ),
        }
    }

    /// A warm connection if there is one, else a new one.
    async fn connection(&self, member: MemberId, end: Instant) -> Result<Connection, Outcome> {
        while let Some(c) = self.check_out(member) {
            if usable(&c) {
                return Ok(c);
            }
        }
        let start = Instant::now();
        let slot = self.slot().ok_or(Outcome::NotSent)?;
        let (address, epoch) = {
            let hosts = self.hosts.borrow();
            // What was decided on before a drain opens nothing behind it.
            let host = hosts
                .get(&member)
                .filter(|h| h.ready)
                .ok_or(Outcome::NotSent)?;
            (host.entry.host_port, host.epoch)
        };
        let up_by = end.min(start + self.connect_timeout.get());
        let coming_up = async {
            let mut stream = TcpStream::connect(address)
                .await
                .map_err(|_| Outcome::ConnectFailed)?;
            stream
                .set_nodelay(true)
                .map_err(|_| Outcome::ConnectFailed)?;
            let mut buffer = self.pool.take();
            pg::put_startup(&mut buffer, USER, DATABASE);
            stream
                .write_all(&buffer)
                .await
                .map_err(|_| Outcome::ConnectFailed)?;
            buffer.clear();
            let mut c = Connection {
                stream,
                idle_since: start,
                epoch,
                _slot: slot,
            };
            let row = self.pool.take();
            let reading = self
                .read_reply(&mut c, Reply::default(), buffer, row, false)
                .await;
            let Ok(Come::Whole(reply, _)) = reading else {
                return Err(Outcome::ConnectFailed);
            };
            match reply.error.as_deref() {
                None if reply.ready => Ok(c),
                Some(code::TOO_MANY_CONNECTIONS) => Err(Outcome::Full),
                _ => Err(Outcome::ConnectFailed),
            }
        };
        match timeout_at(up_by, coming_up).await {
            Ok(Ok(c)) => {
                increment(&self.metrics.connections.upstream_opened);
                Ok(c)
            }
            Ok(Err(outcome)) => Err(outcome),
            // The request's time was over first: that says nothing of the host.
            Err(_) if end < start + self.connect_timeout.get() => Err(Outcome::NotSent),
            Err(_) => Err(Outcome::ConnectFailed),
        }
    }

    /// A place for one more connection; at the edge, that of the one that has been idle longest.
    fn slot(&self) -> Option<Slot> {
        while self.open.get() + self.elsewhere.get() >= self.most {
            if !self.retire() {
                return None;
            }
        }
        Some(Slot::one_more(&self.open))
    }

    /// Closes the connection that has been idle longest, if there is one.
    fn retire(&self) -> bool {
        let mut hosts = self.hosts.borrow_mut();
        let idle = hosts.values_mut().filter(|h| !h.idle.is_empty());
        let oldest = idle.min_by_key(|h| h.idle[0].idle_since);
        oldest.map(|host| host.idle.remove(0)).is_some()
    }

    /// The connection used last of those that have rested: it is the warmest, and the others can grow old.
    fn check_out(&self, member: MemberId) -> Option<Connection> {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.get_mut(&member)?;
        let (idle_for, now) = (self.idle_for.get(), Instant::now());
        // They stand in the order in which they came back.
        let rested = host.idle.iter().rposition(|c| now - c.idle_since >= REST)?;
        Some(host.idle.remove(rested)).filter(|c| now - c.idle_since < idle_for)
    }

    fn check_in(&self, member: MemberId, mut c: Connection) {
        let mut hosts = self.hosts.borrow_mut();
        let Some(host) = hosts.get_mut(&member) else {
            return;
        };
        if host.ready && host.epoch == c.epoch {
            c.idle_since = Instant::now();
            host.idle.push(c);
        }
    }

    /// Retires idle connections before their hosts do, and those that are closed already. Forgets hosts that have
    /// been gone for a while. Danger: where they are replaced all day, they would be kept for ever.
    pub fn close_idle(&self) {
        while self.open.get() + self.elsewhere.get() > self.most && self.retire() {}
        let (mut hosts, mut ids) = (self.hosts.borrow_mut(), self.ids.borrow_mut());
        let gone = |h: &Host| !h.ready && h.gone.is_some_and(|t| t.elapsed() >= KEPT_GONE);
        ids.retain(|_, member| hosts.get(member).is_some_and(|h| !gone(h)));
        hosts.retain(|_, h| !gone(h));
        for host in hosts.values_mut() {
            host.idle
                .retain(|c| c.idle_since.elapsed() < self.idle_for.get() && usable(c));
        }
    }

    /// Reads messages up to ReadyForQuery, up to the end after an error, or up to a long value where one may come. The
    /// buffer holds what has come; what of it belongs to the row is returned in a buffer of its own.
    async fn read_reply(
        &self,
        c: &mut Connection,
        mut reply: Reply,
        mut buffer: Buffer,
        mut row: Buffer,
        long: bool,
    ) -> Result<Come, Broken> {
        let garbled = |e: pg::Malformed| Broken::Garbled(e.0);
        loop {
            while !(long && pg::unclear(&buffer)) {
                if let Some(length) = pg::long_row(&buffer).map_err(garbled)?.filter(|_| long) {
                    return Ok(Come::Long(reply, row, buffer, length));
                }
                let Some(f) = pg::frame(&buffer).map_err(garbled)? else {
                    break;
                };
                let whole = f.body.end;
                if reply.take(f.tag, &buffer[f.body]).map_err(garbled)?
                    && !row.append(&buffer[..whole])
                {
                    return Err(Broken::Garbled("no room for its answer"));
                }
                buffer.advance(whole);
                if reply.ready {
                    // Bytes beyond the answer belong to no request: such a connection is not used again.
                    reply.ready = buffer.is_empty();
                    return Ok(Come::Whole(reply, row));
                }
            }
            if !buffer.room(buffer.len().clamp(1024, pg::LARGEST)) {
                return Err(Broken::Garbled("no room for its answer"));
            }
            match c.stream.read_buf(&mut *buffer).await {
                Ok(n) if n > 0 => {}
                // A fatal error or a whole row needs no more.
                _ if reply.error.is_some() || reply.served() => return Ok(Come::Whole(reply, row)),
                _ => return Err(Broken::Lost),
            }
        }
    }
}

/// An idle connection on which nothing has come, not even its end.
fn usable(c: &Connection) -> bool {
    matches!(read_now(&c.stream, &mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

fn note(reply: &Reply, now: Nanos) -> Option<ReplicationStatus> {
    let role = match reply.role? {
        pg::HostRole::Writer => Role::Primary,
        pg::HostRole::Reader => Role::Replica,
    };
    Some(ReplicationStatus {
        role,
        position: reply.position_ms.and_then(|ms| position(ms, now)),
    })
}

/// A position in Unix milliseconds, unless it can't be true.
fn position(ms: i64, now: Nanos) -> Option<Nanos> {
    ms.checked_mul(NS_PER_MS)
        .filter(|&p| p > 0 && p <= now.saturating_add(AHEAD))
}

/// A load report, without what can't be true. Its position is in Unix seconds, with the milliseconds behind the
/// point.
fn report(text: &str, now: Nanos) -> LoadReport {
    let mut r = LoadReport::default();
    for (name, value) in pg::report(text) {
        match name {
            // Down to the millisecond: a position rounded up would claim commits that are not there yet.
            "x0" => r.position = position((value * 1_000.0 + 0.001).floor() as i64, now),
            "x1" if value == 0.0 || value == 1.0 => r.primary = Some(value == 1.0),
            "util" | "load_share" if (0.0..=MOST_IN_USE).contains(&value) => {
                r.cores_in_use = Some(value)
            }
            "inflight" | "queue" if (0.0..=MOST_HELD).contains(&value) => {
                r.in_flight = r.in_flight.or(Some(value))
            }
            _ => {}
        }
    }
    r
}

#[cfg(test)]
#[path = "../../../tests/unit/reports.rs"]
mod tests;
