//! Requests whose connection to a host comes up late: what held when the host was chosen may no longer hold.

use crate::harness::discovery::{Discovery, EndpointList};
use crate::harness::gateway::Gateway;
use crate::harness::host::{reply_with_row, unix_ms, Host};
use crate::harness::manual_host::{
    read_query, send_authentication_ok, send_load_report, ManualHost,
};
use crate::harness::messages::{query_message, statement};
use serde_json::json;
use std::thread::sleep;
use std::time::Duration;

/// Maximum age of the data that a read may be answered from, in these tests.
const BOUND: Duration = Duration::from_millis(300);

/// Guards against a read that is answered from data older than its class allows (review case 2): the data were recent
/// enough when the replica was chosen, and no longer when the connection was ready.
#[test]
fn bounded_read_goes_to_another_host_if_its_data_are_too_old_once_connected() {
    let replica = ManualHost::start();
    let primary = Host::start("s-2", true, reply_with_row);
    let members = json!([replica.entry("in_service"), primary.entry("in_service", 0)]);
    let discovery = Discovery::start(members.as_array().unwrap().clone());
    let gateway = Gateway::start_with_config(&discovery, &[], |config| {
        config["known"]["members"] = members.clone();
        let settings = &mut config["settings"];
        settings["Domain"]["ServerChecks"] = json!("none");
        settings["Domain"]["Freshness"][0] = json!("lag_bound");
        settings["Domain"]["ClassBoundNs"][0] = json!(BOUND.as_nanos() as u64);
        settings["Bounds"]["SecondCopies"] = json!(false);
    });
    let mut client = gateway.client();
    client.send(&query_message(&statement("read", 9_000)));
    // The replica reports a recent position, and closes the connection so that the read needs a new one.
    let mut health_check = replica.accept();
    send_authentication_ok(&mut health_check);
    let asked = read_query(&mut health_check).unwrap();
    assert!(asked.starts_with("SHOW usage"), "{asked}");
    send_load_report(&mut health_check);
    drop(health_check);
    let mut late = replica.accept();
    sleep(BOUND + Duration::from_millis(200));
    send_authentication_ok(&mut late);
    let answer = client.read_until_ready();
    assert!(answer.contains("DataRow a1b2"), "{answer}");
    late.set_read_timeout(Some(Duration::from_millis(100)))
        .unwrap();
    let sent = read_query(&mut late).unwrap_or_default();
    assert!(!sent.contains("FROM"), "sent from data too old: {sent}");
    assert_eq!(primary.statements().len(), 1);
}

/// Guards against a request that is sent on a connection to a process of the host that has been replaced since: it might
/// have run, and could not be sent again.
#[test]
fn request_is_not_sent_on_a_connection_to_a_host_that_has_restarted_since() {
    let manual_host = ManualHost::start();
    let discovery = Discovery::start(vec![manual_host.entry("in_service")]);
    let gateway = Gateway::start_with_config(&discovery, &[], |config| {
        config["known"]["members"] = json!([manual_host.entry("in_service")]);
        config["settings"]["Bounds"]["Probes"] = json!(false);
    });
    let mut client = gateway.client();
    client.send(&query_message(&statement("read", 9_000)));
    let mut late = manual_host.accept();
    let mut restarted = manual_host.entry("in_service");
    restarted["up_since_ms"] = json!(unix_ms() as u64);
    discovery.publish(EndpointList::Members(json!([restarted])));
    send_authentication_ok(&mut late);
    assert_eq!(read_query(&mut late), None, "sent to the old process");
    let mut new = manual_host.accept();
    send_authentication_ok(&mut new);
    let sent = read_query(&mut new).expect("the request");
    assert!(sent.contains("FROM"), "{sent}");
}
