//! Queue of the datagrams that a service has produced and that have not been sent yet.

use irisrouter_cluster_types::GatewayId;
use std::cell::RefCell;
use std::net::SocketAddr;

/// A datagram to another gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Destination address.
    pub to: SocketAddr,
    /// Payload of the datagram.
    pub bytes: Vec<u8>,
}

/// Collects the outgoing datagrams of a service, and resolves gateway ids to addresses.
pub struct Outbox {
    /// The address of each gateway, indexed by gateway id.
    addresses: Vec<SocketAddr>,
    queued: RefCell<Vec<OutgoingDatagram>>,
}

impl Outbox {
    /// Creates an empty outbox. `addresses` has the address of each gateway, indexed by gateway id.
    pub const fn new(addresses: Vec<SocketAddr>) -> Self {
        Outbox {
            addresses,
            queued: RefCell::new(Vec::new()),
        }
    }

    /// Queues a datagram to `gateway`. Does nothing if the fleet has no gateway with this id.
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

    /// Returns whether no datagram is queued.
    pub fn is_empty(&self) -> bool {
        self.queued.borrow().is_empty()
    }
}
