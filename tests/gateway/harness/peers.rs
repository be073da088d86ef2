//! A fleet of gateways of which the test plays one.

use super::gateway::Gateway;
use irisrouter_gossip::message::{self, HealthCheckResult, Message};
use irisrouter_gossip::{Nanoseconds, UnixNanoseconds};
use serde_json::{json, Value};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time between two rounds of health checks of a group, as gateways run them.
const ROUND_PERIOD: Duration = Duration::from_millis(200);
/// How far a host's position is behind the time of its health check.
const REPLICATION_LAG: Nanoseconds = Nanoseconds::from_millis(5);

/// Configures a gateway as the first of sixteen. The second is this socket, which also gets what is sent to all.
pub fn join_sixteen_gateways(config: &mut Value, peer: &UdpSocket) {
    join_gateways(config, peer, 16);
}

/// Configures a gateway as the first of so many. The second is this socket, which also gets what is sent to all.
pub fn join_gateways(config: &mut Value, peer: &UdpSocket, gateways: usize) {
    let peer_address = peer.local_addr().unwrap().to_string();
    let own_address = UdpSocket::bind("127.0.0.3:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string();
    let mut peers = vec![own_address.clone(), peer_address.clone()];
    // The others are unreachable: nothing listens at port 1 of these addresses.
    peers.extend((2..gateways).map(|n| format!("127.0.{}.{}:1", 1 + n / 250, n % 250)));
    config["peer_listen"] = json!(own_address);
    config["peers"] = json!(peers);
    config["peers_all"] = json!(peer_address);
    config["settings"]["Balancers"] = json!(gateways);
    config["settings"]["Me"] = json!(0);
    config["settings"]["Bounds"]["Peers"] = json!(true);
}

/// Another gateway, which checks the hosts of all groups and sends the results.
pub struct PeerGateway {
    socket: UdpSocket,
    gateway_address: SocketAddr,
    groups: Vec<Vec<String>>,
    stopped: Arc<AtomicBool>,
    sender: Option<JoinHandle<()>>,
}

impl PeerGateway {
    /// Sends the results of these groups, given by the names of their hosts, in a round each period, from this socket.
    pub fn start(socket: UdpSocket, gateway: &Gateway, groups: Vec<Vec<String>>) -> Self {
        let address = gateway.config["peer_listen"].as_str().unwrap();
        let address: SocketAddr = address.parse().unwrap();
        let stopped = Arc::new(AtomicBool::new(false));
        let is_stopped = Arc::clone(&stopped);
        let (sending_socket, all_groups) = (socket.try_clone().unwrap(), groups.clone());
        let sender = spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                send_round(&sending_socket, address, &all_groups);
            }
        });
        PeerGateway {
            socket,
            gateway_address: address,
            groups,
            stopped,
            sender: Some(sender),
        }
    }
}

impl PeerGateway {
    /// Sends the results of so many rounds of all groups at once, as if they had been held up.
    pub fn send_burst(&self, rounds: usize) {
        for group in self.groups.iter().cycle().take(rounds * self.groups.len()) {
            let _ = self.socket.send_to(&results(group), self.gateway_address);
        }
    }
}

impl Drop for PeerGateway {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(sender) = self.sender.take() {
            let _ = sender.join();
        }
    }
}

/// Sends one datagram for each group, evenly over a period.
fn send_round(socket: &UdpSocket, address: SocketAddr, groups: &[Vec<String>]) {
    let start = Instant::now();
    for (sent, group) in (1..).zip(groups) {
        // A gateway that is not there any more refuses datagrams.
        let _ = socket.send_to(&results(group), address);
        let due = ROUND_PERIOD * sent / groups.len() as u32;
        sleep(due.saturating_sub(start.elapsed()));
    }
}

/// The results of a round of one group, as they are sent.
fn results(group: &[String]) -> Vec<u8> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let checked_at = UnixNanoseconds::from_millis(since.as_millis() as i64);
    let result = |(number, name): (usize, &String)| HealthCheckResult {
        host: message::host_id(name),
        position: Some(checked_at - REPLICATION_LAG),
        primary: number == 0,
        cores_in_use: Some(0.3),
    };
    message::encode(&Message {
        checked_at,
        results: group.iter().enumerate().map(result).collect(),
    })
}
