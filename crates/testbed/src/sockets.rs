//! Sockets on loopback: every address is one of this machine's, with a port that the system gives.

use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, UdpSocket};

/// The address at which the relays and stand-ins of a run bind.
pub const STAND_IN_ADDRESS: &str = "127.0.0.1:0";
/// The address at which gateways listen for datagrams.
///
/// Its port is found by binding it, and is free again until the gateway starts. Another socket of the machine that asks
/// for any port could be given it in between, so an address is used at which nothing else asks for one.
pub const GATEWAY_PEER_ADDRESS: &str = "127.0.0.2:0";

/// A socket that could not be had.
#[derive(Debug, thiserror::Error)]
pub enum SocketError {
    /// No TCP listener could be bound.
    #[error("cannot listen on loopback: {0}")]
    Listen(#[source] io::Error),
    /// The address of a TCP listener could not be read.
    #[error("{0}")]
    ListenerAddress(#[source] io::Error),
    /// No UDP socket could be bound.
    #[error("no socket for datagrams: {0}")]
    Bind(#[source] io::Error),
    /// The address of a UDP socket could not be read.
    #[error("a socket without an address: {0}")]
    DatagramAddress(#[source] io::Error),
}

/// A TCP listener on loopback.
///
/// # Errors
/// None could be bound.
pub async fn listen() -> Result<TcpListener, SocketError> {
    TcpListener::bind(STAND_IN_ADDRESS)
        .await
        .map_err(SocketError::Listen)
}

/// The address of a TCP listener.
///
/// # Errors
/// The system does not give it.
pub fn listener_address(listener: &TcpListener) -> Result<SocketAddr, SocketError> {
    listener.local_addr().map_err(SocketError::ListenerAddress)
}

/// A UDP socket bound to `address`.
///
/// # Errors
/// It could not be bound.
pub async fn bind_datagram_socket(address: &str) -> Result<UdpSocket, SocketError> {
    UdpSocket::bind(address).await.map_err(SocketError::Bind)
}

/// The address of a UDP socket.
///
/// # Errors
/// The system does not give it.
pub fn datagram_address(socket: &UdpSocket) -> Result<SocketAddr, SocketError> {
    socket.local_addr().map_err(SocketError::DatagramAddress)
}
