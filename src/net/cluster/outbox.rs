//! Datagrams that a service has produced and that wait to be sent.

use irisrouter_cluster_types::GatewayId;
use std::cell::RefCell;
use std::net::SocketAddr;

/// A datagram to another gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// The address that it is sent to.
    pub to: SocketAddr,
    /// Its content.
    pub bytes: Vec<u8>,
}

/// Collects the datagrams of a service, and turns the numbers of gateways into addresses.
pub struct Outbox {
    /// The addresses of all gateways, by their numbers.
    addresses: Vec<SocketAddr>,
    queued: RefCell<Vec<OutgoingDatagram>>,
}

impl Outbox {
    /// An empty outbox. `addresses` are those of all gateways, by their numbers.
    pub const fn new(addresses: Vec<SocketAddr>) -> Self {
        Outbox {
            addresses,
            queued: RefCell::new(Vec::new()),
        }
    }

    /// Queues a datagram to this gateway. Nothing is queued where the fleet has no
    /// such gateway.
    pub fn push(&self, gateway: GatewayId, bytes: Vec<u8>) {
        if let Some(&to) = self.addresses.get(gateway.0 as usize) {
            self.queued
                .borrow_mut()
                .push(OutgoingDatagram { to, bytes });
        }
    }

    /// Removes and returns all queued datagrams.
    pub fn take(&self) -> Vec<OutgoingDatagram> {
        self.queued.take()
    }

    /// Whether no datagram is queued.
    pub fn is_empty(&self) -> bool {
        self.queued.borrow().is_empty()
    }
}
