//! Health check results that gateways share with one another.

use crate::harness::discovery::Discovery;
use crate::harness::gateway::Gateway;
use crate::harness::host::{reply_with_row, Host};
use crate::harness::messages::statement;
use crate::harness::peers::join_sixteen_gateways;
use crate::harness::TEST_TIMEOUT;
use serde_json::json;
use std::net::UdpSocket;

#[test]
fn health_check_results_are_sent_and_invalid_datagrams_change_nothing() {
    let host = Host::start("s-1", true, reply_with_row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let peer = UdpSocket::bind("127.0.0.4:0").unwrap();
    peer.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut gateway = Gateway::start_with_config(&discovery, &[&host], |config| {
        join_sixteen_gateways(config, &peer)
    });
    let mut datagram = [0; 512];
    let (length, from) = peer
        .recv_from(&mut datagram)
        .expect("a health check result");
    // The datagram holds the version, the time, and one host entry of six bytes that marks a primary.
    assert_eq!((length, datagram[0], datagram[10] & 0x80), (11, 1, 0x80));
    let stranger = UdpSocket::bind("127.0.0.5:0").unwrap();
    for bad in [
        &b""[..],
        b"no message",
        &[1; 11],
        &[2; 11],
        &[0xff; 256],
        &[0; 400],
    ] {
        peer.send_to(bad, from).unwrap();
        stranger.send_to(&datagram[..length], from).unwrap();
    }
    gateway.wait_for_log("is ignored");
    assert!(gateway
        .client()
        .query(&statement("read", 9_000))
        .contains("a1b2"));
    assert!(
        peer.recv_from(&mut datagram).is_ok(),
        "the gateway keeps sending results"
    );
    gateway.signal("-TERM");
    assert_eq!(gateway.exit_code(), Some(0));
}

#[test]
fn gateway_serves_without_sharing_when_peers_are_invalid() {
    let host = Host::start("s-1", true, reply_with_row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let peer = UdpSocket::bind("127.0.0.4:0").unwrap();
    let gateway = Gateway::start_with_config(&discovery, &[&host], |config| {
        join_sixteen_gateways(config, &peer);
        config["peers"] = json!(["nowhere"]);
    });
    gateway.wait_for_log("nothing is shared with other gateways: peers");
    assert!(gateway
        .client()
        .query(&statement("read", 9_000))
        .contains("a1b2"));
}
