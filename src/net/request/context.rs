//! The state that all requests share, and the request as the downstream creates it.

use crate::net::claims::Claims;
use crate::net::cluster::site_failover::SiteFailoverService;
use crate::net::cluster::write_intents::WriteIntentService;
use crate::net::metrics::Metrics;
use crate::net::request::classes::{ClassHandle, Classes};
use crate::net::request::open_ids::{OpenId, OpenIds};
use crate::net::request::presence::ClientPresence;
use crate::net::router_task::RouterHandle;
use crate::net::upstream::{Statement, Upstream};
use crate::net::Clock;
use irisrouter::routing::{GroupId, SessionId, Timestamp};
use irisrouter_write_intents::KeyHash;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// Deadlines of a gateway that is shutting down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownDeadlines {
    /// Time by which every request is answered. Requests that arrive later are rejected at once.
    pub answer_by: Instant,
    /// Time from which on nothing is read from clients, so that their connections end before the process is killed.
    pub read_until: Instant,
}

/// State that all requests share.
pub struct RequestContext {
    /// Handle to the router task.
    pub router: Rc<RouterHandle>,
    /// The database hosts.
    pub upstream: Rc<Upstream>,
    /// Clock that the log positions of database hosts are compared with.
    pub clock: Clock,
    /// The counters.
    pub metrics: Rc<Metrics>,
    /// Deadlines of the shutdown; `None` until the gateway is shutting down.
    pub shutdown: watch::Sender<Option<ShutdownDeadlines>>,
    /// Write intents; `None` unless the operators have enabled them.
    pub write_intents: Option<Rc<WriteIntentService>>,
    /// Site failover; `None` unless the operators have enabled it.
    pub site_failover: Option<Rc<SiteFailoverService>>,
    /// Ids of the open requests.
    pub open_ids: Rc<OpenIds>,
    /// What the processes of the gateway share while a hot restart lasts.
    pub claims: Rc<Claims>,
    /// The request classes and the router's settings.
    pub classes: Rc<Classes>,
}

impl RequestContext {
    /// Returns whether the gateway is shutting down and its deadline for answers has passed.
    pub fn answers_are_overdue(&self) -> bool {
        let now = Instant::now();
        let deadlines = *self.shutdown.borrow();
        deadlines.is_some_and(|deadlines| deadlines.answer_by <= now)
    }

    /// Waits until the gateway is shutting down and its deadline for answers has passed.
    pub async fn answers_overdue(&self) {
        let mut shutdown = self.shutdown.subscribe();
        let announced = shutdown.wait_for(Option::is_some).await;
        let deadlines = announced.ok().and_then(|deadlines| *deadlines);
        match deadlines {
            Some(deadlines) => sleep_until(deadlines.answer_by).await,
            None => std::future::pending().await,
        }
    }

    /// Returns whether the gateway is shutting down and no longer reads requests.
    pub fn reading_has_ended(&self) -> bool {
        let now = Instant::now();
        let deadlines = *self.shutdown.borrow();
        deadlines.is_some_and(|deadlines| deadlines.read_until <= now)
    }
}

/// A request, as the downstream creates it from what its client sent.
pub struct ClientRequest {
    /// Id of the request.
    pub id: OpenId,
    /// Class of the request, which stays the same until the request is finished even if the settings change.
    pub class: Rc<ClassHandle>,
    /// Group of hosts that the request is sent to.
    pub group: GroupId,
    /// Session of the request, in classes whose freshness depends on one.
    pub session: Option<SessionId>,
    /// Whether the client is known to be still connected.
    pub presence: Rc<ClientPresence>,
    /// Time from now until the client stops waiting for the answer.
    pub timeout: Duration,
    /// Log position, as Unix time, up to which the answer must include all commits.
    pub minimum_position: Option<Timestamp>,
    /// Whether the client marked the request as a retry.
    pub retry: bool,
    /// Hash of the idempotency key, in a keyed class.
    pub idempotency_key: Option<KeyHash>,
    /// Statement that is sent to a database host.
    pub statement: Statement,
}
