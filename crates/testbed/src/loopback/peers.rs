//! The way between gateways on loopback: a socket for each ordered pair, so that each gateway knows every other one by an
//! address of its own, as on the platform, and what it hears comes from that address.

use super::beside;
use super::environment::Environment;
use irisrouter_simulation::GatewayId;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// One more than a gateway may send: what is longer is seen to be.
const BUFFER: usize = 1024;

/// The relay of one run.
pub struct Peers {
    environment: Rc<Environment>,
    /// Where each gateway listens.
    listen: Vec<SocketAddr>,
    /// By gateway: the others as it knows them, its own place included.
    known: Vec<Vec<Rc<UdpSocket>>>,
    /// By gateway: all others at once.
    all: Vec<Rc<UdpSocket>>,
}

/// Where gateways listen, and where the relay does.
const GATEWAYS: &str = "127.0.0.2:0";
const RELAY: &str = "127.0.0.1:0";

async fn socket() -> Result<Rc<UdpSocket>, String> {
    socket_at(RELAY).await
}

async fn socket_at(address: &str) -> Result<Rc<UdpSocket>, String> {
    UdpSocket::bind(address)
        .await
        .map(Rc::new)
        .map_err(|e| format!("no socket for datagrams: {e}"))
}

fn address(socket: &UdpSocket) -> Result<SocketAddr, String> {
    socket
        .local_addr()
        .map_err(|e| format!("a socket without an address: {e}"))
}

impl Peers {
    /// A relay between so many gateways.
    ///
    /// # Errors
    /// Where there are no sockets.
    pub async fn new(environment: Rc<Environment>, gateways: u32) -> Result<Rc<Self>, String> {
        let (mut listen, mut known, mut all) = (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..gateways {
            // The port is free again once this is dropped. Another socket of the machine that asks for any port could
            // be given it before the gateway starts, so an address is used at which nothing else asks for one.
            listen.push(address(&*socket_at(GATEWAYS).await?)?);
            let mut others = Vec::new();
            for _ in 0..gateways {
                others.push(socket().await?);
            }
            known.push(others);
            all.push(socket().await?);
        }
        Ok(Rc::new(Peers {
            environment,
            listen,
            known,
            all,
        }))
    }

    /// Where a gateway listens for datagrams.
    pub fn listen(&self, gateway: GatewayId) -> SocketAddr {
        self.listen[gateway.0 as usize]
    }

    /// The gateways as one of them knows them, and its address for all.
    ///
    /// # Errors
    /// Where a socket has no address.
    pub fn addresses(&self, gateway: GatewayId) -> Result<(Vec<SocketAddr>, SocketAddr), String> {
        let known = &self.known[gateway.0 as usize];
        let known = known.iter().map(|s| address(s)).collect::<Result<_, _>>()?;
        Ok((known, address(&self.all[gateway.0 as usize])?))
    }

    /// Passes datagrams on, for ever.
    pub async fn relay(self: Rc<Self>) {
        for a in 0..self.listen.len() {
            for b in 0..self.listen.len() {
                let (here, socket) = (Rc::clone(&self), Rc::clone(&self.known[a][b]));
                beside(async move { here.pump(a, &socket, vec![b]).await });
            }
            let others = (0..self.listen.len()).filter(|&b| b != a).collect();
            let (here, socket) = (Rc::clone(&self), Rc::clone(&self.all[a]));
            beside(async move { here.pump(a, &socket, others).await });
        }
        std::future::pending().await
    }

    async fn pump(self: Rc<Self>, from: usize, socket: &UdpSocket, to: Vec<usize>) {
        let mut buffer = [0; BUFFER];
        loop {
            let Ok((length, source)) = socket.recv_from(&mut buffer).await else {
                // A gateway that is away: what was sent to it came back as an error.
                tokio::task::yield_now().await;
                continue;
            };
            // Nobody else may speak for this gateway.
            if source != self.listen[from] {
                continue;
            }
            for &b in &to {
                let body = buffer[..length].to_vec();
                let now = self.environment.now();
                let (from, to) = (GatewayId(from as u32), GatewayId(b as u32));
                let arrives = {
                    let fleet = self.environment.fleet.borrow();
                    self.environment
                        .datagrams
                        .borrow_mut()
                        .send(now, &fleet, from, to, length)
                };
                if let Some(at) = arrives {
                    let here = Rc::clone(&self);
                    beside(async move {
                        here.environment.until(at).await;
                        let back = &here.known[to.0 as usize][from.0 as usize];
                        let _ = back.send_to(&body, here.listen[to.0 as usize]).await;
                    });
                }
            }
        }
    }
}
