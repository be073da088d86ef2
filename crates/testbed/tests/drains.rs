//! Drains of database hosts with real gateways: an operator's word at one of them holds at all, and another gateway sees
//! the drain through when the one that does dies. What is checked is what the host was sent and what the gateways logged.

mod common;

use common::{ask, started, wait};
use irisrouter_testbed::cluster::process::Line;
use irisrouter_testbed::cluster::Cluster;
use std::time::Duration;

/// A read that any host of set 1 may answer.
fn read(id: &str) -> String {
    format!(
        "SELECT payload FROM entries WHERE ref = '7f3a' /* id={id},c=report,d=6000,cluster=1 */"
    )
}

/// The gateway whose console says that it sees a drain through.
fn owner(cluster: &Cluster) -> Option<usize> {
    cluster
        .running()
        .into_iter()
        .find(|&g| cluster.call(g, "duties").contains("drain-"))
}

/// When gateways logged that the host is drained: of those that found it, or of those that were told.
fn drained(cluster: &Cluster, how: &str) -> Vec<(usize, u64)> {
    let of = |l: &&Line| l.text.contains("drains: h1-1 is drained") && l.text.contains(how);
    cluster
        .history
        .look(|lines| lines.iter().filter(of).map(|l| (l.gateway, l.at)).collect())
}

/// Statements that a host was sent, as (when, by which gateway).
fn sent(cluster: &Cluster, id: &str, from: u64) -> Vec<(u64, usize)> {
    let host = cluster.hosts.iter().find(|h| h.id == id).expect("a host");
    let seen = host.seen();
    seen.statements
        .iter()
        .filter(|s| s.0 >= from)
        .map(|s| (s.0, s.1))
        .collect()
}

#[test]
fn a_drain_holds_everywhere_and_is_taken_back() {
    let cluster = started(4, 31);
    let host = cluster
        .hosts
        .iter()
        .find(|h| h.id == "h1-1")
        .expect("a host");
    // A read stands at the host: the way between the two is cut, once a connection is up.
    assert!(ask(&cluster, 3, &read("a0")).is_ok());
    host.cut(3, true);
    std::thread::scope(|scope| {
        let held = scope.spawn(|| ask(&cluster, 3, &read("a1")));
        // Its gateway has it open there by now, or has had it there and gone on elsewhere: that a drain waits for it is
        // proven in crates/drain-coordination/tests/fleet.rs.
        std::thread::sleep(Duration::from_millis(150));
        let said = cluster.call(2, "drain h1-1");
        assert!(
            said.starts_with("+OK h1-1 is to be out of service"),
            "{said}"
        );
        wait("an owner", || owner(&cluster).is_some());
        host.cut(3, false);
        assert!(held.join().expect("a client").is_ok());
    });
    wait("drained", || drained(&cluster, "completed here").len() == 1);
    wait("told", || {
        drained(&cluster, "(completion received").len() == 3
    });
    // Nothing is sent there any more, by whichever gateway.
    let after = cluster.clock.now();
    for n in 0..24 {
        assert!(ask(&cluster, n % 4, &read(&format!("b{n}"))).is_ok());
    }
    assert_eq!(sent(&cluster, "h1-1", after), []);
    assert!(sent(&cluster, "h1-0", after).len() >= 24);
    // The last host of a set stays in service, whatever is said.
    assert_eq!(
        cluster.call(0, "drain h1-0"),
        "-ERR h1-0 is the last host of its set in service"
    );
    assert_eq!(
        cluster.call(0, "drain h9-9"),
        "-ERR the list names no host h9-9"
    );
    let said = cluster.call(1, "undrain h1-1");
    assert!(
        said.starts_with("+OK h1-1 is to be back in service"),
        "{said}"
    );
    wait("served again", || {
        let n = cluster.clock.now();
        assert!(ask(&cluster, 0, &read(&format!("c{n}"))).is_ok());
        sent(&cluster, "h1-1", after).iter().any(|s| s.1 == 0)
    });
}

#[test]
fn a_drain_whose_owner_is_killed_is_seen_through_once_by_another() {
    let mut cluster = started(5, 32);
    let first = {
        let host = irisrouter_gossip::message::host_id("h1-1").0;
        irisrouter_leases::rendezvous::candidates(
            irisrouter_drain_coordination::task_id(host),
            &[0, 1, 2, 3, 4],
        )[0] as usize
    };
    let (teller, quiet) = ((first + 1) % 5, (first + 2) % 5);
    // One is stopped: it can't say what it has open, and nobody may call the host drained without it.
    cluster.stall(quiet);
    let said = cluster.call(teller, "drain h1-1");
    assert!(said.starts_with("+OK"), "{said}");
    wait("its owner", || {
        cluster.call(first, "duties").contains("drain-")
    });
    assert_eq!(drained(&cluster, "drained"), []);
    cluster.crash(first);
    let next = |c: &Cluster| {
        let mut others = c.running().into_iter().filter(|&g| g != quiet);
        others.find(|&g| c.call(g, "duties").contains("drain-"))
    };
    wait("another owner", || next(&cluster).is_some());
    cluster.resume(quiet);
    wait("told", || {
        drained(&cluster, "(completion received").len() == 3
    });
    let found = drained(&cluster, "completed here");
    assert_eq!(found.len(), 1, "one verdict: {found:?}");
    // Any but the dead one: the one that was stopped may come to own it when it is back.
    assert_ne!(found[0].0, first);
    // The one that starts again knows nothing, and is told.
    cluster.launch(first).expect("starts again");
    wait("told anew", || {
        cluster.call(first, "drains").contains("h1-1:done")
    });
    let after = cluster.clock.now();
    for n in 0..20 {
        assert!(ask(&cluster, n % 5, &read(&format!("d{n}"))).is_ok());
    }
    assert_eq!(sent(&cluster, "h1-1", after), []);
}

/// The side that a cut leaves small hears a drain's word only after the cut, and an operator there is told so.
#[test]
fn a_drain_said_on_the_small_side_of_a_cut_goes_round_after_it() {
    let cluster = started(5, 33);
    cluster.partition(&[0], &[1, 2, 3, 4]);
    let said = cluster.call(0, "drain h1-1");
    assert!(
        said.starts_with("-ERR h1-1 is to be out of service; 1 of 5 gateways follow"),
        "{said}"
    );
    cluster.heal();
    wait("drained everywhere", || {
        drained(&cluster, "h1-1").len() == 5
    });
    assert_eq!(drained(&cluster, "completed here").len(), 1);
}
