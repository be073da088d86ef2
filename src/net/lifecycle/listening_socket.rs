//! Listening sockets of the process, which it binds itself or inherits from the platform.

use crate::net::config::{Config, ListenerSource};
use crate::net::lifecycle::StartupError;
use listenfd::ListenFd;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket};

/// Maximum number of connections in the accept queue of a listening socket.
const LISTEN_BACKLOG: u32 = 1024;

/// The socket on which clients connect.
#[derive(Clone)]
pub struct ListeningSocket {
    /// The socket, which is closed when the last clone is dropped.
    pub socket: Rc<TcpListener>,
    /// Whether other processes hold the socket too. If they do, they serve the connections in its accept queue when
    /// this process stops.
    pub source: ListenerSource,
}

impl ListeningSocket {
    /// Binds or inherits the socket, as the configuration specifies.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the process has inherited no socket.
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

    /// Returns the address on which clients connect.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not return the address.
    pub fn local_address(&self) -> Result<SocketAddr, StartupError> {
        self.socket.local_addr().map_err(StartupError::LocalAddress)
    }
}

/// Binds the console's listening socket.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn bind_console(address: SocketAddr) -> Result<TcpListener, StartupError> {
    bind(address).map_err(|source| StartupError::Listen { address, source })
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    // Without `SO_REUSEADDR` a restarted gateway could not bind the address while connections of the process before it
    // are still closing.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Takes the listening socket that the platform passes to every process of this gateway as descriptor 3.
fn inherit() -> io::Result<TcpListener> {
    // `listenfd` reads systemd's variables. These values make it take exactly one descriptor, number 3.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::remove_var("LISTEN_PID");
    std::env::remove_var("LISTEN_FDS_FIRST_FD");
    let listener = ListenFd::from_env()
        .take_tcp_listener(0)?
        .ok_or(io::ErrorKind::NotFound)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}
