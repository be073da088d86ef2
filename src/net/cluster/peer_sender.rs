//! Sends datagrams from the peer socket.

use crate::net::cluster::outbox::OutgoingDatagram;
use crate::net::metrics::{increment, Counter};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

/// The sending half of the peer socket.
#[derive(Clone)]
pub struct PeerSender {
    socket: Rc<UdpSocket>,
    /// The address that reaches all gateways, this one included.
    broadcast_address: SocketAddr,
}

impl PeerSender {
    /// Creates a sender on a non-blocking socket.
    pub const fn new(socket: Rc<UdpSocket>, broadcast_address: SocketAddr) -> Self {
        PeerSender {
            socket,
            broadcast_address,
        }
    }

    /// Sends datagrams, and counts those that the operating system accepted. A datagram that is
    /// lost, or that does not fit into the send buffer, is not retransmitted, because every service
    /// tolerates lost datagrams.
    pub fn send_all(&self, datagrams: Vec<OutgoingDatagram>, sent: &Counter) {
        for datagram in datagrams {
            self.send(&datagram.bytes, datagram.to, sent);
        }
    }

    /// Sends a datagram to all gateways, and counts it if the operating system accepted it.
    pub fn broadcast(&self, bytes: &[u8], sent: &Counter) {
        self.send(bytes, self.broadcast_address, sent);
    }

    fn send(&self, bytes: &[u8], to: SocketAddr, sent: &Counter) {
        if self.socket.send_to(bytes, to).is_ok() {
            increment(sent);
        }
    }
}
