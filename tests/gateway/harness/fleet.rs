//! A fleet of thousands of database hosts, all of them played by two listeners: one for the primaries, one for the
//! replicas.

use super::discovery::{Discovery, EndpointList};
use super::gateway::Gateway;
use super::host::{reply_with_row, Host};
use super::peers::{join_gateways, PeerGateway};
use serde_json::{json, Value};
use std::net::UdpSocket;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Hosts of one group: a primary and its replicas.
const GROUP_SIZE: usize = 12;
/// Gateways of the fleet, as many as the operators' largest.
const GATEWAYS: usize = 900;

/// The hosts of a fleet, and the discovery server that lists them.
pub struct LargeFleet {
    host_count: usize,
    primaries: Host,
    replicas: Host,
    pub discovery: Discovery,
}

impl LargeFleet {
    /// Starts a fleet of `host_count` hosts in groups of a primary and its replicas.
    pub fn start(host_count: usize) -> Self {
        let primaries = Host::start("s-primary", true, reply_with_row);
        let replicas = Host::start("s-replica", false, reply_with_row);
        let fleet = LargeFleet {
            host_count,
            primaries,
            replicas,
            discovery: Discovery::start(vec![]),
        };
        fleet.discovery.set(1, fleet.list());
        fleet
    }

    fn list(&self) -> EndpointList {
        EndpointList::Members(json!(self.entries()))
    }

    /// The groups, by the names of their hosts; the first of each is the primary.
    pub fn groups(&self) -> Vec<Vec<String>> {
        let names: Vec<String> = (0..self.host_count).map(host_name).collect();
        names.chunks(GROUP_SIZE).map(<[_]>::to_vec).collect()
    }

    /// All hosts as entries of an endpoint list.
    pub fn entries(&self) -> Vec<Value> {
        let hosts = 0..self.host_count;
        hosts.map(|host| self.entry(host, "in_service")).collect()
    }

    /// A host's entry in an endpoint list.
    pub fn entry(&self, host: usize, phase: &str) -> Value {
        let played_by = if host.is_multiple_of(GROUP_SIZE) {
            &self.primaries
        } else {
            &self.replicas
        };
        let mut entry = played_by.entry(phase, 0);
        entry["id"] = json!(host_name(host));
        entry["cell"] = json!(host / GROUP_SIZE);
        entry
    }

    /// Starts a gateway that knows all hosts, and another gateway that shares its health checks of them with it.
    pub fn start_gateway(&self) -> (Gateway, PeerGateway) {
        let socket = UdpSocket::bind("127.0.0.4:0").unwrap();
        let gateway = Gateway::start_with_config(&self.discovery, &[], |config| {
            config["known"]["members"] = json!(self.entries());
            join_gateways(config, &socket, GATEWAYS);
        });
        let peer = PeerGateway::start(socket, &gateway, self.groups());
        (gateway, peer)
    }

    /// Publishes changes of the list until the gateway has had this many, at least this far apart. Each is of one host of
    /// the first group: it drains, and is in service again with the next change.
    pub fn publish_changes(&self, changes: usize, interval: Duration) {
        for change in 0..changes {
            let phase = ["terminating", "in_service"][change % 2];
            let host = change / 2 % GROUP_SIZE;
            let entry = self.entry(host, phase);
            let start = Instant::now();
            self.discovery
                .publish(EndpointList::Changes(json!([entry])));
            sleep(interval.saturating_sub(start.elapsed()));
        }
    }

    /// Connections that the hosts have accepted.
    pub fn connections(&self) -> usize {
        self.primaries.connections() + self.replicas.connections()
    }
}

fn host_name(host: usize) -> String {
    format!("s-{host:08x}")
}
