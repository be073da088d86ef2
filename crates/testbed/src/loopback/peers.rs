//! The relay between gateways on loopback: a socket for each ordered pair, so that each gateway knows every other one by
//! an address of its own, as on the platform, and what it receives comes from that address.

use super::environment::Environment;
use super::spawn;
use crate::sockets::{
    bind_datagram_socket, datagram_address, SocketError, GATEWAY_PEER_ADDRESS, STAND_IN_ADDRESS,
};
use irisrouter_simulation::GatewayId;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Room for a datagram that is longer than the platform carries, so that it is seen to be.
const BUFFER_BYTES: usize = 1024;

/// The relay of one run.
pub struct Peers {
    environment: Rc<Environment>,
    /// Where each gateway listens.
    listen: Vec<SocketAddr>,
    /// By sender and receiver, a gateway itself included.
    pairs: Vec<Vec<Rc<UdpSocket>>>,
    /// By sender: the socket that reaches all others at once.
    broadcast: Vec<Rc<UdpSocket>>,
}

/// The addresses of the relay that one gateway knows.
pub struct PeerAddresses {
    /// Those of each gateway, its own included.
    pub known: Vec<SocketAddr>,
    /// The one that reaches all others at once.
    pub broadcast: SocketAddr,
}

async fn bind_relay_socket() -> Result<Rc<UdpSocket>, SocketError> {
    Ok(Rc::new(bind_datagram_socket(STAND_IN_ADDRESS).await?))
}

impl Peers {
    /// A relay between so many gateways.
    ///
    /// # Errors
    /// There are no sockets.
    pub async fn new(environment: Rc<Environment>, gateways: u32) -> Result<Rc<Self>, SocketError> {
        let (mut listen, mut pairs, mut broadcast) = (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..gateways {
            // The gateway's own port, free again once this is dropped.
            let own = bind_datagram_socket(GATEWAY_PEER_ADDRESS).await?;
            listen.push(datagram_address(&own)?);
            drop(own);
            let mut receivers = Vec::new();
            for _ in 0..gateways {
                receivers.push(bind_relay_socket().await?);
            }
            pairs.push(receivers);
            broadcast.push(bind_relay_socket().await?);
        }
        Ok(Rc::new(Peers {
            environment,
            listen,
            pairs,
            broadcast,
        }))
    }

    /// Where a gateway listens for datagrams.
    pub fn listen(&self, gateway: GatewayId) -> SocketAddr {
        self.listen[gateway.0 as usize]
    }

    /// The addresses that a gateway knows.
    ///
    /// # Errors
    /// A socket has no address.
    pub fn addresses(&self, gateway: GatewayId) -> Result<PeerAddresses, SocketError> {
        let index = gateway.0 as usize;
        let known = self.pairs[index].iter().map(|s| datagram_address(s));
        Ok(PeerAddresses {
            known: known.collect::<Result<_, _>>()?,
            broadcast: datagram_address(&self.broadcast[index])?,
        })
    }

    /// Passes datagrams on, for ever.
    pub async fn relay(self: Rc<Self>) {
        let gateways = self.listen.len();
        for sender in 0..gateways {
            for receiver in 0..gateways {
                let socket = Rc::clone(&self.pairs[sender][receiver]);
                spawn(Rc::clone(&self).carry(sender, socket, vec![receiver]));
            }
            let others = (0..gateways).filter(|&other| other != sender).collect();
            let socket = Rc::clone(&self.broadcast[sender]);
            spawn(Rc::clone(&self).carry(sender, socket, others));
        }
        std::future::pending().await
    }

    /// Carries what gateway `sender` sends at one socket to each receiver, for ever.
    async fn carry(self: Rc<Self>, sender: usize, socket: Rc<UdpSocket>, receivers: Vec<usize>) {
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            let Ok((length, source)) = socket.recv_from(&mut buffer).await else {
                // A datagram to a gateway that does not run came back as an error.
                tokio::task::yield_now().await;
                continue;
            };
            // No other process may send in this gateway's name.
            if source != self.listen[sender] {
                continue;
            }
            for &receiver in &receivers {
                self.pass_on(&buffer[..length], sender, receiver);
            }
        }
    }

    /// Passes a datagram on when it arrives in the world, if it does.
    fn pass_on(self: &Rc<Self>, datagram: &[u8], sender: usize, receiver: usize) {
        let now = self.environment.now();
        let (from, to) = (GatewayId(sender as u32), GatewayId(receiver as u32));
        let arrival = self.environment.datagrams.borrow_mut().send(
            now,
            &self.environment.fleet.borrow(),
            from,
            to,
            datagram.len(),
        );
        let Some(arrival) = arrival else {
            return;
        };
        let (relay, datagram) = (Rc::clone(self), datagram.to_vec());
        spawn(async move {
            relay.environment.until(arrival).await;
            let socket = &relay.pairs[receiver][sender];
            let _ = socket.send_to(&datagram, relay.listen[receiver]).await;
        });
    }
}
