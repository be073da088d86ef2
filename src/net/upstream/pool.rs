//! The connections to all hosts: how many there may be, and which idle one is used or closed next.

use crate::net::upstream::connection::Connection;
use crate::net::upstream::host::{CountGuard, Host};
use crate::net::upstream::registry::{Registry, Upstream};
use irisrouter::routing::MemberId;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How often [`Upstream::close_idle`] is called: far shorter than the margin that remains before a host closes an idle
/// connection itself, which is a fifth of its idle timeout.
pub const IDLE_CLOSE_INTERVAL: Duration = Duration::from_millis(500);
/// A connection stays idle for at least this time before it is used again. What a host sends behind a good answer, such as
/// a second copy of it, arrives meanwhile, and is not read as the answer of the next request.
const MIN_IDLE_TIME: Duration = Duration::from_millis(10);
/// How long a host that was removed from the list is remembered, as it may come back. Where hosts are replaced all day,
/// they would otherwise be kept for ever.
const REMOVED_HOST_RETENTION: Duration = Duration::from_secs(30);

/// Limits on the connections to hosts.
pub(super) struct ConnectionLimits {
    /// How long a connection may take to come up.
    pub(super) connect_timeout: Cell<Duration>,
    /// How long a connection may be idle.
    pub(super) idle_timeout: Cell<Duration>,
    /// Connections to all hosts, those of another process of this gateway included.
    max_connections: usize,
    /// Connections of this process.
    open: Rc<Cell<usize>>,
}

impl ConnectionLimits {
    /// No connection yet, and no timeouts.
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
    /// Connections of this process.
    pub fn open_connections(&self) -> usize {
        self.limits.open.get()
    }

    /// Sets the connections of another process of this gateway: they count towards the limit of this one.
    pub fn set_other_process_connections(&self, connections: usize) {
        self.other_process_connections.set(connections);
    }

    /// Connections of all processes of this gateway.
    fn total_connections(&self) -> usize {
        self.open_connections() + self.other_process_connections.get()
    }

    /// A slot for one more connection; at the limit, that of the one that has been idle longest. `None` where all are in
    /// use.
    pub(super) fn reserve_slot(&self) -> Option<CountGuard> {
        while self.total_connections() >= self.limits.max_connections {
            if !self.close_longest_idle() {
                return None;
            }
        }
        Some(CountGuard::new(&self.limits.open))
    }

    /// Closes the connection that has been idle longest; returns whether there was one.
    fn close_longest_idle(&self) -> bool {
        let longest_idle = self.registry.borrow_mut().idle.take_longest_idle();
        longest_idle.is_some()
    }

    /// The connection that was used last of those that have been idle long enough: it is the warmest, and the others can
    /// reach their idle timeout.
    pub(super) fn check_out(&self, member: MemberId) -> Option<Connection> {
        let mut registry = self.registry.borrow_mut();
        let idle_timeout = self.limits.idle_timeout.get();
        let now = Instant::now();
        let may_be_used = |connection: &Connection| now - connection.idle_since >= MIN_IDLE_TIME;
        let connection = registry.idle.take_last(member, may_be_used)?;
        (now - connection.idle_since < idle_timeout).then_some(connection)
    }

    /// Makes a connection idle, or closes it where its host takes no requests or has changed since it came up.
    pub(super) fn check_in(&self, member: MemberId, mut connection: Connection) {
        let mut registry = self.registry.borrow_mut();
        let host = registry.hosts.get(member);
        if host.is_some_and(|host| host.accepts_requests_at(connection.incarnation)) {
            connection.idle_since = Instant::now();
            registry.idle.insert(member, connection);
        }
    }

    /// Counts one more request in flight at a host, if new ones may be sent to it at this moment.
    pub(super) fn begin_request(&self, member: MemberId) -> Option<CountGuard> {
        let registry = self.registry.borrow();
        let host = registry.hosts.get(member);
        let host = host.filter(|host| host.accepts_requests)?;
        Some(CountGuard::new(&host.in_flight))
    }

    /// Closes idle connections before their hosts do, and those that their hosts have closed already. Forgets hosts that
    /// were removed a while ago.
    pub fn close_idle(&self) {
        while self.total_connections() > self.limits.max_connections && self.close_longest_idle() {}
        let mut registry = self.registry.borrow_mut();
        registry.forget_removed_hosts();
        let idle_timeout = self.limits.idle_timeout.get();
        registry.idle.retain(|connection| {
            connection.idle_since.elapsed() < idle_timeout && connection.is_usable()
        });
    }
}

impl Registry {
    fn forget_removed_hosts(&mut self) {
        let is_old = |removed_at: Instant| removed_at.elapsed() >= REMOVED_HOST_RETENTION;
        let forgotten = |host: &Host| !host.accepts_requests && host.removed_at.is_some_and(is_old);
        let removed = self.hosts.index().removed();
        let forgotten: Vec<MemberId> = removed
            .filter(|&member| self.hosts.get(member).is_some_and(forgotten))
            .collect();
        for member in forgotten {
            if let Some(host) = self.hosts.remove(member) {
                self.members_by_name.remove(&host.entry.id);
            }
        }
    }
}
