//! The fault proxy for the datagrams between gateways. The relay has a socket for each ordered pair of gateways: a
//! gateway sends to another one at the address of such a socket, and receives the other one's datagrams from that
//! address, as on the platform. The relay drops datagrams with a seeded probability, delays them, and cuts a link in
//! one or both directions.

use crate::sockets::{
    bind_datagram_socket, datagram_address, SocketError, GATEWAY_PEER_ADDRESS, STAND_IN_ADDRESS,
};
use irisrouter_simulation::rng::{Rng, Stream};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::runtime::Handle;

/// Length of the longest datagram that the platform carries between gateways, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Size of the receive buffer, in bytes: larger than the longest datagram, so that one that is too long is detected and
/// not truncated.
const BUFFER_BYTES: usize = 1024;

/// The traffic that a gateway has sent; a broadcast datagram counts once for each receiver.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Total length of the datagrams, in bytes.
    pub bytes: u64,
}

/// The faults that the relay injects, and the traffic that it has received.
pub struct Network {
    /// Probability with which a datagram is dropped, 0 to 1.
    pub loss: f64,
    /// Pairs (sender, receiver) of gateways whose datagrams are dropped.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Time from the receipt of a datagram until the relay forwards it.
    pub delay: Duration,
    /// By gateway: the traffic that it has sent, including datagrams that were dropped.
    pub sent: Vec<Traffic>,
    /// Number of datagrams that were longer than the platform carries; they are dropped.
    pub too_long: u64,
    rng: Rng,
}

impl Network {
    /// Counts a datagram from one gateway to another, and returns whether it is dropped.
    fn count_and_decide_drop(&mut self, from: usize, to: usize, length: usize) -> bool {
        if let Some(sent) = self.sent.get_mut(from) {
            sent.datagrams += 1;
            sent.bytes += length as u64;
        }
        let too_long = length > MAX_DATAGRAM_BYTES;
        self.too_long += u64::from(too_long);
        self.rng.chance(self.loss) || self.cuts.contains(&(from, to)) || too_long
    }
}

/// The relay; its tasks end with the runtime on which they run.
pub struct Relay {
    /// Where each gateway listens.
    pub listen: Vec<SocketAddr>,
    /// By gateway: the addresses at which it reaches each gateway, its own included.
    pub peer_addresses: Vec<Vec<SocketAddr>>,
    /// By gateway: the address that reaches all others at once.
    pub broadcast: Vec<SocketAddr>,
    network: Arc<Mutex<Network>>,
}

/// The sockets of the relay, and the addresses of the gateways.
struct Sockets {
    /// Where each gateway listens.
    listen: Vec<SocketAddr>,
    /// By sender and receiver: the socket to which the sender sends its datagrams for the receiver.
    pairs: Vec<Vec<Arc<UdpSocket>>>,
    /// By sender: the socket to which it sends its datagrams for all others.
    broadcast: Vec<Arc<UdpSocket>>,
}

impl Sockets {
    async fn bind(gateways: usize) -> Result<Self, SocketError> {
        let mut sockets = Sockets {
            listen: Vec::new(),
            pairs: Vec::new(),
            broadcast: Vec::new(),
        };
        for _ in 0..gateways {
            // Reserves a port for the gateway; it is free again once this socket is dropped.
            let reserved = bind_datagram_socket(GATEWAY_PEER_ADDRESS).await?;
            sockets.listen.push(datagram_address(&reserved)?);
            let mut receivers = Vec::new();
            for _ in 0..gateways {
                receivers.push(Arc::new(bind_datagram_socket(STAND_IN_ADDRESS).await?));
            }
            sockets.pairs.push(receivers);
            let broadcast = bind_datagram_socket(STAND_IN_ADDRESS).await?;
            sockets.broadcast.push(Arc::new(broadcast));
        }
        Ok(sockets)
    }

    /// The addresses at which gateway `sender` reaches each gateway.
    fn peer_addresses_of(&self, sender: usize) -> Result<Vec<SocketAddr>, SocketError> {
        let sockets = self.pairs[sender].iter().enumerate();
        sockets
            .map(|(receiver, socket)| {
                if receiver == sender {
                    Ok(self.listen[sender])
                } else {
                    datagram_address(socket)
                }
            })
            .collect()
    }

    /// The target for datagrams from gateway `sender` to gateway `receiver`.
    fn target(&self, sender: usize, receiver: usize) -> Target {
        Target {
            gateway: receiver,
            socket: Arc::clone(&self.pairs[receiver][sender]),
            address: self.listen[receiver],
        }
    }

    /// Starts a task for each socket to which gateway `sender` sends.
    fn spawn_forwarders(&self, sender: usize, network: &Arc<Mutex<Network>>) {
        let spawn_forwarder = |socket: &Arc<UdpSocket>, targets: Vec<Target>| {
            let forwarder = Forwarder {
                sender,
                sender_address: self.listen[sender],
                socket: Arc::clone(socket),
                targets,
                network: Arc::clone(network),
            };
            tokio::spawn(forwarder.run());
        };
        let receivers = (0..self.listen.len()).filter(|&receiver| receiver != sender);
        for receiver in receivers.clone() {
            let target = self.target(sender, receiver);
            spawn_forwarder(&self.pairs[sender][receiver], vec![target]);
        }
        let targets = receivers.map(|receiver| self.target(sender, receiver));
        spawn_forwarder(&self.broadcast[sender], targets.collect());
    }
}

impl Relay {
    /// Binds all sockets and starts a task for each.
    ///
    /// # Errors
    /// A socket cannot be bound.
    pub async fn start(gateways: usize, seed: u64) -> Result<Self, SocketError> {
        let network = Arc::new(Mutex::new(Network {
            loss: 0.0,
            cuts: BTreeSet::new(),
            delay: Duration::ZERO,
            sent: vec![Traffic::default(); gateways],
            too_long: 0,
            rng: Rng::new(seed, Stream::Network),
        }));
        let sockets = Sockets::bind(gateways).await?;
        let peer_addresses = (0..gateways)
            .map(|sender| sockets.peer_addresses_of(sender))
            .collect::<Result<_, _>>()?;
        let broadcast = (sockets.broadcast.iter())
            .map(|socket| datagram_address(socket))
            .collect::<Result<_, _>>()?;
        for sender in 0..gateways {
            sockets.spawn_forwarders(sender, &network);
        }
        Ok(Relay {
            listen: sockets.listen,
            peer_addresses,
            broadcast,
            network,
        })
    }

    /// Locks the injected faults and the traffic counts, to read or change them.
    pub fn network(&self) -> MutexGuard<'_, Network> {
        lock(&self.network)
    }
}

fn lock(network: &Mutex<Network>) -> MutexGuard<'_, Network> {
    network.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A gateway to which datagrams are forwarded.
struct Target {
    gateway: usize,
    /// The socket from which the gateway expects the sender's datagrams.
    socket: Arc<UdpSocket>,
    /// The address at which the gateway listens.
    address: SocketAddr,
}

/// Forwards the datagrams that a gateway sends to one socket to each target.
struct Forwarder {
    sender: usize,
    sender_address: SocketAddr,
    socket: Arc<UdpSocket>,
    targets: Vec<Target>,
    network: Arc<Mutex<Network>>,
}

impl Forwarder {
    async fn run(self) {
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            let Ok((length, source)) = self.socket.recv_from(&mut buffer).await else {
                // The operating system reports an earlier datagram to a gateway that does not run as an error here.
                tokio::task::yield_now().await;
                continue;
            };
            // Datagrams of any other process are ignored, because they would be taken for this gateway's.
            if source != self.sender_address {
                continue;
            }
            for target in &self.targets {
                self.forward(&buffer[..length], target).await;
            }
        }
    }

    async fn forward(&self, datagram: &[u8], target: &Target) {
        let (dropped, delay) = {
            let mut network = lock(&self.network);
            let dropped =
                network.count_and_decide_drop(self.sender, target.gateway, datagram.len());
            (dropped, network.delay)
        };
        if dropped {
            return;
        }
        let (socket, address) = (Arc::clone(&target.socket), target.address);
        if delay.is_zero() {
            let _ = socket.send_to(datagram, address).await;
            return;
        }
        let datagram = datagram.to_vec();
        Handle::current().spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = socket.send_to(&datagram, address).await;
        });
    }
}
