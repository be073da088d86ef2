//! Duties that survive their owner, with real gateways: the owner of a set's probes is killed, stalled or cut off, and one
//! other takes them over. What is checked is what the hosts were sent, as they recorded it.

mod common;

use common::gateway;
use irisrouter_lab::cluster::duties::{check, Bounds};
use irisrouter_lab::cluster::schedule::Pace;
use irisrouter_lab::cluster::{Cluster, Plan, PATIENCE};
use std::time::{Duration, Instant};

const LEASE_MS: u64 = 1_000;

fn started(gateways: usize, seed: u64) -> Cluster {
    let operators = Pace { lease_ms: Some(LEASE_MS), ..Pace::FAST }.operators();
    let plan = Plan { gateways, sets: 3, zones: vec!["a".into()], seed, program: gateway(), operators };
    let cluster = Cluster::start(plan).expect("starts");
    cluster.settle(PATIENCE).expect("the fleet sees itself whole");
    wait("every set is probed", || (0..3).all(|set| cluster.prober(set, 300).is_some()));
    cluster
}

fn wait(what: &str, mut until: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !until() {
        assert!(Instant::now() < end, "waited in vain: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// The owner of a set, once that is the first in its order, where it stays.
fn first(cluster: &Cluster, gateways: u32, set: u64) -> usize {
    let first = irisrouter_duties::order::owners(set, &(0..gateways).collect::<Vec<_>>())[0] as usize;
    wait("the first in the order", || cluster.prober(set, 300) == Some(first));
    first
}

/// One owner at a time by what the hosts saw, and no set without one for longer than the bound.
fn holds(cluster: &Cluster, from: u64) {
    let bounds = Bounds { lease_ms: LEASE_MS, from, until: cluster.clock.now() };
    let found = check(cluster, bounds);
    assert_eq!(found.broken, [] as [String; 0], "{found:#?}");
}

#[test]
fn the_owner_of_a_duty_is_killed_and_one_other_takes_it() {
    let mut cluster = started(4, 21);
    let owner = first(&cluster, 4, 1);
    let from = cluster.clock.now();
    cluster.crash(owner);
    wait("another owner", || cluster.prober(1, 300).is_some_and(|now| now != owner));
    // What the others say of it: one line, with the epoch and after whom.
    let after = format!("after gateway {owner}, generation ");
    let said = |lines: &[irisrouter_lab::cluster::process::Line]| {
        lines
            .iter()
            .any(|l| l.text.contains("duties: set 1 is this gateway's") && l.text.contains(&after))
            .then_some(())
    };
    cluster.history.wait(PATIENCE, said).expect("a line that says so");
    cluster.launch(owner).expect("starts again");
    // It is first in the order again, and gets it back.
    wait("the first in the order", || cluster.prober(1, 300) == Some(owner));
    holds(&cluster, from);
}

#[test]
fn a_stalled_owner_that_comes_back_does_nothing_under_its_old_epoch() {
    let cluster = started(4, 22);
    let owner = first(&cluster, 4, 0);
    let from = cluster.clock.now();
    cluster.stall(owner);
    wait("another owner", || cluster.prober(0, 300).is_some_and(|now| now != owner));
    cluster.resume(owner);
    let back = cluster.clock.now();
    std::thread::sleep(Duration::from_secs(2));
    holds(&cluster, from);
    // Not one probe of its old epoch was taken by a host once it was back.
    let taken = cluster.probes(0).into_iter().filter(|p| p.at >= back && p.gateway == owner && !p.refused);
    let old =
        cluster.probes(0).iter().filter(|p| p.at < back && p.gateway == owner).filter_map(|p| p.token).max();
    for probe in taken {
        assert!(probe.token > old, "{probe:?} is not later than {old:?}");
    }
}

#[test]
fn a_partition_leaves_each_duty_with_the_larger_side_alone() {
    let cluster = started(5, 23);
    let owner = first(&cluster, 5, 2);
    let from = cluster.clock.now();
    // The owner and one other on the small side; both sides reach the hosts.
    let other = (owner + 1) % 5;
    let small = [owner, other];
    let large: Vec<usize> = (0..5).filter(|g| !small.contains(g)).collect();
    cluster.partition(&small, &large);
    wait("the larger side", || (0..3).all(|set| cluster.owner(set).is_some_and(|now| large.contains(&now))));
    cluster.heal();
    cluster.settle(PATIENCE).expect("one view");
    holds(&cluster, from);
}

#[test]
fn a_gateway_that_is_told_to_stop_hands_its_duties_over_before_its_lease_is_out() {
    let mut cluster = started(4, 24);
    let owner = first(&cluster, 4, 1);
    let from = cluster.clock.now();
    assert_eq!(cluster.terminate(owner), Some(0));
    wait("another owner", || cluster.prober(1, 300).is_some_and(|now| now != owner));
    holds(&cluster, from);
    cluster.history.look(|lines| {
        let gave = "duties: set 1 is no longer this gateway's";
        let line = lines.iter().find(|l| l.gateway == owner && l.text.contains(gave)).expect("it says so");
        assert!(line.text.contains("this gateway stops"), "{}", line.text);
    });
}
