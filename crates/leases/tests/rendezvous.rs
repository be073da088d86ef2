//! Tests of the rendezvous order of the gateways for a task.

use irisrouter_cluster_types::{GatewayId, TaskId};
use irisrouter_leases::rendezvous::{candidates, voters, VOTERS};

#[test]
fn candidates_move_only_the_tasks_of_a_gateway_that_leaves_and_tasks_spread() {
    let leaving = GatewayId(3);
    let all: Vec<GatewayId> = (0..7).map(GatewayId).collect();
    let mut remaining = all.clone();
    remaining.retain(|&gateway| gateway != leaving);
    let mut tasks_of_gateway = [0; 7];
    for task in (0..700).map(TaskId) {
        let before = candidates(task, &all)[0];
        tasks_of_gateway[before.0 as usize] += 1;
        let after = candidates(task, &remaining)[0];
        assert!(
            before == after || before == leaving,
            "{task:?} moved from {before} to {after}"
        );
    }
    assert!(
        tasks_of_gateway.iter().all(|n| (60..140).contains(n)),
        "{tasks_of_gateway:?}"
    );
}

#[test]
fn voters_are_five_distinct_gateways_and_the_whole_of_a_smaller_fleet() {
    let of_large_fleet = voters(TaskId(9), 300);
    assert_eq!(of_large_fleet.len(), VOTERS);
    let mut distinct = of_large_fleet.clone();
    distinct.sort_unstable();
    distinct.dedup();
    assert_eq!(distinct.len(), VOTERS);
    assert_eq!(voters(TaskId(9), 3).len(), 3);
}
