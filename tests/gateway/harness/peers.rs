//! A fleet of gateways of which the test plays one.

use serde_json::{json, Value};
use std::net::UdpSocket;

/// Configures a gateway as the first of sixteen. `peer` is the second one, and also receives the datagrams addressed to
/// all gateways.
pub fn join_sixteen_gateways(config: &mut Value, peer: &UdpSocket) {
    let peer_address = peer.local_addr().unwrap().to_string();
    let own_address = UdpSocket::bind("127.0.0.3:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string();
    let mut peers = vec![own_address.clone(), peer_address.clone()];
    // The other peers are unreachable: nothing listens on port 1 of these addresses.
    peers.extend((2..16).map(|n| format!("127.0.1.{n}:1")));
    config["peer_listen"] = json!(own_address);
    config["peers"] = json!(peers);
    config["peers_all"] = json!(peer_address);
    config["settings"]["Balancers"] = json!(16);
    config["settings"]["Me"] = json!(0);
    config["settings"]["Bounds"]["Peers"] = json!(true);
}
