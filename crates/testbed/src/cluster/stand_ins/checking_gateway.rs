//! A stand-in for the gateway that checks the hosts of all sets: it sends made-up results of health checks to the
//! others.

use super::listed_sets::ListedHost;
use crate::sockets::{bind_datagram_socket, datagram_address, SocketError, STAND_IN_ADDRESS};
use irisrouter_gossip::message::{self, HealthCheckResult, Message};
use irisrouter_gossip::{Nanoseconds, UnixNanoseconds};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::time::{interval, MissedTickBehavior};

/// Time between two rounds of health checks of a set, the same as that of real gateways.
const ROUND_PERIOD: Duration = Duration::from_millis(200);
/// Reported position of a host: this much before the time of its health check.
const REPLICATION_LAG: Nanoseconds = Nanoseconds::from_millis(5);
/// Reported share of its cores that a host uses, 0 to 1.
const CORES_IN_USE: f64 = 0.3;

/// The handle by which the testbed controls the stand-in.
pub struct CheckingGateway {
    /// The address from which results are sent.
    pub(in crate::cluster) address: SocketAddr,
    is_held: Arc<AtomicBool>,
}

/// The task that sends the results.
struct Sender {
    socket: UdpSocket,
    sets: Vec<Vec<ListedHost>>,
    receivers: Vec<SocketAddr>,
    is_held: Arc<AtomicBool>,
    /// Datagrams that have not been sent yet.
    held: Vec<Vec<u8>>,
}

impl CheckingGateway {
    /// Starts a task that sends the results of these sets to the receivers.
    ///
    /// # Errors
    /// The socket cannot be bound.
    pub(super) async fn start(
        sets: Vec<Vec<ListedHost>>,
        receivers: Vec<SocketAddr>,
    ) -> Result<Self, SocketError> {
        let socket = bind_datagram_socket(STAND_IN_ADDRESS).await?;
        let address = datagram_address(&socket)?;
        let is_held = Arc::new(AtomicBool::new(false));
        let sender = Sender {
            socket,
            sets,
            receivers,
            is_held: Arc::clone(&is_held),
            held: Vec::new(),
        };
        tokio::spawn(sender.run());
        Ok(CheckingGateway { address, is_held })
    }

    /// Holds datagrams back from now on, or releases them: all held datagrams are then sent in one burst.
    pub fn hold(&self, held: bool) {
        self.is_held.store(held, Ordering::Relaxed);
    }
}

impl Sender {
    /// Sends the results of one set after the other, in an endless cycle.
    async fn run(mut self) {
        let mut ticks = interval(ROUND_PERIOD / self.sets.len().max(1) as u32);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        for number in (0..self.sets.len()).cycle() {
            ticks.tick().await;
            self.held.push(results(&self.sets[number]));
            if !self.is_held.load(Ordering::Relaxed) {
                self.send_held().await;
            }
        }
    }

    async fn send_held(&mut self) {
        for datagram in std::mem::take(&mut self.held) {
            for receiver in &self.receivers {
                // Sending to a gateway that has ended may fail.
                let _ = self.socket.send_to(&datagram, receiver).await;
            }
        }
    }
}

/// Encodes the results of a round of health checks of one set as a datagram.
fn results(hosts: &[ListedHost]) -> Vec<u8> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let checked_at = UnixNanoseconds::from_millis(since.unwrap_or_default().as_millis() as i64);
    let result = |host: &ListedHost| HealthCheckResult {
        host: message::host_id(&host.id),
        position: Some(checked_at - REPLICATION_LAG),
        primary: host.primary,
        cores_in_use: Some(CORES_IN_USE),
    };
    message::encode(&Message {
        checked_at,
        results: hosts.iter().map(result).collect(),
    })
}
