//! Commands without a fleet: how many are remembered, and what they do to a set of hosts.

use irisrouter_drain_coordination::{
    hosts_to_drain, DesiredState, DrainCommand, DrainCoordinator, LocalState, Settings,
};
use std::collections::{BTreeMap, BTreeSet};

/// A gateway that holds every lease and has no requests in flight.
struct LeaseHolder;

impl LocalState for LeaseHolder {
    fn fencing_token(&self, _: u32) -> Option<u64> {
        Some(1)
    }

    fn requests_in_flight(&self, _: u32) -> u32 {
        0
    }
}

#[test]
fn command_log_is_bounded_and_forgets_only_completed_returns() {
    let mut coordinator = DrainCoordinator::new(0, Settings::for_lease(1, 1_000));
    for host in 0..256 {
        coordinator
            .issue(0, 1, host, DesiredState::Drained)
            .expect("room");
    }
    let error = coordinator
        .issue(0, 2, 999, DesiredState::Drained)
        .expect_err("no room");
    assert_eq!(error.to_string(), "256 hosts are spoken of already");
    coordinator
        .issue(0, 3, 5, DesiredState::InService)
        .expect("known");
    coordinator.advance(10, &LeaseHolder);
    assert!(coordinator.issue(20, 4, 999, DesiredState::Drained).is_ok());
    assert!(!coordinator.commands().any(|(command, _)| command.host == 5));
}

/// Guards against two operators who drain a set's last two hosts at the same moment.
#[test]
fn host_of_latest_command_stays_in_service_when_commands_would_empty_its_set() {
    let drain = |host, issued_at_ms| DrainCommand {
        host,
        desired_state: DesiredState::Drained,
        issued_at_ms,
        issued_by: 0,
    };
    let back_in_service = DrainCommand {
        desired_state: DesiredState::InService,
        ..drain(3, 30)
    };
    let commands = BTreeMap::from([(1, drain(1, 10)), (2, drain(2, 20)), (3, back_in_service)]);
    let command_for = |host| commands.get(&host).copied();
    assert_eq!(hosts_to_drain(&[1, 2], command_for), BTreeSet::from([1]));
    assert_eq!(
        hosts_to_drain(&[1, 2, 3], command_for),
        BTreeSet::from([1, 2])
    );
    assert_eq!(hosts_to_drain(&[2], command_for), BTreeSet::new());
    assert_eq!(hosts_to_drain(&[], command_for), BTreeSet::new());
}
