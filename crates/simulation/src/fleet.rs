//! The hosts and sets of a fleet, with the faults that strike them, as one machine of events.
//!
//! Its owner hands in what gateways do and the time, asks when something happens next, and takes what comes out, in
//! order. Events of one moment happen in the order in which they were planned: the same inputs give the same outputs.

use crate::endpoint_list::{EndpointList, ListEntry, ListedState, Notification};
use crate::event_queue::EventQueue;
use crate::faults::{self, PlannedFault};
use crate::host::{Host, Report, State};
use crate::invariants::InvariantAudit;
use crate::replication_log::{LogApplier, PrimarySignal, ReplicationLog, Source};
use crate::rng::{Rng, Stream};
use crate::spec::{Checks, Day, Need, Spec, ValueOrRange};
use crate::{ms, seconds, GatewayId, HostId, Ns, SetId, MS};
use rustc_hash::FxHashMap;
use std::collections::{HashMap, VecDeque};

/// A set remembers keys for so many windows. Danger: a day's keys would fill memory.
const REMEMBERED: Ns = 20;
/// A read that waits for its copy to catch up looks again this often.
const LOOK_AGAIN: Ns = 2 * MS;
/// No member can take over: looked for again after this time.
const ELECT_AGAIN: Ns = 500 * MS;
/// A host that has drained is started anew after this time.
const REPLACED_IN: Ns = 1000 * MS;

/// A statement as a host gets it.
#[derive(Clone, Debug)]
pub struct Query {
    /// Names it to its sender.
    pub ticket: u64,
    /// Who sent it.
    pub gateway: GatewayId,
    /// Its class, by its place in the settings.
    pub class: usize,
    /// Its work on a core.
    pub work: Ns,
    /// Its idempotency key, on a write.
    pub key: Option<u64>,
    /// The commit that its session has to see; 0 for none.
    pub mark: Ns,
    /// When the gateway sent it.
    pub sent: Ns,
    /// When the request came to the gateway.
    pub arrived: Ns,
}

/// What a host answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A row.
    Row,
    /// An error; it may have had an effect.
    Error,
    /// Turned away unseen.
    Full,
    /// Turned away untouched: the wrong role, or too far behind.
    Miss,
}

/// What an answer tells of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// It is the primary.
    pub primary: bool,
    /// Up to when it has applied all commits; of a write that went through, its commit.
    pub position: Ns,
}

/// What became of something handed to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The host has it.
    Accepted,
    /// The connection is reset, or refused.
    Reset,
    /// The host does not answer, neither now nor later.
    NoResponse,
}

/// What a probe finds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeResult {
    /// A report.
    Report(Report),
    /// No connection.
    Refused,
    /// The host does not answer, neither now nor later.
    NoResponse,
}

/// What comes out of a fleet.
#[derive(Clone, Debug)]
pub enum Output {
    /// A host answers.
    Answered {
        /// What.
        ticket: u64,
        /// To whom.
        gateway: GatewayId,
        /// Who.
        host: HostId,
        /// How.
        answer: Answer,
        /// What it tells of itself.
        note: ReplicaStatus,
        /// Work that it did for it.
        work: Ns,
    },
    /// A connection is up.
    Connected {
        /// Which.
        ticket: u64,
        /// To whom.
        host: HostId,
    },
    /// All connections to a host are reset.
    ConnectionsReset {
        /// Which.
        host: HostId,
    },
    /// A gateway receives a changed entry of the host list.
    ListUpdated {
        /// Who.
        gateway: GatewayId,
        /// What.
        entry: ListEntry,
    },
    /// A gateway is killed, or starts again.
    Gateway {
        /// Which.
        gateway: GatewayId,
        /// It starts.
        up: bool,
    },
    /// This part of the datagrams is lost from now on.
    DatagramsLost(f64),
    /// A fault begins or ends.
    Fault {
        /// Its place in the settings.
        index: usize,
        /// It begins.
        begins: bool,
        /// The hosts that it strikes.
        hosts: Vec<HostId>,
    },
    /// A set has another primary, or none.
    Primary {
        /// Which set.
        set: SetId,
        /// Its primary.
        host: Option<HostId>,
    },
    /// A cold host was sent too much work and its process died.
    HostOverloaded {
        /// Which.
        host: HostId,
    },
}

#[derive(Clone, Debug)]
enum Event {
    Finish { host: HostId, stamp: u64 },
    Refresh { host: HostId },
    LookAgain { job: u64, until: Ns },
    GiveUp { set: SetId, term: u32 },
    Elect { set: SetId, term: u32 },
    Begin(usize),
    End(usize),
    Tell(Notification),
    Restart { host: HostId, epoch: u32 },
    Gateway { gateway: GatewayId, up: bool },
}

/// A keyed write that a set remembers: when it first came, and its commit once it is applied.
#[derive(Clone, Debug)]
struct Remembered {
    came: Ns,
    commit: Option<Ns>,
}

struct ReplicaSet {
    members: Vec<HostId>,
    primary: Option<HostId>,
    /// Since when there is a primary that speaks; where there is none, positions stand still where they stood.
    since: Option<Ns>,
    stood: Ns,
    /// Grows with each change of the primary.
    term: u32,
    /// Times that were drawn for it.
    draws: u32,
    log: ReplicationLog,
    keys: FxHashMap<u64, Vec<Remembered>>,
    key_order: VecDeque<(Ns, u64)>,
}

impl ReplicaSet {
    fn source<'a>(&'a self, day: &Day) -> Source<'a> {
        let primary_signal = PrimarySignal {
            since: self.since,
            stood: self.stood,
            ship: day.ship,
        };
        Source {
            log: &self.log,
            primary_signal,
            cost: day.apply,
        }
    }
}

enum JobKind {
    Query {
        query: Query,
        /// The place of its key among those remembered.
        key_at: usize,
        /// Commits that its data held when it began, and those that it needed.
        data: (u64, u64),
        /// It stops its host from applying the log.
        blocks: bool,
    },
    Connect {
        ticket: u64,
    },
    Probe,
}

struct Job {
    host: HostId,
    kind: JobKind,
}

/// The fleet.
pub struct Fleet {
    spec: Spec,
    day: Day,
    plan: Vec<PlannedFault>,
    start: Ns,
    hosts: Vec<Host>,
    sets: Vec<ReplicaSet>,
    jobs: FxHashMap<u64, Job>,
    next_job: u64,
    stamps: Vec<u64>,
    /// What has come to a host that hangs.
    stalled: HashMap<HostId, Vec<Query>>,
    queue: EventQueue<Event>,
    list: EndpointList,
    invariants: InvariantAudit,
    rng: Rng,
    seed: u64,
    struck: HashMap<usize, Vec<HostId>>,
    loss: f64,
    out: Vec<Output>,
}

impl Fleet {
    /// A fleet at the start of its day: all hosts warm, each set's first member its primary.
    pub fn new(spec: &Spec, seed: u64, start: Ns) -> Self {
        let day = Day::draw(spec, seed);
        let plan = faults::plan(spec, seed);
        let count = spec.set_count();
        let mut sets: Vec<ReplicaSet> = Vec::new();
        for _ in 0..count {
            sets.push(ReplicaSet {
                members: Vec::new(),
                primary: None,
                since: Some(start),
                stood: start,
                term: 0,
                draws: 0,
                log: ReplicationLog::default(),
                keys: FxHashMap::default(),
                key_order: VecDeque::new(),
            });
        }
        let tip = crate::host::tip(spec.rules.tip_s);
        let mut hosts = Vec::new();
        for i in 0..spec.hosts.count {
            let (id, set) = (HostId(i), SetId(i / spec.sets.members % count));
            let members = &mut sets[set.0 as usize];
            members.members.push(id);
            members.primary.get_or_insert(id);
            let applier = LogApplier::new(start, members.source(&day));
            let mut host = Host::new(id, set, &spec.hosts, start, applier, tip);
            host.retune(&spec.hosts, start);
            hosts.push(host);
        }
        let known = hosts.iter().map(|h| (h.id, h.set));
        let list = EndpointList::new(&spec.list, seed, spec.gateways, known);
        let mut fleet = Fleet {
            stamps: vec![0; hosts.len()],
            day,
            start,
            hosts,
            sets,
            jobs: FxHashMap::default(),
            next_job: 0,
            stalled: HashMap::new(),
            queue: EventQueue::default(),
            list,
            invariants: InvariantAudit::default(),
            rng: Rng::new(seed, Stream::Fleet),
            seed,
            struck: HashMap::new(),
            loss: spec.net.datagram_loss,
            out: Vec::new(),
            plan,
            spec: spec.clone(),
        };
        for i in 0..fleet.hosts.len() {
            // Hosts make their reports each at its own time.
            let first = start + (fleet.rng.unit() * fleet.day.report_every as f64) as Ns;
            fleet.refresh(start, HostId(i as u32));
            fleet.push(
                first,
                Event::Refresh {
                    host: HostId(i as u32),
                },
            );
        }
        for (i, p) in fleet.plan.clone().into_iter().enumerate() {
            fleet.push(start + p.from, Event::Begin(i));
            fleet.push(start + p.until, Event::End(i));
            for (gateway, down, up) in p.waves {
                fleet.push(start + down, Event::Gateway { gateway, up: false });
                fleet.push(start + up, Event::Gateway { gateway, up: true });
            }
        }
        fleet
    }

    // ---- What its owner may see ----

    /// The day that was drawn.
    pub fn day(&self) -> &Day {
        &self.day
    }

    /// The faults of the day.
    pub fn plan(&self) -> &[PlannedFault] {
        &self.plan
    }

    /// The audit.
    pub fn invariants(&self) -> &InvariantAudit {
        &self.invariants
    }

    /// The list.
    pub fn list(&self) -> &EndpointList {
        &self.list
    }

    /// The hosts.
    pub fn hosts(&self) -> &[Host] {
        &self.hosts
    }

    /// A host.
    pub fn host(&self, host: HostId) -> &Host {
        &self.hosts[host.0 as usize]
    }

    /// The members of a set.
    pub fn members(&self, set: SetId) -> &[HostId] {
        &self.sets[set.0 as usize].members
    }

    /// A set's primary, while it has one that speaks.
    pub fn primary(&self, set: SetId) -> Option<HostId> {
        let set = &self.sets[set.0 as usize];
        set.primary.filter(|_| set.since.is_some())
    }

    /// The part of the datagrams that is lost now.
    pub fn datagram_loss(&self) -> f64 {
        self.loss
    }

    /// Whether a gateway reaches a host at all.
    pub fn reaches(&self, gateway: GatewayId, host: HostId) -> bool {
        !self.struck.iter().any(|(&i, hosts)| {
            let p = &self.plan[i];
            p.fault.cut_off.is_some() && p.cut.contains(&gateway) && hosts.contains(&host)
        })
    }

    /// Whether datagrams of one gateway may reach another at all.
    pub fn hears(&self, from: GatewayId, to: GatewayId) -> bool {
        !self.struck.keys().any(|&i| {
            let p = &self.plan[i];
            p.fault.split.is_some() && p.cut.contains(&from) != p.cut.contains(&to)
        })
    }

    /// How far a host has applied its set's log, in truth.
    pub fn position(&mut self, now: Ns, host: HostId) -> Ns {
        let h = &mut self.hosts[host.0 as usize];
        let set = &self.sets[h.set.0 as usize];
        if set.primary == Some(host) && set.since.is_some() {
            return now;
        }
        h.applier.position(now, set.source(&self.day))
    }

    // ---- What gateways do ----

    /// A connection is asked for. When it is up, [`Output::Connected`] tells.
    pub fn connect(&mut self, now: Ns, gateway: GatewayId, host: HostId, ticket: u64) -> Delivery {
        if !self.reaches(gateway, host) {
            return Delivery::NoResponse;
        }
        let h = &mut self.hosts[host.0 as usize];
        match h.state {
            State::Vanished | State::Hung => return Delivery::NoResponse,
            State::Down => return Delivery::Reset,
            State::Up if h.connections >= self.spec.hosts.connections => return Delivery::Reset,
            State::Up => {}
        }
        h.connections += 1;
        let work = self.day.connect_work;
        self.offer(now, host, work);
        if self.hosts[host.0 as usize].state != State::Up {
            return Delivery::Reset;
        }
        self.work(now, host, work, JobKind::Connect { ticket });
        Delivery::Accepted
    }

    /// A connection of a host's earlier or present process is closed.
    pub fn close(&mut self, now: Ns, host: HostId, epoch: u32) {
        let h = &mut self.hosts[host.0 as usize];
        if h.epoch == epoch && h.connections > 0 {
            h.connections -= 1;
            h.retune(&self.spec.hosts, now);
            self.plan_finish(now, host);
        }
    }

    /// A probe: its report, at once. It costs the host work.
    pub fn probe(&mut self, now: Ns, gateway: GatewayId, host: HostId) -> ProbeResult {
        if !self.reaches(gateway, host) {
            return ProbeResult::NoResponse;
        }
        match self.hosts[host.0 as usize].state {
            State::Vanished | State::Hung => return ProbeResult::NoResponse,
            State::Down => return ProbeResult::Refused,
            State::Up => {}
        }
        let work = self.day.probe_work;
        self.offer(now, host, work);
        if self.hosts[host.0 as usize].state != State::Up {
            return ProbeResult::Refused;
        }
        self.work(now, host, work, JobKind::Probe);
        ProbeResult::Report(self.hosts[host.0 as usize].report)
    }

    /// A statement comes, on a connection of this epoch.
    pub fn query(&mut self, now: Ns, host: HostId, epoch: u32, query: Query) -> Delivery {
        if let Some(told) = self.list.told(query.gateway, host) {
            let grace = ms(self.spec.rules.drain_grace_ms);
            self.invariants
                .sent(query.sent, query.gateway, host, told, grace);
        }
        if !self.reaches(query.gateway, host) {
            return Delivery::NoResponse;
        }
        let h = &self.hosts[host.0 as usize];
        match h.state {
            State::Vanished => Delivery::NoResponse,
            State::Down => Delivery::Reset,
            _ if h.epoch != epoch => Delivery::Reset,
            State::Hung => {
                self.stalled.entry(host).or_default().push(query);
                Delivery::NoResponse
            }
            State::Up => self.take(now, host, query),
        }
    }

    fn take(&mut self, now: Ns, host: HostId, query: Query) -> Delivery {
        self.offer(now, host, query.work);
        let h = &self.hosts[host.0 as usize];
        if h.state != State::Up {
            return Delivery::Reset;
        }
        if h.draining || h.refusing {
            self.answer(now, host, &query, Answer::Full, 0);
            return Delivery::Accepted;
        }
        let set = &mut self.sets[h.set.0 as usize];
        let primary = set.primary == Some(host) && set.since.is_some();
        let write = self.spec.classes[query.class].need == Need::Write;
        if write && !primary {
            self.answer(now, host, &query, Answer::Miss, 0);
            return Delivery::Accepted;
        }
        let mut key_at = 0;
        if let Some(key) = query.key.filter(|_| write) {
            let window = seconds(self.spec.sets.window_s);
            let known = set.keys.entry(key).or_default();
            // A repeat within the window of the first one is dropped; later it is a write like any other.
            if known.last().is_none_or(|k| now > k.came + window) {
                known.push(Remembered {
                    came: now,
                    commit: None,
                });
                set.key_order.push_back((now, key));
            }
            key_at = known.len() - 1;
            while set
                .key_order
                .front()
                .is_some_and(|k| k.0 + window * REMEMBERED < now)
            {
                if let Some((_, old)) = set.key_order.pop_front() {
                    if set.keys.get(&old).is_some_and(|k| {
                        k.last().is_some_and(|k| k.came + window * REMEMBERED < now)
                    }) {
                        set.keys.remove(&old);
                    }
                }
            }
        }
        let kind = JobKind::Query {
            query,
            key_at,
            data: (0, 0),
            blocks: false,
        };
        self.next_job += 1;
        self.jobs.insert(self.next_job, Job { host, kind });
        let wait = match self.spec.hosts.checks {
            Checks::Wait => ms(self.spec.hosts.wait_ms),
            Checks::Refuse | Checks::None => 0,
        };
        self.admit(now, self.next_job, now + wait, true);
        Delivery::Accepted
    }

    /// A read whose data are recent enough gets a slot or waits for one; another one waits to be, or is turned away.
    fn admit(&mut self, now: Ns, job: u64, until: Ns, first: bool) {
        let Some(Job {
            host,
            kind: JobKind::Query { query, .. },
        }) = self.jobs.get(&job)
        else {
            return;
        };
        let (host, query) = (*host, query.clone());
        if !first {
            self.hosts[host.0 as usize].lagging -= 1;
        }
        let (_, needed) = self.data(now, host, &query);
        if self.spec.hosts.checks != Checks::None && self.position(now, host) < needed {
            if now >= until {
                self.jobs.remove(&job);
                self.answer(now, host, &query, Answer::Miss, 0);
            } else {
                self.hosts[host.0 as usize].lagging += 1;
                self.push(
                    (now + LOOK_AGAIN).min(until),
                    Event::LookAgain { job, until },
                );
            }
            return;
        }
        let h = &mut self.hosts[host.0 as usize];
        if h.running < self.spec.hosts.slots {
            self.begin(now, job);
        } else if h.waiting.len() < self.spec.hosts.room as usize {
            h.waiting.push_back(job);
            h.retune(&self.spec.hosts, now);
            self.plan_finish(now, host);
        } else {
            self.jobs.remove(&job);
            self.answer(now, host, &query, Answer::Full, 0);
        }
    }

    /// The commits that a host has applied, and the position that a read needs.
    fn data(&mut self, now: Ns, host: HostId, query: &Query) -> (u64, Ns) {
        let class = &self.spec.classes[query.class];
        let needed = match class.need {
            Need::Any | Need::Write => 0,
            Need::Bounded => query.sent - ms(class.bound_ms),
            Need::Session => query.mark,
            Need::Fresh => query.arrived,
        };
        let h = &mut self.hosts[host.0 as usize];
        let set = &self.sets[h.set.0 as usize];
        if set.primary == Some(host) && set.since.is_some() {
            return (set.log.end(), needed);
        }
        h.applier.advance(now, set.source(&self.day));
        (h.applier.applied(), needed)
    }

    /// A statement gets its slot.
    fn begin(&mut self, now: Ns, job: u64) {
        let Some(Job {
            host,
            kind: JobKind::Query { query, .. },
        }) = self.jobs.get(&job)
        else {
            return;
        };
        let (host, query) = (*host, query.clone());
        let (had, needed) = self.data(now, host, &query);
        let set = &self.sets[self.hosts[host.0 as usize].set.0 as usize];
        let needed = set.log.until(needed);
        let primary = set.primary == Some(host);
        let stops = self.spec.classes[query.class].blocks && !primary;
        if stops {
            self.hosts[host.0 as usize]
                .applier
                .stop(now, set.source(&self.day), true);
            self.hosts[host.0 as usize].blocking += 1;
        }
        if let Some(Job {
            kind: JobKind::Query { data, blocks, .. },
            ..
        }) = self.jobs.get_mut(&job)
        {
            (*data, *blocks) = ((had, needed), stops);
        }
        let h = &mut self.hosts[host.0 as usize];
        h.running += 1;
        h.retune(&self.spec.hosts, now);
        h.cpu.add(now, query.work, job);
        self.plan_finish(now, host);
    }

    /// Work beside the slots.
    fn work(&mut self, now: Ns, host: HostId, work: Ns, kind: JobKind) {
        self.next_job += 1;
        self.jobs.insert(self.next_job, Job { host, kind });
        let h = &mut self.hosts[host.0 as usize];
        h.retune(&self.spec.hosts, now);
        h.cpu.add(now, work, self.next_job);
        self.plan_finish(now, host);
    }

    /// Work arrives at a host, taken or not: a cold one may fall over.
    fn offer(&mut self, now: Ns, host: HostId, work: Ns) {
        let h = &mut self.hosts[host.0 as usize];
        let load = h.offered(&self.spec.hosts, now, work);
        if h.cold(now) && load > self.spec.rules.tip_multiple {
            h.fallen = true;
            self.invariants.knocked_over(now, host, load);
            self.out.push(Output::HostOverloaded { host });
            self.stop(now, host, State::Down);
            self.list_change(now, host, ListedState::Gone, false);
        }
    }

    fn answer(&mut self, now: Ns, host: HostId, query: &Query, answer: Answer, work: Ns) {
        let position = self.position(now, host);
        let set = &self.sets[self.hosts[host.0 as usize].set.0 as usize];
        let note = ReplicaStatus {
            primary: set.primary == Some(host) && set.since.is_some(),
            position,
        };
        let (ticket, gateway) = (query.ticket, query.gateway);
        self.out.push(Output::Answered {
            ticket,
            gateway,
            host,
            answer,
            note,
            work,
        });
    }

    // ---- Time ----

    /// When something happens next.
    pub fn next(&self) -> Option<Ns> {
        self.queue.next()
    }

    /// Lets happen what is due by now, in order, and hands out all that has come of it and of what was handed in.
    pub fn advance(&mut self, now: Ns) -> Vec<Output> {
        while let Some((at, event)) = self.queue.pop(now) {
            self.happen(at, event);
        }
        std::mem::take(&mut self.out)
    }

    fn push(&mut self, at: Ns, event: Event) {
        self.queue.push(at, event);
    }

    fn plan_finish(&mut self, now: Ns, host: HostId) {
        let i = host.0 as usize;
        self.stamps[i] += 1;
        if let Some(at) = self.hosts[i].cpu.next() {
            self.push(
                at.max(now),
                Event::Finish {
                    host,
                    stamp: self.stamps[i],
                },
            );
        }
    }

    fn happen(&mut self, now: Ns, event: Event) {
        match event {
            Event::Finish { host, stamp } if self.stamps[host.0 as usize] == stamp => {
                while let Some(job) = self.hosts[host.0 as usize].cpu.ended(now) {
                    self.finish(now, job);
                }
                self.plan_finish(now, host);
            }
            Event::Finish { .. } => {}
            Event::Refresh { host } => {
                self.refresh(now, host);
                self.plan_finish(now, host);
                self.push(now + self.day.report_every, Event::Refresh { host });
            }
            Event::LookAgain { job, until } => self.admit(now, job, until, false),
            Event::GiveUp { set, term } => self.give_up(now, set, term),
            Event::Elect { set, term } => self.elect(now, set, term),
            Event::Begin(i) => self.fault_begins(now, i),
            Event::End(i) => self.fault_ends(now, i),
            Event::Tell(t) => self.tell(now, t.gateway, t.entry),
            Event::Restart { host, epoch } => {
                if self.hosts[host.0 as usize].epoch == epoch {
                    self.restart(now, host);
                }
            }
            Event::Gateway { gateway, up } => self.out.push(Output::Gateway { gateway, up }),
        }
    }

    fn refresh(&mut self, now: Ns, host: HostId) {
        let position = self.position(now, host);
        let set = self.hosts[host.0 as usize].set;
        let primary = self.primary(set) == Some(host);
        let h = &mut self.hosts[host.0 as usize];
        if h.state == State::Up {
            h.refresh(&self.spec.hosts, now, position, primary);
        }
        // Commits that every member has applied are forgotten.
        let s = &mut self.sets[set.0 as usize];
        let least = s
            .members
            .iter()
            .map(|m| self.hosts[m.0 as usize].applier.applied())
            .min();
        if let Some(least) = least.filter(|_| s.members.first() == Some(&host)) {
            s.log.forget(least.saturating_sub(10_000));
        }
    }

    fn finish(&mut self, now: Ns, job: u64) {
        let Some(Job { host, kind }) = self.jobs.remove(&job) else {
            return;
        };
        let i = host.0 as usize;
        match kind {
            JobKind::Probe => self.hosts[i].retune(&self.spec.hosts, now),
            JobKind::Connect { ticket } => {
                self.hosts[i].retune(&self.spec.hosts, now);
                self.out.push(Output::Connected { ticket, host });
            }
            JobKind::Query {
                query,
                key_at,
                data,
                blocks,
            } => {
                if blocks {
                    self.unblock(now, host);
                }
                self.hosts[i].running -= 1;
                self.end_query(now, host, &query, key_at, data);
                if let Some(next) = self.hosts[i].waiting.pop_front() {
                    self.begin(now, next);
                }
                self.hosts[i].retune(&self.spec.hosts, now);
            }
        }
    }

    fn unblock(&mut self, now: Ns, host: HostId) {
        let h = &mut self.hosts[host.0 as usize];
        let from = self.sets[h.set.0 as usize].source(&self.day);
        h.blocking -= 1;
        h.applier.stop(now, from, false);
    }

    fn end_query(&mut self, now: Ns, host: HostId, query: &Query, key_at: usize, data: (u64, u64)) {
        let h = &self.hosts[host.0 as usize];
        let set = &mut self.sets[h.set.0 as usize];
        let spoilt = h.errors > 0.0 && self.rng.chance(h.errors);
        if self.spec.classes[query.class].need != Need::Write {
            if spoilt {
                return self.answer(now, host, query, Answer::Error, query.work);
            }
            self.invariants.read(now, host, data.0, data.1);
            return self.answer(now, host, query, Answer::Row, query.work);
        }
        // A write that is still held when the role is lost ends in an error, and has had no effect.
        if set.primary != Some(host) || set.since.is_none() {
            return self.answer(now, host, query, Answer::Error, query.work);
        }
        let known = query
            .key
            .and_then(|k| set.keys.get_mut(&k))
            .and_then(|k| k.get_mut(key_at));
        let commit = match known {
            Some(Remembered {
                commit: Some(commit),
                ..
            }) => *commit,
            known => {
                set.log.push(now);
                if let Some(k) = known {
                    k.commit = Some(now);
                }
                if let Some(key) = query.key {
                    self.invariants.applied(now, key);
                }
                now
            }
        };
        if spoilt {
            return self.answer(now, host, query, Answer::Error, query.work);
        }
        let note = ReplicaStatus {
            primary: true,
            position: commit,
        };
        let (ticket, gateway, work) = (query.ticket, query.gateway, query.work);
        self.out.push(Output::Answered {
            ticket,
            gateway,
            host,
            answer: Answer::Row,
            note,
            work,
        });
    }

    // ---- Roles ----

    /// A time of a set's roles: drawn by its own numbers, whatever else has been drawn, so that the elections of two
    /// paired runs take as long.
    fn drawn(&mut self, set: SetId, range: ValueOrRange) -> Ns {
        let s = &mut self.sets[set.0 as usize];
        s.draws += 1;
        let own = u64::from(set.0).rotate_left(32) ^ u64::from(s.draws);
        seconds(range.draw(&mut Rng::new(self.seed ^ own, Stream::Fleet)))
    }

    /// The primary is heard no more: positions stand still, and after a while it is given up.
    fn lose_primary(&mut self, now: Ns, set: SetId) {
        let detect = self.drawn(set, self.spec.sets.detect_s);
        let s = &mut self.sets[set.0 as usize];
        if s.since.take().is_some() {
            s.stood = now;
        }
        s.term += 1;
        let term = s.term;
        if let Some(old) = s.primary {
            self.hosts[old.0 as usize]
                .applier
                .catch_up(now, s.source(&self.day));
        }
        self.out.push(Output::Primary { set, host: None });
        self.push(now + detect, Event::GiveUp { set, term });
    }

    fn give_up(&mut self, now: Ns, set: SetId, term: u32) {
        let wait = self.drawn(set, self.spec.sets.elect_s);
        let s = &mut self.sets[set.0 as usize];
        if s.term == term && s.since.is_none() {
            s.primary = None;
            self.push(now + wait, Event::Elect { set, term });
        }
    }

    /// The member that has most of the log takes over; of equal ones the first.
    fn elect(&mut self, now: Ns, set: SetId, term: u32) {
        let s = &self.sets[set.0 as usize];
        if s.term != term || s.since.is_some() {
            return;
        }
        let from = s.source(&self.day);
        let mut best: Option<(u64, HostId)> = None;
        for &m in &s.members {
            let h = &mut self.hosts[m.0 as usize];
            if h.state != State::Up || h.draining {
                continue;
            }
            h.applier.advance(now, from);
            if best.is_none_or(|(most, _)| h.applier.applied() > most) {
                best = Some((h.applier.applied(), m));
            }
        }
        let Some((_, new)) = best else {
            return self.push(now + ELECT_AGAIN, Event::Elect { set, term });
        };
        self.hosts[new.0 as usize].applier.catch_up(now, from);
        let s = &mut self.sets[set.0 as usize];
        (s.primary, s.since) = (Some(new), Some(now));
        s.term += 1;
        self.out.push(Output::Primary {
            set,
            host: Some(new),
        });
    }

    // ---- Starts and stops ----

    /// A host stops, in one way or another.
    fn stop(&mut self, now: Ns, host: HostId, how: State) {
        let i = host.0 as usize;
        if self.hosts[i].state != State::Up {
            return;
        }
        let set = self.hosts[i].set;
        if self.sets[set.0 as usize].primary == Some(host) {
            self.lose_primary(now, set);
        }
        let from = self.sets[set.0 as usize].source(&self.day);
        self.hosts[i].applier.stop(now, from, true);
        self.hosts[i].state = how;
        if how == State::Hung {
            self.hosts[i].cpu.freeze(now, true);
        } else {
            while self.hosts[i].blocking > 0 {
                self.unblock(now, host);
            }
            self.hosts[i].lose_all(now);
            self.jobs.retain(|_, j| j.host != host);
        }
        if how == State::Down {
            self.out.push(Output::ConnectionsReset { host });
        }
        self.plan_finish(now, host);
    }

    /// A host that hung goes on with what it holds, in whatever role it has now.
    fn resume(&mut self, now: Ns, host: HostId) {
        let i = host.0 as usize;
        self.hosts[i].state = State::Up;
        self.hosts[i].cpu.freeze(now, false);
        let set = self.hosts[i].set;
        let s = &mut self.sets[set.0 as usize];
        if s.primary == Some(host) {
            // Nobody has given it up yet.
            s.since = Some(now);
            s.term += 1;
            self.out.push(Output::Primary {
                set,
                host: Some(host),
            });
        }
        let from = self.sets[set.0 as usize].source(&self.day);
        self.hosts[i].applier.stop(now, from, false);
        for query in self.stalled.remove(&host).unwrap_or_default() {
            self.take(now, host, query);
        }
        self.plan_finish(now, host);
    }

    /// A host's process starts, cold, as a replica, from the data that it had.
    fn restart(&mut self, now: Ns, host: HostId) {
        let i = host.0 as usize;
        if self.hosts[i].fallen || self.hosts[i].state == State::Up {
            return;
        }
        let vanished = self.hosts[i].state == State::Vanished;
        self.hosts[i].start(
            &self.spec.hosts,
            now,
            self.day.cold_start,
            self.day.cold_for,
        );
        let set = self.hosts[i].set;
        let s = &mut self.sets[set.0 as usize];
        if s.primary == Some(host) {
            s.primary = None;
        }
        let from = self.sets[set.0 as usize].source(&self.day);
        self.hosts[i].applier.stop(now, from, false);
        if vanished {
            self.out.push(Output::ConnectionsReset { host });
        }
        self.list_change(now, host, ListedState::Ready, false);
        self.refresh(now, host);
        self.plan_finish(now, host);
    }

    fn list_change(&mut self, now: Ns, host: HostId, listed: ListedState, silent: bool) {
        let (set, since) = (
            self.hosts[host.0 as usize].set,
            self.hosts[host.0 as usize].started,
        );
        for telling in self.list.change(now, host, set, listed, since, silent) {
            self.push(telling.at, Event::Tell(telling));
        }
    }

    fn tell(&mut self, now: Ns, gateway: GatewayId, entry: ListEntry) {
        if self.list.tell(now, gateway, entry) {
            self.out.push(Output::ListUpdated { gateway, entry });
        }
    }

    // ---- Faults ----

    fn fault_begins(&mut self, now: Ns, index: usize) {
        let p = self.plan[index].clone();
        let all: Vec<HostId> = self
            .hosts
            .iter()
            .filter(|h| h.state == State::Up)
            .map(|h| h.id)
            .collect();
        let f = &p.fault;
        let picks = [
            f.silent.as_ref().map(|s| &s.hosts),
            f.reset.as_ref().map(|s| &s.hosts),
            f.refusing.as_ref().map(|s| &s.hosts),
            f.spoilt.as_ref().map(|s| &s.hosts),
            f.drain.as_ref().map(|s| &s.hosts),
            f.cut_off.as_ref().map(|s| &s.hosts),
            f.slow_apply.as_ref().and_then(|s| s.hosts.as_ref()),
            f.slowdown.as_ref().and_then(|s| s.hosts.as_ref()),
        ];
        let everywhere = f.slow_apply.is_some() || f.slowdown.is_some();
        let mut rng = Rng::new(
            self.seed ^ (index as u64 + 1).rotate_left(40),
            Stream::Faults,
        );
        let hosts = match picks.into_iter().flatten().next() {
            Some(pick) => {
                let (sets, own) = (&self.sets, &self.hosts);
                let primary = |h: HostId| sets[own[h.0 as usize].set.0 as usize].primary == Some(h);
                faults::pick(pick, &all, primary, &mut rng)
            }
            None if everywhere => all,
            None => Vec::new(),
        };
        for &host in &hosts {
            self.strike(now, &p, host);
        }
        if let Some(lost) = &f.datagrams_lost {
            self.loss = lost.part;
            self.out.push(Output::DatagramsLost(lost.part));
        }
        if f.discovery_silent.is_some() {
            self.list.mute(true);
        }
        self.struck.insert(index, hosts.clone());
        self.out.push(Output::Fault {
            index,
            begins: true,
            hosts,
        });
    }

    fn strike(&mut self, now: Ns, p: &PlannedFault, host: HostId) {
        let i = host.0 as usize;
        let f = &p.fault;
        let from = self.sets[self.hosts[i].set.0 as usize].source(&self.day);
        if let Some(s) = &f.silent {
            self.stop(
                now,
                host,
                if s.hang { State::Hung } else { State::Vanished },
            );
            self.list_change(now, host, ListedState::Gone, true);
        } else if f.reset.is_some() {
            self.stop(now, host, State::Down);
            self.list_change(now, host, ListedState::Gone, false);
        } else if f.refusing.is_some() {
            self.hosts[i].refusing = true;
        } else if let Some(s) = &f.spoilt {
            self.hosts[i].errors = s.part;
        } else if f.slow_apply.is_some() {
            self.hosts[i].applier.slow(now, from, p.times);
        } else if f.slowdown.is_some() {
            self.hosts[i].slow_by(&self.spec.hosts, now, p.times);
            self.plan_finish(now, host);
        } else if f.drain.is_some() {
            self.hosts[i].draining = true;
            self.list_change(now, host, ListedState::Draining, false);
            let set = self.hosts[i].set;
            let switch = self.drawn(set, self.spec.sets.switch_s);
            let s = &mut self.sets[set.0 as usize];
            if s.primary == Some(host) {
                self.hosts[i].applier.catch_up(now, s.source(&self.day));
                (s.primary, s.since, s.stood) = (None, None, now);
                s.term += 1;
                let term = s.term;
                self.out.push(Output::Primary { set, host: None });
                self.push(now + switch, Event::Elect { set, term });
            }
        }
    }

    fn fault_ends(&mut self, now: Ns, index: usize) {
        let p = self.plan[index].clone();
        let hosts = self.struck.remove(&index).unwrap_or_default();
        let f = &p.fault;
        for &host in &hosts {
            let i = host.0 as usize;
            if f.silent.as_ref().is_some_and(|s| s.hang) {
                if self.hosts[i].state == State::Hung {
                    self.resume(now, host);
                    self.list_change(now, host, ListedState::Ready, false);
                }
            } else if f.silent.is_some() || f.reset.is_some() {
                self.restart(now, host);
            } else if f.refusing.is_some() {
                self.hosts[i].refusing = false;
            } else if f.spoilt.is_some() {
                self.hosts[i].errors = self.spec.hosts.errors;
            } else if f.slow_apply.is_some() {
                let from = self.sets[self.hosts[i].set.0 as usize].source(&self.day);
                self.hosts[i].applier.slow(now, from, 1.0);
            } else if f.slowdown.is_some() {
                self.hosts[i].slow_by(&self.spec.hosts, now, 1.0 / p.times);
                self.plan_finish(now, host);
            } else if f.drain.is_some() && self.hosts[i].state == State::Up {
                self.stop(now, host, State::Down);
                self.list_change(now, host, ListedState::Gone, false);
                let epoch = self.hosts[i].epoch;
                self.push(now + REPLACED_IN, Event::Restart { host, epoch });
            }
        }
        if f.datagrams_lost.is_some() {
            self.loss = self.spec.net.datagram_loss;
            self.out.push(Output::DatagramsLost(self.loss));
        }
        if f.discovery_silent.is_some() {
            for (gateway, entry) in self.list.mute(false) {
                self.tell(now, gateway, entry);
            }
        }
        self.out.push(Output::Fault {
            index,
            begins: false,
            hosts,
        });
    }

    /// Time since the start of the run.
    pub fn since_start(&self, now: Ns) -> Ns {
        now - self.start
    }
}
