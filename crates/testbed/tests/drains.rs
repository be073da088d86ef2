//! Tests of draining database hosts with real gateways: a command that an operator gives one gateway takes effect at
//! all, and if the coordinator of a drain dies, another gateway completes the drain. The tests check the statements
//! that the host received and the lines that the gateways logged.

mod common;

use common::{send_statement, start_with_leases, wait_until};
use irisrouter_cluster_types::GatewayId;
use irisrouter_testbed::cluster::process::Line;
use irisrouter_testbed::cluster::stand_ins::host::Host;
use irisrouter_testbed::cluster::Cluster;
use std::time::Duration;

/// A read that any host of set 1 can answer.
fn read(id: &str) -> String {
    format!(
        "SELECT payload FROM entries WHERE ref = '7f3a' /* id={id},c=report,d=6000,cluster=1 */"
    )
}

/// Text in the completion line of the coordinator that completed the drain.
const FOUND: &str = "completed here";
/// Text in the completion lines of the other gateways, which received the completion from another one.
const RECEIVED: &str = "(completion received";

/// Returns whether a gateway's console lists the lease on a drain among the leases that it holds.
fn coordinates_drain(cluster: &Cluster, gateway: usize) -> bool {
    cluster.call(gateway, "duties").contains("drain-")
}

/// Returns the first running gateway that holds the lease on a drain.
fn coordinator(cluster: &Cluster) -> Option<usize> {
    let mut gateways = cluster.running().into_iter();
    gateways.find(|&gateway| coordinates_drain(cluster, gateway))
}

/// A log line of a gateway that reports that h1-1 is drained.
#[derive(Debug, PartialEq, Eq)]
struct LoggedCompletion {
    gateway: usize,
    /// Time at which it was read, in milliseconds since the start of the run.
    at_ms: u64,
}

/// The log lines of all gateways that report that h1-1 is drained and contain this text.
fn logged_completions(cluster: &Cluster, text: &str) -> Vec<LoggedCompletion> {
    let is_completion =
        |line: &&Line| line.text.contains("drains: h1-1 is drained") && line.text.contains(text);
    let completion = |line: &Line| LoggedCompletion {
        gateway: line.gateway,
        at_ms: line.at,
    };
    cluster
        .history
        .inspect_lines(|lines| lines.iter().filter(is_completion).map(completion).collect())
}

/// A statement that a host received.
#[derive(Debug, PartialEq, Eq)]
struct SentStatement {
    /// Time at which it arrived, in milliseconds since the start of the run.
    at_ms: u64,
    /// The gateway that sent it.
    gateway: usize,
}

/// The statements that a host received from `from_ms` on, in milliseconds since the start of the run.
fn sent_statements(cluster: &Cluster, host_id: &str, from_ms: u64) -> Vec<SentStatement> {
    let host = find_host(cluster, host_id);
    let record = host.record();
    record
        .statements
        .iter()
        .map(|&(at_ms, gateway, _)| SentStatement { at_ms, gateway })
        .filter(|statement| statement.at_ms >= from_ms)
        .collect()
}

fn find_host<'a>(cluster: &'a Cluster, host_id: &str) -> &'a Host {
    let mut hosts = cluster.hosts.iter();
    hosts
        .find(|host| host.id == host_id)
        .expect("the cluster has the host")
}

#[test]
fn drain_holds_at_every_gateway_until_the_host_is_put_back_in_service() {
    let cluster = start_with_leases(4, 31);
    let host = find_host(&cluster, "h1-1");
    // Puts a read in flight at the host: the first read opens a connection, then the link is cut.
    assert!(send_statement(&cluster, 3, &read("a0")).is_ok());
    host.cut(3, true);
    std::thread::scope(|scope| {
        let pending_read = scope.spawn(|| send_statement(&cluster, 3, &read("a1")));
        // By now the gateway has the read in flight at this host, or has already retried it at another one. That a
        // drain waits for a request in flight is tested in crates/drain-coordination/tests/fleet.rs.
        std::thread::sleep(Duration::from_millis(150));
        let answer = cluster.call(2, "drain h1-1");
        assert!(
            answer.starts_with("+OK h1-1 is to be out of service"),
            "{answer}"
        );
        wait_until("a gateway coordinates the drain", || {
            coordinator(&cluster).is_some()
        });
        host.cut(3, false);
        let answer = pending_read.join().expect("the client does not panic");
        assert!(answer.is_ok());
    });
    wait_until("the coordinator completes the drain", || {
        logged_completions(&cluster, FOUND).len() == 1
    });
    wait_until("the other gateways receive the completion", || {
        logged_completions(&cluster, RECEIVED).len() == 3
    });
    // After the completion no gateway sends statements to the host.
    let drained_at = cluster.clock.now();
    for n in 0..24 {
        assert!(send_statement(&cluster, n % 4, &read(&format!("b{n}"))).is_ok());
    }
    assert_eq!(sent_statements(&cluster, "h1-1", drained_at), []);
    assert!(sent_statements(&cluster, "h1-0", drained_at).len() >= 24);
    // An operator cannot drain the last host of a set that is in service.
    assert_eq!(
        cluster.call(0, "drain h1-0"),
        "-ERR h1-0 is the last host of its set in service"
    );
    assert_eq!(
        cluster.call(0, "drain h9-9"),
        "-ERR the list names no host h9-9"
    );
    let answer = cluster.call(1, "undrain h1-1");
    assert!(
        answer.starts_with("+OK h1-1 is to be back in service"),
        "{answer}"
    );
    wait_until("gateway 0 sends requests to the host again", || {
        let n = cluster.clock.now();
        assert!(send_statement(&cluster, 0, &read(&format!("c{n}"))).is_ok());
        let sent = sent_statements(&cluster, "h1-1", drained_at);
        sent.iter().any(|statement| statement.gateway == 0)
    });
}

#[test]
fn drain_is_completed_once_by_the_next_coordinator_when_its_coordinator_is_killed() {
    let mut cluster = start_with_leases(5, 32);
    let first = {
        let host = irisrouter_gossip::message::host_id("h1-1");
        irisrouter_leases::rendezvous::candidates(
            irisrouter_drain_coordination::task_id(host),
            &(0..5).map(GatewayId).collect::<Vec<_>>(),
        )[0]
        .0 as usize
    };
    let issuer = (first + 1) % 5;
    let stalled = (first + 2) % 5;
    // No coordinator may complete the drain while the stalled gateway cannot report its requests in flight.
    cluster.stall(stalled);
    let answer = cluster.call(issuer, "drain h1-1");
    assert!(answer.starts_with("+OK"), "{answer}");
    wait_until("the first candidate coordinates the drain", || {
        coordinates_drain(&cluster, first)
    });
    assert_eq!(logged_completions(&cluster, "drained"), []);
    cluster.crash(first);
    let next_coordinator = || {
        let mut others = cluster.running().into_iter().filter(|&g| g != stalled);
        others.find(|&gateway| coordinates_drain(&cluster, gateway))
    };
    wait_until("another gateway coordinates the drain", || {
        next_coordinator().is_some()
    });
    cluster.resume(stalled);
    wait_until("the other gateways receive the completion", || {
        logged_completions(&cluster, RECEIVED).len() == 3
    });
    let found = logged_completions(&cluster, FOUND);
    assert_eq!(found.len(), 1, "one gateway completes it: {found:?}");
    // Any gateway except the crashed one may complete it, also the stalled one, which may acquire the lease after it
    // has resumed.
    assert_ne!(found[0].gateway, first);
    // The restarted gateway has no record of the drain and receives it from the others.
    cluster.launch(first).expect("the gateway starts again");
    wait_until(
        "the gateway that started again receives the completion",
        || cluster.call(first, "drains").contains("h1-1:done"),
    );
    let drained_at = cluster.clock.now();
    for n in 0..20 {
        assert!(send_statement(&cluster, n % 5, &read(&format!("d{n}"))).is_ok());
    }
    assert_eq!(sent_statements(&cluster, "h1-1", drained_at), []);
}

#[test]
fn drain_issued_at_a_minority_has_no_majority_and_reaches_every_gateway_after_the_partition() {
    let cluster = start_with_leases(5, 33);
    cluster.partition(&[0], &[1, 2, 3, 4]);
    let answer = cluster.call(0, "drain h1-1");
    assert!(
        answer.starts_with("-ERR h1-1 is to be out of service; 1 of 5 gateways follow"),
        "{answer}"
    );
    cluster.heal();
    wait_until("every gateway logs that the host is drained", || {
        logged_completions(&cluster, "h1-1").len() == 5
    });
    assert_eq!(logged_completions(&cluster, FOUND).len(), 1);
}
