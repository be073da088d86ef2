//! One gateway in virtual time: the router as it is, and round it what `src/net` is on sockets, with the same margins,
//! limits and order of events. It returns the actions that it wants; the run performs them.

mod conversion;
mod peer_exchange;

pub use conversion::{load_report, member, outcome, replication_status, settings_of};
pub use peer_exchange::{OutgoingDatagram, PeerExchange, Recipients};

use conversion::endpoint;
use irisrouter::routing::{
    Action, Endpoint, EndpointState, Event, GroupId, Outcome, ReplicationStatus, RequestId, Router,
    SessionId, Settings, TimeDelta, Timestamp,
};
use irisrouter_simulation::clients::Try;
use irisrouter_simulation::endpoint_list::{EndpointView, ListEntry};
use irisrouter_simulation::{HostId, Ns, MS};
use rustc_hash::FxHashMap as HashMap;
use std::collections::{BTreeSet, VecDeque};

/// The router's deadline for a request lies this long before the client's, as in `src/net/request`.
const DEADLINE_MARGIN: Ns = 5 * MS;
/// A request on which the router has not decided is ended this long before the client's deadline.
const GUARD_MARGIN: Ns = MS;

/// A connection to a host that carries no request.
#[derive(Clone, Copy, Debug)]
pub struct IdleConnection {
    /// The host's process that it was made to.
    pub epoch: u32,
    /// Since when it has been idle.
    pub since: Ns,
}

/// What the pool of idle connections to a host gives.
#[derive(Clone, Copy, Debug, Default)]
pub struct CheckedOut {
    /// A connection that can be used, if there is one.
    pub connection: Option<IdleConnection>,
    /// Number of connections that had been idle for too long and are closed.
    pub closed: u32,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It waits for its connection.
    Connecting,
    /// It is on its way to the host, or there.
    Sent,
    /// It has ended.
    Over,
}

/// An attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The host that it is for.
    pub host: HostId,
    /// How far it has come.
    pub stage: Stage,
    /// When it was ordered.
    pub started: Ns,
    /// The process of the host that its connection was made to.
    pub epoch: u32,
}

/// A request that the gateway has accepted.
#[derive(Clone, Debug)]
pub struct OpenRequest {
    /// The try, as its client sent it.
    pub client_try: Try,
    /// When the gateway accepted it.
    pub accepted_at: Ns,
    /// Whether its final answer has been given, or its client has left.
    pub over: bool,
    /// Its attempts, by number.
    pub attempts: Vec<Attempt>,
}

/// A request that has just been accepted.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedRequest {
    /// Its number at the gateway.
    pub id: RequestId,
    /// When it is ended if the router has not decided.
    pub guard_at: Ns,
}

/// A try of a client's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TryId {
    /// The call.
    pub call: u64,
    /// The try's number.
    pub number: u32,
}

impl TryId {
    /// The id of a try.
    pub fn of(client_try: &Try) -> Self {
        TryId {
            call: client_try.call,
            number: client_try.number,
        }
    }
}

/// A health check that a gateway has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HealthCheckId {
    /// The host that it is for.
    pub host: HostId,
    /// When it was sent.
    pub sent: Ns,
}

/// One gateway's process.
pub struct Gateway {
    /// Whether it runs.
    pub alive: bool,
    /// Grows with each start and end: what belongs to an earlier process is void.
    pub incarnation: u32,
    router: Router,
    /// Events for the router's next batch.
    events: Vec<Event>,
    /// Whether a batch is scheduled.
    pub batch_scheduled: bool,
    /// The earliest timer that the router has set.
    pub timer_at: Option<Ns>,
    /// Requests, until their last attempt has ended.
    pub open: HashMap<RequestId, OpenRequest>,
    /// The request of each try, until it is over.
    pub requests_by_try: HashMap<TryId, RequestId>,
    next_request: u64,
    /// By host: idle connections, the one used last at the back.
    pub idle: HashMap<HostId, VecDeque<IdleConnection>>,
    /// Its exchange with its peers.
    pub exchange: Option<Box<dyn PeerExchange>>,
    /// Health checks that are not answered yet.
    pub health_checks: BTreeSet<HealthCheckId>,
    /// Whether the list lets it send to a host.
    ready: HashMap<HostId, bool>,
}

impl Gateway {
    /// A process that starts with its last list and nothing else.
    pub fn start(settings: &Settings, incarnation: u32, view: &EndpointView) -> Self {
        let endpoints: Vec<Endpoint> = view.entries().map(endpoint).collect();
        let mut gateway = Gateway {
            alive: true,
            incarnation,
            router: Router::new(settings.clone()),
            events: Vec::new(),
            batch_scheduled: false,
            timer_at: None,
            open: HashMap::default(),
            requests_by_try: HashMap::default(),
            next_request: 0,
            idle: HashMap::default(),
            exchange: None,
            health_checks: BTreeSet::new(),
            ready: endpoints
                .iter()
                .map(|e| (HostId(e.member.0), e.state == EndpointState::Ready))
                .collect(),
        };
        gateway.post(Event::EndpointList {
            complete: true,
            endpoints,
        });
        gateway
    }

    /// Adds an event to the router's next batch.
    pub fn post(&mut self, event: Event) {
        self.events.push(event);
    }

    /// Applies a changed entry of the list.
    pub fn update_endpoint(&mut self, entry: &ListEntry) {
        let endpoint = endpoint(entry);
        let host = HostId(endpoint.member.0);
        let ready = endpoint.state == EndpointState::Ready;
        self.ready.insert(host, ready);
        if !ready {
            self.idle.remove(&host);
        }
        self.post(Event::EndpointList {
            complete: false,
            endpoints: vec![endpoint],
        });
    }

    /// Whether the list lets it send to a host.
    pub fn is_ready(&self, host: HostId) -> bool {
        self.ready.get(&host).copied().unwrap_or(false)
    }

    /// Accepts a request.
    pub fn accept(&mut self, now: Ns, client_try: Try) -> AcceptedRequest {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        // The time that the client waits counts from the arrival of its request.
        let wait = (client_try.deadline - client_try.sent).max(0);
        let guard_at = now + (wait - GUARD_MARGIN).max(0);
        let arrival = &client_try.arrival;
        self.post(Event::Request {
            id,
            class: arrival.class,
            tenant: None,
            session: arrival.session.map(SessionId),
            deadline: Timestamp::from_nanos(now + (wait - DEADLINE_MARGIN).max(0)),
            work: None,
            group: GroupId(i64::from(arrival.set.0)),
            last_write_age: (client_try.mark > 0)
                .then(|| TimeDelta::from_nanos(now - client_try.mark)),
            retry: client_try.marked,
        });
        self.requests_by_try.insert(TryId::of(&client_try), id);
        let request = OpenRequest {
            client_try,
            accepted_at: now,
            over: false,
            attempts: Vec::new(),
        };
        self.open.insert(id, request);
        AcceptedRequest { id, guard_at }
    }

    /// Hands all events since the last batch to the router: what it wants done.
    pub fn run_batch(&mut self, now: Ns) -> Vec<Action> {
        self.batch_scheduled = false;
        let events = std::mem::take(&mut self.events);
        if events.is_empty() {
            return Vec::new();
        }
        self.router.batch(Timestamp::from_nanos(now), &events)
    }

    /// Whether an attempt whose connection is up may be sent: its host takes requests, and the router permits it.
    pub fn permits_send(&mut self, now: Ns, host: HostId, id: RequestId, attempt: u32) -> bool {
        let now = Timestamp::from_nanos(now);
        self.is_ready(host) && self.router.permit_send(now, id, attempt).is_some()
    }

    /// Takes an idle connection to a host, and closes those that have been idle for too long.
    pub fn check_out(&mut self, now: Ns, host: HostId, epoch: u32, idle_timeout: Ns) -> CheckedOut {
        let Some(idle) = self.idle.get_mut(&host) else {
            return CheckedOut::default();
        };
        let before = idle.len() as u32;
        idle.retain(|connection| {
            connection.epoch == epoch && connection.since + idle_timeout > now
        });
        let closed = before - idle.len() as u32;
        CheckedOut {
            connection: idle.pop_back(),
            closed,
        }
    }

    /// Returns a connection that carries no request any more.
    pub fn check_in(&mut self, now: Ns, host: HostId, epoch: u32) {
        self.idle
            .entry(host)
            .or_default()
            .push_back(IdleConnection { epoch, since: now });
    }

    /// Ends a request that is answered or left: its try, if it was not over before.
    pub fn finish_request(&mut self, id: RequestId) -> Option<Try> {
        let client_try = self.mark_over(id)?;
        self.remove_if_done(id);
        Some(client_try)
    }

    /// Marks a request as over whose attempt has still to end: its try, if it was not over before.
    pub fn mark_over(&mut self, id: RequestId) -> Option<Try> {
        let request = self.open.get_mut(&id).filter(|request| !request.over)?;
        request.over = true;
        let client_try = request.client_try;
        self.requests_by_try.remove(&TryId::of(&client_try));
        Some(client_try)
    }

    /// Ends an attempt, and posts that to the router: the attempt as it was, if it had not ended before.
    pub fn end_attempt(
        &mut self,
        now: Ns,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        status: Option<ReplicationStatus>,
    ) -> Option<Attempt> {
        let request = self.open.get_mut(&id)?;
        let open = request
            .attempts
            .get_mut(attempt as usize)
            .filter(|attempt| attempt.stage != Stage::Over)?;
        let ended = open.clone();
        open.stage = Stage::Over;
        let finished = request.over;
        self.events.push(Event::AttemptEnded {
            id,
            attempt,
            member: member(ended.host),
            outcome,
            elapsed: TimeDelta::from_nanos(now - ended.started),
            finished,
            status,
            report: None,
        });
        self.remove_if_done(id);
        Some(ended)
    }

    /// Forgets a request that is over and has no attempt open.
    fn remove_if_done(&mut self, id: RequestId) {
        let is_done = |request: &OpenRequest| {
            request.over && request.attempts.iter().all(|a| a.stage == Stage::Over)
        };
        if self.open.get(&id).is_some_and(is_done) {
            self.open.remove(&id);
        }
    }
}
