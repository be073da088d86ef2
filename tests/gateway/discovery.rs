//! The endpoint list: polls, changes, drains, and a discovery server that stays silent or breaks off its response.

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

/// Maximum time from the publication of a drain by discovery until the gateway applies it, even if a connection to
/// discovery hangs.
const DRAIN_DETECTION_LIMIT: Duration = Duration::from_secs(6);

/// Runs a gateway with two hosts; discovery drains the second once `before_drain` has returned. Returns the time from
/// the drain until the gateway has received it, and checks that the drained host gets no further requests.
fn measure_drain_detection(script: ResponseScript, before_drain: fn(&Discovery)) -> Duration {
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
    // The gateway sends this poll once it has received the list that holds the drain.
    discovery.wait_for_request("from=3&");
    let detection_time = drained.elapsed();
    let seen = two.statements().len();
    for _ in 0..10 {
        assert!(client.query(&statement("read", 9_000)).contains("a1b2"));
    }
    assert_eq!(
        two.statements().len(),
        seen,
        "no new request to a draining host"
    );
    detection_time
}

/// Waits until the gateway polls for a list newer than revision 2.
fn wait_for_long_poll(discovery: &Discovery) {
    discovery.wait_for_request("from=2&hold_ms=2");
}

/// Sends a complete list that would put the drained host back into service, but resets the connection instead of
/// closing it.
fn send_wrong_list_then_reset(request: ScriptedRequest<'_>) {
    let stream = request.stream;
    let in_service = request.body.replace("terminating", "in_service");
    let newer = ["2", "3"].iter().fold(in_service, |list, revision| {
        list.replace(&format!("\"revision\": {revision}"), "\"revision\": 9")
    });
    let _ = write!(stream, "HTTP/1.1 200 OK\r\n\r\n{newer}");
    // Gives the gateway time to read the list, because a reset discards data that is still unread.
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
        "no new request to a draining host"
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
    // The host restarts at another address: connections to the old address must not be used.
    let three = Host::start("s-1", true, |_, _| HostReply::Row("new"));
    discovery.publish(EndpointList::Members(json!([
        three.entry("in_service", 1_700_000_000_000u64)
    ])));
    assert!(client.query(&statement("once", 9_000)).contains("new"));
}

#[test]
fn gateway_serves_from_its_known_list_when_discovery_is_silent() {
    let host = Host::start("s-1", true, reply_with_row);
    // Discovery has no newer list, so it does not answer the poll.
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
    // The gateway abandons the poll and repeats it on a new connection.
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

/// Guards against poll durations, timeouts and retry delays that together exceed the limit: neither the long poll on
/// the first connection nor the first request on the second one gets a complete answer.
#[test]
fn drain_is_known_within_six_seconds_when_a_long_poll_is_silent() {
    let detection_time = measure_drain_detection(
        |request| match request.connection {
            // Sends only the beginning of a response.
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
    assert!(detection_time < DRAIN_DETECTION_LIMIT, "{detection_time:?}");
}

/// Guards against ignoring a response without Content-Length, and against taking a connection reset for the end of such
/// a response.
#[test]
fn list_without_content_length_is_complete_at_end_of_connection_but_not_at_reset() {
    let detection_time = measure_drain_detection(
        |request| match request.connection {
            2 if request.path.contains("hold_ms=2") => send_wrong_list_then_reset(request),
            _ => {
                let _ = write!(request.stream, "HTTP/1.1 200 OK\r\n\r\n{}", request.body);
                let _ = request.stream.shutdown(Shutdown::Both);
            }
        },
        |_| {},
    );
    assert!(detection_time < DRAIN_DETECTION_LIMIT, "{detection_time:?}");
}

/// Guards against discovery polls that fail for lack of a descriptor while idle clients hold all descriptors allotted
/// to clients.
#[test]
fn discovery_and_requests_get_descriptors_when_idle_clients_hold_the_rest() {
    let one = Host::start("s-1", true, reply_with_row);
    let two = Host::start("s-2", false, reply_with_row);
    let both = |phase: &str| json!([one.entry("in_service", 0), two.entry(phase, 0)]);
    // An address at which no server listens yet.
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
    // More clients than the connection limit: half of them send nothing, the others start a session and stay idle.
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
        "requests are served"
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
        reachable_since.elapsed() < DRAIN_DETECTION_LIMIT,
        "{:?}",
        reachable_since.elapsed()
    );
    let before = two.statements().len();
    let mut client = gateway.accepted_client();
    (0..5).for_each(|_| assert!(client.query(&statement("read", 9_000)).contains("a1b2")));
    assert_eq!(two.statements().len(), before);
    drop(idle);
}
