//! One watch of the endpoint list for a fleet of real gateways: another gateway goes on with it when the watcher is killed,
//! and each watches for itself when the watcher can't reach discovery. What is checked is what discovery was called for
//! and what the hosts were sent.

mod common;

use common::{ask, plan, started_with, wait, LEASE_MS};
use irisrouter_testbed::cluster::schedule::Pace;
use irisrouter_testbed::cluster::{Cluster, Plan};

/// A fleet with the endpoint watch on, and the gateway that watches for all.
fn started(gateways: usize, seed: u64) -> (Cluster, usize) {
    let pace = Pace {
        lease_ms: Some(LEASE_MS),
        ..Pace::FAST
    };
    let operators = pace
        .operators()
        .replace("takeover: { ", "takeover: { list_watch: true, ");
    let cluster = started_with(Plan {
        sets: 3,
        ask: true,
        ..plan(gateways, seed, operators)
    });
    wait("one watcher", || {
        cluster.discovery.watching().len() == 1 && lease_holder(&cluster).is_some()
    });
    let watcher = lease_holder(&cluster).expect("a lease holder");
    wait("the lease holder watches", || {
        cluster.discovery.watching() == [watcher]
    });
    (cluster, watcher)
}

/// The gateway that holds the lease of the watch, by its console.
fn lease_holder(cluster: &Cluster) -> Option<usize> {
    cluster
        .running()
        .into_iter()
        .find(|&gateway| cluster.call(gateway, "duties").contains("list:"))
}

/// Whether any of twelve reads through a gateway reaches the replica of set 1.
fn reaches_replica(cluster: &Cluster, gateway: usize) -> bool {
    let sent_from = cluster.clock.now();
    for read in 0..12 {
        let text = "SELECT payload FROM entries WHERE ref = '7f3a'";
        let answer = ask(
            cluster,
            gateway,
            &format!("{text} /* id={sent_from:x}{read:x}{gateway},c=report,d=6000,cluster=1 */"),
        );
        assert!(answer.is_ok(), "{answer:?}");
    }
    let host = cluster
        .hosts
        .iter()
        .find(|host| host.id == "h1-1")
        .expect("a host");
    let seen = host.seen();
    seen.statements
        .iter()
        .any(|statement| statement.0 >= sent_from && statement.1 == gateway)
}

#[test]
fn one_gateway_watches_for_all_and_another_once_it_is_killed() {
    let (mut cluster, first) = started(5, 41);
    assert!(reaches_replica(&cluster, (first + 1) % 5));
    let before = cluster.clock.now();
    cluster.discovery.phase("h1-1", "terminating");
    wait("all have the list", || {
        (0..5).all(|g| {
            cluster
                .discovery
                .calls()
                .iter()
                .any(|c| c.gateway == g && c.at >= before)
        })
    });
    wait("nobody sends there", || {
        !(0..5).any(|g| reaches_replica(&cluster, g))
    });
    let calls = cluster.discovery.calls();
    let watched = calls
        .iter()
        .filter(|c| c.at >= before && c.watch && c.gateway != first);
    assert_eq!(
        watched.count(),
        0,
        "the others called without watching: {calls:?}"
    );
    cluster.crash(first);
    wait("another watcher", || {
        cluster.discovery.watching().len() == 1 && lease_holder(&cluster).is_some()
    });
    let next = lease_holder(&cluster).expect("a lease holder");
    assert_ne!(next, first);
    wait("it watches", || cluster.discovery.watching() == [next]);
    cluster.discovery.phase("h1-1", "in_service");
    wait("served again by all", || {
        cluster
            .running()
            .into_iter()
            .all(|g| reaches_replica(&cluster, g))
    });
    // Back, and the first candidate: it gets the lease back, and the other gateway stops watching.
    cluster.launch(first).expect("starts again");
    wait("the first one again", || {
        cluster.discovery.watching() == [first]
    });
}

#[test]
fn heartbeat_takes_a_host_out_of_service_at_gateways_that_cannot_fetch() {
    let (cluster, first) = started(4, 42);
    let others: Vec<usize> = (0..4).filter(|&g| g != first).collect();
    assert!(others.iter().all(|&g| reaches_replica(&cluster, g)));
    // The others can't fetch the list.
    others
        .iter()
        .for_each(|&g| cluster.discovery.refuse(g, true));
    cluster.discovery.phase("h1-1", "terminating");
    wait("nobody sends there", || {
        !(0..4).any(|g| reaches_replica(&cluster, g))
    });
    others
        .iter()
        .for_each(|&g| cluster.discovery.refuse(g, false));
    cluster.discovery.phase("h1-1", "in_service");
    wait("served again", || {
        (0..4).all(|g| reaches_replica(&cluster, g))
    });
}

#[test]
fn all_watch_for_themselves_while_the_watcher_cannot_reach_discovery() {
    let (cluster, first) = started(4, 43);
    cluster.discovery.refuse(first, true);
    // Its open watch is answered, and its next call refused.
    cluster.discovery.phase("h2-1", "terminating");
    let others: Vec<usize> = (0..4).filter(|&g| g != first).collect();
    wait("the others watch", || {
        others
            .iter()
            .all(|g| cluster.discovery.watching().contains(g))
    });
    cluster.discovery.phase("h1-1", "terminating");
    wait("nobody sends there", || {
        !others.iter().any(|&g| reaches_replica(&cluster, g))
    });
    cluster.discovery.refuse(first, false);
    wait("one watcher again", || {
        cluster.discovery.watching() == [first]
    });
}

/// Where each gateway has an agent of its own, it has to know what its agent has: each watches, whatever is set.
#[test]
fn each_gateway_watches_where_the_list_is_pushed() {
    let pace = Pace {
        lease_ms: Some(LEASE_MS),
        ..Pace::FAST
    };
    let operators = pace
        .operators()
        .replace("takeover: { ", "takeover: { list_watch: true, ");
    let cluster = started_with(Plan {
        sets: 3,
        ..plan(3, 44, operators)
    });
    wait("all watch", || cluster.discovery.watching().len() == 3);
    assert!((0..3).all(|g| !cluster.call(g, "duties").contains("list:")));
}
