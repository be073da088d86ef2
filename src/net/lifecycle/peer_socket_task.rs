//! The task that opens the peer socket as soon as its address is free, and then runs it.

use crate::net::cluster::peer_socket::{self, PeerSocket};
use crate::net::cluster::services::ClusterServices;
use crate::net::config::{Config, Peers};
use crate::net::lifecycle::shared_parts::SharedParts;
use crate::net::lifecycle::StartupError;
use crate::net::log::log;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Pause between two attempts to bind the peer socket. During a hot restart the older process holds the address. The
/// pause is short, so that the newer process cooperates with the other gateways soon after the older one has ended, and
/// long enough that the attempts cost next to nothing.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The peer socket of this process; empty until the socket is open.
#[derive(Default)]
pub struct PeerSocketHandle(RefCell<Option<Rc<PeerSocket>>>);

impl PeerSocketHandle {
    /// Opens the peer socket in a task of its own if the configuration has peers.
    pub fn spawn(config: &Config, parts: &SharedParts, services: &ClusterServices) -> Rc<Self> {
        let handle = Rc::<Self>::default();
        if let Some(peers) = &config.peers {
            let opener = PeerSocketOpener {
                peers: peers.clone(),
                parts: parts.clone(),
                shares_health_checks: config.platform.shares_health_checks
                    || services.leases.is_some(),
                services: services.clone(),
            };
            spawn_local(Rc::clone(&handle).run(opener));
        }
        handle
    }

    /// Releases the leases of this gateway and announces to other gateways that it leaves. Does nothing unless the
    /// socket is open.
    pub fn leave(&self) {
        let socket = self.0.borrow().clone();
        if let Some(socket) = socket {
            socket.leave();
        }
    }

    async fn run(self: Rc<Self>, opener: PeerSocketOpener) {
        let socket = opener.open_when_free().await;
        self.0.replace(Some(Rc::clone(&socket)));
        socket.run().await;
    }
}

/// Opens the peer socket, and holds the parts of the gateway that the socket needs.
struct PeerSocketOpener {
    peers: Peers,
    parts: SharedParts,
    /// Whether gateways share the results of health checks over the socket. Otherwise it carries only membership and
    /// write intents.
    shares_health_checks: bool,
    services: ClusterServices,
}

impl PeerSocketOpener {
    /// Opens the socket as soon as no other process holds its address. During a hot restart that is when the older
    /// process has ended.
    async fn open_when_free(&self) -> Rc<PeerSocket> {
        let mut open_failed = false;
        loop {
            match self.open() {
                Ok(socket) => {
                    if open_failed {
                        log!("peer socket: open at {}", self.peers.listen_address);
                    }
                    return socket;
                }
                Err(error) if !open_failed => {
                    open_failed = true;
                    log!("peer socket: not open yet, will be tried again: {error}");
                }
                Err(_) => {}
            }
            sleep(OPEN_RETRY_INTERVAL).await;
        }
    }

    fn open(&self) -> Result<Rc<PeerSocket>, StartupError> {
        let dependencies = peer_socket::Dependencies {
            router: Rc::clone(&self.parts.router),
            upstream: Rc::clone(&self.parts.upstream),
            metrics: Rc::clone(&self.parts.metrics),
            clock: self.parts.clock,
            services: self.services.clone(),
            share_health_checks: self.shares_health_checks,
        };
        PeerSocket::open(&self.peers, dependencies)
            .map_err(|error| StartupError::PeerSocket(error.into()))
    }
}
