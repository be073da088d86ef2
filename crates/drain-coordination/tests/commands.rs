//! Tests of commands at a single gateway: the limit of the command log, and the effect of commands on a group of hosts.

use irisrouter_cluster_types::{
    Epoch, GatewayId, HostId, Milliseconds, Timestamp, UnixMilliseconds,
};
use irisrouter_drain_coordination::{
    hosts_to_drain, DesiredState, DrainCommand, DrainCoordinator, LocalState, Settings,
};
use std::collections::{BTreeMap, BTreeSet};

/// State of a gateway that holds every lease and has no requests in flight.
struct LeaseHolder;

impl LocalState for LeaseHolder {
    fn fencing_token(&self, _: HostId) -> Option<Epoch> {
        Some(Epoch(1))
    }

    fn requests_in_flight(&self, _: HostId) -> u32 {
        0
    }
}

#[test]
fn command_log_is_bounded_and_forgets_only_completed_returns() {
    let settings = Settings::for_lease(1, Milliseconds(1_000));
    let mut coordinator = DrainCoordinator::new(GatewayId(0), settings);
    let [start, advanced, later] = [0, 10, 20].map(Timestamp::from_millis);
    for host in 0..256 {
        coordinator
            .issue(
                start,
                UnixMilliseconds(1),
                HostId(host),
                DesiredState::Drained,
            )
            .expect("the log is not full");
    }
    let [returned_host, another_host] = [HostId(5), HostId(999)];
    let error = coordinator
        .issue(
            start,
            UnixMilliseconds(2),
            another_host,
            DesiredState::Drained,
        )
        .expect_err("the log is full");
    assert_eq!(error.to_string(), "256 hosts are spoken of already");
    coordinator
        .issue(
            start,
            UnixMilliseconds(3),
            returned_host,
            DesiredState::InService,
        )
        .expect("the log has a command for the host already");
    coordinator.advance(advanced, &LeaseHolder);
    assert!(coordinator
        .issue(
            later,
            UnixMilliseconds(4),
            another_host,
            DesiredState::Drained
        )
        .is_ok());
    assert!(!coordinator
        .commands()
        .any(|status| status.command.host == returned_host));
}

/// Guards against a group without any host in service, after two operators drained its last two hosts at the same time.
#[test]
fn host_of_latest_command_stays_in_service_when_commands_would_drain_its_whole_group() {
    let drain = |host, issued_at| DrainCommand {
        host: HostId(host),
        desired_state: DesiredState::Drained,
        issued_at: UnixMilliseconds(issued_at),
        issued_by: GatewayId(0),
    };
    let back_in_service = DrainCommand {
        desired_state: DesiredState::InService,
        ..drain(3, 30)
    };
    let [first, second, third] = [1, 2, 3].map(HostId);
    let commands = BTreeMap::from([
        (first, drain(1, 10)),
        (second, drain(2, 20)),
        (third, back_in_service),
    ]);
    let command_for = |host| commands.get(&host).copied();
    assert_eq!(
        hosts_to_drain(&[first, second], command_for),
        BTreeSet::from([first])
    );
    assert_eq!(
        hosts_to_drain(&[first, second, third], command_for),
        BTreeSet::from([first, second])
    );
    assert_eq!(hosts_to_drain(&[second], command_for), BTreeSet::new());
    assert_eq!(hosts_to_drain(&[], command_for), BTreeSet::new());
}
