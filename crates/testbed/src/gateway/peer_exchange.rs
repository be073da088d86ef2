//! The exchange of datagrams between gateways.

use irisrouter_simulation::GatewayId;
use irisrouter_simulation::Ns;

/// The exchange of a gateway with its peers: a subsystem that sends datagrams to other gateways plugs in here. A gateway
/// that is killed loses its state with all else, and starts with a new one.
pub trait PeerExchange {
    /// Receives a datagram from another gateway, by its address.
    fn receive(&mut self, now: Ns, from: GatewayId, body: &[u8]);

    /// The datagrams that it sends now.
    fn outgoing(&mut self, now: Ns) -> Vec<OutgoingDatagram>;

    /// When it wants to send again, if nothing is received before.
    fn next_due(&self) -> Option<Ns>;
}

/// A datagram that a gateway sends to its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Who receives it.
    pub to: Recipients,
    /// What it carries.
    pub body: Vec<u8>,
}

/// Who receives a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// One gateway.
    One(GatewayId),
    /// All gateways but the sender.
    AllOthers,
}
