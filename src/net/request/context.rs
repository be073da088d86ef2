//! What all requests share, and the request as the downstream creates it.

use crate::net::cluster::site_failover::SiteFailoverService;
use crate::net::cluster::write_intents::WriteIntentService;
use crate::net::metrics::Metrics;
use crate::net::request::classes::ClassHandle;
use crate::net::router_task::RouterHandle;
use crate::net::upstream::{Statement, Upstream};
use crate::net::Clock;
use irisrouter::routing::{GroupId, SessionId, Timestamp};
use irisrouter_write_intents::KeyHash;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The last times of a gateway that is shutting down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownDeadlines {
    /// Every request has its answer by then. Those that come later are rejected at once.
    pub answer_by: Instant,
    /// From then on clients are not read any more, so that their connections end before the process is killed.
    pub read_until: Instant,
}

/// What the requests share.
pub struct RequestContext {
    /// The way to the router.
    pub router: Rc<RouterHandle>,
    /// The database hosts.
    pub upstream: Rc<Upstream>,
    /// The clock that positions of database hosts are compared with.
    pub clock: Clock,
    /// The counters.
    pub metrics: Rc<Metrics>,
    /// The last times of a shutdown, once the gateway is shutting down.
    pub shutdown: watch::Sender<Option<ShutdownDeadlines>>,
    /// Write intents, where the operators have enabled them.
    pub write_intents: Option<Rc<WriteIntentService>>,
    /// Site failover, where the operators have enabled it.
    pub site_failover: Option<Rc<SiteFailoverService>>,
    /// Ids of the requests that are not over.
    pub open_ids: RefCell<HashSet<Box<str>>>,
}

impl RequestContext {
    /// Whether the gateway is shutting down and the time for answers is over.
    pub fn answers_are_overdue(&self) -> bool {
        let now = Instant::now();
        let deadlines = *self.shutdown.borrow();
        deadlines.is_some_and(|deadlines| deadlines.answer_by <= now)
    }

    /// Whether the gateway is shutting down and reads no more requests.
    pub fn reading_is_over(&self) -> bool {
        let now = Instant::now();
        let deadlines = *self.shutdown.borrow();
        deadlines.is_some_and(|deadlines| deadlines.read_until <= now)
    }

    /// Reserves an id; `None` while another open request has it.
    ///
    /// A database host takes a second request of the same id for a retry of the first, and would answer it with the
    /// row of another client.
    pub fn reserve_id(self: &Rc<Self>, id: &str) -> Option<OpenId> {
        let is_new = self.open_ids.borrow_mut().insert(id.into());
        is_new.then(|| OpenId {
            context: Rc::clone(self),
            id: id.into(),
        })
    }
}

/// The id of an open request; no other request can have it until this is dropped.
pub struct OpenId {
    context: Rc<RequestContext>,
    id: Box<str>,
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.context.open_ids.borrow_mut().remove(&self.id);
    }
}

/// A request, as the downstream creates it from what its client sent.
pub struct ClientRequest {
    /// Its id.
    pub id: OpenId,
    /// Its class, which it keeps until it is over, whatever new settings say.
    pub class: Rc<ClassHandle>,
    /// The group of hosts that it is for.
    pub group: GroupId,
    /// Its session, in classes whose freshness depends on one.
    pub session: Option<SessionId>,
    /// How long its client waits for the answer, from now on.
    pub timeout: Duration,
    /// The commit position that its answer must include, as Unix time.
    pub minimum_position: Option<Timestamp>,
    /// The client marked it as a retry.
    pub retry: bool,
    /// Its idempotency key, in a keyed class.
    pub idempotency_key: Option<KeyHash>,
    /// The statement that is sent to a database host.
    pub statement: Statement,
}
