//! The indexes of the host table, against a look at every host.

use super::*;
use crate::net::endpoint_list::{EndpointEntry, EndpointPhase};
use proptest::prelude::*;

const MEMBERS: u32 = 6;

/// One change of the table.
#[derive(Clone, Debug)]
enum Change {
    Listed {
        member: u32,
        group: i64,
        phase: EndpointPhase,
    },
    MarkedRemoved {
        member: u32,
        only_listed_drains_bind: bool,
    },
    Forgotten {
        member: u32,
    },
}

fn change() -> impl Strategy<Value = Change> {
    let phase = prop_oneof![
        Just(EndpointPhase::InService),
        Just(EndpointPhase::Terminating),
        Just(EndpointPhase::Terminated),
    ];
    let listed = (0..MEMBERS, 0..3_i64, phase);
    let removed = (0..MEMBERS, any::<bool>());
    prop_oneof![
        4 => listed.prop_map(|(member, group, phase)| Change::Listed { member, group, phase }),
        1 => removed.prop_map(|(member, only_listed_drains_bind)| Change::MarkedRemoved {
            member,
            only_listed_drains_bind,
        }),
        1 => (0..MEMBERS).prop_map(|member| Change::Forgotten { member }),
    ]
}

fn entry(member: u32, group: i64, phase: EndpointPhase) -> EndpointEntry {
    EndpointEntry {
        // Two members of one name, so that they share a fleet id.
        id: format!("s-{}", member / 2),
        host_port: ([127, 0, 0, 1], 5432).into(),
        locality: "a".into(),
        cell: group,
        phase,
        size: 1.0,
        up_since_ms: 0.0,
        access: None,
    }
}

fn apply(table: &mut HostTable, change: &Change) {
    match *change {
        Change::Listed {
            member,
            group,
            phase,
        } => {
            let entry = entry(member, group, phase);
            table.insert_if_absent(MemberId(member), || Host::new(&entry));
            table.update(MemberId(member), |host| {
                host.apply_entry(&entry, true);
                host.removed_at = None;
            });
        }
        Change::MarkedRemoved {
            member,
            only_listed_drains_bind,
        } => {
            table.update(MemberId(member), |host| {
                host.mark_removed(only_listed_drains_bind);
            });
        }
        Change::Forgotten { member } => {
            table.remove(MemberId(member));
        }
    }
}

/// What the indexes say has to be what a look at every host says.
fn check_indexes(table: &HostTable) {
    let found = |is_found: &dyn Fn(&Host) -> bool| -> Vec<MemberId> {
        let hosts = table.iter().filter(|(_, host)| is_found(host));
        hosts.map(|(&member, _)| member).collect()
    };
    for group in (0..3).map(GroupId) {
        let expected = found(&|host| host.accepts_requests && host.group() == group);
        assert_eq!(table.accepting(group).collect::<Vec<_>>(), expected);
        let listed = table.groups_in_service().any(|other| other == group);
        assert_eq!(listed, !expected.is_empty());
    }
    for name in (0..MEMBERS / 2).map(|number| format!("s-{number}")) {
        let fleet_id = irisrouter_gossip::message::host_id(&name);
        let indexed = table.with_fleet_id(fleet_id).map(|(member, _)| member);
        let expected = found(&|host| host.fleet_id == fleet_id);
        assert_eq!(indexed.collect::<Vec<_>>(), expected);
        let mut accepting = table.accepting_with_fleet_id(fleet_id).to_vec();
        accepting.sort_by_key(|found| found.member);
        let hosts = table.iter().filter(|(_, host)| host.accepts_requests);
        let with_id = hosts.filter(|(_, host)| host.fleet_id == fleet_id);
        let expected: Vec<GroupMember> = with_id
            .map(|(&member, host)| GroupMember {
                member,
                group: host.group(),
            })
            .collect();
        assert_eq!(accepting, expected);
    }
    let removed = found(&|host| host.removed_at.is_some());
    assert_eq!(table.removed().collect::<Vec<_>>(), removed);
}

proptest! {
    #[test]
    fn indexes_agree_with_a_walk_over_all_hosts(changes in prop::collection::vec(change(), 1..60)) {
        let mut table = HostTable::default();
        for change in &changes {
            let groups: Vec<GroupId> = table.groups_in_service().collect();
            let version = table.groups_version();
            apply(&mut table, change);
            check_indexes(&table);
            let unchanged = groups.into_iter().eq(table.groups_in_service());
            prop_assert!(unchanged || version != table.groups_version());
        }
    }
}
