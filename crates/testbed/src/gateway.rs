//! One gateway in virtual time: the decision module as it is, and round it what `src/net` is on sockets, with the same
//! margins, limits and order of things. It says what it wants done; the run does it.

use crate::settings;
use irisrouter::routing::{
    Action, Endpoint, EndpointState, Event, GroupId, LoadReport, MemberId, Outcome,
    ReplicationStatus, RequestId, Role, Router, SessionId, Settings, TimeDelta, Timestamp, ZoneId,
};
use irisrouter_simulation::clients::Try;
use irisrouter_simulation::endpoint_list::{EndpointView, ListEntry};
use irisrouter_simulation::fleet;
use irisrouter_simulation::{GatewayId, HostId, Ns, MS};
use rustc_hash::FxHashMap as HashMap;
use std::collections::{BTreeSet, VecDeque};

/// The module's deadline lies so much before the client's, as in `net/request.rs`.
const MARGIN: Ns = 5 * MS;
/// And the guard against no decision so much.
const LAST_MARGIN: Ns = MS;

/// The exchange of a gateway with its peers: a subsystem that sends datagrams to other gateways plugs in here. A gateway
/// that is killed loses its state with all else, and starts with a new one.
pub trait PeerExchange {
    /// A datagram has come from another gateway, as its address tells.
    fn receive(&mut self, now: Ns, from: GatewayId, body: &[u8]);

    /// The datagrams that it sends now, each to one gateway or, with `None`, to all others.
    fn outgoing(&mut self, now: Ns) -> Vec<(Option<GatewayId>, Vec<u8>)>;

    /// When it wants to be asked again, if nothing comes before.
    fn next_due(&self) -> Option<Ns>;
}

/// A connection to a host that nothing is on.
#[derive(Clone, Copy, Debug)]
pub struct Idle {
    /// The host's process that it was made to.
    pub epoch: u32,
    /// Since when.
    pub since: Ns,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It waits for its connection.
    Connecting,
    /// It is on its way or at the host.
    Sent,
    /// It has ended.
    Over,
}

/// An attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Where.
    pub host: HostId,
    /// How far.
    pub stage: Stage,
    /// When it was ordered.
    pub began: Ns,
    /// When the gateway stops waiting.
    pub end: Ns,
    /// The process of the host that its connection was made to.
    pub epoch: u32,
}

/// A request that the gateway has taken.
#[derive(Clone, Debug)]
pub struct Open {
    /// As its client sent it.
    pub of: Try,
    /// When it came.
    pub came: Ns,
    /// When the guard answers.
    pub last: Ns,
    /// Its final answer has been given, or its client has left.
    pub over: bool,
    /// Its attempts, by number.
    pub attempts: Vec<Attempt>,
}

/// One gateway's process.
pub struct Gateway {
    /// It runs.
    pub alive: bool,
    /// Grows with each start: what belongs to an earlier process is void.
    pub life: u32,
    router: Router,
    events: Vec<Event>,
    /// A batch is planned.
    pub batch_planned: bool,
    /// The earliest wake-up asked for.
    pub wake: Option<Ns>,
    /// Requests, until their last attempt has ended.
    pub open: HashMap<RequestId, Open>,
    /// The request of each try, while it is open.
    pub of_try: HashMap<(u64, u32), RequestId>,
    next_request: u64,
    /// Connections that nothing is on, by host, the one used last at the back.
    pub idle: HashMap<HostId, VecDeque<Idle>>,
    /// Its part in what gateways tell one another.
    pub exchange: Option<Box<dyn PeerExchange>>,
    /// Probes that are out, by host and when they were sent.
    pub probing: BTreeSet<(HostId, Ns)>,
    /// Hosts that it may send to.
    ready: HashMap<HostId, bool>,
}

/// The member of a host. Its number is the host's.
pub fn member(host: HostId) -> MemberId {
    MemberId(host.0)
}

fn list_entry(e: &ListEntry) -> Endpoint {
    use irisrouter_simulation::endpoint_list::ListedState as Said;
    Endpoint {
        member: member(e.host),
        group: GroupId(i64::from(e.set.0)),
        zone: ZoneId(0),
        state: match e.listed {
            Said::Ready => EndpointState::Ready,
            Said::Draining => EndpointState::Draining,
            Said::Gone => EndpointState::Removed,
        },
        primary: false,
        size: 1.0,
        started: (e.since > 0).then(|| Timestamp::from_nanos(e.since)),
    }
}

impl Gateway {
    /// A process that starts with its last list and nothing else.
    pub fn start(settings: &Settings, life: u32, view: &EndpointView) -> Self {
        let mut g = Gateway {
            alive: true,
            life,
            router: Router::new(settings.clone()),
            events: Vec::new(),
            batch_planned: false,
            wake: None,
            open: HashMap::default(),
            of_try: HashMap::default(),
            next_request: 0,
            idle: HashMap::default(),
            exchange: None,
            probing: BTreeSet::new(),
            ready: HashMap::default(),
        };
        let entries: Vec<Endpoint> = view.entries().map(list_entry).collect();
        g.ready = entries
            .iter()
            .map(|e| (HostId(e.member.0), e.state == EndpointState::Ready))
            .collect();
        g.post(Event::EndpointList {
            complete: true,
            endpoints: entries,
        });
        g
    }

    /// Something that its module is to hear.
    pub fn post(&mut self, event: Event) {
        self.events.push(event);
    }

    /// A line of the list.
    pub fn told(&mut self, entry: &ListEntry) {
        let entry = list_entry(entry);
        self.ready
            .insert(HostId(entry.member.0), entry.state == EndpointState::Ready);
        if entry.state != EndpointState::Ready {
            self.idle.remove(&HostId(entry.member.0));
        }
        self.post(Event::EndpointList {
            complete: false,
            endpoints: vec![entry],
        });
    }

    /// Whether the list lets it send to a host.
    pub fn ready(&self, host: HostId) -> bool {
        self.ready.get(&host).copied().unwrap_or(false)
    }

    /// Takes a request.
    pub fn take(&mut self, now: Ns, of: Try) -> (RequestId, Ns) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        // What the client says it will wait counts from when its request has come.
        let wait = (of.deadline - of.sent).max(0);
        let last = now + (wait - LAST_MARGIN).max(0);
        let a = &of.arrival;
        self.post(Event::Request {
            id,
            class: a.class,
            tenant: None,
            session: a.session.map(SessionId),
            deadline: Timestamp::from_nanos(now + (wait - MARGIN).max(0)),
            work: None,
            group: GroupId(i64::from(a.set.0)),
            last_write_age: (of.mark > 0).then(|| TimeDelta::from_nanos(now - of.mark)),
            retry: of.marked,
        });
        self.of_try.insert((of.call, of.number), id);
        self.open.insert(
            id,
            Open {
                of,
                came: now,
                last,
                over: false,
                attempts: Vec::new(),
            },
        );
        (id, last)
    }

    /// All that has come since the last batch goes to the module.
    pub fn batch(&mut self, now: Ns) -> Vec<Action> {
        self.batch_planned = false;
        let events = std::mem::take(&mut self.events);
        if events.is_empty() {
            return Vec::new();
        }
        self.router.batch(Timestamp::from_nanos(now), &events)
    }

    /// A connection that can be used, and those that have been idle for too long, which are closed.
    pub fn check_out(
        &mut self,
        now: Ns,
        host: HostId,
        epoch: u32,
        idle_close: Ns,
    ) -> (Option<Idle>, u32) {
        let Some(idle) = self.idle.get_mut(&host) else {
            return (None, 0);
        };
        let before = idle.len() as u32;
        idle.retain(|c| c.epoch == epoch && c.since + idle_close > now);
        let closed = before - idle.len() as u32;
        (idle.pop_back(), closed)
    }

    /// A connection is free again.
    pub fn check_in(&mut self, now: Ns, host: HostId, epoch: u32) {
        self.idle
            .entry(host)
            .or_default()
            .push_back(Idle { epoch, since: now });
    }

    /// A request is answered or left: what was open for its try.
    pub fn over(&mut self, id: RequestId) -> Option<Try> {
        let open = self.open.get_mut(&id).filter(|o| !o.over)?;
        open.over = true;
        let of = open.of;
        self.of_try.remove(&(of.call, of.number));
        self.tidy(id);
        Some(of)
    }

    /// A row has come: the request is over if it was not, but its attempt has still to end.
    pub fn over_but_open(&mut self, id: RequestId) -> Option<Try> {
        let open = self.open.get_mut(&id).filter(|o| !o.over)?;
        open.over = true;
        let of = open.of;
        self.of_try.remove(&(of.call, of.number));
        Some(of)
    }

    /// An attempt ends: the module hears of it, once.
    pub fn ended(
        &mut self,
        now: Ns,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        note: Option<ReplicationStatus>,
    ) -> Option<Attempt> {
        let open = self.open.get_mut(&id)?;
        let a = open
            .attempts
            .get_mut(attempt as usize)
            .filter(|a| a.stage != Stage::Over)?;
        let was = a.clone();
        a.stage = Stage::Over;
        let finished = open.over;
        self.events.push(Event::AttemptEnded {
            id,
            attempt,
            member: member(was.host),
            outcome,
            elapsed: TimeDelta::from_nanos(now - was.began),
            finished,
            status: note,
            report: None,
        });
        self.tidy(id);
        Some(was)
    }

    fn tidy(&mut self, id: RequestId) {
        if self
            .open
            .get(&id)
            .is_some_and(|o| o.over && o.attempts.iter().all(|a| a.stage == Stage::Over))
        {
            self.open.remove(&id);
        }
    }
}

/// What an answer tells, as the platform words it: whole milliseconds, and a position only with a write's commit.
pub fn note(n: &fleet::ReplicaStatus, committed: bool) -> ReplicationStatus {
    ReplicationStatus {
        role: if n.primary {
            Role::Primary
        } else {
            Role::Replica
        },
        position: committed.then(|| Timestamp::from_nanos((n.position + MS - 1) / MS * MS)),
    }
}

/// A report, in whole milliseconds, rounded down.
pub fn report(r: &irisrouter_simulation::host::Report) -> LoadReport {
    LoadReport {
        position: Some(Timestamp::from_nanos(r.position / MS * MS)),
        primary: Some(r.primary),
        in_flight: None,
        cores_in_use: Some(r.util),
    }
}

/// The outcome of an answer.
pub fn outcome(answer: fleet::Answer) -> Outcome {
    match answer {
        fleet::Answer::Row => Outcome::Ok,
        fleet::Answer::Error => Outcome::Error,
        fleet::Answer::Full => Outcome::Full,
        fleet::Answer::Miss => Outcome::Unsuitable,
    }
}

/// The settings of each gateway of a scenario: the same but for the seed.
///
/// # Errors
/// Where the gateway's own code does not take them.
pub fn settings_of(s: &crate::scenario::Scenario, seed: u64) -> Result<Settings, String> {
    Ok(settings::load(s, seed)?.settings)
}
