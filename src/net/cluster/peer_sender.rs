//! Sends datagrams from the peer socket.

use crate::net::cluster::outbox::OutgoingDatagram;
use crate::net::metrics::{increment, Counter};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// The sending half of the peer socket.
#[derive(Clone)]
pub struct PeerSender {
    socket: Rc<UdpSocket>,
    /// The address that reaches all gateways, this one included.
    broadcast_address: SocketAddr,
}

impl PeerSender {
    /// A sender on this socket.
    pub const fn new(socket: Rc<UdpSocket>, broadcast_address: SocketAddr) -> Self {
        PeerSender {
            socket,
            broadcast_address,
        }
    }

    /// Sends datagrams, and counts those that the system accepted. A datagram that is lost is not
    /// sent again: every service is designed for lost datagrams.
    pub async fn send_all(&self, datagrams: Vec<OutgoingDatagram>, sent: &Counter) {
        for datagram in datagrams {
            self.send(&datagram.bytes, datagram.to, sent).await;
        }
    }

    /// Sends a datagram to all gateways, and counts it if the system accepted it.
    pub async fn broadcast(&self, bytes: &[u8], sent: &Counter) {
        self.send(bytes, self.broadcast_address, sent).await;
    }

    async fn send(&self, bytes: &[u8], to: SocketAddr, sent: &Counter) {
        if self.socket.send_to(bytes, to).await.is_ok() {
            increment(sent);
        }
    }
}
