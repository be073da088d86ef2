//! The endpoint list: polls, changes, drains, and a discovery server that is silent or breaks off.

use crate::harness::client::Client;
use crate::harness::discovery::{write_response, Discovery, EndpointList};
use crate::harness::gateway::Gateway;
use crate::harness::host::{reply_with_row, Host, HostReply};
use crate::harness::messages::{startup_message, statement};
use crate::harness::monitor::Monitor;
use crate::harness::scripted_discovery::{
    endpoint_list_body, start_scripted_discovery, ResponseScript, ScriptedRequest,
};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpListener};
use std::time::{Duration, Instant};

/// Longest time from a drain in discovery until the gateway knows it, even if a connection to discovery hangs.
const DRAIN_NOTICE_LIMIT: Duration = Duration::from_secs(6);

/// Runs a gateway with two hosts, of which discovery drains the second once `before_drain` has returned. Returns the time
/// until the gateway knew, and checks that it sends the drained host nothing more.
fn time_until_drain_is_known(script: ResponseScript, before_drain: fn(&Discovery)) -> Duration {
    let one = Host::start("s-1", true, reply_with_row);
    let two = Host::start("s-2", false, reply_with_row);
    let both = |phase: &str| json!([one.entry("in_service", 0), two.entry(phase, 0)]);
    let list = Monitor::new(endpoint_list_body(2, both("in_service")));
    let discovery = start_scripted_discovery(list.clone(), script);
    let gateway = Gateway::start(&discovery, &[&one, &two]);
    let mut client = gateway.client();
    before_drain(&discovery);
    let drained = Instant::now();
    list.update(|l| *l = endpoint_list_body(3, both("terminating")));
    // The poll that follows the one whose answer held the drain.
    discovery.wait_for_request("from=3&");
    let took = drained.elapsed();
    let seen = two.statements().len();
    for _ in 0..10 {
        assert!(client.query(&statement("read", 9_000)).contains("a1b2"));
    }
    assert_eq!(
        two.statements().len(),
        seen,
        "nothing new to one that drains"
    );
    took
}

/// Waits until the gateway polls for a list newer than revision 2.
fn wait_for_long_poll(discovery: &Discovery) {
    discovery.wait_for_request("from=2&hold_ms=2");
}

/// Sends all of a list that would put the drained host back into service, and a reset in place of the end of connection.
fn reset_behind_a_wrong_list(request: ScriptedRequest<'_>) {
    let stream = request.stream;
    let in_service = request.body.replace("terminating", "in_service");
    let newer = ["2", "3"].iter().fold(in_service, |list, revision| {
        list.replace(&format!("\"revision\": {revision}"), "\"revision\": 9")
    });
    let _ = write!(stream, "HTTP/1.1 200 OK\r\n\r\n{newer}");
    // Gives the gateway time to read it: a reset discards what is unread.
    std::thread::sleep(Duration::from_millis(50));
    socket2::SockRef::from(&*stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    let _ = stream.shutdown(Shutdown::Read);
}

#[test]
fn endpoint_list_change_applies_from_the_next_request() {
    let one = Host::start("s-1", true, reply_with_row);
    let two = Host::start("s-2", false, reply_with_row);
    let discovery = Discovery::start(vec![one.entry("in_service", 0), two.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&one, &two]);
    let mut client = gateway.client();
    let both = |phase: &str| json!([one.entry("in_service", 0), two.entry(phase, 0)]);
    discovery.publish(EndpointList::Members(both("terminating")));
    let before = two.statements().len();
    for _ in 0..10 {
        assert!(client.query(&statement("read", 9_000)).contains("a1b2"));
    }
    assert_eq!(
        two.statements().len(),
        before,
        "nothing new to one that drains"
    );
    discovery.requests.update(|c| {
        assert!(
            c.iter().all(|c| c.starts_with("0: ")),
            "one connection: {c:?}"
        )
    });
    // A malformed list changes nothing, and the next poll uses a new connection.
    discovery.published.update(|published| {
        published.revision += 1;
        published.list = EndpointList::Malformed;
    });
    let first = discovery.requests.wait_for("a new connection", |c| {
        let again = c
            .iter()
            .find(|c| c.split_once(':').is_some_and(|(n, _)| n != "0"));
        again.cloned()
    });
    assert!(first.contains("from=2&"), "{first}");
    assert!(client.query(&statement("read", 9_000)).contains("a1b2"));
    assert_eq!(two.statements().len(), before);
    // The host restarts at another address: the old connections are of no use.
    let three = Host::start("s-1", true, |_, _| HostReply::Row("new"));
    discovery.publish(EndpointList::Members(json!([
        three.entry("in_service", 1_700_000_000_000u64)
    ])));
    assert!(client.query(&statement("once", 9_000)).contains("new"));
}

#[test]
fn gateway_serves_from_its_known_list_when_discovery_is_silent() {
    let host = Host::start("s-1", true, reply_with_row);
    // Discovery has no newer list, and so does not answer.
    let discovery = Discovery::start(vec![]);
    let gateway = Gateway::start(&discovery, &[&host]);
    assert!(gateway
        .client()
        .query(&statement("once", 9_000))
        .contains("a1b2"));
    let call = discovery
        .requests
        .wait_for("a call", |c| c.first().cloned());
    assert!(call.contains("from=1&hold_ms="), "{call}");
    // The gateway gives the poll up and repeats it on a new connection.
    let again = discovery
        .requests
        .wait_for("a second call", |c| c.get(1).cloned());
    assert!(
        again.starts_with("1: ") && again.contains("from=1&hold_ms="),
        "{again}"
    );
}

#[test]
fn removed_host_is_still_used_when_only_drains_are_binding() {
    let host = Host::start("s-1", true, reply_with_row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let drains_only =
        |config: &mut Value| config["settings"]["Rules"]["DrainBindsAlone"] = json!(true);
    let gateway = Gateway::start_with_config(&discovery, &[&host], drains_only);
    discovery.publish(EndpointList::Members(json!([])));
    assert!(gateway
        .client()
        .query(&statement("once", 9_000))
        .contains("a1b2"));
}

/// Guards against poll durations, timeouts and retry delays that add up to more than the limit: the long poll of the first
/// connection is never answered, and neither is the first request of the second one.
#[test]
fn drain_is_known_within_six_seconds_when_a_long_poll_is_silent() {
    let took = time_until_drain_is_known(
        |request| match request.connection {
            // The start of a response, and nothing after it.
            1 if request.path.contains("hold_ms=2") => {
                let _ = request.stream.write_all(b"HTTP/1.1 200 OK\r\nContent-");
            }
            2 => {}
            _ => {
                let _ = write_response(request.stream, request.body);
            }
        },
        wait_for_long_poll,
    );
    assert!(took < DRAIN_NOTICE_LIMIT, "{took:?}");
}

/// Guards against a response without a length that is never used, and against a reset that is taken for its end.
#[test]
fn list_without_a_length_is_complete_at_its_end_and_not_at_a_reset() {
    let took = time_until_drain_is_known(
        |request| match request.connection {
            2 if request.path.contains("hold_ms=2") => reset_behind_a_wrong_list(request),
            _ => {
                let _ = write!(request.stream, "HTTP/1.1 200 OK\r\n\r\n{}", request.body);
                let _ = request.stream.shutdown(Shutdown::Both);
            }
        },
        |_| {},
    );
    assert!(took < DRAIN_NOTICE_LIMIT, "{took:?}");
}

/// Guards against polls of discovery that find no descriptor once idle clients hold all that they may.
#[test]
fn discovery_and_requests_get_descriptors_when_idle_clients_hold_the_rest() {
    let one = Host::start("s-1", true, reply_with_row);
    let two = Host::start("s-2", false, reply_with_row);
    let both = |phase: &str| json!([one.entry("in_service", 0), two.entry(phase, 0)]);
    // An address at which nobody listens yet.
    let placeholder = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = placeholder.local_addr().unwrap();
    drop(placeholder);
    let unreachable = Discovery {
        address,
        ..Discovery::start(vec![])
    };
    let gateway = Gateway::start_with_config(&unreachable, &[&one, &two], |config| {
        config["limits"]["sockets"] = json!(140)
    });
    // More clients than the gateway may hold: half of them send nothing, the others start a session and stay idle.
    let idle: Vec<Client> = (0..160)
        .map(|n| {
            let mut client = gateway.connect();
            if n % 2 == 0 {
                let _ = client.stream.write_all(&startup_message());
            }
            client
        })
        .collect();
    assert!(
        gateway
            .accepted_client()
            .query(&statement("read", 9_000))
            .contains("a1b2"),
        "work is served"
    );
    let listener = TcpListener::bind(address).unwrap();
    let body = endpoint_list_body(3, both("terminating"));
    let reachable_since = Instant::now();
    let (mut stream, _) = listener.accept().unwrap();
    let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
    let mut read_request = || {
        let first = lines.next().unwrap().unwrap();
        while !lines.next().unwrap().unwrap().is_empty() {}
        first
    };
    read_request();
    write_response(&mut stream, &body).unwrap();
    assert!(read_request().contains("from=3&"));
    assert!(
        reachable_since.elapsed() < DRAIN_NOTICE_LIMIT,
        "{:?}",
        reachable_since.elapsed()
    );
    let before = two.statements().len();
    let mut client = gateway.accepted_client();
    (0..5).for_each(|_| assert!(client.query(&statement("read", 9_000)).contains("a1b2")));
    assert_eq!(two.statements().len(), before);
    drop(idle);
}
