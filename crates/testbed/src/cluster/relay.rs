//! The fault proxy of the datagrams between gateways: each gateway knows every other one by an address of its own, a
//! socket of the relay, and what it receives comes from that address, as on the platform. Between the two, datagrams are
//! dropped by a seeded draw, held for a time, and cut one way or both.

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

/// The platform's longest datagram between gateways, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Room for a datagram that is longer than the platform carries, so that it is seen to be.
const BUFFER_BYTES: usize = 1024;

/// What a gateway has sent: a datagram counts once for each receiver.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
}

/// What the relay does to datagrams, and what has gone through it.
pub struct Network {
    /// Share of datagrams dropped, 0 to 1.
    pub loss: f64,
    /// Pairs (from, to) whose datagrams are dropped.
    pub cuts: BTreeSet<(usize, usize)>,
    /// How long each datagram is held before it is passed on.
    pub delay: Duration,
    /// What each gateway has sent.
    pub sent: Vec<Traffic>,
    /// Datagrams longer than the platform carries.
    pub too_long: u64,
    rng: Rng,
}

impl Network {
    /// Counts a datagram from one gateway to another, and decides whether it is dropped.
    fn drops(&mut self, from: usize, to: usize, length: usize) -> bool {
        if let Some(sent) = self.sent.get_mut(from) {
            sent.datagrams += 1;
            sent.bytes += length as u64;
        }
        let too_long = length > MAX_DATAGRAM_BYTES;
        self.too_long += u64::from(too_long);
        self.rng.chance(self.loss) || self.cuts.contains(&(from, to)) || too_long
    }
}

/// The relay; its tasks end with the runtime that carries them.
pub struct Relay {
    /// Where each gateway listens.
    pub listen: Vec<SocketAddr>,
    /// By gateway: the addresses at which it knows each gateway, its own included.
    pub known: Vec<Vec<SocketAddr>>,
    /// By gateway: the address that reaches all others at once.
    pub broadcast: Vec<SocketAddr>,
    network: Arc<Mutex<Network>>,
}

/// The sockets of the relay.
struct Sockets {
    /// Where each gateway listens.
    listen: Vec<SocketAddr>,
    /// By sender and receiver.
    pairs: Vec<Vec<Arc<UdpSocket>>>,
    /// By sender.
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
            // The gateway's own port, free again once this is dropped.
            let own = bind_datagram_socket(GATEWAY_PEER_ADDRESS).await?;
            sockets.listen.push(datagram_address(&own)?);
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

    /// The addresses at which gateway `sender` knows each gateway.
    fn known_to(&self, sender: usize) -> Result<Vec<SocketAddr>, SocketError> {
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

    /// How what gateway `sender` sends reaches gateway `receiver`.
    fn target(&self, sender: usize, receiver: usize) -> Target {
        Target {
            gateway: receiver,
            socket: Arc::clone(&self.pairs[receiver][sender]),
            address: self.listen[receiver],
        }
    }

    /// Starts a task for each socket at which gateway `sender` sends.
    fn spawn_carriers(&self, sender: usize, network: &Arc<Mutex<Network>>) {
        let carry = |socket: &Arc<UdpSocket>, targets: Vec<Target>| {
            let carrier = Carrier {
                sender,
                sender_address: self.listen[sender],
                socket: Arc::clone(socket),
                targets,
                network: Arc::clone(network),
            };
            tokio::spawn(carrier.run());
        };
        let receivers = (0..self.listen.len()).filter(|&receiver| receiver != sender);
        for receiver in receivers.clone() {
            let target = self.target(sender, receiver);
            carry(&self.pairs[sender][receiver], vec![target]);
        }
        let targets = receivers.map(|receiver| self.target(sender, receiver));
        carry(&self.broadcast[sender], targets.collect());
    }
}

impl Relay {
    /// Binds every socket and starts a task for each.
    ///
    /// # Errors
    /// There are no sockets.
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
        let known = (0..gateways)
            .map(|sender| sockets.known_to(sender))
            .collect::<Result<_, _>>()?;
        let broadcast = (sockets.broadcast.iter())
            .map(|socket| datagram_address(socket))
            .collect::<Result<_, _>>()?;
        for sender in 0..gateways {
            sockets.spawn_carriers(sender, &network);
        }
        Ok(Relay {
            listen: sockets.listen,
            known,
            broadcast,
            network,
        })
    }

    /// What is done to datagrams, to be changed.
    pub fn network(&self) -> MutexGuard<'_, Network> {
        lock(&self.network)
    }
}

fn lock(network: &Mutex<Network>) -> MutexGuard<'_, Network> {
    network.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A gateway that a datagram is passed on to.
struct Target {
    gateway: usize,
    /// The socket at which it knows the sender.
    socket: Arc<UdpSocket>,
    /// Where it listens.
    address: SocketAddr,
}

/// Carries what a gateway sends at one socket to each target.
struct Carrier {
    sender: usize,
    sender_address: SocketAddr,
    socket: Arc<UdpSocket>,
    targets: Vec<Target>,
    network: Arc<Mutex<Network>>,
}

impl Carrier {
    async fn run(self) {
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            let Ok((length, source)) = self.socket.recv_from(&mut buffer).await else {
                // A datagram to a gateway that does not run came back as an error.
                tokio::task::yield_now().await;
                continue;
            };
            // No other process may send in this gateway's name.
            if source != self.sender_address {
                continue;
            }
            for target in &self.targets {
                self.pass_on(&buffer[..length], target).await;
            }
        }
    }

    async fn pass_on(&self, datagram: &[u8], target: &Target) {
        let (dropped, delay) = {
            let mut network = lock(&self.network);
            let dropped = network.drops(self.sender, target.gateway, datagram.len());
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
