//! The pool of connections to all hosts: its limits, and the choice of the idle connection to reuse or close.

use crate::net::upstream::connection::Connection;
use crate::net::upstream::host::{CountGuard, Host};
use crate::net::upstream::registry::{Registry, Upstream};
use irisrouter::routing::MemberId;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Interval between calls of [`Upstream::close_idle`]. It is far shorter than the time by which this gateway's idle
/// timeout is shorter than a host's own, which is a fifth of the host's timeout.
pub const IDLE_CLOSE_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time that a connection is idle before it is reused. Bytes that a host sends after a complete reply, such as
/// a second copy of it, arrive in this time, so that they are not read as the reply to the next request.
const MIN_IDLE_TIME: Duration = Duration::from_millis(10);
/// Time from a host's removal from the endpoint list until the host is deleted from the registry. A host may return to
/// the list within this time. Without a limit, the registry would grow for ever where hosts are replaced all day.
const REMOVED_HOST_RETENTION: Duration = Duration::from_secs(30);

/// Limits on the connections to hosts.
pub(super) struct ConnectionLimits {
    /// Maximum time to open a connection.
    pub(super) connect_timeout: Cell<Duration>,
    /// Maximum time that a connection may be idle.
    pub(super) idle_timeout: Cell<Duration>,
    /// Maximum number of connections to all hosts, including those of another process of this gateway.
    max_connections: usize,
    /// Number of open connections of this process, including those that are being opened.
    open: Rc<Cell<usize>>,
}

impl ConnectionLimits {
    /// Creates limits with no open connection. The timeouts are zero until the settings are applied.
    pub(super) fn new(max_connections: usize) -> Self {
        ConnectionLimits {
            connect_timeout: Cell::default(),
            idle_timeout: Cell::default(),
            max_connections,
            open: Rc::default(),
        }
    }
}

impl Upstream {
    /// Returns the number of open connections of this process, including those that are being opened.
    pub fn open_connections(&self) -> usize {
        self.limits.open.get()
    }

    /// Sets the number of connections of another process of this gateway, which count towards this process's limit.
    pub fn set_other_process_connections(&self, connections: usize) {
        self.other_process_connections.set(connections);
    }

    /// Returns the number of connections of all processes of this gateway.
    fn total_connections(&self) -> usize {
        self.open_connections() + self.other_process_connections.get()
    }

    /// Reserves a slot for a new connection. At the limit, the connection that has been idle longest is closed first.
    /// Returns `None` if the limit is reached and no connection is idle.
    pub(super) fn reserve_slot(&self) -> Option<CountGuard> {
        while self.total_connections() >= self.limits.max_connections {
            if !self.close_longest_idle() {
                return None;
            }
        }
        Some(CountGuard::new(&self.limits.open))
    }

    /// Closes the connection that has been idle longest. Returns whether there was an idle connection.
    fn close_longest_idle(&self) -> bool {
        let longest_idle = self.registry.borrow_mut().idle.take_longest_idle();
        longest_idle.is_some()
    }

    /// Takes the most recently used connection to a host of those that have been idle for [`MIN_IDLE_TIME`]. The most
    /// recent one is preferred because it is the warmest, and so that the others can reach their idle timeout.
    /// Returns `None` if there is none, or if it has reached its idle timeout; it is then closed.
    pub(super) fn check_out(&self, member: MemberId) -> Option<Connection> {
        let mut registry = self.registry.borrow_mut();
        let idle_timeout = self.limits.idle_timeout.get();
        let now = Instant::now();
        let may_be_used = |connection: &Connection| now - connection.idle_since >= MIN_IDLE_TIME;
        let connection = registry.idle.take_last(member, may_be_used)?;
        (now - connection.idle_since < idle_timeout).then_some(connection)
    }

    /// Returns a connection to the pool. Closes it if its host accepts no requests, or if the host's incarnation has
    /// changed since the connection was opened.
    pub(super) fn check_in(&self, member: MemberId, mut connection: Connection) {
        let mut registry = self.registry.borrow_mut();
        let host = registry.hosts.get(member);
        if host.is_some_and(|host| host.accepts_requests_at(connection.incarnation)) {
            connection.idle_since = Instant::now();
            registry.idle.insert(member, connection);
        }
    }

    /// Counts a request as in flight at a host until the guard is dropped. Returns `None` if the host accepts no
    /// requests, or is no longer the incarnation that the request's connection was opened to.
    pub(super) fn begin_request(&self, member: MemberId, incarnation: u64) -> Option<CountGuard> {
        let registry = self.registry.borrow();
        let host = registry.hosts.get(member);
        let host = host.filter(|host| host.accepts_requests_at(incarnation))?;
        Some(CountGuard::new(&host.in_flight))
    }

    /// Closes idle connections that exceed the limit, that their hosts have closed already, or that have reached this
    /// gateway's idle timeout, which is shorter than the hosts'. Deletes hosts that accept no requests and were removed
    /// from the endpoint list at least [`REMOVED_HOST_RETENTION`] ago.
    pub fn close_idle(&self) {
        while self.total_connections() > self.limits.max_connections && self.close_longest_idle() {}
        let mut registry = self.registry.borrow_mut();
        registry.delete_removed_hosts();
        let idle_timeout = self.limits.idle_timeout.get();
        registry.idle.retain(|connection| {
            connection.idle_since.elapsed() < idle_timeout && connection.is_usable()
        });
    }
}

impl Registry {
    fn delete_removed_hosts(&mut self) {
        let has_expired = |removed_at: Instant| removed_at.elapsed() >= REMOVED_HOST_RETENTION;
        let is_deletable =
            |host: &Host| !host.accepts_requests && host.removed_at.is_some_and(has_expired);
        let removed = self.hosts.index().removed();
        let deletable: Vec<MemberId> = removed
            .filter(|&member| self.hosts.get(member).is_some_and(is_deletable))
            .collect();
        for member in deletable {
            if let Some(host) = self.hosts.remove(member) {
                self.members_by_name.remove(&host.entry.id);
            }
        }
    }
}
