//! One watch of the list for a fleet of real gateways: it goes on with another gateway when its owner is killed, and each
//! watches for itself when the owner can't reach discovery. What is checked is what discovery was called for and what
//! the hosts were sent.

mod common;

use common::{ask, plan, started_with, wait, LEASE_MS};
use irisrouter_testbed::cluster::schedule::Pace;
use irisrouter_testbed::cluster::{Cluster, Plan};

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
        cluster.discovery.watching().len() == 1 && owner(&cluster).is_some()
    });
    let owner = owner(&cluster).expect("an owner");
    wait("the owner watches", || {
        cluster.discovery.watching() == [owner]
    });
    (cluster, owner)
}

/// The gateway whose duty the watch is, by its console.
fn owner(cluster: &Cluster) -> Option<usize> {
    cluster
        .running()
        .into_iter()
        .find(|&g| cluster.call(g, "duties").contains("list:"))
}

/// Whether reads through a gateway reach the replica of set 1, out of twelve.
fn reach(cluster: &Cluster, gateway: usize) -> bool {
    let from = cluster.clock.now();
    for n in 0..12 {
        let text = "SELECT payload FROM entries WHERE ref = '7f3a'";
        let said = ask(
            cluster,
            gateway,
            &format!("{text} /* id={from:x}{n:x}{gateway},c=report,d=6000,cluster=1 */"),
        );
        assert!(said.is_ok(), "{said:?}");
    }
    let host = cluster
        .hosts
        .iter()
        .find(|h| h.id == "h1-1")
        .expect("a host");
    let seen = host.seen();
    seen.statements
        .iter()
        .any(|s| s.0 >= from && s.1 == gateway)
}

#[test]
fn one_gateway_watches_for_all_and_another_once_it_is_killed() {
    let (mut cluster, first) = started(5, 41);
    assert!(reach(&cluster, (first + 1) % 5));
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
    wait("nobody sends there", || !(0..5).any(|g| reach(&cluster, g)));
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
        cluster.discovery.watching().len() == 1 && owner(&cluster).is_some()
    });
    let next = owner(&cluster).expect("an owner");
    assert_ne!(next, first);
    wait("it watches", || cluster.discovery.watching() == [next]);
    cluster.discovery.phase("h1-1", "in_service");
    wait("served again by all", || {
        cluster.running().into_iter().all(|g| reach(&cluster, g))
    });
    // Back, and first in the order: it watches again, and the other one rests.
    cluster.launch(first).expect("starts again");
    wait("the first one again", || {
        cluster.discovery.watching() == [first]
    });
}

#[test]
fn hosts_that_leave_are_left_alone_on_the_watcher_s_word() {
    let (cluster, first) = started(4, 42);
    let others: Vec<usize> = (0..4).filter(|&g| g != first).collect();
    assert!(others.iter().all(|&g| reach(&cluster, g)));
    // The others can't have the list themselves.
    others
        .iter()
        .for_each(|&g| cluster.discovery.refuse(g, true));
    cluster.discovery.phase("h1-1", "terminating");
    wait("left alone", || !(0..4).any(|g| reach(&cluster, g)));
    others
        .iter()
        .for_each(|&g| cluster.discovery.refuse(g, false));
    cluster.discovery.phase("h1-1", "in_service");
    wait("served again", || (0..4).all(|g| reach(&cluster, g)));
}

#[test]
fn all_watch_for_themselves_while_the_watcher_can_t() {
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
    wait("left alone", || !others.iter().any(|&g| reach(&cluster, g)));
    cluster.discovery.refuse(first, false);
    wait("one watcher again", || {
        cluster.discovery.watching() == [first]
    });
}

/// Where each gateway has an agent of its own, what that one has counts as told: each watches it, whatever is set.
#[test]
fn where_the_list_is_pushed_each_gateway_watches() {
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
