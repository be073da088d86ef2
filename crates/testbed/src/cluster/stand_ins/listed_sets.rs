//! Sets that are listed and that no client uses, as most sets of a large fleet are for one gateway. Their hosts are not
//! run. Another gateway, which this module plays, sends the health checks of all sets, and the list changes.

use super::discovery::Discovery;
use super::host::Host;
use crate::cluster::relay::Relay;
use crate::sockets::{bind_datagram_socket, datagram_address, SocketError, STAND_IN_ADDRESS};
use irisrouter_gossip::message::{self, HealthCheckResult, Message};
use irisrouter_gossip::{Nanoseconds, UnixNanoseconds};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::time::{interval, MissedTickBehavior};

/// Hosts of a set.
const SET_SIZE: u64 = 12;
/// Time between two rounds of health checks of a set, as gateways run them.
const ROUND_PERIOD: Duration = Duration::from_millis(200);
/// Time between two changes of the list.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// How far a host's position is behind the time of its health check.
const REPLICATION_LAG: Nanoseconds = Nanoseconds::from_millis(5);
/// The share of its cores that a host uses.
const CORES_IN_USE: f64 = 0.3;
/// Where nothing listens.
const REFUSING_ADDRESS: &str = "127.0.0.1:1";

/// A host whose health checks are sent: its name, and whether it is primary.
#[derive(Clone)]
struct CheckedHost {
    id: String,
    primary: bool,
}

/// The sets that no client uses.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListedSets {
    /// The number of the first one.
    pub(super) first: u64,
    /// How many there are.
    pub(super) count: u64,
}

impl ListedSets {
    fn hosts(self, set: u64) -> Vec<CheckedHost> {
        let host = |index| CheckedHost {
            id: format!("x{set}-{index}"),
            primary: index == 0,
        };
        (0..SET_SIZE).map(host).collect()
    }

    fn sets(self) -> impl Iterator<Item = u64> {
        self.first..self.first + self.count
    }

    /// The entries of their hosts in the list.
    pub(super) fn entries(self, zone: &str) -> Vec<Value> {
        let mut entries = Vec::new();
        for set in self.sets() {
            entries.extend(self.hosts(set).into_iter().map(|host| {
                json!({
                    "id": host.id,
                    "host_port": REFUSING_ADDRESS,
                    "locality": zone,
                    "flavor": "m",
                    "cell": set,
                    "phase": "in_service",
                    "size": 1.0,
                    "up_since_ms": 0,
                })
            }));
        }
        entries
    }

    /// Starts to change the list: one host after the other drains, and is in service again with the next change.
    pub(super) fn spawn_list_changes(self, discovery: &Discovery) {
        let hosts: Vec<String> = self
            .sets()
            .flat_map(|set| self.hosts(set))
            .map(|host| host.id)
            .collect();
        let discovery = discovery.clone();
        tokio::spawn(async move {
            let mut ticks = interval(CHANGE_INTERVAL);
            for host in hosts {
                for phase in ["terminating", "in_service"] {
                    ticks.tick().await;
                    discovery.set_phase(&host, phase);
                }
            }
        });
    }
}

/// The gateway that checks all sets for the others.
pub(super) struct CheckingGateway {
    socket: UdpSocket,
    /// The hosts of each set.
    sets: Vec<Vec<CheckedHost>>,
    receivers: Vec<SocketAddr>,
}

impl CheckingGateway {
    /// The gateway that checks these hosts, and the sets that no client uses.
    ///
    /// # Errors
    /// There are no sockets.
    pub(super) async fn new(
        listed: ListedSets,
        hosts: &[Host],
        relay: &Relay,
    ) -> Result<Self, SocketError> {
        let mut sets: Vec<Vec<CheckedHost>> = listed.sets().map(|set| listed.hosts(set)).collect();
        for set in 0..listed.first {
            let of_set = hosts.iter().filter(|host| host.set == set);
            let checked = of_set.map(|host| CheckedHost {
                id: host.id.clone(),
                primary: host.primary,
            });
            sets.push(checked.collect());
        }
        Ok(CheckingGateway {
            socket: bind_datagram_socket(STAND_IN_ADDRESS).await?,
            sets,
            receivers: relay.listen.clone(),
        })
    }

    /// The address from which it sends.
    pub(super) fn address(&self) -> Result<SocketAddr, SocketError> {
        datagram_address(&self.socket)
    }

    /// Sends the results of one set after the other, for ever.
    pub(super) async fn run(self) {
        let mut ticks = interval(ROUND_PERIOD / self.sets.len().max(1) as u32);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        for set in self.sets.iter().cycle() {
            ticks.tick().await;
            for receiver in &self.receivers {
                // A gateway that has ended refuses datagrams.
                let _ = self.socket.send_to(&results(set), receiver).await;
            }
        }
    }
}

/// The results of a round of one set, as they are sent.
fn results(hosts: &[CheckedHost]) -> Vec<u8> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let checked_at = UnixNanoseconds::from_millis(since.unwrap_or_default().as_millis() as i64);
    let result = |host: &CheckedHost| HealthCheckResult {
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
