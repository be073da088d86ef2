//! Connections to database hosts: reusing an idle one, or opening a new one with its handshake.

use crate::net::metrics::increment;
use crate::net::pg::{self, code};
use crate::net::upstream::host::CountGuard;
use crate::net::upstream::registry::Upstream;
use crate::net::upstream::reply::{LongRowHandling, Received, ReplyReader};
use crate::net::{read_now, write_all};
use irisrouter::routing::{MemberId, Outcome};
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// The user name that hosts expect in the startup message.
const USER: &str = "web";
/// The database that hosts expect in the startup message.
const DATABASE: &str = "orders";

/// A connection to a database host.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    /// Time at which the connection last became idle.
    pub(super) idle_since: Instant,
    /// Incarnation of the host that the connection was opened to.
    pub(super) incarnation: u64,
    _slot: CountGuard,
}

impl Connection {
    /// Returns whether the connection can be used again: it is still open, and no bytes arrived while it was idle.
    pub(super) fn is_usable(&self) -> bool {
        let read = read_now(&self.stream, &mut [0]);
        matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// The address that a new connection is opened to.
struct HostAddress {
    address: SocketAddr,
    incarnation: u64,
}

impl Upstream {
    /// Returns an idle connection to a host if there is a usable one; otherwise opens a new one.
    pub(super) async fn connection(
        &self,
        member: MemberId,
        deadline: Instant,
    ) -> Result<Connection, Outcome> {
        while let Some(connection) = self.check_out(member) {
            if connection.is_usable() {
                return Ok(connection);
            }
        }
        let start = Instant::now();
        let slot = self.reserve_slot().ok_or(Outcome::NotSent)?;
        let host = self.host_address(member).ok_or(Outcome::NotSent)?;
        let connect_deadline = deadline.min(start + self.connect_timeout());
        match timeout_at(connect_deadline, self.open(host, slot, start)).await {
            Ok(Ok(connection)) => {
                increment(&self.metrics.connections.upstream_opened);
                Ok(connection)
            }
            Ok(Err(outcome)) => Err(outcome),
            // The caller's deadline was earlier than the connect timeout, so this says nothing about the host.
            Err(_) if deadline < start + self.connect_timeout() => Err(Outcome::NotSent),
            Err(_) => Err(Outcome::ConnectFailed),
        }
    }

    /// Returns the address of a host that accepts requests. Returns `None` if the host has gone out of service since
    /// the router chose it, so that no connection is opened.
    fn host_address(&self, member: MemberId) -> Option<HostAddress> {
        let registry = self.registry.borrow();
        let host = registry.hosts.get(member);
        let host = host.filter(|host| host.accepts_requests)?;
        Some(HostAddress {
            address: host.entry.host_port,
            incarnation: host.incarnation,
        })
    }

    /// Opens a connection: connects, sends the startup message and waits for the host's first ReadyForQuery.
    async fn open(
        &self,
        host: HostAddress,
        slot: CountGuard,
        start: Instant,
    ) -> Result<Connection, Outcome> {
        let failed = |_: io::Error| Outcome::ConnectFailed;
        let mut stream = TcpStream::connect(host.address).await.map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        let mut buffer = self.buffers.acquire();
        pg::put_startup(&mut buffer, USER, DATABASE);
        write_all(&mut stream, &buffer).await.map_err(failed)?;
        buffer.clear();
        let mut connection = Connection {
            stream,
            idle_since: start,
            incarnation: host.incarnation,
            _slot: slot,
        };
        let reader = ReplyReader::new(buffer, self.buffers.acquire());
        let received = reader
            .read(&mut connection, LongRowHandling::ReadWhole)
            .await;
        let Ok(Received::Complete(complete)) = received else {
            return Err(Outcome::ConnectFailed);
        };
        match complete.reply.error.as_deref() {
            None if complete.reply.ready => Ok(connection),
            Some(code::TOO_MANY_CONNECTIONS) => Err(Outcome::Full),
            _ => Err(Outcome::ConnectFailed),
        }
    }
}
