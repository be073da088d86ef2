//! Compares the host index with a scan of all hosts.

use irisrouter_cluster_types::HostId;
use irisrouter_host_index::{GroupMember, HostIndex, IndexedState};
use proptest::prelude::*;
use std::collections::BTreeMap;

const MEMBERS: u32 = 6;
const GROUPS: i64 = 3;
/// Number of fleet-wide ids: fewer than members, so that some members share an id.
const FLEET_IDS: u32 = 3;

type State = IndexedState<i64>;

/// Generates a member and its next state; `None` deletes the member.
fn member_change() -> impl Strategy<Value = (u32, Option<State>)> {
    let state = (0..FLEET_IDS, 0..GROUPS, any::<bool>(), any::<bool>()).prop_map(
        |(fleet_id, group, accepts_requests, removed)| State {
            fleet_id: HostId(fleet_id),
            group,
            accepts_requests,
            removed,
        },
    );
    (0..MEMBERS, prop::option::weighted(0.8, state))
}

/// Asserts that the index returns the same hosts and groups as a scan of all hosts.
fn assert_matches_scan(index: &HostIndex<u32, i64>, hosts: &BTreeMap<u32, State>) {
    let found = |matches: &dyn Fn(&State) -> bool| -> Vec<u32> {
        let hosts = hosts.iter().filter(|(_, state)| matches(state));
        hosts.map(|(&member, _)| member).collect()
    };
    for group in 0..GROUPS {
        let accepting = found(&|state| state.accepts_requests && state.group == group);
        assert_eq!(index.accepting(group).collect::<Vec<_>>(), accepting);
        let listed = index.groups_in_service().any(|other| other == group);
        assert_eq!(listed, !accepting.is_empty());
    }
    for fleet_id in (0..FLEET_IDS).map(HostId) {
        let with_id = found(&|state| state.fleet_id == fleet_id);
        assert_eq!(index.with_fleet_id(fleet_id).collect::<Vec<_>>(), with_id);
        let accepting = found(&|state| state.fleet_id == fleet_id && state.accepts_requests);
        let mut indexed = index.accepting_with_fleet_id(fleet_id).to_vec();
        indexed.sort_by_key(|found| found.member);
        let expected = accepting.into_iter().map(|member| GroupMember {
            member,
            group: hosts[&member].group,
        });
        assert_eq!(indexed, expected.collect::<Vec<_>>());
    }
    let removed = found(&|state| state.removed);
    assert_eq!(index.removed().collect::<Vec<_>>(), removed);
}

proptest! {
    #[test]
    fn index_agrees_with_a_walk_over_all_hosts(
        changes in prop::collection::vec(member_change(), 1..60),
    ) {
        let mut index = HostIndex::default();
        let mut hosts = BTreeMap::new();
        for (member, after) in changes {
            let groups: Vec<i64> = index.groups_in_service().collect();
            let version = index.groups_version();
            let before = match after {
                Some(state) => hosts.insert(member, state),
                None => hosts.remove(&member),
            };
            index.replace(member, before, after);
            assert_matches_scan(&index, &hosts);
            let unchanged = groups.into_iter().eq(index.groups_in_service());
            prop_assert!(unchanged || version != index.groups_version());
        }
    }
}
