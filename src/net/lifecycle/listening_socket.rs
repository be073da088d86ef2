//! Listening sockets of the process: bound by itself, or inherited from the platform.

use crate::net::config::{Config, ListenerSource};
use crate::net::lifecycle::StartupError;
use listenfd::ListenFd;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that the system holds for the gateway until it accepts them.
const LISTEN_BACKLOG: u32 = 1024;

/// The socket on which clients connect.
#[derive(Clone)]
pub struct ListeningSocket {
    /// The socket; it is closed when the last clone is dropped.
    pub socket: Rc<TcpListener>,
    /// Who else holds the socket. It decides who serves the connections that wait in its queue.
    pub source: ListenerSource,
}

impl ListeningSocket {
    /// Binds or inherits the socket, as the configuration says.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, or the process has inherited no socket.
    pub fn open(config: &Config) -> Result<Self, StartupError> {
        let socket = match config.listener_source {
            ListenerSource::Bound => bind(config.listen_address),
            ListenerSource::Inherited => inherit(),
        };
        let socket = socket.map_err(|source| StartupError::Listen {
            address: config.listen_address,
            source,
        })?;
        Ok(Self {
            socket: Rc::new(socket),
            source: config.listener_source,
        })
    }

    /// The address on which clients connect.
    ///
    /// # Errors
    ///
    /// The system does not know it.
    pub fn local_address(&self) -> Result<SocketAddr, StartupError> {
        self.socket.local_addr().map_err(StartupError::LocalAddress)
    }
}

/// Binds the operators' socket.
///
/// # Errors
///
/// The address cannot be bound.
pub fn bind_console(address: SocketAddr) -> Result<TcpListener, StartupError> {
    bind(address).map_err(|source| StartupError::Listen { address, source })
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    // Without this, a restarted gateway could not bind while connections of its predecessor are closing.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Takes the listening socket that the platform passes to every process of this gateway as descriptor 3.
fn inherit() -> io::Result<TcpListener> {
    // `listenfd` reads systemd's variables; these values make it take one descriptor, from number 3 on.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::remove_var("LISTEN_PID");
    std::env::remove_var("LISTEN_FDS_FIRST_FD");
    let listener = ListenFd::from_env()
        .take_tcp_listener(0)?
        .ok_or(io::ErrorKind::NotFound)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}
