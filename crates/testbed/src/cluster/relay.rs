//! The fault proxy of the datagrams between gateways: each gateway knows every other one by an address of its own, a
//! socket of the relay, and what it hears comes from that address, as on the platform. Between the two, datagrams are
//! dropped by a seeded draw, held for a time, and cut one way or both.

use irisrouter_simulation::rng::{Rng, Stream};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::runtime::Handle;

/// The platform's longest datagram between gateways.
const LONGEST: usize = 256;

/// What the relay does to datagrams, and what has gone through it.
pub struct Network {
    /// Share of datagrams dropped, 0 to 1.
    pub loss: f64,
    /// Pairs (from, to) whose datagrams are dropped.
    pub cuts: BTreeSet<(usize, usize)>,
    /// How long each datagram is held before it is passed on.
    pub delay: Duration,
    /// Datagrams and bytes that each gateway sent, once for each receiver.
    pub sent: Vec<(u64, u64)>,
    /// Datagrams longer than the platform carries.
    pub too_long: u64,
    rng: Rng,
}

/// The relay; its tasks end with the runtime that carries them.
pub struct Relay {
    /// Where each gateway listens.
    pub listen: Vec<SocketAddr>,
    /// By gateway: all gateways as it knows them.
    pub known: Vec<Vec<SocketAddr>>,
    /// By gateway: the way to all others at once.
    pub all: Vec<SocketAddr>,
    network: Arc<Mutex<Network>>,
}

async fn bind(at: &str) -> Result<Arc<UdpSocket>, String> {
    UdpSocket::bind(at)
        .await
        .map(Arc::new)
        .map_err(|e| format!("no socket for datagrams: {e}"))
}

fn address(socket: &UdpSocket) -> Result<SocketAddr, String> {
    socket
        .local_addr()
        .map_err(|e| format!("a socket without an address: {e}"))
}

impl Relay {
    /// Binds every socket and starts a task for each.
    ///
    /// # Errors
    /// Where there are no sockets.
    pub async fn start(gateways: usize, seed: u64) -> Result<Self, String> {
        let network = Arc::new(Mutex::new(Network {
            loss: 0.0,
            cuts: BTreeSet::new(),
            delay: Duration::ZERO,
            sent: vec![(0, 0); gateways],
            too_long: 0,
            rng: Rng::new(seed, Stream::Network),
        }));
        let (mut listen, mut ways, mut all) = (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..gateways {
            // The gateway's own port, free again once this is dropped. Another socket of the machine that asks for
            // any port could be given it, so an address is used at which nothing else asks for one.
            listen.push(address(&*bind("127.0.0.2:0").await?)?);
            let mut row = Vec::new();
            for _ in 0..gateways {
                row.push(bind("127.0.0.1:0").await?);
            }
            ways.push(row);
            all.push(bind("127.0.0.1:0").await?);
        }
        let known = ways.iter().enumerate().map(|(a, row)| {
            row.iter()
                .enumerate()
                .map(|(b, s)| if a == b { Ok(listen[a]) } else { address(s) })
                .collect()
        });
        let known = known.collect::<Result<Vec<Vec<_>>, _>>()?;
        let all_at = all.iter().map(|s| address(s)).collect::<Result<_, _>>()?;
        for a in 0..gateways {
            let way = |b: usize| (b, Arc::clone(&ways[b][a]), listen[b]);
            let others = (0..gateways).filter(|&b| b != a);
            for b in others.clone() {
                tokio::spawn(carry(
                    a,
                    Arc::clone(&ways[a][b]),
                    vec![way(b)],
                    listen[a],
                    Arc::clone(&network),
                ));
            }
            let all = Arc::clone(&all[a]);
            tokio::spawn(carry(
                a,
                all,
                others.map(way).collect(),
                listen[a],
                Arc::clone(&network),
            ));
        }
        Ok(Relay {
            listen,
            known,
            all: all_at,
            network,
        })
    }

    /// What is done to datagrams, to be changed.
    pub fn network(&self) -> MutexGuard<'_, Network> {
        self.network.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Carries what gateway `from` sends at one socket to each target, through the socket at which the target knows it.
async fn carry(
    from: usize,
    socket: Arc<UdpSocket>,
    targets: Vec<(usize, Arc<UdpSocket>, SocketAddr)>,
    sender: SocketAddr,
    network: Arc<Mutex<Network>>,
) {
    let mut buffer = [0; 1024];
    loop {
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else {
            // What was sent to a gateway that is away came back as an error.
            tokio::task::yield_now().await;
            continue;
        };
        // Nobody else may speak for this gateway.
        if source != sender {
            continue;
        }
        for (to, back, at) in &targets {
            let (dropped, delay) = {
                let mut n = network.lock().unwrap_or_else(PoisonError::into_inner);
                if let Some(sent) = n.sent.get_mut(from) {
                    *sent = (sent.0 + 1, sent.1 + length as u64);
                }
                n.too_long += u64::from(length > LONGEST);
                let loss = n.loss;
                (
                    n.rng.chance(loss) || n.cuts.contains(&(from, *to)) || length > LONGEST,
                    n.delay,
                )
            };
            if dropped {
                continue;
            }
            let (back, at, body) = (Arc::clone(back), *at, buffer[..length].to_vec());
            if delay.is_zero() {
                let _ = back.send_to(&body, at).await;
            } else {
                Handle::current().spawn(async move {
                    tokio::time::sleep(delay).await;
                    let _ = back.send_to(&body, at).await;
                });
            }
        }
    }
}
