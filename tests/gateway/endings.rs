//! What is owed in the instant in which something ends, each crossing forced by a stand-in that holds bytes back.

use super::harness::*;
use super::row;
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread::spawn;
use std::time::{Duration, Instant};

/// What discovery has counts as told after so long.
const TOLD: Duration = Duration::from_secs(6);

/// A host that takes connections and welcomes nobody by itself.
struct Shy {
    address: std::net::SocketAddr,
    come: Receiver<TcpStream>,
}

impl Shy {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, come) = channel();
        spawn(move || listener.incoming().all(|s| sender.send(s.unwrap()).is_ok()));
        Shy { address, come }
    }

    fn entry(&self, phase: &str) -> serde_json::Value {
        json!({"id": "s-1", "host_port": self.address.to_string(), "locality": "a", "flavor": "m", "cell": 2,
            "phase": phase, "size": 1.0, "up_since_ms": 0})
    }

    /// The next connection, with its startup message read.
    fn next(&self) -> TcpStream {
        let mut stream = self.come.recv_timeout(PATIENCE).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let mut length = [0; 4];
        stream.read_exact(&mut length).unwrap();
        let mut rest = vec![0; u32::from_be_bytes(length) as usize - 4];
        stream.read_exact(&mut rest).unwrap();
        stream
    }
}

fn welcome(stream: &mut TcpStream) {
    stream
        .write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I")
        .unwrap();
}

/// The next query on a connection; none where it has ended.
fn query_of(stream: &mut TcpStream) -> Option<String> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let mut body = vec![0; u32::from_be_bytes(head[1..].try_into().unwrap()) as usize - 4];
    stream.read_exact(&mut body).ok()?;
    Some(String::from_utf8(body).unwrap())
}

/// Waits until the gateway has counted so.
fn counted(gateway: &Gateway, what: &str) {
    let end = Instant::now() + PATIENCE;
    loop {
        gateway.signal("-USR1");
        std::thread::sleep(Duration::from_millis(5));
        if gateway.log.change(|l| l.iter().any(|l| l.contains(what))) {
            return;
        }
        assert!(Instant::now() < end, "never counted: {what}");
    }
}

/// A gateway without probes, so that all that its host sees is requests; attempts cannot be called off.
fn plain(discovery: &Discovery, shy: &Shy) -> Gateway {
    Gateway::with(discovery, &[], |c| {
        c["known"]["members"] = json!([shy.entry("in_service")]);
        c["settings"]["Bounds"]["Probes"] = json!(false);
        c["settings"]["Bounds"]["Cancel"] = json!(false);
        c["settings"]["Bounds"]["ConnectTimeoutNs"] = json!(20_000_000_000u64);
    })
}

fn read(id: &str) -> Vec<u8> {
    query(&statement("read", 9_000).replace("9b1f", id))
}

/// Welcomes the connection that came up late: the request of the client that has gone must not be what comes on it.
fn nothing_comes_but_the_next_request(gateway: &Gateway, mut late: TcpStream) {
    welcome(&mut late);
    let mut other = gateway.client();
    // The connection that is up serves the next one, once it has rested.
    std::thread::sleep(Duration::from_millis(50));
    other.send(&read("2222"));
    let seen = query_of(&mut late).expect("the connection is used again");
    assert!(
        seen.contains("id=2222"),
        "sent for a client that had gone: {seen}"
    );
}

/// Guards against attempts whose connection comes up after their client has left, where the settings let no attempt be
/// called off.
#[test]
fn a_request_whose_client_leaves_while_a_connection_comes_up_is_not_sent() {
    let shy = Shy::start();
    let discovery = Discovery::start(vec![shy.entry("in_service")]);
    let gateway = plain(&discovery, &shy);
    let mut gone = gateway.client();
    gone.send(&read("1111"));
    let late = shy.next();
    drop(gone);
    counted(&gateway, " client_gone=1 ");
    nothing_comes_but_the_next_request(&gateway, late);
}

/// Guards against a client's end that stands behind more bytes than are read ahead.
#[test]
fn a_client_that_sends_much_behind_its_query_and_goes_has_gone() {
    let shy = Shy::start();
    let discovery = Discovery::start(vec![shy.entry("in_service")]);
    let gateway = plain(&discovery, &shy);
    let mut gone = gateway.client();
    gone.send(&read("1111"));
    let late = shy.next();
    let flood: Vec<u8> = (0..300_000 / read("1111").len())
        .flat_map(|n| read(&format!("{n:04x}")))
        .collect();
    gone.send(&flood);
    drop(gone);
    counted(&gateway, " client_gone=1 ");
    nothing_comes_but_the_next_request(&gateway, late);
}

/// A cancel request with this key, on a connection of its own, and its end.
fn cancel(gateway: &Gateway, key: &[u8]) {
    let mut c = gateway.raw();
    c.send(&[&[0, 0, 0, 16, 0x04, 0xd2, 0x16, 0x2e], key].concat());
    assert_eq!(c.until_ready(), "closed", "nothing is said to it");
}

/// Guards against cancels that are dropped, that end another query than the one that is waited for, or that let an attempt
/// begin afterwards.
#[test]
fn a_cancel_by_key_ends_the_query_that_is_waited_for_at_once_and_no_other() {
    let shy = Shy::start();
    let discovery = Discovery::start(vec![shy.entry("in_service")]);
    let gateway = plain(&discovery, &shy);
    let (mut one, mut two) = (gateway.client(), gateway.client());
    assert!(one.key.len() == 8 && two.key.len() == 8 && one.key != two.key);
    // Between two queries it ends none, and none that comes later.
    cancel(&gateway, &one.key);
    assert!(one.ask("").starts_with("Empty"));
    one.send(&read("1111"));
    let late = shy.next();
    two.send(&read("3333"));
    let mut other = shy.next();
    let wrong: Vec<u8> = one.key.iter().map(|b| b ^ 1).collect();
    (0..50).for_each(|_| cancel(&gateway, &wrong));
    cancel(&gateway, &one.key);
    let told = one.until_ready();
    assert!(
        told.contains("C57014") && told.ends_with("ReadyForQuery"),
        "{told}"
    );
    // The other is still waited for, and the cancelled one never leaves.
    welcome(&mut other);
    let seen = query_of(&mut other).expect("the request of the other");
    assert!(seen.contains("id=3333"), "{seen}");
    nothing_comes_but_the_next_request(&gateway, late);
    assert!(one.ask("").starts_with("Empty"), "the connection goes on");
    for broken in [
        &b"\0\0\0\x08\x04\xd2\x16\x2e"[..],
        b"\0\0\0\x18\x04\xd2\x16\x2e0123456789abcdef",
    ] {
        let mut c = gateway.raw();
        c.send(broken);
        assert!(c
            .until_ready()
            .starts_with("ErrorResponse SFATAL VFATAL C08P01"));
    }
}

/// Guards against a cancel that leaves its attempt running where attempts can be called off.
#[test]
fn a_cancelled_query_that_is_in_flight_ends_its_attempt() {
    let host = Host::start("s-1", true, |_, _| Say::Silence);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.client();
    client.send(&query(&statement("once", 9_000)));
    host.wait_for("c=once");
    let number = host.statements()[0].split_once(':').unwrap().0.to_string();
    cancel(&gateway, &client.key.clone());
    assert!(client.until_ready().contains("C57014"));
    host.wait_for(&format!("{number}: closed"));
    assert_eq!(host.statements().len(), 1);
}

/// Guards against a close over bytes that crossed it: that resets the connection, and takes the last answer along.
#[test]
fn a_connection_that_the_gateway_ends_takes_what_crosses_it_without_a_reset() {
    let host = Host::start("s-1", true, row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut idle = gateway.client();
    assert!(idle.ask(&statement("once", 9_000)).contains("a1b2"));
    gateway.call("evacuate\n");
    assert_eq!(idle.until_ready(), "closed");
    // Its end of the connection has come; more than one buffer crosses it.
    let before = host.statements().len();
    for _ in 0..20 {
        idle.send(&read("1111").repeat(40));
        std::thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(idle.stream.read(&mut [0]).expect("an end and no reset"), 0);
    assert_eq!(
        host.statements().len(),
        before,
        "what came behind the end is not sent on"
    );
}

/// Guards against probes that were decided on before a drain and find their connection after it.
#[test]
fn a_probe_whose_connection_comes_up_after_a_drain_is_not_sent() {
    let shy = Shy::start();
    let discovery = Discovery::start(vec![shy.entry("in_service")]);
    let gateway = Gateway::with(&discovery, &[], |c| {
        c["known"]["members"] = json!([shy.entry("in_service")]);
        c["settings"]["Bounds"]["ConnectTimeoutNs"] = json!(20_000_000_000u64);
    });
    // A write without a known primary: all hosts are probed.
    let mut client = gateway.client();
    client.send(&query(&statement("order", 9_000)));
    let mut late = shy.next();
    discovery.publish(EndpointList::Is(json!([shy.entry("terminating")])));
    welcome(&mut late);
    assert_eq!(
        query_of(&mut late),
        None,
        "something new to a host that drains"
    );
}

/// What a discovery of the test's own does with a call: its number, and the path.
type Script = fn(usize, &str, &mut TcpStream, &str);

/// Discovery that answers as a script says; the body is the list that the test holds.
fn scripted(list: Watched<String>, script: Script) -> Discovery {
    let here = Discovery::start(vec![]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let calls = here.calls.clone();
    spawn(move || {
        for (number, stream) in (1..).zip(listener.incoming()) {
            let mut stream = stream.unwrap();
            let (calls, list) = (calls.clone(), list.clone());
            spawn(move || {
                let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
                while let Some(Ok(call)) = lines.next() {
                    while lines.next().is_some_and(|l| l.is_ok_and(|l| !l.is_empty())) {}
                    let path = call.split(' ').nth(1).unwrap().to_string();
                    calls.change(|c| c.push(format!("{number}: {path}")));
                    let body = list.change(|l| l.clone());
                    script(number, &path, &mut stream, &body);
                }
            });
        }
    });
    Discovery { address, ..here }
}

fn list_of(revision: u64, members: serde_json::Value) -> String {
    serde_json::to_string_pretty(
        &json!({"revision": revision, "complete": true, "members": members}),
    )
    .unwrap()
}

fn plainly(stream: &mut TcpStream, body: &str) {
    let _ = write!(
        stream,
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
}

/// Two hosts, of which discovery drains the second at a given moment: returns once the gateway sends it nothing more, and
/// how long that took.
fn told_of_a_drain_after(script: Script, before: fn(&Discovery)) -> Duration {
    let (one, two) = (
        Host::start("s-1", true, row),
        Host::start("s-2", false, row),
    );
    let both = |phase: &str| json!([one.entry("in_service", 0), two.entry(phase, 0)]);
    let list = Watched::new(list_of(2, both("in_service")));
    let discovery = scripted(list.clone(), script);
    let gateway = Gateway::start(&discovery, &[&one, &two]);
    let mut client = gateway.client();
    before(&discovery);
    let drained = Instant::now();
    list.change(|l| *l = list_of(3, both("terminating")));
    // The call behind the one that told it.
    discovery.calls.wait("the change", |c| {
        c.iter().any(|c| c.contains("from=3&")).then_some(())
    });
    let took = drained.elapsed();
    let seen = two.statements().len();
    for _ in 0..10 {
        assert!(client.ask(&statement("read", 9_000)).contains("a1b2"));
    }
    assert_eq!(
        two.statements().len(),
        seen,
        "nothing new to one that drains"
    );
    took
}

fn in_a_watch(discovery: &Discovery) {
    discovery.calls.wait("a watch", |c| {
        c.iter()
            .any(|c| c.contains("from=2&hold_ms=2"))
            .then_some(())
    });
}

/// Guards against holds, time-outs and pauses that add up to more than the time after which a change counts as told: the
/// watch of the first connection is never answered, and neither is the first call of the second one.
#[test]
fn what_a_silent_watch_misses_is_known_within_six_seconds() {
    let took = told_of_a_drain_after(
        |number, path, stream, body| match number {
            // The head of an answer, and silence.
            1 if path.contains("hold_ms=2") => {
                drop(stream.write_all(b"HTTP/1.1 200 OK\r\nContent-"))
            }
            2 => {}
            _ => plainly(stream, body),
        },
        in_a_watch,
    );
    assert!(took < TOLD, "{took:?}");
}

/// Guards against an answer without a length that is never taken, and against a reset that is taken for its end.
#[test]
fn a_list_without_a_length_is_whole_at_its_end_and_not_at_a_reset() {
    let took = told_of_a_drain_after(
        |number, path, stream, body| match number {
            2 if path.contains("hold_ms=2") => {
                // All of a list that would put the drained host back, and a reset in place of an end.
                let lie = body.replace("terminating", "in_service");
                let lie = ["2", "3"].iter().fold(lie, |l, r| {
                    l.replace(&format!("\"revision\": {r}"), "\"revision\": 9")
                });
                let _ = write!(stream, "HTTP/1.1 200 OK\r\n\r\n{lie}");
                // Read by now: what is not goes with the reset.
                std::thread::sleep(Duration::from_millis(50));
                socket2::SockRef::from(&*stream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
                let _ = stream.shutdown(Shutdown::Read);
            }
            _ => {
                let _ = write!(stream, "HTTP/1.1 200 OK\r\n\r\n{body}");
                let _ = stream.shutdown(Shutdown::Both);
            }
        },
        |_| {},
    );
    assert!(took < TOLD, "{took:?}");
}

/// Guards against discovery that finds no descriptor once clients that say nothing hold all that they may.
#[test]
fn clients_that_fill_the_descriptors_while_discovery_is_down_keep_nothing_from_discovery_or_from_work(
) {
    let (one, two) = (
        Host::start("s-1", true, row),
        Host::start("s-2", false, row),
    );
    let both = |phase: &str| json!([one.entry("in_service", 0), two.entry(phase, 0)]);
    // An address at which nobody listens yet.
    let place = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = place.local_addr().unwrap();
    drop(place);
    let nowhere = Discovery {
        address,
        ..Discovery::start(vec![])
    };
    let gateway = Gateway::with(&nowhere, &[&one, &two], |c| {
        c["limits"]["sockets"] = json!(140)
    });
    // More than the descriptors that it may hold: some have said nothing, some are welcome and idle.
    let idle: Vec<Client> = (0..160)
        .map(|n| {
            let mut c = gateway.raw();
            if n % 2 == 0 {
                let _ = c.stream.write_all(&startup());
            }
            c
        })
        .collect();
    assert!(
        gateway
            .welcomed()
            .ask(&statement("read", 9_000))
            .contains("a1b2"),
        "work is served"
    );
    let listener = TcpListener::bind(address).unwrap();
    let body = list_of(3, both("terminating"));
    let back = Instant::now();
    let (mut stream, _) = listener.accept().unwrap();
    let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
    let mut call = || {
        let first = lines.next().unwrap().unwrap();
        while !lines.next().unwrap().unwrap().is_empty() {}
        first
    };
    call();
    plainly(&mut stream, &body);
    assert!(call().contains("from=3&"));
    assert!(back.elapsed() < TOLD, "{:?}", back.elapsed());
    let before = two.statements().len();
    let mut client = gateway.welcomed();
    (0..5).for_each(|_| assert!(client.ask(&statement("read", 9_000)).contains("a1b2")));
    assert_eq!(two.statements().len(), before);
    drop(idle);
}

/// An answer as a host gives it.
fn answer() -> Vec<u8> {
    let column = [&b"T\0\0\0\x20\0\x01payload\0"[..], &[0; 18]].concat();
    [
        &column[..],
        b"D\0\0\0\x0b\0\x01\0\0\0\x01x",
        b"C\0\0\0\x0dSELECT 1\0",
        b"Z\0\0\0\x05I",
    ]
    .concat()
}

/// Guards against an unfinished row that is passed on as one: the host breaks off behind each byte of its answer, by an end
/// or by a reset.
#[test]
fn an_answer_that_breaks_off_is_a_row_from_its_last_message_on_and_never_before() {
    let shy = Shy::start();
    let discovery = Discovery::start(vec![shy.entry("in_service")]);
    let gateway = Gateway::with(&discovery, &[], |c| {
        c["known"]["members"] = json!([shy.entry("in_service")]);
        c["settings"]["Bounds"]["Probes"] = json!(false);
        c["settings"]["Bounds"]["MostTries"] = json!(1);
        // A host that breaks off is left alone for a few of these.
        c["settings"]["Bounds"]["ConnectTimeoutNs"] = json!(100_000_000u64);
    });
    let whole = answer();
    let complete = whole.len() - 6;
    let mut client = gateway.client();
    for cut in 0..=whole.len() {
        let reset = cut % 2 == 1;
        client.send(&query(&statement("read", 9_000)));
        let mut host = shy.next();
        welcome(&mut host);
        query_of(&mut host).expect("the statement");
        host.write_all(&whole[..cut]).unwrap();
        if reset {
            // What has been sent is read before the reset, which would take it along.
            std::thread::sleep(Duration::from_millis(10));
            socket2::SockRef::from(&host)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
        drop(host);
        let told = client.until_ready();
        let row = told.contains("DataRow x") && told.ends_with("ReadyForQuery");
        assert_eq!(row, cut >= complete, "{cut} bytes, reset {reset}: {told}");
        assert!(
            row || told.starts_with("ErrorResponse"),
            "{cut} bytes: {told}"
        );
    }
}

/// Guards against requests that are left without an answer by a planned stop: one hangs at its host, one waits for a
/// connection, one comes last; and against a second signal that cuts them off.
#[test]
fn a_planned_stop_answers_what_hangs_what_waits_and_what_comes_last() {
    let shy = Shy::start();
    let discovery = Discovery::start(vec![shy.entry("in_service")]);
    let mut gateway = Gateway::with(&discovery, &[], |c| {
        c["known"]["members"] = json!([shy.entry("in_service")]);
        c["settings"]["Bounds"]["Probes"] = json!(false);
        // All deadlines are short, and times of the stop follow from the longest.
        for class in c["settings"]["Classes"].as_array_mut().unwrap() {
            class["DeadlineNs"] = json!(400_000_000);
        }
    });
    let mut clients: Vec<Client> = (0..3).map(|_| gateway.client()).collect();
    let any = |n: usize| query(&statement("read", 400).replace("9b1f", &n.to_string()));
    clients[0].send(&any(0));
    let mut hangs = shy.next();
    welcome(&mut hangs);
    query_of(&mut hangs).expect("one that hangs");
    gateway.signal("-TERM");
    gateway.wait_for_log("stopping");
    gateway.signal("-TERM");
    gateway.signal("-HUP");
    clients[1].send(&any(1));
    let _waits = shy.next();
    let mut last = gateway.client();
    // Half of it now, and the rest while the other two are waited for.
    let bytes = any(2);
    last.send(&bytes[..20]);
    for c in &mut clients[..2] {
        let told = c.until_ready();
        assert!(told.contains("C53300") || told.contains("CXX000"), "{told}");
    }
    last.send(&bytes[20..]);
    let told = last.until_ready();
    assert!(
        told.starts_with("ErrorResponse") || told.contains("DataRow"),
        "{told}"
    );
    let mut idle = clients.pop().unwrap();
    assert_eq!(idle.until_ready(), "closed");
    assert_eq!(gateway.exit_code(), Some(0));
    gateway
        .log
        .change(|l| assert!(!l.iter().any(|l| l.contains(" received=0")), "{l:?}"));
}
