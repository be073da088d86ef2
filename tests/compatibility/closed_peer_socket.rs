//! Keyed writes of a gateway whose peer socket is not open, as during a hot restart, while the older process has its
//! address.

use crate::console::fleet_configuration;
use crate::harness::host::{reply_with_row, Host};
use crate::harness::messages::statement;
use crate::harness::TEST_TIMEOUT;
use crate::program::{Folder, Nowhere, Program};
use serde_json::json;
use std::net::UdpSocket;
use std::time::Instant;

const OPERATORS: &str =
    "{ membership: { enabled: true }, takeover: { enabled: true, writes: true } }";

/// Guards against a keyed write that is sent though it is on record nowhere else (review case 10): without a peer socket
/// no other gateway is known, and none was taken for enough.
#[test]
fn keyed_write_is_not_sent_until_the_peer_socket_is_open() {
    let host = Host::start("s-1", true, reply_with_row);
    let (folder, nowhere) = (Folder::new(), Nowhere::new());
    let (mut config, _all) = fleet_configuration(&nowhere, 4);
    let older_process = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = older_process.local_addr().unwrap().to_string();
    config["peer_listen"] = json!(address);
    config["peers"][0] = json!(address);
    config["settings"]["Clients"] = json!({"MarksRetry": true});
    config["known"] =
        json!({"revision": 1, "complete": true, "members": [host.entry("in_service", 0)]});
    let config = folder.write_file("config.json", &config.to_string());
    let operators = folder.write_file("operators.jsonnet", OPERATORS);
    let variables = [
        ("BALANCER_CONFIG", &*config),
        ("IRISROUTER_OPERATORS", &*operators),
    ];
    let program = Program::start(&variables, None);
    let mut client = program.client();
    // A write without a key needs no record. Once it is served, the primary is known.
    assert!(client
        .query(&statement("once", 9_000))
        .contains("DataRow a1b2"));
    let answer = client.query(&statement("order", 600));
    assert!(answer.contains("C53300"), "{answer}");
    let is_write = |text: &String| text.contains("c=order");
    assert!(!host.statements().iter().any(is_write));
    drop(older_process);
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !client
        .query(&statement("order", 9_000))
        .contains("DataRow a1b2")
    {
        assert!(Instant::now() < deadline, "no write is served");
    }
}
