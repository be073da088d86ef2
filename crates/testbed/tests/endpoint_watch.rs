//! Tests of the watch of the endpoint list. One gateway of a fleet holds the lease on the watch and sends long polls
//! to discovery for all; another one takes over when it is killed, and each gateway sends its own long polls while
//! discovery refuses the holder. The tests check the calls that discovery received and the statements that the hosts
//! received.

mod common;

use common::{plan, send_statement, start_and_settle, wait_until, LEASE_MS};
use irisrouter_testbed::cluster::schedule::Pace;
use irisrouter_testbed::cluster::{Cluster, EndpointListMode, GatewayLimits, Plan};

fn start_with_watcher(gateways: usize, seed: u64) -> (Cluster, usize) {
    let pace = Pace {
        lease_ms: Some(LEASE_MS),
        ..Pace::FAST
    };
    let operators = pace
        .operators()
        .replace("takeover: { ", "takeover: { list_watch: true, ");
    let cluster = start_and_settle(Plan {
        sets: 3,
        endpoint_list: EndpointListMode::Polled,
        deadline_percent: 100,
        limits: GatewayLimits::default(),
        ..plan(gateways, seed, operators)
    });
    wait_until("exactly one gateway watches the list", || {
        cluster.discovery.long_polling().len() == 1 && watcher(&cluster).is_some()
    });
    let watcher = watcher(&cluster).expect("a holder of the lease");
    wait_until("the holder of the lease has a long poll open", || {
        cluster.discovery.long_polling() == [watcher]
    });
    (cluster, watcher)
}

/// Returns the first running gateway whose console reports that it holds the lease on the watch of the endpoint list.
fn watcher(cluster: &Cluster) -> Option<usize> {
    cluster
        .running()
        .into_iter()
        .find(|&g| cluster.call(g, "duties").contains("list:"))
}

/// Sends twelve reads of set 1 through a gateway, and returns whether any of them reached the replica.
fn reads_reach_replica(cluster: &Cluster, gateway: usize) -> bool {
    let from = cluster.clock.now();
    for n in 0..12 {
        let text = "SELECT payload FROM entries WHERE ref = '7f3a'";
        let said = send_statement(
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
    let record = host.record();
    record
        .statements
        .iter()
        .any(|s| s.0 >= from && s.1 == gateway)
}

#[test]
fn one_gateway_watches_for_all_and_another_takes_over_when_it_is_killed() {
    let (mut cluster, first) = start_with_watcher(5, 41);
    assert!(reads_reach_replica(&cluster, (first + 1) % 5));
    let before = cluster.clock.now();
    cluster.discovery.set_phase("h1-1", "terminating");
    wait_until("all gateways have called discovery", || {
        (0..5).all(|g| {
            cluster
                .discovery
                .calls()
                .iter()
                .any(|c| c.gateway == g && c.at_ms >= before)
        })
    });
    wait_until("no gateway sends reads to the terminating host", || {
        !(0..5).any(|g| reads_reach_replica(&cluster, g))
    });
    let calls = cluster.discovery.calls();
    let watched = calls
        .iter()
        .filter(|c| c.at_ms >= before && c.long_poll && c.gateway != first);
    assert_eq!(
        watched.count(),
        0,
        "only the holder of the lease sends long polls: {calls:?}"
    );
    cluster.crash(first);
    wait_until("another gateway watches the list", || {
        cluster.discovery.long_polling().len() == 1 && watcher(&cluster).is_some()
    });
    let next = watcher(&cluster).expect("a holder of the lease");
    assert_ne!(next, first);
    wait_until("only the new watcher has a long poll open", || {
        cluster.discovery.long_polling() == [next]
    });
    cluster.discovery.set_phase("h1-1", "in_service");
    wait_until("all gateways send reads to the host again", || {
        cluster
            .running()
            .into_iter()
            .all(|g| reads_reach_replica(&cluster, g))
    });
    // After its restart the first candidate takes the watch back, and the other gateway stops its long poll.
    cluster.launch(first).expect("the gateway starts again");
    wait_until("the first watcher watches again", || {
        cluster.discovery.long_polling() == [first]
    });
}

#[test]
fn gateways_refused_by_discovery_get_list_changes_from_the_watcher() {
    let (cluster, first) = start_with_watcher(4, 42);
    let others: Vec<usize> = (0..4).filter(|&g| g != first).collect();
    assert!(others.iter().all(|&g| reads_reach_replica(&cluster, g)));
    // Discovery refuses the others, so they cannot fetch the list themselves.
    others.iter().for_each(|&g| cluster.discovery.refuse(g));
    cluster.discovery.set_phase("h1-1", "terminating");
    wait_until("no gateway sends reads to the terminating host", || {
        !(0..4).any(|g| reads_reach_replica(&cluster, g))
    });
    others
        .iter()
        .for_each(|&g| cluster.discovery.stop_refusing(g));
    cluster.discovery.set_phase("h1-1", "in_service");
    wait_until("all gateways send reads to the host again", || {
        (0..4).all(|g| reads_reach_replica(&cluster, g))
    });
}

#[test]
fn all_gateways_watch_for_themselves_while_discovery_refuses_the_watcher() {
    let (cluster, first) = start_with_watcher(4, 43);
    cluster.discovery.refuse(first);
    // A new revision ends the watcher's open long poll; its next call is refused.
    cluster.discovery.set_phase("h2-1", "terminating");
    let others: Vec<usize> = (0..4).filter(|&g| g != first).collect();
    wait_until("the other gateways watch the list", || {
        others
            .iter()
            .all(|g| cluster.discovery.long_polling().contains(g))
    });
    cluster.discovery.set_phase("h1-1", "terminating");
    wait_until("no gateway sends reads to the terminating host", || {
        !others.iter().any(|&g| reads_reach_replica(&cluster, g))
    });
    cluster.discovery.stop_refusing(first);
    wait_until("only the first watcher has a long poll open again", || {
        cluster.discovery.long_polling() == [first]
    });
}

/// If an agent beside each gateway pushes the list, each gateway watches its own agent, even if the operators' file
/// enables a shared watch.
#[test]
fn each_gateway_watches_for_itself_where_the_list_is_pushed() {
    let pace = Pace {
        lease_ms: Some(LEASE_MS),
        ..Pace::FAST
    };
    let operators = pace
        .operators()
        .replace("takeover: { ", "takeover: { list_watch: true, ");
    let cluster = start_and_settle(Plan {
        sets: 3,
        ..plan(3, 44, operators)
    });
    wait_until("all gateways watch the list", || {
        cluster.discovery.long_polling().len() == 3
    });
    assert!((0..3).all(|g| !cluster.call(g, "duties").contains("list:")));
}
